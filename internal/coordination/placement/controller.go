package placement

import (
	"context"
	"encoding/json"
	"sort"
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
	// loadSlack is added to the time a load should take before the order is
	// taken for lost and given again.
	loadSlack = 3 * time.Second
	// refusedPause is how long an engine that refused an order is left alone.
	refusedPause = time.Second
)

// OrderResult is what became of an order.
type OrderResult int

// Results of an order. Unknown may be carried out, also later.
const (
	OrderUnknown OrderResult = iota
	OrderTaken
	OrderRefused
	OrderFenced // a higher fencing token was seen
)

// Engines gives orders to engines and reads their reports.
type Engines interface {
	Report(ctx context.Context, b *model.BackendServer) (model.EngineReport, error)
	// Place orders an engine to hold a range, if expected orders were begun.
	Place(ctx context.Context, b *model.BackendServer, held model.LayerRange, fence, expected int64) (OrderResult, error)
}

// Controller carries the plan out while this process leads.
type Controller struct {
	Config  *routes.Current
	Catalog *catalog.Catalog
	Store   platform.Store
	Engines Engines
	// Token is the fencing token; 0 while another process leads.
	Token func() int64
	// Fenced is told that an engine refused a token.
	Fenced func(token int64)
	// Traffic tells whether callers' requests were seen by any router.
	Traffic func() bool
	Now     func() time.Time

	mu       sync.Mutex
	plans    map[string]stored // by service
	pending  map[string]order  // by engine id
	appeared map[string]time.Time
	began    time.Time
	newest   time.Time // when the last engine appeared
	// gapSince is since when some layer of a service is held by nobody.
	gapSince map[string]time.Time
}

// stored is a plan and the store's revision of it.
type stored struct {
	plan     Plan
	revision int64
}

type order struct {
	want  model.LayerRange
	until time.Time // given up then
}

// SeenPlan takes in a plan from the store.
func (c *Controller) SeenPlan(service string, value []byte, revision int64) {
	var plan Plan
	if err := json.Unmarshal(value, &plan); err != nil {
		klog.InfoS("stored plan cannot be read", "service", service, "err", err)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.init()
	if c.plans[service].revision < revision {
		c.plans[service] = stored{plan: plan, revision: revision}
	}
}

func (c *Controller) init() {
	if c.plans == nil {
		c.plans = map[string]stored{}
		c.pending = map[string]order{}
		c.appeared = map[string]time.Time{}
		c.gapSince = map[string]time.Time{}
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
	token := c.Token()
	if token == 0 {
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
	present := map[string]bool{}
	for _, b := range c.Catalog.Load().Service(svc.Name) {
		present[b.ID] = true
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
	for id := range c.appeared {
		if !present[id] {
			delete(c.appeared, id)
			delete(c.pending, id)
		}
	}
	return out
}

func (c *Controller) noteOnce(b *model.BackendServer, now time.Time, why string) {
	if _, ok := c.appeared[b.ID]; ok {
		return
	}
	c.appeared[b.ID] = now
	c.newest = now
	if why != "" {
		klog.InfoS("engine entry is odd", "server", b.ID, "why", why, "card", b.Card, "holds", b.Holds.String())
	}
}

// plan gives the plan to carry out; nil while it is too early for one.
func (c *Controller) plan(svc *model.Service, servers []*model.BackendServer) Plan {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.Now()
	old := c.plans[svc.Name]
	fresh := !c.Traffic()
	if old.plan == nil || fresh && c.lacks(old.plan, servers) {
		quiet := now.Sub(c.newest)
		if len(servers) == 0 || quiet < settleTime && now.Sub(c.began) < settleMost {
			return old.plan
		}
		if old.plan == nil && !fresh {
			return Adopt(svc.Engine, c.engineList(svc, servers, now, 0), servers)
		}
		return Make(svc.Engine, c.engineList(svc, servers, now, 0))
	}
	settled := c.engineList(svc, servers, now, newcomerTime)
	next, _ := Extend(svc.Engine, old.plan, settled)
	if !c.gapLasts(svc, next, settled, now) {
		return next
	}
	repaired, changed := Repair(svc.Engine, next, settled)
	if changed {
		klog.InfoS("plan repaired: layers were held by nobody", "service", svc.Name, "layers", Uncovered(svc.Engine, next, settled))
		delete(c.gapSince, svc.Name)
	}
	return repaired
}

// gapLasts tells whether some layer has been held by nobody for a while.
func (c *Controller) gapLasts(svc *model.Service, plan Plan, engines []Engine, now time.Time) bool {
	if len(Uncovered(svc.Engine, plan, engines)) == 0 {
		delete(c.gapSince, svc.Name)
		return false
	}
	since, ok := c.gapSince[svc.Name]
	if !ok {
		c.gapSince[svc.Name] = now
		return false
	}
	return now.Sub(since) >= gapTime
}

// lacks tells whether an engine is not in the plan.
func (c *Controller) lacks(plan Plan, servers []*model.BackendServer) bool {
	for _, b := range servers {
		if _, ok := plan[b.Address]; !ok {
			return true
		}
	}
	return false
}

// engineList gives the planner's view of engines that have been there a while.
func (c *Controller) engineList(svc *model.Service, servers []*model.BackendServer, now time.Time, age time.Duration) []Engine {
	var out []Engine
	for _, b := range servers {
		if now.Sub(c.appeared[b.ID]) < age {
			continue
		}
		card, _ := svc.Engine.Card(b.Card)
		out = append(out, Engine{Address: b.Address, Domain: b.FailureDomain, Card: card})
	}
	return out
}

// persist stores a changed plan under the condition that this process still
// leads: the leadership key has the revision that is the token.
func (c *Controller) persist(ctx context.Context, service string, plan Plan, token int64) bool {
	c.mu.Lock()
	old := c.plans[service]
	c.mu.Unlock()
	if old.plan != nil && same(old.plan, plan) {
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
	c.mu.Lock()
	defer c.mu.Unlock()
	c.plans[service] = stored{plan: plan, revision: revision}
	return true
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

// giveOrders orders what differs from the plan: whole chains of fast cards
// first, so that requests are served before all loads are done, and no more at
// once than load without slowing each other down, once there is traffic.
func (c *Controller) giveOrders(ctx context.Context, svc *model.Service, servers []*model.BackendServer, plan Plan, token int64) {
	due := c.due(svc, servers, plan)
	for _, b := range due {
		want := plan[b.Address]
		go c.place(ctx, svc, b, want, token)
	}
}

func (c *Controller) due(svc *model.Service, servers []*model.BackendServer, plan Plan) []*model.BackendServer {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.Now()
	most := len(servers)
	if c.Traffic() {
		most = svc.Engine.LoadsAtOnce
	}
	loading := 0
	var due []*model.BackendServer
	for _, b := range servers {
		want, ok := plan[b.Address]
		if !ok || want == b.Holds {
			delete(c.pending, b.ID)
			continue
		}
		if p, ok := c.pending[b.ID]; ok && now.Before(p.until) {
			loading++
			continue
		}
		card, _ := svc.Engine.Card(b.Card)
		if want.Len() > MostLayers(svc.Engine, card) {
			klog.InfoS("order withheld: more layers than memory", "server", b.ID, "card", b.Card, "layers", want.String())
			continue
		}
		due = append(due, b)
	}
	first := firstWave(svc.Engine, plan, c.engineList(svc, servers, now, 0))
	sort.SliceStable(due, func(i, j int) bool { return before(svc.Engine, plan, first, due[i], due[j]) })
	due = due[:max(min(len(due), most-loading), 0)]
	for _, b := range due {
		want := plan[b.Address]
		share := float64(want.Len()) / float64(max(svc.Engine.Layers, 1))
		crowd := max(float64(len(due)+loading)/float64(svc.Engine.LoadsAtOnce), 1)
		takes := time.Duration(float64(svc.Engine.LoadTime) * share * crowd)
		c.pending[b.ID] = order{want: want, until: now.Add(takes + loadSlack)}
	}
	return due
}

// firstWave names the engines, by address, that make up the first whole chain of
// each failure domain: the fastest cards until every layer is held.
func firstWave(spec *model.EngineSpec, plan Plan, engines []Engine) map[string]bool {
	wave := map[string]bool{}
	for _, group := range byDomain(engines) {
		for i, e := range group {
			wave[e.Address] = true
			classEnds := i+1 == len(group) || group[i+1].Card.Pace != e.Card.Pace
			if classEnds && len(Uncovered(spec, plan, group[:i+1])) == 0 {
				break
			}
		}
	}
	return wave
}

// before orders engines for loading: first the first chains, one failure domain
// after the other, so that requests are served before all loads are done; then
// the rest by card, failure domain and layer.
func before(spec *model.EngineSpec, plan Plan, first map[string]bool, a, b *model.BackendServer) bool {
	if first[a.Address] != first[b.Address] {
		return first[a.Address]
	}
	ca, _ := spec.Card(a.Card)
	cb, _ := spec.Card(b.Card)
	if !first[a.Address] && ca.Pace != cb.Pace {
		return ca.Pace < cb.Pace
	}
	if a.FailureDomain != b.FailureDomain {
		return a.FailureDomain < b.FailureDomain
	}
	if ca.Pace != cb.Pace {
		return ca.Pace < cb.Pace
	}
	return plan[a.Address].From < plan[b.Address].From
}

// place gives one order. The report before it tells the number of orders that
// the engine has begun: an order that arrives late, after a newer one, then no
// longer fits.
func (c *Controller) place(ctx context.Context, svc *model.Service, b *model.BackendServer, want model.LayerRange, token int64) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	report, err := c.Engines.Report(ctx, b)
	if err != nil {
		klog.InfoS("no report before an order", "server", b.ID, "err", err)
		c.pause(b.ID, want, refusedPause)
		return
	}
	if report.Holds == want {
		c.Catalog.SetHolds(b.ID, want)
		return
	}
	if report.Busy {
		c.pause(b.ID, want, refusedPause)
		return
	}
	result, err := c.Engines.Place(ctx, b, want, token, report.Orders)
	klog.InfoS("order given", "server", b.ID, "address", b.Address, "card", b.Card, "from", b.Holds.String(), "to", want.String(),
		"token", token, "expected", report.Orders, "result", int(result), "err", err)
	switch result {
	case OrderFenced:
		c.Fenced(token)
	case OrderRefused:
		c.pause(b.ID, want, refusedPause)
	}
}

func (c *Controller) pause(id string, want model.LayerRange, d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending[id] = order{want: want, until: c.Now().Add(d)}
}

// Adopt makes a plan of what engines hold already, where the stored plan is
// not known; empty engines are then added as newcomers.
func Adopt(spec *model.EngineSpec, engines []Engine, servers []*model.BackendServer) Plan {
	plan := Plan{}
	for _, b := range servers {
		if b.Holds.Len() > 0 {
			plan[b.Address] = b.Holds
		}
	}
	if len(plan) == 0 {
		return Make(spec, engines)
	}
	next, _ := Extend(spec, plan, engines)
	return next
}
