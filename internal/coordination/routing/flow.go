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
	// planEvery is how old a plan may grow. Engines that come, go or fill up
	// change it; in between live load corrects it.
	planEvery = time.Second
	// flowTries is how many chains are drawn by the plan and compared.
	flowTries = 2
)

// InterconnectRate gives how many positions a second go between two failure domains.
type InterconnectRate = flow.InterconnectRate

// planner keeps a max-flow plan for each service.
type planner struct {
	link InterconnectRate
	mu   sync.Mutex
	at   map[string]time.Time
	plan map[string]*plan
	busy map[string]bool // a plan is being solved
}

// plan is the flow with the groups it goes by.
type plan struct {
	flow.Plan
	groups []flow.Group
}

// groupKey is what makes engines alike for the plan.
type groupKey struct {
	domain string
	rng    model.LayerRange
}

func keyOf(c candidate) groupKey {
	return groupKey{c.Instance.FailureDomain, c.Backend.Range}
}

// groupsOf puts candidates into groups, in a fixed order.
func groupsOf(all []candidate) []flow.Group {
	rates := map[groupKey]float64{}
	for _, c := range all {
		rates[keyOf(c)] += c.Backend.Rate
	}
	groups := make([]flow.Group, 0, len(rates))
	for k, rate := range rates {
		if rate > 0 {
			groups = append(groups, flow.Group{Domain: k.domain, Range: k.rng, Rate: rate})
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
func (p *planner) planFor(service string, everybody func() []candidate, layers int, now time.Time) *plan {
	p.mu.Lock()
	defer p.mu.Unlock()
	have, ok := p.plan[service]
	if !ok {
		have = p.solve(everybody(), layers)
		p.plan[service] = have
		p.at[service] = now
		return have
	}
	if now.Sub(p.at[service]) >= planEvery && !p.busy[service] {
		p.busy[service] = true
		go p.renew(service, everybody(), layers, now)
	}
	return have
}

func (p *planner) renew(service string, everybody []candidate, layers int, now time.Time) {
	next := p.solve(everybody, layers)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.plan[service] = next
	p.at[service] = now
	p.busy[service] = false
}

func (p *planner) solve(everybody []candidate, layers int) *plan {
	groups := groupsOf(everybody)
	return &plan{Plan: flow.Solve(groups, layers, p.link, flow.CoarsePrecision), groups: groups}
}

// byFlow draws a few chains along the plan and gives the one with the least
// load; none if the plan has none with room. It tells whether there is a plan.
func (r *Router) byFlow(ask ChainRequest, all []candidate) (chain []Stage, planned bool) {
	everybody := func() []candidate { return r.everybody(ask.Service) }
	pl := r.planner.planFor(ask.Service, everybody, ask.Layers.To, r.now())
	if pl.Rate <= 0 {
		return nil, false
	}
	room := roomOf(all)
	bestCost := math.Inf(1)
	for try := 0; try < flowTries; try++ {
		next := r.draw(pl, room, ask.Positions)
		if cost := loadOf(next); next != nil && cost < bestCost {
			chain, bestCost = next, cost
		}
	}
	if chain != nil {
		r.budget.take(chain, ask.Positions, r.now())
	}
	return chain, true
}

// roomOf puts those with room into groups, without those that seem down.
func roomOf(all []candidate) map[groupKey][]candidate {
	room := map[groupKey][]candidate{}
	for _, c := range all {
		if c.penalty == 0 {
			k := keyOf(c)
			room[k] = append(room[k], c)
		}
	}
	return room
}

// draw takes a chain at random, each with the weight of its rate, among those
// that have room at every group and link.
func (r *Router) draw(pl *plan, room map[groupKey][]candidate, positions int) []Stage {
	weights := make([]float64, len(pl.Chains))
	total := 0.0
	for i, c := range pl.Chains {
		if pl.hasRoom(c, room) && r.budget.allows(pl, c, positions, r.now()) {
			weights[i] = c.Rate
			total += c.Rate
		}
	}
	if total <= 0 {
		return nil
	}
	const grain = 1 << 30
	at := float64(r.rnd(grain)) / grain * total
	for i, w := range weights {
		if at -= w; at < 0 && w > 0 {
			return r.membersOf(pl, pl.Chains[i], room)
		}
	}
	return nil
}

func (pl *plan) key(group int) groupKey {
	g := pl.groups[group]
	return groupKey{g.Domain, g.Range}
}

func (pl *plan) hasRoom(c flow.Chain, room map[groupKey][]candidate) bool {
	for _, g := range c.Groups {
		if len(room[pl.key(g)]) == 0 {
			return false
		}
	}
	return true
}

// membersOf takes a member of each group of a chain.
func (r *Router) membersOf(pl *plan, c flow.Chain, room map[groupKey][]candidate) []Stage {
	var chain []Stage
	done := 0
	for _, g := range c.Groups {
		to := pl.groups[g].Range.To
		m := r.twoChoices(room[pl.key(g)])
		chain = append(chain, Stage{Member: m.Member, Range: model.LayerRange{From: done, To: to}})
		done = to
	}
	return chain
}

// twoChoices takes the less loaded of two members for their rates.
func (r *Router) twoChoices(group []candidate) candidate {
	a, b := group[r.rnd(len(group))], group[r.rnd(len(group))]
	if perRate(b) < perRate(a) {
		return b
	}
	return a
}

// perRate is the load of a member for what it can carry.
func perRate(c candidate) float64 {
	return float64(c.Backend.Active+1) / math.Max(c.Backend.Rate, 1)
}

// loadOf is the load at the most loaded stage of a chain.
func loadOf(chain []Stage) float64 {
	worst := 0.0
	for _, s := range chain {
		worst = math.Max(worst, perRate(candidate{Member: s.Member}))
	}
	return worst
}

// everybody is all who are up, whether they have room or not.
func (r *Router) everybody(service string) []candidate {
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
