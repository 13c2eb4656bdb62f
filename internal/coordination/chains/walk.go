package chains

import (
	"math"
	"sync"

	"github.com/skylarkwood/skylarkwood/internal/model"
)

// candidate is an engine that may take part, with its cost per layer.
type candidate struct {
	server          *model.BackendServer
	domain          int
	secondsPerLayer float64 // seconds
	firstStageCost  float64 // what it costs to begin with it, in seconds
	full            bool
	// deferred says that this router leaves it to others for now.
	deferred bool
	// noSlot says that it can take no more chains that begin with it.
	noSlot bool
	// excludedFirst says that the chain must not begin with it.
	excludedFirst bool
}

// pathCost is the best pathCost to have run the layers so far with the last one at a
// candidate; from is the candidate that ran the layer before.
type pathCost struct {
	cost     float64
	previous int
}

const noCandidate = -1

// tablePool are reused between searches.
var tablePool = sync.Pool{New: func() any { return new([]pathCost) }}

// search is one search for a chain.
type search struct {
	spec       *model.EngineSpec
	cands      []candidate
	layers     model.LayerRange
	homeDomain string
	crossing   [][]float64
	// requireCapacity demands that every engine has token memory left.
	requireCapacity bool
	// skipDeferred leaves out engines that are left to others.
	skipDeferred bool
}

// shortest walks the layers in order. At each layer an engine either goes on
// from the layer before, or takes over from the best engine of some domain. It
// costs layers x engines x domains steps.
func (w *search) shortest() []Stage {
	n := len(w.cands)
	layers := w.layers.Len()
	if n == 0 || layers == 0 {
		return nil
	}
	scratch := tablePool.Get().(*[]pathCost)
	defer tablePool.Put(scratch)
	if cap(*scratch) < layers*n {
		*scratch = make([]pathCost, layers*n)
	}
	table := (*scratch)[:layers*n]
	domainBest := make([]int, len(w.crossing))
	for layer := 0; layer < layers; layer++ {
		row := table[layer*n : (layer+1)*n]
		if layer == 0 {
			w.fillFirst(row)
			continue
		}
		before := table[(layer-1)*n : layer*n]
		if !w.cheapestPerDomain(before, domainBest) {
			return nil
		}
		w.fillNext(row, before, domainBest, layer)
	}
	return traceback(w.cands, table, w.layers)
}

func (w *search) usable(c *candidate, layer int) bool {
	return !(w.requireCapacity && c.full) && !(w.skipDeferred && c.deferred) && c.holds(w.layers.From+layer)
}

func (w *search) fillFirst(row []pathCost) {
	for e := range w.cands {
		c := &w.cands[e]
		row[e] = pathCost{cost: math.Inf(1), previous: noCandidate}
		begins := !c.excludedFirst && !(w.requireCapacity && w.layers.From == 0 && c.noSlot)
		if begins && w.usable(c, 0) {
			row[e].cost = c.secondsPerLayer + w.startCost(c)
		}
	}
}

func (w *search) fillNext(row, before []pathCost, domainBest []int, layer int) {
	for e := range w.cands {
		c := &w.cands[e]
		row[e] = pathCost{cost: math.Inf(1), previous: noCandidate}
		if !w.usable(c, layer) {
			continue
		}
		best := before[e].cost
		from := e
		for d, near := range domainBest {
			if near == noCandidate || near == e {
				continue
			}
			if cost := before[near].cost + w.crossing[d][c.domain]; cost < best {
				best = cost
				from = near
			}
		}
		row[e] = pathCost{cost: best + c.secondsPerLayer, previous: from}
	}
}

// cheapestPerDomain finds the cheapest candidate of each domain; false if there is none.
func (w *search) cheapestPerDomain(row []pathCost, domainBest []int) bool {
	for i := range domainBest {
		domainBest[i] = noCandidate
	}
	any := false
	for e := range w.cands {
		if math.IsInf(row[e].cost, 1) {
			continue
		}
		any = true
		d := w.cands[e].domain
		if domainBest[d] == noCandidate || row[e].cost < row[domainBest[d]].cost {
			domainBest[d] = e
		}
	}
	return any
}

func (c *candidate) holds(layer int) bool {
	return c.server.Holds.From <= layer && layer < c.server.Holds.To
}

// startCost is what it costs to begin with a candidate; a running stream that is moved
// does not send anything to it.
func (w *search) startCost(c *candidate) float64 {
	cost := 0.0
	if w.layers.From == 0 {
		cost += c.firstStageCost
	}
	if c.server.FailureDomain != w.homeDomain {
		cost += remoteStartPenalty.Seconds()
	}
	return cost
}

func traceback(cands []candidate, table []pathCost, need model.LayerRange) []Stage {
	n := len(cands)
	layers := need.Len()
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
	who := make([]int, layers)
	for layer, e := layers-1, last; layer >= 0; layer-- {
		who[layer] = e
		e = table[layer*n+e].previous
	}
	return mergeStages(cands, who, need.From)
}

// mergeStages makes parts of the engine chosen for each layer. An engine that comes
// twice takes what lies between as well: it holds a contiguous range, and
// engines refuse a chain that names one of them twice.
func mergeStages(cands []candidate, who []int, from int) []Stage {
	lastOf := map[int]int{}
	for layer, e := range who {
		lastOf[e] = layer
	}
	var parts []Stage
	for layer := 0; layer < len(who); {
		e := who[layer]
		end := lastOf[e] + 1
		parts = append(parts, Stage{Server: cands[e].server, Layers: model.LayerRange{From: from + layer, To: from + end}})
		layer = end
	}
	if len(parts) > maxStages {
		return nil
	}
	return parts
}
