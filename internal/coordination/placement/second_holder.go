package placement

import (
	"time"

	"github.com/skylarkwood/skylarkwood/internal/model"
)

const (
	// ampleRequests is the token capacity that an engine keeps when it becomes the second
	// holder of layers, in typical requests. It leaves memory to extend the engine once
	// more if another one is lost.
	ampleRequests = 3 * minExtendedRequests
	// ampleHeadroom is the token memory that such an engine keeps, as a multiple of what its
	// streams use.
	ampleHeadroom = 2
	// undoUsedShare is the used share of an engine's token memory above which an extension
	// that is no longer needed is undone.
	undoUsedShare = 0.5
	// adjustInterval is the time between two changes of a failure domain that lacks no
	// layers.
	adjustInterval = 5 * time.Second
)

// addSecondHolder extends engines over one run of layers that have a single holder. A run
// is covered entirely, so that the loss of its holder leaves no layer missing.
func (d domainCoverage) addSecondHolder(plan Plan) (next Plan, changed bool) {
	if !d.settled(plan) {
		return plan, false
	}
	var single []int
	for l, n := range Coverage(d.spec, plan, d.plannerEngines()) {
		if n == 1 {
			single = append(single, l)
		}
	}
	for _, run := range runs(single) {
		if extended, ok := d.coverRun(plan, run, extensionLimits{tokens: d.tokensOf(ampleRequests), headroom: ampleHeadroom}); ok {
			return extended, true
		}
	}
	return plan, false
}

// undoExtension gives one extended engine its previous range back. The engine must use over
// half of its token memory, the layers that it gives up must keep two holders, and those that
// it keeps must have another one.
// previous maps the addresses of extended engines to their ranges before.
func (d domainCoverage) undoExtension(plan, previous Plan) (next Plan, changed bool) {
	if !d.settled(plan) {
		return plan, false
	}
	counts := Coverage(d.spec, plan, d.plannerEngines())
	for _, e := range d.engines {
		planned := plan[e.Address]
		before, ok := previous[e.Address]
		if !ok || !d.isFull(e, planned) || !keepsTwoHolders(counts, planned, before) {
			continue
		}
		next = clonePlan(plan)
		next[e.Address] = before
		return next, true
	}
	return plan, false
}

// settled reports whether all engines of the domain hold their planned layers and none is
// missing.
func (d domainCoverage) settled(plan Plan) bool {
	for _, e := range d.engines {
		if e.suspected || e.loading || e.held != plan[e.Address] {
			return false
		}
	}
	return len(UncoveredLayers(d.spec, plan, d.plannerEngines())) == 0
}

// isFull reports whether the streams of an engine use over half of its token memory.
func (d domainCoverage) isFull(e domainEngine, planned model.LayerRange) bool {
	total := tokenCapacity(d.spec, e.Card, planned.Len()) * float64(planned.Len())
	return e.usedTokenLayers > undoUsedShare*total
}

// keepsTwoHolders reports whether each layer that an engine gives up has two other holders, and
// each one that it keeps another holder: the engine accepts no streams until it has unloaded.
func keepsTwoHolders(counts []int, planned, before model.LayerRange) bool {
	for l := planned.From; l < min(planned.To, len(counts)); l++ {
		others := counts[l] - 1
		if others < 1 || !contains(before, l) && others < 2 {
			return false
		}
	}
	return true
}

// updateExtended updates the ranges that extended engines had before, as a plan replaces
// another. All routers see the plans in the same order, so the next leader knows them too.
func updateExtended(previous, old, next Plan) {
	for addr, held := range next {
		before, ok := previous[addr]
		switch {
		case ok && (held == before || !extends(held, before)):
			delete(previous, addr)
		case !ok && old[addr].Len() > 0 && held != old[addr] && extends(held, old[addr]):
			previous[addr] = old[addr]
		}
	}
	for addr := range previous {
		if _, ok := next[addr]; !ok {
			delete(previous, addr)
		}
	}
}
