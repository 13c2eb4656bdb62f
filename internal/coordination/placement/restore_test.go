package placement

import (
	"context"
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/skylarkwood/skylarkwood/internal/coordination/leader"
	"github.com/skylarkwood/skylarkwood/internal/model"
)

// The store comes back from a copy in which the plan is an older one, or none. The plan in
// force stays, whoever leads writes it again, and no engine is moved back to what it held
// before: its layers would be lost to callers while it loads, twice.
func TestPlanInForceStaysOverARestore(t *testing.T) {
	for name, inCopy := range map[string]bool{"an older plan": true, "no plan": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newTestCluster(t)
				all := mixedEngines()
				s.add(all)
				early := s.store.Copy()
				s.run(12 * time.Second)
				s.traffic.Store(true)
				given := s.totalOrders()
				inForce := s.c.plans["s"].plan
				if inCopy {
					s.store.Restore(early)
					older := Plan{}
					for addr := range inForce {
						older[addr] = model.LayerRange{To: 1}
					}
					raw, err := json.Marshal(older)
					assert.NilError(t, err)
					s.store.Put(leader.PlanPrefix+"s", raw)
					early = s.store.Copy()
				}
				s.store.Restore(early)
				s.c.HandleStoreRestore()
				if it, err := s.store.Get(context.Background(), leader.PlanPrefix+"s"); err == nil {
					s.c.ObservePlan("s", it.Value, it.Revision)
				}
				s.token.Store(int64(s.store.Put(leader.Key, []byte(`{}`))))
				s.run(5 * time.Second)
				assert.Assert(t, equalPlans(s.c.plans["s"].plan, inForce))
				assert.Equal(t, s.totalOrders(), given, "nobody is moved")
				it, err := s.store.Get(context.Background(), leader.PlanPrefix+"s")
				assert.NilError(t, err)
				stored, err := DecodePlan(it.Value)
				assert.NilError(t, err)
				assert.Assert(t, equalPlans(stored, inForce), "it is written again")
			})
		})
	}
}
