// Package faultsoak runs routers as separate processes before the platform's
// stand-ins and injects faults from outside: proxies that delay, reset, silence or
// cut one way, signals, a store and engines that misbehave. While it runs it
// checks what callers and backend servers see.
package faultsoak

import (
	"flag"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"
)

var (
	first   = flag.Uint64("seed", 1, "first seed")
	seeds   = flag.Int("seeds", 2, "how many seeds")
	lasts   = flag.Duration("lasts", 6*time.Second, "how long faults are injected, for each seed")
	routers = flag.Int("routers", 3, "router processes")
	callers = flag.Int("callers", 12, "callers at a time")
)

// regressions are seeds that failed once, each with its cause.
var regressions = []struct {
	seed  uint64
	cause string
}{}

func TestFaultSoak(t *testing.T) {
	if testing.Short() {
		t.Skip("the soak takes half a minute")
	}
	list := []uint64{}
	for _, r := range regressions {
		list = append(list, r.seed)
	}
	for i := range uint64(*seeds) {
		list = append(list, *first+i)
	}
	for _, seed := range list {
		soak(t, seed)
	}
}

func soak(t *testing.T, seed uint64) {
	t.Logf("seed %d", seed)
	s := newSite(t, rand.New(rand.NewPCG(seed, seed)))
	defer s.close()
	end := time.Now().Add(*lasts)
	var all sync.WaitGroup
	for range *callers {
		c := &client{site: s, rnd: rand.New(rand.NewPCG(seed, s.rnd.Uint64()))}
		all.Go(func() {
			for time.Now().Before(end) {
				c.step()
			}
			c.drop()
		})
	}
	for time.Now().Before(end) {
		s.fault()
		time.Sleep(time.Duration(50+s.rnd.IntN(400)) * time.Millisecond)
	}
	all.Wait()
	s.heal()
	s.recovered()
	s.check()
	if t.Failed() {
		t.Fatalf("seed %d failed; logs of the routers: %s", seed, s.keepLogs())
	}
}

// fault injects one fault, which ends by itself after a while. Several overlap.
func (s *site) fault() {
	during := time.Duration(200+s.rnd.IntN(1800)) * time.Millisecond
	kinds := []func(time.Duration){
		s.breakLink, s.breakLink, s.resetLink, s.resetLink, s.breakStore, s.loseWrites, s.compact,
		s.killEngine, s.killEngine, s.leaveEngine, s.confuseEngine, s.confuseEngine, s.confusePlain, s.confusePlain,
		s.killRouter, s.stopRouter, s.pauseRouter, s.hangUp, s.reconfigure,
		s.returnEngine, s.returnEngine, s.overwriteEntry,
	}
	kinds[s.rnd.IntN(len(kinds))](during)
}

// recovered waits until every router serves each kind of request again. How
// long that takes is not what is tested; that it comes is.
func (s *site) recovered() {
	s.t.Helper()
	end := time.Now().Add(40 * time.Second)
	c := &client{site: s, rnd: s.rnd}
	for _, r := range s.routers {
		for _, kind := range []string{"sheet", "notice", "lookup"} {
			for {
				c.drop()
				if rep := c.ask(r, kind); rep.err == nil && rep.status == http.StatusOK {
					break
				}
				if time.Now().After(end) {
					s.t.Errorf("router %s does not serve a %s again", r.name, kind)
					return
				}
				time.Sleep(50 * time.Millisecond)
			}
		}
	}
	c.drop()
	for !s.oldKeyRefused(c) {
		if time.Now().After(end) {
			s.t.Error("a key that was taken away is still served, or the newest is not")
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
}
