// Package flow computes the most that a mixed set of engines and links can
// carry, and the chains by which to carry it: a maximum flow through the layers
// (scheduling pipelines over mixed accelerators by max-flow is published work,
// Mei and others, 2024), in which an engine that runs a part of its layers is
// taken up in part. Links count the activations between stages; the tokens that
// go back to the first stage are a thousand times smaller.
//
// It is a fractional packing problem: chains are packed into the rates of
// engines and links. It is solved by the algorithm of Garg and Könemann (1998),
// which needs only the cheapest chain under a price for each resource, and gives
// a proven upper bound beside its solution.
package flow

import (
	"math"
	"sort"

	"github.com/skylarkwood/skylarkwood/internal/model"
)

// Group is engines of one failure domain that hold the same layers.
type Group struct {
	Domain string
	Range  model.LayerRange
	// Rate is how many positions a second the group runs through its layers.
	Rate float64
}

// InterconnectRate gives how many positions a second go from one failure domain to
// another; infinity for no limit.
type InterconnectRate func(from, to string) float64

// Chain is groups in layer order, and how many positions a second they carry
// together by the plan.
type Chain struct {
	Groups []int
	Rate   float64
}

// Plan is a packing of chains.
type Plan struct {
	Chains []Chain
	// Rate is the sum of the chains' rates, positions a second.
	Rate float64
	// UpperBound is proven: no plan carries more.
	UpperBound float64
}

// Precisions for Solve. The work grows with the inverse of its square.
const (
	// FinePrecision is for bounds that figures are measured against.
	FinePrecision = 0.03
	// CoarsePrecision is for plans that are made again every second.
	CoarsePrecision = 0.12
)

// maxSteps bounds the work on odd inputs.
const maxSteps = 200_000

// Solve plans for a model of so many layers. The plan is within about thrice the
// precision of the best.
func Solve(groups []Group, layers int, link InterconnectRate, precision float64) Plan {
	p := newPacker(groups, layers, link)
	p.epsilon = precision
	p.initPrices()
	p.run()
	return p.plan()
}

// follows tells whether b takes over where a ends. Layers of b that a has run
// already are left out.
func follows(a, b model.LayerRange) bool {
	return b.From <= a.To && a.To < b.To
}

// resource is something with a rate that chains use up: a group, or a link
// between two domains.
type resource struct {
	rate  float64
	price float64
	used  float64
}

// usage is how much of a resource one position of a chain takes.
type usage struct {
	res    *resource
	amount float64
}

type packer struct {
	groups        []Group
	layers        int
	engines       []resource
	interconnects map[[2]string]*resource
	byLastLayer   []int // groups by their last layer
	epsilon       float64
	chains        map[string]*Chain
	upperBound    float64
}

func newPacker(groups []Group, layers int, link InterconnectRate) *packer {
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
			d := [2]string{g.Domain, h.Domain}
			if r := link(d[0], d[1]); p.interconnects[d] == nil && !math.IsInf(r, 1) {
				p.interconnects[d] = &resource{rate: r}
			}
		}
	}
	sort.Slice(p.byLastLayer, func(a, b int) bool {
		return groups[p.byLastLayer[a]].Range.To < groups[p.byLastLayer[b]].Range.To
	})
	return p
}

// initPrices gives each resource its first, tiny price.
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

// run sends flow along the cheapest chain and raises the prices of what it used
// up, until prices say that all is used up.
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

// totalValue is what all resources are worth at their prices. By duality no plan
// carries more than this for each unit that the cheapest chain costs.
func (p *packer) totalValue() float64 {
	v := 0.0
	for _, r := range p.resources() {
		v += r.price * r.rate
	}
	return v
}

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

// uses sums what one position of a chain takes of each resource. A group that
// runs a part of its layers is taken up in part.
func (p *packer) uses(chain []int) []usage {
	sum := map[*resource]float64{}
	done := 0
	for i, g := range chain {
		rng := p.groups[g].Range
		sum[&p.engines[g]] += float64(rng.To-done) / float64(rng.Len())
		done = rng.To
		if i+1 == len(chain) {
			break
		}
		if l := p.interconnect(g, chain[i+1]); l != nil {
			sum[l]++
		}
	}
	out := make([]usage, 0, len(sum))
	for r, a := range sum {
		out = append(out, usage{r, a})
	}
	return out
}

func (p *packer) interconnect(from, to int) *resource {
	return p.interconnects[[2]string{p.groups[from].Domain, p.groups[to].Domain}]
}

func (p *packer) interconnectPrice(from, to int) float64 {
	if l := p.interconnect(from, to); l != nil {
		return l.price
	}
	return 0
}

// cheapest finds the chain of least price. It walks the groups in the order of
// their last layers, so that each is reached before it is left.
func (p *packer) cheapest() ([]int, float64) {
	cost := make([]float64, len(p.groups))
	via := make([]int, len(p.groups))
	for i, g := range p.groups {
		cost[i], via[i] = math.Inf(1), -1
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
			p.relax(g, cost, via)
			continue
		}
		if cost[g] < endCost {
			end, endCost = g, cost[g]
		}
	}
	return tracePath(end, via), endCost
}

func (p *packer) relax(g int, cost []float64, via []int) {
	from := p.groups[g].Range
	for h, next := range p.groups {
		if !follows(from, next.Range) {
			continue
		}
		part := float64(next.Range.To-from.To) / float64(next.Range.Len())
		c := cost[g] + p.interconnectPrice(g, h) + part*p.engines[h].price
		if c < cost[h] {
			cost[h], via[h] = c, g
		}
	}
}

func tracePath(end int, via []int) []int {
	var chain []int
	for g := end; g >= 0; g = via[g] {
		chain = append([]int{g}, chain...)
	}
	return chain
}

// plan scales what was sent so that nothing is used beyond its rate.
func (p *packer) plan() Plan {
	worst := 0.0
	for _, r := range p.resources() {
		worst = math.Max(worst, r.used/r.rate)
	}
	out := Plan{}
	if worst == 0 {
		return out
	}
	for _, c := range p.chains {
		out.Chains = append(out.Chains, Chain{Groups: c.Groups, Rate: c.Rate / worst})
		out.Rate += c.Rate / worst
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
