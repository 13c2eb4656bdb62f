package chains

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/skylarkwood/skylarkwood/internal/coordination/ratelimit"
	"github.com/skylarkwood/skylarkwood/internal/model"
)

func withLimits(f *fixture) *ratelimit.Tracker {
	t := ratelimit.New("self", func(model.Incarnation) []ratelimit.Router { return nil }, func() time.Duration { return time.Duration(f.now.UnixNano()) })
	f.chooser.Limits = t
	return t
}

// An engine's rate limit concerns the requests that it gets as a first stage. Streams must
// begin elsewhere, and may still pass through it.
func TestLimitedEngineIsNoFirstStage(t *testing.T) {
	f := twoDomains()
	limits := withLimits(f)
	limits.Observe(inc("a1"), 0, 0)
	limits.Observe(inc("a2"), 0, 0)
	stages, v := f.chooser.Choose(f.svc, Requirements{Domain: "a", Tokens: 1000})
	assert.Equal(t, v, Found)
	assert.Equal(t, stages[0].Server.ID, "b1")
	stages, v = f.chooser.Choose(f.svc, Requirements{Domain: "a", Tokens: 1000, Avoid: map[model.Incarnation]bool{inc("b2"): true}})
	assert.Equal(t, v, Found)
	covers(t, stages, model.LayerRange{To: 80})
	assert.Equal(t, stages[1].Server.ID, "a2")
}

// If only rate limits are in the way, the result must say so, since waiting for capacity
// does not help.
func TestChooseTellsRateLimitsFromLackOfCapacity(t *testing.T) {
	f := twoDomains()
	limits := withLimits(f)
	req := Requirements{Domain: "a", Tokens: 1000}
	limits.Observe(inc("a1"), 0, 0)
	limits.Observe(inc("b1"), 4, 0)
	_, v := f.chooser.Choose(f.svc, req)
	assert.Equal(t, v, RateLimited)
	assert.Equal(t, f.chooser.ExhaustedResource(f.svc, req), "rate limits")
	wait := f.chooser.LimitWait(f.svc, req)
	assert.Assert(t, wait > 0 && wait <= time.Second, "%v", wait)
	f.now = f.now.Add(wait)
	stages, v := f.chooser.Choose(f.svc, req)
	assert.Equal(t, v, Found)
	assert.Equal(t, stages[0].Server.ID, "b1")
	assert.Assert(t, limits.Take(inc("b1")))
	_, v = f.chooser.Choose(f.svc, req)
	assert.Equal(t, v, RateLimited)
	req.Avoid = map[model.Incarnation]bool{inc("a1"): true, inc("b1"): true}
	_, v = f.chooser.Choose(f.svc, req)
	assert.Equal(t, v, NoChain)
}
