package relay

import (
	"context"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/skylarkwood/skylarkwood/internal/coordination/chains"
	"github.com/skylarkwood/skylarkwood/internal/coordination/limits"
	"github.com/skylarkwood/skylarkwood/internal/model"
	"github.com/skylarkwood/skylarkwood/platform"
)

const emptyReport = `{}`

// chained gives a site whose chains run through two engines, "one" then "far", with
// "spare" to take the place of far.
func newTwoStageFixture(route model.Route, do fakeBackend) *fixture {
	s := newFixture(route, true, do)
	s.Catalog.Remove("two", 1, 0)
	put := func(id string, held model.LayerRange) {
		s.Catalog.Put(model.BackendServer{ID: id, Service: "s", Address: id + ":1", FailureDomain: "a", Card: "fast", Holds: held, Slots: 9, Revision: 2})
	}
	put("one", model.LayerRange{To: 6})
	put("far", model.LayerRange{From: 6, To: 12})
	put("spare", model.LayerRange{From: 6, To: 12})
	return s
}

func (s *fixture) stages(second string) []chains.Stage {
	snap := s.Catalog.Load()
	return []chains.Stage{
		{Server: snap.Find(inc("one")), Layers: model.LayerRange{To: 6}},
		{Server: snap.Find(inc(second)), Layers: model.LayerRange{From: 6, To: 12}},
	}
}

// watched is a running stream through "one" and "far" and its watch.
func (s *fixture) startTwoStageStream(t *testing.T, route model.Route) (*chainWatch, context.Context) {
	return s.startStreamOn(t, route, s.stages("far"))
}

// watchedOn is a running stream through some engines and its watch.
func (s *fixture) startStreamOn(t *testing.T, route model.Route, stages []chains.Stage) (*chainWatch, context.Context) {
	q := &request{Relay: s.Relay, call: &model.Call{Attempt: "1"}, startTime: time.Now(), avoid: map[model.Incarnation]bool{}}
	table := s.Config.Load()
	route.Host = "h"
	q.admitted.Route = &route
	q.admitted.Service = table.Service("s")
	run, cancel := context.WithCancelCause(t.Context())
	reservation := s.Memory.Reserve(stages, 100)
	w := q.watch(run, cancel, stages, reservation, s.Quarantine.Begin(nil, false))
	t.Cleanup(func() {
		_ = w.stop()
		reservation.Release()
	})
	return w, run
}

// unreachableHook calls back when an engine is reported.
type unreachableHook struct {
	*Prober
	onReport func()
}

func (u unreachableHook) Unreachable(*model.BackendServer, string, error) { u.onReport() }

func reportResponse(body string) *Response { return signed(http.StatusOK, strings.NewReader(body)) }

// The first engine does not tell what a silent chain waits for. While that is noted
// an event comes: the chain works, and must not be ended for a silence that is over.
func TestChainWithNewEventIsNotEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		route := model.Route{Kind: streaming, ResumeStreams: true, MaxAttempts: 2}
		s := newTwoStageFixture(route, func(context.Context, string, *Request) (*Response, error) { return nil, errNotConnected })
		var watch atomic.Pointer[chainWatch]
		s.Suspects = unreachableHook{s.prober, func() { watch.Load().eventReceived() }}
		w, run := s.startTwoStageStream(t, route)
		watch.Store(w)
		time.Sleep(firstEventTimeout + time.Millisecond)
		synctest.Wait()
		assert.NilError(t, run.Err())
	})
}

// A chain is silent and its first engine is asked. Meanwhile a part of the chain is
// found to have ended and is replaced, which the engine takes as an order. The answer
// to the question is about the chain as it was: it must not end the new one.
func TestReroutedChainIsNotEndedForEarlierStall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		route := model.Route{Kind: streaming, ResumeStreams: true, MaxAttempts: 1}
		var reportRequests atomic.Int64
		s := newTwoStageFixture(route, func(_ context.Context, _ string, r *Request) (*Response, error) {
			if r.Target != platform.ReportPath {
				return reportResponse(""), nil
			}
			if reportRequests.Add(1) == 2 {
				time.Sleep(100 * time.Millisecond)
			}
			return reportResponse(emptyReport), nil
		})
		w, run := s.startTwoStageStream(t, route)
		time.Sleep(firstEventTimeout + nextEventTimeout + 50*time.Millisecond) // amid the second question
		assert.Equal(t, reportRequests.Load(), int64(2))
		s.HandleEngineExit(inc("far"))
		time.Sleep(100 * time.Millisecond)
		assert.NilError(t, run.Err())
		stages, _ := w.state()
		assert.Equal(t, stages[1].Server.ID, "spare")
	})
}

// A stream ends whole while an engine of it is replaced and the order is refused.
// There is nothing left to give up.
func TestFinishedStreamIsNotAbandoned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		route := model.Route{Kind: streaming, ResumeStreams: true, MaxAttempts: 2}
		s := newTwoStageFixture(route, func(context.Context, string, *Request) (*Response, error) {
			time.Sleep(50 * time.Millisecond)
			return signed(http.StatusNotFound, strings.NewReader("")), nil
		})
		w, run := s.startTwoStageStream(t, route)
		s.HandleEngineExit(inc("far"))
		synctest.Wait()
		_ = w.stop()
		time.Sleep(100 * time.Millisecond)
		_, failedEngine := w.state()
		assert.Equal(t, failedEngine, model.Incarnation{})
		assert.NilError(t, run.Err())
	})
}

// A stream that must not run twice is silent, its engines answer and name nobody; or
// the first engine does not even answer. Ended, the stream is lost for sure, as no
// other engine may go on with it; its caller decides how long to wait. It is ended
// once the process of one of its engines has.
func TestNonResumableStreamIsNotEndedForStall(t *testing.T) {
	for _, responds := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			route := model.Route{Kind: streaming, MaxAttempts: 2}
			s := newTwoStageFixture(route, func(context.Context, string, *Request) (*Response, error) {
				if responds {
					return reportResponse(emptyReport), nil
				}
				return nil, errNotConnected
			})
			_, run := s.startTwoStageStream(t, route)
			time.Sleep(5 * time.Second)
			synctest.Wait()
			assert.NilError(t, run.Err())
			s.HandleEngineExit(inc("far"))
			time.Sleep(finalResponseTimeout)
			synctest.Wait()
			assert.Equal(t, context.Cause(run), engineExited)
		})
	}
}

// Another stream finds an engine at fault that this one runs through as well. This
// one must not run twice, so it cannot leave: the other's view, from another engine
// of other links, is no reason to lose it.
func TestNonResumableStreamIgnoresReportsOfOtherStreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		route := model.Route{Kind: streaming, MaxAttempts: 2}
		s := newTwoStageFixture(route, func(context.Context, string, *Request) (*Response, error) { return reportResponse(emptyReport), nil })
		_, run := s.startTwoStageStream(t, route)
		other, _ := s.startTwoStageStream(t, model.Route{Kind: streaming, ResumeStreams: true, MaxAttempts: 2})
		other.handleStalledEngine("far:1", 0, 1)
		synctest.Wait()
		assert.NilError(t, run.Err())
		stages, _ := other.state()
		assert.Equal(t, stages[1].Server.ID, "spare", "the other one is moved")
	})
}

// An engine's process ends right after a chain through it was chosen, before the run
// is among those that are told. The run must hear of it all the same: nothing would
// come of it, and its caller would wait until the silence shows.
func TestNewRunEndsIfItsEngineJustExited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		route := model.Route{Kind: streaming, ResumeStreams: true, MaxAttempts: 2}
		s := newTwoStageFixture(route, func(context.Context, string, *Request) (*Response, error) { return reportResponse(emptyReport), nil })
		s.HandleEngineExit(inc("far"))
		_, run := s.startTwoStageStream(t, route)
		assert.Equal(t, context.Cause(run), engineExited)
	})
}

// A chain is silent, its engines answer and name nobody, and the budget for repeated
// sends is used up. Ended, the stream would be broken off; kept, it may go on. Once
// there is budget again the run abandoned.
func TestStalledChainContinuesWithoutRetryToken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		route := model.Route{Kind: streaming, ResumeStreams: true, MaxAttempts: 2}
		s := newTwoStageFixture(route, func(context.Context, string, *Request) (*Response, error) { return reportResponse(emptyReport), nil })
		s.RetryBorrower.Budget = limits.NewSharedRetryBudget(0, 100, time.Hour, func() int { return 1 }, time.Now)
		_, run := s.startTwoStageStream(t, route)
		time.Sleep(5 * time.Second)
		synctest.Wait()
		assert.NilError(t, run.Err())
		time.Sleep(time.Hour)
		synctest.Wait()
		assert.Equal(t, context.Cause(run), stalled)
	})
}
