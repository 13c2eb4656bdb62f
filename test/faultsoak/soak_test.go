// Package faultsoak runs routers as separate processes against stand-ins for the
// platform and injects faults: proxies that delay, reset or block connections,
// signals, and failures of the store and the engines. It checks what callers and
// backend servers observe.
package faultsoak

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"
)

var (
	firstSeed       = flag.Uint64("seed", 2, "first seed")
	seeds           = flag.Int("seeds", 1, "number of seeds")
	skipRegressions = flag.Bool("only", false, "skip the regression seeds")
	parallel        = flag.Int("together", 2, "seeds to run in parallel")
	faultDuration   = flag.Duration("lasts", 6*time.Second, "duration of fault injection per seed")
	routers         = flag.Int("routers", 3, "number of router processes")
	callers         = flag.Int("callers", 12, "number of busy callers")
	resting         = flag.Int("resting", 60, "number of additional callers whose connections idle between requests")
	procs           = flag.Int("procs", 1, "GOMAXPROCS of each router; 0 keeps the default")
	busy            = flag.Int("busy", 0, "number of additional processes that only use processor time")
)

// regressions are seeds that once failed, with the cause. A seed determines faults and
// requests, but not their exact timing.
var regressions = []struct {
	seed    uint64
	resting int
	cause   string
}{
	{1, 60, "idle timer closed a connection whose next request had just been accepted"},
	{9300, 400, "header timer refused a request that had just been accepted, as not run"},
	{9301, 400, "raised idle limit did not apply to connections that were already idle"},
}

// TestFaultSoak runs the regression seeds and the requested seeds, several in
// parallel.
func TestFaultSoak(t *testing.T) {
	if testing.Short() {
		t.Skip("soak takes about half a minute")
	}
	slots := make(chan struct{}, *parallel)
	runSeed := func(seed uint64, resting int, laterFaults bool) {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			t.Parallel()
			slots <- struct{}{}
			defer func() { <-slots }()
			soak(t, seed, resting, laterFaults)
		})
	}
	if !*skipRegressions {
		for _, r := range regressions {
			runSeed(r.seed, r.resting, false)
		}
	}
	shortageSlot := make(chan struct{}, 1)
	for i := range uint64(*seeds) {
		runSeed(*firstSeed+i, *resting, true)
		t.Run(fmt.Sprint("shortage ", *firstSeed+i), func(t *testing.T) {
			t.Parallel()
			shortageSlot <- struct{}{}
			defer func() { <-shortageSlot }()
			soakShortage(t, *firstSeed+i)
		})
	}
}

// soak runs one seed. laterFaults adds servers that ask for something in their responses, routes
// with priorities and silent watches. Without them a seed gives the same faults as before these
// were added.
func soak(t *testing.T, seed uint64, resting int, laterFaults bool) {
	sheets := []string{"sheet"}
	if laterFaults {
		sheets = sheetsByPriority
	}
	s := newSite(t, rand.New(rand.NewPCG(seed, seed)), siteOptions{routers: *routers, sheets: sheets})
	defer s.close()
	s.kinds = s.faultKinds()
	if laterFaults {
		s.kinds = append(s.kinds, s.askForPause, s.askForPause, s.askForPause, s.announceLeaving, s.silenceWatches, s.silenceWatches, s.crashByPart, s.sendUnframed, s.sendUnframed, s.crowdRouter, s.crowdRouter)
	}
	defer s.startBusyProcesses(*busy)()
	stalls := recordStalls()
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
	s.checkCrashes()
	pauses := stalls.stop()
	if t.Failed() {
		t.Fatalf("seed %d failed; router logs are in %s; this process paused at %v", seed, s.logDir(), pauses)
	}
}

// faultInterval returns the time until the next fault. A quarter of the faults follow
// in quick succession.
func (s *site) faultInterval() time.Duration {
	if s.rnd.IntN(4) == 0 {
		return time.Duration(s.rnd.IntN(20)) * time.Millisecond
	}
	return time.Duration(50+s.rnd.IntN(400)) * time.Millisecond
}

// injectFault injects one random fault, which ends after a while. Faults may overlap.
func (s *site) injectFault() {
	duration := time.Duration(200+s.rnd.IntN(1800)) * time.Millisecond
	s.kinds[s.rnd.IntN(len(s.kinds))](duration)
}

func (s *site) faultKinds() []func(time.Duration) {
	return []func(time.Duration){
		s.impairLink, s.impairLink, s.resetLink, s.resetLink, s.impairStore, s.dropWriteResponses, s.compact,
		s.killEngine, s.killEngine, s.drainEngine, s.injectEngineFaults, s.injectEngineFaults, s.injectPlainFaults, s.injectPlainFaults,
		s.killRouter, s.stopRouter, s.pauseRouter, s.sendHangup, s.reconfigure,
		s.changeIdle, s.changeIdle, s.changeIdle, s.changeAndSignal,
		s.restartEngineSameID, s.restartEngineSameID, s.overwriteEntry,
		s.snapshotStore, s.restoreStore,
	}
}

// waitRecovered waits until every router serves each kind of request and applies the
// latest key.
func (s *site) waitRecovered() {
	s.t.Helper()
	end := time.Now().Add(40 * time.Second)
	c := &client{site: s, rnd: s.rnd}
	for _, r := range s.routers {
		for _, kind := range append([]string{"notice", "lookup"}, s.sheets...) {
			for {
				c.closeConn()
				if rep := c.request(r, kind); rep.err == nil && rep.status == http.StatusOK {
					break
				}
				if time.Now().After(end) {
					s.t.Errorf("router %s did not recover: %s request is not served", r.name, kind)
					return
				}
				time.Sleep(50 * time.Millisecond)
			}
		}
	}
	c.closeConn()
	for !s.keysUpToDate(c) {
		if time.Now().After(end) {
			s.t.Error("a revoked key is still accepted, or the current key is not")
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
}
