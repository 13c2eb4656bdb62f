package placement

import (
	"math"

	"github.com/skylarkwood/skylarkwood/internal/model"
)

// flowSteps halve the interval in which a flow is sought; 40 leave it exact to a
// millionth of a millionth.
const flowSteps = 40

// Capacity is what an engine has to give to the layers that it holds, in units x
// layers.
type Capacity func(e Engine, held model.LayerRange) float64

// MemoryCapacity is an engine's token memory beside the weights of its range, in
// tokens x layers.
func MemoryCapacity(spec *model.EngineSpec) Capacity {
	return func(e Engine, held model.LayerRange) float64 {
		return tokensIn(spec, e, held) * float64(held.Len())
	}
}

// PrefillCapacity is how many prompt tokens a second an engine reads, times layers.
func PrefillCapacity(spec *model.EngineSpec) Capacity {
	return func(e Engine, _ model.LayerRange) float64 {
		if e.Card.PrefillFactor <= 0 {
			return 0
		}
		return spec.PrefillRate * float64(spec.Layers) / e.Card.PrefillFactor
	}
}

// MaxFlow is how much passes through all layers at most: each unit needs every layer
// once, at any engine that holds it, and an engine divides what it has among its
// layers as it likes. It is the maximum flow from the layers to the engines.
//
// Ranges are intervals. So a given amount passes if it does where each layer, in
// order, is served by the engine whose range ends first; the greatest such amount
// is found by halving.
func MaxFlow(spec *model.EngineSpec, plan Plan, engines []Engine, supply Capacity) float64 {
	low, high := 0.0, 0.0
	for _, e := range engines {
		high += supply(e, plan[e.Address])
	}
	high /= float64(max(spec.Layers, 1))
	for range flowSteps {
		amount := (low + high) / 2
		if passes(spec, plan, engines, supply, amount) {
			low = amount
		} else {
			high = amount
		}
	}
	return low
}

// passes tells whether an amount passes through all layers.
func passes(spec *model.EngineSpec, plan Plan, engines []Engine, supply Capacity, amount float64) bool {
	left := make([]float64, len(engines))
	for i, e := range engines {
		left[i] = supply(e, plan[e.Address])
	}
	for layer := range spec.Layers {
		wanted := amount
		for wanted > 0 {
			i := endsFirst(plan, engines, left, layer)
			if i < 0 {
				return false
			}
			taken := math.Min(left[i], wanted)
			left[i] -= taken
			wanted -= taken
		}
	}
	return true
}

// endsFirst finds the engine that holds a layer, has something left, and whose
// range ends first; -1 if there is none.
func endsFirst(plan Plan, engines []Engine, left []float64, layer int) int {
	first := -1
	for i, e := range engines {
		held := plan[e.Address]
		if left[i] <= 0 || layer < held.From || layer >= held.To {
			continue
		}
		if first < 0 || held.To < plan[engines[first].Address].To {
			first = i
		}
	}
	return first
}

// MemoryBound is how many tokens have room at once at most, whatever the plan:
// the weights lie in memory once, and all the rest holds tokens.
func MemoryBound(spec *model.EngineSpec, engines []Engine) float64 {
	mb := -float64(spec.Layers) * spec.LayerMB
	for _, e := range engines {
		mb += e.Card.MB
	}
	per := float64(spec.Layers) * spec.LayerTokenMB()
	if per <= 0 {
		return 0
	}
	return math.Max(mb/per, 0)
}

// PrefillBound is how many prompt tokens a second are read at most, whatever the
// plan: every engine always reads.
func PrefillBound(spec *model.EngineSpec, engines []Engine) float64 {
	supply := PrefillCapacity(spec)
	sum := 0.0
	for _, e := range engines {
		sum += supply(e, model.LayerRange{})
	}
	return sum / float64(max(spec.Layers, 1))
}

// MinStages is how many engines the shortest chain through a plan has; 0 where layers
// lack.
func MinStages(spec *model.EngineSpec, plan Plan, engines []Engine) int {
	n := 0
	for at := 0; at < spec.Layers; n++ {
		far := at
		for _, e := range engines {
			if held := plan[e.Address]; held.From <= at {
				far = max(far, held.To)
			}
		}
		if far == at {
			return 0
		}
		at = far
	}
	return n
}
