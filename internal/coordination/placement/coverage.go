package placement

import (
	"time"

	"github.com/skylarkwood/skylarkwood/internal/model"
)

const (
	// minExtendedRequests is the least token capacity that an engine keeps when its range
	// is extended, in typical requests. An engine with less capacity would limit all chains
	// through the layers that it already holds.
	minExtendedRequests = 20
	// usedHeadroom is the token memory that an extended engine keeps, as a multiple of what
	// its streams use by the last reports. Streams that started since are not in them.
	usedHeadroom = 1.1
	// maxMissing is how long a failure domain may lack a layer.
	maxMissing = 1500 * time.Millisecond
	// minSpeedup is how much sooner than the load in progress an extension must restore a
	// layer to be worth a further load.
	minSpeedup = 2
)

// domainEngine is an engine of a failure domain as the coverage rules see it. It is not
// leaving and answers.
type domainEngine struct {
	Engine
	held model.LayerRange
	// suspected is set if there has been evidence against the engine for a while. Its
	// layers may not be in use, and its range is not extended.
	suspected bool
	// loading is set while the engine does not hold its planned range, or an order to it is
	// pending or withheld.
	loading bool
	// readyAt is when the engine is expected to hold its planned layers, zero if unknown.
	readyAt time.Time
	// usedTokenLayers is the token memory that running streams use.
	usedTokenLayers float64
}

// domainCoverage decides which ranges of one failure domain are extended.
type domainCoverage struct {
	spec    *model.EngineSpec
	now     time.Time
	engines []domainEngine
	// missingSince is, by layer, the time since when no engine of the domain holds it. It
	// is zero if one does.
	missingSince []time.Time
}

// coverLost extends engines to layers that the plan assigns to no engine of the domain. If
// over half of the layers are lost, the domain is being lost as a whole, and is left alone.
func (d domainCoverage) coverLost(plan Plan) (next Plan, changed bool) {
	gaps := UncoveredLayers(d.spec, plan, d.plannerEngines())
	if 2*len(gaps) > d.spec.Layers {
		return plan, false
	}
	return d.coverRuns(plan, gaps, func(Plan, model.LayerRange) bool { return true })
}

// coverDelayed extends engines to layers that are assigned to an engine of the domain which
// will not hold them in time: its load takes too long, or it is suspected. An extension
// must restore the layers much sooner than the load.
func (d domainCoverage) coverDelayed(plan Plan) (next Plan, changed bool) {
	var gaps []int
	for l := range d.spec.Layers {
		if d.delayed(plan, l) {
			gaps = append(gaps, l)
		}
	}
	if 2*len(gaps) > d.spec.Layers {
		return plan, false
	}
	return d.coverRuns(plan, gaps, func(extended Plan, run model.LayerRange) bool {
		return d.restoresSooner(plan, extended, run)
	})
}

// delayed reports whether a planned layer is not held and will have been missing for over
// maxMissing before it is.
func (d domainCoverage) delayed(plan Plan, layer int) bool {
	planned := false
	for _, e := range d.engines {
		if !contains(plan[e.Address], layer) {
			continue
		}
		planned = true
		if e.suspected {
			continue
		}
		if contains(e.held, layer) || !e.readyAt.IsZero() && e.readyAt.Sub(d.missingFrom(layer)) <= maxMissing {
			return false
		}
	}
	return planned
}

// missingFrom returns since when a layer has been missing, or now if it is not missing yet.
func (d domainCoverage) missingFrom(layer int) time.Time {
	if layer >= len(d.missingSince) || d.missingSince[layer].IsZero() {
		return d.now
	}
	return d.missingSince[layer]
}

// restoresSooner reports whether the extended engines load their additional layers at least
// minSpeedup times sooner than the engines that are loading the run.
func (d domainCoverage) restoresSooner(plan, extended Plan, run model.LayerRange) bool {
	longest := time.Duration(0)
	for _, e := range d.engines {
		longest = max(longest, loadTime(d.spec, extended[e.Address].Len()-plan[e.Address].Len()))
	}
	for l := run.From; l < run.To; l++ {
		for _, e := range d.engines {
			if contains(plan[e.Address], l) && !e.suspected && !e.readyAt.IsZero() && e.readyAt.Sub(d.now) < minSpeedup*longest {
				return false
			}
		}
	}
	return true
}

// coverRuns extends engines over each run of consecutive gaps that they can cover entirely
// and that accept admits. A run that is covered in part would use memory and a load, and
// the domain could still not serve alone.
func (d domainCoverage) coverRuns(plan Plan, gaps []int, accept func(extended Plan, run model.LayerRange) bool) (next Plan, changed bool) {
	next = plan
	for _, run := range runs(gaps) {
		extended, ok := d.coverRun(next, run, extensionLimits{tokens: d.tokensOf(minExtendedRequests), headroom: usedHeadroom})
		if ok && accept(extended, run) {
			next, changed = extended, true
		}
	}
	return next, changed
}

// extensionLimits is the memory that an engine keeps when its range is extended.
type extensionLimits struct {
	// tokens is the least token capacity.
	tokens float64
	// headroom is the least token memory, as a multiple of what its streams use.
	headroom float64
}

// tokensOf returns the tokens of a number of typical requests.
func (d domainCoverage) tokensOf(requests int) float64 {
	return float64(requests * max(d.spec.MeanPromptTokens+d.spec.MeanAnswerTokens, 1))
}

// coverRun covers a run of layers by extending the engines that hold the adjacent layers,
// one layer at a time to the engine that keeps the greatest token capacity.
func (d domainCoverage) coverRun(plan Plan, run model.LayerRange, limits extensionLimits) (Plan, bool) {
	next := clonePlan(plan)
	for run.Len() > 0 {
		var best *domainEngine
		bestTokens := 0.0
		for i := range d.engines {
			e := &d.engines[i]
			held := next[e.Address]
			if held.Len() <= 0 || held.To != run.From && held.From != run.To {
				continue
			}
			tokens, ok := d.extendedTokens(e, plan[e.Address], held.Len()+1, limits)
			// Ties are broken by address, so that the plan depends only on the engines.
			if ok && (best == nil || tokens > bestTokens || tokens == bestTokens && e.Address < best.Address) {
				best, bestTokens = e, tokens
			}
		}
		if best == nil {
			return nil, false
		}
		held := next[best.Address]
		if held.To == run.From {
			held.To++
			run.From++
		} else {
			held.From--
			run.To--
		}
		next[best.Address] = held
	}
	return next, true
}

// extendedTokens returns the token capacity of an engine with n layers. It reports false if
// the engine cannot be extended: it is loading, suspected, or lacks the memory.
func (d domainCoverage) extendedTokens(e *domainEngine, planned model.LayerRange, n int, limits extensionLimits) (float64, bool) {
	if e.suspected || e.loading || e.held != planned || n > MaxLayers(d.spec, e.Card) {
		return 0, false
	}
	tokens := tokenCapacity(d.spec, e.Card, n)
	return tokens, tokens >= limits.tokens && tokens*float64(n) >= limits.headroom*e.usedTokenLayers
}

func (d domainCoverage) plannerEngines() []Engine {
	out := make([]Engine, len(d.engines))
	for i, e := range d.engines {
		out[i] = e.Engine
	}
	return out
}

// runs groups layers in ascending order into ranges of consecutive ones.
func runs(layers []int) []model.LayerRange {
	var out []model.LayerRange
	for _, l := range layers {
		if n := len(out); n > 0 && out[n-1].To == l {
			out[n-1].To++
			continue
		}
		out = append(out, model.LayerRange{From: l, To: l + 1})
	}
	return out
}

// addedLayers returns how many layers of a range are not in the held one.
func addedLayers(want, held model.LayerRange) int {
	return want.Len() - max(min(want.To, held.To)-max(want.From, held.From), 0)
}

// extends reports whether a range contains all layers of the held one. An engine then loads
// at once, while its streams continue.
func extends(want, held model.LayerRange) bool {
	return held.Len() <= 0 || want.From <= held.From && held.To <= want.To
}

func contains(r model.LayerRange, layer int) bool { return r.From <= layer && layer < r.To }

// loadTime returns the time to load n layers while no other loads slow it down.
func loadTime(spec *model.EngineSpec, n int) time.Duration {
	return time.Duration(float64(spec.LoadTime) * float64(max(n, 0)) / float64(max(spec.Layers, 1)))
}
