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
	"a100": {Name: "a100", MB: 72000, Pace: 2.4, ReadFactor: 3.2},
	"l40s": {Name: "l40s", MB: 43200, Pace: 5.6, ReadFactor: 2.7},
	"l4":   {Name: "l4", MB: 21600, Pace: 16, ReadFactor: 8.2},
}

func testSpec() *model.EngineSpec {
	s := &model.EngineSpec{Slots: 192, Layers: 80, LayerMB: 1750, KVTokenBytes: 918000, UsualPrompt: 774, UsualAnswer: 200}
	for _, c := range cards {
		s.Cards = append(s.Cards, c)
	}
	return s
}

// makeEngines returns n engines with a card in a failure domain.
func makeEngines(domain, card string, n int) []Engine {
	var out []Engine
	for i := range n {
		out = append(out, Engine{Address: fmt.Sprintf("%s-%s-%d", domain, card, i), Domain: domain, Card: cards[card]})
	}
	return out
}

// mixedEngines returns the engines of three failure domains of different strength.
func mixedEngines() []Engine {
	var all []Engine
	for _, g := range []struct {
		domain         string
		a100, l40s, l4 int
	}{{"luka", 1, 3, 8}, {"solin", 1, 6, 5}, {"kastela", 2, 2, 5}} {
		all = append(all, makeEngines(g.domain, "a100", g.a100)...)
		all = append(all, makeEngines(g.domain, "l40s", g.l40s)...)
		all = append(all, makeEngines(g.domain, "l4", g.l4)...)
	}
	return all
}

func countHolders(plan Plan, all []Engine, keep func(Engine) bool) []int {
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

func minCount(counts []int) int {
	m := counts[0]
	for _, n := range counts {
		m = min(m, n)
	}
	return m
}

// The fast cards of each failure domain form a chain without its slow ones, which would
// limit the chain's speed.
func TestFastCardsFormWholeChains(t *testing.T) {
	all := mixedEngines()
	plan := BuildPlan(testSpec(), all)
	for _, d := range []string{"luka", "solin", "kastela"} {
		fast := countHolders(plan, all, func(e Engine) bool { return e.Domain == d && e.Card.Name != "l4" })
		assert.Equal(t, minCount(fast), 1, "%s: %v", d, fast)
	}
	every := countHolders(plan, all, func(Engine) bool { return true })
	assert.Assert(t, minCount(every) >= 5, "every layer needs three chains and two standby holders: %v", every)
}

// The engine with the least token capacity limits a chain, so the capacities must be
// similar.
func TestPlanChainBalancesTokenCapacity(t *testing.T) {
	s := testSpec()
	all := append(makeEngines("d", "a100", 1), makeEngines("d", "l40s", 3)...)
	plan := Plan{}
	PlanChain(s, all, plan)
	lo, hi := 1e18, 0.0
	for _, e := range all {
		n := tokenCapacity(s, e.Card, plan[e.Address].Len())
		lo = min(lo, n)
		hi = max(hi, n)
	}
	assert.Assert(t, lo >= 0.75*hi, "%.0f to %.0f tokens", lo, hi)
}

// The layer with the least token capacity limits a failure domain, so layers with one
// holder need about as much as those with two.
func TestTokenCapacityIsBalancedOverLayers(t *testing.T) {
	s := weakSpec()
	for _, group := range groupByDomain(weakEngines()) {
		plan := BuildPlan(s, group)
		room := layerCapacityOf(s, plan, group)
		assert.Assert(t, slices.Min(room) >= requiredTokens(s, group), "%s: %.0f of %.0f tokens", group[0].Domain, slices.Min(room), requiredTokens(s, group))
		assert.Assert(t, slices.Min(room) >= 0.6*room.mean(), "%s: %.0f to %.0f tokens", group[0].Domain, slices.Min(room), slices.Max(room))
	}
}

// weakSpec and weakEngines describe three failure domains with many weak cards and few
// strong ones. No class of cards alone can hold the model.
func weakSpec() *model.EngineSpec {
	return &model.EngineSpec{
		Slots: 192, Layers: 80, LayerMB: 1750, KVTokenBytes: 328000, StepTime: 850 * time.Microsecond, ReadRate: 353000,
		UsualPrompt: 772, UsualAnswer: 140,
		Cards: []model.Card{{Name: "strong", MB: 36000, Pace: 3.1, ReadFactor: 3.2}, {Name: "large", MB: 21600, Pace: 16, ReadFactor: 8.2},
			{Name: "small", MB: 14400, Pace: 15, ReadFactor: 15}},
	}
}

func weakEngines() []Engine {
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

// A failure domain of weak engines must not form one long chain, in which each exit
// interrupts all streams. Chains are short and most layers have two holders.
func TestWeakDomainsSurviveAnEngineLoss(t *testing.T) {
	s := weakSpec()
	for _, group := range groupByDomain(weakEngines()) {
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

// Successive leaders list the engines in different orders and must build the same plan.
func TestPlanIsAFunctionOfTheEngines(t *testing.T) {
	s := weakSpec()
	all := weakEngines()
	plan := BuildPlan(s, all)
	slices.Reverse(all)
	assert.Assert(t, equalPlans(plan, BuildPlan(s, all)))
}

func TestLargeDomainGetsSeveralChains(t *testing.T) {
	all := makeEngines("d", "l40s", 14)
	plan := BuildPlan(testSpec(), all)
	counts := countHolders(plan, all, func(Engine) bool { return true })
	assert.Equal(t, minCount(counts), 2)
}

// No plan assigns an engine more layers than its memory holds, which would crash it.
func TestPlansFitTheMemory(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := testSpec()
		all := drawEngines(rt)
		plan := BuildPlan(s, all)
		assertFits(rt, s, plan, all)
		// Some engines leave, and new ones appear.
		keep := all[:rapid.IntRange(0, len(all)).Draw(rt, "kept")]
		now := append(append([]Engine(nil), keep...), makeEngines("new", "l4", rapid.IntRange(0, 4).Draw(rt, "new"))...)
		next, _ := Extend(s, plan, now)
		assertFits(rt, s, next, now)
		for _, e := range keep {
			assert.Equal(rt, next[e.Address], plan[e.Address], "%s was moved", e.Address)
		}
	})
}

func drawEngines(rt *rapid.T) []Engine {
	var all []Engine
	for _, d := range []string{"a", "b", "c"} {
		for card := range cards {
			all = append(all, makeEngines(d, card, rapid.IntRange(0, 7).Draw(rt, d+card))...)
		}
	}
	return all
}

func assertFits(t assert.TestingT, s *model.EngineSpec, plan Plan, all []Engine) {
	for _, e := range all {
		held := plan[e.Address]
		assert.Assert(t, held.From >= 0 && held.Len() >= 0 && held.To <= s.Layers, "%s holds %s", e.Address, held)
		assert.Assert(t, float64(held.Len())*s.LayerMB <= e.Card.MB, "%s holds %s", e.Address, held)
	}
}

// An engine is replaced by one at a new address, which takes the vacant range. No other
// engine loads.
func TestNewEngineTakesTheVacantRange(t *testing.T) {
	s := testSpec()
	all := mixedEngines()
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
	assert.Assert(t, equalPlans(next, again))
}

// A new engine without a vacant range covers the layers of its failure domain that are
// held least.
func TestNewEngineCoversTheLeastHeldLayers(t *testing.T) {
	s := testSpec()
	all := append(makeEngines("d", "a100", 2), makeEngines("d", "l40s", 1)...)
	plan := BuildPlan(s, all)
	now := append(append([]Engine(nil), all...), Engine{Address: "x", Domain: "d", Card: cards["l4"]}, Engine{Address: "y", Domain: "d", Card: cards["l4"]})
	next, _ := Extend(s, plan, now)
	assert.Assert(t, next["x"].Len() > 0 && next["y"].Len() > 0)
	assert.Assert(t, next["x"].To <= next["y"].From || next["y"].To <= next["x"].From, "%s and %s overlap", next["x"], next["y"])
}

// Whichever engines are lost, a repair leaves no held layer without a holder and fits the
// memory of each engine.
func TestRepairNeverUncoversLayers(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := testSpec()
		all := drawEngines(rt)
		plan := BuildPlan(s, all)
		left := all[:rapid.IntRange(0, len(all)).Draw(rt, "left")]
		before := map[int]bool{}
		for _, l := range UncoveredLayers(s, plan, left) {
			before[l] = true
		}
		next, _ := Repair(s, plan, left)
		assertFits(rt, s, next, left)
		for _, l := range UncoveredLayers(s, next, left) {
			assert.Assert(rt, before[l], "layer %d was held before the repair", l)
		}
	})
}

// Two failure domains lose an engine, and a new one appears in one of them. It covers the
// layers that its own failure domain lacks, even if the range of the other is longer.
func TestNewEngineServesItsOwnDomain(t *testing.T) {
	s := testSpec()
	all := append(makeEngines("a", "l40s", 4), makeEngines("b", "a100", 3)...)
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
	assert.Equal(t, minCount(countHolders(plan, now, inA)), 0, "domain a lacks layers")
	now = append(now, Engine{Address: "fresh", Domain: "a", Card: cards["a100"]})
	next, _ := Extend(s, plan, now)
	assert.Assert(t, minCount(countHolders(next, now, inA)) > 0, "fresh holds %s, domain a lacked %s", next["fresh"], plan[lostHere])
}

// A failure domain loses a range without a replacement. One of its spare engines is moved
// there, so that streams need not leave the failure domain.
func TestRepairDomainsCoversMissingLayers(t *testing.T) {
	s := testSpec()
	all := append(makeEngines("a", "a100", 3), makeEngines("a", "l4", 9)...)
	plan := BuildPlan(s, all)
	var now []Engine
	for _, e := range all {
		if plan[e.Address].Contains(model.LayerRange{From: 30, To: 31}) {
			continue
		}
		now = append(now, e)
	}
	now = append(now, makeEngines("b", "a100", 3)...)
	plan, _ = Extend(s, plan, now)
	for _, e := range now {
		if e.Domain == "b" {
			delete(plan, e.Address)
		}
	}
	inA := func(e Engine) bool { return e.Domain == "a" }
	assert.Equal(t, minCount(countHolders(plan, now, inA)), 0)
	next, changed := RepairDomains(s, plan, now, trustAll)
	assert.Assert(t, changed)
	assert.Assert(t, minCount(countHolders(next, now, inA)) > 0)
	for range 3 {
		next, changed = RepairDomains(s, next, now, trustAll)
	}
	assert.Assert(t, !changed, "repeated repairs must converge")
}

func trustAll(string) bool { return true }

// An engine that may have exited does not count as a holder, so the other holder of its
// layers is not moved.
func TestRepairDomainsIgnoresUntrustedHolders(t *testing.T) {
	s := testSpec()
	all := append(makeEngines("a", "a100", 4), Engine{Address: "low", Domain: "a", Card: cards["l40s"]})
	plan := BuildPlan(s, makeEngines("a", "a100", 4))
	gap, twice := plan["a-a100-1"], plan["a-a100-2"]
	plan["low"] = twice
	now := append(append([]Engine(nil), all[:1]...), all[2:]...)
	next, changed := RepairDomains(s, plan, now, func(address string) bool { return address != "a-a100-2" })
	assert.Assert(t, !changed || next["low"] == twice, "low went to %s", next["low"])
	next, changed = RepairDomains(s, plan, now, trustAll)
	assert.Assert(t, changed && next["low"].From <= gap.From, "low went to %s", next["low"])
}

// A failure domain lacks a range. The spare engine moves there, and the large engines that
// carry the streams stay.
func TestRepairDomainsKeepsBusyEngines(t *testing.T) {
	s := testSpec()
	all := append(makeEngines("a", "a100", 4), makeEngines("b", "a100", 3)...)
	plan := Plan{}
	PlanChain(s, all[:4], plan)
	PlanChain(s, all[4:], plan)
	held := plan["a-a100-1"]
	now := append([]Engine{{Address: "low", Domain: "a", Card: cards["l40s"]}}, all[:1]...)
	now = append(now, all[2:]...)
	plan["low"] = model.LayerRange{From: held.To, To: held.To + held.Len()}
	inA := func(e Engine) bool { return e.Domain == "a" }
	assert.Equal(t, minCount(countHolders(plan, now, inA)), 0)
	next, changed := RepairDomains(s, plan, now, trustAll)
	assert.Assert(t, changed && minCount(countHolders(next, now, inA)) > 0, "the spare went to %s", next["low"])
	for _, e := range now {
		if e.Card.Name == "a100" {
			assert.Equal(t, next[e.Address], plan[e.Address], e.Address)
		}
	}
}

// A new plan needs no repair, so engines are not moved without a loss.
func TestNewPlansNeedNoRepair(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := testSpec()
		all := drawEngines(rt)
		plan := BuildPlan(s, all)
		_, changed := RepairDomains(s, plan, all, trustAll)
		assert.Assert(rt, !changed)
	})
}

// Whichever engines are lost, a repair takes no layer from a failure domain that held it
// and fits the memory of each engine.
func TestRepairDomainsNeverUncoversLayers(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := testSpec()
		all := drawEngines(rt)
		plan := BuildPlan(s, all)
		left := all[:rapid.IntRange(0, len(all)).Draw(rt, "left")]
		next, _ := RepairDomains(s, plan, left, trustAll)
		assertFits(rt, s, next, left)
		for _, group := range groupByDomain(left) {
			in := func(e Engine) bool { return e.Domain == group[0].Domain }
			was, is := countHolders(plan, left, in), countHolders(next, left, in)
			for l := range is {
				assert.Assert(rt, is[l] > 0 || was[l] == 0, "layer %d was held in %s", l, group[0].Domain)
			}
		}
	})
}

// A failure domain loses two engines that were the only holders of their layers. Several
// small standby engines cover these together.
func TestRepairDomainsUsesSeveralEngines(t *testing.T) {
	s := weakSpec()
	all := inDomain(weakEngines(), "b")
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
	next, changed := RepairDomains(s, plan, left, trustAll)
	assert.Assert(t, changed)
	assert.Equal(t, len(UncoveredLayers(s, next, left)), 0)
	assertFits(t, s, next, left)
}

// BenchmarkBuildPlan plans for 2,952 engines in 18 failure domains, as the leader does
// when a large system first starts.
func BenchmarkBuildPlan(b *testing.B) {
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
