package faultsoak

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/skylarkwood/skylarkwood/internal/coordination/follow"
	"github.com/skylarkwood/skylarkwood/platform/standin"
)

var (
	endedPlays   = flag.Int("endedplays", 1, "plays of each case with routers that have ended")
	endedRouters = flag.Int("endedrouters", 8, "routers in these plays")
)

// applyBound is the time after which a request must be handled by an acknowledged configuration.
const applyBound = 2 * time.Second

// endedHow are the ways in which a router ends without removing its entry: its address refuses
// connections, does not answer, or accepts connections of which it reads nothing.
var endedHow = []string{"refused", "silent", "suspended"}

// Routers that watch the store end while it does not serve them, so that they stay registered, and
// all others are killed and start. Guards against requests that are handled by an old configuration
// over two seconds after a new one was acknowledged.
func TestConfigurationIsInForceBesideEndedRouters(t *testing.T) {
	if testing.Short() {
		t.Skip("starts a few dozen processes")
	}
	slots := make(chan struct{}, *parallel)
	for _, how := range endedHow {
		for _, perDomain := range []int{1, 2} {
			for play := range *endedPlays {
				seed := *firstSeed + uint64(play)
				t.Run(fmt.Sprintf("%s %d a domain, seed %d", how, perDomain, seed), func(t *testing.T) {
					t.Parallel()
					slots <- struct{}{}
					defer func() { <-slots }()
					playEnded(t, seed, how, perDomain)
				})
			}
		}
	}
}

func playEnded(t *testing.T, seed uint64, how string, perDomain int) {
	rnd := rand.New(rand.NewPCG(seed, uint64(perDomain)))
	s := newSite(t, rnd, siteOptions{routers: *endedRouters, sheets: []string{"sheet"}})
	defer s.close()
	defer s.startBusyProcesses(*busy)()
	stalls := recordStalls()
	var running []*router
	for _, r := range s.routers {
		if slices.Contains(s.watchersOf(r.settings.FailureDomain)[:perDomain], r) {
			defer s.endRegistered(r, how)()
		} else {
			running = append(running, r)
		}
	}
	for series := range 2 {
		time.Sleep(time.Duration(rnd.IntN(2000)) * time.Millisecond)
		for _, r := range running {
			r.signal(syscall.SIGKILL)
		}
		time.Sleep(200 * time.Millisecond) // they start again after half of that
		time.Sleep(time.Duration(rnd.IntN(1500)) * time.Millisecond)
		for range 2 {
			previous := s.latestConfig().key
			s.publish()
			late := s.lateRouters(running, previous, s.latestConfig())
			assert.Check(t, len(late) == 0, "start %d, version %d: %v", series+1, s.version, late)
			time.Sleep(time.Duration(rnd.IntN(500)) * time.Millisecond)
		}
	}
	if pauses := stalls.stop(); t.Failed() {
		t.Fatalf("seed %d failed; router logs are in %s; this process paused at %v", seed, s.logDir(), pauses)
	}
}

// watchersOf returns the routers that watch the store for a failure domain.
func (s *site) watchersOf(domain string) []*router {
	var all []follow.Router
	var inDomain []*router
	for _, r := range s.routers {
		all = append(all, follow.Router{Address: r.settings.Router.Peers, Domain: r.settings.FailureDomain, Heard: true})
		if r.settings.FailureDomain == domain {
			inDomain = append(inDomain, r)
		}
	}
	p := &follow.Picker{Self: inDomain[0].settings.Router.Peers, Domain: domain, Routers: func() []follow.Router { return all }, Clock: func() time.Duration { return 0 }}
	substitutes := p.Substitutes()
	return slices.DeleteFunc(inDomain, func(r *router) bool { return slices.Contains(substitutes, r.settings.Router.Peers) })
}

// endRegistered ends a router for good, without the removal of its entry. The caller must call free
// at the end.
func (s *site) endRegistered(r *router, how string) (free func()) {
	r.store.set(blockBoth)
	r.mu.Lock()
	r.shutDown = true
	r.mu.Unlock()
	if how == "suspended" {
		r.signal(syscall.SIGSTOP)
		return func() {}
	}
	r.signal(syscall.SIGKILL)
	if how == "refused" {
		return func() {}
	}
	var silent *standin.SilentAddress
	var err error
	for range 100 { // until the process has exited
		if silent, err = standin.OccupySilently(r.settings.Router.Peers); err == nil {
			return silent.Close
		}
		time.Sleep(10 * time.Millisecond)
	}
	assert.NilError(s.t, err)
	return nil
}

// lateRouters returns the routers that accept the key of the previous configuration in a request that
// is sent later than applyBound after the acknowledgement of the current one.
func (s *site) lateRouters(routers []*router, previousKey string, v publishedConfig) []string {
	var mu sync.Mutex
	var late []string
	var slowest time.Duration
	var asking sync.WaitGroup
	for _, r := range routers {
		asking.Go(func() {
			c := &client{site: s}
			defer c.closeConn()
			for end := v.at.Add(3 * applyBound); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
				if time.Since(v.at) > applyBound {
					if rep := c.requestWithKey(r, "lookup", previousKey); rep.status == http.StatusOK {
						mu.Lock()
						late = append(late, fmt.Sprintf("%s %s after the acknowledgement", r.name, rep.began.Sub(v.at)))
						mu.Unlock()
						return
					}
				}
				rep := c.requestWithKey(r, "lookup", v.key)
				switch {
				case rep.err != nil:
					c.closeConn()
				case rep.status == http.StatusOK:
					mu.Lock()
					slowest = max(slowest, rep.began.Sub(v.at))
					mu.Unlock()
					return
				}
			}
		})
	}
	asking.Wait()
	s.t.Logf("version %d served by all within %s", v.version, slowest)
	return late
}
