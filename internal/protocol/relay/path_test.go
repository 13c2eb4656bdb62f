package relay

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/skylarkwood/skylarkwood/internal/coordination/chains"
	"github.com/skylarkwood/skylarkwood/internal/coordination/limits"
	"github.com/skylarkwood/skylarkwood/internal/model"
	"github.com/skylarkwood/skylarkwood/platform"
)

// eventEvery is the time between the events of the streams here.
const testEventInterval = 30 * time.Millisecond

// pathEngines answers orders as engines do: a path through a silent engine is refused,
// and the refusal names the first of them.
type fakeEngines struct {
	mu             sync.Mutex
	unresponsive   []string // addresses
	orders         int
	refused        int
	beforeResponse func(ctx context.Context) // runs before each answer to an order; may be nil
}

func (p *fakeEngines) do(ctx context.Context, _ string, r *Request) (*Response, error) {
	if r.Target != platform.OrderPath {
		return reportResponse(emptyReport), nil
	}
	p.mu.Lock()
	hook := p.beforeResponse
	p.mu.Unlock()
	if hook != nil {
		hook(ctx)
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.orders++
	for _, addr := range p.unresponsive {
		if strings.Contains(string(r.Body), addr+"=") {
			p.refused++
			return signed(http.StatusConflict, strings.NewReader(`{"address":"`+addr+`"}`)), nil
		}
	}
	return signed(http.StatusOK, strings.NewReader("")), nil
}

// setBeforeResponse sets what runs before each answer to an order.
func (p *fakeEngines) setBeforeResponse(hook func(ctx context.Context)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.beforeResponse = hook
}

// neverRespond leaves an order without an answer.
func neverRespond(ctx context.Context) { <-ctx.Done() }

// answeredOrders tells how many orders were answered.
func (p *fakeEngines) answeredOrders() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.orders
}

func (p *fakeEngines) setUnresponsive(addrs ...string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unresponsive = addrs
}

// threeParts gives a site whose chains have three parts, with two holders of each.
func newThreeStageFixture(do fakeBackend) *fixture {
	s := newFixture(resumable, true, do)
	s.prober.Report = s.Report
	s.prober.Healthy = func(context.Context, *model.BackendServer) (bool, error) { return true, nil }
	s.prober.AnnounceRefusal = func(model.Incarnation, time.Time) {}
	s.Catalog.Remove("one", 1, 0)
	s.Catalog.Remove("two", 1, 0)
	for from, ids := range map[int][]string{0: {"head", "head2"}, 4: {"middle", "middle2"}, 8: {"tail", "tail2"}} {
		for _, id := range ids {
			s.Catalog.Put(model.BackendServer{ID: id, Service: "s", Address: id + ":1", FailureDomain: "a", Card: "fast", Holds: model.LayerRange{From: from, To: from + 4}, Slots: 200, Revision: 2})
		}
	}
	return s
}

// resumable is a route whose streams go on at another first engine; those of movable only
// go on through the first engine that they have.
var resumable = model.Route{Kind: streaming, ResumeStreams: true, MaxAttempts: 2, TargetGap: 300 * time.Millisecond}
var movable = model.Route{Kind: streaming, ResumeStreams: true, MaxAttempts: 1, TargetGap: 300 * time.Millisecond}

// startStream is a stream on the chain head, middle, tail with its watch.
func (s *fixture) startStream(t *testing.T, route model.Route) (*chainWatch, context.Context) {
	snap := s.Catalog.Load()
	var stages []chains.Stage
	for i, id := range []string{"head", "middle", "tail"} {
		stages = append(stages, chains.Stage{Server: snap.Find(inc(id)), Layers: model.LayerRange{From: 4 * i, To: 4*i + 4}})
	}
	return s.startStreamOn(t, route, stages)
}

// sendEvents gives the streams events for a while.
func sendEvents(streams []*chainWatch, events int) {
	for range events {
		time.Sleep(testEventInterval)
		for _, w := range streams {
			w.eventReceived()
		}
	}
}

func serverIDs(w *chainWatch) []string {
	var out []string
	stages, _ := w.state()
	for _, p := range stages {
		out = append(out, p.Server.ID)
	}
	return out
}

// Two engines of one chain fall silent at one moment, with 90 streams on it: all streams
// leave both within half of the pause that their route allows, with few refused orders.
func TestTwoUnresponsiveEnginesOfOneChainAreReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engines := &fakeEngines{beforeResponse: func(context.Context) { time.Sleep(2 * time.Millisecond) }}
		s := newThreeStageFixture(engines.do)
		var streams []*chainWatch
		for range 90 {
			w, _ := s.startStream(t, movable)
			streams = append(streams, w)
		}
		sendEvents(streams, 20)
		engines.setUnresponsive("middle:1", "tail:1")
		time.Sleep(resumable.TargetGap / 2)
		synctest.Wait()
		for _, w := range streams {
			assert.DeepEqual(t, serverIDs(w), []string{"head", "middle2", "tail2"})
			assert.NilError(t, w.run.Err())
		}
		assert.Assert(t, engines.refused <= 2*len(streams), "%d of %d orders refused", engines.refused, engines.orders)
	})
}

// The first engine of a chain and a later one fall silent together. The path check is
// not answered, so the streams begin anew at other engines.
func TestUnresponsiveFirstEngineEndsRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engines := &fakeEngines{}
		s := newThreeStageFixture(engines.do)
		one, run := s.startStream(t, resumable)
		two, other := s.startStream(t, resumable)
		sendEvents([]*chainWatch{one, two}, 20)
		engines.setBeforeResponse(neverRespond)
		time.Sleep(resumable.TargetGap)
		synctest.Wait()
		assert.Equal(t, context.Cause(run), stalled)
		assert.Equal(t, context.Cause(other), stalled)
		assert.Assert(t, s.Health.Suspected(inc("head")))
	})
}

// A stream is late, and the check of its path is not answered, while other streams through
// its first engine go on: a link lost both. The engine is not suspected, and no other
// stream leaves it.
func TestUnansweredPathCheckDoesNotSuspectWorkingEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engines := &fakeEngines{}
		s := newThreeStageFixture(engines.do)
		late, _ := s.startStream(t, resumable)
		other, run := s.startStream(t, resumable)
		sendEvents([]*chainWatch{late, other}, 20)
		engines.setBeforeResponse(neverRespond)
		// The other stream shares only the first engine with the late one.
		other.progress.Reroute([]model.Incarnation{inc("head"), inc("middle2"), inc("tail2")})
		sendEvents([]*chainWatch{other}, 12)
		synctest.Wait()
		assert.Assert(t, late.hasUnconfirmedOrder())
		assert.Assert(t, !s.Health.Suspected(inc("head")))
		assert.NilError(t, run.Err())
	})
}

// A stream is late though its path holds. It stays where it is, and no engine is
// suspected.
func TestConfirmedPathIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engines := &fakeEngines{}
		s := newThreeStageFixture(engines.do)
		w, run := s.startStream(t, movable)
		sendEvents([]*chainWatch{w}, 20)
		time.Sleep(200 * time.Millisecond)
		synctest.Wait()
		assert.Equal(t, engines.answeredOrders(), 1)
		assert.DeepEqual(t, serverIDs(w), []string{"head", "middle", "tail"})
		w.eventReceived()
		assert.NilError(t, run.Err())
		for _, id := range []string{"head", "middle", "tail"} {
			assert.Assert(t, !s.Health.Suspected(inc(id)), id)
		}
	})
}

// An order is not answered. Its engine may carry it out after a later one and bring the
// stream back to the path it had, so the stream gets no other order.
func TestNoOrderIsSentAfterUnansweredOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engines := &fakeEngines{}
		s := newThreeStageFixture(engines.do)
		w, run := s.startStream(t, movable)
		w.final = true // so that the run is kept
		sendEvents([]*chainWatch{w}, 20)
		engines.setBeforeResponse(neverRespond)
		time.Sleep(resumable.TargetGap)
		engines.setBeforeResponse(nil)
		before := engines.answeredOrders()
		s.HandleEngineExit(inc("middle"))
		synctest.Wait()
		assert.Equal(t, engines.answeredOrders(), before)
		assert.DeepEqual(t, serverIDs(w), []string{"head", "middle", "tail"})
		time.Sleep(finalResponseTimeout)
		synctest.Wait()
		assert.Equal(t, context.Cause(run), engineExited)
	})
}

// An engine that many streams run through falls silent. Moved, all would wait for its
// twin to read their tokens; they are sent anew, while the budget for that lasts.
func TestStreamsOfUnresponsiveEngineRestartWithinBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const budget = 30
		engines := &fakeEngines{}
		s := newThreeStageFixture(engines.do)
		s.RetryBorrower.Budget = limits.NewSharedRetryBudget(0, budget, time.Second, func() int { return 1 }, time.Now)
		var streams []*chainWatch
		for range 90 {
			w, _ := s.startStream(t, resumable)
			streams = append(streams, w)
		}
		sendEvents(streams, 40)
		engines.setUnresponsive("middle:1")
		time.Sleep(resumable.TargetGap / 2)
		synctest.Wait()
		restarted, rerouted := 0, 0
		for _, w := range streams {
			stages, failedEngine := w.state()
			switch {
			case context.Cause(w.run) == stalled:
				assert.Equal(t, failedEngine, inc("middle"))
				restarted++
			case stages[1].Server.ID == "middle2":
				rerouted++
			}
		}
		assert.Assert(t, restarted <= budget && restarted >= budget*8/10, "%d sent anew", restarted)
		assert.Equal(t, restarted+rerouted, len(streams))
	})
}

// A chain is chosen while one of its engines is found silent. The run leaves it at once
// and does not wait for its first event.
func TestNewRunLeavesRecentlyUnresponsiveEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engines := &fakeEngines{}
		s := newThreeStageFixture(engines.do)
		s.ActiveRuns.notifyLoss(engineSet{inc("middle"): true}, stalled)
		w, _ := s.startStream(t, movable)
		synctest.Wait()
		assert.DeepEqual(t, serverIDs(w), []string{"head", "middle2", "tail"})
	})
}

// A path is refused for an engine that is full. Another holder takes the part, and the
// full one is not taken for silent: other streams stay there.
func TestFullEngineIsNotMarkedUnresponsive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engines := &fakeEngines{}
		s := newThreeStageFixture(engines.do)
		s.Catalog.Put(model.BackendServer{ID: "middle3", Service: "s", Address: "middle3:1", FailureDomain: "a", Card: "fast", Holds: model.LayerRange{From: 4, To: 8}, Slots: 200, Revision: 2})
		w, _ := s.startStream(t, movable)
		sendEvents([]*chainWatch{w}, 20)
		engines.setUnresponsive("middle:1", "middle2:1")
		s.HandleEngineExit(inc("middle"))
		synctest.Wait()
		assert.DeepEqual(t, serverIDs(w), []string{"head", "middle3", "tail"})
		assert.Equal(t, len(s.ActiveRuns.recentlyLost([]model.Incarnation{inc("middle2")})), 0)
	})
}
