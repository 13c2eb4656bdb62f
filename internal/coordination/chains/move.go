package chains

import (
	"math"
	"time"

	"github.com/skylarkwood/skylarkwood/internal/model"
)

// Replace returns a chain without the lost engines to which a running stream can be moved,
// or nil. The first stage stays, as engines require. If other engines can run the layers of
// the lost stages, only those stages change. Otherwise all stages after the first may
// change, which repeats the prefill of all tokens but needs no retry of the request.
//
// Choose minimizes the time per token. Replace minimizes the pause of the stream instead:
// prefill of all tokens at the new stages, pending prefill there, and transfers between
// failure domains. It accepts a longer pause to leave a busy interconnect to new requests.
func (c *Chooser) Replace(svc *model.Service, stages []Stage, lost map[model.Incarnation]bool, tokens int, maxEventGap time.Duration) []Stage {
	if lost[stages[0].Server.Incarnation()] {
		return nil
	}
	r := replacement{Chooser: c, svc: svc, stages: stages, lost: lost, tokens: tokens, maxEventGap: maxEventGap}
	next := r.replaceLost()
	if next == nil {
		next = r.rerouteAfterFirst()
	}
	if next != nil {
		r.recordLoad(next)
	}
	return next
}

// replacement is the search for a new chain of a running stream.
type replacement struct {
	*Chooser
	svc         *model.Service
	stages      []Stage
	lost        map[model.Incarnation]bool
	tokens      int
	maxEventGap time.Duration
}

// replaceLost replaces each run of lost stages by engines outside the chain.
func (r *replacement) replaceLost() []Stage {
	used := map[model.Incarnation]bool{}
	for _, s := range r.stages {
		used[s.Server.Incarnation()] = true
	}
	next := make([]Stage, 0, len(r.stages)+1)
	for at := 0; at < len(r.stages); {
		end := r.endOfLostRun(at)
		if end == at {
			next = append(next, r.stages[at])
			at++
			continue
		}
		substitutes := r.replaceRun(next[len(next)-1], r.stages[at:end], r.stages[end:], used)
		if substitutes == nil {
			return nil
		}
		for _, s := range substitutes {
			used[s.Server.Incarnation()] = true
		}
		next = append(next, substitutes...)
		at = end
	}
	if len(next) > maxStages {
		return nil
	}
	return next
}

// endOfLostRun returns the index after the run of lost stages that begins at an index.
func (r *replacement) endOfLostRun(at int) (end int) {
	for end = at; end < len(r.stages) && r.lost[r.stages[end].Server.Incarnation()]; end++ {
	}
	return end
}

// replaceRun returns stages for the layers of adjacent lost stages.
func (r *replacement) replaceRun(before Stage, lost, rest []Stage, used map[model.Incarnation]bool) []Stage {
	after := ""
	if len(rest) > 0 {
		after = rest[0].Server.FailureDomain
	}
	needed := model.LayerRange{From: lost[0].Layers.From, To: lost[len(lost)-1].Layers.To}
	substitutes := r.cover(needed, before.Server.FailureDomain, after, used)
	if substitutes == nil {
		return nil
	}
	joined := append([]Stage{before}, substitutes...)
	joined = append(joined, rest[:min(1, len(rest))]...)
	if !r.canCross(r.svc.Engine, joined, r.tokens, r.maxEventGap) {
		return nil
	}
	return substitutes
}

// rerouteAfterFirst returns a chain in which all stages after the first may differ.
func (r *replacement) rerouteAfterFirst() []Stage {
	first := r.stages[0]
	needed := model.LayerRange{From: first.Layers.To, To: r.svc.Engine.Layers}
	avoid := map[model.Incarnation]bool{first.Server.Incarnation(): true}
	for inc := range r.lost {
		avoid[inc] = true
	}
	substitutes := r.cover(needed, first.Server.FailureDomain, "", avoid)
	if substitutes == nil || 1+len(substitutes) > maxStages {
		return nil
	}
	next := append([]Stage{first}, substitutes...)
	if !r.canCross(r.svc.Engine, next[:2], r.tokens, r.maxEventGap) {
		return nil
	}
	return next
}

// cover returns stages for a range of layers that minimize the pause of the stream. before
// and after are the failure domains of the adjacent stages; after is empty if none follows.
func (r *replacement) cover(needed model.LayerRange, before, after string, avoid map[model.Incarnation]bool) []Stage {
	spec := r.svc.Engine
	crossing := r.newCrossingPauses(spec, r.tokens)
	reserved := map[model.Incarnation]bool{}
	for _, s := range r.stages {
		reserved[s.Server.Incarnation()] = true
	}
	cands := r.candidates(r.engines(r.svc.Name), r.svc, Requirements{Domain: before, Tokens: r.tokens, Avoid: avoid})
	for i := range cands {
		b := cands[i].server
		// The pause ends with the next event, which contains stride tokens.
		cands[i].secondsPerLayer *= float64(max(spec.StepsPerPass, 1))
		cands[i].entryCost *= float64(max(spec.MeanAnswerTokens, 1)) // the whole loss is a pause
		if reserved[b.Incarnation()] {
			// The stream runs there already and has memory reserved.
			cands[i].full = false
			cands[i].paused = false
			continue
		}
		// The search has no costs for the hops to the adjacent stages, so they are spread
		// over the layers.
		if b.FailureDomain != before {
			cands[i].secondsPerLayer += crossing.between(before, b.FailureDomain) / float64(needed.Len())
		}
		if after != "" && b.FailureDomain != after {
			cands[i].secondsPerLayer += crossing.between(b.FailureDomain, after) / float64(needed.Len())
		}
		pending := r.Usage.PendingPrefill(b.Incarnation()) / float64(b.Holds.Len())
		cands[i].secondsPerLayer += pending + prefillSeconds(spec, b, r.tokens, 1)
	}
	s := search{spec: spec, cands: cands, layers: needed, homeDomain: before, requireCapacity: true}
	s.crossing = r.crossingCosts(spec, cands, Requirements{Tokens: r.tokens, MaxEventGap: r.maxEventGap})
	names := domainNames(cands)
	for i, row := range s.crossing {
		for j := range row {
			row[j] *= float64(max(spec.StepsPerPass, 1))
			if i != j {
				row[j] = math.Max(row[j], crossing.between(names[i], names[j]))
			}
		}
	}
	return s.shortest()
}

// prefillSeconds returns the time in seconds that an otherwise idle engine needs for the
// prefill of tokens in a number of layers.
func prefillSeconds(spec *model.EngineSpec, b *model.BackendServer, tokens, layers int) float64 {
	card, ok := spec.Card(b.Card)
	if !ok || spec.PrefillRate <= 0 {
		return 0
	}
	return float64(tokens) / spec.PrefillRate * card.PrefillFactor * float64(layers) / float64(spec.Layers)
}

// recordLoad records the load of a move: prefill of all tokens at new stages, and traffic
// between new pairs of domains.
//
// All routers with streams on a lost engine move them at the same time, before they receive
// each other's usage. Most are in the same failure domain. Each router records its own
// moves for all of them, which spreads the streams over the engines.
func (r *replacement) recordLoad(next []Stage) {
	spec := r.svc.Engine
	existing := map[Stage]bool{}
	for _, s := range r.stages {
		existing[s] = true
	}
	routers := r.routersPerDomain(r.RouterCount())
	for i, s := range next {
		if i > 0 && !(existing[next[i-1]] && existing[s]) {
			r.addTraffic(spec, next[i-1:i+1], r.tokens, Requirements{})
		}
		if existing[s] {
			continue
		}
		r.addPrefill(spec, next[i:i+1], r.tokens)
		r.Usage.AddPendingPrefill(s.Server.Incarnation(), routers*prefillSeconds(spec, s.Server, r.tokens, s.Layers.Len()))
	}
}

// canCross reports whether the interconnect has capacity for a stream between all adjacent
// stages.
func (c *Chooser) canCross(spec *model.EngineSpec, stages []Stage, tokens int, maxEventGap time.Duration) bool {
	req := Requirements{Tokens: tokens, MaxEventGap: maxEventGap}
	for i := 1; i < len(stages); i++ {
		if math.IsInf(c.crossingCost(spec, stages[i-1].Server.FailureDomain, stages[i].Server.FailureDomain, req, c.RouterCount()), 1) {
			return false
		}
	}
	return true
}
