package placement

import (
	"math"

	"github.com/skylarkwood/skylarkwood/internal/model"
)

// bisectionSteps is the number of bisection steps by which MaxFlow approaches the maximum.
const bisectionSteps = 40

// Capacity returns what an engine can process for the layers that it holds, in units times
// layers.
type Capacity func(e Engine, held model.LayerRange) float64

// MemoryCapacity returns the memory of an engine that the weights of its range leave for
// tokens, in tokens times layers.
func MemoryCapacity(spec *model.EngineSpec) Capacity {
	return func(e Engine, held model.LayerRange) float64 {
		return rangeCapacity(spec, e, held) * float64(held.Len())
	}
}

// PrefillCapacity returns the prefill rate of an engine, in prompt tokens per second times
// layers.
func PrefillCapacity(spec *model.EngineSpec) Capacity {
	return func(e Engine, _ model.LayerRange) float64 {
		if e.Card.ReadFactor <= 0 {
			return 0
		}
		return spec.ReadRate * float64(spec.Layers) / e.Card.ReadFactor
	}
}

// MaxFlow returns the greatest amount that can pass through all layers. Each unit needs
// every layer once, at any engine that holds it. An engine divides its capacity freely
// among its layers. This is the maximum flow from layers to engines.
//
// Ranges are intervals, so an amount is feasible if it passes when each layer in order is
// served by the engine whose range ends first. The greatest feasible amount is found by
// bisection.
func MaxFlow(spec *model.EngineSpec, plan Plan, engines []Engine, capacity Capacity) float64 {
	low, high := 0.0, 0.0
	for _, e := range engines {
		high += capacity(e, plan[e.Address])
	}
	high /= float64(max(spec.Layers, 1))
	for range bisectionSteps {
		amount := (low + high) / 2
		if feasible(spec, plan, engines, capacity, amount) {
			low = amount
		} else {
			high = amount
		}
	}
	return low
}

// feasible reports whether an amount can pass through all layers.
func feasible(spec *model.EngineSpec, plan Plan, engines []Engine, capacity Capacity, amount float64) bool {
	remaining := make([]float64, len(engines))
	for i, e := range engines {
		remaining[i] = capacity(e, plan[e.Address])
	}
	for layer := range spec.Layers {
		demand := amount
		for demand > 0 {
			i := earliestEnding(plan, engines, remaining, layer)
			if i < 0 {
				return false
			}
			used := math.Min(remaining[i], demand)
			remaining[i] -= used
			demand -= used
		}
	}
	return true
}

// earliestEnding returns the index of the engine that holds a layer, has capacity
// remaining, and whose range ends first. It returns -1 if there is none.
func earliestEnding(plan Plan, engines []Engine, remaining []float64, layer int) int {
	first := -1
	for i, e := range engines {
		held := plan[e.Address]
		if remaining[i] <= 0 || layer < held.From || layer >= held.To {
			continue
		}
		if first < 0 || held.To < plan[engines[first].Address].To {
			first = i
		}
	}
	return first
}

// MemoryBound returns an upper bound on the tokens that fit into memory under any plan:
// the weights are held once, and the remaining memory holds tokens.
func MemoryBound(spec *model.EngineSpec, engines []Engine) float64 {
	mb := -float64(spec.Layers) * spec.LayerMB
	for _, e := range engines {
		mb += e.Card.MB
	}
	perToken := float64(spec.Layers) * spec.LayerTokenMB()
	if perToken <= 0 {
		return 0
	}
	return math.Max(mb/perToken, 0)
}

// PrefillBound returns an upper bound on the prefill rate under any plan, in prompt tokens
// per second. It assumes that every engine is always busy with prefill.
func PrefillBound(spec *model.EngineSpec, engines []Engine) float64 {
	capacity := PrefillCapacity(spec)
	sum := 0.0
	for _, e := range engines {
		sum += capacity(e, model.LayerRange{})
	}
	return sum / float64(max(spec.Layers, 1))
}

// MinStages returns the number of stages of the shortest chain through a plan, or 0 if the
// plan does not cover all layers.
func MinStages(spec *model.EngineSpec, plan Plan, engines []Engine) int {
	n := 0
	for at := 0; at < spec.Layers; n++ {
		reach := at
		for _, e := range engines {
			if held := plan[e.Address]; held.From <= at {
				reach = max(reach, held.To)
			}
		}
		if reach == at {
			return 0
		}
		at = reach
	}
	return n
}
