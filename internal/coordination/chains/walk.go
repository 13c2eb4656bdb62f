package chains

import (
	"math"
	"sync"

	"github.com/skylarkwood/skylarkwood/internal/model"
)

// candidate is an engine that may take part, with its cost per layer.
type candidate struct {
	server   *model.BackendServer
	domain   int
	perLayer float64 // seconds
	doubt    float64 // what it costs to begin with it, in seconds
	full     bool
	// deferred says that this router leaves it to others for now.
	deferred bool
	// noSlot says that it can take no more chains that begin with it.
	noSlot bool
	// notFirst says that the chain must not begin with it.
	notFirst bool
}

// way is the best way to have run the layers so far with the last one at a
// candidate; from is the candidate that ran the layer before.
type way struct {
	cost float64
	from int
}

const nobody = -1

// tables are reused between searches.
var tables = sync.Pool{New: func() any { return new([]way) }}

// walk is one search for a chain.
type walk struct {
	spec  *model.EngineSpec
	cands []candidate
	need  model.LayerRange
	home  string
	cross [][]float64
	// room demands that every engine has token memory left.
	room bool
	// deferring leaves out engines that are left to others.
	deferring bool
}

// shortest walks the layers in order. At each layer an engine either goes on
// from the layer before, or takes over from the best engine of some domain. It
// costs layers x engines x domains steps.
func (w *walk) shortest() []Stage {
	n := len(w.cands)
	layers := w.need.Len()
	if n == 0 || layers == 0 {
		return nil
	}
	scratch := tables.Get().(*[]way)
	defer tables.Put(scratch)
	if cap(*scratch) < layers*n {
		*scratch = make([]way, layers*n)
	}
	table := (*scratch)[:layers*n]
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
	return !(w.room && c.full) && !(w.deferring && c.deferred) && c.holds(w.need.From+layer)
}

func (w *walk) first(row []way) {
	for e := range w.cands {
		c := &w.cands[e]
		row[e] = way{cost: math.Inf(1), from: nobody}
		begins := !c.notFirst && !(w.room && w.need.From == 0 && c.noSlot)
		if begins && w.usable(c, 0) {
			row[e].cost = c.perLayer + w.start(c)
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

// start is what it costs to begin with a candidate; a running stream that is moved
// does not send anything to it.
func (w *walk) start(c *candidate) float64 {
	cost := 0.0
	if w.need.From == 0 {
		cost += c.doubt
	}
	if c.server.FailureDomain != w.home {
		cost += awayTime.Seconds()
	}
	return cost
}

func trace(cands []candidate, table []way, need model.LayerRange) []Stage {
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
func merge(cands []candidate, who []int, from int) []Stage {
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
	if len(parts) > maxParts {
		return nil
	}
	return parts
}
