package limits

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// An engine runs batches of 16. With few sessions a step takes its floor; with
// more than two batches' worth it grows in proportion. The limit settles where
// the batches are full and steps are not much slower, from wherever it starts.
func TestPaceFindsTheKnee(t *testing.T) {
	const batch, floor = 16, 20 * time.Millisecond
	now := time.Unix(0, 0)
	p := NewConcurrencyLimiter(batch, 1024, floor, func() time.Time { return now })
	active := 0
	for i := 0; i < 20000; i++ {
		active = p.Limit() // demand fills whatever is allowed
		queued := max(1, float64(active)/batch)
		now = now.Add(5 * time.Millisecond)
		p.RecordStep(time.Duration(queued*float64(floor)), active)
	}
	assert.Assert(t, active >= batch && active <= 4*batch, "limit %d", active)
}

// Whatever the steps take, the limit keeps within its ends.
func TestPaceKeepsItsEnds(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		now := time.Unix(0, 0)
		least := rapid.IntRange(1, 32).Draw(rt, "least")
		most := rapid.IntRange(1, 64).Draw(rt, "most")
		p := NewConcurrencyLimiter(least, most, time.Millisecond, func() time.Time { return now })
		for n := rapid.IntRange(0, 200).Draw(rt, "steps"); n > 0; n-- {
			now = now.Add(adjustEvery)
			p.RecordStep(time.Duration(rapid.IntRange(0, 100).Draw(rt, "ms"))*time.Millisecond, rapid.IntRange(0, 64).Draw(rt, "active"))
			assert.Assert(rt, p.Limit() >= min(least, most) && p.Limit() <= most)
		}
	})
}

// Four entries share a customer's rate without talking: together they let
// through the rate and the burst, and no more.
func TestRateIsSharedByEntries(t *testing.T) {
	const entries, perSecond, burst, seconds = 4, 40, 8, 10
	now := time.Unix(0, 0)
	allowed := 0
	for e := 0; e < entries; e++ {
		r := NewRateLimiter(func() int { return entries })
		at := now
		for i := 0; i < 1000*seconds; i++ {
			at = at.Add(time.Millisecond)
			if ok, wait := r.Allow("c", "s", perSecond, burst, at); ok {
				allowed++
			} else {
				assert.Assert(t, wait > 0, "a refusal says when to come back")
			}
		}
	}
	most := perSecond*seconds + burst + entries
	assert.Assert(t, allowed <= most && allowed >= most*9/10, "%d allowed, %d expected", allowed, most)
}

// Everything fails: retries end with the budget, so that the load grows by a
// tenth and not by as many times as each request would try again.
func TestRetryBudgetBoundsAmplification(t *testing.T) {
	b := NewRetryBudget()
	const requests = 1000
	retries := 0
	for i := 0; i < requests; i++ {
		b.RecordRequest()
		for b.Take() {
			retries++
		}
	}
	assert.Assert(t, retries <= requests/10+retryReserve, "%d retries", retries)
}
