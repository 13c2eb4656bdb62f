package share

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const failureRouters = 27

var failureAges = []time.Duration{250 * time.Millisecond, 2 * time.Second}

func forAges(t *testing.T, check func(t *testing.T, seed uint64, age time.Duration)) {
	for _, seed := range modelSeeds {
		for _, age := range failureAges {
			t.Run(fmt.Sprint("seed ", seed, "/", age), func(t *testing.T) {
				t.Parallel()
				check(t, seed, age)
			})
		}
	}
}

// reportValidity is how long a report of a router that stops counts.
func reportValidity(age time.Duration) time.Duration { return validity*age + time.Second }

// heavyFirst gives one router most of the demand, and the others what exceeds the limit only
// without it.
func heavyFirst(r, p int, _ time.Duration) float64 {
	if r == 0 {
		return 1.5 * demandParts[p] * modelLimit
	}
	return 0.9 * demandParts[p] * modelLimit / (failureRouters - 1)
}

// A router dies, freezes or is cut off while it holds most of the resource. The others must
// get it once its report is no longer valid, except an equal part until the router no longer
// counts. A router that thaws or returns must not overload the resource.
func TestLossOfRouterWithMostOfTheResource(t *testing.T) {
	forAges(t, func(t *testing.T, seed uint64, age time.Duration) {
		m := newModel(seed, failureRouters, age, modelLimit, modelAmount)
		m.demand = heavyFirst
		m.run(10*time.Second + 4*age)
		heavy := m.members[0]
		for _, state := range []struct {
			name  string
			apply func()
		}{
			{"frozen", func() { heavy.stopped = true }},
			{"thawed", func() { heavy.stopped = false }},
			{"cut off", func() { heavy.group, heavy.stopped = 1, false }},
			{"back", func() { heavy.group = 0 }},
			{"dead", func() { heavy.stopped = true }},
			{"removed", func() { heavy.gone = true }},
		} {
			state.apply()
			from := len(m.used)
			m.run(reportValidity(age) + 2*age + 4*time.Second)
			m.run(20 * time.Second)
			use, over := m.utilization(20*time.Second), m.longestOver(time.Second, from)
			t.Logf("%s: use %.3f, over 1.2 for %v", state.name, use, over)
			assert.Check(t, use >= 0.9 && use <= 1.05, "%s: use %.3f", state.name, use)
			assert.Check(t, over <= age+time.Second, "%s: over 1.2 for %v", state.name, over)
		}
	})
}

// Half of the routers are cut off from the other half. Each half must use its part of the
// limit by number of routers, and all of it again when the halves are reconnected.
func TestHalvesUseTheirPartsOfTheLimit(t *testing.T) {
	forAges(t, func(t *testing.T, seed uint64, age time.Duration) {
		m := newModel(seed, failureRouters, age, modelLimit, modelAmount)
		m.demand = loads["all"](failureRouters)
		m.run(10*time.Second + 4*age)
		for _, cut := range []bool{true, false} {
			for i, r := range m.members {
				if r.group = 0; cut && i >= failureRouters/2 {
					r.group = 1
				}
			}
			from := len(m.used)
			m.run(reportValidity(age) + 3*age + 4*time.Second)
			m.resetCounts()
			m.run(20 * time.Second)
			served := [2]float64{}
			for i, r := range m.members {
				for _, amount := range r.served {
					served[i*2/failureRouters] += amount / 20 / modelLimit
				}
			}
			use, over := m.utilization(20*time.Second), m.longestOver(time.Second, from)
			t.Logf("cut %t: use %.3f, halves %.2f, over 1.2 for %v", cut, use, served, over)
			assert.Check(t, use >= 0.9 && use <= 1.05, "use %.3f", use)
			assert.Check(t, served[0] > 0.4 && served[1] > 0.4, "halves use %.2f", served)
			assert.Check(t, over <= age+time.Second, "over 1.2 for %v", over)
		}
	})
}

// All routers restart at once under load and know nothing of each other. They must not
// overload the resource, and use all of it after the first reports.
func TestRestartOfAllRouters(t *testing.T) {
	forAges(t, func(t *testing.T, seed uint64, age time.Duration) {
		m := newModel(seed, failureRouters, age, modelLimit, modelAmount)
		m.demand = loads["all"](failureRouters)
		m.run(10*time.Second + 4*age)
		for _, r := range m.members {
			m.restart(r)
		}
		from := len(m.used)
		m.run(3*age + 2*time.Second)
		over := m.longestOver(time.Second, from)
		m.run(20 * time.Second)
		use := m.utilization(20 * time.Second)
		t.Logf("use %.3f, over 1.2 for %v", use, over)
		assert.Check(t, use >= 0.9 && use <= 1.05, "use %.3f", use)
		assert.Check(t, over <= age+time.Second, "over 1.2 for %v", over)
	})
}

// Reports arrive late, twice and out of order. The newest must count.
func TestLateDoubledAndReorderedReports(t *testing.T) {
	forAges(t, func(t *testing.T, seed uint64, age time.Duration) {
		m := newModel(seed, failureRouters, age, modelLimit, modelAmount)
		m.demand = loads["all"](failureRouters)
		m.delays = func() []time.Duration {
			late := func() time.Duration { return time.Duration(m.rand.Int64N(int64(2 * age))) }
			return []time.Duration{late(), late()}
		}
		m.run(15*time.Second + 6*age)
		from := m.resetCounts()
		m.run(30 * time.Second)
		byPriority, all := m.servedPart()
		use, over := m.utilization(30*time.Second), m.longestOver(time.Second, from)
		t.Logf("use %.3f, over 1.2 for %v, served %.2f of all %.2f", use, over, byPriority, all)
		assert.Check(t, use >= 0.9 && use <= 1.05, "use %.3f", use)
		assert.Check(t, over <= 3*age+time.Second, "over 1.2 for %v", over)
		assert.Check(t, byPriority[2] >= all/4, "served %.2f", byPriority)
	})
}

// One router asks for ten times the limit at all priorities. Under this load the urgent
// requests of every other router, below an equal share, must be served, and its less urgent
// ones no less than those of all.
func TestLargeDemandStarvesNoRouter(t *testing.T) {
	forAges(t, func(t *testing.T, seed uint64, age time.Duration) {
		m := newModel(seed, failureRouters, age, modelLimit, modelAmount)
		m.demand = func(r, p int, _ time.Duration) float64 {
			if r == 0 {
				return 10 * demandParts[p] * modelLimit
			}
			return 0.3 * demandParts[p] * modelLimit / failureRouters
		}
		m.run(10*time.Second + 6*age)
		m.resetCounts()
		m.run(90 * time.Second)
		byPriority, all := m.servedPart()
		t.Logf("use %.3f, served %.3f of all %.3f", m.utilization(90*time.Second), byPriority, all)
		for p, part := range byPriority {
			assert.Check(t, part >= all/4, "priority %d is served %.3f, all %.3f", p, part, all)
			for i, r := range m.members[1:] {
				own := r.served[p] / max(r.arrived[p], 1)
				assert.Check(t, own >= part && (p > 0 || own >= 0.8), "router %d at priority %d is served %.2f", i+1, p, own)
			}
		}
	})
}

// A router reports an impossible amount at the most urgent priority under load, with an
// impossible time until its next report. It must not starve the others.
func TestWrongReportStarvesNobody(t *testing.T) {
	m := newModel(7, failureRouters, ages[0], modelLimit, modelAmount)
	m.demand = loads["all"](failureRouters)
	for _, r := range m.members[1:] {
		r.shares.Report("wrong", 1, []Demand{{Used: 1e6}}, time.Hour, time.Hour)
	}
	m.run(20 * time.Second)
	m.resetCounts()
	m.run(20 * time.Second)
	byPriority, all := m.servedPart()
	t.Logf("use %.3f, served %.3f of all %.3f", m.utilization(20*time.Second), byPriority, all)
	assert.Check(t, byPriority[0] > 0.8, "served %.2f", byPriority)
	assert.Check(t, byPriority[2] >= all/10, "served %.3f of all %.3f", byPriority, all)
}

// Under load of one router, another must get its share within one report and a second: what
// was lent returns.
func TestLentCapacityReturnsWithinOneReport(t *testing.T) {
	forAges(t, func(t *testing.T, seed uint64, age time.Duration) {
		m := newModel(seed, 2, age, modelLimit, modelAmount)
		begin := 10*time.Second + 4*age
		m.demand = func(r, _ int, at time.Duration) float64 {
			if r == 1 && at < begin {
				return 0
			}
			return modelLimit
		}
		m.run(begin + age + time.Second)
		m.resetCounts()
		m.run(10 * time.Second)
		for i, r := range m.members {
			part := (r.served[0] + r.served[1] + r.served[2]) / 10 / modelLimit
			assert.Check(t, part > 0.4 && part < 0.6, "router %d uses %.2f", i, part)
		}
	})
}

// An idle resource must accept one request of any size at a router that knows nothing yet,
// also if its equal share is smaller. A failure of this blocks large requests forever.
func TestIdleResourceAcceptsOneRequestOfAnySize(t *testing.T) {
	now := time.Unix(1000, 0)
	s := New(func() time.Time { return now }, func() float64 { return 1 })
	large := Request{Amount: 5000, Limit: 100, Routers: 400}
	assert.Assert(t, s.Allows(large))
	s.Use(0, large.Amount)
	assert.Assert(t, !s.Allows(large))
}

// A resumed stream must go before a new request of its priority under load.
func TestResumedGoBeforeNew(t *testing.T) {
	now := time.Unix(1000, 0)
	s := New(func() time.Time { return now }, func() float64 { return 0.5 })
	s.Report("peer", 1, []Demand{{Priority: 1, Used: 100, Unmet: 500}}, time.Second, time.Minute)
	r := Request{Priority: 1, Amount: 80, Limit: 100, Routers: 2}
	now = now.Add(rebuildInterval)
	for range 5 {
		s.RecordUnmet(1, 80)
	}
	assert.Assert(t, !s.Allows(r))
	r.Resumed = true
	assert.Assert(t, s.Allows(r))
}

// The budgets must stay within the limit under load, meet all demand without, and leave each
// priority its floor. The levels must divide a budget completely.
func TestBudgetsAndLevels(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		amount := rapid.Float64Range(0, 1000)
		limit := rapid.Float64Range(1, 2000).Draw(t, "limit")
		var demand [Priorities]float64
		total := 0.0
		for p := range 5 {
			demand[p] = amount.Draw(t, "demand")
			total += demand[p]
		}
		sum := 0.0
		for p, b := range budgets(&demand, limit) {
			sum += b
			assert.Assert(t, b <= demand[p]+1e-6)
			assert.Assert(t, b+1e-6 >= floorShare*demand[p]*min(limit/max(total, 1e-9), 1))
		}
		assert.Assert(t, sum <= limit+1e-6 && sum >= min(limit, total)-1e-6)

		c := column{demands: rapid.SliceOfN(amount, 0, 20).Draw(t, "others")}
		c.sort()
		own := amount.Draw(t, "own")
		level := c.level(own, limit)
		used := min(own, level)
		for _, d := range c.demands {
			used += min(d, level)
		}
		want := min(limit, c.total()+own)
		assert.Assert(t, used > want-1e-6 && used < want+1e-6, "%v of %v", used, want)
	})
}

func BenchmarkAllows(b *testing.B) {
	for _, routers := range []int{27, 400} {
		for name, used := range map[string]float64{"free": 1, "short": 2000} {
			b.Run(fmt.Sprint(routers, "/", name), func(b *testing.B) {
				now := time.Unix(1000, 0)
				s := New(func() time.Time { return now }, nil)
				report := func(i int) {
					peer := i % (routers - 1)
					s.Report(fmt.Sprint("r", peer), int64(i), []Demand{{0, used / 400, 1}, {1, used / 300, 1}, {2, used / 200, 1}}, time.Second, time.Minute)
				}
				for i := range routers - 1 {
					report(i)
				}
				// 150 requests and 100 reports arrive per second.
				for i := 0; b.Loop(); i++ {
					if now = now.Add(time.Second / 150); i%3 != 0 {
						report(i)
					}
					s.Allows(Request{Priority: i % 3, Amount: 40, Limit: 2000, Routers: routers})
				}
			})
		}
	}
}
