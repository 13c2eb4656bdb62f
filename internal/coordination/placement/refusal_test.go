package placement

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/skylarkwood/skylarkwood/internal/model"
)

// An engine refuses an order. It is not repeated until the engine has changed.
func TestRefusedOrderIsNotRepeatedUnchanged(t *testing.T) {
	runCluster(t, func(t *testing.T, s *domainCluster) {
		s.refuse["a03"] = OrderRefused
		s.register("a03", "a03", "a", "large", model.LayerRange{})
		s.run(6 * time.Second)
		assert.Equal(t, s.sent, 1+s.loads, "only extensions were sent after the refusal")
		delete(s.refuse, "a03")
		s.mu.Lock()
		s.orders["a03"] = 1 // the engine began and lost another order
		s.mu.Unlock()
		s.run(4 * time.Second)
		assert.Equal(t, s.held("a03"), model.LayerRange{From: 21, To: 28})
	})
}

// An engine refuses its order for minutes. Orders that were not carried out must not count as
// ordinary loads, or they admit further extensions.
func TestRefusedOrdersDoNotCountAsLoads(t *testing.T) {
	runCluster(t, func(t *testing.T, s *domainCluster) {
		s.refuse["a03"] = OrderRefused
		s.register("a03", "a03", "a", "large", model.LayerRange{})
		s.run(2 * time.Minute)
		assert.Assert(t, s.sent > s.loads+10)
		assert.Equal(t, s.c.ordinaryLoads+s.c.extraLoads, s.loads)
	})
}

// The answer to an order arrives after the engine has left. Its refusal must not be kept.
func TestRefusalOfADepartedEngineIsNotKept(t *testing.T) {
	runCluster(t, func(t *testing.T, s *domainCluster) {
		b := s.catalog.Load().ByID("a03")
		s.remove("a03")
		s.run(time.Second)
		svc := s.c.Config.Load().Service("s")
		s.c.recordRefusal(svc, b, model.LayerRange{To: 7}, model.EngineReport{}, false)
		s.c.delayOrder(b.Incarnation(), model.LayerRange{To: 7}, orderRetryDelay)
		s.run(time.Second)
		_, ok := s.c.pending[b.Incarnation()]
		assert.Assert(t, !ok)
		assert.Equal(t, len(s.c.refusals), 0)
	})
}

// An engine leaves before its extension was ordered, and another one takes its range. The
// extension must not count against further ones.
func TestExtensionOfADepartedEngineIsNotCounted(t *testing.T) {
	runCluster(t, func(t *testing.T, s *domainCluster) {
		before := s.plan()
		after := clonePlan(before)
		s.c.extraPlanned["a03"] = model.LayerRange{From: 21, To: 30}
		s.c.extraPlanned["a05"] = after["a05"]
		delete(after, "a03")
		s.observePlan(after)
		s.c.logChanges("s", before, after)
		assert.DeepEqual(t, s.c.extraPlanned, map[string]model.LayerRange{"a05": after["a05"]})
	})
}

// Another process responds at an engine's address. No further order goes there until the
// engine's entry is written again.
func TestMisdirectedOrderWaitsForAnEntry(t *testing.T) {
	runCluster(t, func(t *testing.T, s *domainCluster) {
		s.refuse["a03"] = OrderMisdirected
		s.register("a03", "a03", "a", "large", model.LayerRange{})
		s.run(20 * time.Second)
		assert.Equal(t, s.sent, 1+s.loads)
		delete(s.refuse, "a03")
		s.remove("a03")
		s.register("other", "a03", "a", "large", model.LayerRange{})
		s.run(4 * time.Second)
		assert.Equal(t, s.held("other"), model.LayerRange{From: 21, To: 28})
	})
}
