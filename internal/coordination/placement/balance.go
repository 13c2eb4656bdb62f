package placement

import (
	"math"
	"slices"

	"github.com/skylarkwood/skylarkwood/internal/model"
)

const (
	// bareStreams is the room, in usual requests, below which a layer counts as
	// all but bare: the fewer it has the more one place there is worth, and
	// infinitely much would be a layer's last token.
	bareStreams = 20
	// keepShare is how much of the best range's use a vacant one must have to be
	// taken up: its neighbours begin and end where it does, so that chains through
	// it have fewer parts.
	keepShare = 0.7
	// mostMoves is how many engines one look moves within a failure domain: two small
	// ones fill the place of a larger one, and a third what is left of it.
	mostMoves = 3
	// spareShare is the share of its domain's mean room that each of an engine's
	// layers must have without it for the engine to be spared.
	spareShare = 0.5
)

// room is how many tokens have room at each layer; each stream needs all layers.
type room []float64

func roomOf(spec *model.EngineSpec, plan Plan, engines []Engine) room {
	r := make(room, spec.Layers)
	for _, e := range engines {
		r.add(plan[e.Address], tokensIn(spec, e, plan[e.Address]), 1)
	}
	return r
}

// tokensIn is the room that an engine gives each layer of a range.
func tokensIn(spec *model.EngineSpec, e Engine, held model.LayerRange) float64 {
	if held.Len() <= 0 {
		return 0
	}
	return math.Max(tokens(spec, e.Card, held.Len()), 0)
}

func (r room) add(held model.LayerRange, tokens, sign float64) {
	for l := held.From; l < min(held.To, len(r)); l++ {
		r[l] += sign * tokens
	}
}

func (r room) mean() float64 {
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

// need is what an engine of one failure domain could relieve.
type need struct {
	spec *model.EngineSpec
	own  room // of its domain
	all  room // of all domains
}

func needOf(spec *model.EngineSpec, plan Plan, engines []Engine, domain string) need {
	return need{spec: spec, own: roomOf(spec, plan, inDomain(engines, domain)), all: roomOf(spec, plan, engines)}
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

// at is what an engine with so many tokens a layer relieves at one layer: for its
// domain, and for all, who come to it over the pipes.
func (n need) at(layer int, tokens float64) float64 {
	return n.relief(n.own[layer], tokens) + n.relief(n.all[layer], tokens)
}

// relief is by how much a layer's shortage falls when it gets more room.
func (n need) relief(has, more float64) float64 {
	return shortage(n.bare(), has) - shortage(n.bare(), has+more)
}

func (n need) bare() float64 { return bareStreams * n.usual() }

// usual is what a usual request holds, in tokens.
func (n need) usual() float64 {
	return float64(max(n.spec.MeanPromptTokens+n.spec.MeanAnswerTokens, 1))
}

// of is what an engine relieves with a range.
func (n need) of(e Engine, held model.LayerRange) float64 {
	t := tokensIn(n.spec, e, held)
	sum := 0.0
	for l := held.From; l < min(held.To, len(n.own)); l++ {
		sum += n.at(l, t)
	}
	return sum
}

// take counts an engine's range in, or out with sign -1.
func (n need) take(e Engine, held model.LayerRange, sign float64) {
	t := tokensIn(n.spec, e, held)
	n.own.add(held, t, sign)
	n.all.add(held, t, sign)
}

// best finds the range with which an engine relieves most. A long one serves more
// layers, a short one leaves more room in each.
func (n need) best(e Engine) model.LayerRange {
	var best model.LayerRange
	most := 0.0
	for size := 1; size <= MaxLayers(n.spec, e.Card); size++ {
		t := math.Max(tokens(n.spec, e.Card, size), 0)
		sum := 0.0
		for end := range n.spec.Layers {
			sum += n.at(end, t)
			if end >= size {
				sum -= n.at(end-size, t)
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
	next = copyOf(plan)
	for _, group := range byDomain(engines) {
		if len(UncoveredLayers(spec, next, group)) == 0 || planned(next, group) < spec.Layers {
			continue
		}
		known := slices.DeleteFunc(slices.Clone(group), func(e Engine) bool { return !sure(e.Address) })
		for range mostMoves {
			e, ok := spared(spec, next, known)
			if !ok || len(UncoveredLayers(spec, next, group)) == 0 {
				break
			}
			n := needOf(spec, next, engines, e.Domain)
			n.take(e, next[e.Address], -1)
			next[e.Address] = n.best(e)
			changed = true
		}
	}
	return next, changed
}

// spared finds the slowest engine of some of one domain whose layers others of them
// hold with room to spare.
func spared(spec *model.EngineSpec, plan Plan, group []Engine) (who Engine, ok bool) {
	own := roomOf(spec, plan, group)
	least := spareShare * own.mean()
	for _, e := range group {
		held := plan[e.Address]
		enough := held.Len() > 0
		for l := held.From; l < min(held.To, len(own)); l++ {
			enough = enough && own[l]-tokensIn(spec, e, held) >= least
		}
		if enough && (!ok || e.Card.StepTimeFactor > who.Card.StepTimeFactor) {
			who, ok = e, true
		}
	}
	return who, ok
}

// planned adds up the layers that engines hold, those held twice counted twice.
func planned(plan Plan, engines []Engine) int {
	sum := 0
	for _, e := range engines {
		sum += plan[e.Address].Len()
	}
	return sum
}
