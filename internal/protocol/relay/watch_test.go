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
	"github.com/skylarkwood/skylarkwood/internal/coordination/limits/limitstest"
	"github.com/skylarkwood/skylarkwood/internal/coordination/quarantine"
	"github.com/skylarkwood/skylarkwood/internal/model"
	"github.com/skylarkwood/skylarkwood/platform"
)

const emptyReport = `{}`

// newTwoStageFixture returns a fixture whose chains use two engines, "one" then "far", with
// "spare" as the replacement of "far".
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

// startTwoStageStream starts a stream on "one" and "far", and returns its watch.
func (s *fixture) startTwoStageStream(t *testing.T, route model.Route) (*chainWatch, context.Context) {
	return s.startStreamOn(t, route, s.stages("far"))
}

// startStreamOn starts a stream on a chain, and returns its watch.
func (s *fixture) startStreamOn(t *testing.T, route model.Route, stages []chains.Stage) (*chainWatch, context.Context) {
	q := &request{Relay: s.Relay, call: &model.Call{Attempt: "1"}, startTime: time.Now(), avoid: map[model.Incarnation]bool{}}
	table := s.Config.Load()
	route.Host = "h"
	q.admitted.Route = &route
	q.admitted.Service = table.Service("s")
	run, cancel := context.WithCancelCause(t.Context())
	reservation := s.Usage.Reserve(stages, 100)
	w := q.watch(run, cancel, stages, reservation, s.Quarantine.Begin(quarantine.Subject{}, false))
	t.Cleanup(func() {
		_ = w.stop()
		reservation.Release()
	})
	return w, run
}

// unreachableHook calls a function when an engine is reported unreachable.
type unreachableHook struct {
	*Prober
	onReport func()
}

func (u unreachableHook) Unreachable(*model.BackendServer, string, error) { u.onReport() }

func reportResponse(body string) *Response { return signed(http.StatusOK, strings.NewReader(body)) }

// Guards against ending a run for a stall although an event arrives while the stall is
// handled.
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

// Guards against ending a run for a stall of the chain that it had before a rerouting.
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
		time.Sleep(firstEventTimeout + nextEventTimeout + 50*time.Millisecond) // during the second report request
		assert.Equal(t, reportRequests.Load(), int64(2))
		s.HandleEngineExit(inc("far"))
		time.Sleep(100 * time.Millisecond)
		assert.NilError(t, run.Err())
		stages, _ := w.state()
		assert.Equal(t, stages[1].Server.ID, "spare")
	})
}

// Guards against abandoning a stream that ended normally while a rerouting was in progress.
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

// Guards against ending a stalled stream that no other engine may resume. It is ended only
// once the process of one of its engines has exited.
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

// Guards against ending a stream that cannot be resumed because another stream found one of
// its engines at fault.
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
		assert.Equal(t, stages[1].Server.ID, "spare", "the other stream is rerouted")
	})
}

// Guards against a run that misses the exit of an engine because it was added just after the
// exit was reported.
func TestNewRunEndsIfItsEngineJustExited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		route := model.Route{Kind: streaming, ResumeStreams: true, MaxAttempts: 2}
		s := newTwoStageFixture(route, func(context.Context, string, *Request) (*Response, error) { return reportResponse(emptyReport), nil })
		s.HandleEngineExit(inc("far"))
		_, run := s.startTwoStageStream(t, route)
		assert.Equal(t, context.Cause(run), engineExited)
	})
}

// Guards against ending a stalled run while the retry budget is exhausted. It is ended once
// the budget has tokens again.
func TestStalledChainContinuesWithoutRetryToken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		route := model.Route{Kind: streaming, ResumeStreams: true, MaxAttempts: 2}
		s := newTwoStageFixture(route, func(context.Context, string, *Request) (*Response, error) { return reportResponse(emptyReport), nil })
		s.RetryBorrower.Budget = limits.NewSharedRetryBudget(0, 100, time.Hour, func() int { return 1 }, limitstest.Clock)
		_, run := s.startTwoStageStream(t, route)
		time.Sleep(5 * time.Second)
		synctest.Wait()
		assert.NilError(t, run.Err())
		time.Sleep(time.Hour)
		synctest.Wait()
		assert.Equal(t, context.Cause(run), stalled)
	})
}
