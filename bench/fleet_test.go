// Package bench holds repeatable experiments on the decisions: the present
// policy beside baselines and the bound, in one run and in virtual time, so that
// the figures do not depend on how busy the machine is.
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
	positions    = promptParts + tokensWanted - 1 // a request's positions
	sessions     = 256
	batch        = 16
)

// The four places. The fourth is far: its links are a hundred times slower.
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

// engines lays out 33 engines of three speeds over the places. Ranges and
// speeds are spread unevenly, so that no place holds a balanced model.
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
			Batch:    batch,
			Sessions: sessions,
		})
	}
	return out
}

// bound is the most positions a second that engines and links can carry.
func bound(specs []world.EngineSpec) float64 {
	var groups []flow.Group
	for _, s := range specs {
		rate := float64(s.Batch) / (s.StepTime.Seconds() * float64(s.Range.Len()))
		groups = append(groups, flow.Group{Domain: s.Domain, Range: s.Range, Rate: rate})
	}
	rate := func(a, b string) float64 { return linkBetween(a, b).Rate }
	return flow.Solve(groups, layers, rate, flow.FinePrecision).UpperBound
}
