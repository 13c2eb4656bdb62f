package limits

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// All requests fail at several routers that do not communicate. In no window may the
// retries of all exceed ratio * requests + slack.
// epoch is when the clocks of the budgets begin.
var epoch = time.Unix(5000, 0)

func TestSharedRetryBudgetHoldsInEachWindow(t *testing.T) {
	const ratio, slack, window = 0.2, 196, 10 * time.Second
	rapid.Check(t, func(rt *rapid.T) {
		routers := rapid.IntRange(1, 8).Draw(rt, "routers")
		now := epoch
		var all []*SharedRetryBudget
		for range routers {
			all = append(all, NewSharedRetryBudget(ratio, slack, window, func() int { return routers }, func() time.Duration { return now.Sub(epoch) }))
		}
		var requests, retries []time.Time
		for range rapid.IntRange(10, 400).Draw(rt, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 200).Draw(rt, "ms")) * time.Millisecond)
			b := all[rapid.IntRange(0, routers-1).Draw(rt, "router")]
			b.RecordRequest("s")
			requests = append(requests, now)
			for b.Take("s") {
				retries = append(retries, now)
			}
		}
		for _, end := range retries {
			sent := within(requests, end, window)
			retried := within(retries, end, window)
			assert.Assert(rt, float64(retried) <= ratio*float64(sent)+slack, "%d retries for %d requests", retried, sent)
		}
	})
}

func within(times []time.Time, end time.Time, window time.Duration) int {
	n := 0
	for _, at := range times {
		if !at.After(end) && at.After(end.Add(-window)) {
			n++
		}
	}
	return n
}

func TestSharedRetryBudgetRefills(t *testing.T) {
	now := epoch
	b := NewSharedRetryBudget(0.2, 20, 10*time.Second, func() int { return 1 }, func() time.Duration { return now.Sub(epoch) })
	assert.Assert(t, !b.Take("s"), "a router that starts does not know what it spent before")
	now = now.Add(10 * time.Second)
	taken := 0
	for b.Take("s") {
		taken++
	}
	assert.Equal(t, taken, 18, "nine tenths of the slack")
	assert.Assert(t, b.Take("other"), "each service has its own budget")
	now = now.Add(12 * time.Second)
	assert.Assert(t, b.Take("s"))
}
