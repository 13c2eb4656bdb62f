package placement

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/skylarkwood/skylarkwood/internal/model"
)

// restart starts an engine anew under its id: empty, its orders counted anew.
func (s *testCluster) restart(e Engine) {
	s.mu.Lock()
	s.born[e.Address]++
	s.orders[e.Address] = 0
	s.mu.Unlock()
	s.register(e.Address, e.Address, e.Domain, e.Card.Name, model.LayerRange{})
}

// newLoadedCluster has site's engines, which tell their starts, loaded and callers before
// them.
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

// An engine takes an order, crashes while it loads and is back under its id. What
// is awaited of the one before is nothing to the new one: it is ordered at once,
// and not when the load of the one before should have ended.
func TestReturnedEngineIsOrderedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, all := newLoadedCluster(t)
		e := all[3]
		want := s.held(e.Address)
		s.restart(e)
		s.run(400 * time.Millisecond) // it loads
		s.restart(e)
		s.run(1600 * time.Millisecond)
		assert.Equal(t, s.held(e.Address), want)
	})
}

// An order to an engine is lost on its way. The engine crashes and is back under
// its id, and seconds later the order is carried out by the new process, whose
// count it happens to fit. The layers are those of the plan; the order that the
// new process was given itself then no longer fits, and it loads once.
func TestOrderOfBeforeIsCarriedOutByTheNewProcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, all := newLoadedCluster(t)
		e := all[3]
		want := s.held(e.Address)
		s.mu.Lock()
		s.orderDelay = 5 * time.Second
		s.mu.Unlock()
		s.restart(e)
		s.run(time.Second) // ordered, unanswered
		s.restart(e)
		s.run(time.Second) // ordered again
		s.mu.Lock()
		s.orderDelay = 0
		s.mu.Unlock()
		s.run(20 * time.Second)
		assert.Equal(t, s.held(e.Address), want)
		assert.Equal(t, s.orders[e.Address], int64(1))
	})
}

// The same while the plan changes in between: the late order brings layers that
// the plan no longer wants there. The engine ends with those of the plan.
func TestLateOrderOfAnOlderPlan(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, all := newLoadedCluster(t)
		e := all[len(all)-1]
		s.mu.Lock()
		s.orderDelay = 6 * time.Second
		s.mu.Unlock()
		s.restart(e)
		s.run(time.Second) // ordered to hold what the plan has, unanswered
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
