package placement

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/skylarkwood/skylarkwood/internal/coordination/catalog"
	"github.com/skylarkwood/skylarkwood/internal/coordination/leader"
	"github.com/skylarkwood/skylarkwood/internal/coordination/routes"
	"github.com/skylarkwood/skylarkwood/internal/model"
	"github.com/skylarkwood/skylarkwood/internal/platform"
	"github.com/skylarkwood/skylarkwood/platform/standin"
)

// testCluster simulates engines that carry out the orders of a controller.
type testCluster struct {
	t       *testing.T
	c       *Controller
	spec    *model.EngineSpec
	catalog *catalog.Catalog
	store   *standin.Store
	token   atomic.Int64
	traffic atomic.Bool

	mu         sync.Mutex
	revision   model.Revision
	holds      map[string]model.LayerRange
	orders     map[string]int64
	born       map[string]int64 // by ID, 0 if not reported
	loading    int
	maxLoading int // the most loads at once
	fenced     int64
	result     OrderResult
	orderDelay time.Duration // delay of orders, which time out meanwhile
}

func newTestCluster(t *testing.T) *testCluster {
	s := &testCluster{t: t, store: standin.NewStore(), catalog: catalog.New(time.Now), holds: map[string]model.LayerRange{}, orders: map[string]int64{}, born: map[string]int64{}, result: OrderAccepted}
	sp := testSpec()
	sp.LoadTime = 14 * time.Second
	sp.ConcurrentLoads = 5
	s.token.Store(int64(s.store.Put(leader.Key, []byte(`{}`))))
	s.c = &Controller{
		Config: &routes.ActiveConfig{}, Catalog: s.catalog, Store: s.store, Engines: s, Now: time.Now,
		FencingToken: func() model.Revision { return model.Revision(s.token.Load()) },
		OnFenced:     func(model.Revision) { s.token.Store(0) },
		HasTraffic:   s.traffic.Load,
	}
	s.publishConfig(sp)
	return s
}

// publishConfig publishes a configuration with an engine spec.
func (s *testCluster) publishConfig(sp *model.EngineSpec) {
	s.spec = sp
	version := s.c.Config.Version() + 1
	s.c.Config.Apply(&model.RouteConfig{Version: version, Services: []model.Service{{Name: "s", Engine: sp}, {Name: "plain"}}}, nil, "")
}

func (s *testCluster) add(engines []Engine) {
	for _, e := range engines {
		s.register(e.Address, e.Address, e.Domain, e.Card.Name, model.LayerRange{})
	}
}

func (s *testCluster) register(id, addr, domain, card string, holds model.LayerRange) {
	s.mu.Lock()
	s.revision++
	rev := s.revision
	s.holds[id] = holds
	born := s.born[id]
	s.mu.Unlock()
	s.catalog.Put(model.BackendServer{ID: id, Born: born, Service: "s", Address: addr, FailureDomain: domain, Card: card, Holds: holds, Revision: rev})
}

func (s *testCluster) remove(id string) {
	s.mu.Lock()
	s.revision++
	rev := s.revision
	s.mu.Unlock()
	s.catalog.Remove(id, rev, 0)
}

func (s *testCluster) Report(_ context.Context, b *model.BackendServer) (model.EngineReport, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return model.EngineReport{Born: s.born[b.ID], Holds: s.holds[b.ID], OrderCount: s.orders[b.ID]}, nil
}

func (s *testCluster) Place(_ context.Context, b *model.BackendServer, held model.LayerRange, fence, expected int64) (OrderResult, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	card, _ := s.spec.Card(b.Card)
	assert.Check(s.t, float64(held.Len())*1750 <= card.MB, "%s ordered to hold %s", b.ID, held)
	if fence < s.fenced {
		return OrderFenced, fmt.Errorf("fenced")
	}
	if s.result != OrderAccepted {
		return s.result, nil
	}
	begin := func() {
		if s.orders[b.ID] != expected {
			return // a newer order has begun
		}
		s.orders[b.ID]++
		s.loading++
		s.maxLoading = max(s.maxLoading, s.loading)
		born := s.born[b.ID]
		time.AfterFunc(time.Second, func() { s.loaded(b, held, born) })
	}
	if s.orderDelay > 0 {
		time.AfterFunc(s.orderDelay, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			begin()
		})
		return OrderUnknown, context.DeadlineExceeded
	}
	begin()
	return OrderAccepted, nil
}

func (s *testCluster) loaded(b *model.BackendServer, held model.LayerRange, born int64) {
	s.mu.Lock()
	s.loading--
	ended := s.born[b.ID] != born
	s.mu.Unlock()
	if ended {
		return // the load ended with its process
	}
	s.register(b.ID, b.Address, b.FailureDomain, b.Card, held)
}

// run calls Tick for a period of virtual time.
func (s *testCluster) run(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		s.c.Tick(context.Background())
	}
	synctest.Wait()
}

func (s *testCluster) held(id string) model.LayerRange {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.holds[id]
}

func (s *testCluster) totalOrders() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	sum := int64(0)
	for _, n := range s.orders {
		sum += n
	}
	return sum
}

func TestControllerLoadsThePlan(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestCluster(t)
		all := mixedEngines()
		s.add(all)
		s.run(12 * time.Second)
		want := BuildPlan(testSpec(), all)
		for _, e := range all {
			assert.Equal(t, s.held(e.Address), want[e.Address], e.Address)
		}
		assert.Equal(t, s.totalOrders(), int64(len(all)), "each engine gets one order")
		var stored Plan
		it, err := s.store.Get(context.Background(), leader.PlanPrefix+"s")
		assert.NilError(t, err)
		assert.NilError(t, json.Unmarshal(it.Value, &stored))
		assert.Assert(t, equalPlans(stored, want))
	})
}

// Engines register over several seconds. A plan for the first of them would lack complete
// chains.
func TestControllerWaitsForEngines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestCluster(t)
		all := mixedEngines()
		for i := 0; i < len(all); i += 3 {
			s.add(all[i : i+3])
			s.run(time.Second / 10)
		}
		assert.Equal(t, s.totalOrders(), int64(0))
		s.run(12 * time.Second)
		assert.Equal(t, s.totalOrders(), int64(len(all)))
	})
}

// With traffic the number of concurrent loads is bounded, and the first loads form a
// complete chain.
func TestControllerLoadsChainsFirstUnderTraffic(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestCluster(t)
		s.traffic.Store(true)
		all := append(mixedEngines(), makeEngines("luka", "l4", 2)...)
		s.add(all)
		s.run(4 * time.Second)
		assert.Assert(t, s.maxLoading <= 5, "%d loads at once", s.maxLoading)
		counts := make([]int, 80)
		for _, e := range all {
			held := s.held(e.Address)
			for l := held.From; l < held.To; l++ {
				counts[l]++
			}
		}
		assert.Assert(t, minCount(counts) >= 1, "no complete chain is loaded: %v", counts)
	})
}

// An engine restarts empty, as a new incarnation at its address. It gets the same range
// again and no other engine is ordered.
func TestControllerReloadsARestartedEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestCluster(t)
		all := mixedEngines()
		s.add(all)
		s.run(12 * time.Second)
		s.traffic.Store(true)
		before := s.totalOrders()
		e := all[3]
		want := s.held(e.Address)
		s.remove(e.Address)
		s.register("again", e.Address, e.Domain, e.Card.Name, model.LayerRange{})
		s.run(4 * time.Second)
		assert.Equal(t, s.held("again"), want)
		assert.Equal(t, s.totalOrders(), before+1)
	})
}

// Orders time out and are carried out seconds later. The leader sends them again, but each
// engine loads only once.
func TestControllerSurvivesLateOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestCluster(t)
		s.orderDelay = 9 * time.Second
		all := mixedEngines()
		s.add(all)
		s.run(20 * time.Second)
		s.mu.Lock()
		s.orderDelay = 0
		s.mu.Unlock()
		s.run(40 * time.Second)
		want := BuildPlan(testSpec(), all)
		for _, e := range all {
			assert.Equal(t, s.held(e.Address), want[e.Address], e.Address)
			assert.Equal(t, s.orders[e.Address], int64(1), e.Address)
		}
	})
}

// Another leader was elected and its token is higher in the store. The old leader can no
// longer store a plan and sends no orders.
func TestControllerStopsWhenItNoLongerLeads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestCluster(t)
		s.store.Put(leader.Key, []byte(`{"instance":"other"}`))
		s.add(mixedEngines())
		s.run(12 * time.Second)
		assert.Equal(t, s.totalOrders(), int64(0))
	})
}

// An engine has seen a higher token. The leader resigns at once.
func TestControllerResignsWhenFenced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestCluster(t)
		s.fenced = s.token.Load() + 1
		s.add(mixedEngines())
		s.run(12 * time.Second)
		assert.Equal(t, s.token.Load(), int64(0))
		assert.Equal(t, s.totalOrders(), int64(0))
	})
}

// A new leader does not know the stored plan. It keeps the layers that engines hold
// instead of loading all again.
func TestControllerKeepsHeldLayersIfPlanIsUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestCluster(t)
		s.traffic.Store(true)
		all := mixedEngines()
		plan := BuildPlan(testSpec(), all)
		for i, e := range all {
			held := plan[e.Address]
			if i%7 == 0 {
				held = model.LayerRange{}
			}
			s.register(e.Address, e.Address, e.Domain, e.Card.Name, held)
		}
		s.run(20 * time.Second)
		for i, e := range all {
			if i%7 != 0 {
				assert.Equal(t, s.held(e.Address), plan[e.Address])
				assert.Equal(t, s.orders[e.Address], int64(0))
			} else {
				assert.Assert(t, s.held(e.Address).Len() > 0)
			}
		}
	})
}

// All engines that hold some layers have left and no replacement registers. An engine with
// a slow card whose layers others hold is moved, and few others load.
func TestControllerRepairsUncoveredLayers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestCluster(t)
		all := append(makeEngines("a", "a100", 3), makeEngines("a", "l4", 9)...)
		s.add(all)
		s.run(12 * time.Second)
		s.traffic.Store(true)
		before := s.totalOrders()
		lost := model.LayerRange{}
		for _, e := range all {
			if s.held(e.Address).Contains(model.LayerRange{From: 10, To: 11}) {
				s.remove(e.Address)
				lost = s.held(e.Address)
			}
		}
		assert.Assert(t, lost.Len() > 0)
		s.run(15 * time.Second)
		var live []Engine
		plan := Plan{}
		for _, e := range all {
			if s.catalog.Load().ByID(e.Address) != nil {
				live = append(live, e)
				plan[e.Address] = s.held(e.Address)
			}
		}
		assert.Equal(t, len(UncoveredLayers(testSpec(), plan, live)), 0)
		assert.Assert(t, s.totalOrders()-before <= 4, "%d orders", s.totalOrders()-before)
	})
}

// An entry with an unknown card and layers outside of the model gets no order and does not
// affect other engines.
func TestControllerIgnoresMalformedEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestCluster(t)
		all := mixedEngines()
		s.add(all)
		s.register("odd", "odd:1", "luka", "h900", model.LayerRange{From: 0, To: 999})
		s.run(12 * time.Second)
		assert.Equal(t, s.orders["odd"], int64(0))
		assert.Equal(t, s.totalOrders(), int64(len(all)))
	})
}

var _ platform.Store = (*standin.Store)(nil)
