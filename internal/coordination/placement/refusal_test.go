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
