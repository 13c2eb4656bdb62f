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
	// settleTime is how long no engine must have appeared before the first
	// plan: engines register over the first seconds, and a plan made too early
	// lacks whole chains.
	settleTime = 1500 * time.Millisecond
	// settleMost bounds the wait for engines that keep appearing.
	settleMost = 6 * time.Second
	// newcomerTime is how long an engine that appears later is left empty: a
	// replacement registers shortly before its predecessor leaves.
	newcomerTime = 1200 * time.Millisecond
	// gapTime is how long layers may be held by nobody before other engines are
	// moved there: an engine that restarts is back within some three seconds
	// and takes its own range again, at the price of one load instead of two.
	gapTime = 2 * time.Second
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

	mu       sync.Mutex
	plans    map[string]stored // by service
	pending  map[model.Incarnation]order
	appeared map[model.Incarnation]time.Time
	began    time.Time
	newest   time.Time            // when the last engine appeared
	loadEnds map[string]*loadEnds // by address
	// gapSince is since when some layer of a service is held by nobody.
	gapSince map[string]time.Time
	// holeSince is since when some failure domain lacks layers that its own engines
	// could hold.
	holeSince map[string]time.Time
	// holeLook is when they were last looked for.
	holeLook map[string]time.Time
}

// stored is a plan and the store's revision of it.
type stored struct {
	plan     Plan
	revision model.Revision
	// unsaved says that the store does not hold it, as it came back from an older copy.
	unsaved bool
}

// ObservePlan takes in a plan from the store.
func (c *Controller) ObservePlan(service string, value []byte, revision model.Revision) {
	plan, err := DecodePlan(value)
	if err != nil {
		klog.InfoS("stored plan cannot be read", "service", service, "revision", revision, "err", err)
		return
	}
	c.takeIn(service, stored{plan: plan, revision: revision})
}

func (c *Controller) init() {
	if c.plans == nil {
		c.plans = map[string]stored{}
		c.pending = map[model.Incarnation]order{}
		c.loadEnds = map[string]*loadEnds{}
		c.appeared = map[model.Incarnation]time.Time{}
		c.gapSince = map[string]time.Time{}
		c.holeSince = map[string]time.Time{}
		c.holeLook = map[string]time.Time{}
		c.began = c.Now()
		c.newest = c.began
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
	servers := c.engines(svc)
	token := c.FencingToken()
	if token == 0 {
		c.forgetHole(svc.Name)
		return
	}
	plan := c.plan(svc, servers)
	if plan == nil {
		return
	}
	if !c.persist(ctx, svc.Name, plan, token) {
		return
	}
	c.giveOrders(ctx, svc, servers, plan, token)
}

// engines lists the engines that can be placed and notes when each appeared.
func (c *Controller) engines(svc *model.Service) []*model.BackendServer {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.init()
	now := c.Now()
	var out []*model.BackendServer
	present := map[model.Incarnation]bool{}
	for _, b := range c.Catalog.Load().Service(svc.Name) {
		present[b.Incarnation()] = true
		if _, ok := svc.Engine.Card(b.Card); !ok {
			c.noteOnce(b, now, "card is not listed")
			continue
		}
		if b.Holds.To > svc.Engine.Layers {
			c.noteOnce(b, now, "holds layers outside of the model")
		}
		c.noteOnce(b, now, "")
		out = append(out, b)
	}
	for inc := range c.appeared {
		if !present[inc] {
			delete(c.appeared, inc)
			c.endedLoading(c.pending[inc])
			delete(c.pending, inc)
		}
	}
	return out
}

func (c *Controller) noteOnce(b *model.BackendServer, now time.Time, why string) {
	if _, ok := c.appeared[b.Incarnation()]; ok {
		return
	}
	c.appeared[b.Incarnation()] = now
	c.newest = now
	if why != "" {
		klog.InfoS("engine entry is malformed", "server", b.Incarnation(), "why", why, "card", b.Card, "holds", b.Holds.String())
	}
}

// plan gives the plan to carry out; nil while it is too early for one.
func (c *Controller) plan(svc *model.Service, servers []*model.BackendServer) Plan {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.Now()
	old := c.plans[svc.Name]
	fresh := !c.HasTraffic()
	if old.plan == nil || fresh && unplanned(old.plan, c.engineList(svc, servers, now, 0)) {
		quiet := now.Sub(c.newest)
		if len(servers) == 0 || quiet < settleTime && now.Sub(c.began) < settleMost {
			return old.plan
		}
		if old.plan == nil && !fresh {
			return PlanFromHeldLayers(svc.Engine, c.engineList(svc, servers, now, 0), servers)
		}
		return BuildPlan(svc.Engine, c.engineList(svc, servers, now, 0))
	}
	settled := c.engineList(svc, c.withoutLost(servers), now, newcomerTime)
	next := old.plan
	if unplanned(next, settled) {
		next, _ = Extend(svc.Engine, next, settled)
	}
	if !c.gapLasts(svc, next, settled, now) {
		return c.mend(svc, next, settled, now)
	}
	repaired, changed := Repair(svc.Engine, next, settled)
	if changed {
		klog.InfoS("plan repaired: layers were held by nobody", "service", svc.Name, "layers", UncoveredLayers(svc.Engine, next, settled))
		delete(c.gapSince, svc.Name)
	}
	return repaired
}

// unplanned tells whether some engine has no range.
func unplanned(plan Plan, engines []Engine) bool {
	for _, e := range engines {
		if _, ok := plan[e.Address]; !ok {
			return true
		}
	}
	return false
}

// engineList gives the planner's view of engines that have been there a while.
func (c *Controller) engineList(svc *model.Service, servers []*model.BackendServer, now time.Time, age time.Duration) []Engine {
	var out []Engine
	for _, b := range servers {
		if now.Sub(c.appeared[b.Incarnation()]) < age {
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
	if old.plan != nil && same(old.plan, plan) && !old.unsaved {
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
	return c.takeIn(service, stored{plan: plan, revision: revision})
}

// takeIn keeps a plan unless a newer one is known, and tells whether it is the one
// that is known now. The store's answer may come after the watch has shown what the
// next leader stored; taken for newer by the order of arrival, the older plan would
// be extended and stored again when this process leads once more.
func (c *Controller) takeIn(service string, p stored) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.init()
	old := c.plans[service]
	switch {
	case old.unsaved && old.revision.Era() < p.revision.Era() && !same(old.plan, p.plan):
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
		p.unsaved = true
		c.plans[service] = p
	}
}

func same(a, b Plan) bool {
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
