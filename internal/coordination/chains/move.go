package chains

import (
	"math"
	"time"

	"github.com/skylarkwood/skylarkwood/internal/model"
)

// Replace finds a chain that a running stream can be moved to without some engines;
// nil if there is none. The first part stays, as engines demand. Where others can
// take the lost parts' layers only those parts differ; else all after the first
// may, which costs reading the tokens so far again, but no new send.
//
// A chain for a new stream is chosen for its time a token. A moved stream stands
// still until its new parts have read all tokens so far, so these are chosen for
// that pause: what they read, what is already to be read there, and what has to
// pass between failure domains.
func (c *Chooser) Replace(svc *model.Service, parts []Stage, lost map[model.Incarnation]bool, tokens int, gap time.Duration) []Stage {
	if lost[parts[0].Server.Incarnation()] {
		return nil
	}
	m := replacement{Chooser: c, svc: svc, parts: parts, lost: lost, tokens: tokens, gap: gap}
	next := m.replaceLost()
	if next == nil {
		next = m.rerouteAfterFirst()
	}
	if next != nil {
		m.recordLoad(next)
	}
	return next
}

// replacement is a running stream on its way to another chain.
type replacement struct {
	*Chooser
	svc    *model.Service
	parts  []Stage
	lost   map[model.Incarnation]bool
	tokens int
	gap    time.Duration
}

// replaceLost covers the layers of each lost part with engines outside of the chain.
func (m *replacement) replaceLost() []Stage {
	used := map[model.Incarnation]bool{}
	for _, p := range m.parts {
		used[p.Server.Incarnation()] = true
	}
	next := make([]Stage, 0, len(m.parts)+1)
	for at := 0; at < len(m.parts); {
		end := m.endOfLostRun(at)
		if end == at {
			next = append(next, m.parts[at])
			at++
			continue
		}
		with := m.replaceRun(next[len(next)-1], m.parts[at:end], m.parts[end:], used)
		if with == nil {
			return nil
		}
		for _, p := range with {
			used[p.Server.Incarnation()] = true
		}
		next = append(next, with...)
		at = end
	}
	if len(next) > maxStages {
		return nil
	}
	return next
}

// endOfLostRun gives the end of the run of lost parts that begins at an index.
func (m *replacement) endOfLostRun(at int) (end int) {
	for end = at; end < len(m.parts) && m.lost[m.parts[end].Server.Incarnation()]; end++ {
	}
	return end
}

// replaceRun covers the layers of neighbouring lost parts between the parts around them.
func (m *replacement) replaceRun(before Stage, lost, rest []Stage, used map[model.Incarnation]bool) []Stage {
	after := ""
	if len(rest) > 0 {
		after = rest[0].Server.FailureDomain
	}
	need := model.LayerRange{From: lost[0].Layers.From, To: lost[len(lost)-1].Layers.To}
	with := m.cover(need, before.Server.FailureDomain, after, used)
	if with == nil {
		return nil
	}
	edges := append([]Stage{before}, with...)
	edges = append(edges, rest[:min(1, len(rest))]...)
	if !m.canCross(m.svc.Engine, edges, m.tokens, m.gap) {
		return nil
	}
	return with
}

// rerouteAfterFirst covers all layers after the first part anew.
func (m *replacement) rerouteAfterFirst() []Stage {
	first := m.parts[0]
	need := model.LayerRange{From: first.Layers.To, To: m.svc.Engine.Layers}
	avoid := map[model.Incarnation]bool{first.Server.Incarnation(): true}
	for inc := range m.lost {
		avoid[inc] = true
	}
	with := m.cover(need, first.Server.FailureDomain, "", avoid)
	if with == nil || 1+len(with) > maxStages {
		return nil
	}
	next := append([]Stage{first}, with...)
	if !m.canCross(m.svc.Engine, next[:2], m.tokens, m.gap) {
		return nil
	}
	return next
}

// cover finds engines for some layers, between parts in two failure domains, so
// that the stream's pause is shortest. after is empty where no part follows.
func (m *replacement) cover(need model.LayerRange, before, after string, avoid map[model.Incarnation]bool) []Stage {
	spec := m.svc.Engine
	cross := crossDomainDelay.Seconds() * float64(max(spec.Stride, 1))
	if spec.PipeMbps > 0 {
		cross += CrossDomainMbit(spec, m.tokens) / spec.PipeMbps
	}
	held := map[model.Incarnation]bool{}
	for _, p := range m.parts {
		held[p.Server.Incarnation()] = true
	}
	cands := m.candidates(m.svc, Requirements{Domain: before, Tokens: m.tokens, Avoid: avoid})
	for i := range cands {
		b := cands[i].server
		// The pause ends with the next event, which holds a stride of tokens.
		cands[i].secondsPerLayer *= float64(max(spec.Stride, 1))
		if held[b.Incarnation()] {
			cands[i].full = false // it holds the stream's memory already
			continue
		}
		// Going there and coming back, in shares of the layers: a part of its own
		// has no place in the search for them.
		if b.FailureDomain != before {
			cands[i].secondsPerLayer += cross / float64(need.Len())
		}
		if after != "" && b.FailureDomain != after {
			cands[i].secondsPerLayer += cross / float64(need.Len())
		}
		waits := m.Usage.PendingPrefill(b.Incarnation()) / float64(b.Holds.Len())
		cands[i].secondsPerLayer += waits + prefillSeconds(spec, b, m.tokens, 1)
	}
	walk := search{spec: spec, cands: cands, layers: need, homeDomain: before, requireCapacity: true}
	walk.crossing = m.crossingCosts(spec, cands, m.tokens, m.gap)
	for i, row := range walk.crossing {
		for j := range row {
			row[j] *= float64(max(spec.Stride, 1))
			if i != j {
				row[j] = math.Max(row[j], cross)
			}
		}
	}
	return walk.shortest()
}

// prefillSeconds is how long an engine reads so many tokens through so many layers, in
// seconds, if it does nothing else.
func prefillSeconds(spec *model.EngineSpec, b *model.BackendServer, tokens, layers int) float64 {
	card, ok := spec.Card(b.Card)
	if !ok || spec.ReadRate <= 0 {
		return 0
	}
	return float64(tokens) / spec.ReadRate * card.ReadFactor * float64(layers) / float64(spec.Layers)
}

// recordLoad takes in what the move costs: parts that the stream did not have read all
// tokens so far, and pairs that it did not have move them between domains.
//
// All routers with streams through the lost engine move them at the same moment
// and hear of each other only later. Those are mostly the ones of its failure
// domain; each counts its own moves for all of these, so that together they
// spread over the engines and do not all wait at the one that looks best.
func (m *replacement) recordLoad(next []Stage) {
	spec := m.svc.Engine
	had := map[Stage]bool{}
	for _, p := range m.parts {
		had[p] = true
	}
	together := m.routersPerDomain(m.RouterCount())
	for i, p := range next {
		if had[p] {
			continue
		}
		m.addPrefill(spec, next[i:i+1], m.tokens)
		m.Usage.AddPendingPrefill(p.Server.Incarnation(), together*prefillSeconds(spec, p.Server, m.tokens, p.Layers.Len()))
		m.addTraffic(spec, next[i-1:min(i+2, len(next))], m.tokens)
	}
}

// resumePrefillSeconds is how long an engine that goes on with its other streams reads so many tokens
// through so many layers, in seconds: each chunk of them is read in a pass that makes
// tokens for the others as well.
func (c *Chooser) resumePrefillSeconds(spec *model.EngineSpec, b *model.BackendServer, tokens, layers int) float64 {
	reading := prefillSeconds(spec, b, tokens, layers)
	card, ok := spec.Card(b.Card)
	if !ok || spec.Chunk <= 0 {
		return reading
	}
	inc := b.Incarnation()
	step := layerSeconds(spec, card, Usage{Streams: c.Usage.Used(inc).Streams}, c.Usage.Slowdown(inc)) * float64(layers)
	passes := float64(tokens) / float64(spec.Chunk)
	return reading*c.Usage.Slowdown(inc) + passes*step*float64(max(spec.Stride, 1))
}

// useResumeCosts turns the costs of a search, in seconds a token, into the pause of a stream that
// goes on at other engines: they read all its tokens so far, after what they are to read
// already, and make the tokens of an event.
func (c *Chooser) useResumeCosts(w *search, tokens int) {
	spec := w.spec
	stride := float64(max(spec.Stride, 1))
	for i := range w.cands {
		b := w.cands[i].server
		w.cands[i].secondsPerLayer *= stride
		w.cands[i].secondsPerLayer += c.Usage.PendingPrefill(b.Incarnation())/float64(b.Holds.Len()) + c.resumePrefillSeconds(spec, b, tokens, 1)
	}
	for i, row := range w.crossing {
		for j := range row {
			row[j] *= stride
			if i != j && spec.PipeMbps > 0 {
				row[j] += CrossDomainMbit(spec, tokens) / spec.PipeMbps
			}
		}
	}
}

// RecordResume takes in that a stream of so many tokens goes on at a chosen chain. Other routers
// have streams that go on at the same moment; each counts its own for those of its
// failure domain, until they hear of each other.
func (c *Chooser) RecordResume(spec *model.EngineSpec, parts []Stage, tokens int) {
	together := c.routersPerDomain(c.RouterCount())
	for _, p := range parts {
		c.Usage.AddPendingPrefill(p.Server.Incarnation(), together*c.resumePrefillSeconds(spec, p.Server, tokens, p.Layers.Len()))
	}
}

// canCross tells whether the pipes between neighbouring parts have room for
// a stream of so many tokens.
func (c *Chooser) canCross(spec *model.EngineSpec, parts []Stage, tokens int, gap time.Duration) bool {
	for i := 1; i < len(parts); i++ {
		if math.IsInf(c.crossingCost(spec, parts[i-1].Server.FailureDomain, parts[i].Server.FailureDomain, tokens, gap, c.RouterCount()), 1) {
			return false
		}
	}
	return true
}
