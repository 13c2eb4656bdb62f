// Package placement plans which layers each engine holds, and orders engines to load
// them. The plan is a pure function of the engines. Controller applies it.
package placement

import (
	"encoding/json"
	"math"
	"sort"

	"github.com/pkg/errors"

	"github.com/skylarkwood/skylarkwood/internal/model"
)

const (
	// minChainMemoryFactor is the memory that a group of engines needs to form a chain, as
	// a multiple of the model weights. The excess holds the tokens of requests.
	minChainMemoryFactor = 1.2
	// splitMemoryFactor is the memory that each of several chains of one group needs, as a
	// multiple of the model weights. With less memory a single chain serves more streams,
	// since the weights are held only once.
	splitMemoryFactor = 1.6
	// similarPaceFactor is how much slower a card may be and still join the class of a
	// faster one. A chain of both is no slower than one of the slower card alone.
	similarPaceFactor = 1.25
	// spareWeightShare is the share of its memory that an engine outside of chains fills
	// with weights. The rest holds the tokens of requests.
	spareWeightShare = 0.75
)

// Engine is an engine as the planner sees it.
type Engine struct {
	Address string
	Domain  string
	Card    model.Card
	// RateLimit is the limit that the engine advertises as a first stage, in requests per
	// second. It is nil if there is none.
	RateLimit *float64
}

// Plan maps the addresses of engines to the layers that they hold. An engine that restarts
// is a new incarnation at the same address and loads the same range again.
type Plan map[string]model.LayerRange

// DecodePlan decodes a plan from the store. It rejects a plan with any invalid range,
// since a partial plan would leave layers uncovered.
func DecodePlan(value []byte) (Plan, error) {
	var plan Plan
	if err := json.Unmarshal(value, &plan); err != nil {
		return nil, errors.Wrap(err, "plan")
	}
	if plan == nil {
		return nil, errors.New("plan: value is null")
	}
	for addr, held := range plan {
		if held.From < 0 || held.To < held.From || held.To > model.MaxLayers {
			return nil, errors.Errorf("plan: %.40q has invalid layer range %s", addr, held)
		}
	}
	return plan, nil
}

// BuildPlan plans for engines that hold no layers yet. In each failure domain, cards of
// similar speed form chains, the fastest first, since the slowest stage limits the speed
// of a chain. The fastest class gets as many chains as have memory for the streams of the
// failure domain, and standby copies of layers. Engines that are left over cover the
// layers again across all failure domains.
func BuildPlan(spec *model.EngineSpec, engines []Engine) Plan {
	plan := Plan{}
	var spares []Engine
	for _, group := range groupByDomain(engines) {
		tokens := requiredTokens(spec, group)
		for first := true; len(group) > 0; first = false {
			var class []Engine
			class, group = takeFastest(spec, group)
			switch {
			case class == nil:
				spares = append(spares, group...)
				group = nil
			case first:
				placeChains(spec, plan, class, tokens)
			default:
				for _, c := range splitChains(spec, class) {
					PlanChain(spec, c, plan)
				}
			}
		}
	}
	known := indexByAddress(engines)
	for _, e := range spares {
		placeSpare(spec, e, leastHeldLayer(spec, plan, known, e), plan)
	}
	return plan
}

func indexByAddress(engines []Engine) map[string]Engine {
	known := make(map[string]Engine, len(engines))
	for _, e := range engines {
		known[e.Address] = e
	}
	return known
}

// groupByDomain groups engines by failure domain, those with fast cards first, then those
// with much memory.
func groupByDomain(engines []Engine) [][]Engine {
	sorted := append([]Engine(nil), engines...)
	sort.Slice(sorted, func(i, j int) bool {
		a, b := sorted[i], sorted[j]
		switch {
		case a.Domain != b.Domain:
			return a.Domain < b.Domain
		case a.Card.StepTimeFactor != b.Card.StepTimeFactor:
			return a.Card.StepTimeFactor < b.Card.StepTimeFactor
		case a.Card.MB != b.Card.MB:
			return a.Card.MB > b.Card.MB
		}
		return a.Address < b.Address
	})
	var groups [][]Engine
	for i, e := range sorted {
		if i == 0 || sorted[i-1].Domain != e.Domain {
			groups = append(groups, nil)
		}
		last := len(groups) - 1
		groups[last] = append(groups[last], e)
	}
	return groups
}

// takeFastest removes whole classes of cards of similar speed from a group, the fastest
// first, until they have memory for a chain. It returns no chain if the whole group does
// not.
func takeFastest(spec *model.EngineSpec, group []Engine) (chain, left []Engine) {
	minMB := minChainMemoryFactor * float64(spec.Layers) * spec.LayerMB
	sum := 0.0
	for i, e := range group {
		sum += e.Card.MB
		classEnds := i+1 == len(group) || group[i+1].Card.StepTimeFactor > similarPaceFactor*e.Card.StepTimeFactor
		if classEnds && sum >= minMB {
			return group[:i+1], group[i+1:]
		}
	}
	return nil, group
}

// splitChains divides a group into as many chains as each have enough memory.
func splitChains(spec *model.EngineSpec, group []Engine) [][]Engine {
	modelMB := float64(spec.Layers) * spec.LayerMB
	total := 0.0
	for _, e := range group {
		total += e.Card.MB
	}
	n := max(int(total/(modelMB*splitMemoryFactor)), 1)
	chains := make([][]Engine, n)
	sums := make([]float64, n)
	for _, e := range group {
		smallest := 0
		for i := range sums {
			if sums[i] < sums[smallest] {
				smallest = i
			}
		}
		chains[smallest] = append(chains[smallest], e)
		sums[smallest] += e.Card.MB
	}
	for _, s := range sums {
		if s < minChainMemoryFactor*modelMB {
			return [][]Engine{group}
		}
	}
	return chains
}

// PlanChain divides all layers over the engines of a chain, in their order, and adds their
// ranges to the plan. It maximizes the token capacity of the engine with the least, since
// that limits the chain. If the engines cannot hold the model together, some ranges exceed
// the memory of their engine.
func PlanChain(spec *model.EngineSpec, chain []Engine, plan Plan) {
	counts := make([]int, len(chain))
	for range spec.Layers {
		best := -1
		most := 0.0
		for i, e := range chain {
			if t := tokenCapacity(spec, e.Card, counts[i]+1); best < 0 || t > most {
				best = i
				most = t
			}
		}
		counts[best]++
	}
	from := 0
	for i, e := range chain {
		plan[e.Address] = model.LayerRange{From: from, To: from + counts[i]}
		from += counts[i]
	}
}

// tokenCapacity returns how many tokens an engine with n layers has memory for.
func tokenCapacity(spec *model.EngineSpec, card model.Card, n int) float64 {
	return (card.MB - float64(n)*spec.LayerMB) / (float64(n) * spec.LayerTokenMB())
}

// MaxLayers returns the greatest number of layers that a card has memory for. An engine
// that is ordered to load more crashes.
func MaxLayers(spec *model.EngineSpec, card model.Card) int {
	return min(int(math.Floor(card.MB/spec.LayerMB)), spec.Layers)
}

// placeSpare assigns an engine a range that begins at layer next, and returns the layer
// after the range.
func placeSpare(spec *model.EngineSpec, e Engine, next int, plan Plan) int {
	n := min(max(int(spareWeightShare*e.Card.MB/spec.LayerMB), 1), MaxLayers(spec, e.Card))
	if n <= 0 {
		return next
	}
	if next >= spec.Layers {
		next = 0
	}
	to := min(next+n, spec.Layers)
	plan[e.Address] = model.LayerRange{From: max(to-n, 0), To: to}
	return to
}
