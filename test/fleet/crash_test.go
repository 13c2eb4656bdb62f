package fleet

import (
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/skylarkwood/skylarkwood/platform/standin"
)

const (
	// mostCrashes is after how many servers a request is known to end them.
	mostCrashes = 3
	poison      = "a sheet that ends whoever writes it"
)

// A caller's request ends each engine that begins to run it, and comes again at one
// router after the other, also after all of them started anew. Each return began from
// nothing: what a router learnt of it was over with the attempt and told to nobody, so
// twenty engines and more ended, each under the streams of other callers.
func TestRequestThatEndsEngines(t *testing.T) {
	s := newSite(t, 3)
	s.fleet.SetCrash(standin.Crash{Customer: "school", Body: poison, After: 30 * time.Millisecond, Back: 400 * time.Millisecond})
	stop := make(chan struct{})
	var innocents sync.WaitGroup
	var refused atomic.Int64
	for _, r := range s.routers {
		innocents.Go(func() { refused.Add(s.beside(r, stop)) })
	}
	for i := range 12 {
		rep := s.call(s.routers[i%3], ask{path: "/sheet/1", body: poison})
		assert.Assert(t, rep.status != http.StatusOK)
		time.Sleep(50 * time.Millisecond)
	}
	close(stop)
	innocents.Wait()
	assert.Equal(t, s.fleet.Crashed(), mostCrashes)
	assert.Equal(t, refused.Load(), int64(0), "others were taken for it")
	for _, r := range s.routers {
		r.stop()
		<-r.done
		s.run(r)
	}
	s.waitServing()
	for _, r := range s.routers {
		rep := s.call(r, ask{path: "/sheet/1", body: poison})
		assert.Equal(t, rep.status, http.StatusBadRequest, "%s", rep.body)
		assert.Equal(t, s.fleet.Arrivals(rep.attempt), 0)
		s.whole(s.call(r, ask{path: "/sheet/1", body: poison, key: "key-2"}))
	}
	assert.Equal(t, s.fleet.Crashed(), mostCrashes)
}

// beside sends other requests of the same customer and path until stop, and counts
// those that got a final refusal.
func (s *site) beside(r *router, stop <-chan struct{}) (refused int64) {
	for {
		select {
		case <-stop:
			return refused
		default:
			if rep := s.call(r, ask{path: "/sheet/1", body: "draft"}); rep.status == http.StatusBadRequest {
				refused++
			}
		}
	}
}
