package placement

import (
	"context"
	"maps"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/skylarkwood/skylarkwood/internal/coordination/catalog"
	"github.com/skylarkwood/skylarkwood/internal/coordination/routes"
	"github.com/skylarkwood/skylarkwood/internal/model"
	"github.com/skylarkwood/skylarkwood/internal/platform"
)

const (
	// settleDelay is how long no new engine must have appeared before the first plan is
	// built. Engines register over the first seconds, and a plan built too early lacks
	// complete chains.
	settleDelay = 1500 * time.Millisecond
	// maxSettleDelay bounds the wait while engines keep appearing.
	maxSettleDelay = 6 * time.Second
	// newEngineDelay is how long an engine that appears later stays empty, since a
	// replacement registers shortly before its predecessor leaves.
	newEngineDelay = 1200 * time.Millisecond
	// gapDelay is how long layers may be held by no engine before others are moved there.
	// An engine that restarts takes its own range again, which costs one load instead of
	// two. It is back within some three seconds.
	gapDelay = 2 * time.Second
	// orderTimeout bounds the wait for the answer to an order, which only acknowledges
	// that it began.
	orderTimeout = time.Second
)

// Controller applies the placement plan while this process is the leader.
type Controller struct {
	Config  *routes.ActiveConfig
	Catalog *catalog.Catalog
	Store   platform.Store
	Engines EngineClient
	// FencingToken returns the token of the current leadership, or 0 while another process
	// leads.
	FencingToken func() model.Revision
	// OnFenced is called when an engine rejects a token because it has seen a higher one.
	OnFenced func(token model.Revision)
	// HasTraffic reports whether any router has received requests.
	HasTraffic func() bool
	// Suspected reports whether there is evidence against an engine. Nil means never.
	Suspected func(engine model.Incarnation) bool
	// Paused reports whether an engine asked this router for a pause. Nil means never.
	Paused func(engine model.Incarnation) bool
	// Unreachable reports whether an engine has not answered this router for a while, even
	// if it is still listed. Nil means never.
	Unreachable func(engine model.Incarnation) bool
	// RateLimits returns the rate limits that engines advertise. Nil means none.
	RateLimits func() map[model.Incarnation]float64
	// StreamCount returns the known number of streams that run through an engine. If nil,
	// all engines count as busy.
	StreamCount func(engine model.Incarnation) float64
	// UsedTokenLayers returns the known token memory that streams use on an engine, in
	// tokens times layers. Nil means none.
	UsedTokenLayers func(engine model.Incarnation) float64
	// OnMissingLayers is called with the number of layers that a failure domain lacks. Nil
	// means that it is not reported.
	OnMissingLayers func(service, domain string, layers int)
	Now             func() time.Time

	mu             sync.Mutex
	plans          map[string]storedPlan // by service
	pending        map[model.Incarnation]order
	appearedAt     map[model.Incarnation]time.Time
	startedAt      time.Time
	lastAppearance time.Time             // of any engine
	loadExits      map[string]*loadExits // by address
	// gapSince is the time, by service, since when no engine holds some layer.
	gapSince map[string]time.Time
	// domainGapSince is the time, by service, since when some failure domain lacks layers
	// that its own engines could hold.
	domainGapSince map[string]time.Time
	// domainGapCheckedAt is the time, by service, of the last check of failure domains.
	domainGapCheckedAt map[string]time.Time
	coverageState
}

func (c *Controller) init() {
	if c.plans == nil {
		c.plans = map[string]storedPlan{}
		c.pending = map[model.Incarnation]order{}
		c.loadExits = map[string]*loadExits{}
		c.appearedAt = map[model.Incarnation]time.Time{}
		c.gapSince = map[string]time.Time{}
		c.domainGapSince = map[string]time.Time{}
		c.domainGapCheckedAt = map[string]time.Time{}
		c.coverageState = newCoverageState()
		c.startedAt = c.Now()
		c.lastAppearance = c.startedAt
	}
}

// Tick updates and stores the plans and sends the orders that are due. It must be called a
// few times per second.
func (c *Controller) Tick(ctx context.Context) {
	table := c.Config.Load()
	if table == nil {
		return
	}
	for i := range table.Config.Services {
		svc := &table.Config.Services[i]
		if svc.Engine != nil {
			c.tickService(ctx, svc)
		}
	}
}

func (c *Controller) tickService(ctx context.Context, svc *model.Service) {
	servers := c.placeableEngines(svc)
	token := c.FencingToken()
	alone := false
	if token != 0 && c.HasTraffic() || c.observationDue(svc.Name) {
		alone = c.observeDomains(svc, token != 0)
	}
	if token == 0 {
		c.resetDomainGap(svc.Name)
		return
	}
	plan := c.currentPlan(svc, servers)
	if plan == nil {
		return
	}
	before := c.lastPlan(svc.Name)
	switch stored := c.persist(ctx, svc.Name, plan, token); {
	case stored && alone:
		c.logChanges(svc.Name, before, plan)
	case !stored && alone && c.planWriteFailed():
		plan = before // its orders continue
	case !stored:
		return
	}
	c.sendOrders(ctx, svc, servers, plan, token)
}

// placeableEngines returns the engines with a configured card, and records when each
// engine appeared.
func (c *Controller) placeableEngines(svc *model.Service) []*model.BackendServer {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.init()
	now := c.Now()
	var out []*model.BackendServer
	present := map[model.Incarnation]bool{}
	listed := c.Catalog.Load()
	for _, b := range listed.Service(svc.Name) {
		present[b.Incarnation()] = true
		if _, ok := svc.Engine.Card(b.Card); !ok {
			c.recordAppearance(b, now, "card is not configured")
			continue
		}
		if b.Holds.To > svc.Engine.Layers {
			c.recordAppearance(b, now, "held layers exceed the model")
		}
		c.recordAppearance(b, now, "")
		out = append(out, b)
	}
	for inc := range c.appearedAt { // of all services
		if b := listed.Find(inc); !present[inc] && (b == nil || b.Service == svc.Name) {
			delete(c.appearedAt, inc)
			c.recordLoadExit(c.pending[inc])
			delete(c.pending, inc)
			delete(c.refusals, inc)
		}
	}
	// The answer to an order may arrive after its engine has left.
	maps.DeleteFunc(c.pending, func(inc model.Incarnation, _ order) bool { return listed.Find(inc) == nil })
	maps.DeleteFunc(c.refusals, func(inc model.Incarnation, _ refusal) bool { return listed.Find(inc) == nil })
	return out
}

func (c *Controller) recordAppearance(b *model.BackendServer, now time.Time, reason string) {
	if _, ok := c.appearedAt[b.Incarnation()]; ok {
		return
	}
	c.appearedAt[b.Incarnation()] = now
	c.lastAppearance = now
	if reason != "" {
		klog.InfoS("engine entry is malformed", "server", b.Incarnation(), "why", reason, "card", b.Card, "holds", b.Holds.String())
	}
}

// currentPlan returns the plan to apply, or nil while too few engines have registered.
func (c *Controller) currentPlan(svc *model.Service, servers []*model.BackendServer) Plan {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.Now()
	old := c.plans[svc.Name]
	noTraffic := !c.HasTraffic()
	if old.plan == nil || noTraffic && hasUnplanned(old.plan, c.plannerEngines(svc, servers, now, 0)) {
		sinceLast := now.Sub(c.lastAppearance)
		if len(servers) == 0 || sinceLast < settleDelay && now.Sub(c.startedAt) < maxSettleDelay {
			return old.plan
		}
		if old.plan == nil && !noTraffic {
			return PlanFromHeldLayers(svc.Engine, c.plannerEngines(svc, servers, now, 0), servers)
		}
		return BuildPlan(svc.Engine, c.plannerEngines(svc, servers, now, 0))
	}
	usable := c.plannerEngines(svc, c.withoutUnreachable(servers), now, newEngineDelay)
	next := old.plan
	if c.servesAlone(svc) {
		next, usable = c.coverDomains(svc, servers, next, now)
	}
	if hasUnplanned(next, usable) {
		next, _ = Extend(svc.Engine, next, usable)
	}
	if !c.gapPersists(svc, next, usable, now) {
		return c.repairDomains(svc, next, usable, now)
	}
	repaired, changed := Repair(svc.Engine, next, usable)
	if changed {
		klog.InfoS("plan repaired: some layers were held by no engine", "service", svc.Name, "layers", UncoveredLayers(svc.Engine, next, usable))
		delete(c.gapSince, svc.Name)
	}
	return repaired
}

// hasUnplanned reports whether the plan has no range for some engine.
func hasUnplanned(plan Plan, engines []Engine) bool {
	for _, e := range engines {
		if _, ok := plan[e.Address]; !ok {
			return true
		}
	}
	return false
}

// plannerEngines returns the planner's view of the engines that appeared at least minAge
// ago.
func (c *Controller) plannerEngines(svc *model.Service, servers []*model.BackendServer, now time.Time, minAge time.Duration) []Engine {
	var rates map[model.Incarnation]float64
	if c.RateLimits != nil {
		rates = c.RateLimits()
	}
	var out []Engine
	for _, b := range servers {
		if now.Sub(c.appearedAt[b.Incarnation()]) < minAge {
			continue
		}
		card, _ := svc.Engine.Card(b.Card)
		e := Engine{Address: b.Address, Domain: b.FailureDomain, Card: card}
		if rate, ok := rates[b.Incarnation()]; ok {
			e.RateLimit = &rate
		}
		out = append(out, e)
	}
	return out
}

// PlanFromHeldLayers builds a plan from the layers that engines already hold, for use when
// the stored plan is unknown. Empty engines are added as by Extend.
func PlanFromHeldLayers(spec *model.EngineSpec, engines []Engine, servers []*model.BackendServer) Plan {
	plan := Plan{}
	for _, b := range servers {
		if b.Holds.Len() > 0 && b.Holds.To <= spec.Layers {
			plan[b.Address] = b.Holds
		}
	}
	if len(plan) == 0 {
		return BuildPlan(spec, engines)
	}
	next, _ := Extend(spec, plan, engines)
	return next
}
