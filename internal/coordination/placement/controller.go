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
	// settleDelay is how long no engine must have appeared before the first
	// plan: engines register over the first seconds, and a plan made too early
	// lacks whole chains.
	settleDelay = 1500 * time.Millisecond
	// maxSettleDelay bounds the wait for engines that keep appearing.
	maxSettleDelay = 6 * time.Second
	// newEngineDelay is how long an engine that appears later is left empty: a
	// replacement registers shortly before its predecessor leaves.
	newEngineDelay = 1200 * time.Millisecond
	// gapDelay is how long layers may be held by nobody before other engines are
	// moved there: an engine that restarts is back within some three seconds
	// and takes its own range again, at the price of one load instead of two.
	gapDelay = 2 * time.Second
	// orderTimeout bounds an order's answer, which only says that it began.
	orderTimeout = time.Second
)

// Controller carries the plan out while this process leads.
type Controller struct {
	Config  *routes.ActiveConfig
	Catalog *catalog.Catalog
	Store   platform.Store
	Engines EngineClient
	// FencingToken is the fencing token; 0 while another process leads.
	FencingToken func() model.Revision
	// OnFenced is told that an engine refused a token.
	OnFenced func(token model.Revision)
	// HasTraffic tells whether callers' requests were seen by any router.
	HasTraffic func() bool
	// Suspected tells whether there is evidence against an engine; nil for never.
	Suspected func(engine model.Incarnation) bool
	// Unreachable tells whether an engine has answered nobody here for a while, whatever its
	// entry says; nil for never.
	Unreachable func(engine model.Incarnation) bool
	// StreamCount counts the streams that run through an engine, as far as known; nil
	// where that is not counted.
	StreamCount func(engine model.Incarnation) float64
	Now         func() time.Time

	mu             sync.Mutex
	plans          map[string]storedPlan // by service
	pending        map[model.Incarnation]order
	appearedAt     map[model.Incarnation]time.Time
	startedAt      time.Time
	lastAppearance time.Time             // when the last engine appeared
	loadExits      map[string]*loadExits // by address
	// gapSince is since when some layer of a service is held by nobody.
	gapSince map[string]time.Time
	// domainGapSince is since when some failure domain lacks layers that its own engines
	// could hold.
	domainGapSince map[string]time.Time
	// domainGapCheckedAt is when they were last looked for.
	domainGapCheckedAt map[string]time.Time
}

// storedPlan is a plan and the store's revision of it.
type storedPlan struct {
	plan     Plan
	revision model.Revision
	// needsWrite says that the store does not hold it, as it came back from an older copy.
	needsWrite bool
}

// ObservePlan takes in a plan from the store.
func (c *Controller) ObservePlan(service string, value []byte, revision model.Revision) {
	plan, err := DecodePlan(value)
	if err != nil {
		klog.InfoS("stored plan cannot be read", "service", service, "revision", revision, "err", err)
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

// Tick does what is due. It is called a few times a second.
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

// placeableEngines lists the placeableEngines that can be placed and notes when each appeared.
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
			c.recordAppearance(b, now, "card is not listed")
			continue
		}
		if b.Holds.To > svc.Engine.Layers {
			c.recordAppearance(b, now, "holds layers outside of the model")
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

func (c *Controller) recordAppearance(b *model.BackendServer, now time.Time, why string) {
	if _, ok := c.appearedAt[b.Incarnation()]; ok {
		return
	}
	c.appearedAt[b.Incarnation()] = now
	c.lastAppearance = now
	if why != "" {
		klog.InfoS("engine entry is malformed", "server", b.Incarnation(), "why", why, "card", b.Card, "holds", b.Holds.String())
	}
}

// currentPlan gives the currentPlan to carry out; nil while it is too early for one.
func (c *Controller) currentPlan(svc *model.Service, servers []*model.BackendServer) Plan {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.Now()
	old := c.plans[svc.Name]
	fresh := !c.HasTraffic()
	if old.plan == nil || fresh && hasUnplanned(old.plan, c.plannerEngines(svc, servers, now, 0)) {
		quiet := now.Sub(c.lastAppearance)
		if len(servers) == 0 || quiet < settleDelay && now.Sub(c.startedAt) < maxSettleDelay {
			return old.plan
		}
		if old.plan == nil && !fresh {
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
		klog.InfoS("plan repaired: layers were held by nobody", "service", svc.Name, "layers", UncoveredLayers(svc.Engine, next, settled))
		delete(c.gapSince, svc.Name)
	}
	return repaired
}

// hasUnplanned tells whether some engine has no range.
func hasUnplanned(plan Plan, engines []Engine) bool {
	for _, e := range engines {
		if _, ok := plan[e.Address]; !ok {
			return true
		}
	}
	return false
}

// plannerEngines gives the planner's view of engines that have been there a while.
func (c *Controller) plannerEngines(svc *model.Service, servers []*model.BackendServer, now time.Time, age time.Duration) []Engine {
	var out []Engine
	for _, b := range servers {
		if now.Sub(c.appearedAt[b.Incarnation()]) < age {
			continue
		}
		card, _ := svc.Engine.Card(b.Card)
		out = append(out, Engine{Address: b.Address, Domain: b.FailureDomain, Card: card})
	}
	return out
}

// persist stores a changed plan under the condition that this process still
// leads: the leadership key has the revision that is the token.
func (c *Controller) persist(ctx context.Context, service string, plan Plan, token model.Revision) bool {
	c.mu.Lock()
	old := c.plans[service]
	c.mu.Unlock()
	if old.plan != nil && equalPlans(old.plan, plan) && !old.needsWrite {
		return true
	}
	value, err := json.Marshal(plan)
	if err != nil {
		klog.ErrorS(err, "plan not encoded", "service", service)
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	revision, err := c.Store.Commit(ctx, platform.Txn{
		If:  []platform.Condition{{Key: leader.Key, Revision: token}},
		Put: []platform.Item{{Key: leader.PlanPrefix + service, Value: value}},
	})
	if err != nil {
		klog.InfoS("plan not stored", "service", service, "token", token, "err", err)
		return false
	}
	klog.InfoS("plan stored", "service", service, "token", token, "revision", revision, "engines", len(plan), "before", len(old.plan))
	return c.acceptPlan(service, storedPlan{plan: plan, revision: revision})
}

// acceptPlan keeps a plan unless a newer one is known, and tells whether it is the one
// that is known now. The store's answer may come after the watch has shown what the
// next leader stored; taken for newer by the order of arrival, the older plan would
// be extended and stored again when this process leads once more.
func (c *Controller) acceptPlan(service string, p storedPlan) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.init()
	old := c.plans[service]
	switch {
	case old.needsWrite && old.revision.Era() < p.revision.Era() && !equalPlans(old.plan, p.plan):
		// The first plan that is read in a new era is a copy's: an older one. Carried out,
		// it would move engines back.
		old.revision = p.revision
		c.plans[service] = old
	case old.revision < p.revision:
		c.plans[service] = p
	}
	return c.plans[service].revision == p.revision
}

// HandleStoreRestore takes in that the store came back from an older copy: the plans in force stay, and
// whoever leads writes them again.
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

// PlanFromHeldLayers makes a plan of what engines hold already, where the stored plan is
// not known; empty engines are then added as newcomers.
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
