package placement

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/skylarkwood/skylarkwood/internal/model"
)

// coverageOf returns the coverage rules' view of engines that hold their planned layers.
func coverageOf(spec *model.EngineSpec, plan Plan, engines []Engine) domainCoverage {
	d := domainCoverage{spec: spec, now: time.Unix(1000, 0)}
	for _, e := range engines {
		d.engines = append(d.engines, domainEngine{Engine: e, held: plan[e.Address]})
	}
	return d
}

// singleDomain returns a domain of singleEngines and the plan.
func singleDomain() (domainCoverage, Plan) {
	all, plan := singleEngines()
	return coverageOf(domainSpec(2160), plan, inDomain(all, "a")), plan
}

// drawCoverage draws a domain with engines of all cards, some lost, some loading.
func drawCoverage(t *rapid.T) (domainCoverage, Plan) {
	spec := domainSpec(2160)
	d := domainCoverage{spec: spec, now: time.Unix(1000, 0)}
	plan := Plan{}
	for from := 0; from < spec.Layers; {
		e := domainEngine{Engine: Engine{Address: fmt.Sprintf("e%d", from), Domain: "a", Card: rapid.SampledFrom(spec.Cards).Draw(t, "card")}}
		e.held = model.LayerRange{From: from, To: min(from+rapid.IntRange(1, MaxLayers(spec, e.Card)).Draw(t, "layers"), spec.Layers)}
		total := tokenCapacity(spec, e.Card, e.held.Len()) * float64(e.held.Len())
		e.usedTokenLayers = rapid.Float64Range(0, 1).Draw(t, "used") * total
		from = e.held.To - rapid.IntRange(0, min(2, e.held.Len()-1)).Draw(t, "overlap")
		if e.held.To == spec.Layers {
			from = spec.Layers
		}
		plan[e.Address] = e.held
		switch rapid.IntRange(0, 5).Draw(t, "state") {
		case 0:
			continue // lost
		case 1:
			e.held, e.loading = model.LayerRange{}, true
			e.readyAt = d.now.Add(time.Duration(rapid.IntRange(0, 5).Draw(t, "ready")) * time.Second)
		case 2:
			e.suspected = rapid.Bool().Draw(t, "suspected")
		}
		d.engines = append(d.engines, e)
	}
	return d, plan
}

// An extension must respect the memory of the card, the least token capacity and what
// running streams use, and must not take layers from any engine.
func TestExtensionsRespectMemory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d, plan := drawCoverage(t)
		next, _ := d.coverLost(plan)
		next, _ = d.coverDelayed(next)
		next, _ = d.addSecondHolder(next)
		for _, e := range d.engines {
			before, after := plan[e.Address], next[e.Address]
			if after == before {
				continue
			}
			assert.Assert(t, extends(after, before), "%s to %s takes layers away", before, after)
			assert.Assert(t, after.From >= 0 && after.To <= d.spec.Layers && after.Len() <= MaxLayers(d.spec, e.Card), "%s", after)
			assert.Assert(t, !e.suspected && !e.loading)
			tokens := tokenCapacity(d.spec, e.Card, after.Len())
			assert.Assert(t, tokens >= d.tokensOf(minExtendedRequests))
			assert.Assert(t, tokens*float64(after.Len()) >= e.usedTokenLayers)
		}
		counts := Coverage(d.spec, next, d.plannerEngines())
		for l, n := range Coverage(d.spec, plan, d.plannerEngines()) {
			assert.Assert(t, counts[l] >= n, "layer %d", l)
		}
		if again, changed := d.coverLost(next); changed {
			t.Fatalf("extended again in the next tick: %v", again)
		}
	})
}

// An undone extension must leave two holders of the layers that the engine gives up, and
// another holder of those that it keeps, since it accepts no streams until it has unloaded.
func TestUndoKeepsTwoHolders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d, plan := drawCoverage(t)
		previous := Plan{}
		for _, e := range d.engines {
			if held := plan[e.Address]; rapid.Bool().Draw(t, "extended") && held.Len() > 1 {
				previous[e.Address] = model.LayerRange{From: held.From, To: held.To - 1}
			}
		}
		next, changed := d.undoExtension(plan, previous)
		if !changed {
			return
		}
		after := Coverage(d.spec, next, d.plannerEngines())
		for l, n := range Coverage(d.spec, plan, d.plannerEngines()) {
			assert.Assert(t, after[l] == n || after[l] >= 2, "layer %d", l)
		}
		for addr, held := range next {
			for l := held.From; held != plan[addr] && l < held.To; l++ {
				assert.Assert(t, after[l] >= 2, "layer %d is held by no other engine than %s", l, addr)
			}
		}
	})
}

// The layers of a lost engine go to the neighbors that keep the most token capacity. An
// engine whose memory is in use keeps it.
func TestExtensionPrefersTokenCapacity(t *testing.T) {
	d, plan := singleDomain()
	d.engines = append(d.engines[:3], d.engines[4:]...) // without [21,28)
	next, changed := d.coverLost(plan)
	assert.Assert(t, changed)
	assert.Equal(t, next["a02"], model.LayerRange{From: 14, To: 25})
	assert.Equal(t, next["a04"], model.LayerRange{From: 25, To: 35})
	d.engines[2].usedTokenLayers = 0.7 * tokenCapacity(d.spec, d.engines[2].Card, 7) * 7
	next, changed = d.coverLost(plan)
	assert.Assert(t, !changed, "%s %s", next["a02"], next["a04"])
}

// A load that is nearly done must not be duplicated by an extension, but one that takes too
// long leaves the domain without the layers.
func TestOnlyLateLoadsAreCovered(t *testing.T) {
	for name, c := range map[string]struct {
		ready, missing time.Duration
		covered        bool
	}{
		"in time":     {ready: 1200 * time.Millisecond},
		"late":        {ready: 3 * time.Second, covered: true},
		"nearly done": {ready: 300 * time.Millisecond, missing: 4 * time.Second},
		"unknown":     {covered: true},
	} {
		t.Run(name, func(t *testing.T) {
			d, plan := singleDomain()
			d.engines[3].held, d.engines[3].loading = model.LayerRange{}, true
			if c.ready > 0 {
				d.engines[3].readyAt = d.now.Add(c.ready)
			}
			d.missingSince = make([]time.Time, d.spec.Layers)
			for l := 21; l < 28; l++ {
				d.missingSince[l] = d.now.Add(-c.missing)
			}
			_, changed := d.coverDelayed(plan)
			assert.Equal(t, changed, c.covered)
		})
	}
}

// A domain that has lost most layers is being lost whole. Extensions of its last engines
// would serve nobody.
func TestMostlyLostDomainIsLeftAlone(t *testing.T) {
	d, plan := singleDomain()
	d.engines = []domainEngine{d.engines[0], d.engines[2], d.engines[4]} // [7,14) could be covered
	next, changed := d.coverLost(plan)
	assert.Assert(t, !changed && equalPlans(next, plan))
}

// Layers with a single holder get a second one only with ample token memory, and never
// while the domain lacks layers.
func TestSecondHoldersNeedAmpleMemory(t *testing.T) {
	d, plan := singleDomain()
	_, changed := d.addSecondHolder(plan)
	assert.Assert(t, !changed, "no engine has the memory")
	all, _ := singleEngines()
	for i := range 4 {
		e := all[24]
		e.Address = fmt.Sprintf("x%d", i)
		plan[e.Address] = model.LayerRange{From: 22 * i, To: min(22*i+4, 80)}
		d.engines = append(d.engines, domainEngine{Engine: e, held: plan[e.Address]})
	}
	plan["x0"] = model.LayerRange{From: 0, To: 20}
	plan["x1"] = model.LayerRange{From: 22, To: 30}
	d.engines[12].held, d.engines[13].held = plan["x0"], plan["x1"]
	next, changed := d.addSecondHolder(plan)
	assert.Assert(t, changed)
	counts := Coverage(d.spec, next, d.plannerEngines())
	assert.Assert(t, counts[20] == 2 && counts[21] == 2, "%v", counts)
	d.engines[5].loading = true
	_, changed = d.addSecondHolder(plan)
	assert.Assert(t, !changed)
}

// An extension stays while the memory is little used or a layer would have one holder left.
func TestExtensionIsUndoneOnlyWhenFullAndSpare(t *testing.T) {
	d, plan := singleDomain()
	spare := d.engines[2]
	spare.Address = "spare"
	plan["spare"] = model.LayerRange{From: 21, To: 28}
	spare.held = plan["spare"]
	kept := d.engines[2]
	kept.Address = "kept"
	plan["kept"] = model.LayerRange{From: 14, To: 21}
	kept.held = plan["kept"]
	d.engines = append(d.engines, spare, kept)
	extended := clonePlan(plan)
	extended["a02"] = model.LayerRange{From: 14, To: 25}
	d.engines[2].held = extended["a02"]
	previous := Plan{}
	updateExtended(previous, plan, extended)
	assert.Equal(t, previous["a02"], plan["a02"])
	_, changed := d.undoExtension(extended, previous)
	assert.Assert(t, !changed, "the memory is not used")
	d.engines[2].usedTokenLayers = 0.6 * tokenCapacity(d.spec, spare.Card, 11) * 11
	next, changed := d.undoExtension(extended, previous)
	assert.Assert(t, changed)
	assert.Equal(t, next["a02"], plan["a02"])
	d.engines = d.engines[:13]
	_, changed = d.undoExtension(extended, previous)
	assert.Assert(t, !changed, "[14,21) would have no holder until the engine has unloaded")
	d.engines = append(d.engines[:12], kept)
	_, changed = d.undoExtension(extended, previous)
	assert.Assert(t, !changed, "[21,25) would have one holder")
	updateExtended(previous, extended, next)
	assert.Equal(t, len(previous), 0)
}
