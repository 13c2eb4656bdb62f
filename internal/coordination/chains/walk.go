package chains

import (
	"math"
	"sync"

	"github.com/skylarkwood/skylarkwood/internal/model"
)

// candidate is an engine that may be used in a chain, with its costs.
type candidate struct {
	server          *model.BackendServer
	domain          int
	secondsPerLayer float64
	// entryCost is the cost in seconds per token of entering the engine, whatever number of
	// layers it runs. It is 0 unless the engine is suspected.
	entryCost      float64
	firstStageCost float64 // seconds
	full           bool
	// deferred is set while the engine is in slow start and left to other routers.
	deferred bool
	// limited is set if the engine's rate limit allows no request of this router now.
	limited bool
	// paused is set if the engine asked this router for a pause that lasts.
	paused bool
	// noSlot is set if the engine has no free slot for a first stage.
	noSlot bool
	// excludedFirst is set if the engine must not be the first stage.
	excludedFirst bool
}

// pathCost is the cost of the cheapest path whose latest layer runs at a candidate.
// previous is the candidate of the layer before.
type pathCost struct {
	cost     float64
	previous int
}

const noCandidate = -1

// tablePool holds tables for reuse between searches.
var tablePool = sync.Pool{New: func() any { return new([]pathCost) }}

type search struct {
	spec       *model.EngineSpec
	cands      []candidate
	layers     model.LayerRange
	homeDomain string
	crossing   [][]float64
	// requireCapacity skips engines without free capacity.
	requireCapacity bool
	// ignoreWithheld allows engines whose rate limit or pause allows no request now.
	ignoreWithheld bool
	// skipDeferred skips engines that are left to other routers.
	skipDeferred bool
}

// shortest returns the cheapest chain, or nil. It is a dynamic program over the layers.
// Each layer runs at the engine of the previous layer or follows the cheapest engine of any
// domain. It takes time proportional to layers x engines x domains.
func (s *search) shortest() []Stage {
	n := len(s.cands)
	layers := s.layers.Len()
	if n == 0 || layers == 0 {
		return nil
	}
	scratch := tablePool.Get().(*[]pathCost)
	defer tablePool.Put(scratch)
	if cap(*scratch) < layers*n {
		*scratch = make([]pathCost, layers*n)
	}
	table := (*scratch)[:layers*n]
	domainBest := make([]int, len(s.crossing))
	for layer := 0; layer < layers; layer++ {
		row := table[layer*n : (layer+1)*n]
		if layer == 0 {
			s.fillFirst(row)
			continue
		}
		before := table[(layer-1)*n : layer*n]
		if !s.cheapestPerDomain(before, domainBest) {
			return nil
		}
		s.fillNext(row, before, domainBest, layer)
	}
	return traceback(s.cands, table, s.layers)
}

func (s *search) usable(c *candidate, layer int) bool {
	withheld := s.requireCapacity && c.paused && !s.ignoreWithheld
	return !withheld && !(s.requireCapacity && c.full) && !(s.skipDeferred && c.deferred) && c.holds(s.layers.From+layer)
}

func (s *search) fillFirst(row []pathCost) {
	for e := range s.cands {
		c := &s.cands[e]
		row[e] = pathCost{cost: math.Inf(1), previous: noCandidate}
		newRequest := s.requireCapacity && s.layers.From == 0
		eligible := !c.excludedFirst && !(newRequest && (c.noSlot || c.limited && !s.ignoreWithheld))
		if eligible && s.usable(c, 0) {
			row[e].cost = c.secondsPerLayer + c.entryCost + s.startCost(c)
		}
	}
}

func (s *search) fillNext(row, before []pathCost, domainBest []int, layer int) {
	for e := range s.cands {
		c := &s.cands[e]
		row[e] = pathCost{cost: math.Inf(1), previous: noCandidate}
		if !s.usable(c, layer) {
			continue
		}
		best := before[e].cost
		from := e
		for d, cheapest := range domainBest {
			if cheapest == noCandidate || cheapest == e {
				continue
			}
			if cost := before[cheapest].cost + s.crossing[d][c.domain] + c.entryCost; cost < best {
				best = cost
				from = cheapest
			}
		}
		row[e] = pathCost{cost: best + c.secondsPerLayer, previous: from}
	}
}

// cheapestPerDomain finds the cheapest candidate of each domain. It returns false if there
// is none.
func (s *search) cheapestPerDomain(row []pathCost, domainBest []int) bool {
	for i := range domainBest {
		domainBest[i] = noCandidate
	}
	found := false
	for e := range s.cands {
		if math.IsInf(row[e].cost, 1) {
			continue
		}
		found = true
		d := s.cands[e].domain
		if domainBest[d] == noCandidate || row[e].cost < row[domainBest[d]].cost {
			domainBest[d] = e
		}
	}
	return found
}

func (c *candidate) holds(layer int) bool {
	return c.server.Holds.From <= layer && layer < c.server.Holds.To
}

// startCost returns the cost of a first stage. A search that does not begin at layer 0
// serves a running stream, which sends no new request.
func (s *search) startCost(c *candidate) float64 {
	cost := 0.0
	if s.layers.From == 0 {
		cost += c.firstStageCost
	}
	if c.server.FailureDomain != s.homeDomain {
		cost += remoteStartPenalty.Seconds()
	}
	return cost
}

func traceback(cands []candidate, table []pathCost, needed model.LayerRange) []Stage {
	n := len(cands)
	layers := needed.Len()
	last := noCandidate
	end := table[(layers-1)*n:]
	for e := range cands {
		if !math.IsInf(end[e].cost, 1) && (last == noCandidate || end[e].cost < end[last].cost) {
			last = e
		}
	}
	if last == noCandidate {
		return nil
	}
	chosen := make([]int, layers)
	for layer, e := layers-1, last; layer >= 0; layer-- {
		chosen[layer] = e
		e = table[layer*n+e].previous
	}
	return mergeStages(cands, chosen, needed.From)
}

// mergeStages combines consecutive layers on the same engine into stages. An engine that
// occurs twice also takes the layers in between: it holds a contiguous range, and engines
// refuse a chain that contains one of them twice.
func mergeStages(cands []candidate, chosen []int, from int) []Stage {
	lastOf := map[int]int{}
	for layer, e := range chosen {
		lastOf[e] = layer
	}
	var stages []Stage
	for layer := 0; layer < len(chosen); {
		e := chosen[layer]
		end := lastOf[e] + 1
		stages = append(stages, Stage{Server: cands[e].server, Layers: model.LayerRange{From: from + layer, To: from + end}})
		layer = end
	}
	if len(stages) > maxStages {
		return nil
	}
	return stages
}
