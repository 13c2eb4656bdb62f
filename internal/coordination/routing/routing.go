// Package routing chooses where work goes: the chain of backend servers that
// covers a model's layers, or the one backend server of a plain service.
package routing

import (
	"math"
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"github.com/skylarkwood/skylarkwood/internal/coordination/membership"
	"github.com/skylarkwood/skylarkwood/internal/fault"
	"github.com/skylarkwood/skylarkwood/internal/model"
)

// Stage is one stage of a chosen chain.
type Stage struct {
	Member membership.Member
	Range  model.LayerRange
}

// LinkTime estimates the one-way time between two instances.
type LinkTime func(a, b model.Instance) time.Duration

const (
	// sampleSize is how many members of each layer range are compared. Load
	// reports lag; were all entries to take the least loaded of all, they would
	// take the same one. A few sampled at random spread them (Mitzenmacher, 2001).
	sampleSize = 3
	// doubtPenalty makes a member that seems down the last choice.
	doubtPenalty = time.Minute
	// loadWeight is how much slower a full backend server is than an idle one.
	loadWeight = 1.0
)

// Router chooses by what a membership table knows.
type Router struct {
	table   *membership.Table
	link    LinkTime
	now     func() time.Time
	rnd     func(n int) int
	planner *planner
	budget  *linkBudget
}

// Links is what a router knows of the links.
type Links struct {
	Time LinkTime
	// Rate may be nil for no limits.
	Rate InterconnectRate
	// RouterCount tells how many entries share the links; nil for one.
	RouterCount func() int
}

// ChainRequest is what a chain is wanted for.
type ChainRequest struct {
	Service string
	// Layers is the layers to cover.
	Layers model.LayerRange
	// Avoid names members by address that must not take part.
	Avoid map[string]bool
	// Positions is how many the request will run; 0 for a repair.
	Positions int
}

// New makes a router. rnd gives a number below n; nil takes the usual source.
func New(table *membership.Table, links Links, now func() time.Time, rnd func(int) int) *Router {
	if rnd == nil {
		rnd = rand.IntN
	}
	if links.RouterCount == nil {
		links.RouterCount = func() int { return 1 }
	}
	if links.Rate == nil {
		links.Rate = func(_, _ string) float64 { return math.Inf(1) }
	}
	return &Router{
		table:  table,
		link:   links.Time,
		now:    now,
		rnd:    rnd,
		budget: newLinkBudget(links),
		planner: &planner{
			link: links.Rate,
			at:   map[string]time.Time{},
			plan: map[string]*plan{},
			busy: map[string]bool{},
		},
	}
}

// candidate is a member with its cost per layer.
type candidate struct {
	membership.Member
	perLayer time.Duration
	penalty  time.Duration
}

// Chain chooses stages that cover the wanted layers. A whole model goes by the
// plan; what the plan has no room for is refused, as any other chain would only
// queue up on the links. A repair takes the nearest stages.
func (r *Router) Chain(ask ChainRequest) ([]Stage, error) {
	all, err := r.candidates(ask.Service, ask.Avoid)
	if err != nil {
		return nil, err
	}
	if ask.Positions == 0 || ask.Layers.From != 0 {
		return r.nearest(ask.Service, all, ask.Layers)
	}
	chain, planned := r.byFlow(ask, all)
	if !planned {
		return r.nearest(ask.Service, all, ask.Layers)
	}
	if chain == nil {
		return nil, fault.New(fault.Overloaded, "no chain of %s has room at its engines and links", ask.Service)
	}
	return chain, nil
}

// nearest chooses the chain of least time per token among a sample. It serves
// repairs, where the plan says nothing.
func (r *Router) nearest(service string, all []candidate, need model.LayerRange) ([]Stage, error) {
	for _, some := range [][]candidate{r.sample(withoutDoubt(all)), r.sample(all)} {
		if chain := cheapest(some, need, r.link); chain != nil {
			return chain, nil
		}
	}
	if chain := cheapest(all, need, r.link); chain != nil {
		return chain, nil
	}
	return nil, fault.New(fault.NoCapacity, "no free backend servers cover layers %s of %s", need, service)
}

// PlainServer chooses a backend server of a plain service.
func (r *Router) PlainServer(service string, avoid map[string]bool) (membership.Member, error) {
	all, err := r.candidates(service, avoid)
	if err != nil {
		return membership.Member{}, err
	}
	if len(all) == 0 {
		return membership.Member{}, fault.New(fault.NoCapacity, "no backend server of %s takes work", service)
	}
	best := all[r.rnd(len(all))]
	if other := all[r.rnd(len(all))]; pressure(other) < pressure(best) {
		best = other
	}
	return best.Member, nil
}

func pressure(c candidate) float64 {
	b := c.Backend
	p := float64(b.Active+b.Queued) / float64(max(b.Capacity, 1))
	if c.penalty > 0 {
		p += float64(c.penalty / time.Second)
	}
	return p
}

// Describe tells a service's kind and the layers of its model.
func (r *Router) Describe(service string) (model.ServiceKind, int, bool) {
	for _, m := range r.table.All() {
		if m.Backend.Service == service && m.Backend.Kind != "" {
			return m.Backend.Kind, m.Backend.Layers, true
		}
	}
	return "", 0, false
}

func (r *Router) candidates(service string, avoid map[string]bool) ([]candidate, error) {
	up, doubtful := r.table.Candidates(service)
	if len(up)+len(doubtful) == 0 {
		return nil, fault.New(fault.NoCapacity, "no backend server of %s is known to be up", service)
	}
	now := r.now()
	var out []candidate
	add := func(m membership.Member, penalty time.Duration) {
		full := m.Backend.Kind == model.KindPipeline && m.Backend.Active >= m.Backend.Capacity
		if avoid[m.Instance.Address] || m.BackoffUntil.After(now) || full {
			return
		}
		out = append(out, candidate{Member: m, perLayer: perLayer(m), penalty: penalty})
	}
	for _, m := range up {
		add(m, 0)
	}
	for _, m := range doubtful {
		add(m, doubtPenalty)
	}
	return out, nil
}

func perLayer(m membership.Member) time.Duration {
	b := m.Backend
	load := float64(b.Active) / float64(max(b.Capacity, 1))
	return time.Duration(float64(b.StepTime) * (1 + loadWeight*load))
}

func withoutDoubt(all []candidate) []candidate {
	return slices.DeleteFunc(slices.Clone(all), func(c candidate) bool { return c.penalty > 0 })
}

// sample takes a few members of each layer range at random.
func (r *Router) sample(all []candidate) []candidate {
	groups := map[model.LayerRange][]candidate{}
	var ranges []model.LayerRange
	for _, c := range all {
		if len(groups[c.Backend.Range]) == 0 {
			ranges = append(ranges, c.Backend.Range)
		}
		groups[c.Backend.Range] = append(groups[c.Backend.Range], c)
	}
	var out []candidate
	for _, rg := range ranges {
		g := groups[rg]
		for n := 0; n < sampleSize && len(g) > 0; n++ {
			i := r.rnd(len(g))
			out = append(out, g[i])
			g = slices.Delete(slices.Clone(g), i, i+1)
		}
	}
	return out
}

// way is the cheapest way found to have run the layers up to a boundary with
// the last of them at one candidate.
type way struct {
	cost time.Duration
	prev int // boundary before
	via  int // candidate at that boundary, -1 at the start
	ok   bool
}

// cheapest finds the chain of least time per token. It walks the layer
// boundaries in order; a member may run any part of its range, so overlapping
// ranges never run a layer twice.
func cheapest(cs []candidate, need model.LayerRange, link LinkTime) []Stage {
	bounds := boundaries(cs, need)
	ways := make([][]way, len(bounds))
	for i := range ways {
		ways[i] = make([]way, len(cs))
	}
	for to := 1; to < len(bounds); to++ {
		for c := range cs {
			ways[to][c] = bestInto(cs, bounds, ways, c, to, link)
		}
	}
	return trace(cs, bounds, ways)
}

func boundaries(cs []candidate, need model.LayerRange) []int {
	set := map[int]bool{need.From: true, need.To: true}
	for _, c := range cs {
		for _, b := range []int{c.Backend.Range.From, c.Backend.Range.To} {
			if need.From < b && b < need.To {
				set[b] = true
			}
		}
	}
	out := make([]int, 0, len(set))
	for b := range set {
		out = append(out, b)
	}
	sort.Ints(out)
	return out
}

func bestInto(cs []candidate, bounds []int, ways [][]way, c, to int, link LinkTime) way {
	var best way
	for from := to - 1; from >= 0; from-- {
		part := model.LayerRange{From: bounds[from], To: bounds[to]}
		if !cs[c].Backend.Range.Contains(part) {
			break
		}
		run := time.Duration(part.Len())*cs[c].perLayer + cs[c].penalty
		if from == 0 {
			best = better(best, way{cost: run, prev: 0, via: -1, ok: true})
			continue
		}
		for p := range cs {
			if p == c || !ways[from][p].ok {
				continue
			}
			cost := ways[from][p].cost + link(cs[p].Instance, cs[c].Instance) + run
			best = better(best, way{cost: cost, prev: from, via: p, ok: true})
		}
	}
	return best
}

func better(a, b way) way {
	if !a.ok || b.cost < a.cost {
		return b
	}
	return a
}

func trace(cs []candidate, bounds []int, ways [][]way) []Stage {
	end := len(bounds) - 1
	last := -1
	for c := range cs {
		if ways[end][c].ok && (last < 0 || ways[end][c].cost < ways[end][last].cost) {
			last = c
		}
	}
	if last < 0 {
		return nil
	}
	var chain []Stage
	for b, c := end, last; c >= 0; {
		w := ways[b][c]
		chain = append(chain, Stage{
			Member: cs[c].Member,
			Range:  model.LayerRange{From: bounds[w.prev], To: bounds[b]},
		})
		b, c = w.prev, w.via
	}
	slices.Reverse(chain)
	return chain
}
