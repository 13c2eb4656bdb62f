package placement

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/skylarkwood/skylarkwood/internal/model"
)

// Engines suspected for longer than suspicionDelay do not count as holders, but a short
// suspicion changes no plan.
func TestOnlyLastingSuspicionExtendsEngines(t *testing.T) {
	runCluster(t, func(t *testing.T, s *domainCluster) {
		suspected := true
		s.c.Suspected = func(inc model.Incarnation) bool { return suspected && inc.ID == "a11" }
		s.run(2 * controlTick)
		suspected = false
		s.run(time.Second)
		assert.Equal(t, s.sent, 0)
		suspected = true
		s.run(4 * time.Second)
		assert.Equal(t, s.held("a10").To, 80)
	})
}

// A deployment without an interconnect limit is planned as before: no extension, and new
// engines wait for newEngineDelay.
func TestOtherDeploymentsArePlannedAsBefore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newDomainCluster(t, 0)
		s.remove("a03")
		s.run(time.Second)
		s.register("new", "new", "a", "large", model.LayerRange{})
		s.run(newEngineDelay - controlTick)
		assert.Equal(t, s.sent, 0)
		s.run(3 * time.Second)
		assert.Equal(t, s.held("new"), model.LayerRange{From: 21, To: 28})
		assert.Equal(t, s.loads, 1)
	})
}

// There are two services with engines. The engines of one must not seem to be new, and their
// orders lost, each time the other one is planned.
func TestTwoEngineServicesKeepTheirState(t *testing.T) {
	runCluster(t, func(t *testing.T, s *domainCluster) {
		services := []model.Service{{Name: "s", Engine: s.spec}, {Name: "t", Engine: s.spec}}
		s.c.Config.Apply(&model.RouteConfig{Version: s.c.Config.Version() + 1, Services: services}, nil, "")
		s.catalog.Put(model.BackendServer{ID: "other", Service: "t", Address: "other", FailureDomain: "a", Card: "large", Revision: 1000})
		s.run(time.Second)
		s.register("new", "new", "a", "large", model.LayerRange{})
		s.run(6 * time.Second)
		assert.Assert(t, s.held("new").Len() > 0)
		assert.Equal(t, len(s.c.loadExits), 0)
	})
}

// The number of missing layers is reported for each domain until it holds all again.
func TestMissingLayersAreReported(t *testing.T) {
	runCluster(t, func(t *testing.T, s *domainCluster) {
		var seen []int
		s.c.OnMissingLayers = func(_, domain string, layers int) {
			if domain == "a" {
				seen = append(seen, layers)
			}
		}
		s.drain("a03")
		s.run(3 * time.Second)
		assert.Equal(t, slices.Max(seen), 7)
		assert.Equal(t, seen[len(seen)-1], 0)
	})
}

// A router that does not lead must not observe the failure domains with each tick, which takes
// milliseconds with thousands of engines, and must know missing layers when it begins to lead.
func TestStandbyObservesFailureDomainsOncePerSecond(t *testing.T) {
	runCluster(t, func(t *testing.T, s *domainCluster) {
		s.c.FencingToken = func() model.Revision { return 0 }
		observed, missing := 0, 0
		s.c.OnMissingLayers = func(_, domain string, n int) {
			if domain == "a" {
				observed++
				missing = n
			}
		}
		s.run(4 * time.Second)
		assert.Assert(t, observed >= 4 && observed <= 6, "%d observations", observed)
		s.remove("a03")
		s.run(2 * time.Second)
		assert.Equal(t, missing, 7)
	})
}
