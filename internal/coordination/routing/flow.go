package routing

import (
	"math"
	"sort"
	"sync"
	"time"

	"github.com/skylarkwood/skylarkwood/internal/coordination/flow"
	"github.com/skylarkwood/skylarkwood/internal/coordination/membership"
	"github.com/skylarkwood/skylarkwood/internal/model"
)

const (
	// planInterval is how old a plan may grow. Engines that come, go or fill up
	// change it; in between live load corrects it.
	planInterval = time.Second
	// chainDraws is how many chains are drawn by the plan and compared.
	chainDraws = 2
)

// InterconnectRate gives how many positions a second go between two failure domains.
type InterconnectRate = flow.InterconnectRate

// planner keeps a max-flow plan for each service.
type planner struct {
	link     InterconnectRate
	mu       sync.Mutex
	solvedAt map[string]time.Time
	plans    map[string]*plan
	solving  map[string]bool // a plan is being solved
}

// plan is the flow with the groups it goes by.
type plan struct {
	flow.Plan
	groups []flow.Group
}

// groupKey is what makes engines alike for the plan.
type groupKey struct {
	domain string
	layers model.LayerRange
}

func keyOf(c candidate) groupKey {
	return groupKey{c.Instance.FailureDomain, c.Backend.Range}
}

// groupCandidates puts candidates into groups, in a fixed order.
func groupCandidates(all []candidate) []flow.Group {
	rates := map[groupKey]float64{}
	for _, c := range all {
		rates[keyOf(c)] += c.Backend.Rate
	}
	groups := make([]flow.Group, 0, len(rates))
	for k, rate := range rates {
		if rate > 0 {
			groups = append(groups, flow.Group{Domain: k.domain, Range: k.layers, Rate: rate})
		}
	}
	sort.Slice(groups, func(i, j int) bool {
		a, b := groups[i], groups[j]
		if a.Domain != b.Domain {
			return a.Domain < b.Domain
		}
		if a.Range.From != b.Range.From {
			return a.Range.From < b.Range.From
		}
		return a.Range.To < b.Range.To
	})
	return groups
}

// planFor gives the plan for a service. One that has grown old is solved anew
// beside the requests, which go by it meanwhile. The plan is solved over
// everybody who is up, full or not: a group that is full for a moment keeps its
// part.
func (p *planner) planFor(service string, upMembers func() []candidate, layers int, now time.Time) *plan {
	p.mu.Lock()
	defer p.mu.Unlock()
	current, ok := p.plans[service]
	if !ok {
		current = p.solve(upMembers(), layers)
		p.plans[service] = current
		p.solvedAt[service] = now
		return current
	}
	if now.Sub(p.solvedAt[service]) >= planInterval && !p.solving[service] {
		p.solving[service] = true
		go p.renew(service, upMembers(), layers, now)
	}
	return current
}

func (p *planner) renew(service string, members []candidate, layers int, now time.Time) {
	next := p.solve(members, layers)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.plans[service] = next
	p.solvedAt[service] = now
	p.solving[service] = false
}

func (p *planner) solve(members []candidate, layers int) *plan {
	groups := groupCandidates(members)
	return &plan{Plan: flow.Solve(groups, layers, p.link, flow.CoarsePrecision), groups: groups}
}

// chainFromPlan draws a few chains along the plan and gives the one with the least
// load; none if the plan has none with room. It tells whether there is a plan.
func (r *Router) chainFromPlan(req ChainRequest, all []candidate) (chain []Stage, planned bool) {
	upMembers := func() []candidate { return r.upMembers(req.Service) }
	pl := r.planner.planFor(req.Service, upMembers, req.Layers.To, r.now())
	if pl.Rate <= 0 {
		return nil, false
	}
	available := groupAvailable(all)
	bestCost := math.Inf(1)
	for try := 0; try < chainDraws; try++ {
		next := r.draw(pl, available, req.Positions)
		if cost := maxStageLoad(next); next != nil && cost < bestCost {
			chain, bestCost = next, cost
		}
	}
	if chain != nil {
		r.budget.reserve(chain, req.Positions, r.now())
	}
	return chain, true
}

// groupAvailable puts those with room into groups, without those that seem down.
func groupAvailable(all []candidate) map[groupKey][]candidate {
	available := map[groupKey][]candidate{}
	for _, c := range all {
		if c.penalty == 0 {
			k := keyOf(c)
			available[k] = append(available[k], c)
		}
	}
	return available
}

// draw takes a chain at random, each with the weight of its rate, among those
// that have room at every group and link.
func (r *Router) draw(pl *plan, available map[groupKey][]candidate, positions int) []Stage {
	weights := make([]float64, len(pl.Chains))
	total := 0.0
	for i, c := range pl.Chains {
		if pl.isAvailable(c, available) && r.budget.allows(pl, c, positions, r.now()) {
			weights[i] = c.Rate
			total += c.Rate
		}
	}
	if total <= 0 {
		return nil
	}
	const resolution = 1 << 30
	at := float64(r.rnd(resolution)) / resolution * total
	for i, w := range weights {
		if at -= w; at < 0 && w > 0 {
			return r.selectMembers(pl, pl.Chains[i], available)
		}
	}
	return nil
}

func (pl *plan) key(group int) groupKey {
	g := pl.groups[group]
	return groupKey{g.Domain, g.Range}
}

func (pl *plan) isAvailable(c flow.Chain, available map[groupKey][]candidate) bool {
	for _, g := range c.Groups {
		if len(available[pl.key(g)]) == 0 {
			return false
		}
	}
	return true
}

// selectMembers takes a member of each group of a chain.
func (r *Router) selectMembers(pl *plan, c flow.Chain, available map[groupKey][]candidate) []Stage {
	var chain []Stage
	done := 0
	for _, g := range c.Groups {
		to := pl.groups[g].Range.To
		m := r.twoChoices(available[pl.key(g)])
		chain = append(chain, Stage{Member: m.Member, Range: model.LayerRange{From: done, To: to}})
		done = to
	}
	return chain
}

// twoChoices takes the less loaded of two members for their rates.
func (r *Router) twoChoices(group []candidate) candidate {
	a, b := group[r.rnd(len(group))], group[r.rnd(len(group))]
	if relativeLoad(b) < relativeLoad(a) {
		return b
	}
	return a
}

// relativeLoad is the load of a member for what it can carry.
func relativeLoad(c candidate) float64 {
	return float64(c.Backend.Active+1) / math.Max(c.Backend.Rate, 1)
}

// maxStageLoad is the load at the most loaded stage of a chain.
func maxStageLoad(chain []Stage) float64 {
	worst := 0.0
	for _, s := range chain {
		worst = math.Max(worst, relativeLoad(candidate{Member: s.Member}))
	}
	return worst
}

// upMembers is all who are up, whether they have room or not.
func (r *Router) upMembers(service string) []candidate {
	up, _ := r.table.Candidates(service)
	out := make([]candidate, 0, len(up))
	for _, m := range up {
		out = append(out, candidate{Member: m})
	}
	return out
}

// Candidates exposes the usable members to baselines in experiments.
func (r *Router) Candidates(service string) []membership.Member {
	all, err := r.candidates(service, nil)
	if err != nil {
		return nil
	}
	out := make([]membership.Member, 0, len(all))
	for _, c := range all {
		out = append(out, c.Member)
	}
	return out
}
