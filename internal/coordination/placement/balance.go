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
	// thinShare is the share of a domain's mean room that its thinnest layer has
	// at least, where the planner placed all; below it the domain is uneven.
	thinShare = 0.35
	// worthMove is by how much a domain's shortage must fall for a move: streams
	// through the engine are interrupted, and its weights loaded again.
	worthMove = 1.2
)

// room is how many tokens have room at each layer. That of the thinnest layer
// bounds how many streams run at once: each stream needs all layers.
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

func (r room) thinnest() float64 {
	least := math.Inf(1)
	for _, t := range r {
		least = math.Min(least, t)
	}
	return least
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

// shortage adds up that of all layers.
func (r room) shortage(bare float64) float64 {
	sum := 0.0
	for _, t := range r {
		sum += shortage(bare, t)
	}
	return sum
}

// keeps tells whether each layer that had room before still has some.
func (r room) keeps(before room) bool {
	for l, t := range before {
		if t > 0 && r[l] <= 0 {
			return false
		}
	}
	return true
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
func (n need) usual() float64 { return float64(max(n.spec.UsualPrompt+n.spec.UsualAnswer, 1)) }

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
	for size := 1; size <= MostLayers(n.spec, e.Card); size++ {
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

// Mend evens out failure domains that lost engines: where one layer has room for
// far fewer streams than the others, the domain's streams go over the pipes to
// other domains for it, and once the pipes are full its engines stand idle while
// callers are refused. It moves one engine a domain, the one whose move leaves the
// least shortage, and none whose layers nobody else of the domain would hold.
func Mend(spec *model.EngineSpec, plan Plan, engines []Engine) (next Plan, changed bool) {
	next = copyOf(plan)
	for _, group := range byDomain(engines) {
		own := roomOf(spec, next, group)
		if planned(next, group) < spec.Layers || own.thinnest() >= thinShare*own.mean() {
			continue
		}
		if e, held, ok := move(spec, next, engines, group); ok {
			next[e.Address] = held
			changed = true
		}
	}
	return next, changed
}

// move finds the engine of a domain that is best moved, and where to.
func move(spec *model.EngineSpec, plan Plan, engines, group []Engine) (who Engine, to model.LayerRange, ok bool) {
	before := roomOf(spec, plan, group)
	all := roomOf(spec, plan, engines)
	least := math.Inf(1)
	for _, e := range group {
		held, had := plan[e.Address]
		if !had {
			continue
		}
		n := need{spec: spec, own: slices.Clone(before), all: slices.Clone(all)}
		n.take(e, held, -1)
		target := n.best(e)
		n.take(e, target, 1)
		left := n.own.shortage(n.bare())
		if left < least && left*worthMove <= before.shortage(n.bare()) && n.own.keeps(before) {
			who, to, ok = e, target, true
			least = left
		}
	}
	return who, to, ok
}

// planned adds up the layers that engines hold, those held twice counted twice.
func planned(plan Plan, engines []Engine) int {
	sum := 0
	for _, e := range engines {
		sum += plan[e.Address].Len()
	}
	return sum
}
