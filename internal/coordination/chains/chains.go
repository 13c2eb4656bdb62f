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

// candidate is an engine that may take part, with its cost per layer.
type candidate struct {
	server   *model.BackendServer
	domain   int
	perLayer float64 // seconds
	full     bool
	// noSlot says that it can take no more chains that begin with it.
	noSlot bool
	// notFirst says that the chain must not begin with it.
	notFirst bool
}

// Chooser chooses chains.
type Chooser struct {
	Catalog *catalog.Catalog
	Health  *catalog.Health
	Memory  *Memory
	Pipes   *Pipes
	// Routers counts the routers that share the pipes.
	Routers func() int
}

// Choose finds the chain of least time per token that has room, with the load
// of its engines counted, and tells why there is none.
func (c *Chooser) Choose(svc *model.Service, d Demand) ([]Part, Verdict) {
	cands := c.candidates(svc, d)
	walk := walk{spec: svc.Engine, cands: cands, need: model.LayerRange{To: svc.Engine.Layers}, home: d.Domain}
	walk.cross = c.crossings(svc.Engine, cands, d.Tokens)
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

// Replace finds a chain that differs from a running one only in the part of
// one engine; nil if there is none. The first part stays, as engines demand.
func (c *Chooser) Replace(svc *model.Service, parts []Part, lost string, tokens int) []Part {
	avoid := map[string]bool{}
	for _, p := range parts {
		avoid[p.Server.ID] = true
	}
	at := -1
	for i, p := range parts {
		if p.Server.ID == lost {
			at = i
		}
	}
	if at <= 0 {
		return nil
	}
	before := parts[at-1].Server.FailureDomain
	cands := c.candidates(svc, Demand{Domain: before, Tokens: tokens, Avoid: avoid})
	walk := walk{spec: svc.Engine, cands: cands, need: parts[at].Layers, home: before, room: true}
	walk.cross = c.crossings(svc.Engine, cands, tokens)
	with := walk.shortest()
	if with == nil || len(parts)-1+len(with) > maxParts {
		return nil
	}
	next := append([]Part(nil), parts[:at]...)
	next = append(next, with...)
	next = append(next, parts[at+1:]...)
	joint := next[at-1 : min(at+len(with)+1, len(next))]
	if !c.roomToCross(svc.Engine, joint, tokens) {
		return nil
	}
	c.read(svc.Engine, joint[1:1+len(with)], tokens)
	c.crossed(svc.Engine, joint, tokens)
	return next
}

// roomToCross tells whether the pipes between neighbouring parts have room for
// a stream of so many tokens.
func (c *Chooser) roomToCross(spec *model.EngineSpec, parts []Part, tokens int) bool {
	for i := 1; i < len(parts); i++ {
		if math.IsInf(c.crossing(spec, parts[i-1].Server.FailureDomain, parts[i].Server.FailureDomain, tokens), 1) {
			return false
		}
	}
	return true
}

func (c *Chooser) candidates(svc *model.Service, d Demand) []candidate {
	spec := svc.Engine
	var out []candidate
	domains := map[string]int{}
	for _, b := range c.Catalog.Load().Service(svc.Name) {
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
			full:     used.TokenLayers+float64(d.Tokens)*minRun(spec, b.Holds) > capacity*fillLimit,
		})
	}
	return out
}

// perLayer is the time that a token takes in one layer of an engine, in
// seconds: a step of its card, longer for each stream that writes, and longer
// while prompts are read in between. A slow engine takes longer for all of it.
func perLayer(spec *model.EngineSpec, card model.Card, used Use, slowdown float64) float64 {
	step := spec.StepTime.Seconds() + spec.PerRequest.Seconds()*used.Streams
	reading := math.Min(used.Reading*slowdown, mostReading)
	return step * card.Pace * slowdown / float64(spec.Layers) / (1 - reading)
}

// minRun is the fewest layers for which an engine is tested for room: an engine
// rarely runs less than this share of what it holds.
func minRun(spec *model.EngineSpec, held model.LayerRange) float64 {
	return math.Min(float64(held.Len()), float64(spec.Layers))
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

// way is the best way to have run the layers so far with the last one at a
// candidate; from is the candidate that ran the layer before.
type way struct {
	cost float64
	from int
}

const nobody = -1

// crossings gives the cost of going from one domain to another, by the domains'
// indices, infinite where the pipe between them is used up.
func (c *Chooser) crossings(spec *model.EngineSpec, cands []candidate, tokens int) [][]float64 {
	names := []string{}
	for _, cand := range cands {
		if cand.domain == len(names) {
			names = append(names, cand.server.FailureDomain)
		}
	}
	cost := make([][]float64, len(names))
	for i := range names {
		cost[i] = make([]float64, len(names))
		for j := range names {
			cost[i][j] = c.crossing(spec, names[i], names[j], tokens)
		}
	}
	return cost
}

func (c *Chooser) crossing(spec *model.EngineSpec, a, b string, tokens int) float64 {
	if a == b {
		return hopTime.Seconds()
	}
	if spec.PipeMbps <= 0 {
		return crossTime.Seconds()
	}
	mbit := CrossMbit(spec, tokens)
	if !c.Pipes.Allows(a, b, mbit, spec.PipeMbps, c.Routers()) {
		return math.Inf(1)
	}
	used := (c.Pipes.Rate(a, b) + mbit) / spec.PipeMbps
	// The prompt's transfer delays the first event; spread over the tokens of
	// a usual answer it compares with times a token.
	transfer := mbit / spec.PipeMbps / (1 - math.Min(used, pipeLimit))
	return crossTime.Seconds() + transfer/float64(max(spec.UsualAnswer, 1))
}

// TokenTime is how long a token should take through a chain whose engines are
// as fast as their cards.
func (c *Chooser) TokenTime(spec *model.EngineSpec, parts []Part) time.Duration {
	sum := 0.0
	for i, p := range parts {
		card, ok := spec.Card(p.Server.Card)
		if !ok {
			continue
		}
		sum += perLayer(spec, card, c.Memory.Used(p.Server.ID), 1) * float64(p.Layers.Len())
		if i > 0 && p.Server.FailureDomain != parts[i-1].Server.FailureDomain {
			sum += crossTime.Seconds()
			continue
		}
		sum += hopTime.Seconds()
	}
	return time.Duration(sum * float64(time.Second))
}

// CrossMbit is what a request of so many tokens moves over a pipe, in Mbit.
func CrossMbit(spec *model.EngineSpec, tokens int) float64 {
	return float64(tokens) * spec.ActivationBytes * 8 / 1e6
}

// Begin takes in that a prompt goes through a chosen chain.
func (c *Chooser) Begin(spec *model.EngineSpec, parts []Part, tokens int) {
	c.read(spec, parts, tokens)
	c.crossed(spec, parts, tokens)
}

// read takes in the reading of so many tokens by each part.
func (c *Chooser) read(spec *model.EngineSpec, parts []Part, tokens int) {
	for _, p := range parts {
		card, ok := spec.Card(p.Server.Card)
		if ok && spec.ReadRate > 0 {
			share := float64(p.Layers.Len()) / float64(spec.Layers)
			c.Memory.Read(p.Server.ID, float64(tokens)/spec.ReadRate*card.ReadFactor*share)
		}
	}
}

// crossed takes in what neighbouring parts will move between failure domains.
func (c *Chooser) crossed(spec *model.EngineSpec, parts []Part, tokens int) {
	for i := 1; i < len(parts); i++ {
		a, b := parts[i-1].Server.FailureDomain, parts[i].Server.FailureDomain
		if a != b {
			c.Pipes.Use(a, b, CrossMbit(spec, tokens))
		}
	}
}

// walk is one search for a chain.
type walk struct {
	spec  *model.EngineSpec
	cands []candidate
	need  model.LayerRange
	home  string
	cross [][]float64
	// room demands that every engine has token memory left.
	room bool
}

// shortest walks the layers in order. At each layer an engine either goes on
// from the layer before, or takes over from the best engine of some domain. It
// costs layers x engines x domains steps.
func (w *walk) shortest() []Part {
	n := len(w.cands)
	layers := w.need.Len()
	if n == 0 || layers == 0 {
		return nil
	}
	table := make([]way, layers*n)
	domainBest := make([]int, len(w.cross))
	for layer := 0; layer < layers; layer++ {
		row := table[layer*n : (layer+1)*n]
		if layer == 0 {
			w.first(row)
			continue
		}
		before := table[(layer-1)*n : layer*n]
		if !w.bests(before, domainBest) {
			return nil
		}
		w.next(row, before, domainBest, layer)
	}
	return trace(w.cands, table, w.need)
}

func (w *walk) usable(c *candidate, layer int) bool {
	return !(w.room && c.full) && c.holds(w.need.From+layer)
}

func (w *walk) first(row []way) {
	for e := range w.cands {
		c := &w.cands[e]
		row[e] = way{cost: math.Inf(1), from: nobody}
		begins := !c.notFirst && !(w.room && w.need.From == 0 && c.noSlot)
		if begins && w.usable(c, 0) {
			row[e].cost = c.perLayer + start(c, w.home)
		}
	}
}

func (w *walk) next(row, before []way, domainBest []int, layer int) {
	for e := range w.cands {
		c := &w.cands[e]
		row[e] = way{cost: math.Inf(1), from: nobody}
		if !w.usable(c, layer) {
			continue
		}
		best := before[e].cost
		from := e
		for d, near := range domainBest {
			if near == nobody || near == e {
				continue
			}
			if cost := before[near].cost + w.cross[d][c.domain]; cost < best {
				best = cost
				from = near
			}
		}
		row[e] = way{cost: best + c.perLayer, from: from}
	}
}

// bests finds the cheapest candidate of each domain; false if there is none.
func (w *walk) bests(row []way, domainBest []int) bool {
	for i := range domainBest {
		domainBest[i] = nobody
	}
	any := false
	for e := range w.cands {
		if math.IsInf(row[e].cost, 1) {
			continue
		}
		any = true
		d := w.cands[e].domain
		if domainBest[d] == nobody || row[e].cost < row[domainBest[d]].cost {
			domainBest[d] = e
		}
	}
	return any
}

func (c *candidate) holds(layer int) bool {
	return c.server.Holds.From <= layer && layer < c.server.Holds.To
}

func start(c *candidate, home string) float64 {
	if c.server.FailureDomain == home {
		return 0
	}
	return awayTime.Seconds()
}

func trace(cands []candidate, table []way, need model.LayerRange) []Part {
	n := len(cands)
	layers := need.Len()
	last := nobody
	end := table[(layers-1)*n:]
	for e := range cands {
		if !math.IsInf(end[e].cost, 1) && (last == nobody || end[e].cost < end[last].cost) {
			last = e
		}
	}
	if last == nobody {
		return nil
	}
	who := make([]int, layers)
	for layer, e := layers-1, last; layer >= 0; layer-- {
		who[layer] = e
		e = table[layer*n+e].from
	}
	return merge(cands, who, need.From)
}

// merge makes parts of the engine chosen for each layer. An engine that comes
// twice takes what lies between as well: it holds a contiguous range, and
// engines refuse a chain that names one of them twice.
func merge(cands []candidate, who []int, from int) []Part {
	lastOf := map[int]int{}
	for layer, e := range who {
		lastOf[e] = layer
	}
	var parts []Part
	for layer := 0; layer < len(who); {
		e := who[layer]
		end := lastOf[e] + 1
		parts = append(parts, Part{Server: cands[e].server, Layers: model.LayerRange{From: from + layer, To: from + end}})
		layer = end
	}
	if len(parts) > maxParts {
		return nil
	}
	return parts
}
