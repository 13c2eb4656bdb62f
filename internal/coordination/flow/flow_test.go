package flow

import (
	"math"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/skylarkwood/skylarkwood/internal/model"
)

func unlimited(_, _ string) float64 { return math.Inf(1) }

func layerRange(from, to int) model.LayerRange { return model.LayerRange{From: from, To: to} }

// approxEqual allows for the precision of the packing.
func approxEqual(got, want float64) bool { return math.Abs(got-want) <= 4*FinePrecision*want+1e-9 }

func TestKnownFlows(t *testing.T) {
	for _, tc := range []struct {
		name         string
		groups       []Group
		interconnect InterconnectRate
		want         float64
	}{
		{"narrowest stage", []Group{{"a", layerRange(0, 4), 10}, {"a", layerRange(4, 8), 7}}, unlimited, 7},
		{"two second stages", []Group{{"a", layerRange(0, 4), 10}, {"a", layerRange(4, 8), 3}, {"b", layerRange(4, 8), 5}}, unlimited, 8},
		{"overlapping layers run once", []Group{{"a", layerRange(0, 6), 30}, {"a", layerRange(4, 8), 9}}, unlimited, 18},
		{"one group holds the whole model", []Group{{"a", layerRange(0, 8), 4}, {"a", layerRange(0, 4), 3}, {"a", layerRange(4, 8), 3}}, unlimited, 7},
		{"a layer is missing", []Group{{"a", layerRange(0, 3), 10}, {"a", layerRange(4, 8), 10}}, unlimited, 0},
		{"interconnect used at two boundaries", []Group{{"a", layerRange(0, 2), 10}, {"b", layerRange(2, 4), 10}, {"a", layerRange(4, 6), 10}, {"b", layerRange(6, 8), 10}},
			func(a, b string) float64 { return 2 }, 1},
		{"slow interconnect", []Group{{"a", layerRange(0, 4), 10}, {"b", layerRange(4, 8), 10}}, func(a, b string) float64 { return 2 }, 2},
	} {
		t.Run(tc.name, func(t *testing.T) {
			got := Solve(tc.groups, 8, tc.interconnect, FinePrecision)
			assert.Assert(t, approxEqual(got.Rate, tc.want), "%g, want %g", got.Rate, tc.want)
		})
	}
}

// Chains of a plan cover the model in order and use no group beyond its rate. If ranges do
// not overlap, the plan is near the maximum flow, and its upper bound is not below it.
func TestPlanIsNearTheUpperBound(t *testing.T) {
	domains := []string{"a", "b", "c"}
	cuts := []int{0, 2, 4, 8}
	rapid.Check(t, func(rt *rapid.T) {
		var groups []Group
		for n := rapid.IntRange(1, 9).Draw(rt, "groups"); n > 0; n-- {
			at := rapid.IntRange(0, 2).Draw(rt, "range")
			groups = append(groups, Group{
				Domain: rapid.SampledFrom(domains).Draw(rt, "domain"),
				Range:  layerRange(cuts[at], cuts[at+1]),
				Rate:   float64(rapid.IntRange(1, 100).Draw(rt, "rate")),
			})
		}
		interconnect := func(a, b string) float64 { return math.Inf(1) }
		plan := Solve(groups, 8, interconnect, FinePrecision)
		used := make([]float64, len(groups))
		for _, c := range plan.Chains {
			next := 0
			for _, g := range c.Groups {
				assert.Equal(rt, groups[g].Range.From, next)
				next = groups[g].Range.To
				used[g] += c.Rate
			}
			assert.Equal(rt, next, 8)
		}
		for i, g := range groups {
			assert.Assert(rt, used[i] <= g.Rate*(1+1e-9))
		}
		best := maxFlow(groups, 8, interconnect)
		assert.Assert(rt, approxEqual(plan.Rate, best), "plan %g, maximum flow %g", plan.Rate, best)
		assert.Assert(rt, best == 0 || plan.UpperBound >= best*(1-1e-6), "bound %g below the maximum flow %g", plan.UpperBound, best)
	})
}

// BenchmarkSolveRegion plans for three failure domains and four layer ranges.
func BenchmarkSolveRegion(b *testing.B) { benchmarkSolve(b, 3) }

// BenchmarkSolveFleet plans for 18 failure domains at once.
func BenchmarkSolveFleet(b *testing.B) { benchmarkSolve(b, 18) }

func benchmarkSolve(b *testing.B, domains int) {
	var groups []Group
	for d := 0; d < domains; d++ {
		for from := 0; from < 8; from += 2 {
			groups = append(groups, Group{string(rune('a' + d)), layerRange(from, from+2), float64(10 + d)})
		}
	}
	interconnect := func(a, b string) float64 {
		if a == b {
			return 1000
		}
		return 5
	}
	for b.Loop() {
		Solve(groups, 8, interconnect, CoarsePrecision)
	}
}
