package peers

import (
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/skylarkwood/skylarkwood/internal/coordination/limits"
	"github.com/skylarkwood/skylarkwood/internal/coordination/limits/limitstest"
	"github.com/skylarkwood/skylarkwood/internal/coordination/ratelimit"
	"github.com/skylarkwood/skylarkwood/internal/model"
	"github.com/skylarkwood/skylarkwood/internal/protocol/wire"
)

// withLimits gives a router limits whose shares depend on the routers that it knows.
func withLimits(x *Exchange) {
	start := time.Now()
	x.Revision = func() model.Revision { return 0 }
	x.RetryBorrower.Budget = limits.NewSharedRetryBudget(0, 1, time.Second, x.RouterCount, limitstest.Clock)
	x.Limits = ratelimit.New(x.Self, func(model.Incarnation) []ratelimit.Router {
		var out []ratelimit.Router
		for _, addr := range x.LiveRouters() {
			out = append(out, ratelimit.Router{Name: addr})
		}
		return out
	}, func() time.Duration { return time.Since(start) + time.Hour })
}

// The limits ask for the routers under their lock, and a heartbeat contains the limits. A
// heartbeat that asked for them under the lock of the routers could stop the process.
func TestHeartbeatsAndLimitsDoNotBlockEachOther(t *testing.T) {
	x, _ := newFetching(t, 1, 0)
	withLimits(x)
	server := model.Incarnation{ID: "i-1"}
	var working sync.WaitGroup
	for range 4 {
		working.Go(func() {
			for i := range 5000 {
				x.newHeartbeat()
				x.Limits.Observe(server, float64(1+i%9), time.Duration(i)*time.Hour)
				x.Limits.Take(server)
			}
		})
	}
	working.Wait()
}

// What a router knows of limits, and of their end, reaches its peers with the heartbeats, with its
// age.
func TestLimitsTravelInHeartbeats(t *testing.T) {
	x, _ := newFetching(t, 1, 0)
	withLimits(x)
	y, _ := newFetching(t, 1, 0)
	withLimits(y)
	server := model.Incarnation{ID: "i-1", Born: 7}
	for _, rate := range []float64{4.75, 9, ratelimit.Unlimited} {
		time.Sleep(5 * time.Millisecond) // ages are in milliseconds
		x.Limits.Observe(server, rate, 1000*time.Hour)
		b := x.newHeartbeat()
		b, err := wire.UnpackRouterHeartbeat(b.Pack())
		assert.NilError(t, err)
		y.mergeLimits("x", b.Limits)
		assert.DeepEqual(t, y.Limits.Rates(), x.Limits.Rates())
	}
	assert.Equal(t, len(y.Limits.Rates()), 0)
}
