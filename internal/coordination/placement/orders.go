package placement

import (
	"context"
	"sort"
	"time"

	"k8s.io/klog/v2"

	"github.com/skylarkwood/skylarkwood/internal/model"
)

const (
	// loadMargin is added to the expected load time before an order counts as lost and is
	// sent again.
	loadMargin = 3 * time.Second
	// maxConcurrentOrders bounds the engines that are contacted at once. Each takes a
	// connection with its buffers, which matters when thousands of engines start together.
	// A connection takes some 20 KB.
	maxConcurrentOrders = 64
	// orderRetryDelay is the delay before the next order to an engine that refused one,
	// did not respond, or was busy.
	orderRetryDelay = time.Second
)

// OrderResult is the outcome of an order.
type OrderResult int

// Results of an order. An order with result OrderUnknown may still be carried out later.
const (
	OrderUnknown OrderResult = iota
	OrderAccepted
	OrderRefused
	OrderFenced      // the engine has seen a higher fencing token
	OrderNotSent     // the engine was not reached
	OrderMisdirected // another process responded at the engine's address
)

// EngineClient sends orders to engines and reads their reports.
type EngineClient interface {
	Report(ctx context.Context, b *model.BackendServer) (model.EngineReport, error)
	// Place orders an engine to hold a range. The engine accepts it only if it has begun
	// expected orders since its start and has seen no higher fencing token than fence.
	Place(ctx context.Context, b *model.BackendServer, held model.LayerRange, fence, expected int64) (OrderResult, error)
}

// order is the last order to an engine, or a delay before the next one if it was not sent.
type order struct {
	address  string
	want     model.LayerRange
	deadline time.Time // no further order is sent earlier
	sent     bool      // the engine may carry out the order
	// readyAt is when the engine is expected to hold the range, zero if unknown.
	readyAt time.Time
	// delayOnly is set if no order is in progress and the next one is only delayed. The engine
	// is not known to load then.
	delayOnly bool
}

// sendOrders orders engines to load the layers in which they differ from the plan.
// Complete chains of fast cards come first, so that requests are served before all loads
// are done. Once there is traffic, no more loads run at once than do not slow each other
// down.
func (c *Controller) sendOrders(ctx context.Context, svc *model.Service, servers []*model.BackendServer, plan Plan, token model.Revision) {
	due := make(chan *model.BackendServer, len(servers))
	for _, b := range c.dueOrders(svc, servers, plan) {
		due <- b
	}
	close(due)
	for range min(len(due), maxConcurrentOrders) {
		go func() {
			for b := range due {
				c.sendOrder(ctx, svc, b, plan[b.Address], token)
			}
		}()
	}
}

// dueOrders returns the engines to order now, and records the orders as pending.
func (c *Controller) dueOrders(svc *model.Service, servers []*model.BackendServer, plan Plan) []*model.BackendServer {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.Now()
	maxLoads := len(servers)
	if c.HasTraffic() {
		maxLoads = svc.Engine.ConcurrentLoads
	}
	loading := 0
	alone := c.servesAlone(svc)
	var due []*model.BackendServer
	for _, b := range servers {
		want, ok := plan[b.Address]
		if !ok || want == b.Holds {
			c.clearLoadExits(b)
			delete(c.pending, b.Incarnation())
			delete(c.refusals, b.Incarnation())
			continue
		}
		if c.withheld(b, want) {
			continue
		}
		if p, ok := c.pending[b.Incarnation()]; ok && now.Before(p.deadline) && !(alone && p.superseded(b, want)) {
			if !alone || !p.delayOnly {
				loading++
			}
			continue
		}
		card, _ := svc.Engine.Card(b.Card)
		if want.Len() > MaxLayers(svc.Engine, card) {
			klog.InfoS("order withheld: planned layers exceed the memory of the card", "server", b.Incarnation(), "card", b.Card, "layers", want.String())
			continue
		}
		due = append(due, b)
	}
	first := firstChains(svc.Engine, plan, c.plannerEngines(svc, servers, now, 0))
	sort.SliceStable(due, func(i, j int) bool { return loadsBefore(svc.Engine, plan, first, due[i], due[j]) })
	if alone {
		c.sortRestoringFirst(svc, servers, due, plan)
	}
	due = due[:max(min(len(due), maxLoads-loading), 0)]
	for _, b := range due {
		c.pending[b.Incarnation()] = newOrder(svc.Engine, b, plan[b.Address], len(due)+loading, now)
	}
	return due
}

// newOrder returns the order to hold a range, which is to be sent while a number of loads run.
// Its deadline allows for a load of the whole range.
func newOrder(spec *model.EngineSpec, b *model.BackendServer, want model.LayerRange, loads int, now time.Time) order {
	share := float64(want.Len()) / float64(max(spec.Layers, 1))
	contention := max(float64(loads)/float64(spec.ConcurrentLoads), 1)
	duration := time.Duration(float64(spec.LoadTime) * share * contention)
	o := order{address: b.Address, want: want, deadline: now.Add(duration + loadMargin)}
	if extends(want, b.Holds) {
		o.readyAt = now.Add(time.Duration(float64(loadTime(spec, addedLayers(want, b.Holds))) * contention))
	}
	return o
}

// superseded reports whether an engine has carried out the order and is now to hold another
// range.
func (o order) superseded(b *model.BackendServer, want model.LayerRange) bool {
	return o.sent && o.want == b.Holds && o.want != want
}

// sortRestoringFirst moves the orders that give failure domains their missing layers back to
// the front, those with the fewest layers to load first.
func (c *Controller) sortRestoringFirst(svc *model.Service, servers, due []*model.BackendServer, plan Plan) {
	restoring := c.restoringEngines(svc, servers, plan)
	sort.SliceStable(due, func(i, j int) bool {
		a, b := due[i], due[j]
		if restoring[a.Address] != restoring[b.Address] {
			return restoring[a.Address]
		}
		return restoring[a.Address] && addedLayers(plan[a.Address], a.Holds) < addedLayers(plan[b.Address], b.Holds)
	})
}

// firstChains returns the engines, by address, that form the first chain of each failure
// domain: those with the fastest cards until every layer is held.
func firstChains(spec *model.EngineSpec, plan Plan, engines []Engine) map[string]bool {
	members := map[string]bool{}
	for _, group := range groupByDomain(engines) {
		for i, e := range group {
			members[e.Address] = true
			classEnds := i+1 == len(group) || group[i+1].Card.StepTimeFactor != e.Card.StepTimeFactor
			if classEnds && len(UncoveredLayers(spec, plan, group[:i+1])) == 0 {
				break
			}
		}
	}
	return members
}

// loadsBefore reports whether a loads before b. The first chains come first, one failure
// domain after another, then the remaining engines by card, failure domain and layer.
func loadsBefore(spec *model.EngineSpec, plan Plan, first map[string]bool, a, b *model.BackendServer) bool {
	if first[a.Address] != first[b.Address] {
		return first[a.Address]
	}
	ca, _ := spec.Card(a.Card)
	cb, _ := spec.Card(b.Card)
	if !first[a.Address] && ca.StepTimeFactor != cb.StepTimeFactor {
		return ca.StepTimeFactor < cb.StepTimeFactor
	}
	if a.FailureDomain != b.FailureDomain {
		return a.FailureDomain < b.FailureDomain
	}
	if ca.StepTimeFactor != cb.StepTimeFactor {
		return ca.StepTimeFactor < cb.StepTimeFactor
	}
	return plan[a.Address].From < plan[b.Address].From
}

// sendOrder sends one order. It first reads the number of orders that the engine has begun
// from the engine's report, so that the engine rejects an order that arrives after a newer
// one.
func (c *Controller) sendOrder(ctx context.Context, svc *model.Service, b *model.BackendServer, want model.LayerRange, token model.Revision) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	report, err := c.Engines.Report(ctx, b)
	if err != nil {
		klog.InfoS("failed to read engine report before an order", "server", b.Incarnation(), "err", err)
		c.delayOrder(b.Incarnation(), want, orderRetryDelay)
		return
	}
	if report.Holds == want {
		c.Catalog.SetHolds(b.Incarnation(), want)
		return
	}
	if report.Busy {
		c.delayBusy(svc, b, want)
		return
	}
	if !c.mayRepeat(b, want, report) || !c.leavesUsedMemory(svc, b, want, report) {
		c.delayOrder(b.Incarnation(), want, orderRetryDelay)
		return
	}
	if !c.stillValid(svc.Name, b, want, token) {
		klog.InfoS("order dropped: plan or leader changed before it was sent", "server", b.Incarnation(), "to", want.String(), "token", token)
		c.delayOrder(b.Incarnation(), want, 0)
		return
	}
	result, err := c.Engines.Place(ctx, b, want, int64(token), report.OrderCount)
	klog.InfoS("order sent", "server", b.Incarnation(), "address", b.Address, "card", b.Card, "from", b.Holds.String(), "to", want.String(),
		"token", token, "expected", report.OrderCount, "result", int(result), "err", err)
	switch result {
	case OrderAccepted, OrderUnknown:
		c.markSent(svc, b, want)
	case OrderFenced:
		c.OnFenced(token)
	case OrderRefused, OrderMisdirected:
		c.recordRefusal(svc, b, want, report, result == OrderMisdirected)
		c.delayOrder(b.Incarnation(), want, orderRetryDelay)
	case OrderNotSent:
		c.delayOrder(b.Incarnation(), want, orderRetryDelay)
	}
}

// stillValid reports whether this process still leads under the token and the plan still
// assigns these layers to the engine. Either may change while the engine's report is read.
// An engine rejects an older token only after it has seen a newer one.
func (c *Controller) stillValid(service string, b *model.BackendServer, want model.LayerRange, token model.Revision) bool {
	if c.FencingToken() != token {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	planned, ok := c.plans[service].plan[b.Address]
	return ok && planned == want
}

// markSent records that the engine may carry out its pending order.
func (c *Controller) markSent(svc *model.Service, b *model.BackendServer, want model.LayerRange) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if o, ok := c.pending[b.Incarnation()]; ok {
		o.sent = true
		c.pending[b.Incarnation()] = o
	}
	if c.servesAlone(svc) {
		c.countLoad(svc.Name, b, want)
	}
}

func (c *Controller) delayOrder(inc model.Incarnation, want model.LayerRange, d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending[inc] = order{want: want, deadline: c.Now().Add(d), delayOnly: true}
}

// delayBusy delays the next order to an engine that is carrying out another one. That is
// probably the previous leader's order for the same range, so the engine is expected to hold
// the range after the usual time.
func (c *Controller) delayBusy(svc *model.Service, b *model.BackendServer, want model.LayerRange) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.Now()
	o := order{want: want, deadline: now.Add(orderRetryDelay)} // not sent
	if extends(want, b.Holds) {
		o.readyAt = now.Add(loadTime(svc.Engine, addedLayers(want, b.Holds)))
	}
	c.pending[b.Incarnation()] = o
}
