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
	// planInterval is the maximum age of a plan. Between plans, live load corrects for
	// engines that start, exit or fill up.
	planInterval = time.Second
	// chainDraws is the number of chains that are drawn from the plan and compared.
	chainDraws = 2
)

// InterconnectRate returns the number of positions per second that fit between two failure
// domains.
type InterconnectRate = flow.InterconnectRate

// planner keeps a max-flow plan for each service.
type planner struct {
	link     InterconnectRate
	mu       sync.Mutex
	solvedAt map[string]time.Time
	plans    map[string]*plan
	solving  map[string]bool // services for which a plan is being solved
}

// plan is a flow with its groups.
type plan struct {
	flow.Plan
	groups []flow.Group
}

// groupKey identifies engines that are equivalent for the plan.
type groupKey struct {
	domain string
	layers model.LayerRange
}

func keyOf(c candidate) groupKey {
	return groupKey{c.Instance.FailureDomain, c.Backend.Range}
}

// groupCandidates returns the groups of the candidates in a deterministic order.
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

// planFor returns the plan of a service. An expired plan remains in use while its
// replacement is solved in the background. The plan includes engines that are full at the
// moment, so that a group keeps its share.
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

// chainFromPlan draws chains from the plan and returns the one with the lowest load, or nil
// if no chain has capacity. planned is false if there is no plan.
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

// groupAvailable groups the candidates that are not suspected.
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

// draw returns a random chain, weighted by rate, among those with capacity at every group
// and link.
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

// selectMembers selects a member of each group of a chain.
func (r *Router) selectMembers(pl *plan, c flow.Chain, available map[groupKey][]candidate) []Stage {
	var chain []Stage
	covered := 0
	for _, g := range c.Groups {
		to := pl.groups[g].Range.To
		m := r.twoChoices(available[pl.key(g)])
		chain = append(chain, Stage{Member: m.Member, Range: model.LayerRange{From: covered, To: to}})
		covered = to
	}
	return chain
}

// twoChoices returns the less loaded of two random members.
func (r *Router) twoChoices(group []candidate) candidate {
	a, b := group[r.rnd(len(group))], group[r.rnd(len(group))]
	if relativeLoad(b) < relativeLoad(a) {
		return b
	}
	return a
}

// relativeLoad returns the load of a member relative to its rate.
func relativeLoad(c candidate) float64 {
	return float64(c.Backend.Active+1) / math.Max(c.Backend.Rate, 1)
}

// maxStageLoad returns the load of the most loaded stage of a chain.
func maxStageLoad(chain []Stage) float64 {
	worst := 0.0
	for _, s := range chain {
		worst = math.Max(worst, relativeLoad(candidate{Member: s.Member}))
	}
	return worst
}

// upMembers returns all members that are up, including full ones.
func (r *Router) upMembers(service string) []candidate {
	up, _ := r.table.Candidates(service)
	out := make([]candidate, 0, len(up))
	for _, m := range up {
		out = append(out, candidate{Member: m})
	}
	return out
}

// Candidates returns the usable members, for baselines in experiments.
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
