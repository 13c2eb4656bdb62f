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

// shop is engines that carry out orders, with a controller before them.
type shop struct {
	t       *testing.T
	c       *Controller
	spec    *model.EngineSpec
	catalog *catalog.Catalog
	store   *standin.Store
	token   atomic.Int64
	traffic atomic.Bool

	mu       sync.Mutex
	revision model.Revision
	holds    map[string]model.LayerRange
	orders   map[string]int64
	born     map[string]int64 // by id; 0 where it was not told
	loading  int
	most     int // loads at once
	fenced   int64
	result   OrderResult
	late     time.Duration // orders are carried out so much later, unanswered
}

func newShop(t *testing.T) *shop {
	s := &shop{t: t, store: standin.NewStore(), catalog: catalog.New(time.Now), holds: map[string]model.LayerRange{}, orders: map[string]int64{}, born: map[string]int64{}, result: OrderAccepted}
	sp := spec()
	sp.LoadTime = 14 * time.Second
	sp.ConcurrentLoads = 5
	s.token.Store(int64(s.store.Put(leader.Key, []byte(`{}`))))
	s.c = &Controller{
		Config: &routes.ActiveConfig{}, Catalog: s.catalog, Store: s.store, Engines: s, Now: time.Now,
		FencingToken: func() model.Revision { return model.Revision(s.token.Load()) },
		OnFenced:     func(model.Revision) { s.token.Store(0) },
		HasTraffic:   s.traffic.Load,
	}
	s.config(sp)
	return s
}

// config publishes a configuration with these engines.
func (s *shop) config(sp *model.EngineSpec) {
	s.spec = sp
	version := s.c.Config.Version() + 1
	s.c.Config.Apply(&model.RouteConfig{Version: version, Services: []model.Service{{Name: "s", Engine: sp}, {Name: "plain"}}}, nil)
}

func (s *shop) add(engines []Engine) {
	for _, e := range engines {
		s.register(e.Address, e.Address, e.Domain, e.Card.Name, model.LayerRange{})
	}
}

func (s *shop) register(id, addr, domain, card string, holds model.LayerRange) {
	s.mu.Lock()
	s.revision++
	rev := s.revision
	s.holds[id] = holds
	born := s.born[id]
	s.mu.Unlock()
	s.catalog.Put(model.BackendServer{ID: id, Born: born, Service: "s", Address: addr, FailureDomain: domain, Card: card, Holds: holds, Revision: rev})
}

func (s *shop) remove(id string) {
	s.mu.Lock()
	s.revision++
	rev := s.revision
	s.mu.Unlock()
	s.catalog.Remove(id, rev, 0)
}

func (s *shop) Report(_ context.Context, b *model.BackendServer) (model.EngineReport, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return model.EngineReport{Born: s.born[b.ID], Holds: s.holds[b.ID], OrderCount: s.orders[b.ID]}, nil
}

func (s *shop) Place(_ context.Context, b *model.BackendServer, held model.LayerRange, fence, expected int64) (OrderResult, error) {
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
			return // an order that comes too late no longer fits
		}
		s.orders[b.ID]++
		s.loading++
		s.most = max(s.most, s.loading)
		born := s.born[b.ID]
		time.AfterFunc(time.Second, func() { s.loaded(b, held, born) })
	}
	if s.late > 0 {
		time.AfterFunc(s.late, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			begin()
		})
		return OrderUnknown, context.DeadlineExceeded
	}
	begin()
	return OrderAccepted, nil
}

func (s *shop) loaded(b *model.BackendServer, held model.LayerRange, born int64) {
	s.mu.Lock()
	s.loading--
	ended := s.born[b.ID] != born
	s.mu.Unlock()
	if ended {
		return // with it the load
	}
	s.register(b.ID, b.Address, b.FailureDomain, b.Card, held)
}

// run ticks for a while of virtual time.
func (s *shop) run(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		s.c.Tick(context.Background())
	}
	synctest.Wait()
}

func (s *shop) held(id string) model.LayerRange {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.holds[id]
}

func (s *shop) ordersGiven() int64 {
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
		s := newShop(t)
		all := site()
		s.add(all)
		s.run(12 * time.Second)
		want := BuildPlan(spec(), all)
		for _, e := range all {
			assert.Equal(t, s.held(e.Address), want[e.Address], e.Address)
		}
		assert.Equal(t, s.ordersGiven(), int64(len(all)), "each engine is ordered once")
		var stored Plan
		it, err := s.store.Get(context.Background(), leader.PlanPrefix+"s")
		assert.NilError(t, err)
		assert.NilError(t, json.Unmarshal(it.Value, &stored))
		assert.Assert(t, same(stored, want))
	})
}

// Engines register over some seconds. A plan made of the first of them would
// lack whole chains, so it waits until no more come.
func TestControllerWaitsForEngines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newShop(t)
		all := site()
		for i := 0; i < len(all); i += 3 {
			s.add(all[i : i+3])
			s.run(time.Second / 10)
		}
		assert.Equal(t, s.ordersGiven(), int64(0))
		s.run(12 * time.Second)
		assert.Equal(t, s.ordersGiven(), int64(len(all)))
	})
}

// With traffic no more loads run at once than do not slow each other down, and
// the first to be loaded make up a whole chain.
func TestControllerLoadsChainsFirstUnderTraffic(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newShop(t)
		s.traffic.Store(true)
		all := append(site(), engines("luka", "l4", 2)...)
		s.add(all)
		s.run(4 * time.Second)
		assert.Assert(t, s.most <= 5, "%d loads at once", s.most)
		counts := make([]int, 80)
		for _, e := range all {
			held := s.held(e.Address)
			for l := held.From; l < held.To; l++ {
				counts[l]++
			}
		}
		assert.Assert(t, least(counts) >= 1, "no whole chain yet: %v", counts)
	})
}

// An engine restarts: a new incarnation at its address, empty. It gets the same
// range again, and nobody else is ordered.
func TestControllerLoadsARestartedEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newShop(t)
		all := site()
		s.add(all)
		s.run(12 * time.Second)
		s.traffic.Store(true)
		before := s.ordersGiven()
		e := all[3]
		want := s.held(e.Address)
		s.remove(e.Address)
		s.register("again", e.Address, e.Domain, e.Card.Name, model.LayerRange{})
		s.run(4 * time.Second)
		assert.Equal(t, s.held("again"), want)
		assert.Equal(t, s.ordersGiven(), before+1)
	})
}

// Orders get no answer and are carried out seconds later. The leader gives them
// again; the late ones then no longer fit, so that each engine loads once.
func TestControllerSurvivesLateOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newShop(t)
		s.late = 9 * time.Second
		all := site()
		s.add(all)
		s.run(20 * time.Second)
		s.mu.Lock()
		s.late = 0
		s.mu.Unlock()
		s.run(40 * time.Second)
		want := BuildPlan(spec(), all)
		for _, e := range all {
			assert.Equal(t, s.held(e.Address), want[e.Address], e.Address)
			assert.Equal(t, s.orders[e.Address], int64(1), e.Address)
		}
	})
}

// Another leader was elected. Its token is higher at the store: the old leader
// can no longer store a plan, and gives no orders without one.
func TestControllerStopsWhenItNoLongerLeads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newShop(t)
		s.store.Put(leader.Key, []byte(`{"instance":"other"}`))
		s.add(site())
		s.run(12 * time.Second)
		assert.Equal(t, s.ordersGiven(), int64(0))
	})
}

// An engine has seen a higher token. The leader resigns at once.
func TestControllerResignsWhenFenced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newShop(t)
		s.fenced = s.token.Load() + 1
		s.add(site())
		s.run(12 * time.Second)
		assert.Equal(t, s.token.Load(), int64(0))
		assert.Equal(t, s.ordersGiven(), int64(0))
	})
}

// A leader takes over while the stored plan is not known. It goes on with what
// engines hold instead of loading everything anew.
func TestControllerAdoptsWhatEnginesHold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newShop(t)
		s.traffic.Store(true)
		all := site()
		plan := BuildPlan(spec(), all)
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

// Both engines that hold some layers are gone for good and nobody comes. For a
// while no token is made anywhere; then a slow card whose layers others hold as
// well is moved there, and nothing else is loaded.
func TestControllerRepairsAGap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newShop(t)
		all := append(engines("a", "a100", 3), engines("a", "l4", 9)...)
		s.add(all)
		s.run(12 * time.Second)
		s.traffic.Store(true)
		before := s.ordersGiven()
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
		assert.Equal(t, len(UncoveredLayers(spec(), plan, live)), 0)
		assert.Assert(t, s.ordersGiven()-before <= 4, "%d orders", s.ordersGiven()-before)
	})
}

// Entries with an unknown card, or layers outside of the model, are not counted
// on, and disturb nobody else.
func TestControllerPassesOverOddEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newShop(t)
		all := site()
		s.add(all)
		s.register("odd", "odd:1", "luka", "h900", model.LayerRange{From: 0, To: 999})
		s.run(12 * time.Second)
		assert.Equal(t, s.orders["odd"], int64(0))
		assert.Equal(t, s.ordersGiven(), int64(len(all)))
	})
}

var _ platform.Store = (*standin.Store)(nil)
