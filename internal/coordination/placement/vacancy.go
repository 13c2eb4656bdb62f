package placement

import (
	"slices"
	"time"

	"github.com/skylarkwood/skylarkwood/internal/model"
)

// earlyEngineDelay is how long an engine stays empty that takes a range which its failure
// domain lacks or which an engine that left held there. An entry and the removal that it
// replaces may arrive in either order within this time.
const earlyEngineDelay = 100 * time.Millisecond

// assignNewEngines assigns ranges to new engines whose failure domain lacks layers, or in
// which a planned engine has left or is leaving. All other new engines stay empty until
// newEngineDelay, since a replacement registers shortly before its predecessor leaves.
//
// living are the engines that count as holders of their planned layers. added are the new
// ones in the order in which they appeared. domainOf maps the addresses of planned engines
// to their failure domains, as far as known.
func assignNewEngines(spec *model.EngineSpec, plan Plan, living, added []Engine, domainOf map[string]string) (next Plan, changed bool) {
	next = plan
	for _, e := range added {
		if assigned, ok := assignNewEngine(spec, next, living, e, domainOf); ok {
			next, changed = assigned, true
			living = append(slices.Clip(living), e)
		}
	}
	return next, changed
}

// assignNewEngine assigns a range to one new engine. It reports false if the range neither
// covers layers that the failure domain lacks nor was that of an engine of the domain that
// left.
func assignNewEngine(spec *model.EngineSpec, plan Plan, living []Engine, e Engine, domainOf map[string]string) (Plan, bool) {
	known := indexByAddress(living) // engines whose planned ranges are not free
	vacancies := 0                  // planned ranges in its domain without a living engine
	for addr := range plan {
		if _, ok := known[addr]; ok {
			continue
		}
		if domainOf[addr] == e.Domain {
			vacancies++
			continue
		}
		known[addr] = Engine{Address: addr, Domain: domainOf[addr]} // reserved for new engines of its own domain
	}
	gaps := UncoveredLayers(spec, plan, inDomain(living, e.Domain))
	if vacancies == 0 && len(gaps) == 0 {
		return nil, false
	}
	next := clonePlan(plan)
	assignRange(spec, next, append(slices.Clip(living), e), known, e)
	assigned := next[e.Address]
	if assigned.Len() <= 0 || assigned.Len() > MaxLayers(spec, e.Card) {
		return nil, false
	}
	if len(next) == len(plan) {
		return next, true // it took the range of an engine that left
	}
	for _, l := range gaps {
		if contains(assigned, l) {
			return next, true
		}
	}
	return nil, false
}
