package placement

import (
	"context"
	"sort"
	"time"

	"k8s.io/klog/v2"

	"github.com/skylarkwood/skylarkwood/internal/model"
)

const (
	// loadSlack is added to the time a load should take before the order is
	// taken for lost and given again.
	loadSlack = 3 * time.Second
	// ordersAtOnce bounds the engines that are asked and ordered at one moment: each is
	// a connection with its buffers, some 20 KB, and where thousands of engines start
	// the leader would have one to each. In 10 ms an order they are all given within a
	// second.
	ordersAtOnce = 64
	// refusedPause is how long an engine that refused an order is left alone.
	refusedPause = time.Second
)

// OrderResult is what became of an order.
type OrderResult int

// Results of an order. Unknown may be carried out, also later.
const (
	OrderUnknown OrderResult = iota
	OrderAccepted
	OrderRefused
	OrderFenced // a higher fencing token was seen
)

// EngineClient gives orders to engines and reads their reports.
type EngineClient interface {
	Report(ctx context.Context, b *model.BackendServer) (model.EngineReport, error)
	// Place orders an engine to hold a range, if expected orders were begun.
	Place(ctx context.Context, b *model.BackendServer, held model.LayerRange, fence, expected int64) (OrderResult, error)
}

type order struct {
	address string
	want    model.LayerRange
	until   time.Time // given up then
	given   bool      // the engine may carry it out
}

// giveOrders orders what differs from the plan: whole chains of fast cards
// first, so that requests are served before all loads are done, and no more at
// once than load without slowing each other down, once there is traffic.
func (c *Controller) giveOrders(ctx context.Context, svc *model.Service, servers []*model.BackendServer, plan Plan, token model.Revision) {
	due := make(chan *model.BackendServer, len(servers))
	for _, b := range c.due(svc, servers, plan) {
		due <- b
	}
	close(due)
	for range min(len(due), ordersAtOnce) {
		go func() {
			for b := range due {
				c.place(ctx, svc, b, plan[b.Address], token)
			}
		}()
	}
}

func (c *Controller) due(svc *model.Service, servers []*model.BackendServer, plan Plan) []*model.BackendServer {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.Now()
	most := len(servers)
	if c.HasTraffic() {
		most = svc.Engine.ConcurrentLoads
	}
	loading := 0
	var due []*model.BackendServer
	for _, b := range servers {
		want, ok := plan[b.Address]
		if !ok || want == b.Holds {
			c.carriedOut(b)
			delete(c.pending, b.Incarnation())
			continue
		}
		if !c.mayLoad(b.Address, want) {
			continue
		}
		if p, ok := c.pending[b.Incarnation()]; ok && now.Before(p.until) {
			loading++
			continue
		}
		card, _ := svc.Engine.Card(b.Card)
		if want.Len() > MaxLayers(svc.Engine, card) {
			klog.InfoS("order withheld: more layers than memory", "server", b.Incarnation(), "card", b.Card, "layers", want.String())
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
		crowd := max(float64(len(due)+loading)/float64(svc.Engine.ConcurrentLoads), 1)
		takes := time.Duration(float64(svc.Engine.LoadTime) * share * crowd)
		c.pending[b.Incarnation()] = order{address: b.Address, want: want, until: now.Add(takes + loadSlack)}
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
			classEnds := i+1 == len(group) || group[i+1].Card.StepTimeFactor != e.Card.StepTimeFactor
			if classEnds && len(UncoveredLayers(spec, plan, group[:i+1])) == 0 {
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

// place gives one order. The report before it tells the number of orders that
// the engine has begun: an order that arrives late, after a newer one, then no
// longer fits.
func (c *Controller) place(ctx context.Context, svc *model.Service, b *model.BackendServer, want model.LayerRange, token model.Revision) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	report, err := c.Engines.Report(ctx, b)
	if err != nil {
		klog.InfoS("no report before an order", "server", b.Incarnation(), "err", err)
		c.pause(b.Incarnation(), want, refusedPause)
		return
	}
	if report.Holds == want {
		c.Catalog.SetHolds(b.Incarnation(), want)
		return
	}
	if report.Busy {
		c.pause(b.Incarnation(), want, refusedPause)
		return
	}
	if !c.stillWanted(svc.Name, b, want, token) {
		klog.InfoS("order not given: plan or leader changed meanwhile", "server", b.Incarnation(), "to", want.String(), "token", token)
		c.pause(b.Incarnation(), want, 0)
		return
	}
	result, err := c.Engines.Place(ctx, b, want, int64(token), report.OrderCount)
	klog.InfoS("order given", "server", b.Incarnation(), "address", b.Address, "card", b.Card, "from", b.Holds.String(), "to", want.String(),
		"token", token, "expected", report.OrderCount, "result", int(result), "err", err)
	switch result {
	case OrderAccepted, OrderUnknown:
		c.noteGiven(b.Incarnation())
	case OrderFenced:
		c.OnFenced(token)
	case OrderRefused:
		c.pause(b.Incarnation(), want, refusedPause)
	}
}

// stillWanted tells whether this process still leads under a token, and the plan still
// has an engine hold these layers. Both may have changed while the engine's report was
// under way: the engine would load layers that it must give up again, and it refuses
// an older token only once it has seen a newer one.
func (c *Controller) stillWanted(service string, b *model.BackendServer, want model.LayerRange, token model.Revision) bool {
	if c.FencingToken() != token {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	planned, ok := c.plans[service].plan[b.Address]
	return ok && planned == want
}

// noteGiven notes that an engine may carry out the order that it was given.
func (c *Controller) noteGiven(inc model.Incarnation) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if o, ok := c.pending[inc]; ok {
		o.given = true
		c.pending[inc] = o
	}
}

func (c *Controller) pause(inc model.Incarnation, want model.LayerRange, d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending[inc] = order{want: want, until: c.Now().Add(d)} // not given
}
