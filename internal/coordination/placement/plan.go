// Package placement decides which layers each engine holds. The plan is a pure
// function of the engines; the controller carries it out.
package placement

import (
	"encoding/json"
	"math"
	"sort"

	"github.com/pkg/errors"

	"github.com/skylarkwood/skylarkwood/internal/model"
)

const (
	// wholeFactor is how much memory a group must have, in models, to be worth
	// a chain of its own: a fifth more than the weights leaves an engine some
	// thirty thousand tokens.
	wholeFactor = 1.2
	// chainFactor is how much memory each of several chains of one group must
	// have, in models. Below it one longer chain serves more streams, as the
	// weights are held once.
	chainFactor = 1.6
	// likePace is how much slower a card may be and still count as of like speed: a
	// chain of both is no slower than one of the slower card.
	likePace = 1.25
	// spareWeights is the share of its memory that an engine outside of whole
	// chains fills with weights; the rest holds requests.
	spareWeights = 0.75
)

// Engine is an engine as the planner sees it.
type Engine struct {
	Address string
	Domain  string
	Card    model.Card
}

// Plan says which layers each engine holds, by address: an engine that restarts
// is a new incarnation at the same address and takes up its range again.
type Plan map[string]model.LayerRange

// DecodePlan reads a plan from the store. A plan with a range that is none is
// nobody's: taken in part it would leave layers uncovered.
func DecodePlan(value []byte) (Plan, error) {
	var plan Plan
	if err := json.Unmarshal(value, &plan); err != nil {
		return nil, errors.Wrap(err, "plan")
	}
	if plan == nil {
		return nil, errors.New("plan: none")
	}
	for addr, held := range plan {
		if held.From < 0 || held.To < held.From {
			return nil, errors.Errorf("plan: %.40q holds %s", addr, held)
		}
	}
	return plan, nil
}

// BuildPlan plans for engines that hold nothing yet. In each failure domain cards of like
// speed make up whole chains, the fastest first, since the slowest part sets the
// pace of each token. The fastest get as many chains as can bear the domain's
// streams together, and hold layers once more, to stand in for lost engines. What is
// left over covers the layers once more over all domains.
func BuildPlan(spec *model.EngineSpec, engines []Engine) Plan {
	plan := Plan{}
	var rest []Engine
	for _, group := range byDomain(engines) {
		need := needed(spec, group)
		for first := true; len(group) > 0; first = false {
			var class []Engine
			class, group = takeFastest(spec, group)
			switch {
			case class == nil:
				rest = append(rest, group...)
				group = nil
			case first:
				serve(spec, plan, class, need)
			default:
				for _, c := range split(spec, class) {
					PlanChain(spec, c, plan)
				}
			}
		}
	}
	known := byAddress(engines)
	for _, e := range rest {
		placeSpare(spec, e, leastHeld(spec, plan, known, e), plan)
	}
	return plan
}

func byAddress(engines []Engine) map[string]Engine {
	known := make(map[string]Engine, len(engines))
	for _, e := range engines {
		known[e.Address] = e
	}
	return known
}

// byDomain groups engines by failure domain; inside, fast and large cards come
// first.
func byDomain(engines []Engine) [][]Engine {
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

// takeFastest takes whole classes of cards of like speed, the fastest first, until they hold
// a model with room for requests; nil if all of them do not.
func takeFastest(spec *model.EngineSpec, group []Engine) (chain, left []Engine) {
	need := wholeFactor * float64(spec.Layers) * spec.LayerMB
	sum := 0.0
	for i, e := range group {
		sum += e.Card.MB
		classEnds := i+1 == len(group) || group[i+1].Card.StepTimeFactor > likePace*e.Card.StepTimeFactor
		if classEnds && sum >= need {
			return group[:i+1], group[i+1:]
		}
	}
	return nil, group
}

// split divides a group into as many chains as have memory enough each.
func split(spec *model.EngineSpec, group []Engine) [][]Engine {
	modelMB := float64(spec.Layers) * spec.LayerMB
	total := 0.0
	for _, e := range group {
		total += e.Card.MB
	}
	n := max(int(total/(modelMB*chainFactor)), 1)
	chains := make([][]Engine, n)
	sums := make([]float64, n)
	for _, e := range group {
		least := 0
		for i := range sums {
			if sums[i] < sums[least] {
				least = i
			}
		}
		chains[least] = append(chains[least], e)
		sums[least] += e.Card.MB
	}
	for _, s := range sums {
		if s < wholeFactor*modelMB {
			return [][]Engine{group}
		}
	}
	return chains
}

// PlanChain divides all layers over engines, in their order, and notes that in the
// plan: so that the engine with the least token memory has as much as possible, as
// it bounds the whole chain. Where they do not hold the model together, some get
// more than their memory.
func PlanChain(spec *model.EngineSpec, chain []Engine, plan Plan) {
	counts := make([]int, len(chain))
	for range spec.Layers {
		best := -1
		most := 0.0
		for i, e := range chain {
			if t := tokens(spec, e.Card, counts[i]+1); best < 0 || t > most {
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

// tokens is how many tokens an engine has room for with n layers.
func tokens(spec *model.EngineSpec, card model.Card, n int) float64 {
	return (card.MB - float64(n)*spec.LayerMB) / (float64(n) * spec.LayerTokenMB())
}

// MaxLayers is how many layers a card holds at most; more crash the engine.
func MaxLayers(spec *model.EngineSpec, card model.Card) int {
	return min(int(math.Floor(card.MB/spec.LayerMB)), spec.Layers)
}

// placeSpare gives an engine the layers from next on and tells where the one
// after it begins.
func placeSpare(spec *model.EngineSpec, e Engine, next int, plan Plan) int {
	n := min(max(int(spareWeights*e.Card.MB/spec.LayerMB), 1), MaxLayers(spec, e.Card))
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
