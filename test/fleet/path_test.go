package fleet

import (
	"context"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/skylarkwood/skylarkwood/platform/standin"
)

func TestSheetsAndNoticesAreServed(t *testing.T) {
	s := newSite(t, 2)
	for _, r := range s.routers {
		s.assertComplete(s.call(r, requestSpec{path: "/sheet/1", body: "draft"}))
		rep := s.call(r, requestSpec{path: "/notice/1", body: "arrived"})
		assert.Equal(t, rep.status, http.StatusOK)
		assert.Equal(t, rep.body, standin.PlainBody(rep.attempt))
		assert.Equal(t, len(s.fleet.Runs(rep.attempt)), 1)
	}
}

func TestInvalidRequestsAreNotForwarded(t *testing.T) {
	s := newSite(t, 1)
	r := s.routers[0]
	for name, want := range map[string]struct {
		request requestSpec
		status  int
	}{
		"no such route": {requestSpec{path: "/none/1"}, http.StatusNotFound},
		"unknown key":   {requestSpec{path: "/sheet/1", key: "key-9"}, http.StatusUnauthorized},
		"body too long": {requestSpec{path: "/notice/1", body: strings.Repeat("x", 70000)}, http.StatusRequestEntityTooLarge},
		"head too long": {requestSpec{path: "/notice/1", header: http.Header{"X-Long": {strings.Repeat("x", 9000)}}}, http.StatusRequestHeaderFieldsTooLarge},
		"odd deadline":  {requestSpec{path: "/notice/1", header: http.Header{"Deadline-Ms": {"soon"}}}, http.StatusBadRequest},
	} {
		rep := s.call(r, want.request)
		assert.NilError(t, rep.err, name)
		assert.Equal(t, rep.status, want.status, name)
		assert.Equal(t, s.fleet.Arrivals(rep.attempt), 0, name)
	}
}

// Guards against missing or duplicate events when an engine of a later stage stops responding.
func TestStreamContinuesAfterLosingLaterStage(t *testing.T) {
	s := newSite(t, 1)
	s.fleet.Events = 200
	failing := s.engineAtStage(1)
	var all sync.WaitGroup
	for range 4 {
		all.Go(func() { s.assertComplete(s.call(s.routers[0], requestSpec{path: "/sheet/1"})) })
	}
	time.Sleep(200 * time.Millisecond)
	failing.StopResponding()
	all.Wait()
}

// Guards against missing or duplicate events when the first engine stops responding.
// Another engine continues after the last event that the caller received.
func TestStreamContinuesAfterLosingFirstStage(t *testing.T) {
	s := newSite(t, 1)
	s.fleet.Events = 200
	failing := s.engineAtStage(0)
	var all sync.WaitGroup
	for range 4 {
		all.Go(func() { s.assertComplete(s.call(s.routers[0], requestSpec{path: "/sheet/1"})) })
	}
	time.Sleep(200 * time.Millisecond)
	failing.StopResponding()
	all.Wait()
}

// engineAtStage returns a fast engine of the first router's failure domain: one of the
// first stage if n is 0, otherwise one of a later stage.
func (s *site) engineAtStage(n int) *standin.Engine {
	for i, e := range s.engines[:2] {
		if (e.Holds().From > 0) == (n > 0) && e.Holds().Len() > 0 {
			return s.engines[i]
		}
	}
	s.t.Fatal("no engine holds such a stage")
	return nil
}

// Guards against running a notice again after its response is lost. The caller must
// get 502, as the notice may have run.
func TestNoticeWhoseAnswerIsLost(t *testing.T) {
	s := newSite(t, 1)
	for _, e := range s.plain {
		// One server may get all notices. It loses three of them.
		e.SetFaults(standin.EngineFaults{DropResponses: 2, Truncate: 1, WrongAttempt: 1})
	}
	lost := 0
	for range 30 {
		rep := s.call(s.routers[0], requestSpec{path: "/notice/1", body: "arrived"})
		assert.Equal(t, len(s.fleet.Runs(rep.attempt)), 1)
		assert.Assert(t, rep.status == http.StatusOK || rep.status == http.StatusBadGateway, "%d", rep.status)
		if rep.status == http.StatusOK {
			assert.Equal(t, rep.body, standin.PlainBody(rep.attempt))
		} else {
			lost++
		}
	}
	assert.Assert(t, lost >= 3, "only %d responses were lost", lost)
}

// Guards against exposing the same faults to the caller of a lookup, which may be
// retried.
func TestLookupIsRetried(t *testing.T) {
	s := newSite(t, 1)
	s.plain[0].SetFaults(standin.EngineFaults{DropResponses: 1, Truncate: 1, WrongAttempt: 1, Fail: 1})
	for range 12 {
		rep := s.call(s.routers[0], requestSpec{path: "/lookup/1", method: http.MethodGet})
		assert.Equal(t, rep.status, http.StatusOK)
		assert.Equal(t, rep.body, standin.PlainBody(rep.attempt))
	}
}

// Guards against delivering a surplus response to the next request on the connection.
func TestSurplusResponseIsDiscarded(t *testing.T) {
	s := newSite(t, 1)
	for _, e := range s.plain {
		e.SetFaults(standin.EngineFaults{ExtraResponses: 3})
	}
	for range 12 {
		rep := s.call(s.routers[0], requestSpec{path: "/lookup/1", method: http.MethodGet})
		assert.Equal(t, rep.status, http.StatusOK)
		assert.Equal(t, rep.body, standin.PlainBody(rep.attempt))
	}
}

// Guards against a slow or missing refusal when every backend server refuses. The
// caller must get 503 with Retry-After, and the notice must not run.
func TestRefusedNoticeReturnsRetryAfter(t *testing.T) {
	s := newSite(t, 1)
	for _, e := range s.plain {
		e.SetFaults(standin.EngineFaults{Refuse: true})
	}
	rep := s.call(s.routers[0], requestSpec{path: "/notice/1", body: "x"})
	assert.Equal(t, rep.status, http.StatusServiceUnavailable)
	assert.Assert(t, rep.retryAfter != "")
	assert.Equal(t, len(s.fleet.Runs(rep.attempt)), 0)
}

// Guards against a notice without an answer when its backend server hangs. The caller
// must get 504 at its deadline, as the notice may have run.
func TestHangingNoticeTimesOut(t *testing.T) {
	s := newSite(t, 1)
	for _, e := range s.plain {
		e.SetFaults(standin.EngineFaults{Hang: true})
	}
	rep := s.call(s.routers[0], requestSpec{path: "/notice/1", body: "x", deadline: 300 * time.Millisecond})
	assert.Equal(t, rep.status, http.StatusGatewayTimeout)
	assert.Equal(t, len(s.fleet.Runs(rep.attempt)), 1)
}

// Guards against sending new requests to a draining backend server.
func TestDrainingServerGetsNoRequests(t *testing.T) {
	s := newSite(t, 1)
	s.plain[0].Drain()
	time.Sleep(500 * time.Millisecond)
	for range 10 {
		rep := s.call(s.routers[0], requestSpec{path: "/lookup/1", method: http.MethodGet})
		assert.Equal(t, rep.status, http.StatusOK)
		assert.DeepEqual(t, s.fleet.Runs(rep.attempt), []string{s.plain[1].ID()})
	}
}

// Guards against using an engine that restarted empty. Requests for its old
// incarnation must not run there, and its layers must be loaded again.
func TestRestartedEngineIsReloaded(t *testing.T) {
	s := newSite(t, 2)
	e := s.engines[0]
	held := e.Holds()
	e.Restart()
	s.eventually("layers are loaded again", func() bool { return e.Holds() == held })
	s.assertComplete(s.call(s.routers[0], requestSpec{path: "/sheet/1"}))
}

// Guards against a configuration change that does not reach every router: the old key
// must be refused and the new one accepted.
func TestConfigurationReachesEveryRouter(t *testing.T) {
	s := newSite(t, 2)
	s.configure(func(cfg map[string]any) {
		cfg["tenants"] = []any{map[string]any{"name": "school", "api_keys": []any{"key-3"}}}
	})
	for _, r := range s.routers {
		s.eventually("old key refused", func() bool {
			return s.call(r, requestSpec{path: "/lookup/1", key: "key-1"}).status == http.StatusUnauthorized
		})
		assert.Equal(t, s.call(r, requestSpec{path: "/lookup/1", key: "key-3"}).status, http.StatusOK)
	}
}

// Guards against refusals during a store outage. Configured routes must still be
// served. Unknown routes must get 503, since they may have been added meanwhile.
func TestStoreOutageKeepsServing(t *testing.T) {
	s := newSite(t, 1)
	r := s.routers[0]
	s.store.SetFaults(standin.StoreFaults{Unresponsive: true})
	s.eventually("unknown route gets 503", func() bool {
		return s.call(r, requestSpec{path: "/none/1"}).status == http.StatusServiceUnavailable
	})
	s.assertComplete(s.call(r, requestSpec{path: "/sheet/1"}))
	assert.Equal(t, s.call(r, requestSpec{path: "/notice/1", body: "x"}).status, http.StatusOK)
	s.store.SetFaults(standin.StoreFaults{})
	s.eventually("unknown route gets 404", func() bool { return s.call(r, requestSpec{path: "/none/1"}).status == http.StatusNotFound })
}

// Guards against a router that cannot start during a store outage. It must get the
// configuration and the engines from its seed peer.
func TestRouterStartsDuringStoreOutage(t *testing.T) {
	s := newSite(t, 1)
	s.store.SetFaults(standin.StoreFaults{Unresponsive: true})
	late := s.startRouter("late", "b")
	s.eventually("ready", late.r.Ready)
	s.assertComplete(s.call(late, requestSpec{path: "/sheet/1"}))
	assert.Equal(t, s.call(late, requestSpec{path: "/lookup/1", key: "key-9"}).status/100 != 2, true, "an unknown key was accepted")
}

// Guards against refusing requests during startup, before the first configuration
// arrives: callers have one retry only, so the router must hold them.
func TestRequestsWaitForFirstConfiguration(t *testing.T) {
	s := newSite(t, 1)
	s.store.SetFaults(standin.StoreFaults{Refuse: true})
	s.routers[0].stop()
	<-s.routers[0].done
	r := s.routers[0]
	r.settings.Router.FirstStart = false
	s.run(r)
	s.eventually("router accepts connections", func() bool {
		c, err := net.Dial("tcp", r.settings.Router.Callers)
		if err == nil {
			c.Close()
		}
		return err == nil
	})
	time.AfterFunc(300*time.Millisecond, func() { s.store.SetFaults(standin.StoreFaults{}) })
	s.assertComplete(s.call(r, requestSpec{path: "/sheet/1"}))
}

// Guards against losing requests that are in progress or arrive during a planned stop.
func TestPlannedStopCompletesRequests(t *testing.T) {
	s := newSite(t, 2)
	s.fleet.Events = 150
	r := s.routers[0]
	var all sync.WaitGroup
	for i := range 8 {
		all.Go(func() {
			time.Sleep(time.Duration(i*60) * time.Millisecond)
			s.assertComplete(s.call(r, requestSpec{path: "/sheet/1"}))
		})
	}
	time.Sleep(200 * time.Millisecond)
	r.stop()
	s.eventually("not ready", func() bool { return !r.r.Ready() })
	all.Wait()
	assert.NilError(t, <-r.done)
	r.done <- nil // received by stopAll
}

// Guards against engines that keep working on a stream after its caller hung up.
func TestCallerHangUpCancelsStream(t *testing.T) {
	s := newSite(t, 1)
	s.fleet.Events = 100000
	ctx, hangUp := context.WithCancel(context.Background())
	done := make(chan response)
	go func() { done <- s.callCtx(ctx, s.routers[0], requestSpec{path: "/sheet/1"}) }()
	time.Sleep(200 * time.Millisecond)
	hangUp()
	<-done
	s.eventually("engines have no streams", func() bool {
		for _, e := range s.engines {
			if e.Streams() > 0 {
				return false
			}
		}
		return true
	})
}

// Guards against sending streams to an engine that passes its health check but fails
// every request. Each stream must complete on another engine.
func TestFailingEngineIsLeftAlone(t *testing.T) {
	s := newSite(t, 1)
	const requestCount = 60
	// The costs of engines change, so an engine that served one stream may get no other.
	const rounds = 5
	var faulty *standin.Engine
	for round := 0; round < rounds && (faulty == nil || faulty.Failed() == 0); round++ {
		if faulty != nil {
			faulty.SetFaults(standin.EngineFaults{})
		}
		rep := s.call(s.routers[0], requestSpec{path: "/sheet/x"})
		s.assertComplete(rep)
		faulty = s.engineByID(s.fleet.Runs(rep.attempt)[0])
		faulty.SetFaults(standin.EngineFaults{Fail: requestCount})
		for range requestCount {
			s.assertComplete(s.call(s.routers[0], requestSpec{path: "/sheet/x"}))
		}
		assert.Assert(t, faulty.Failed() <= requestCount/6, "%d of %d streams reached the faulty engine", faulty.Failed(), requestCount)
	}
	assert.Assert(t, faulty.Failed() > 0, "no stream reached the faulty engine")
}

// engineByID returns the engine whose current incarnation has the given ID.
func (s *site) engineByID(id string) *standin.Engine {
	s.t.Helper()
	for _, e := range s.engines {
		if e.ID() == id {
			return e
		}
	}
	s.t.Fatalf("no engine has ID %s", id)
	return nil
}
