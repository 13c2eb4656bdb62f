package fleet

import (
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/skylarkwood/skylarkwood/platform/standin"
)

const (
	// maxCrashes is the number of crashes after which a request is refused.
	maxCrashes   = 3
	crashingBody = "a request body that crashes its server"
)

// Guards against a request that crashes one engine after another because routers do
// not share, or lose on restart, what they recorded about it.
func TestRequestThatCrashesEnginesIsRefused(t *testing.T) {
	s := newSite(t, 3)
	s.fleet.SetCrash(standin.Crash{Customer: "school", Body: crashingBody, Delay: 30 * time.Millisecond, RestartDelay: 400 * time.Millisecond})
	stop := make(chan struct{})
	var otherCallers sync.WaitGroup
	var refused atomic.Int64
	for _, r := range s.routers {
		otherCallers.Go(func() { refused.Add(s.sendOtherRequests(r, stop)) })
	}
	for i := range 12 {
		rep := s.call(s.routers[i%3], requestSpec{path: "/sheet/1", body: crashingBody})
		assert.Assert(t, rep.status != http.StatusOK)
		time.Sleep(50 * time.Millisecond)
	}
	close(stop)
	otherCallers.Wait()
	assert.Equal(t, s.fleet.CrashCount(), maxCrashes)
	assert.Equal(t, refused.Load(), int64(0), "other requests were refused as the crashing one")
	for _, r := range s.routers {
		r.stop()
		<-r.done
		s.run(r)
	}
	s.waitServing()
	for _, r := range s.routers {
		rep := s.call(r, requestSpec{path: "/sheet/1", body: crashingBody})
		assert.Equal(t, rep.status, http.StatusBadRequest, "%s", rep.body)
		assert.Equal(t, s.fleet.Arrivals(rep.attempt), 0)
		s.assertComplete(s.call(r, requestSpec{path: "/sheet/1", body: crashingBody, key: "key-2"}))
	}
	assert.Equal(t, s.fleet.CrashCount(), maxCrashes)
}

// sendOtherRequests sends other requests of the same customer and path until stop is
// closed, and returns the number that got a final refusal.
func (s *site) sendOtherRequests(r *router, stop <-chan struct{}) (refused int64) {
	for {
		select {
		case <-stop:
			return refused
		default:
			if rep := s.call(r, requestSpec{path: "/sheet/1", body: "draft"}); rep.status == http.StatusBadRequest {
				refused++
			}
		}
	}
}

// Guards against the same at a plain service, whose crashes show only as closed ports,
// both for a notice, which is sent once, and a lookup, which may be retried.
func TestRequestThatCrashesPlainServersIsRefused(t *testing.T) {
	for _, path := range []string{"/notice/1", "/lookup/1"} {
		t.Run(path, func(t *testing.T) {
			s := newSite(t, 2)
			s.fleet.SetCrash(standin.Crash{Customer: "school", Body: crashingBody, Delay: 10 * time.Millisecond, RestartDelay: 300 * time.Millisecond})
			for i := range 20 {
				rep := s.call(s.routers[i%2], requestSpec{path: path, body: crashingBody})
				assert.Assert(t, rep.status != http.StatusOK)
				if rep.status == http.StatusServiceUnavailable || strings.Contains(rep.body, "was not run") {
					assert.Equal(t, s.fleet.Arrivals(rep.attempt), 0, "the response says that the request was not run")
				}
				time.Sleep(200 * time.Millisecond)
			}
			assert.Equal(t, s.fleet.CrashCount(), maxCrashes)
			assert.Equal(t, s.call(s.routers[0], requestSpec{path: path, body: crashingBody}).status, http.StatusBadRequest)
			for _, r := range s.routers {
				s.eventually("other requests are served", func() bool { return s.call(r, requestSpec{path: path, body: "arrived"}).status == http.StatusOK })
			}
		})
	}
}

// Guards against taking failing links for crashes: a request whose connections break
// at several servers must be served once the links recover.
func TestFailingLinksBlameNoRequest(t *testing.T) {
	s := newSite(t, 2)
	for round := range 4 {
		for _, e := range s.plain {
			e.SetFaults(standin.EngineFaults{DropResponses: 2})
		}
		for i := range 6 {
			s.call(s.routers[(round+i)%2], requestSpec{path: "/lookup/1", body: "draft"})
		}
	}
	for _, e := range s.plain {
		e.SetFaults(standin.EngineFaults{})
	}
	for _, r := range s.routers {
		assert.Equal(t, s.call(r, requestSpec{path: "/lookup/1", body: "draft"}).status, http.StatusOK)
	}
}
