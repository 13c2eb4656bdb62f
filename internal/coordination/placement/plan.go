// Package placement decides which layers each engine holds. The plan is a pure
// function of the engines; the controller carries it out.
package placement

import (
	"math"
	"sort"

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

// Make plans for engines that hold nothing yet. Cards of like speed make up
// whole chains inside a failure domain, the fastest first, since the slowest
// part sets the pace of each token. What is left over covers the layers once
// more over all domains, to stand in for lost engines.
func Make(spec *model.EngineSpec, engines []Engine) Plan {
	plan := Plan{}
	var rest []Engine
	for _, group := range byDomain(engines) {
		for len(group) > 0 {
			var chain []Engine
			chain, group = takeFastest(spec, group)
			if chain == nil {
				rest = append(rest, group...)
				break
			}
			for _, c := range split(spec, chain) {
				placeChain(spec, c, plan)
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
		case a.Card.Pace != b.Card.Pace:
			return a.Card.Pace < b.Card.Pace
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

// takeFastest takes whole classes of cards, the fastest first, until they hold
// a model with room for requests; nil if all of them do not.
func takeFastest(spec *model.EngineSpec, group []Engine) (chain, left []Engine) {
	need := wholeFactor * float64(spec.Layers) * spec.LayerMB
	sum := 0.0
	for i, e := range group {
		sum += e.Card.MB
		classEnds := i+1 == len(group) || group[i+1].Card.Pace != e.Card.Pace
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

// placeChain divides the layers over a chain so that the engine with the least
// token memory has as much as possible: it bounds the whole chain.
func placeChain(spec *model.EngineSpec, chain []Engine, plan Plan) {
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

// MostLayers is how many layers a card holds at most; more crash the engine.
func MostLayers(spec *model.EngineSpec, card model.Card) int {
	return min(int(math.Floor(card.MB/spec.LayerMB)), spec.Layers)
}

// placeSpare gives an engine the layers from next on and tells where the one
// after it begins.
func placeSpare(spec *model.EngineSpec, e Engine, next int, plan Plan) int {
	n := min(max(int(spareWeights*e.Card.MB/spec.LayerMB), 1), MostLayers(spec, e.Card))
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

// Extend gives ranges to engines that the plan does not know and leaves the
// others where they are. A new engine takes the place of one that is gone, of
// its own domain first; else it covers the layers that are held least.
func Extend(spec *model.EngineSpec, plan Plan, engines []Engine) (next Plan, changed bool) {
	next = Plan{}
	known := byAddress(engines)
	for addr, held := range plan {
		next[addr] = held
	}
	for _, group := range byDomain(engines) {
		for _, e := range group {
			if _, ok := next[e.Address]; ok {
				continue
			}
			changed = true
			if addr := vacancy(spec, next, known, e); addr != "" {
				next[e.Address] = next[addr]
				delete(next, addr)
				continue
			}
			placeSpare(spec, e, leastHeld(spec, next, known, e), next)
		}
	}
	return next, changed
}

// Uncovered lists the layers that none of the engines is planned to hold.
func Uncovered(spec *model.EngineSpec, plan Plan, engines []Engine) []int {
	counts := coverage(spec, plan, engines)
	var out []int
	for l, n := range counts {
		if n == 0 {
			out = append(out, l)
		}
	}
	return out
}

func coverage(spec *model.EngineSpec, plan Plan, engines []Engine) []int {
	counts := make([]int, spec.Layers)
	for _, e := range engines {
		held := plan[e.Address]
		for l := held.From; l < min(held.To, spec.Layers); l++ {
			counts[l]++
		}
	}
	return counts
}

// Repair moves engines onto layers that nobody holds any more, where no
// newcomer takes them: without those layers no token is made anywhere. It moves
// only engines whose own layers others hold as well, the slowest cards first,
// since they carry the least.
func Repair(spec *model.EngineSpec, plan Plan, engines []Engine) (next Plan, changed bool) {
	next = Plan{}
	for addr, held := range plan {
		next[addr] = held
	}
	groups := byDomain(engines)
	for {
		gaps := Uncovered(spec, next, engines)
		if len(gaps) == 0 {
			return next, changed
		}
		e, ok := dispensable(spec, next, engines, groups)
		if !ok {
			return next, changed
		}
		placeSpare(spec, e, gaps[0], next)
		changed = true
	}
}

// dispensable finds an engine whose layers are all held by others too.
func dispensable(spec *model.EngineSpec, plan Plan, engines []Engine, groups [][]Engine) (Engine, bool) {
	counts := coverage(spec, plan, engines)
	var best Engine
	found := false
	for _, group := range groups {
		for _, e := range group {
			if heldTwice(counts, plan[e.Address]) && (!found || e.Card.Pace > best.Card.Pace) {
				best = e
				found = true
			}
		}
	}
	return best, found
}

func heldTwice(counts []int, held model.LayerRange) bool {
	for l := held.From; l < min(held.To, len(counts)); l++ {
		if counts[l] < 2 {
			return false
		}
	}
	return true
}

// vacancy finds a planned range whose engine is gone and that fits e's memory
// best; empty if there is none.
func vacancy(spec *model.EngineSpec, plan Plan, known map[string]Engine, e Engine) string {
	best := ""
	for addr, held := range plan {
		if _, ok := known[addr]; ok || held.Len() > MostLayers(spec, e.Card) {
			continue
		}
		if tokens(spec, e.Card, held.Len()) < float64(spec.UsualPrompt+spec.UsualAnswer)*4 {
			continue
		}
		if best == "" || held.Len() > plan[best].Len() || held.Len() == plan[best].Len() && addr < best {
			best = addr
		}
	}
	return best
}

// leastHeld finds where a spare should begin: the layer that is held least, in
// its own domain first.
func leastHeld(spec *model.EngineSpec, plan Plan, known map[string]Engine, e Engine) int {
	const ownWeight = 2
	counts := make([]int, spec.Layers)
	for addr, held := range plan {
		other, ok := known[addr]
		if !ok {
			continue
		}
		weight := 1
		if other.Domain == e.Domain {
			weight = ownWeight
		}
		for l := held.From; l < min(held.To, spec.Layers); l++ {
			counts[l] += weight
		}
	}
	least := 0
	for l, n := range counts {
		if n < counts[least] {
			least = l
		}
	}
	return least
}
