package placement

import "github.com/skylarkwood/skylarkwood/internal/model"

// Extend gives ranges to engines that the plan does not know and leaves the
// others where they are. A new engine takes the place of one that is gone, unless
// another range is of much more use to its failure domain.
func Extend(spec *model.EngineSpec, plan Plan, engines []Engine) (next Plan, changed bool) {
	next = copyOf(plan)
	known := byAddress(engines)
	for _, group := range byDomain(engines) {
		for _, e := range group {
			if _, ok := next[e.Address]; ok {
				continue
			}
			changed = true
			extend(spec, next, engines, known, e)
		}
	}
	return next, changed
}

// extend gives a range to one engine that has none.
func extend(spec *model.EngineSpec, plan Plan, engines []Engine, known map[string]Engine, e Engine) {
	n := needOf(spec, plan, engines, e.Domain)
	best := n.best(e)
	if addr := vacancy(spec, plan, known, e, n); addr != "" && n.of(e, plan[addr]) >= keepShare*n.of(e, best) {
		best = plan[addr]
		delete(plan, addr)
	}
	plan[e.Address] = best
}

func copyOf(plan Plan) Plan {
	next := make(Plan, len(plan))
	for addr, held := range plan {
		next[addr] = held
	}
	return next
}

// UncoveredLayers lists the layers that none of the engines is planned to hold.
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

// Coverage counts the engines that are planned to hold each layer.
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

// Repair moves engines onto layers that nobody holds any more, where no
// newcomer takes them: without those layers no token is made anywhere. It moves
// only engines whose own layers others hold as well, the slowest cards first,
// since they carry the least.
func Repair(spec *model.EngineSpec, plan Plan, engines []Engine) (next Plan, changed bool) {
	next = copyOf(plan)
	groups := byDomain(engines)
	for {
		gaps := UncoveredLayers(spec, next, engines)
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
	counts := Coverage(spec, plan, engines)
	var best Engine
	found := false
	for _, group := range groups {
		for _, e := range group {
			if heldTwice(counts, plan[e.Address]) && (!found || e.Card.StepTimeFactor > best.Card.StepTimeFactor) {
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

// vacancy finds a planned range whose engine is gone and that fits e's memory, the
// one of most use; empty if there is none.
func vacancy(spec *model.EngineSpec, plan Plan, known map[string]Engine, e Engine, n need) string {
	best := ""
	most := 0.0
	for addr, held := range plan {
		if _, ok := known[addr]; ok || held.Len() > MaxLayers(spec, e.Card) {
			continue
		}
		if tokens(spec, e.Card, held.Len()) < n.usual()*4 {
			continue
		}
		// By address where the use is the same: a plan is a function of the engines.
		if use := n.of(e, held); best == "" || use > most || use == most && addr < best {
			best = addr
			most = use
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
