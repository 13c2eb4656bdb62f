package placement

import (
	"math"
	"slices"

	"github.com/skylarkwood/skylarkwood/internal/model"
)

const (
	// shortageOffsetRequests is the room, in usual requests, below which a layer counts as
	// all but bare: the fewer it has the more one place there is worth, and
	// infinitely much would be a layer's last token.
	shortageOffsetRequests = 20
	// minVacancyBenefit is how much of the best range's use a vacant one must have to be
	// taken up: its neighbours begin and end where it does, so that chains through
	// it have fewer parts.
	minVacancyBenefit = 0.7
	// maxMoves is how many engines one look moves within a failure domain: two small
	// ones fill the place of a larger one, and a third what is left of it.
	maxMoves = 3
	// minRemainingShare is the share of its domain's mean room that each of an engine's
	// layers must have without it for the engine to be spared.
	minRemainingShare = 0.5
)

// layerCapacity is how many tokens have layerCapacity at each layer; each stream needs all layers.
type layerCapacity []float64

func layerCapacityOf(spec *model.EngineSpec, plan Plan, engines []Engine) layerCapacity {
	r := make(layerCapacity, spec.Layers)
	for _, e := range engines {
		r.add(plan[e.Address], rangeCapacity(spec, e, plan[e.Address]), 1)
	}
	return r
}

// rangeCapacity is the room that an engine gives each layer of a range.
func rangeCapacity(spec *model.EngineSpec, e Engine, held model.LayerRange) float64 {
	if held.Len() <= 0 {
		return 0
	}
	return math.Max(tokenCapacity(spec, e.Card, held.Len()), 0)
}

func (r layerCapacity) add(held model.LayerRange, tokens, sign float64) {
	for l := held.From; l < min(held.To, len(r)); l++ {
		r[l] += sign * tokens
	}
}

func (r layerCapacity) mean() float64 {
	sum := 0.0
	for _, t := range r {
		sum += t
	}
	return sum / float64(max(len(r), 1))
}

// shortage of a layer is one over the square of its room, so that the thinnest
// layers count; bare bounds it.
func shortage(bare, has float64) float64 {
	t := math.Max(has, 0) + bare
	return 1 / (t * t)
}

// placementBenefit is what an engine of one failure domain could relieve.
type placementBenefit struct {
	spec  *model.EngineSpec
	own   layerCapacity // of its domain
	total layerCapacity // of all domains
}

func newPlacementBenefit(spec *model.EngineSpec, plan Plan, engines []Engine, domain string) placementBenefit {
	return placementBenefit{spec: spec, own: layerCapacityOf(spec, plan, inDomain(engines, domain)), total: layerCapacityOf(spec, plan, engines)}
}

func inDomain(engines []Engine, domain string) []Engine {
	var own []Engine
	for _, e := range engines {
		if e.Domain == domain {
			own = append(own, e)
		}
	}
	return own
}

// layerBenefit is what an engine with so many tokens a layer relieves layerBenefit one layer: for its
// domain, and for all, who come to it over the pipes.
func (n placementBenefit) layerBenefit(layer int, tokens float64) float64 {
	return n.shortageReduction(n.own[layer], tokens) + n.shortageReduction(n.total[layer], tokens)
}

// shortageReduction is by how much a layer's shortage falls when it gets more room.
func (n placementBenefit) shortageReduction(has, more float64) float64 {
	return shortage(n.shortageOffset(), has) - shortage(n.shortageOffset(), has+more)
}

func (n placementBenefit) shortageOffset() float64 { return shortageOffsetRequests * n.typicalTokens() }

// typicalTokens is what a typicalTokens request holds, in tokens.
func (n placementBenefit) typicalTokens() float64 {
	return float64(max(n.spec.UsualPrompt+n.spec.UsualAnswer, 1))
}

// rangeBenefit is what an engine relieves with a range.
func (n placementBenefit) rangeBenefit(e Engine, held model.LayerRange) float64 {
	t := rangeCapacity(n.spec, e, held)
	sum := 0.0
	for l := held.From; l < min(held.To, len(n.own)); l++ {
		sum += n.layerBenefit(l, t)
	}
	return sum
}

// apply counts an engine's range in, or out with sign -1.
func (n placementBenefit) apply(e Engine, held model.LayerRange, sign float64) {
	t := rangeCapacity(n.spec, e, held)
	n.own.add(held, t, sign)
	n.total.add(held, t, sign)
}

// bestRange finds the range with which an engine relieves most. A long one serves more
// layers, a short one leaves more room in each.
func (n placementBenefit) bestRange(e Engine) model.LayerRange {
	var best model.LayerRange
	most := 0.0
	for size := 1; size <= MaxLayers(n.spec, e.Card); size++ {
		t := math.Max(tokenCapacity(n.spec, e.Card, size), 0)
		sum := 0.0
		for end := range n.spec.Layers {
			sum += n.layerBenefit(end, t)
			if end >= size {
				sum -= n.layerBenefit(end-size, t)
			}
			if end+1 >= size && sum > most {
				most = sum
				best = model.LayerRange{From: end + 1 - size, To: end + 1}
			}
		}
	}
	return best
}

// RepairDomains makes failure domains whole that hold as many layers as the model has but
// not each of them: their streams else go over the pipes to other domains and back
// for a few layers, and once the pipes are full their engines stand idle while
// callers are refused.
//
// It moves engines that are spared, the slowest cards first. An engine that gives
// up layers takes nothing new until the last stream has left it, ten seconds and
// more for a busy one, and only then loads: to move one that carries the domain's
// streams costs more than the hole.
//
// sure tells, by address, which engines are known to do their work: while the store
// is away others may be gone and still be listed, and what they seem to hold is no
// ground for taking an engine away that does hold it.
func RepairDomains(spec *model.EngineSpec, plan Plan, engines []Engine, sure func(address string) bool) (next Plan, changed bool) {
	next = clonePlan(plan)
	for _, group := range groupByDomain(engines) {
		if len(UncoveredLayers(spec, next, group)) == 0 || countPlanned(next, group) < spec.Layers {
			continue
		}
		known := slices.DeleteFunc(slices.Clone(group), func(e Engine) bool { return !sure(e.Address) })
		for range maxMoves {
			e, ok := findSpare(spec, next, known)
			if !ok || len(UncoveredLayers(spec, next, group)) == 0 {
				break
			}
			n := newPlacementBenefit(spec, next, engines, e.Domain)
			n.apply(e, next[e.Address], -1)
			next[e.Address] = n.bestRange(e)
			changed = true
		}
	}
	return next, changed
}

// findSpare finds the slowest engine of some of one domain whose layers others of them
// hold with room to spare.
func findSpare(spec *model.EngineSpec, plan Plan, group []Engine) (who Engine, ok bool) {
	own := layerCapacityOf(spec, plan, group)
	least := minRemainingShare * own.mean()
	for _, e := range group {
		held := plan[e.Address]
		enough := held.Len() > 0
		for l := held.From; l < min(held.To, len(own)); l++ {
			enough = enough && own[l]-rangeCapacity(spec, e, held) >= least
		}
		if enough && (!ok || e.Card.Pace > who.Card.Pace) {
			who, ok = e, true
		}
	}
	return who, ok
}

// countPlanned adds up the layers that engines hold, those held twice counted twice.
func countPlanned(plan Plan, engines []Engine) int {
	sum := 0
	for _, e := range engines {
		sum += plan[e.Address].Len()
	}
	return sum
}
