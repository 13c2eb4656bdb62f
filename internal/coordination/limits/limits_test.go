package limits

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Steps take a constant time up to two batches of 16 sessions and grow in proportion
// beyond. The limit must settle where batches are full and steps are not much slower.
func TestConcurrencyLimitSettlesAtFullBatches(t *testing.T) {
	const batch, unloadedStep = 16, 20 * time.Millisecond
	now := time.Unix(0, 0)
	limiter := NewConcurrencyLimiter(batch, 1024, unloadedStep, func() time.Time { return now })
	active := 0
	for i := 0; i < 20000; i++ {
		active = limiter.Limit() // demand always reaches the limit
		ratio := max(1, float64(active)/batch)
		now = now.Add(5 * time.Millisecond)
		limiter.RecordStep(time.Duration(ratio*float64(unloadedStep)), active)
	}
	assert.Assert(t, active >= batch && active <= 4*batch, "limit %d", active)
}

// The limit stays within its bounds for any step durations.
func TestConcurrencyLimitStaysWithinBounds(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		now := time.Unix(0, 0)
		minLimit := rapid.IntRange(1, 32).Draw(rt, "least")
		maxLimit := rapid.IntRange(1, 64).Draw(rt, "most")
		limiter := NewConcurrencyLimiter(minLimit, maxLimit, time.Millisecond, func() time.Time { return now })
		for n := rapid.IntRange(0, 200).Draw(rt, "steps"); n > 0; n-- {
			now = now.Add(adjustInterval)
			limiter.RecordStep(time.Duration(rapid.IntRange(0, 100).Draw(rt, "ms"))*time.Millisecond, rapid.IntRange(0, 64).Draw(rt, "active"))
			assert.Assert(rt, limiter.Limit() >= min(minLimit, maxLimit) && limiter.Limit() <= maxLimit)
		}
	})
}

// Four entries share a customer's rate without communication. Together they must allow
// the rate and the burst, and no more.
func TestEntriesTogetherAllowTheRate(t *testing.T) {
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
				assert.Assert(t, wait > 0, "a refusal has a delay")
			}
		}
	}
	limit := perSecond*seconds + burst + entries
	assert.Assert(t, allowed <= limit && allowed >= limit*9/10, "%d allowed, %d expected", allowed, limit)
}

// When all requests fail, retries must add at most a tenth to the load.
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
	assert.Assert(t, retries <= requests/10+maxTokens, "%d retries", retries)
}
