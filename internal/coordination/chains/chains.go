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
	// maxReservedShare is the share of an engine's token memory that is reserved. It may
	// exceed 1: streams reserve their whole answer and hold half of it on average.
	maxReservedShare = 1.1
	// maxSlotShare is the share of an engine's slots that is given out. Slots count the
	// streams that begin there; other routers' counts arrive late, and an engine
	// without a free slot queues for as long as an answer takes.
	maxSlotShare = 0.92
	// maxCostFill caps the fill that makes an engine look slower, so that its
	// cost stays finite.
	maxCostFill = 0.9
	// hopDelay is what one more engine in a chain costs a token inside a failure
	// domain: transmission, and the pass in progress.
	hopDelay = 400 * time.Microsecond
	// crossDomainDelay is the one-way time between failure domains, and the bytes
	// between them that are paid for.
	crossDomainDelay = 1500 * time.Microsecond
	// remoteStartPenalty is what it costs to begin in another failure domain than the
	// caller's router.
	remoteStartPenalty = 500 * time.Microsecond
	// maxPrefillLoad caps the share of an engine's time that goes into reading
	// prompts, so that its cost stays finite.
	maxPrefillLoad = 0.9
	// toleratedFailureRate is the share of failures that every engine may have, and doubtTime
	// what all beyond it costs a token. An engine fails what it receives, so the
	// failure costs a whole chain, however few layers the engine runs; one that
	// fails at once looks idle and would draw all streams.
	toleratedFailureRate = 0.1
	failurePenalty       = 20 * time.Millisecond
	// maxStages is the longest chain that engines take.
	maxStages = 32
)

// Stage is one engine of a chain and the layers it runs.
type Stage struct {
	Server *model.BackendServer
	Layers model.LayerRange
}

// Requirements is what a chain is wanted for.
type Requirements struct {
	// Domain is the failure domain of the asking router.
	Domain string
	// Tokens is prompt and expected answer.
	Tokens int
	// MaxEventGap is the longest pause between events that is in time; 0 for the usual.
	MaxEventGap time.Duration
	// Resumed says that a running stream is to go on: its pause counts, not its time a token.
	Resumed bool
	// Avoid are engines that must not take part.
	Avoid map[model.Incarnation]bool
	// FirstStageIn are the engines that the chain may begin with; nil for any.
	FirstStageIn map[model.Incarnation]bool
	// ExcludeFirstStage names further engines that the chain must not begin with, and BeginCost is
	// what it costs a token to begin at an engine with so many streams; nil for none.
	ExcludeFirstStage func(engine *model.BackendServer) bool
	FirstStageCost    func(engine model.Incarnation, streams float64) time.Duration
}

// Result says why there is no chain.
type Result int

// Verdicts of a choice.
const (
	Found Result = iota
	// CapacityExhausted means that chains exist and all are full.
	CapacityExhausted
	// NoChain means that the engines in reach do not hold all layers.
	NoChain
)

// Chooser chooses chains.
type Chooser struct {
	Catalog      *catalog.Catalog
	Health       *catalog.Health
	Usage        *UsageTracker
	Interconnect *Interconnect
	// RouterCount counts the routers that share the pipes.
	RouterCount func() int
	// Self names this router; routers look at different engines where there are
	// many.
	Self string

	subsets subsets
}

// Choose finds the chain of least time per token that has room, with the load
// of its engines counted, and tells why there is none.
func (c *Chooser) Choose(svc *model.Service, d Requirements) ([]Stage, Result) {
	cands := c.candidates(svc, d)
	s := search{spec: svc.Engine, cands: cands, layers: model.LayerRange{To: svc.Engine.Layers}, homeDomain: d.Domain}
	s.crossing = c.crossingCosts(svc.Engine, cands, d.Tokens, d.MaxEventGap)
	if d.Resumed {
		c.useResumeCosts(&s, d.Tokens)
	}
	s.requireCapacity = true
	s.skipDeferred = true
	if chain := s.shortest(); chain != nil {
		return chain, Found
	}
	s.skipDeferred = false // engines in slow start are left out only as long as others serve
	if chain := s.shortest(); chain != nil {
		return chain, Found
	}
	s.requireCapacity = false
	if chain := s.shortest(); chain != nil {
		return nil, CapacityExhausted
	}
	return nil, NoChain
}

// ExhaustedResource names what there is too little of where Choose found no room: slots of
// engines that begin chains, pipes between failure domains, or token memory. It
// is asked once a refusal, for the log.
func (c *Chooser) ExhaustedResource(svc *model.Service, d Requirements) string {
	cands := c.candidates(svc, d)
	s := search{spec: svc.Engine, cands: cands, layers: model.LayerRange{To: svc.Engine.Layers}, homeDomain: d.Domain, requireCapacity: true}
	s.crossing = c.crossingCosts(svc.Engine, cands, d.Tokens, d.MaxEventGap)
	if s.shortest() != nil {
		return "none now"
	}
	unlimited := s
	unlimited.crossing = withoutInterconnectLimits(s.crossing)
	if unlimited.shortest() != nil {
		return "pipes"
	}
	slots := s
	slots.cands = make([]candidate, len(cands))
	for i, cand := range cands {
		cand.noSlot = false
		slots.cands[i] = cand
	}
	if slots.shortest() != nil {
		return "slots"
	}
	return "token memory"
}

// withoutInterconnectLimits gives the crossings as they were if no pipe were used up.
func withoutInterconnectLimits(cross [][]float64) [][]float64 {
	unlimited := make([][]float64, len(cross))
	for i, row := range cross {
		unlimited[i] = make([]float64, len(row))
		for j, cost := range row {
			unlimited[i][j] = cost
			if math.IsInf(cost, 1) {
				unlimited[i][j] = crossDomainDelay.Seconds()
			}
		}
	}
	return unlimited
}

func (c *Chooser) candidates(svc *model.Service, d Requirements) []candidate {
	spec := svc.Engine
	var out []candidate
	domains := map[string]int{}
	routers := c.RouterCount() // once: it counts all that were heard of
	domainPeers := c.routersPerDomain(routers) - 1
	for _, b := range c.engines(svc.Name) {
		inc := b.Incarnation()
		card, ok := spec.Card(b.Card)
		if !ok || b.Holds.Len() <= 0 || b.Holds.To > spec.Layers || d.Avoid[inc] {
			continue
		}
		view := c.Health.View(inc)
		if view.Suspected {
			continue
		}
		id, ok := domains[b.FailureDomain]
		if !ok {
			id = len(domains)
			domains[b.FailureDomain] = id
		}
		capacity := Capacity(spec, card, b.Holds)
		used := c.Usage.Used(inc)
		// Peers have begun streams since they last told. Unless they count, routers
		// that meet the same burst, or start together, all send it to the engine
		// that looks best, and its requests queue. They do about what this router
		// does, so its own new streams stand for theirs.
		used.add(c.Usage.Recent(inc).scaled(domainPeers), 1)
		secondsPerLayer := layerSeconds(spec, card, used, c.Usage.Slowdown(inc))
		fill := math.Min(used.TokenLayers/math.Max(capacity*maxReservedShare, 1), maxCostFill)
		secondsPerLayer *= 1 / (1 - fill)
		firstStageCost := failurePenalty.Seconds() * math.Max(view.FailureRate-toleratedFailureRate, 0)
		if d.FirstStageCost != nil {
			firstStageCost += d.FirstStageCost(inc, used.FirstStageStreams).Seconds()
		}
		out = append(out, candidate{
			server:          b,
			domain:          id,
			secondsPerLayer: secondsPerLayer,
			firstStageCost:  firstStageCost,
			excludedFirst:   d.FirstStageIn != nil && !d.FirstStageIn[inc] || d.ExcludeFirstStage != nil && d.ExcludeFirstStage(b),
			deferred:        c.Usage.defers(c.Self, inc, b.Holds, prefillSeconds(spec, b, d.Tokens, b.Holds.Len()), routers),
			noSlot:          b.Slots > 0 && used.FirstStageStreams+1 > float64(b.Slots)*maxSlotShare,
			full:            used.TokenLayers+float64(d.Tokens*b.Holds.Len()) > capacity*maxReservedShare,
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
