// Package flow computes how many token positions per second a mixed set of engines and
// interconnects can process at most, and the chains that achieve it. It solves a maximum
// flow through the layers, as published for mixed accelerators by Mei and others (2024).
// An engine that runs a part of its layers counts in part. Interconnects count the
// activations between stages. The tokens that return to the first stage are negligible.
//
// This is a fractional packing problem: chains are packed into the rates of engines and
// interconnects. The algorithm of Garg and Könemann (1998) solves it. It needs only the
// cheapest chain under a price for each resource, and also yields a proven upper bound.
package flow

import (
	"math"
	"sort"

	"github.com/skylarkwood/skylarkwood/internal/model"
)

// Group is a set of engines in one failure domain that hold the same layers.
type Group struct {
	Domain string
	Range  model.LayerRange
	// Rate is the number of positions per second that the group runs through its layers.
	Rate float64
}

// InterconnectRate returns how many positions per second can pass from one failure domain
// to another. Infinity means no limit.
type InterconnectRate func(from, to string) float64

// Chain is a sequence of groups in layer order, as indices, with the positions per second
// that the plan assigns to it.
type Chain struct {
	Groups []int
	Rate   float64
}

// Plan is a packing of chains into the rates of groups and interconnects.
type Plan struct {
	Chains []Chain
	// Rate is the sum of the rates of the chains, in positions per second.
	Rate float64
	// UpperBound is a proven upper bound on the rate of any plan.
	UpperBound float64
}

// Precisions for Solve. Its run time grows with the inverse square of the precision.
const (
	// FinePrecision is for bounds that measurements are compared with.
	FinePrecision = 0.03
	// CoarsePrecision is for plans that are solved again every second.
	CoarsePrecision = 0.12
)

// maxSteps bounds the run time on degenerate inputs.
const maxSteps = 200_000

// Solve returns a plan for a model with the given number of layers. Its relative error is
// at most about three times the precision.
func Solve(groups []Group, layers int, rate InterconnectRate, precision float64) Plan {
	p := newPacker(groups, layers, rate)
	p.epsilon = precision
	p.initPrices()
	p.run()
	return p.plan()
}

// follows reports whether b can run the layers after the end of a. Layers of b that a has
// run already are skipped.
func follows(a, b model.LayerRange) bool {
	return b.From <= a.To && a.To < b.To
}

// resource is a group or an interconnect, whose rate chains use up.
type resource struct {
	rate  float64
	price float64
	used  float64
}

// usage is how much of a resource one position of a chain uses.
type usage struct {
	res    *resource
	amount float64
}

// packer holds the state of Solve.
type packer struct {
	groups        []Group
	layers        int
	engines       []resource
	interconnects map[[2]string]*resource
	byLastLayer   []int // group indices
	epsilon       float64
	chains        map[string]*Chain
	upperBound    float64
}

func newPacker(groups []Group, layers int, rate InterconnectRate) *packer {
	p := &packer{
		groups:        groups,
		layers:        layers,
		engines:       make([]resource, len(groups)),
		interconnects: map[[2]string]*resource{},
		chains:        map[string]*Chain{},
		upperBound:    math.Inf(1),
	}
	for i, g := range groups {
		p.engines[i].rate = g.Rate
		p.byLastLayer = append(p.byLastLayer, i)
		for _, h := range groups {
			pair := [2]string{g.Domain, h.Domain}
			if r := rate(pair[0], pair[1]); p.interconnects[pair] == nil && !math.IsInf(r, 1) {
				p.interconnects[pair] = &resource{rate: r}
			}
		}
	}
	sort.Slice(p.byLastLayer, func(a, b int) bool {
		return groups[p.byLastLayer[a]].Range.To < groups[p.byLastLayer[b]].Range.To
	})
	return p
}

// initPrices sets the small initial price of each resource.
func (p *packer) initPrices() {
	m := float64(len(p.engines) + len(p.interconnects))
	delta := math.Pow(m/(1-p.epsilon), -1/p.epsilon) * (1 - p.epsilon)
	for _, r := range p.resources() {
		r.price = delta / r.rate
	}
}

func (p *packer) resources() []*resource {
	var out []*resource
	for i := range p.engines {
		out = append(out, &p.engines[i])
	}
	for _, l := range p.interconnects {
		out = append(out, l)
	}
	return out
}

// run repeatedly routes flow along the cheapest chain and raises the prices of the
// resources that it uses, until a chain costs at least 1.
func (p *packer) run() {
	if len(p.groups) == 0 {
		return
	}
	for step := 0; step < maxSteps; step++ {
		chain, cost := p.cheapest()
		if chain == nil {
			return
		}
		p.upperBound = math.Min(p.upperBound, p.totalValue()/cost)
		if cost >= 1 {
			return
		}
		p.route(chain)
	}
}

// totalValue returns the value of all resources at their prices. By duality no plan has a
// higher rate than this value divided by the cost of the cheapest chain.
func (p *packer) totalValue() float64 {
	v := 0.0
	for _, r := range p.resources() {
		v += r.price * r.rate
	}
	return v
}

// route adds as much flow to a chain as its scarcest resource allows.
func (p *packer) route(chain []int) {
	uses := p.uses(chain)
	amount := math.Inf(1)
	for _, u := range uses {
		amount = math.Min(amount, u.res.rate/u.amount)
	}
	for _, u := range uses {
		part := amount * u.amount
		u.res.used += part
		u.res.price *= 1 + p.epsilon*part/u.res.rate
	}
	key := chainKey(chain)
	if p.chains[key] == nil {
		p.chains[key] = &Chain{Groups: chain}
	}
	p.chains[key].Rate += amount
}

func chainKey(chain []int) string {
	var b []byte
	for _, g := range chain {
		b = append(b, byte(g), byte(g>>8))
	}
	return string(b)
}

// uses returns what one position of a chain uses of each resource. A group that runs a
// part of its layers is used in part.
func (p *packer) uses(chain []int) []usage {
	amounts := map[*resource]float64{}
	layersDone := 0
	for i, g := range chain {
		held := p.groups[g].Range
		amounts[&p.engines[g]] += float64(held.To-layersDone) / float64(held.Len())
		layersDone = held.To
		if i+1 == len(chain) {
			break
		}
		if l := p.interconnect(g, chain[i+1]); l != nil {
			amounts[l]++
		}
	}
	out := make([]usage, 0, len(amounts))
	for r, a := range amounts {
		out = append(out, usage{r, a})
	}
	return out
}

// interconnect returns the interconnect between two groups, or nil if its rate is not
// limited.
func (p *packer) interconnect(from, to int) *resource {
	return p.interconnects[[2]string{p.groups[from].Domain, p.groups[to].Domain}]
}

func (p *packer) interconnectPrice(from, to int) float64 {
	if l := p.interconnect(from, to); l != nil {
		return l.price
	}
	return 0
}

// cheapest returns the chain of the lowest price. It visits the groups in the order of
// their last layers, so that each is reached before it is left.
func (p *packer) cheapest() ([]int, float64) {
	cost := make([]float64, len(p.groups))
	previous := make([]int, len(p.groups))
	for i, g := range p.groups {
		cost[i], previous[i] = math.Inf(1), -1
		if g.Range.From == 0 {
			cost[i] = p.engines[i].price
		}
	}
	end, endCost := -1, math.Inf(1)
	for _, g := range p.byLastLayer {
		if math.IsInf(cost[g], 1) {
			continue
		}
		if p.groups[g].Range.To < p.layers {
			p.relax(g, cost, previous)
			continue
		}
		if cost[g] < endCost {
			end, endCost = g, cost[g]
		}
	}
	return tracePath(end, previous), endCost
}

// relax updates the cost of the groups that can follow group g.
func (p *packer) relax(g int, cost []float64, previous []int) {
	from := p.groups[g].Range
	for h, next := range p.groups {
		if !follows(from, next.Range) {
			continue
		}
		part := float64(next.Range.To-from.To) / float64(next.Range.Len())
		c := cost[g] + p.interconnectPrice(g, h) + part*p.engines[h].price
		if c < cost[h] {
			cost[h], previous[h] = c, g
		}
	}
}

func tracePath(end int, previous []int) []int {
	var chain []int
	for g := end; g >= 0; g = previous[g] {
		chain = append([]int{g}, chain...)
	}
	return chain
}

// plan returns the routed flow, scaled so that no resource is used beyond its rate.
func (p *packer) plan() Plan {
	overuse := 0.0
	for _, r := range p.resources() {
		overuse = math.Max(overuse, r.used/r.rate)
	}
	out := Plan{}
	if overuse == 0 {
		return out
	}
	for _, c := range p.chains {
		out.Chains = append(out.Chains, Chain{Groups: c.Groups, Rate: c.Rate / overuse})
		out.Rate += c.Rate / overuse
	}
	sort.Slice(out.Chains, func(i, j int) bool {
		a, b := out.Chains[i], out.Chains[j]
		if a.Rate != b.Rate {
			return a.Rate > b.Rate
		}
		return chainKey(a.Groups) < chainKey(b.Groups)
	})
	out.UpperBound = p.upperBound
	return out
}
