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
	// fillLimit is the share of an engine's token memory that is given out.
	// Answers are longer than guessed about as often as shorter; beyond this
	// share the sum of a full engine's errors preempts requests.
	fillLimit = 0.92
	// hopTime is what one more engine in a chain costs a token inside a
	// failure domain: 0.2 ms one way, and waiting for the pass in progress.
	hopTime = 400 * time.Microsecond
	// crossTime is the one-way time between failure domains, and the bytes
	// between them that are paid for.
	crossTime = 1500 * time.Microsecond
	// awayTime is what it costs to begin in another failure domain than the
	// caller's router.
	awayTime = 500 * time.Microsecond
	// crossPromptShare spreads the time that a prompt takes over the pipe
	// between two domains over the tokens of a usual answer.
	crossPromptShare = 1.0 / 50
	// mostLoad caps the load that makes an engine look slower, so that its
	// cost stays finite.
	mostLoad = 0.9
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
}

// Chooser chooses chains.
type Chooser struct {
	Catalog *catalog.Catalog
	Health  *catalog.Health
	Memory  *Memory
}

// Choose finds the chain of least time per token that has room, with the load
// of its engines counted, and tells why there is none.
func (c *Chooser) Choose(svc *model.Service, d Demand) ([]Part, Verdict) {
	cands := c.candidates(svc, d)
	if chain := shortest(svc.Engine, cands, d.Domain, true); chain != nil {
		return chain, Found
	}
	if chain := shortest(svc.Engine, cands, d.Domain, false); chain != nil {
		return nil, NoRoom
	}
	return nil, NoChain
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
		load := math.Min(used/math.Max(capacity, 1), mostLoad)
		per := spec.StepTime.Seconds() * card.Pace / float64(spec.Layers) / (1 - load)
		per *= 1 + doubtFactor*math.Max(view.Failures-0.2, 0)
		out = append(out, candidate{
			server:   b,
			domain:   id,
			perLayer: per * c.Memory.Slowdown(b.ID),
			full:     used+float64(d.Tokens)*minRun(spec, b.Holds) > capacity*fillLimit,
		})
	}
	return out
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

// shortest walks the layers in order. At each layer an engine either goes on
// from the layer before, or takes over from the best engine of its domain, or
// from the best of all. It costs layers x engines steps.
func shortest(spec *model.EngineSpec, cands []candidate, home string, room bool) []Part {
	n := len(cands)
	layers := spec.Layers
	if n == 0 || layers == 0 {
		return nil
	}
	cross := crossTime.Seconds()
	if spec.PipeMbps > 0 {
		cross += float64(spec.UsualPrompt) * spec.ActivationBytes * 8 / 1e6 / spec.PipeMbps * crossPromptShare
	}
	table := make([]way, layers*n)
	domainBest := make([]int, n)
	for layer := 0; layer < layers; layer++ {
		row := table[layer*n : (layer+1)*n]
		var before []way
		overall := nobody
		if layer > 0 {
			before = table[(layer-1)*n : layer*n]
			overall = bests(cands, before, domainBest)
			if overall == nobody {
				return nil
			}
		}
		for e := range cands {
			row[e] = way{cost: math.Inf(1), from: nobody}
			c := &cands[e]
			if room && c.full || layer < c.server.Holds.From || layer >= c.server.Holds.To {
				continue
			}
			if layer == 0 {
				row[e].cost = c.perLayer + start(c, home)
				continue
			}
			best := before[e].cost
			from := e
			if near := domainBest[c.domain]; near != nobody && before[near].cost+hopTime.Seconds() < best {
				best = before[near].cost + hopTime.Seconds()
				from = near
			}
			if before[overall].cost+cross < best {
				best = before[overall].cost + cross
				from = overall
			}
			row[e] = way{cost: best + c.perLayer, from: from}
		}
	}
	return trace(cands, table, layers)
}

func start(c *candidate, home string) float64 {
	if c.server.FailureDomain == home {
		return 0
	}
	return awayTime.Seconds()
}

// bests finds the cheapest candidate of each domain and of all.
func bests(cands []candidate, row []way, domainBest []int) int {
	for i := range domainBest {
		domainBest[i] = nobody
	}
	overall := nobody
	for e := range cands {
		if math.IsInf(row[e].cost, 1) {
			continue
		}
		d := cands[e].domain
		if domainBest[d] == nobody || row[e].cost < row[domainBest[d]].cost {
			domainBest[d] = e
		}
		if overall == nobody || row[e].cost < row[overall].cost {
			overall = e
		}
	}
	return overall
}

func trace(cands []candidate, table []way, layers int) []Part {
	n := len(cands)
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
	return merge(cands, who)
}

// merge makes parts of the engine chosen for each layer. An engine that comes
// twice takes what lies between as well: it holds a contiguous range, and
// engines refuse a chain that names one of them twice.
func merge(cands []candidate, who []int) []Part {
	lastOf := map[int]int{}
	for layer, e := range who {
		lastOf[e] = layer
	}
	var parts []Part
	for layer := 0; layer < len(who); {
		e := who[layer]
		end := lastOf[e] + 1
		parts = append(parts, Part{Server: cands[e].server, Layers: model.LayerRange{From: layer, To: end}})
		layer = end
	}
	if len(parts) > maxParts {
		return nil
	}
	return parts
}
