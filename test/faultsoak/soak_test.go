// Package faultsoak runs routers as separate processes before the platform's
// stand-ins and injects faults from outside: proxies that delay, reset, silence or
// cut one way, signals, a store and engines that misbehave. While it runs it
// checks what callers and backend servers see.
package faultsoak

import (
	"flag"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"
)

var (
	firstSeed       = flag.Uint64("seed", 2, "first seed")
	seeds           = flag.Int("seeds", 1, "how many seeds")
	skipRegressions = flag.Bool("only", false, "leave the regressions out")
	parallel        = flag.Int("together", 2, "seeds at a time")
	faultDuration   = flag.Duration("lasts", 6*time.Second, "how long faults are injected, for each seed")
	routers         = flag.Int("routers", 3, "router processes")
	callers         = flag.Int("callers", 12, "callers at a time")
	resting         = flag.Int("resting", 60, "callers beside them whose connections rest between requests")
	procs           = flag.Int("procs", 1, "GOMAXPROCS of each router; 0 leaves it alone")
	busy            = flag.Int("busy", 0, "processes beside that only use up processor time")
)

// regressions are seeds that failed once, each with its cause. A seed draws the
// faults and the requests; when they meet depends on the machine.
var regressions = []struct {
	seed    uint64
	resting int
	cause   string
}{
	{1, 60, "the idle timer closed a connection whose next request had just been taken over"},
	{9300, 400, "the timer of heads refused a request that had just been taken over, as not run"},
	{9301, 400, "a raised idle limit did not hold for connections that rested already"},
}

// TestFaultSoak plays the regressions and the seeds asked for, two at a time: a
// seed spends most of its time waiting.
func TestFaultSoak(t *testing.T) {
	if testing.Short() {
		t.Skip("the soak takes half a minute")
	}
	slots := make(chan struct{}, *parallel)
	runSeed := func(seed uint64, resting int) {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			t.Parallel()
			slots <- struct{}{}
			defer func() { <-slots }()
			soak(t, seed, resting)
		})
	}
	if !*skipRegressions {
		for _, r := range regressions {
			runSeed(r.seed, r.resting)
		}
	}
	for i := range uint64(*seeds) {
		runSeed(*firstSeed+i, *resting)
	}
}

func soak(t *testing.T, seed uint64, resting int) {
	s := newSite(t, rand.New(rand.NewPCG(seed, seed)))
	defer s.close()
	defer s.startBusyProcesses(*busy)()
	end := time.Now().Add(*faultDuration)
	var all sync.WaitGroup
	for i := range *callers + resting {
		c := &client{site: s, rnd: rand.New(rand.NewPCG(seed, s.rnd.Uint64()))}
		all.Go(func() {
			for time.Now().Before(end) {
				if i >= *callers {
					c.waitIdle()
				}
				c.sendRandom()
			}
			c.closeConn()
		})
	}
	for time.Now().Before(end) {
		s.injectFault()
		time.Sleep(s.faultInterval())
	}
	all.Wait()
	s.clearFaults()
	s.waitRecovered()
	s.check()
	if t.Failed() {
		t.Fatalf("seed %d failed; logs of the routers: %s", seed, s.logDir())
	}
}

// untilNext is the time between two faults; some come in series.
func (s *site) faultInterval() time.Duration {
	if s.rnd.IntN(4) == 0 {
		return time.Duration(s.rnd.IntN(20)) * time.Millisecond
	}
	return time.Duration(50+s.rnd.IntN(400)) * time.Millisecond
}

// fault injects one fault, which ends by itself after a while. Several overlap.
func (s *site) injectFault() {
	duration := time.Duration(200+s.rnd.IntN(1800)) * time.Millisecond
	kinds := []func(time.Duration){
		s.impairLink, s.impairLink, s.resetLink, s.resetLink, s.impairStore, s.dropWriteResponses, s.compact,
		s.killEngine, s.killEngine, s.drainEngine, s.injectEngineFaults, s.injectEngineFaults, s.injectPlainFaults, s.injectPlainFaults,
		s.killRouter, s.stopRouter, s.pauseRouter, s.sendHangup, s.reconfigure,
		s.changeIdle, s.changeIdle, s.changeIdle, s.changeAndSignal,
		s.restartEngineSameID, s.restartEngineSameID, s.overwriteEntry,
		s.snapshotStore, s.restoreStore,
	}
	kinds[s.rnd.IntN(len(kinds))](duration)
}

// recovered waits until every router serves each kind of request again. How
// long that takes is not what is tested; that it comes is.
func (s *site) waitRecovered() {
	s.t.Helper()
	end := time.Now().Add(40 * time.Second)
	c := &client{site: s, rnd: s.rnd}
	for _, r := range s.routers {
		for _, kind := range []string{"sheet", "notice", "lookup"} {
			for {
				c.closeConn()
				if rep := c.request(r, kind); rep.err == nil && rep.status == http.StatusOK {
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
	c.closeConn()
	for !s.keysUpToDate(c) {
		if time.Now().After(end) {
			s.t.Error("a key that was taken away is still served, or the newest is not")
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
}
