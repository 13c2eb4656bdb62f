package placement

import (
	"context"
	"errors"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/skylarkwood/skylarkwood/internal/model"
	"github.com/skylarkwood/skylarkwood/internal/platform"
	"github.com/skylarkwood/skylarkwood/platform/standin"
)

// runCluster runs a test on a loaded cluster with limited interconnects.
func runCluster(t *testing.T, test func(t *testing.T, s *domainCluster)) {
	synctest.Test(t, func(t *testing.T) { test(t, newDomainCluster(t, 2160)) })
}

// checkWhole checks that no domain lacks layers now, and that none lacked one for longer than
// maxMissing and the time that a tick takes to notice it.
func (s *domainCluster) checkWhole() {
	s.t.Helper()
	assert.Equal(s.t, len(s.incomplete()), 0, "%v", s.incomplete())
	for layer, d := range s.longest {
		assert.Check(s.t, d <= maxMissing+controlTick, "domain %s was missing for %v", layer, d)
	}
}

func (s *domainCluster) plan() Plan { return clonePlan(s.c.lastPlan("s")) }

// Half of the engines are replaced, one each 0.85 s, and new engines that wait for
// newEngineDelay leave their domains without layers. Each replacement costs one load.
func TestRollingReplacementKeepsDomainsWhole(t *testing.T) {
	runCluster(t, func(t *testing.T, s *domainCluster) {
		all, _ := singleEngines()
		for i := 0; i < len(all); i += 2 {
			s.replace(all[i])
			s.run(850 * time.Millisecond)
		}
		s.run(6 * time.Second)
		s.checkWhole()
		assert.Assert(t, s.loads <= len(all)/2*5/4, "%d loads for %d replacements", s.loads, len(all)/2)
		assert.Assert(t, s.sent <= len(all)/2*5/4, "%d orders for %d replacements", s.sent, len(all)/2)
	})
}

// Two engines of a domain, or two of different domains, are lost at once, those with the
// first and last layers included. Waiting for replacements or moves leaves gaps for
// seconds.
func TestTwoLossesAtOnceAreCoveredByExtension(t *testing.T) {
	for name, lost := range map[string][]string{"one domain": {"a03", "a07"}, "two domains": {"a03", "b05"}, "ends": {"a11", "b11"}} {
		t.Run(name, func(t *testing.T) {
			runCluster(t, func(t *testing.T, s *domainCluster) {
				for _, addr := range lost {
					s.remove(addr)
				}
				s.run(8 * time.Second)
				s.checkWhole()
				assert.Assert(t, s.loads <= 4, "%d loads", s.loads)
				assert.Equal(t, s.sent, s.loads, "orders are not repeated")
			})
		})
	}
}

// Adjacent engines are lost, and their neighbors have no memory for all of the layers. A
// new engine takes a part at once, and the rest is covered by extension.
func TestNewEngineAndExtensionCoverAdjacentLosses(t *testing.T) {
	runCluster(t, func(t *testing.T, s *domainCluster) {
		s.remove("a03")
		s.remove("a04")
		s.run(time.Second)
		assert.Equal(t, s.sent, 0, "an extension over a part of the layers is of no use")
		s.register("new", "new", "a", "large", model.LayerRange{})
		s.run(4 * time.Second)
		assert.Equal(t, len(s.incomplete()), 0, "%v", s.incomplete())
	})
}

// Engines are removed without replacement while others are replaced.
func TestRemovalsDuringReplacement(t *testing.T) {
	runCluster(t, func(t *testing.T, s *domainCluster) {
		all, _ := singleEngines()
		for i := 0; i < len(all); i += 2 {
			s.replace(all[i])
			if i%8 == 0 {
				s.remove(all[i+3].Address)
			}
			s.run(850 * time.Millisecond)
		}
		s.run(20 * time.Second)
		assert.Equal(t, len(s.incomplete()), 0, "%v", s.incomplete())
		for addr, n := range s.added {
			assert.Check(t, n <= 18, "%s loaded %d layers", addr, n)
		}
	})
}

// An engine restarts empty at its address. It loads its own range again, which takes no
// longer than maxMissing, so no other engine is extended.
func TestRestartedEngineTakesItsOwnRange(t *testing.T) {
	runCluster(t, func(t *testing.T, s *domainCluster) {
		before := s.plan()
		s.mu.Lock()
		s.born["a03"]++
		s.orders["a03"] = 0
		s.mu.Unlock()
		s.register("a03", "a03", "a", "large", model.LayerRange{})
		s.run(4 * time.Second)
		s.checkWhole()
		assert.Equal(t, s.loads, 1)
		assert.Assert(t, equalPlans(before, s.plan()))
	})
}

// The leader is lost while extensions load. The next one knows only the stored plan and the
// held layers, and must not load anything twice.
func TestNextLeaderLoadsNothingTwice(t *testing.T) {
	runCluster(t, func(t *testing.T, s *domainCluster) {
		s.remove("a03")
		s.run(2 * controlTick)
		planned, loads := s.plan(), s.loads
		assert.Assert(t, loads > 0 && len(s.incomplete()) > 0, "the leader is lost while engines load")
		next := &Controller{Config: s.c.Config, Catalog: s.c.Catalog, Store: s.c.Store, Engines: s, Now: s.c.Now, FencingToken: s.c.FencingToken,
			OnFenced: s.c.OnFenced, HasTraffic: s.c.HasTraffic, StreamCount: s.c.StreamCount}
		next.ObservePlan("s", encodePlan(t, planned), s.c.plans["s"].revision)
		s.c = next
		s.run(8 * time.Second)
		s.checkWhole()
		assert.Equal(t, s.loads, loads)
		assert.Assert(t, equalPlans(planned, s.plan()))
	})
}

// The leader is lost while a restarted engine loads its range. The next leader has seen the
// domain complete before, and must not extend other engines over layers that load in time.
func TestNextLeaderExtendsNothingBesideALoadInProgress(t *testing.T) {
	runCluster(t, func(t *testing.T, s *domainCluster) {
		leads, token := false, s.c.FencingToken
		next := &Controller{Config: s.c.Config, Catalog: s.c.Catalog, Store: s.c.Store, Engines: s, Now: s.c.Now, OnFenced: s.c.OnFenced,
			HasTraffic: s.c.HasTraffic, StreamCount: s.c.StreamCount, FencingToken: func() model.Revision {
				if !leads {
					return 0
				}
				return token()
			}}
		planned := s.plan()
		next.ObservePlan("s", encodePlan(t, planned), s.c.plans["s"].revision)
		next.Tick(context.Background())
		s.mu.Lock()
		s.born["a03"]++
		s.orders["a03"] = 0
		s.mu.Unlock()
		s.register("a03", "a03", "a", "large", model.LayerRange{})
		next.Tick(context.Background())
		s.run(2 * controlTick)
		next.Tick(context.Background())
		assert.Equal(t, s.loads, 1)
		leads, s.c = true, next
		s.run(6 * time.Second)
		s.checkWhole()
		assert.Equal(t, s.loads, 1)
		assert.Assert(t, equalPlans(planned, s.plan()))
	})
}

// silentStore accepts no plan while silent is set.
type silentStore struct {
	*standin.Store
	silent bool
}

func (s *silentStore) Commit(ctx context.Context, txn platform.Txn) (model.Revision, error) {
	if s.silent {
		return 0, errors.New("no response")
	}
	return s.Store.Commit(ctx, txn)
}

// The store does not respond when a plan is to change. No order of an unstored plan may be
// sent, but the orders of the last plan continue.
func TestOrdersOfTheLastPlanContinueWhileTheStoreIsSilent(t *testing.T) {
	runCluster(t, func(t *testing.T, s *domainCluster) {
		store := &silentStore{Store: s.store, silent: true}
		s.c.Store = store
		before := s.plan()
		s.remove("a03")
		s.register("b05", "b05", "b", "large", model.LayerRange{}) // lost its layers
		s.run(4 * time.Second)
		assert.Assert(t, equalPlans(before, s.plan()))
		assert.Equal(t, s.loads, 1)
		assert.Equal(t, s.held("b05"), before["b05"])
		store.silent = false
		s.run(4 * time.Second)
		assert.Equal(t, len(s.incomplete()), 0)
	})
}

// An extension is ordered but carried out only seconds later. The order is repeated after
// its time-out, each engine loads once, and the plan stays.
func TestLateExtensionIsLoadedOnce(t *testing.T) {
	runCluster(t, func(t *testing.T, s *domainCluster) {
		for _, addr := range []string{"a02", "a04"} {
			s.late[addr] = 5 * time.Second
		}
		s.remove("a03")
		s.run(time.Second)
		planned := s.plan()
		s.run(15 * time.Second)
		assert.Equal(t, len(s.incomplete()), 0)
		assert.Equal(t, s.loads, 2)
		assert.Assert(t, equalPlans(planned, s.plan()))
	})
}

// All engines of a domain are lost, one after another as their entries expire. The plans of
// the other domains must not change, and no engine there gets an order.
func TestLostDomainChangesNoOtherPlan(t *testing.T) {
	runCluster(t, func(t *testing.T, s *domainCluster) {
		all, before := singleEngines()
		s.c.Unreachable = func(inc model.Incarnation) bool { return strings.HasPrefix(inc.ID, "c") }
		for _, e := range inDomain(all, "c") {
			s.remove(e.Address)
			s.run(controlTick)
		}
		s.run(15 * time.Second)
		for addr, held := range s.plan() {
			assert.Check(t, strings.HasPrefix(addr, "c") || held == before[addr], "%s: %s", addr, held)
		}
		for addr := range s.added {
			assert.Check(t, strings.HasPrefix(addr, "c"), "%s loaded", addr)
		}
	})
}

// The streams of an engine use more memory than the routers have reported so far. It must not be
// ordered to load layers into that memory. Once the memory is free, the order is sent.
func TestExtensionLeavesTheMemoryThatAnEngineReports(t *testing.T) {
	runCluster(t, func(t *testing.T, s *domainCluster) {
		card, _ := s.spec.Card("large")
		s.used["a02"] = 0.9 * tokenCapacity(s.spec, card, 7) * 7
		s.remove("a03")
		s.run(4 * time.Second)
		assert.Equal(t, s.held("a02"), model.LayerRange{From: 14, To: 21})
		s.mu.Lock()
		s.used["a02"] = 0
		s.mu.Unlock()
		s.run(4 * time.Second)
		assert.Equal(t, len(s.incomplete()), 0, "%v", s.incomplete())
	})
}

// Orders that give a domain its layers back must not wait behind loads that add a second
// holder.
func TestRestoringOrdersGoFirst(t *testing.T) {
	runCluster(t, func(t *testing.T, s *domainCluster) {
		plan := s.plan()
		for _, addr := range []string{"x0", "x1", "x2", "x3", "x4", "x5"} {
			s.register(addr, addr, "b", "large", model.LayerRange{})
			plan[addr] = model.LayerRange{From: 0, To: 11}
		}
		s.observePlan(plan)
		s.remove("c03")
		s.run(2 * controlTick)
		s.mu.Lock()
		defer s.mu.Unlock()
		assert.Assert(t, s.added["c02"] > 0 && s.added["c04"] > 0, "%v", s.added)
	})
}
