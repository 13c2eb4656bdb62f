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
	// tokenMemoryShare is the share of the memory of a failure domain beyond one copy of
	// the model that its chains must have for tokens at once. The rest allows shorter
	// chains and standby copies of layers. Six deployments used 0.11 to 0.19 of it on calm
	// days. With all memory kept for tokens, days with failures were served worse than at
	// 0.2 to 0.3, and worse again at 0.4.
	tokenMemoryShare = 0.25
	// hopTime is the time that one more engine in a chain adds to each token: the network
	// delay, and the wait for the pass in progress.
	hopTime = 400 * time.Microsecond
)

// requiredTokens returns the number of tokens that a failure domain must have memory for
// at once.
func requiredTokens(spec *model.EngineSpec, group []Engine) float64 {
	spare := modelCopies(spec, group) - 1
	return tokenMemoryShare * spare * float64(spec.Layers) * spec.LayerMB / spec.KVTokenMB()
}

// modelCopies returns how often the model fits into the memory of a group.
func modelCopies(spec *model.EngineSpec, group []Engine) float64 {
	memory := 0.0
	for _, e := range group {
		memory += e.Card.MB
	}
	return memory / (float64(spec.Layers) * spec.LayerMB)
}

// placeChains places as many copies of the model on the fastest engines of a failure
// domain as fit beside the given number of tokens. One more copy holds only the first
// layers. These have one more holder and need less token capacity at each.
//
// The layout prefers chains with few engines. Each further engine can fail and interrupt
// the streams of its chain, and adds a hop to each token.
func placeChains(spec *model.EngineSpec, plan Plan, group []Engine, tokens float64) {
	for n := int(modelCopies(spec, group)); n >= 1; n-- {
		for extra := spec.Layers - 1; extra >= 0; extra-- {
			d := chainLayout{spec: spec, chains: n, extraLayers: extra, tokens: tokens}
			if placed, left, ok := d.place(group); ok {
				placed, left = d.growCapacity(group, placed, left)
				maps.Copy(plan, placed)
				placeStandbys(spec, plan, group, left)
				return
			}
		}
	}
	// No layout has the required token capacity, so a single chain gets all engines.
	PlanChain(spec, group, plan)
}

// chainLayout is one way to place the model in a failure domain.
type chainLayout struct {
	spec *model.EngineSpec
	// chains is the number of complete chains, extraLayers the number of first layers that
	// one more holder has.
	chains, extraLayers int
	// tokens is the token capacity of all holders of a layer together.
	tokens float64
}

// growCapacity increases the token capacity of a layout as far as the same number of extra
// layers still fits. Without it the last engine of a chain would get all capacity that is
// left.
func (d chainLayout) growCapacity(group []Engine, plan Plan, left []Engine) (Plan, []Engine) {
	const growth = 1.04
	for {
		d.tokens *= growth
		next, nextLeft, ok := d.place(group)
		if !ok || d.tokens == 0 {
			return plan, left
		}
		plan, left = next, nextLeft
	}
}

// place fills one chain after another with the fastest engines that are left. It reports
// false if they do not fit.
func (d chainLayout) place(group []Engine) (plan Plan, left []Engine, ok bool) {
	left = slices.Clone(group)
	perChain := d.tokens / float64(d.chains)
	sort.SliceStable(left, func(i, j int) bool {
		return layerTime(d.spec, left[i], perChain) < layerTime(d.spec, left[j], perChain)
	})
	plan = Plan{}
	for range d.chains {
		if left, ok = d.fill(plan, left, d.spec.Layers); !ok {
			return nil, nil, false
		}
	}
	if left, ok = d.fill(plan, left, d.extraLayers); !ok {
		return nil, nil, false
	}
	return plan, left, true
}

// fill divides the first layers over engines, in their order, and returns the engines that
// are left.
func (d chainLayout) fill(plan Plan, engines []Engine, layers int) (left []Engine, ok bool) {
	from := 0
	for i, e := range engines {
		if from >= layers {
			return engines[i:], true
		}
		n := min(d.layersFrom(e.Card, from), layers-from)
		if n <= 0 {
			return nil, false
		}
		plan[e.Address] = model.LayerRange{From: from, To: from + n}
		from += n
	}
	return nil, from >= layers
}

// layersFrom returns how many layers a card holds from the given layer on, with its share
// of the token capacity.
func (d chainLayout) layersFrom(card model.Card, from int) int {
	if n := maxLayersWith(d.spec, card, d.tokens/float64(d.chains+1)); from+n <= d.extraLayers {
		return n
	}
	n := maxLayersWith(d.spec, card, d.tokens/float64(d.chains))
	// Only with the lower token capacity of the extra layers would the range pass their
	// end, so it ends there.
	if from < d.extraLayers && from+n < d.extraLayers {
		return d.extraLayers - from
	}
	return n
}

// maxLayersWith returns how many layers a card has memory for beside the given number of
// tokens.
func maxLayersWith(spec *model.EngineSpec, card model.Card, tokens float64) int {
	return min(int(card.MB/(spec.LayerMB+tokens*spec.LayerTokenMB())), spec.Layers)
}

// layerTime returns the time in seconds that an engine adds to a token for each layer,
// including its share of the hop. It is infinite if the engine has no memory for a layer.
func layerTime(spec *model.EngineSpec, e Engine, tokens float64) float64 {
	n := maxLayersWith(spec, e.Card, tokens)
	if n == 0 {
		return math.Inf(1)
	}
	return spec.StepTime.Seconds()*e.Card.StepTimeFactor/float64(spec.Layers) + hopTime.Seconds()/float64(n)
}

// placeStandbys assigns the remaining engines the layers that their failure domain covers
// least, with the token capacity of its chains. If an engine of a chain fails, its streams
// move there.
func placeStandbys(spec *model.EngineSpec, plan Plan, group, left []Engine) {
	if len(left) == 0 {
		return
	}
	capacity := math.Inf(1)
	for _, e := range group {
		if held := plan[e.Address]; held.Len() > 0 {
			capacity = math.Min(capacity, tokenCapacity(spec, e.Card, held.Len()))
		}
	}
	for _, e := range left {
		n := maxLayersWith(spec, e.Card, capacity)
		if n == 0 {
			n = min(max(int(spareWeightShare*e.Card.MB/spec.LayerMB), 1), MaxLayers(spec, e.Card))
		}
		if n > 0 {
			plan[e.Address] = leastCoveredRange(Coverage(spec, plan, group), n)
		}
	}
}

// leastCoveredRange returns the n consecutive layers that are covered least.
func leastCoveredRange(counts []int, n int) model.LayerRange {
	best := model.LayerRange{To: n}
	minSum := math.MaxInt
	for from := 0; from+n <= len(counts); from++ {
		sum := 0
		for _, c := range counts[from : from+n] {
			sum += c * c
		}
		if sum < minSum {
			minSum = sum
			best = model.LayerRange{From: from, To: from + n}
		}
	}
	return best
}
