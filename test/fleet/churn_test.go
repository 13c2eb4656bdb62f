package fleet

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	churnSeed     = 7
	churnCallers  = 8
	churnRequests = 12 // per caller
	idleRoutes    = 240
)

// Guards against a forwarded request without a response head while routes change, backend
// servers fail and routers stop.
func TestConcurrentChangesFailuresAndStopsAnswerEveryForwardedRequest(t *testing.T) {
	s := newSite(t, 3)
	s.fleet.Events = 40
	var callers sync.WaitGroup
	var unanswered atomic.Int64
	for i := range churnCallers {
		rnd := rand.New(rand.NewPCG(churnSeed, uint64(i)))
		callers.Go(func() {
			for range churnRequests {
				if !s.callRandom(s.routers[rnd.IntN(len(s.routers))], rnd) {
					unanswered.Add(1)
				}
			}
		})
	}
	done := make(chan struct{})
	go func() {
		callers.Wait()
		close(done)
	}()
	s.churn(rand.New(rand.NewPCG(churnSeed, churnCallers)), done)
	assert.Equal(t, unanswered.Load(), int64(0), "forwarded requests got no response")
	s.waitServing()
}

// callRandom sends a random kind of request. It returns false if the request reached a
// backend server and no response head came back.
func (s *site) callRandom(r *router, rnd *rand.Rand) bool {
	a := []requestSpec{
		{path: "/sheet/1", body: "draft"},
		{path: "/notice/1", body: "arrived"},
		{path: "/lookup/1", method: http.MethodGet},
	}[rnd.IntN(3)]
	rep := s.call(r, a)
	if rep.err == nil || rep.status != 0 || s.fleet.Arrivals(rep.attempt) == 0 {
		return true
	}
	s.t.Logf("request %s to %s at router %s failed: %v; executed by %v", rep.attempt, a.path, r.settings.Instance, rep.err, s.fleet.Runs(rep.attempt))
	return false
}

// churn changes the configuration and stops and restarts servers and routers until
// done is closed. It then restarts all servers.
func (s *site) churn(rnd *rand.Rand, done <-chan struct{}) {
	var restarts sync.WaitGroup
	defer restarts.Wait()
	stopped := make([]atomic.Bool, len(s.routers))
	servers := append(append(s.engines[:0:0], s.engines...), s.plain...)
	for n := 0; ; n++ {
		select {
		case <-done:
			for _, e := range servers {
				e.Restart()
			}
			return
		case <-time.After(time.Duration(10+rnd.IntN(60)) * time.Millisecond):
		}
		e := servers[rnd.IntN(len(servers))]
		switch rnd.IntN(6) {
		case 0, 1:
			s.configure(func(cfg map[string]any) { addIdleRoutes(cfg, n) })
		case 2:
			e.StopResponding()
		case 3:
			e.Restart()
		case 4:
			e.RestartSameID()
			e.Register()
		case 5:
			i := rnd.IntN(len(s.routers))
			if !stopped[i].Swap(true) {
				restarts.Go(func() {
					s.restart(s.routers[i])
					stopped[i].Store(false)
				})
			}
		}
	}
}

// addIdleRoutes adds routes that receive no requests. The prefixes differ for each n.
func addIdleRoutes(cfg map[string]any, n int) {
	routes := cfg["routes"].([]any)
	for i := range idleRoutes {
		routes = append(routes, map[string]any{"name": fmt.Sprintf("idle-%d", i), "host": "idle.example", "prefix": fmt.Sprintf("/%d/%d/", n, i),
			"type": "idempotent", "service": notices, "timeout_ms": 1000 + n})
	}
	cfg["routes"] = routes
}

// restart stops a router gracefully and starts it again.
func (s *site) restart(r *router) {
	r.stop()
	if err := <-r.done; err != nil {
		s.t.Errorf("router %s exited with an error: %v", r.settings.Instance, err)
	}
	s.run(r)
}
