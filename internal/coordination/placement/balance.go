package placement

import (
	"math"
	"slices"

	"github.com/skylarkwood/skylarkwood/internal/model"
)

const (
	// shortageOffsetRequests is a token capacity, in typical requests, that is added to
	// each layer so that the shortage of an empty layer stays finite. The fewer tokens a
	// layer has room for, the more one more place there is worth.
	shortageOffsetRequests = 20
	// minVacancyBenefit is the share of the best range's benefit that a vacant range must
	// have to be reused. Chains through a reused range have fewer stages, since its
	// neighbors begin and end where it does.
	minVacancyBenefit = 0.7
	// maxMoves is how many engines one repair moves within a failure domain. Two small
	// engines can replace a larger one, and a third one the remainder.
	maxMoves = 3
	// minRemainingShare is the share of the domain's mean token capacity that each layer
	// of an engine must keep without it before the engine may be moved.
	minRemainingShare = 0.5
)

// layerCapacity is the token capacity of each layer. Every stream needs all layers.
type layerCapacity []float64

func layerCapacityOf(spec *model.EngineSpec, plan Plan, engines []Engine) layerCapacity {
	c := make(layerCapacity, spec.Layers)
	for _, e := range engines {
		c.add(plan[e.Address], rangeCapacity(spec, e, plan[e.Address]), 1)
	}
	return c
}

// rangeCapacity returns how many tokens an engine has memory for in each layer of a range. A
// first stage with a rate limit uses no more than the tokens of the streams that the limit
// lets through.
func rangeCapacity(spec *model.EngineSpec, e Engine, held model.LayerRange) float64 {
	if held.Len() <= 0 {
		return 0
	}
	tokens := math.Max(tokenCapacity(spec, e.Card, held.Len()), 0)
	if held.From == 0 && e.RateLimit != nil {
		tokens = math.Min(tokens, *e.RateLimit*streamSeconds(spec, e.Card)*float64(spec.MeanPromptTokens+spec.MeanAnswerTokens))
	}
	return tokens
}

// streamSeconds estimates how long a usual stream takes, if all of its engines have cards of
// one type.
func streamSeconds(spec *model.EngineSpec, card model.Card) float64 {
	return float64(spec.MeanAnswerTokens) * spec.StepTime.Seconds() * card.StepTimeFactor
}

func (c layerCapacity) add(held model.LayerRange, tokens, sign float64) {
	for l := held.From; l < min(held.To, len(c)); l++ {
		c[l] += sign * tokens
	}
}

func (c layerCapacity) mean() float64 {
	sum := 0.0
	for _, t := range c {
		sum += t
	}
	return sum / float64(max(len(c), 1))
}

// shortage is the inverse square of a layer's token capacity, so that the layers with the
// least capacity dominate. The offset bounds it.
func shortage(offset, capacity float64) float64 {
	total := math.Max(capacity, 0) + offset
	return 1 / (total * total)
}

// placementBenefit computes how much an engine of one failure domain would reduce the
// shortage of layers.
type placementBenefit struct {
	spec   *model.EngineSpec
	domain layerCapacity // of the engine's failure domain
	total  layerCapacity // of all failure domains
}

func newPlacementBenefit(spec *model.EngineSpec, plan Plan, engines []Engine, domain string) placementBenefit {
	return placementBenefit{spec: spec, domain: layerCapacityOf(spec, plan, inDomain(engines, domain)), total: layerCapacityOf(spec, plan, engines)}
}

func inDomain(engines []Engine, domain string) []Engine {
	var out []Engine
	for _, e := range engines {
		if e.Domain == domain {
			out = append(out, e)
		}
	}
	return out
}

// layerBenefit returns the benefit of more token capacity at one layer: for the failure
// domain itself, and for all others, which reach the layer over the interconnects.
func (b placementBenefit) layerBenefit(layer int, tokens float64) float64 {
	return b.shortageReduction(b.domain[layer], tokens) + b.shortageReduction(b.total[layer], tokens)
}

// shortageReduction returns by how much the shortage of a layer falls with more capacity.
func (b placementBenefit) shortageReduction(capacity, added float64) float64 {
	return shortage(b.shortageOffset(), capacity) - shortage(b.shortageOffset(), capacity+added)
}

func (b placementBenefit) shortageOffset() float64 { return shortageOffsetRequests * b.typicalTokens() }

// typicalTokens returns the number of tokens of a typical request.
func (b placementBenefit) typicalTokens() float64 {
	return float64(max(b.spec.MeanPromptTokens+b.spec.MeanAnswerTokens, 1))
}

// rangeBenefit returns the benefit of an engine that holds a range.
func (b placementBenefit) rangeBenefit(e Engine, held model.LayerRange) float64 {
	tokens := rangeCapacity(b.spec, e, held)
	sum := 0.0
	for l := held.From; l < min(held.To, len(b.domain)); l++ {
		sum += b.layerBenefit(l, tokens)
	}
	return sum
}

// apply adds the capacity of an engine's range, or subtracts it with sign -1.
func (b placementBenefit) apply(e Engine, held model.LayerRange, sign float64) {
	tokens := rangeCapacity(b.spec, e, held)
	b.domain.add(held, tokens, sign)
	b.total.add(held, tokens, sign)
}

// bestRange returns the range with the greatest benefit for an engine. A long range serves
// more layers, a short one leaves more token capacity in each.
func (b placementBenefit) bestRange(e Engine) model.LayerRange {
	var best model.LayerRange
	bestSum := 0.0
	for size := 1; size <= MaxLayers(b.spec, e.Card); size++ {
		tokens := math.Max(tokenCapacity(b.spec, e.Card, size), 0)
		sum := 0.0
		for end := range b.spec.Layers {
			sum += b.layerBenefit(end, tokens)
			if end >= size {
				sum -= b.layerBenefit(end-size, tokens)
			}
			if end+1 >= size && sum > bestSum {
				bestSum = sum
				best = model.LayerRange{From: end + 1 - size, To: end + 1}
			}
		}
	}
	return best
}

// RepairDomains moves engines within failure domains that plan as many layers as the model
// has but do not cover all of them. Streams of such a domain cross the interconnects for a
// few layers. Once these are full, the domain's engines are idle while requests are
// refused.
//
// Only engines whose layers others hold with capacity to spare are moved, those with the
// slowest cards first. An engine that unloads layers accepts no streams until its running
// ones have left, and only then loads. Moving a busy engine costs more than the missing
// layers.
//
// Only engines for which trusted returns true are moved or counted as other holders of a
// layer. While the store is unavailable, engines that have exited may still be listed.
func RepairDomains(spec *model.EngineSpec, plan Plan, engines []Engine, trusted func(address string) bool) (next Plan, changed bool) {
	next = clonePlan(plan)
	for _, group := range groupByDomain(engines) {
		if len(UncoveredLayers(spec, next, group)) == 0 || countPlanned(next, group) < spec.Layers {
			continue
		}
		movable := slices.DeleteFunc(slices.Clone(group), func(e Engine) bool { return !trusted(e.Address) })
		for range maxMoves {
			e, ok := findSpare(spec, next, movable)
			if !ok || len(UncoveredLayers(spec, next, group)) == 0 {
				break
			}
			benefit := newPlacementBenefit(spec, next, engines, e.Domain)
			benefit.apply(e, next[e.Address], -1)
			next[e.Address] = benefit.bestRange(e)
			changed = true
		}
	}
	return next, changed
}

// findSpare returns the engine with the slowest card among those of one failure domain
// whose layers the others hold with capacity to spare.
func findSpare(spec *model.EngineSpec, plan Plan, group []Engine) (best Engine, ok bool) {
	capacity := layerCapacityOf(spec, plan, group)
	minTokens := minRemainingShare * capacity.mean()
	for _, e := range group {
		held := plan[e.Address]
		spare := held.Len() > 0
		for l := held.From; l < min(held.To, len(capacity)); l++ {
			spare = spare && capacity[l]-rangeCapacity(spec, e, held) >= minTokens
		}
		if spare && (!ok || e.Card.StepTimeFactor > best.Card.StepTimeFactor) {
			best, ok = e, true
		}
	}
	return best, ok
}

// countPlanned sums the planned layers of engines. A layer held twice counts twice.
func countPlanned(plan Plan, engines []Engine) int {
	sum := 0
	for _, e := range engines {
		sum += plan[e.Address].Len()
	}
	return sum
}
