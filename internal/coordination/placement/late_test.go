package placement

import (
	"context"
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/skylarkwood/skylarkwood/internal/coordination/leader"
	"github.com/skylarkwood/skylarkwood/internal/model"
	"github.com/skylarkwood/skylarkwood/internal/platform"
	"github.com/skylarkwood/skylarkwood/platform/standin"
)

// slowReports holds engines' reports back until release is closed.
type slowReports struct {
	*testCluster
	asked   chan struct{}
	release chan struct{}
}

func (s slowReports) Report(ctx context.Context, b *model.BackendServer) (model.EngineReport, error) {
	s.asked <- struct{}{}
	<-s.release
	return s.testCluster.Report(ctx, b)
}

// newClusterWithSlowReport sets a shop up with one engine that is about to be ordered to hold some
// layers: its report before the order is under way.
func newClusterWithSlowReport(t *testing.T) (*testCluster, chan struct{}) {
	s := newTestCluster(t)
	s.traffic.Store(true)
	slow := slowReports{testCluster: s, asked: make(chan struct{}, 8), release: make(chan struct{})}
	s.c.Engines = slow
	s.register("e", "e:1", "hala", "a100", model.LayerRange{})
	s.c.ObservePlan("s", encodePlan(t, Plan{"e:1": {From: 0, To: 20}}), 1)
	s.c.Tick(context.Background())
	<-slow.asked
	return s, slow.release
}

func encodePlan(t *testing.T, p Plan) []byte {
	raw, err := json.Marshal(p)
	assert.NilError(t, err)
	return raw
}

// The leader asks an engine for its report before an order, and loses the leadership
// before the answer comes. The order must not be given all the same: the new leader
// has not ordered this engine yet, so that the engine would take it.
func TestNoOrderOnceTheLeadershipIsLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, release := newClusterWithSlowReport(t)
		s.token.Store(0)
		close(release)
		synctest.Wait()
		assert.Equal(t, s.totalOrders(), int64(0))
	})
}

// While the report before an order is under way another plan comes into force, by
// which the engine holds other layers. Given all the same, the order has the engine
// load layers that it must give up again, and those that are planned are missing
// for two loads instead of one.
func TestNoOrderOfAPlanThatWasReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, release := newClusterWithSlowReport(t)
		want := model.LayerRange{From: 20, To: 40}
		s.c.ObservePlan("s", encodePlan(t, Plan{"e:1": want}), 2)
		close(release)
		synctest.Wait()
		assert.Equal(t, s.totalOrders(), int64(0))
		s.run(orderRetryDelay + time.Second/2)
		time.Sleep(time.Second) // for the load
		assert.Equal(t, s.held("e"), want, "the present plan is carried out")
		assert.Equal(t, s.totalOrders(), int64(1))
	})
}

// slowCommits calls before with each commit that took effect, ahead of its answer.
type slowCommits struct {
	*standin.Store
	before func(revision model.Revision)
}

func (s slowCommits) Commit(ctx context.Context, txn platform.Txn) (model.Revision, error) {
	revision, err := s.Store.Commit(ctx, txn)
	if err == nil {
		s.before(revision)
	}
	return revision, err
}

// A leader stores a plan and the answer is slow. Meanwhile the next leader has stored
// another one, which the watch shows. The late answer must not put the older plan
// back: leading again, this router would order every engine by it.
func TestALateAnswerDoesNotBringAnOlderPlanBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestCluster(t)
		newer := Plan{"e:1": {From: 20, To: 40}}
		s.c.Store = slowCommits{Store: s.store, before: func(revision model.Revision) {
			s.c.ObservePlan("s", encodePlan(t, newer), revision+1)
		}}
		s.register("e", "e:1", "hala", "a100", model.LayerRange{})
		token := model.Revision(s.token.Load())
		assert.Assert(t, !s.c.persist(context.Background(), "s", Plan{"e:1": {From: 0, To: 20}}, token), "the stored plan is not in force")
		assert.Assert(t, equalPlans(s.c.plans["s"].plan, newer))
		_, err := s.store.Get(context.Background(), leader.PlanPrefix+"s")
		assert.NilError(t, err)
	})
}
