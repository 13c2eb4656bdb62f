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

// The store is restored from a copy with an older plan or none. The current plan stays and
// is stored again. No engine moves back, which would cost two loads.
func TestCurrentPlanSurvivesAStoreRestore(t *testing.T) {
	for name, inCopy := range map[string]bool{"an older plan": true, "no plan": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newTestCluster(t)
				all := mixedEngines()
				s.add(all)
				early := s.store.Snapshot()
				s.run(12 * time.Second)
				s.traffic.Store(true)
				before := s.totalOrders()
				current := s.c.plans["s"].plan
				if inCopy {
					s.store.Restore(early)
					older := Plan{}
					for addr := range current {
						older[addr] = model.LayerRange{To: 1}
					}
					raw, err := json.Marshal(older)
					assert.NilError(t, err)
					s.store.Put(leader.PlanPrefix+"s", raw)
					early = s.store.Snapshot()
				}
				s.store.Restore(early)
				s.c.HandleStoreRestore()
				if it, err := s.store.Get(context.Background(), leader.PlanPrefix+"s"); err == nil {
					s.c.ObservePlan("s", it.Value, it.Revision)
				}
				s.token.Store(int64(s.store.Put(leader.Key, []byte(`{}`))))
				s.run(5 * time.Second)
				assert.Assert(t, equalPlans(s.c.plans["s"].plan, current))
				assert.Equal(t, s.totalOrders(), before, "no engine is moved")
				it, err := s.store.Get(context.Background(), leader.PlanPrefix+"s")
				assert.NilError(t, err)
				stored, err := DecodePlan(it.Value)
				assert.NilError(t, err)
				assert.Assert(t, equalPlans(stored, current), "the current plan is stored again")
			})
		})
	}
}
