// Package bench holds repeatable experiments that compare the production policy with
// baselines and an upper bound. They run in virtual time, so that the results do not
// depend on the machine's load.
package bench

import (
	"time"

	"github.com/skylarkwood/skylarkwood/internal/coordination/flow"
	"github.com/skylarkwood/skylarkwood/internal/model"
	"github.com/skylarkwood/skylarkwood/internal/standin/world"
)

const (
	layers       = 12
	promptParts  = 16
	tokensWanted = 24
	positions    = promptParts + tokensWanted - 1 // positions per request
	sessions     = 256
	batch        = 16
)

// The links of the last failure domain are a hundred times slower.
var failureDomains = []string{"hala-luka", "hala-solin", "hala-kastela", "daleko"}

func linkBetween(from, to string) world.Link {
	far := from == "daleko" || to == "daleko"
	switch {
	case from == to:
		return world.Link{Delay: 100 * time.Microsecond, Rate: 600_000}
	case far:
		return world.Link{Delay: 10 * time.Millisecond, Rate: 600}
	}
	return world.Link{Delay: 300 * time.Microsecond, Rate: 6_000}
}

// engines returns 33 engines of three speeds over all failure domains. Layer ranges
// and speeds are spread unevenly, so that no failure domain holds a balanced model.
func engines() []world.EngineSpec {
	speeds := []time.Duration{2500 * time.Microsecond, 5 * time.Millisecond, 10 * time.Millisecond}
	ranges := []model.LayerRange{{From: 0, To: 4}, {From: 4, To: 8}, {From: 8, To: 12}}
	var out []world.EngineSpec
	for i := 0; i < 33; i++ {
		rng := ranges[i%3]
		domain := failureDomains[(i*i/3+i%3)%4]
		out = append(out, world.EngineSpec{
			Domain:   domain,
			Range:    rng,
			StepTime: speeds[(i/3+i%5)%3],
			MaxBatch: batch,
			Sessions: sessions,
		})
	}
	return out
}

// bound returns an upper bound on the positions per second that engines and links can
// process.
func bound(specs []world.EngineSpec) float64 {
	var groups []flow.Group
	for _, s := range specs {
		rate := float64(s.MaxBatch) / (s.StepTime.Seconds() * float64(s.Range.Len()))
		groups = append(groups, flow.Group{Domain: s.Domain, Range: s.Range, Rate: rate})
	}
	rate := func(a, b string) float64 { return linkBetween(a, b).Rate }
	return flow.Solve(groups, layers, rate, flow.FinePrecision).UpperBound
}
