package fleet

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/skylarkwood/skylarkwood/platform/standin"
)

// sendSteadily sends requests for a path to all routers until stop is closed. It returns the
// number of responses by status.
func (s *site) sendSteadily(path string, interval time.Duration, stop <-chan struct{}) map[int]int64 {
	var mu sync.Mutex
	byStatus := map[int]int64{}
	var sending sync.WaitGroup
	for _, r := range s.routers {
		sending.Go(func() {
			tick := time.NewTicker(interval)
			defer tick.Stop()
			for {
				select {
				case <-stop:
					return
				case <-tick.C:
				}
				sending.Go(func() {
					rep := s.call(r, requestSpec{path: path, body: "draft", deadline: 5 * time.Second})
					mu.Lock()
					defer mu.Unlock()
					byStatus[rep.status]++
				})
			}
		})
	}
	sending.Wait()
	return byStatus
}

// A backend server advertises a rate limit for all routers together. Each router sent on as
// if there were none.
func TestAdvertisedLimitIsKeptByAllRouters(t *testing.T) {
	const limit, span = 3.0, 4 * time.Second
	for name, path := range map[string]string{"lookups": "/lookup/1", "sheets": "/sheet/1"} {
		t.Run(name, func(t *testing.T) {
			s := newSite(t, 3)
			limited := s.plain[0]
			if path == "/sheet/1" {
				limited = s.engineAtStage(0)
			}
			stop := make(chan struct{})
			var byStatus map[int]int64
			var sending sync.WaitGroup
			sending.Go(func() { byStatus = s.sendSteadily(path, 50*time.Millisecond, stop) })
			time.Sleep(time.Second)
			limited.SetFaults(standin.EngineFaults{Limit: limit})
			named := time.Now()
			time.Sleep(11 * time.Second)
			close(stop)
			sending.Wait()
			most := limited.MostArrivals(named.Add(time.Second), span)
			assert.Assert(t, float64(most) <= 1.5*limit*span.Seconds()+5, "%d requests in %v; responses %v", most, span, byStatus)
			assert.Assert(t, limited.MostArrivals(named.Add(5*time.Second), span) >= int(limit*span.Seconds()/2), "the limit is hardly used")
			assert.Assert(t, byStatus[http.StatusOK] > 0)
			assert.Equal(t, fmt.Sprint(byStatus[http.StatusInternalServerError], byStatus[http.StatusBadGateway]), "0 0")
		})
	}
}

// All servers of a service advertise a limit far below the load. What fits nowhere was sent
// all the same; it has to be refused at once, and must not run.
func TestLoadAboveAllLimitsIsRefusedAtOnce(t *testing.T) {
	s := newSite(t, 2)
	for _, e := range s.plain {
		e.SetFaults(standin.EngineFaults{Limit: 2})
	}
	var refused, served atomic.Int64
	for i := range 60 {
		rep := s.call(s.routers[i%2], requestSpec{path: "/notice/1", body: "draft"})
		switch rep.status {
		case http.StatusServiceUnavailable:
			assert.Equal(t, s.fleet.Arrivals(rep.attempt), 0, "the response says that the request was not run")
			assert.Assert(t, rep.retryAfter != "")
			refused.Add(1)
		case http.StatusOK:
			served.Add(1)
		}
		time.Sleep(20 * time.Millisecond)
	}
	assert.Assert(t, refused.Load() > 20, "%d refused, %d served", refused.Load(), served.Load())
	assert.Assert(t, served.Load() > 0)
}

// A router restarts and forgets the limit of a server, then the limit ends. The peers know both,
// so the limit must be kept meanwhile and the server must be used again afterwards.
func TestLimitIsKeptAcrossARestartAndEnds(t *testing.T) {
	const limit, span = 3.0, 4 * time.Second
	s := newSite(t, 3)
	limited := s.plain[0]
	limited.SetFaults(standin.EngineFaults{Limit: limit})
	stop := make(chan struct{})
	var sending sync.WaitGroup
	sending.Go(func() { s.sendSteadily("/lookup/1", 50*time.Millisecond, stop) })
	time.Sleep(5 * time.Second)
	s.restart(s.routers[0])
	restarted := time.Now()
	time.Sleep(6 * time.Second)
	most := limited.MostArrivals(restarted, span)
	assert.Check(t, float64(most) <= 1.5*limit*span.Seconds()+5, "%d requests in %v", most, span)
	ended := time.Now()
	limited.SetFaults(standin.EngineFaults{})
	s.eventually("the server is used again", func() bool { return limited.MostArrivals(ended, span) > int(2*limit*span.Seconds()) })
	close(stop)
	sending.Wait()
}
