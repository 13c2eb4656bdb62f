package chains

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/skylarkwood/skylarkwood/internal/coordination/pause"
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
	assert.Equal(t, v, Withheld)
	assert.Equal(t, f.chooser.ExhaustedResource(f.svc, req), "rate limits or pauses")
	wait, paused := f.chooser.WithheldWait(f.svc, req)
	assert.Equal(t, paused, time.Duration(0))
	assert.Assert(t, wait > 0 && wait <= time.Second, "%v", wait)
	f.now = f.now.Add(wait)
	stages, v := f.chooser.Choose(f.svc, req)
	assert.Equal(t, v, Found)
	assert.Equal(t, stages[0].Server.ID, "b1")
	assert.Assert(t, limits.Take(inc("b1")))
	_, v = f.chooser.Choose(f.svc, req)
	assert.Equal(t, v, Withheld)
	req.Avoid = map[model.Incarnation]bool{inc("a1"): true, inc("b1"): true}
	_, v = f.chooser.Choose(f.svc, req)
	assert.Equal(t, v, NoChain)
}

func withPauses(f *fixture) *pause.Tracker {
	t := pause.New(func() time.Duration { return time.Duration(f.now.UnixNano()) })
	f.chooser.Pauses = t
	return t
}

// An engine that asked for a pause must not get work at any stage, and the result must say
// when the first chain is possible again.
func TestPausedEngineIsInNoChain(t *testing.T) {
	f := twoDomains()
	pauses := withPauses(f)
	req := Requirements{Domain: "a", Tokens: 1000}
	pauses.Request(inc("a1"), 10*time.Second)
	pauses.Request(inc("a2"), 4*time.Second)
	stages, v := f.chooser.Choose(f.svc, req)
	assert.Equal(t, v, Found)
	for _, s := range stages {
		assert.Assert(t, s.Server.ID != "a1" && s.Server.ID != "a2")
	}
	pauses.Request(inc("b2"), 8*time.Second)
	_, v = f.chooser.Choose(f.svc, req)
	assert.Equal(t, v, Withheld)
	wait, paused := f.chooser.WithheldWait(f.svc, req)
	assert.Equal(t, wait, paused)
	assert.Assert(t, wait >= 4*time.Second && wait <= 5*time.Second, "%v", wait)
	f.now = f.now.Add(wait)
	stages, v = f.chooser.Choose(f.svc, req)
	assert.Equal(t, v, Found)
	covers(t, stages, model.LayerRange{To: 80})
}

// A running stream is not moved to an engine that asked for a pause, and stays at one that it
// uses already.
func TestStreamIsNotMovedToAPausedEngine(t *testing.T) {
	f := twoDomains()
	pauses := withPauses(f)
	stages, v := f.chooser.Choose(f.svc, Requirements{Domain: "a", Tokens: 1000})
	assert.Equal(t, v, Found)
	assert.Equal(t, stages[0].Server.ID, "a1")
	pauses.Request(inc("a1"), 10*time.Second)
	lost := map[model.Incarnation]bool{inc("a2"): true}
	next := f.chooser.Replace(f.svc, stages, lost, 1000, 0)
	covers(t, next, model.LayerRange{To: 80})
	pauses.Request(inc("b2"), 10*time.Second)
	assert.Assert(t, f.chooser.Replace(f.svc, stages, lost, 1000, 0) == nil)
}

// A router of a large service considers a subset of the engines. All of those asked for a pause,
// and requests were refused although other engines were free.
func TestEnginesOutsideTheSubsetReplacePausedOnes(t *testing.T) {
	f := newFixture()
	for i := range minEnginesForSubset {
		f.add(fmt.Sprint("e", i), "a", "a100", (i%2)*40, (i%2)*40+40)
	}
	pauses := withPauses(f)
	for _, b := range f.chooser.engines("s") {
		pauses.Request(b.Incarnation(), 3*time.Second)
	}
	req := Requirements{Domain: "a", Tokens: 1000}
	stages, v := f.chooser.Choose(f.svc, req)
	assert.Equal(t, v, Found)
	covers(t, stages, model.LayerRange{To: 80})
	for i := range minEnginesForSubset {
		pauses.Request(inc(fmt.Sprint("e", i)), time.Second)
	}
	_, v = f.chooser.Choose(f.svc, req)
	assert.Equal(t, v, Withheld)
	wait, _ := f.chooser.WithheldWait(f.svc, req)
	assert.Check(t, wait >= time.Second && wait < 2*time.Second, "%v", wait)
}
