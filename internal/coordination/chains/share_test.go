package chains

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/skylarkwood/skylarkwood/internal/coordination/share"
)

var crossingPair = DomainPair{A: "a", B: "b"}

// halves returns a fixture in which each chain crosses one interconnect.
func halves() *fixture {
	f := newFixture()
	f.add("a1", "a", "a100", 0, 40)
	f.add("b1", "b", "a100", 40, 80)
	f.chooser.Interconnect.phase = func() float64 { return 1 }
	return f
}

func prioritized(priority int) Requirements {
	return Requirements{Domain: "a", Tokens: 1000, Priority: priority, Prioritized: true}
}

// reportDemand applies the demand of a peer at the most urgent priority.
func (f *fixture) reportDemand(used, unmet float64) {
	demands := []PairDemand{{DomainPair: crossingPair, Demand: share.Demand{Used: used, Unmet: unmet}}}
	f.chooser.Interconnect.SetPeerDemands("peer", nil, demands, 250*time.Millisecond, 2*time.Second)
	f.now = f.now.Add(200 * time.Millisecond)
}

// Under load, an urgent request that waits at another router must keep less urgent ones off
// the interconnect. Requests of a service without route priorities keep their rule.
func TestUrgentDemandOfPeersLimitsLessUrgentRequests(t *testing.T) {
	f := halves()
	for range 4 { // the first is allowed on the idle interconnect
		stages, v := f.chooser.Choose(f.svc, prioritized(2))
		if v != Found {
			break
		}
		f.chooser.RecordStart(f.svc.Engine, stages, 774, prioritized(2))
	}
	f.reportDemand(6000, 20000)
	_, v := f.chooser.Choose(f.svc, prioritized(2))
	assert.Equal(t, v, InterconnectExhausted)
	_, v = f.chooser.Choose(f.svc, Requirements{Domain: "a", Tokens: 1000})
	assert.Equal(t, v, Found)
	f.now = f.now.Add(5 * time.Second)
	_, v = f.chooser.Choose(f.svc, prioritized(2))
	assert.Equal(t, v, Found, "the report of the peer has expired")
}

// Unmet demand must be recorded for the interconnect that a request lacked, be reported for
// a second, and only for services with route priorities.
func TestUnmetDemandIsReportedForASecond(t *testing.T) {
	f := halves()
	_, v := f.chooser.Choose(f.svc, prioritized(1))
	assert.Equal(t, v, Found)
	f.chooser.RecordStart(f.svc.Engine, []Stage{}, 774, prioritized(1))
	f.chooser.Interconnect.AddSharedTraffic("b", "a", 1, 900)
	f.reportDemand(60000, 20000)
	_, v = f.chooser.Choose(f.svc, prioritized(1))
	assert.Equal(t, v, InterconnectExhausted)
	f.chooser.RecordUnmet(f.svc, Requirements{Domain: "a", Tokens: 1000, Priority: 1}, 774)
	assert.Equal(t, f.chooser.Interconnect.Demands()[0].Unmet, 0.0)
	f.chooser.RecordUnmet(f.svc, prioritized(1), 774)
	got := f.chooser.Interconnect.Demands()
	assert.Equal(t, len(got), 1)
	assert.Equal(t, got[0].DomainPair, crossingPair)
	assert.Equal(t, got[0].Priority, 1)
	assert.Equal(t, got[0].Unmet, CrossDomainMbit(f.svc.Engine, 774))
	f.now = f.now.Add(1100 * time.Millisecond)
	assert.Equal(t, f.chooser.Interconnect.Demands()[0].Unmet, 0.0)
	f.now = f.now.Add(20 * time.Second)
	assert.Equal(t, len(f.chooser.Interconnect.Demands()), 0)
}

// A peer of an older version reports traffic without priorities. Under load it must count
// against the limit, also if it was reported before the first request that asks for a share.
func TestTrafficOfOlderPeersCounts(t *testing.T) {
	f := halves()
	f.chooser.RouterCount = func() int { return 2 }
	f.chooser.Interconnect.SetPeerRates("peer", map[DomainPair]float64{crossingPair: 60000}, 2*time.Second)
	f.chooser.Interconnect.RecordUnmet("a", "b", 3, 500)
	f.now = f.now.Add(200 * time.Millisecond)
	_, v := f.chooser.Choose(f.svc, prioritized(3))
	assert.Equal(t, v, InterconnectExhausted)
}

// A service without route priorities must send no demands: its heartbeats stay as they were.
func TestServicesWithoutPrioritiesReportNoDemand(t *testing.T) {
	f := halves()
	stages, _ := f.chooser.Choose(f.svc, Requirements{Domain: "a", Tokens: 1000})
	f.chooser.RecordStart(f.svc.Engine, stages, 774, Requirements{})
	f.chooser.RecordUnmet(f.svc, Requirements{Domain: "a", Tokens: 1000}, 774)
	assert.Equal(t, len(f.chooser.Interconnect.Demands()), 0)
	assert.Equal(t, len(f.chooser.Interconnect.OwnRates()), 1)
}

// Under load a hop must cost more before the interconnect is full. If it costs the same until
// then, chains cross it although others need it.
func TestCrossingCostGrowsAsTheInterconnectFills(t *testing.T) {
	f := halves()
	cost := func() float64 { return f.chooser.crossingCost(f.svc.Engine, "a", "b", prioritized(0), 2) }
	idle := cost()
	last := idle
	for _, rate := range []float64{1000, 2000, 3000} {
		f.chooser.Interconnect.SetPeerRates("peer", map[DomainPair]float64{crossingPair: rate}, 2*time.Second)
		f.now = f.now.Add(200 * time.Millisecond)
		next := cost()
		assert.Assert(t, next > last, "%v at %v Mbit/s, %v before", next, rate, last)
		last = next
	}
	assert.Assert(t, last > 1.5*idle, "%v when almost full, %v when idle", last, idle)
}

func BenchmarkChooseByRouters(b *testing.B) {
	for _, routers := range []int{27, 400} {
		for name, req := range map[string]Requirements{"constant": {Domain: "a", Tokens: 1000}, "shares": prioritized(1)} {
			for load, used := range map[string]float64{"free": 3, "short": 30000} {
				b.Run(fmt.Sprint(routers, "/", load, "/", name), func(b *testing.B) {
					f := newFixture()
					for _, d := range []string{"a", "b", "c"} {
						f.add(d+"1", d, "a100", 0, 40)
						f.add(d+"2", d, "a100", 40, 80)
					}
					f.chooser.RouterCount = func() int { return routers }
					pairs := []DomainPair{crossingPair, {A: "a", B: "c"}, {A: "b", B: "c"}}
					report := func(i int) {
						rates := map[DomainPair]float64{}
						var demands []PairDemand
						for _, pair := range pairs {
							rates[pair] = used / float64(routers)
							for p := range 3 {
								demands = append(demands, PairDemand{pair, share.Demand{Priority: p, Used: used / float64(3*routers), Unmet: float64(i % 7)}})
							}
						}
						f.chooser.Interconnect.SetPeerDemands(fmt.Sprint("r", i%(routers-1)), rates, demands, time.Second, time.Hour)
					}
					for i := range routers - 1 {
						report(i)
					}
					for i := 0; b.Loop(); i++ {
						f.now = f.now.Add(time.Second / 150)
						if i%2 == 0 { // 75 heartbeats a second, which are not part of a choice
							b.StopTimer()
							report(i)
							b.StartTimer()
						}
						f.chooser.Choose(f.svc, req)
					}
				})
			}
		}
	}
}

// Routers come and go under new names. What a router that is gone reported must be dropped
// once it has expired, or memory and the time of each choice grow with all routers ever seen.
func TestExpiredReportsOfPeersAreDropped(t *testing.T) {
	f := halves()
	for i := range 100 {
		f.chooser.Interconnect.SetPeerRates(fmt.Sprint("peer", i), map[DomainPair]float64{crossingPair: 1}, 2*time.Second)
		f.now = f.now.Add(time.Second)
	}
	f.chooser.Interconnect.Rate("a", "b")
	assert.Assert(t, len(f.chooser.Interconnect.peers) <= 2, "%d reports", len(f.chooser.Interconnect.peers))
}

// The first prioritized request after other traffic of this router must see what peers
// reported before, not an interconnect that only this router uses.
func TestFirstPrioritizedRequestCountsReportsOfPeers(t *testing.T) {
	f := halves()
	f.chooser.Interconnect.AddTraffic("a", "b", 900)
	f.reportDemand(60000, 20000)
	_, v := f.chooser.Choose(f.svc, prioritized(1))
	assert.Equal(t, v, InterconnectExhausted)
}
