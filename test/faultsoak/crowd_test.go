package faultsoak

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"
)

const (
	crowdRouters = 4
	calmTime     = 3 * time.Second
	// crowdSettleTime is how soon after the crowd's begin an instance must serve what it reads.
	crowdSettleTime = 3 * time.Second
	crowdTime       = 6 * time.Second // measured, after crowdSettleTime
)

// crowdCase is a crowd with the processor time of its routers.
type crowdCase struct {
	name            string
	crowded, others quota
	calmRate, rate  int // requests per second, before and while the routers are crowded
	events          int // of each stream
	crowdedRouters  int // at once
	kept            bool
	loseEngines     bool
	// moveAfter is the time after which the next router is crowded; 0 for none.
	moveAfter time.Duration
}

const (
	tenth     = 100 * time.Millisecond
	hundredth = 10 * time.Millisecond // a period so short that the quota is like a share
)

func perPeriod(part float64, period time.Duration) quota {
	return quota{time.Duration(part * float64(period)), period}
}

var crowdCases = []crowdCase{
	{name: "short", crowded: perPeriod(0.03, tenth), others: perPeriod(0.3, tenth), calmRate: 16, rate: 240, events: 20},
	{name: "long", crowded: perPeriod(0.06, tenth), others: perPeriod(0.6, tenth), calmRate: 24, rate: 180, events: 100},
	{name: "moving", crowded: perPeriod(0.03, tenth), others: perPeriod(0.3, tenth), calmRate: 10, rate: 200, events: 60, moveAfter: 7 * time.Second},
	{name: "even", crowded: perPeriod(0.12, tenth), others: perPeriod(0.12, tenth), calmRate: 60, rate: 300, events: 20},
	{name: "share", crowded: perPeriod(0.05, hundredth), others: perPeriod(0.5, hundredth), calmRate: 24, rate: 240, events: 20},
	{name: "half", crowded: perPeriod(0.5, hundredth), others: perPeriod(0.9, hundredth), calmRate: 60, rate: 400, events: 60},
	{name: "full", crowded: perPeriod(1, tenth), others: perPeriod(1, tenth), calmRate: 60, rate: 300, events: 20},
	{name: "two", crowded: perPeriod(0.06, tenth), others: perPeriod(0.6, tenth), calmRate: 24, rate: 200, events: 40, crowdedRouters: 2},
	{name: "all", crowded: perPeriod(0.06, tenth), others: perPeriod(0.06, tenth), calmRate: 24, rate: 200, events: 40, crowdedRouters: 4},
	{name: "kept", crowded: perPeriod(0.06, tenth), others: perPeriod(0.6, tenth), calmRate: 24, rate: 120, events: 40, kept: true},
	{name: "losses", crowded: perPeriod(0.06, tenth), others: perPeriod(0.6, tenth), calmRate: 24, rate: 180, events: 40, loseEngines: true},
}

// minServedOfRead is the share of the requests read at the first try that must be served, as
// part of the share before the crowd.
const minServedOfRead = 0.75

var (
	crowdNames = flag.String("crowds", "short,moving", "crowds of TestCrowdedRouterServesWhatItReads, separated by commas, or all")
	crowdPlays = flag.Int("plays", 1, "times that each crowd is played")
)

// The balancer hands most new connections to one router that has little processor time. Guards
// against reading requests that are then not served.
func TestCrowdedRouterServesWhatItReads(t *testing.T) {
	if testing.Short() {
		t.Skip("each crowd takes about 25 s")
	}
	for _, c := range crowdCases {
		if *crowdNames != "all" && !slices.Contains(strings.Split(*crowdNames, ","), c.name) {
			continue
		}
		for n := range *crowdPlays {
			t.Run(c.name, func(t *testing.T) { c.run(t, *firstSeed+uint64(n)) })
		}
	}
}

const (
	// maxStallTime is the time for which this process, which is callers, engines and quotas in
	// one, may stand still in a play. Otherwise the play is void, whatever came out of it.
	maxStallTime = 400 * time.Millisecond
	maxVoidPlays = 3
)

// run plays the crowd until a play is not void.
func (c crowdCase) run(t *testing.T, seed uint64) {
	for range maxVoidPlays {
		failures, stalled := c.play(t, seed)
		if stalled > maxStallTime {
			t.Logf("%s: void, the test process stood still for %v (failures: %q)", c.name, stalled, failures)
			continue
		}
		for _, f := range failures {
			t.Error(f)
		}
		return
	}
	t.Errorf("%d plays were void", maxVoidPlays)
}

func (c crowdCase) play(t *testing.T, seed uint64) (failures []string, stalled time.Duration) {
	s := newSite(t, rand.New(rand.NewPCG(seed, seed)), siteOptions{routers: crowdRouters, sheets: []string{"sheet"}, kvTokenBytes: 1e4, idle: 4 * time.Second})
	defer s.close()
	s.fleet.Events = c.events
	load := &crowd{site: s, rnd: rand.New(rand.NewPCG(seed, 1))}
	kinds := []string{"sheet", "sheet", "lookup"}
	crowded := s.routers[:max(c.crowdedRouters, 1)]
	slow := len(crowded)
	if c.moveAfter > 0 {
		slow = 2
	}
	for i, r := range s.routers {
		q := c.others
		if i < slow {
			q = c.crowded
		}
		defer r.limit(q).stop()
	}
	time.Sleep(2 * time.Second)
	stalls := recordStalls()
	defer stalls.stop()
	load.run(calmTime, c.calmRate, c.kept, kinds...)
	calm := load.tally(time.Time{}, time.Now())

	load.move(crowded...)
	began := time.Now()
	total := crowdSettleTime + crowdTime
	if c.moveAfter > 0 {
		total += c.moveAfter
		s.runAfter(c.moveAfter, func() { load.move(s.routers[1]) })
	}
	if c.loseEngines {
		s.runAfter(crowdSettleTime, func() { s.engines[0].Restart() })
		s.runAfter(2*crowdSettleTime, func() { s.engines[1].StopResponding() })
	}
	load.run(total, c.rate, c.kept, kinds...)
	end := began.Add(total)
	n := load.tally(end.Add(-crowdTime), end, crowded...)
	load.move()
	time.Sleep(4 * time.Second)
	again := time.Now()
	load.run(calmTime, c.calmRate, c.kept, kinds...)
	calmAgain := load.tally(again, time.Now())
	t.Logf("%s: %d sent, %.3f of read served at the first try, %.3f of all; crowded routers read %d and refused %d", c.name, n.sent,
		share(n.firstServed, n.firstRead), share(n.served, n.sent), n.readByCrowded, n.refusedByCrowded)

	check := func(ok bool, format string, args ...any) {
		if !ok {
			failures = append(failures, fmt.Sprintf(format, args...))
		}
	}
	check(calm.served == calm.sent, "%d of %d served before", calm.served, calm.sent)
	check(calm.refusedAny == 0, "%d connections refused before", calm.refusedAny)
	check(share(n.firstServed, n.firstRead) >= minServedOfRead*share(calm.firstServed, calm.firstRead),
		"%d of %d requests that were read were served", n.firstServed, n.firstRead)
	check(calmAgain.refusedAny == 0, "%d connections refused once the crowd had left", calmAgain.refusedAny)
	if len(failures) > 0 || testing.Verbose() {
		for at := began; at.Before(end); at = at.Add(time.Second) {
			t.Logf("second %d: %s", int(at.Sub(began).Seconds()), load.tally(at, at.Add(time.Second), s.routers[:slow]...))
		}
	}
	if len(failures) > 0 {
		s.keepLogs.Store(true)
		t.Logf("seed %d; router logs are in %s", seed, s.logDir())
	}
	return failures, stalls.sum()
}

// Guards against a limit on new connections where no router is crowded: one is suspended for
// seconds, or all of them restart with little processor time.
func TestRoutersThatAreNotCrowdedRefuseNoConnection(t *testing.T) {
	if testing.Short() {
		t.Skip("takes about 20 s")
	}
	for name, disturb := range map[string]func(s *site){
		"suspended": func(s *site) {
			s.routers[0].signal(syscall.SIGSTOP)
			s.runAfter(3*time.Second, func() { s.routers[0].signal(syscall.SIGCONT) })
		},
		"restart of all": func(s *site) {
			before := s.routers[0].current()
			for _, r := range s.routers {
				r.signal(syscall.SIGKILL)
			}
			for s.routers[0].current() == before {
				time.Sleep(10 * time.Millisecond)
			}
			for _, r := range s.routers {
				l := r.limit(perPeriod(0.15, hundredth))
				s.runAfter(8*time.Second, l.stop)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSite(t, rand.New(rand.NewPCG(*firstSeed, 1)), siteOptions{routers: crowdRouters, sheets: []string{"sheet"}, kvTokenBytes: 1e4, idle: 4 * time.Second})
			defer s.close()
			load := &crowd{site: s, rnd: rand.New(rand.NewPCG(*firstSeed, 2))}
			s.runAfter(calmTime, func() { disturb(s) })
			load.run(3*calmTime, 40, false, "sheet", "sheet", "lookup")
			t.Logf("%s", load.tally(time.Time{}, time.Now()))
			for _, r := range s.routers {
				if n := s.refusedConnections(r); n > 0 {
					t.Errorf("%s refused %d new connections", r.name, n)
				}
			}
			if t.Failed() {
				t.Logf("router logs are in %s", s.logDir())
			}
		})
	}
}
