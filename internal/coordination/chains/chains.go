// Package chains chooses through which engines a stream runs and keeps count of
// the token memory that streams hold there.
package chains

import (
	"math"
	"time"

	"github.com/skylarkwood/skylarkwood/internal/coordination/catalog"
	"github.com/skylarkwood/skylarkwood/internal/model"
)

const (
	// fillLimit is how much of an engine's token memory is given out. Streams
	// reserve their whole answer at the start and hold half of it on average:
	// engines whose memory was reserved to 1.2 reported 0.75 to 0.85 in use.
	fillLimit = 1.1
	// slotLimit is how much of an engine's slots is given out. They count what
	// it receives as the first engine of a chain; beyond them it queues, for as
	// long as a whole answer takes. Other routers' streams are known a quarter
	// of a second late.
	slotLimit = 0.92
	// mostFill caps the fill that makes an engine look slower, so that its
	// cost stays finite.
	mostFill = 0.9
	// hopTime is what one more engine in a chain costs a token inside a
	// failure domain: 0.2 ms one way, and waiting for the pass in progress.
	hopTime = 400 * time.Microsecond
	// crossTime is the one-way time between failure domains, and the bytes
	// between them that are paid for.
	crossTime = 1500 * time.Microsecond
	// awayTime is what it costs to begin in another failure domain than the
	// caller's router.
	awayTime = 500 * time.Microsecond
	// mostReading caps the share of an engine's time that goes into reading
	// prompts, so that its cost stays finite.
	mostReading = 0.9
	// doubtFactor makes engines of suspicious record dearer, not forbidden.
	doubtFactor = 6.0
	// maxParts is the longest chain that engines take.
	maxParts = 32
)

// Part is one engine of a chain and the layers it runs.
type Part struct {
	Server *model.BackendServer
	Layers model.LayerRange
}

// Demand is what a chain is wanted for.
type Demand struct {
	// Domain is the failure domain of the asking router.
	Domain string
	// Tokens is prompt and expected answer.
	Tokens int
	// Gap is the longest pause between events that is in time; 0 for the usual.
	Gap time.Duration
	// Avoid are ids that must not take part.
	Avoid map[string]bool
	// FirstAmong are the ids that the chain may begin with; nil for any.
	FirstAmong map[string]bool
}

// Verdict says why there is no chain.
type Verdict int

// Verdicts of a choice.
const (
	Found Verdict = iota
	// NoRoom means that chains exist and all are full.
	NoRoom
	// NoChain means that the engines in reach do not hold all layers.
	NoChain
)

// Chooser chooses chains.
type Chooser struct {
	Catalog *catalog.Catalog
	Health  *catalog.Health
	Memory  *Memory
	Pipes   *Pipes
	// Routers counts the routers that share the pipes.
	Routers func() int
	// Self names this router; routers look at different engines where there are
	// many.
	Self string

	subsets subsets
}

// Choose finds the chain of least time per token that has room, with the load
// of its engines counted, and tells why there is none.
func (c *Chooser) Choose(svc *model.Service, d Demand) ([]Part, Verdict) {
	cands := c.candidates(svc, d)
	walk := walk{spec: svc.Engine, cands: cands, need: model.LayerRange{To: svc.Engine.Layers}, home: d.Domain}
	walk.cross = c.crossings(svc.Engine, cands, d.Tokens, d.Gap)
	walk.room = true
	if chain := walk.shortest(); chain != nil {
		return chain, Found
	}
	walk.room = false
	if chain := walk.shortest(); chain != nil {
		return nil, NoRoom
	}
	return nil, NoChain
}

// Replace finds a chain that a running stream can be moved to without an engine;
// nil if there is none. The first part stays, as engines demand. Where others can
// take the lost part's layers only that part differs; else all after the first
// may, which costs reading the tokens so far again, but no new send.
func (c *Chooser) Replace(svc *model.Service, parts []Part, lost string, tokens int, gap time.Duration) []Part {
	at := -1
	for i, p := range parts {
		if p.Server.ID == lost {
			at = i
		}
	}
	if at <= 0 {
		return nil
	}
	next := c.around(svc, parts, at, tokens, gap)
	if next == nil {
		next = c.reroute(svc, parts, lost, tokens, gap)
	}
	if next == nil {
		return nil
	}
	c.moved(svc.Engine, parts, next, tokens)
	return next
}

// around covers the layers of one part with engines outside of the chain.
func (c *Chooser) around(svc *model.Service, parts []Part, at, tokens int, gap time.Duration) []Part {
	avoid := map[string]bool{}
	for _, p := range parts {
		avoid[p.Server.ID] = true
	}
	before := parts[at-1].Server.FailureDomain
	cands := c.candidates(svc, Demand{Domain: before, Tokens: tokens, Avoid: avoid})
	walk := walk{spec: svc.Engine, cands: cands, need: parts[at].Layers, home: before, room: true}
	walk.cross = c.crossings(svc.Engine, cands, tokens, gap)
	with := walk.shortest()
	if with == nil || len(parts)-1+len(with) > maxParts {
		return nil
	}
	next := append([]Part(nil), parts[:at]...)
	next = append(next, with...)
	next = append(next, parts[at+1:]...)
	if !c.roomToCross(svc.Engine, next[at-1:min(at+len(with)+1, len(next))], tokens, gap) {
		return nil
	}
	return next
}

// reroute covers all layers after the first part anew. Engines of the chain hold
// the stream's memory already.
func (c *Chooser) reroute(svc *model.Service, parts []Part, lost string, tokens int, gap time.Duration) []Part {
	first := parts[0]
	held := map[string]bool{}
	for _, p := range parts {
		held[p.Server.ID] = true
	}
	cands := c.candidates(svc, Demand{Domain: first.Server.FailureDomain, Tokens: tokens, Avoid: map[string]bool{first.Server.ID: true, lost: true}})
	for i := range cands {
		cands[i].full = cands[i].full && !held[cands[i].server.ID]
	}
	need := model.LayerRange{From: first.Layers.To, To: svc.Engine.Layers}
	walk := walk{spec: svc.Engine, cands: cands, need: need, home: first.Server.FailureDomain, room: true}
	walk.cross = c.crossings(svc.Engine, cands, tokens, gap)
	with := walk.shortest()
	if with == nil || 1+len(with) > maxParts {
		return nil
	}
	next := append([]Part{first}, with...)
	if !c.roomToCross(svc.Engine, next[:2], tokens, gap) {
		return nil
	}
	return next
}

// moved takes in what a stream's move costs: parts that it did not have read all
// tokens so far, and pairs that it did not have move them between domains.
func (c *Chooser) moved(spec *model.EngineSpec, before, after []Part, tokens int) {
	had := map[Part]bool{}
	for _, p := range before {
		had[p] = true
	}
	for i, p := range after {
		if had[p] {
			continue
		}
		c.read(spec, after[i:i+1], tokens)
		c.crossed(spec, after[i-1:min(i+2, len(after))], tokens)
	}
}

// roomToCross tells whether the pipes between neighbouring parts have room for
// a stream of so many tokens.
func (c *Chooser) roomToCross(spec *model.EngineSpec, parts []Part, tokens int, gap time.Duration) bool {
	for i := 1; i < len(parts); i++ {
		if math.IsInf(c.crossing(spec, parts[i-1].Server.FailureDomain, parts[i].Server.FailureDomain, tokens, gap), 1) {
			return false
		}
	}
	return true
}

func (c *Chooser) candidates(svc *model.Service, d Demand) []candidate {
	spec := svc.Engine
	var out []candidate
	domains := map[string]int{}
	for _, b := range c.engines(svc.Name) {
		card, ok := spec.Card(b.Card)
		if !ok || b.Holds.Len() <= 0 || b.Holds.To > spec.Layers || d.Avoid[b.ID] {
			continue
		}
		view := c.Health.View(b.ID)
		if view.Suspected {
			continue
		}
		id, ok := domains[b.FailureDomain]
		if !ok {
			id = len(domains)
			domains[b.FailureDomain] = id
		}
		capacity := Capacity(spec, card, b.Holds)
		used := c.Memory.Used(b.ID)
		per := perLayer(spec, card, used, c.Memory.Slowdown(b.ID))
		fill := math.Min(used.TokenLayers/math.Max(capacity*fillLimit, 1), mostFill)
		per *= 1 / (1 - fill)
		per *= 1 + doubtFactor*math.Max(view.Failures-0.2, 0)
		out = append(out, candidate{
			server:   b,
			domain:   id,
			perLayer: per,
			notFirst: d.FirstAmong != nil && !d.FirstAmong[b.ID],
			noSlot:   b.Slots > 0 && used.Firsts+1 > float64(b.Slots)*slotLimit,
			full:     used.TokenLayers+float64(d.Tokens*b.Holds.Len()) > capacity*fillLimit,
		})
	}
	return out
}

// Capacity is the token memory of an engine, in tokens x layers.
func Capacity(spec *model.EngineSpec, card model.Card, held model.LayerRange) float64 {
	free := card.MB - float64(held.Len())*spec.LayerMB
	per := spec.LayerTokenMB()
	if per <= 0 {
		return 0
	}
	return math.Max(free/per, 0)
}
