package placement

import (
	"math"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/skylarkwood/skylarkwood/internal/model"
)

// augmentingMaxFlow computes the flow of MaxFlow by augmenting paths over a graph of
// layers and engines, without use of intervals. Capacities are integers.
func augmentingMaxFlow(layers int, plan Plan, engines []Engine, supply []int, amount int) int {
	left := append([]int(nil), supply...)
	sent := make([][]int, layers) // from a layer to an engine
	for l := range sent {
		sent[l] = make([]int, len(engines))
	}
	holds := func(i, l int) bool {
		held := plan[engines[i].Address]
		return held.From <= l && l < held.To
	}
	var push func(l int, seen map[int]bool) bool
	push = func(l int, seen map[int]bool) bool {
		for i := range engines {
			if !holds(i, l) || seen[i] {
				continue
			}
			seen[i] = true
			if left[i] > 0 {
				left[i]--
				sent[l][i]++
				return true
			}
			for other := range layers {
				if sent[other][i] > 0 && push(other, seen) {
					sent[other][i]--
					sent[l][i]++
					return true
				}
			}
		}
		return false
	}
	total := 0
	for l := range layers {
		for range amount {
			if push(l, map[int]bool{}) {
				total++
			}
		}
	}
	return total
}

// MaxFlow agrees with the reference implementation: its amount passes, and one unit more
// does not.
func TestMaxFlowMatchesAugmentingPaths(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := &model.EngineSpec{Layers: rapid.IntRange(1, 6).Draw(rt, "layers")}
		n := rapid.IntRange(1, 5).Draw(rt, "engines")
		plan := Plan{}
		var all []Engine
		var supply []int
		byAddress := map[string]float64{}
		for i := range n {
			e := Engine{Address: string(rune('a' + i))}
			from := rapid.IntRange(0, s.Layers-1).Draw(rt, "from")
			plan[e.Address] = model.LayerRange{From: from, To: rapid.IntRange(from+1, s.Layers).Draw(rt, "to")}
			all = append(all, e)
			supply = append(supply, rapid.IntRange(0, 8).Draw(rt, "supply"))
			byAddress[e.Address] = float64(supply[i])
		}
		flow := MaxFlow(s, plan, all, func(e Engine, _ model.LayerRange) float64 { return byAddress[e.Address] })
		floor := int(math.Floor(flow + 1e-6))
		assert.Equal(rt, augmentingMaxFlow(s.Layers, plan, all, supply, floor), floor*s.Layers, "flow %.3f", flow)
		assert.Assert(rt, augmentingMaxFlow(s.Layers, plan, all, supply, floor+1) < (floor+1)*s.Layers, "flow %.3f", flow)
	})
}

// A plan exceeds no upper bound, has the token capacity that each failure domain
// requires, and keeps most of the prefill rate.
func TestPlanStaysWithinItsBounds(t *testing.T) {
	s := testSpec()
	s.ReadRate = 245000
	all := mixedEngines()
	plan := BuildPlan(s, all)
	memory := MaxFlow(s, plan, all, MemoryCapacity(s))
	reading := MaxFlow(s, plan, all, PrefillCapacity(s))
	assert.Assert(t, memory <= MemoryBound(s, all))
	assert.Assert(t, reading <= PrefillBound(s, all)*1.0001)
	for _, group := range groupByDomain(all) {
		own, need := MaxFlow(s, plan, group, MemoryCapacity(s)), requiredTokens(s, group)
		assert.Assert(t, own >= need, "%s: %.0f of %.0f", group[0].Domain, own, need)
	}
	assert.Assert(t, reading >= 0.8*PrefillBound(s, all), "%.0f of %.0f", reading, PrefillBound(s, all))
}
