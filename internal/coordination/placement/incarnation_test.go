package placement

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/skylarkwood/skylarkwood/internal/model"
)

// restart simulates a restart of an engine under its ID: it is empty and has begun no
// orders.
func (s *testCluster) restart(e Engine) {
	s.mu.Lock()
	s.born[e.Address]++
	s.orders[e.Address] = 0
	s.mu.Unlock()
	s.register(e.Address, e.Address, e.Domain, e.Card.Name, model.LayerRange{})
}

// newLoadedCluster returns a loaded cluster with traffic whose engines report their start
// time.
func newLoadedCluster(t *testing.T) (*testCluster, []Engine) {
	s := newTestCluster(t)
	all := mixedEngines()
	for _, e := range all {
		s.born[e.Address] = 100
	}
	s.add(all)
	s.run(12 * time.Second)
	s.traffic.Store(true)
	return s, all
}

// An engine crashes while it loads and restarts under its ID. The pending order of the
// previous process must not delay the next one.
func TestRestartedEngineIsOrderedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, all := newLoadedCluster(t)
		e := all[3]
		want := s.held(e.Address)
		s.restart(e)
		s.run(400 * time.Millisecond) // the engine is loading
		s.restart(e)
		s.run(1600 * time.Millisecond)
		assert.Equal(t, s.held(e.Address), want)
	})
}

// An order to an engine that crashed is carried out late by its next process. The order
// that this process got itself is then rejected, so it loads once.
func TestLateOrderToPreviousProcessIsLoadedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, all := newLoadedCluster(t)
		e := all[3]
		want := s.held(e.Address)
		s.mu.Lock()
		s.orderDelay = 5 * time.Second
		s.mu.Unlock()
		s.restart(e)
		s.run(time.Second) // the order times out
		s.restart(e)
		s.run(time.Second) // a second order is sent
		s.mu.Lock()
		s.orderDelay = 0
		s.mu.Unlock()
		s.run(20 * time.Second)
		assert.Equal(t, s.held(e.Address), want)
		assert.Equal(t, s.orders[e.Address], int64(1))
	})
}

// A late order brings layers that the plan no longer assigns to the engine. The engine
// must end up with those of the plan.
func TestLateOrderFromAReplacedPlanIsCorrected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, all := newLoadedCluster(t)
		e := all[len(all)-1]
		s.mu.Lock()
		s.orderDelay = 6 * time.Second
		s.mu.Unlock()
		s.restart(e)
		s.run(time.Second) // the order times out
		s.mu.Lock()
		s.orderDelay = 0
		s.mu.Unlock()
		s.c.mu.Lock()
		next := clonePlan(s.c.plans["s"].plan)
		want := model.LayerRange{From: 0, To: next[e.Address].Len()}
		next[e.Address] = want
		s.c.plans["s"] = storedPlan{plan: next, revision: s.c.plans["s"].revision}
		s.c.mu.Unlock()
		s.restart(e)
		s.run(30 * time.Second)
		assert.Equal(t, s.held(e.Address), want)
	})
}
