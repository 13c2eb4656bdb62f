package placement

import (
	"maps"
	"math"
	"slices"
	"sort"
	"time"

	"github.com/skylarkwood/skylarkwood/internal/model"
)

const (
	// usedShare is the share of a failure domain's token memory, beyond one copy of
	// the model, that its chains are made to bear at once; the rest is given up for
	// shorter chains and for layers held twice. Six deployments used 0.11 to 0.19 of
	// it on calm days. Mean worth of fifteen days with trouble of a site whose
	// domains hold the model less than twice: 0.722 with all memory kept for
	// tokens, 0.756 at 0.2, 0.750 at 0.3, 0.724 at 0.4.
	usedShare = 0.25
	// partTime is what one more engine in a chain costs a token: 0.2 ms one way,
	// and waiting for the pass in progress.
	partTime = 400 * time.Microsecond
)

// needed is for how many tokens at once a failure domain needs room.
func needed(spec *model.EngineSpec, group []Engine) float64 {
	beyond := copies(spec, group) - 1
	return usedShare * beyond * float64(spec.Layers) * spec.LayerMB / spec.KVTokenMB()
}

// copies is how often a group's memory would hold the model.
func copies(spec *model.EngineSpec, group []Engine) float64 {
	memory := 0.0
	for _, e := range group {
		memory += e.Card.MB
	}
	return memory / (float64(spec.Layers) * spec.LayerMB)
}

// serve places the model on the fastest engines of a failure domain, as often as
// their memory bears beside room for so many tokens: whole chains, and one more that
// holds the first layers only. Those are held once more than the others and need
// less room at each holder.
//
// Chains have few engines: each is one more whose loss interrupts their streams, and
// one more hop for each token, so that more streams are in progress when something
// is lost.
func serve(spec *model.EngineSpec, plan Plan, group []Engine, need float64) {
	for n := int(copies(spec, group)); n >= 1; n-- {
		for more := spec.Layers - 1; more >= 0; more-- {
			d := division{spec: spec, chains: n, more: more, tokens: need}
			if own, left, ok := d.place(group); ok {
				own, left = d.evenOut(group, own, left)
				maps.Copy(plan, own)
				standIn(spec, plan, group, left)
				return
			}
		}
	}
	// They have less room than is needed: all of it goes to one chain.
	PlanChain(spec, group, plan)
}

// division is one way to place the model in a failure domain.
type division struct {
	spec *model.EngineSpec
	// chains is how many whole chains there are, more how many layers one more holds.
	chains, more int
	// tokens is what all holders of a layer have room for together.
	tokens float64
}

// evenOut gives the chains as much room as they can have without fewer layers held
// twice: the last engine of a chain would else have all of what is left.
func (d division) evenOut(group []Engine, plan Plan, left []Engine) (Plan, []Engine) {
	const step = 1.04
	for {
		d.tokens *= step
		next, rest, ok := d.place(group)
		if !ok || d.tokens == 0 {
			return plan, left
		}
		plan, left = next, rest
	}
}

// place fills one chain after the other with the fastest engines that are left.
func (d division) place(group []Engine) (plan Plan, left []Engine, ok bool) {
	left = slices.Clone(group)
	room := d.tokens / float64(d.chains)
	sort.SliceStable(left, func(i, j int) bool {
		return layerTime(d.spec, left[i], room) < layerTime(d.spec, left[j], room)
	})
	plan = Plan{}
	for range d.chains {
		if left, ok = d.fill(plan, left, d.spec.Layers); !ok {
			return nil, nil, false
		}
	}
	if left, ok = d.fill(plan, left, d.more); !ok {
		return nil, nil, false
	}
	return plan, left, true
}

// fill divides the first layers over engines, in their order.
func (d division) fill(plan Plan, engines []Engine, layers int) (left []Engine, ok bool) {
	from := 0
	for i, e := range engines {
		if from >= layers {
			return engines[i:], true
		}
		n := min(d.most(e.Card, from), layers-from)
		if n <= 0 {
			return nil, false
		}
		plan[e.Address] = model.LayerRange{From: from, To: from + n}
		from += n
	}
	return nil, from >= layers
}

// most is how many layers from one on a card holds with its share of the room.
func (d division) most(card model.Card, from int) int {
	if n := layersWith(d.spec, card, d.tokens/float64(d.chains+1)); from+n <= d.more {
		return n
	}
	n := layersWith(d.spec, card, d.tokens/float64(d.chains))
	// One that begins among the layers that are held once more ends with them, if
	// it holds no more that way.
	if from < d.more && from+n < d.more {
		return d.more - from
	}
	return n
}

// layersWith is how many layers a card holds beside room for so many tokens.
func layersWith(spec *model.EngineSpec, card model.Card, tokens float64) int {
	return min(int(card.MB/(spec.LayerMB+tokens*spec.LayerTokenMB())), spec.Layers)
}

// layerTime is what a token takes for one layer at an engine, its share of the hop
// included, in seconds; infinite where the engine has no room for a layer.
func layerTime(spec *model.EngineSpec, e Engine, tokens float64) float64 {
	n := layersWith(spec, e.Card, tokens)
	if n == 0 {
		return math.Inf(1)
	}
	return spec.StepTime.Seconds()*e.Card.StepTimeFactor/float64(spec.Layers) + partTime.Seconds()/float64(n)
}

// standIn gives the engines that are left over the layers that their failure
// domain holds least, with as much room for tokens as its chains have: when an
// engine of a chain is lost its streams go on there.
func standIn(spec *model.EngineSpec, plan Plan, group, left []Engine) {
	if len(left) == 0 {
		return
	}
	room := math.Inf(1)
	for _, e := range group {
		if held := plan[e.Address]; held.Len() > 0 {
			room = math.Min(room, tokens(spec, e.Card, held.Len()))
		}
	}
	for _, e := range left {
		n := layersWith(spec, e.Card, room)
		if n == 0 {
			n = min(max(int(spareWeights*e.Card.MB/spec.LayerMB), 1), MaxLayers(spec, e.Card))
		}
		if n > 0 {
			plan[e.Address] = leastCovered(Coverage(spec, plan, group), n)
		}
	}
}

// leastCovered finds the n layers in a row that are held least.
func leastCovered(counts []int, n int) model.LayerRange {
	best := model.LayerRange{To: n}
	least := math.MaxInt
	for from := 0; from+n <= len(counts); from++ {
		sum := 0
		for _, c := range counts[from : from+n] {
			sum += c * c
		}
		if sum < least {
			least = sum
			best = model.LayerRange{From: from, To: from + n}
		}
	}
	return best
}
