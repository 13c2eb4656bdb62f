package placement

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/skylarkwood/skylarkwood/internal/coordination/leader"
	"github.com/skylarkwood/skylarkwood/internal/model"
)

// domainCluster is a cluster of weak failure domains behind limited interconnects, whose
// engines load as long as their added layers take.
type domainCluster struct {
	*testCluster
	loads   int // begun
	sent    int // orders
	refuse  map[string]OrderResult
	late    map[string]time.Duration // delay of orders, by address
	busy    map[string]bool          // by ID
	used    map[string]float64       // token memory, by ID, which the engine reports
	running int
	missing map[string]time.Duration // by domain and layer, as long as it lasts
	longest map[string]time.Duration
	added   map[string]int // layers loaded, by address
}

const controlTick = 200 * time.Millisecond

func domainSpec(mbps float64) *model.EngineSpec {
	spec := weakSpec()
	spec.LoadTime = 14400 * time.Millisecond
	spec.ConcurrentLoads = 4
	spec.InterconnectMbps = mbps
	return spec
}

// singleEngines returns three failure domains in which each layer has one holder, with
// memory for four more layers, and the plan.
func singleEngines() ([]Engine, Plan) {
	var all []Engine
	plan := Plan{}
	for _, domain := range []string{"a", "b", "c"} {
		for i := range 12 {
			e := Engine{Address: fmt.Sprintf("%s%02d", domain, i), Domain: domain, Card: weakSpec().Cards[1]}
			all = append(all, e)
			plan[e.Address] = model.LayerRange{From: 7 * i, To: min(7*i+7, 80)}
		}
	}
	return all, plan
}

// newDomainCluster returns a loaded cluster of singleEngines with traffic.
func newDomainCluster(t *testing.T, mbps float64) *domainCluster {
	s := &domainCluster{testCluster: newTestCluster(t), refuse: map[string]OrderResult{}, late: map[string]time.Duration{},
		longest: map[string]time.Duration{}, missing: map[string]time.Duration{}, busy: map[string]bool{}, used: map[string]float64{}, added: map[string]int{}}
	s.publishConfig(domainSpec(mbps))
	s.c.Engines = s
	s.c.StreamCount = func(model.Incarnation) float64 { return 9 }
	all, plan := singleEngines()
	for _, e := range all {
		s.register(e.Address, e.Address, e.Domain, e.Card.Name, plan[e.Address])
	}
	s.observePlan(plan)
	s.traffic.Store(true)
	s.run(5 * time.Second)
	assert.Equal(t, s.sent, 0)
	return s
}

func (s *domainCluster) Report(ctx context.Context, b *model.BackendServer) (model.EngineReport, error) {
	report, err := s.testCluster.Report(ctx, b)
	s.mu.Lock()
	defer s.mu.Unlock()
	report.Busy, report.UsedTokenLayers = s.busy[b.ID], s.used[b.ID]
	return report, err
}

func (s *domainCluster) Place(_ context.Context, b *model.BackendServer, held model.LayerRange, fence, expected int64) (OrderResult, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sent++
	card, _ := s.spec.Card(b.Card)
	assert.Check(s.t, held.Len() <= MaxLayers(s.spec, card), "%s ordered to hold %s", b.ID, held)
	if fence < s.fenced {
		return OrderFenced, fmt.Errorf("fenced")
	}
	if result, ok := s.refuse[b.Address]; ok {
		return result, fmt.Errorf("refused")
	}
	if s.busy[b.ID] {
		return OrderRefused, fmt.Errorf("busy")
	}
	begin := func() {
		if s.orders[b.ID] != expected || s.busy[b.ID] {
			return // a newer order has begun
		}
		s.orders[b.ID]++
		s.busy[b.ID] = true
		s.loads++
		s.running++
		added := addedLayers(held, s.holds[b.ID])
		s.added[b.Address] += added
		contention := max(float64(s.running)/float64(s.spec.ConcurrentLoads), 1)
		born := s.born[b.ID]
		time.AfterFunc(time.Duration(contention*float64(loadTime(s.spec, added))), func() {
			s.mu.Lock()
			s.running--
			if s.born[b.ID] == born {
				s.busy[b.ID] = false
			}
			ended := s.born[b.ID] != born || s.catalog.Load().ByID(b.ID) == nil
			s.mu.Unlock()
			if !ended {
				s.register(b.ID, b.Address, b.FailureDomain, b.Card, held)
			}
		})
	}
	if d := s.late[b.Address]; d > 0 {
		time.AfterFunc(d, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			begin()
		})
		return OrderUnknown, context.DeadlineExceeded
	}
	begin()
	return OrderAccepted, nil
}

// observePlan stores a plan, which the controller observes.
func (s *domainCluster) observePlan(plan Plan) {
	raw := encodePlan(s.t, plan)
	s.c.ObservePlan("s", raw, s.store.Put(leader.PlanPrefix+"s", raw))
}

// run ticks for a period of virtual time and records how long domains lack layers.
func (s *domainCluster) run(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(controlTick) {
		s.c.Tick(context.Background())
		synctest.Wait()
		lacking := s.incomplete()
		for _, domain := range []string{"a", "b", "c"} {
			for l := range s.spec.Layers {
				key := fmt.Sprintf("%s layer %d", domain, l)
				if !slices.Contains(lacking[domain], l) {
					delete(s.missing, key)
					continue
				}
				s.missing[key] += controlTick
				s.longest[key] = max(s.longest[key], s.missing[key])
			}
		}
	}
}

// incomplete returns the layers that failure domains with engines lack.
func (s *domainCluster) incomplete() map[string][]int {
	held := map[string]Plan{}
	engines := map[string][]Engine{}
	for _, b := range s.catalog.Load().Service("s") {
		if held[b.FailureDomain] == nil {
			held[b.FailureDomain] = Plan{}
		}
		held[b.FailureDomain][b.Address] = b.Holds
		engines[b.FailureDomain] = append(engines[b.FailureDomain], Engine{Address: b.Address})
	}
	out := map[string][]int{}
	for domain, plan := range held {
		if gaps := UncoveredLayers(s.spec, plan, engines[domain]); len(gaps) > 0 {
			out[domain] = gaps
		}
	}
	return out
}

// drain marks an engine as leaving.
func (s *domainCluster) drain(id string) {
	b := *s.catalog.Load().ByID(id)
	s.mu.Lock()
	s.revision++
	b.Revision = s.revision
	s.mu.Unlock()
	b.Draining = true
	s.catalog.Put(b)
}

// replace starts a replacement of an engine, which leaves a second later.
func (s *domainCluster) replace(e Engine) {
	s.register("new-"+e.Address, "new-"+e.Address, e.Domain, e.Card.Name, model.LayerRange{})
	time.AfterFunc(time.Second, func() { s.drain(e.Address) })
	time.AfterFunc(3*time.Second, func() { s.remove(e.Address) })
}
