// Package routing selects the chain of backend servers that runs a model's layers, or the
// backend server of a plain service.
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

// Stage is one stage of a chain.
type Stage struct {
	Member membership.Member
	Range  model.LayerRange
}

// LinkTime returns the estimated one-way latency between two instances.
type LinkTime func(a, b model.Instance) time.Duration

const (
	// sampleSize is the number of members of each layer range that are compared. Load
	// reports lag, so entries that all chose the least loaded member would choose the same
	// one. Random samples avoid this (Mitzenmacher, 2001).
	sampleSize = 3
	// suspectPenalty makes suspected members the last choice.
	suspectPenalty = time.Minute
	// loadWeight is the relative slowdown of a full backend server.
	loadWeight = 1.0
)

// Router selects members of a membership table.
type Router struct {
	table   *membership.Table
	link    LinkTime
	now     func() time.Time
	rnd     func(n int) int
	planner *planner
	budget  *linkBudget
}

// Links describes the links between instances.
type Links struct {
	Time LinkTime
	// Rate returns the rate limits; nil means no limits.
	Rate InterconnectRate
	// RouterCount returns the number of entries that share the links; nil means one.
	RouterCount func() int
}

// ChainRequest describes the chain to select.
type ChainRequest struct {
	Service string
	// Layers is the range of layers to cover.
	Layers model.LayerRange
	// Avoid contains the addresses of members that must not be used.
	Avoid map[string]bool
	// Positions is the number of positions of the request; 0 for a repair.
	Positions int
}

// New returns a router. rnd returns a random number in [0, n); nil selects math/rand.
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
			link:     links.Rate,
			solvedAt: map[string]time.Time{},
			plans:    map[string]*plan{},
			solving:  map[string]bool{},
		},
	}
}

// candidate is a member with its cost per layer.
type candidate struct {
	membership.Member
	perLayer time.Duration
	penalty  time.Duration
}

// Chain returns stages that cover the requested layers. A chain over a whole model follows
// the plan. If the plan has no capacity, the request is refused, because any other chain
// would queue at the links. A repair uses the nearest stages.
func (r *Router) Chain(req ChainRequest) ([]Stage, error) {
	all, err := r.candidates(req.Service, req.Avoid)
	if err != nil {
		return nil, err
	}
	if req.Positions == 0 || req.Layers.From != 0 {
		return r.nearest(req.Service, all, req.Layers)
	}
	chain, planned := r.chainFromPlan(req, all)
	if !planned {
		return r.nearest(req.Service, all, req.Layers)
	}
	if chain == nil {
		return nil, fault.New(fault.Overloaded, "no chain of %s has free capacity on its engines and links", req.Service)
	}
	return chain, nil
}

// nearest returns the chain with the lowest time per token among a sample. It is used for
// repairs and for services without a plan.
func (r *Router) nearest(service string, all []candidate, layers model.LayerRange) ([]Stage, error) {
	for _, sampled := range [][]candidate{r.sample(withoutSuspects(all)), r.sample(all)} {
		if chain := cheapest(sampled, layers, r.link); chain != nil {
			return chain, nil
		}
	}
	if chain := cheapest(all, layers, r.link); chain != nil {
		return chain, nil
	}
	return nil, fault.New(fault.NoCapacity, "no free backend servers cover layers %s of %s", layers, service)
}

// PlainServer returns a backend server of a plain service. It selects the less loaded of
// two random members.
func (r *Router) PlainServer(service string, avoid map[string]bool) (membership.Member, error) {
	all, err := r.candidates(service, avoid)
	if err != nil {
		return membership.Member{}, err
	}
	if len(all) == 0 {
		f := fault.New(fault.NoCapacity, "no backend server of %s accepts requests", service)
		f.RetryAfter = r.shortestBackoff(service, avoid)
		return membership.Member{}, f
	}
	best := all[r.rnd(len(all))]
	if other := all[r.rnd(len(all))]; loadScore(other) < loadScore(best) {
		best = other
	}
	return best.Member, nil
}

// shortestBackoff returns how long it takes until the first gate of a service accepts requests
// again, or 0 if none has a backoff.
func (r *Router) shortestBackoff(service string, avoid map[string]bool) time.Duration {
	up, suspects := r.table.Candidates(service)
	now := r.now()
	var shortest time.Duration
	for _, m := range append(up, suspects...) {
		left := m.BackoffUntil.Sub(now)
		if !avoid[m.Instance.Address] && left > 0 && (shortest == 0 || left < shortest) {
			shortest = left
		}
	}
	return shortest
}

func loadScore(c candidate) float64 {
	b := c.Backend
	p := float64(b.Active+b.Queued) / float64(max(b.Capacity, 1))
	if c.penalty > 0 {
		p += float64(c.penalty / time.Second)
	}
	return p
}

// Describe returns a service's kind and the number of its model's layers. It returns false
// if no member provides them.
func (r *Router) Describe(service string) (model.ServiceKind, int, bool) {
	for _, m := range r.table.All() {
		if m.Backend.Service == service && m.Backend.Kind != "" {
			return m.Backend.Kind, m.Backend.Layers, true
		}
	}
	return "", 0, false
}

func (r *Router) candidates(service string, avoid map[string]bool) ([]candidate, error) {
	up, suspects := r.table.Candidates(service)
	if len(up)+len(suspects) == 0 {
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
	for _, m := range suspects {
		add(m, suspectPenalty)
	}
	return out, nil
}

func perLayer(m membership.Member) time.Duration {
	b := m.Backend
	load := float64(b.Active) / float64(max(b.Capacity, 1))
	return time.Duration(float64(b.StepTime) * (1 + loadWeight*load))
}

func withoutSuspects(all []candidate) []candidate {
	return slices.DeleteFunc(slices.Clone(all), func(c candidate) bool { return c.penalty > 0 })
}

// sample returns a few random members of each layer range.
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
	for _, layers := range ranges {
		g := groups[layers]
		for n := 0; n < sampleSize && len(g) > 0; n++ {
			i := r.rnd(len(g))
			out = append(out, g[i])
			g = slices.Delete(slices.Clone(g), i, i+1)
		}
	}
	return out
}

// partialChain is the cheapest chain up to a layer boundary whose latest stage runs at a
// given candidate.
type partialChain struct {
	cost      time.Duration
	prev      int // previous boundary
	candidate int // candidate at that boundary, -1 at the start
	ok        bool
}

// cheapest returns the chain with the lowest time per token. It is a dynamic program over
// the layer boundaries. A member may run any part of its range, so no layer runs twice
// where ranges overlap.
func cheapest(cands []candidate, layers model.LayerRange, link LinkTime) []Stage {
	bounds := boundaries(cands, layers)
	partial := make([][]partialChain, len(bounds))
	for i := range partial {
		partial[i] = make([]partialChain, len(cands))
	}
	for to := 1; to < len(bounds); to++ {
		for c := range cands {
			partial[to][c] = cheapestEndingAt(cands, bounds, partial, c, to, link)
		}
	}
	return trace(cands, bounds, partial)
}

func boundaries(cands []candidate, layers model.LayerRange) []int {
	set := map[int]bool{layers.From: true, layers.To: true}
	for _, c := range cands {
		for _, b := range []int{c.Backend.Range.From, c.Backend.Range.To} {
			if layers.From < b && b < layers.To {
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

func cheapestEndingAt(cands []candidate, bounds []int, partial [][]partialChain, c, to int, link LinkTime) partialChain {
	var best partialChain
	for from := to - 1; from >= 0; from-- {
		layers := model.LayerRange{From: bounds[from], To: bounds[to]}
		if !cands[c].Backend.Range.Contains(layers) {
			break
		}
		runTime := time.Duration(layers.Len())*cands[c].perLayer + cands[c].penalty
		if from == 0 {
			best = better(best, partialChain{cost: runTime, prev: 0, candidate: -1, ok: true})
			continue
		}
		for p := range cands {
			if p == c || !partial[from][p].ok {
				continue
			}
			cost := partial[from][p].cost + link(cands[p].Instance, cands[c].Instance) + runTime
			best = better(best, partialChain{cost: cost, prev: from, candidate: p, ok: true})
		}
	}
	return best
}

func better(a, b partialChain) partialChain {
	if !a.ok || b.cost < a.cost {
		return b
	}
	return a
}

func trace(cands []candidate, bounds []int, partial [][]partialChain) []Stage {
	end := len(bounds) - 1
	last := -1
	for c := range cands {
		if partial[end][c].ok && (last < 0 || partial[end][c].cost < partial[end][last].cost) {
			last = c
		}
	}
	if last < 0 {
		return nil
	}
	var chain []Stage
	for b, c := end, last; c >= 0; {
		step := partial[b][c]
		chain = append(chain, Stage{
			Member: cands[c].Member,
			Range:  model.LayerRange{From: bounds[step.prev], To: bounds[b]},
		})
		b, c = step.prev, step.candidate
	}
	slices.Reverse(chain)
	return chain
}
