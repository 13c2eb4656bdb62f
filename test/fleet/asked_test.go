package fleet

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/skylarkwood/skylarkwood/platform/standin"
)

// sendMarked sends a request for path to each router every 20 ms for a time and returns the
// number of responses by status.
func (s *site) sendMarked(path string, d time.Duration) map[int]int {
	var mu sync.Mutex
	byStatus := map[int]int{}
	var sending sync.WaitGroup
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		for i, r := range s.routers {
			header := http.Header{standin.SenderHeader: {fmt.Sprint("r", i)}, standin.SentAtHeader: {fmt.Sprint(time.Now().UnixMicro())}}
			sending.Go(func() {
				rep := s.call(r, requestSpec{path: path, header: header, deadline: 5 * time.Second})
				mu.Lock()
				defer mu.Unlock()
				byStatus[rep.status]++
			})
		}
	}
	sending.Wait()
	return byStatus
}

// serverOf returns a server that gets requests for a path.
func (s *site) serverOf(path string) *standin.Engine {
	if path == "/sheet/1" {
		return s.engineAtStage(0)
	}
	return s.plain[0]
}

var paths = map[string]string{"lookups": "/lookup/1", "notices": "/notice/1", "sheets": "/sheet/1"}

// A backend server refused requests with Retry-After and got more before that time was over.
func TestServerThatAsksForAPauseGetsNoRequests(t *testing.T) {
	for name, path := range paths {
		t.Run(name, func(t *testing.T) {
			s := newSite(t, 3)
			s.serverOf(path).SetFaults(standin.EngineFaults{Refuse: true, RetryAfter: 1500 * time.Millisecond})
			byStatus := s.sendMarked(path, 4*time.Second)
			assert.Equal(t, len(s.fleet.Breaches()), 0, "%d requests during a pause, the first: %+v", len(s.fleet.Breaches()), s.fleet.Breaches()[:min(len(s.fleet.Breaches()), 1)])
			assert.Equal(t, len(byStatus), 1, "%v", byStatus)
			assert.Assert(t, byStatus[http.StatusOK] > 0)
		})
	}
}

// A backend server said in its responses that it leaves, which its entry in the store did not
// say, and got new requests until it was gone.
func TestServerThatSaysItLeavesGetsNoRequests(t *testing.T) {
	for name, path := range paths {
		t.Run(name, func(t *testing.T) {
			s := newSite(t, 3)
			leaving := s.serverOf(path)
			leaving.SetFaults(standin.EngineFaults{Leaving: true})
			byStatus := s.sendMarked(path, 2*time.Second)
			leaving.Register() // its heartbeat does not say so either
			for status, n := range s.sendMarked(path, time.Second) {
				byStatus[status] += n
			}
			assert.Equal(t, len(s.fleet.Breaches()), 0, "%d requests after it said so, the first: %+v", len(s.fleet.Breaches()), s.fleet.Breaches()[:min(len(s.fleet.Breaches()), 1)])
			assert.Equal(t, len(byStatus), 1, "%v", byStatus)
			assert.Assert(t, byStatus[http.StatusOK] > 0)
		})
	}
}
