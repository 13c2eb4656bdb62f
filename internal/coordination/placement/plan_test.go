package placement

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/skylarkwood/skylarkwood/internal/model"
)

var cards = map[string]model.Card{
	"a100": {Name: "a100", MB: 72000, StepTimeFactor: 2.4, PrefillFactor: 3.2},
	"l40s": {Name: "l40s", MB: 43200, StepTimeFactor: 5.6, PrefillFactor: 2.7},
	"l4":   {Name: "l4", MB: 21600, StepTimeFactor: 16, PrefillFactor: 8.2},
}

func spec() *model.EngineSpec {
	s := &model.EngineSpec{Slots: 192, Layers: 80, LayerMB: 1750, KVTokenBytes: 918000, MeanPromptTokens: 774, MeanAnswerTokens: 200}
	for _, c := range cards {
		s.Cards = append(s.Cards, c)
	}
	return s
}

// engines makes so many engines of a card in a domain.
func engines(domain, card string, n int) []Engine {
	var out []Engine
	for i := range n {
		out = append(out, Engine{Address: fmt.Sprintf("%s-%s-%d", domain, card, i), Domain: domain, Card: cards[card]})
	}
	return out
}

// site is a mid-size site: three domains of different strength.
func site() []Engine {
	var all []Engine
	for _, g := range []struct {
		domain         string
		a100, l40s, l4 int
	}{{"luka", 1, 3, 8}, {"solin", 1, 6, 5}, {"kastela", 2, 2, 5}} {
		all = append(all, engines(g.domain, "a100", g.a100)...)
		all = append(all, engines(g.domain, "l40s", g.l40s)...)
		all = append(all, engines(g.domain, "l4", g.l4)...)
	}
	return all
}

func holders(plan Plan, all []Engine, keep func(Engine) bool) []int {
	counts := make([]int, 80)
	for _, e := range all {
		if !keep(e) {
			continue
		}
		held := plan[e.Address]
		for l := held.From; l < held.To; l++ {
			counts[l]++
		}
	}
	return counts
}

func least(counts []int) int {
	m := counts[0]
	for _, n := range counts {
		m = min(m, n)
	}
	return m
}

// Each domain's fast cards make up a whole chain without its slow ones, which
// would set the pace of each token.
func TestFastCardsMakeWholeChains(t *testing.T) {
	all := site()
	plan := BuildPlan(spec(), all)
	for _, d := range []string{"luka", "solin", "kastela"} {
		fast := holders(plan, all, func(e Engine) bool { return e.Domain == d && e.Card.Name != "l4" })
		assert.Equal(t, least(fast), 1, "%s: %v", d, fast)
	}
	every := holders(plan, all, func(Engine) bool { return true })
	assert.Assert(t, least(every) >= 5, "beside the three chains others stand in for every layer twice: %v", every)
}

// The thinnest engine bounds its chain: in a chain nobody has less than three
// quarters of the token memory of the best.
func TestChainIsEven(t *testing.T) {
	s := spec()
	all := append(engines("d", "a100", 1), engines("d", "l40s", 3)...)
	plan := Plan{}
	PlanChain(s, all, plan)
	lo, hi := 1e18, 0.0
	for _, e := range all {
		n := tokens(s, e.Card, plan[e.Address].Len())
		lo = min(lo, n)
		hi = max(hi, n)
	}
	assert.Assert(t, lo >= 0.75*hi, "%.0f to %.0f tokens", lo, hi)
}

// The thinnest layer bounds a failure domain, however many engines hold it: those
// that one engine holds alone have as much room, up to the rounding of layers, as
// those that two share.
func TestRoomIsEvenOverLayers(t *testing.T) {
	s := weakSpec()
	for _, group := range byDomain(weakSite()) {
		plan := BuildPlan(s, group)
		room := roomOf(s, plan, group)
		assert.Assert(t, slices.Min(room) >= needed(s, group), "%s: %.0f of %.0f tokens", group[0].Domain, slices.Min(room), needed(s, group))
		assert.Assert(t, slices.Min(room) >= 0.6*room.mean(), "%s: %.0f to %.0f tokens", group[0].Domain, slices.Min(room), slices.Max(room))
	}
}

// weakSpec and weakSite are many weak cards beside few strong ones: three domains
// whose memory holds the model 2.98, 2.21 and 2.83 times, no class of cards alone.
func weakSpec() *model.EngineSpec {
	return &model.EngineSpec{
		Slots: 192, Layers: 80, LayerMB: 1750, KVTokenBytes: 328000, StepTime: 850 * time.Microsecond, PrefillRate: 353000,
		MeanPromptTokens: 772, MeanAnswerTokens: 140,
		Cards: []model.Card{{Name: "strong", MB: 36000, StepTimeFactor: 3.1, PrefillFactor: 3.2}, {Name: "large", MB: 21600, StepTimeFactor: 16, PrefillFactor: 8.2},
			{Name: "small", MB: 14400, StepTimeFactor: 15, PrefillFactor: 15}},
	}
}

func weakSite() []Engine {
	var all []Engine
	for domain, counts := range map[string][3]int{"a": {1, 13, 7}, "b": {2, 5, 9}, "c": {1, 8, 13}} {
		for i, card := range weakSpec().Cards {
			for n := range counts[i] {
				all = append(all, Engine{Address: fmt.Sprintf("%s-%s-%d", domain, card.Name, n), Domain: domain, Card: card})
			}
		}
	}
	return all
}

// The pattern: 150 streams a second before 59 weak engines, of which two die in the
// same moment every few seconds, in any domain. With one chain of all engines a
// domain each death hits every stream there, and the domain has no chain until the
// engine is back; pipes between domains carry a twentieth of the callers. The
// grounds: streams through a dead engine are late, and a domain without a chain
// refuses; so a chain has half as many engines, and most layers have two holders.
func TestWeakDomainsBearALoss(t *testing.T) {
	s := weakSpec()
	for _, group := range byDomain(weakSite()) {
		plan := BuildPlan(s, group)
		even := Plan{}
		PlanChain(s, group, even)
		parts := MinStages(s, plan, group)
		assert.Assert(t, parts > 0 && parts <= 11 && parts < len(even), "%s: %d engines in a chain, %d in the even one", group[0].Domain, parts, len(even))
		twice := 0
		for _, n := range Coverage(s, plan, group) {
			if n >= 2 {
				twice++
			}
		}
		assert.Assert(t, twice >= 60, "%s: %d layers have two holders", group[0].Domain, twice)
	}
}

// A plan is a function of the engines: routers that lead one after the other, and
// list the engines in another order, make the same.
func TestPlanIsAFunctionOfTheEngines(t *testing.T) {
	s := weakSpec()
	all := weakSite()
	plan := BuildPlan(s, all)
	slices.Reverse(all)
	assert.Assert(t, same(plan, BuildPlan(s, all)))
}

func TestLargeDomainGetsSeveralChains(t *testing.T) {
	all := engines("d", "l40s", 14)
	plan := BuildPlan(spec(), all)
	counts := holders(plan, all, func(Engine) bool { return true })
	assert.Equal(t, least(counts), 2)
}

// Whatever comes together, no engine is ever planned to hold more layers than
// its memory has: an order for more crashes it.
func TestPlansFitTheMemory(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := spec()
		all := drawEngines(rt)
		plan := BuildPlan(s, all)
		fits(rt, s, plan, all)
		// Some go, some come.
		keep := all[:rapid.IntRange(0, len(all)).Draw(rt, "kept")]
		now := append(append([]Engine(nil), keep...), engines("new", "l4", rapid.IntRange(0, 4).Draw(rt, "new"))...)
		next, _ := Extend(s, plan, now)
		fits(rt, s, next, now)
		for _, e := range keep {
			assert.Equal(rt, next[e.Address], plan[e.Address], "%s was moved", e.Address)
		}
	})
}

func drawEngines(rt *rapid.T) []Engine {
	var all []Engine
	for _, d := range []string{"a", "b", "c"} {
		for card := range cards {
			all = append(all, engines(d, card, rapid.IntRange(0, 7).Draw(rt, d+card))...)
		}
	}
	return all
}

func fits(t assert.TestingT, s *model.EngineSpec, plan Plan, all []Engine) {
	for _, e := range all {
		held := plan[e.Address]
		assert.Assert(t, held.From >= 0 && held.Len() >= 0 && held.To <= s.Layers, "%s holds %s", e.Address, held)
		assert.Assert(t, float64(held.Len())*s.LayerMB <= e.Card.MB, "%s holds %s", e.Address, held)
	}
}

// An engine that is gone for good is followed by another at a new address. The
// new one takes its place, and nothing else is loaded again.
func TestNewcomerTakesTheVacantRange(t *testing.T) {
	s := spec()
	all := site()
	plan := BuildPlan(s, all)
	lost := "luka-l40s-1"
	var now []Engine
	for _, e := range all {
		if e.Address != lost {
			now = append(now, e)
		}
	}
	now = append(now, Engine{Address: "fresh", Domain: "luka", Card: cards["l40s"]})
	next, changed := Extend(s, plan, now)
	assert.Assert(t, changed)
	assert.Equal(t, next["fresh"], plan[lost])
	again, changed := Extend(s, next, now)
	assert.Assert(t, !changed)
	assert.Assert(t, same(next, again))
}

// A newcomer with nobody to follow covers what is held least in its domain.
func TestNewcomerCoversTheLeastHeldLayers(t *testing.T) {
	s := spec()
	all := append(engines("d", "a100", 2), engines("d", "l40s", 1)...)
	plan := BuildPlan(s, all)
	now := append(append([]Engine(nil), all...), Engine{Address: "x", Domain: "d", Card: cards["l4"]}, Engine{Address: "y", Domain: "d", Card: cards["l4"]})
	next, _ := Extend(s, plan, now)
	assert.Assert(t, next["x"].Len() > 0 && next["y"].Len() > 0)
	assert.Assert(t, next["x"].To <= next["y"].From || next["y"].To <= next["x"].From, "%s and %s overlap", next["x"], next["y"])
}

// Whatever is lost, a repair leaves no layer that was held without a holder,
// fits every memory, and covers the gaps if enough engines can be spared.
func TestRepairNeverUncovers(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := spec()
		all := drawEngines(rt)
		plan := BuildPlan(s, all)
		left := all[:rapid.IntRange(0, len(all)).Draw(rt, "left")]
		before := map[int]bool{}
		for _, l := range UncoveredLayers(s, plan, left) {
			before[l] = true
		}
		next, _ := Repair(s, plan, left)
		fits(rt, s, next, left)
		for _, l := range UncoveredLayers(s, next, left) {
			assert.Assert(rt, before[l], "layer %d was held before the repair", l)
		}
	})
}

// Engines of two domains are gone, and a newcomer comes to one of them. It takes
// the place that its own domain lacks, though the other one's range is longer: the
// other way round both domains would send their streams through the pipe between
// them.
func TestNewcomerServesItsOwnDomain(t *testing.T) {
	s := spec()
	all := append(engines("a", "l40s", 4), engines("b", "a100", 3)...)
	plan := BuildPlan(s, all)
	lostHere, lostThere := "a-l40s-1", "b-a100-1"
	assert.Assert(t, plan[lostThere].Len() > plan[lostHere].Len())
	var now []Engine
	for _, e := range all {
		if e.Address != lostHere && e.Address != lostThere {
			now = append(now, e)
		}
	}
	inA := func(e Engine) bool { return e.Domain == "a" }
	assert.Equal(t, least(holders(plan, now, inA)), 0, "the loss is felt")
	now = append(now, Engine{Address: "fresh", Domain: "a", Card: cards["a100"]})
	next, _ := Extend(s, plan, now)
	assert.Assert(t, least(holders(next, now, inA)) > 0, "fresh holds %s, domain a lacked %s", next["fresh"], plan[lostHere])
}

// A domain lost one range and no newcomer comes; others of its engines hold theirs
// together. One of them is moved, so that streams need not leave the domain for a
// few layers.
func TestMendMakesADomainWhole(t *testing.T) {
	s := spec()
	all := append(engines("a", "a100", 3), engines("a", "l4", 9)...)
	plan := BuildPlan(s, all)
	var now []Engine
	for _, e := range all {
		if plan[e.Address].Contains(model.LayerRange{From: 30, To: 31}) {
			continue
		}
		now = append(now, e)
	}
	now = append(now, engines("b", "a100", 3)...)
	plan, _ = Extend(s, plan, now)
	for _, e := range now {
		if e.Domain == "b" {
			delete(plan, e.Address)
		}
	}
	inA := func(e Engine) bool { return e.Domain == "a" }
	assert.Equal(t, least(holders(plan, now, inA)), 0)
	next, changed := RepairDomains(s, plan, now, allSure)
	assert.Assert(t, changed)
	assert.Assert(t, least(holders(next, now, inA)) > 0)
	for range 3 {
		next, changed = RepairDomains(s, next, now, allSure)
	}
	assert.Assert(t, !changed, "it comes to rest")
}

func allSure(string) bool { return true }

// The store was away, and an engine that is gone is still listed. What it seems to
// hold does not count: the one that could be spared beside it is the last that does
// its work there, and stays.
func TestMendTrustsNoEngineThatMayBeGone(t *testing.T) {
	s := spec()
	all := append(engines("a", "a100", 4), Engine{Address: "low", Domain: "a", Card: cards["l40s"]})
	plan := BuildPlan(s, engines("a", "a100", 4))
	hole, twice := plan["a-a100-1"], plan["a-a100-2"]
	plan["low"] = twice
	now := append(append([]Engine(nil), all[:1]...), all[2:]...)
	next, changed := RepairDomains(s, plan, now, func(address string) bool { return address != "a-a100-2" })
	assert.Assert(t, !changed || next["low"] == twice, "low went to %s", next["low"])
	next, changed = RepairDomains(s, plan, now, allSure)
	assert.Assert(t, changed && next["low"].From <= hole.From, "low went to %s", next["low"])
}

// A domain lost a range that nobody else of it holds. Its large engines carry the
// streams and stay: until one had let go of them and loaded, the domain would lack
// its layers too. The small one, whose layers a large one holds, takes the place.
func TestMendLeavesBusyEngines(t *testing.T) {
	s := spec()
	all := append(engines("a", "a100", 4), engines("b", "a100", 3)...)
	plan := Plan{}
	PlanChain(s, all[:4], plan)
	PlanChain(s, all[4:], plan)
	held := plan["a-a100-1"]
	now := append([]Engine{{Address: "low", Domain: "a", Card: cards["l40s"]}}, all[:1]...)
	now = append(now, all[2:]...)
	plan["low"] = model.LayerRange{From: held.To, To: held.To + held.Len()}
	inA := func(e Engine) bool { return e.Domain == "a" }
	assert.Equal(t, least(holders(plan, now, inA)), 0)
	next, changed := RepairDomains(s, plan, now, allSure)
	assert.Assert(t, changed && least(holders(next, now, inA)) > 0, "the spare went to %s", next["low"])
	for _, e := range now {
		if e.Card.Name == "a100" {
			assert.Equal(t, next[e.Address], plan[e.Address], e.Address)
		}
	}
}

// As planned, no domain needs mending: engines that were placed are not moved on a
// calm day.
func TestPlansNeedNoMending(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := spec()
		all := drawEngines(rt)
		plan := BuildPlan(s, all)
		_, changed := RepairDomains(s, plan, all, allSure)
		assert.Assert(rt, !changed)
	})
}

// Whatever is lost, mending takes no layer from a domain that held it, and fits
// every memory.
func TestMendNeverUncovers(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := spec()
		all := drawEngines(rt)
		plan := BuildPlan(s, all)
		left := all[:rapid.IntRange(0, len(all)).Draw(rt, "left")]
		next, _ := RepairDomains(s, plan, left, allSure)
		fits(rt, s, next, left)
		for _, group := range byDomain(left) {
			in := func(e Engine) bool { return e.Domain == group[0].Domain }
			was, is := holders(plan, left, in), holders(next, left, in)
			for l := range is {
				assert.Assert(rt, is[l] > 0 || was[l] == 0, "layer %d was held in %s", l, group[0].Domain)
			}
		}
	})
}

// Two engines of a domain that each hold some layers alone leave at once. Two that
// stand in for others take their place together, a small one each: what one cannot
// hold the other does.
func TestMendFillsALargeHoleWithSeveralEngines(t *testing.T) {
	s := weakSpec()
	all := inDomain(weakSite(), "b")
	plan := BuildPlan(s, all)
	alone := func(e Engine) bool {
		counts := Coverage(s, plan, all)
		held := plan[e.Address]
		for l := held.From; l < held.To; l++ {
			if counts[l] > 1 {
				return false
			}
		}
		return held.Len() > 0
	}
	left := slices.DeleteFunc(slices.Clone(all), alone)
	assert.Assert(t, len(left) < len(all) && len(UncoveredLayers(s, plan, left)) > 6)
	next, changed := RepairDomains(s, plan, left, allSure)
	assert.Assert(t, changed)
	assert.Equal(t, len(UncoveredLayers(s, next, left)), 0)
	fits(t, s, next, left)
}

// BenchmarkMake plans for 2,950 engines in 18 failure domains: what the leader does
// once, when the system is first started.
func BenchmarkMake(b *testing.B) {
	s := weakSpec()
	var all []Engine
	for d := range 18 {
		for i, card := range s.Cards {
			for n := range []int{8, 72, 84}[i] {
				all = append(all, Engine{Address: fmt.Sprintf("%d-%s-%d", d, card.Name, n), Domain: fmt.Sprint(d), Card: card})
			}
		}
	}
	b.ReportMetric(float64(len(all)), "engines")
	for b.Loop() {
		BuildPlan(s, all)
	}
}
