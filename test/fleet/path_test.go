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

// A part of a chain dies while a sheet is being written. The caller gets the
// rest from another engine, with no event missing or twice: the first engine
// names the one it waits for and the stream is sent around it.
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

// The first engine of a chain dies: its streams are taken up by another one
// from the last event that the caller has.
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

// partOf finds a fast engine of the first router's domain that begins, or does
// not begin, with the first layer.
func (s *site) engineAtStage(n int) *standin.Engine {
	for i, e := range s.engines[:2] {
		if (e.Holds().From > 0) == (n > 0) && e.Holds().Len() > 0 {
			return s.engines[i]
		}
	}
	s.t.Fatal("no such engine")
	return nil
}

// A notice runs and its answer is lost. It must not run again: the caller is
// told that nobody knows (502), and never that it did not run.
func TestNoticeWhoseAnswerIsLost(t *testing.T) {
	s := newSite(t, 1)
	for _, e := range s.plain {
		e.SetFaults(standin.EngineFaults{DropResponses: 1, Truncate: 1, WrongAttempt: 1})
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
	assert.Assert(t, lost >= 3, "%d answers were lost", lost)
}

// The same faults at a lookup, which may run again: the caller notices nothing.
func TestLookupIsRetried(t *testing.T) {
	s := newSite(t, 1)
	s.plain[0].SetFaults(standin.EngineFaults{DropResponses: 1, Truncate: 1, WrongAttempt: 1, Fail: 1})
	for range 12 {
		rep := s.call(s.routers[0], requestSpec{path: "/lookup/1", method: http.MethodGet})
		assert.Equal(t, rep.status, http.StatusOK)
		assert.Equal(t, rep.body, standin.PlainBody(rep.attempt))
	}
}

// A backend server sends a second answer behind the first. It belongs to no
// request: the next one on that connection must not get it.
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

// Every backend server refuses. The caller is told at once that its notice did
// not run, and when to come back.
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

// A backend server hangs. The notice is answered when the caller's time is
// over, as 504: it may have run.
func TestHangingNoticeTimesOut(t *testing.T) {
	s := newSite(t, 1)
	for _, e := range s.plain {
		e.SetFaults(standin.EngineFaults{Hang: true})
	}
	rep := s.call(s.routers[0], requestSpec{path: "/notice/1", body: "x", deadline: 300 * time.Millisecond})
	assert.Equal(t, rep.status, http.StatusGatewayTimeout)
	assert.Equal(t, len(s.fleet.Runs(rep.attempt)), 1)
}

// An engine says that it leaves: from then on it gets nothing new.
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

// An engine restarts empty at its old address. Nothing meant for the old
// incarnation runs there, and it is loaded with its range again.
func TestRestartedEngineIsReloaded(t *testing.T) {
	s := newSite(t, 2)
	e := s.engines[0]
	held := e.Holds()
	e.Restart()
	s.eventually("loaded again", func() bool { return e.Holds() == held })
	s.assertComplete(s.call(s.routers[0], requestSpec{path: "/sheet/1"}))
}

// A key is taken away, a route is added. Both are in force at every router, and
// a router that the store does not serve learns them from its peer.
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

// The store is away for everybody. What is configured goes on being served; what
// the configuration does not know is refused for now, not for good: it may have
// been added meanwhile.
func TestStoreOutageKeepsServing(t *testing.T) {
	s := newSite(t, 1)
	r := s.routers[0]
	s.store.SetFaults(standin.StoreFaults{Unresponsive: true})
	s.eventually("unknown route refused for now", func() bool {
		return s.call(r, requestSpec{path: "/none/1"}).status == http.StatusServiceUnavailable
	})
	s.assertComplete(s.call(r, requestSpec{path: "/sheet/1"}))
	assert.Equal(t, s.call(r, requestSpec{path: "/notice/1", body: "x"}).status, http.StatusOK)
	s.store.SetFaults(standin.StoreFaults{})
	s.eventually("unknown route refused for good", func() bool { return s.call(r, requestSpec{path: "/none/1"}).status == http.StatusNotFound })
}

// A router starts while the store is away: it gets the configuration and the
// engines from a peer named as its seed, and serves.
func TestRouterStartsDuringStoreOutage(t *testing.T) {
	s := newSite(t, 1)
	s.store.SetFaults(standin.StoreFaults{Unresponsive: true})
	late := s.startRouter("late", "b")
	s.eventually("ready", late.r.Ready)
	s.assertComplete(s.call(late, requestSpec{path: "/sheet/1"}))
	assert.Equal(t, s.call(late, requestSpec{path: "/lookup/1", key: "key-9"}).status/100 != 2, true, "the configuration came with its keys")
}

// Every router restarts while the store is away, and it returns a moment later.
// Callers that come meanwhile are served as soon as the configuration is there:
// they have one retry, and a refusal would use it up. Once the router has been
// up for a while without one, it refuses at once.
func TestRequestsWaitForFirstConfiguration(t *testing.T) {
	s := newSite(t, 1)
	s.store.SetFaults(standin.StoreFaults{Refuse: true})
	s.routers[0].stop()
	<-s.routers[0].done
	r := s.routers[0]
	r.settings.Router.FirstStart = false
	s.run(r)
	s.eventually("takes callers", func() bool {
		c, err := net.Dial("tcp", r.settings.Router.Callers)
		if err == nil {
			c.Close()
		}
		return err == nil
	})
	time.AfterFunc(300*time.Millisecond, func() { s.store.SetFaults(standin.StoreFaults{}) })
	s.assertComplete(s.call(r, requestSpec{path: "/sheet/1"}))
}

// A planned stop: readiness fails, requests in progress are finished, later ones
// are still taken until the balancer has noticed, and the process ends.
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
	r.done <- nil // for the clean-up
}

// A caller hangs up in the middle of its sheet. Its engine's work ends soon.
func TestCallerHangUpCancelsStream(t *testing.T) {
	s := newSite(t, 1)
	s.fleet.Events = 100000
	ctx, hangUp := context.WithCancel(context.Background())
	done := make(chan response)
	go func() { done <- s.callCtx(ctx, s.routers[0], requestSpec{path: "/sheet/1"}) }()
	time.Sleep(200 * time.Millisecond)
	hangUp()
	<-done
	s.eventually("engines idle", func() bool {
		for _, e := range s.engines {
			if e.Streams() > 0 {
				return false
			}
		}
		return true
	})
}

// An engine answers everything that it receives with a failure of its own, at once,
// and its health check is good. Streams that are sent to it are answered whole all
// the same, each by another engine, and after a few of them none begins there.
func TestFailingEngineIsLeftAlone(t *testing.T) {
	s := newSite(t, 1)
	const requestCount = 60
	rep := s.call(s.routers[0], requestSpec{path: "/sheet/x"})
	s.assertComplete(rep)
	faulty := s.engineByID(s.fleet.Runs(rep.attempt)[0])
	faulty.SetFaults(standin.EngineFaults{Fail: requestCount})
	for range requestCount {
		s.assertComplete(s.call(s.routers[0], requestSpec{path: "/sheet/x"}))
	}
	assert.Assert(t, faulty.Failed() > 0, "it was never begun with")
	assert.Assert(t, faulty.Failed() <= requestCount/6, "%d of %d began there", faulty.Failed(), requestCount)
}

// engineByID finds an engine by its present incarnation.
func (s *site) engineByID(id string) *standin.Engine {
	s.t.Helper()
	for _, e := range s.engines {
		if e.ID() == id {
			return e
		}
	}
	s.t.Fatalf("no engine %s", id)
	return nil
}
