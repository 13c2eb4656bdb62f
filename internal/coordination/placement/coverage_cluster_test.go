package placement

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/skylarkwood/skylarkwood/internal/model"
)

// domainCluster is a cluster of weak failure domains behind limited interconnects, whose
// engines load as long as their added layers take.
type domainCluster struct {
	*testCluster
	tick    time.Duration
	loads   int // after the start
	sent    int
	refuse  map[string]OrderResult
	late    map[string]time.Duration // delay of orders, by address
	running int
	longest map[string]time.Duration // the longest time without some layer, by domain
	missing map[string]time.Duration
	added   map[string]int // layers loaded, by address
}

func domainSpec(mbps float64) *model.EngineSpec {
	spec := weakSpec()
	spec.LoadTime = 14400 * time.Millisecond
	spec.ConcurrentLoads = 4
	spec.InterconnectMbps = mbps
	return spec
}

// newDomainCluster returns a loaded cluster with traffic.
func newDomainCluster(t *testing.T, mbps float64) *domainCluster {
	s := &domainCluster{testCluster: newTestCluster(t), tick: 200 * time.Millisecond, refuse: map[string]OrderResult{}, late: map[string]time.Duration{},
		longest: map[string]time.Duration{}, missing: map[string]time.Duration{}, added: map[string]int{}}
	s.publishConfig(domainSpec(mbps))
	s.c.Engines = s
	s.c.StreamCount = func(model.Incarnation) float64 { return 9 }
	s.add(weakEngines())
	s.run(60 * time.Second)
	s.traffic.Store(true)
	assert.Equal(t, len(s.incomplete()), 0)
	s.loads, s.sent = 0, 0
	clear(s.longest)
	clear(s.added)
	return s
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
	begin := func() {
		if s.orders[b.ID] != expected {
			return // a newer order has begun
		}
		s.orders[b.ID]++
		s.loads++
		s.running++
		added := addedLayers(held, s.holds[b.ID])
		s.added[b.Address] += added
		contention := max(float64(s.running)/float64(s.spec.ConcurrentLoads), 1)
		born := s.born[b.ID]
		time.AfterFunc(time.Duration(contention*float64(loadTime(s.spec, added))), func() {
			s.mu.Lock()
			s.running--
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

// run ticks for a period of virtual time and records how long domains lack layers.
func (s *domainCluster) run(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(s.tick) {
		s.c.Tick(context.Background())
		lacking := s.incomplete()
		for _, domain := range []string{"a", "b", "c"} {
			if _, ok := lacking[domain]; !ok {
				s.missing[domain] = 0
				continue
			}
			s.missing[domain] += s.tick
			s.longest[domain] = max(s.longest[domain], s.missing[domain])
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
