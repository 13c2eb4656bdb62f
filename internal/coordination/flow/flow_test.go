package flow

import (
	"math"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/skylarkwood/skylarkwood/internal/model"
)

func free(_, _ string) float64 { return math.Inf(1) }

func rng(from, to int) model.LayerRange { return model.LayerRange{From: from, To: to} }

func near(a, b float64) bool { return math.Abs(a-b) <= 1e-3*math.Max(1, math.Abs(b)) }

func TestKnownFlows(t *testing.T) {
	for _, tc := range []struct {
		name   string
		groups []Group
		link   LinkRate
		want   float64
	}{
		{"narrowest stage", []Group{{"a", rng(0, 4), 10}, {"a", rng(4, 8), 7}}, free, 7},
		{"two ways", []Group{{"a", rng(0, 4), 10}, {"a", rng(4, 8), 3}, {"b", rng(4, 8), 5}}, free, 8},
		{"overlap", []Group{{"a", rng(0, 6), 10}, {"a", rng(4, 8), 9}}, free, 9},
		{"whole model at one", []Group{{"a", rng(0, 8), 4}, {"a", rng(0, 4), 3}, {"a", rng(4, 8), 3}}, free, 7},
		{"a layer is missing", []Group{{"a", rng(0, 3), 10}, {"a", rng(4, 8), 10}}, free, 0},
		{"slow link", []Group{{"a", rng(0, 4), 10}, {"b", rng(4, 8), 10}}, func(a, b string) float64 { return 2 }, 2},
	} {
		t.Run(tc.name, func(t *testing.T) {
			got := Solve(tc.groups, 8, tc.link).Rate
			assert.Assert(t, near(got, tc.want), "%g, want %g", got, tc.want)
		})
	}
}

// Whatever the groups and links, a plan is a flow: what goes into a group comes
// out, none carries more than its rate, and the total is what enters the model.
func TestPlanIsAFlow(t *testing.T) {
	domains := []string{"a", "b", "c"}
	rapid.Check(t, func(rt *rapid.T) {
		var groups []Group
		for n := rapid.IntRange(1, 12).Draw(rt, "groups"); n > 0; n-- {
			from := rapid.IntRange(0, 7).Draw(rt, "from")
			groups = append(groups, Group{
				Domain: rapid.SampledFrom(domains).Draw(rt, "domain"),
				Range:  rng(from, rapid.IntRange(from+1, 8).Draw(rt, "to")),
				Rate:   float64(rapid.IntRange(1, 100).Draw(rt, "rate")),
			})
		}
		cross := float64(rapid.IntRange(1, 50).Draw(rt, "cross"))
		plan := Solve(groups, 8, func(a, b string) float64 {
			if a == b {
				return math.Inf(1)
			}
			return cross
		})
		in, out := map[int]float64{}, map[int]float64{}
		for e, f := range plan.Flow {
			out[e.From] += f
			in[e.To] += f
		}
		for i, g := range groups {
			assert.Assert(rt, near(in[i], out[i]), "group %d: %g in, %g out", i, in[i], out[i])
			assert.Assert(rt, in[i] <= g.Rate+1e-3)
		}
		assert.Assert(rt, near(out[Source], plan.Rate) && near(in[Sink], plan.Rate))
	})
}
