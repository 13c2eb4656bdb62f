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

// slowReports delays the reports of engines until release is closed.
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

// newClusterWithSlowReport returns a cluster with one engine whose report before an order
// is in progress. The report returns once the channel is closed.
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

// The leader loses the leadership while it reads an engine's report before an order. The
// engine would accept the order, since the new leader has not ordered it yet.
func TestNoOrderAfterLeadershipLoss(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, release := newClusterWithSlowReport(t)
		s.token.Store(0)
		close(release)
		synctest.Wait()
		assert.Equal(t, s.totalOrders(), int64(0))
	})
}

// The plan changes while an engine's report is read. An order from the old plan would cost
// a second load.
func TestNoOrderFromAReplacedPlan(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, release := newClusterWithSlowReport(t)
		want := model.LayerRange{From: 20, To: 40}
		s.c.ObservePlan("s", encodePlan(t, Plan{"e:1": want}), 2)
		close(release)
		synctest.Wait()
		assert.Equal(t, s.totalOrders(), int64(0))
		s.run(orderRetryDelay + time.Second/2)
		time.Sleep(time.Second) // for the load
		assert.Equal(t, s.held("e"), want, "the engine holds the layers of the new plan")
		assert.Equal(t, s.totalOrders(), int64(1))
	})
}

// slowCommits calls before after each successful commit, ahead of its return.
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

// The result of a leader's commit arrives after the watch has shown the plan of the next
// leader. The newer plan must stay.
func TestLateCommitResultKeepsTheNewerPlan(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestCluster(t)
		newer := Plan{"e:1": {From: 20, To: 40}}
		s.c.Store = slowCommits{Store: s.store, before: func(revision model.Revision) {
			s.c.ObservePlan("s", encodePlan(t, newer), revision+1)
		}}
		s.register("e", "e:1", "hala", "a100", model.LayerRange{})
		token := model.Revision(s.token.Load())
		assert.Assert(t, !s.c.persist(context.Background(), "s", Plan{"e:1": {From: 0, To: 20}}, token), "the older plan must not be in effect")
		assert.Assert(t, equalPlans(s.c.plans["s"].plan, newer))
		_, err := s.store.Get(context.Background(), leader.PlanPrefix+"s")
		assert.NilError(t, err)
	})
}
