package placement

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/skylarkwood/skylarkwood/internal/model"
)

// slowEngines delays each order and counts how many are in flight.
type slowEngines struct {
	*testCluster
	mu          sync.Mutex
	inFlight    int
	maxInFlight int
}

func (e *slowEngines) Place(ctx context.Context, b *model.BackendServer, held model.LayerRange, fence, expected int64) (OrderResult, error) {
	e.mu.Lock()
	e.inFlight++
	e.maxInFlight = max(e.maxInFlight, e.inFlight)
	e.mu.Unlock()
	time.Sleep(10 * time.Millisecond)
	e.mu.Lock()
	e.inFlight--
	e.mu.Unlock()
	return e.testCluster.Place(ctx, b, held, fence, expected)
}

// A thousand engines start together. The leader orders all of them within seconds over a
// bounded number of connections, which bounds its memory.
func TestOrdersUseABoundedNumberOfConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const engines = 1000
		s := newTestCluster(t)
		slow := &slowEngines{testCluster: s}
		s.c.Engines = slow
		var all []Engine
		for i := range engines {
			card := testSpec().Cards[i%len(testSpec().Cards)]
			all = append(all, Engine{Address: fmt.Sprintf("e%d", i), Domain: fmt.Sprintf("d%d", i%8), Card: card})
		}
		s.add(all)
		s.run(settleDelay + 3*time.Second)
		assert.Assert(t, slow.maxInFlight <= maxConcurrentOrders, "%d at once", slow.maxInFlight)
		want := BuildPlan(s.spec, all)
		for _, e := range all {
			assert.Equal(t, s.held(e.Address), want[e.Address], e.Address)
		}
	})
}
