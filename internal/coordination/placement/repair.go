package placement

import "github.com/skylarkwood/skylarkwood/internal/model"

// Extend assigns ranges to engines that the plan does not contain, and leaves the others
// unchanged. A new engine takes the range of one that has left, unless another range has a
// much greater benefit for its failure domain.
func Extend(spec *model.EngineSpec, plan Plan, engines []Engine) (next Plan, changed bool) {
	next = clonePlan(plan)
	known := indexByAddress(engines)
	for _, group := range groupByDomain(engines) {
		for _, e := range group {
			if _, ok := next[e.Address]; ok {
				continue
			}
			changed = true
			assignRange(spec, next, engines, known, e)
		}
	}
	return next, changed
}

// assignRange assigns a range to one engine that has none.
func assignRange(spec *model.EngineSpec, plan Plan, engines []Engine, known map[string]Engine, e Engine) {
	benefit := newPlacementBenefit(spec, plan, engines, e.Domain)
	best := benefit.bestRange(e)
	if addr := findVacancy(spec, plan, known, e, benefit); addr != "" && benefit.rangeBenefit(e, plan[addr]) >= minVacancyBenefit*benefit.rangeBenefit(e, best) {
		best = plan[addr]
		delete(plan, addr)
	}
	plan[e.Address] = best
}

func clonePlan(plan Plan) Plan {
	next := make(Plan, len(plan))
	for addr, held := range plan {
		next[addr] = held
	}
	return next
}

// UncoveredLayers returns the layers that the plan assigns to none of the engines.
func UncoveredLayers(spec *model.EngineSpec, plan Plan, engines []Engine) []int {
	counts := Coverage(spec, plan, engines)
	var out []int
	for l, n := range counts {
		if n == 0 {
			out = append(out, l)
		}
	}
	return out
}

// Coverage returns, for each layer, how many of the engines the plan assigns it to.
func Coverage(spec *model.EngineSpec, plan Plan, engines []Engine) []int {
	counts := make([]int, spec.Layers)
	for _, e := range engines {
		held := plan[e.Address]
		for l := held.From; l < min(held.To, spec.Layers); l++ {
			counts[l]++
		}
	}
	return counts
}

// Repair moves engines to layers that no engine holds. No chain exists without these
// layers. Only engines whose layers others hold as well are moved, those with the slowest
// cards first, since they serve the fewest streams.
func Repair(spec *model.EngineSpec, plan Plan, engines []Engine) (next Plan, changed bool) {
	next = clonePlan(plan)
	groups := groupByDomain(engines)
	for {
		gaps := UncoveredLayers(spec, next, engines)
		if len(gaps) == 0 {
			return next, changed
		}
		e, ok := findRedundant(spec, next, engines, groups)
		if !ok {
			return next, changed
		}
		placeSpare(spec, e, gaps[0], next)
		changed = true
	}
}

// findRedundant returns the engine with the slowest card among those whose layers others
// all hold as well.
func findRedundant(spec *model.EngineSpec, plan Plan, engines []Engine, groups [][]Engine) (Engine, bool) {
	counts := Coverage(spec, plan, engines)
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

// findVacancy returns the address of a planned range whose engine has left, which fits
// into e's memory and has the greatest benefit. It returns an empty string if there is
// none.
func findVacancy(spec *model.EngineSpec, plan Plan, known map[string]Engine, e Engine, b placementBenefit) string {
	best := ""
	bestBenefit := 0.0
	for addr, held := range plan {
		if _, ok := known[addr]; ok || held.Len() > MaxLayers(spec, e.Card) {
			continue
		}
		if tokenCapacity(spec, e.Card, held.Len()) < b.typicalTokens()*4 {
			continue
		}
		// Ties are broken by address, so that the plan depends only on the engines.
		if benefit := b.rangeBenefit(e, held); best == "" || benefit > bestBenefit || benefit == bestBenefit && addr < best {
			best = addr
			bestBenefit = benefit
		}
	}
	return best
}

// leastHeldLayer returns the layer at which the range of a spare engine begins: the one
// with the fewest holders, where those in its own failure domain count more.
func leastHeldLayer(spec *model.EngineSpec, plan Plan, known map[string]Engine, e Engine) int {
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
