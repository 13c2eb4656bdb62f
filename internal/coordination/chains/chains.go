// Package chains selects the engines that serve a stream and tracks the load that streams
// put on engines and on the interconnect between failure domains.
package chains

import (
	"math"
	"time"

	"github.com/skylarkwood/skylarkwood/internal/coordination/catalog"
	"github.com/skylarkwood/skylarkwood/internal/coordination/pause"
	"github.com/skylarkwood/skylarkwood/internal/coordination/ratelimit"
	"github.com/skylarkwood/skylarkwood/internal/model"
)

const (
	// maxReservedShare is the share of an engine's token memory that may be reserved. It
	// exceeds 1 because a stream reserves its whole answer and uses half of it on average.
	maxReservedShare = 1.1
	// maxSlotShare is the share of an engine's slots that may be used. The margin covers
	// streams that other routers have started and not yet reported. An engine without a
	// free slot queues new streams for the duration of an answer.
	maxSlotShare = 0.92
	// maxCostFill caps the memory fill in the cost of an engine, to keep the cost finite.
	maxCostFill = 0.9
	// hopDelay is the delay per token of one more stage within a failure domain. It covers
	// transmission and the wait for the pass in progress.
	hopDelay = 400 * time.Microsecond
	// crossDomainDelay is the delay per token of a hop between failure domains. It covers
	// the one-way latency and the price of the traffic.
	crossDomainDelay = 1500 * time.Microsecond
	// remoteStartPenalty is the cost of a first stage outside the router's failure domain.
	remoteStartPenalty = 500 * time.Microsecond
	// maxPrefillLoad caps the prefill load in the cost of an engine, to keep the cost
	// finite.
	maxPrefillLoad = 0.9
	// toleratedFailureRate is the failure rate that adds no cost to a first stage.
	// failurePenalty is the cost per token of the rate above it. The penalty does not
	// depend on the number of layers: a failed first stage fails the whole chain, and an
	// engine that fails immediately looks idle and would attract all streams.
	toleratedFailureRate = 0.1
	failurePenalty       = 20 * time.Millisecond
	// maxStages is the maximum chain length that engines accept.
	maxStages = 32
)

// Stage is one engine of a chain and the layers it runs.
type Stage struct {
	Server *model.BackendServer
	Layers model.LayerRange
}

// Requirements describes the stream that a chain is selected for.
type Requirements struct {
	// Domain is the failure domain of the requesting router.
	Domain string
	// Tokens is the prompt length plus the expected answer length.
	Tokens int
	// MaxEventGap is the maximum pause between events; 0 selects the default.
	MaxEventGap time.Duration
	// Priority is the urgency of the request among those of its service; 0 is the most
	// urgent. Prioritized is set if the routes of the service have different priorities.
	Priority    int
	Prioritized bool
	// Resumed selects the chain that continues an interrupted stream soonest, instead of
	// the chain with the lowest time per token.
	Resumed bool
	// Avoid contains engines that must not be used.
	Avoid map[model.Incarnation]bool
	// FirstStageIn contains the engines allowed as the first stage; nil allows all.
	FirstStageIn map[model.Incarnation]bool
	// ExcludeFirstStage reports whether an engine must not be the first stage.
	// FirstStageCost returns the additional time per token of a first stage at an engine
	// that is already the first stage of the given number of streams. Both may be nil.
	ExcludeFirstStage func(engine *model.BackendServer) bool
	FirstStageCost    func(engine model.Incarnation, streams float64) time.Duration
}

// Result is the result of Choose.
type Result int

// Results of Choose.
const (
	Found Result = iota
	// CapacityExhausted means that chains exist, but none has free capacity.
	CapacityExhausted
	// Withheld means that chains with free capacity exist, but that their engines allow no
	// request now: the first stages by their rate limits, or any stage by a pause.
	Withheld
	// InterconnectExhausted means that usable engines hold all layers, but that every chain
	// of them crosses an interconnect that is at its limit.
	InterconnectExhausted
	// NoChain means that no usable engine holds some layer.
	NoChain
)

// Chooser selects chains.
type Chooser struct {
	Catalog      *catalog.Catalog
	Health       *catalog.Health
	Usage        *UsageTracker
	Interconnect *Interconnect
	// RouterCount returns the number of routers that share the engines and the
	// interconnect.
	RouterCount func() int
	// Limits holds the rate limits that engines advertise as first stages. It may be nil.
	Limits *ratelimit.Tracker
	// Pauses holds the pauses that engines asked for. It may be nil.
	Pauses *pause.Tracker
	// Self identifies this router. Routers of large services consider different subsets of
	// the engines.
	Self string

	subsets subsets
}

// Choose returns the chain with free capacity that has the lowest time per token under the
// current load of the engines. Without such a chain it returns nil and the reason.
//
// If all chains of this router's subset of the engines are withheld, it considers the others.
func (c *Chooser) Choose(svc *model.Service, req Requirements) ([]Stage, Result) {
	subset := c.engines(svc.Name)
	stages, result := c.chooseAmong(subset, svc, req)
	all := c.Catalog.Load().Service(svc.Name)
	if result == Withheld && len(all) > len(subset) {
		return c.chooseAmong(all, svc, req)
	}
	return stages, result
}

func (c *Chooser) chooseAmong(engines []*model.BackendServer, svc *model.Service, req Requirements) ([]Stage, Result) {
	s := c.newSearch(engines, svc, req)
	if req.Resumed {
		c.useResumeCosts(&s, req.Tokens)
	}
	s.requireCapacity = true
	s.skipDeferred = true
	if chain := s.shortest(); chain != nil {
		return chain, Found
	}
	s.skipDeferred = false // engines in slow start are skipped only while others have capacity
	if chain := s.shortest(); chain != nil {
		return chain, Found
	}
	s.ignoreWithheld = true
	if (c.Limits.Any() || c.Pauses.Any()) && s.shortest() != nil {
		return nil, Withheld
	}
	s.requireCapacity = false
	if chain := s.shortest(); chain != nil {
		return nil, CapacityExhausted
	}
	s.crossing = withoutInterconnectLimits(s.crossing)
	if chain := s.shortest(); chain != nil {
		return nil, InterconnectExhausted
	}
	return nil, NoChain
}

// newSearch returns a search for a chain over all layers, at the current costs and without
// regard to capacity.
func (c *Chooser) newSearch(engines []*model.BackendServer, svc *model.Service, req Requirements) search {
	cands := c.candidates(engines, svc, req)
	return search{
		spec:       svc.Engine,
		cands:      cands,
		layers:     model.LayerRange{To: svc.Engine.Layers},
		homeDomain: req.Domain,
		crossing:   c.crossingCosts(svc.Engine, cands, req),
	}
}

// ExhaustedResource names the resource that Choose lacked: rate limits or slots of first
// stages, engines without a pause, interconnect rate ("pipes") or token memory. It repeats the
// search, and its result is meant for error messages.
func (c *Chooser) ExhaustedResource(svc *model.Service, req Requirements) string {
	s := c.newSearch(c.engines(svc.Name), svc, req)
	s.requireCapacity = true
	if s.shortest() != nil {
		return "none at present"
	}
	withheld := s
	withheld.ignoreWithheld = true
	if withheld.shortest() != nil {
		return "rate limits or pauses"
	}
	unlimited := s
	unlimited.crossing = withoutInterconnectLimits(s.crossing)
	if unlimited.shortest() != nil {
		return "pipes"
	}
	slots := s
	slots.cands = make([]candidate, len(s.cands))
	for i, cand := range s.cands {
		cand.noSlot = false
		slots.cands[i] = cand
	}
	if slots.shortest() != nil {
		return "slots"
	}
	return "token memory"
}

// withoutInterconnectLimits returns a copy of the costs in which no interconnect is at its
// limit.
func withoutInterconnectLimits(costs [][]float64) [][]float64 {
	unlimited := make([][]float64, len(costs))
	for i, row := range costs {
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

// Capacity returns an engine's token memory in token-layers.
func Capacity(spec *model.EngineSpec, card model.Card, held model.LayerRange) float64 {
	freeMB := card.MB - float64(held.Len())*spec.LayerMB
	tokenMB := spec.LayerTokenMB()
	if tokenMB <= 0 {
		return 0
	}
	return math.Max(freeMB/tokenMB, 0)
}
