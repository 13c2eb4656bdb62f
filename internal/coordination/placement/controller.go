package placement

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/skylarkwood/skylarkwood/internal/coordination/catalog"
	"github.com/skylarkwood/skylarkwood/internal/coordination/leader"
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
	Now         func() time.Time

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
}

// storedPlan is a plan with its revision in the store.
type storedPlan struct {
	plan     Plan
	revision model.Revision
	// needsWrite is set after the store was restored from an older copy, which may lack
	// the plan.
	needsWrite bool
}

// ObservePlan records a plan that was read from the store. A plan that cannot be decoded
// is logged and ignored.
func (c *Controller) ObservePlan(service string, value []byte, revision model.Revision) {
	plan, err := DecodePlan(value)
	if err != nil {
		klog.InfoS("stored plan cannot be decoded", "service", service, "revision", revision, "err", err)
		return
	}
	c.acceptPlan(service, storedPlan{plan: plan, revision: revision})
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
	if token == 0 {
		c.resetDomainGap(svc.Name)
		return
	}
	plan := c.currentPlan(svc, servers)
	if plan == nil {
		return
	}
	if !c.persist(ctx, svc.Name, plan, token) {
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
	for _, b := range c.Catalog.Load().Service(svc.Name) {
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
	for inc := range c.appearedAt {
		if !present[inc] {
			delete(c.appearedAt, inc)
			c.recordLoadExit(c.pending[inc])
			delete(c.pending, inc)
		}
	}
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
	settled := c.plannerEngines(svc, c.withoutUnreachable(servers), now, newEngineDelay)
	next := old.plan
	if hasUnplanned(next, settled) {
		next, _ = Extend(svc.Engine, next, settled)
	}
	if !c.gapPersists(svc, next, settled, now) {
		return c.repairDomains(svc, next, settled, now)
	}
	repaired, changed := Repair(svc.Engine, next, settled)
	if changed {
		klog.InfoS("plan repaired: some layers were held by no engine", "service", svc.Name, "layers", UncoveredLayers(svc.Engine, next, settled))
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

// persist stores a changed plan and reports whether the plan is in effect. The write is
// conditional on the leadership key, whose revision is the fencing token.
func (c *Controller) persist(ctx context.Context, service string, plan Plan, token model.Revision) bool {
	c.mu.Lock()
	old := c.plans[service]
	c.mu.Unlock()
	if old.plan != nil && equalPlans(old.plan, plan) && !old.needsWrite {
		return true
	}
	value, err := json.Marshal(plan)
	if err != nil {
		klog.ErrorS(err, "failed to encode plan", "service", service)
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	revision, err := c.Store.Commit(ctx, platform.Txn{
		If:  []platform.Condition{{Key: leader.Key, Revision: token}},
		Put: []platform.Item{{Key: leader.PlanPrefix + service, Value: value}},
	})
	if err != nil {
		klog.InfoS("failed to store plan", "service", service, "token", token, "err", err)
		return false
	}
	klog.InfoS("plan stored", "service", service, "token", token, "revision", revision, "engines", len(plan), "before", len(old.plan))
	return c.acceptPlan(service, storedPlan{plan: plan, revision: revision})
}

// acceptPlan records a plan unless a newer one is known, and reports whether it is now the
// known one. Plans are compared by revision: the result of a write may arrive after the
// watch has shown a plan that the next leader stored.
func (c *Controller) acceptPlan(service string, p storedPlan) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.init()
	old := c.plans[service]
	switch {
	case old.needsWrite && old.revision.Era() < p.revision.Era() && !equalPlans(old.plan, p.plan):
		// The first plan that is read after a restore comes from the older copy. Applying it
		// would move engines back.
		old.revision = p.revision
		c.plans[service] = old
	case old.revision < p.revision:
		c.plans[service] = p
	}
	return c.plans[service].revision == p.revision
}

// HandleStoreRestore marks all plans as not stored after the store was restored from an
// older copy. The plans stay in effect, and the leader writes them again.
func (c *Controller) HandleStoreRestore() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for service, p := range c.plans {
		p.needsWrite = true
		c.plans[service] = p
	}
}

func equalPlans(a, b Plan) bool {
	if len(a) != len(b) {
		return false
	}
	for addr, held := range a {
		if other, ok := b[addr]; !ok || other != held {
			return false
		}
	}
	return true
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
