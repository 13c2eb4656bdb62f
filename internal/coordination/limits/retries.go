package limits

import (
	"sync"
	"time"
)

const (
	// windowBuckets is the number of buckets of a window. The oldest counts in full, so
	// that the budget is never exceeded.
	windowBuckets = 20
	// usableFraction is the part of the budget that routers use. The rest covers new
	// routers that the others do not count yet, and borrowed tokens, which are used
	// later than their lender counted them.
	usableFraction = 0.9
)

// SharedRetryBudget is one router's part of a retry budget that all routers share: in
// any window, at most ratio * requests + slack retries for each service. Each router
// spends the ratio of its own requests and its share of the slack. So the budget holds
// even if routers are cut off from each other.
type SharedRetryBudget struct {
	ratio   float64
	slack   float64
	window  time.Duration
	routers func() int
	clock   func() time.Duration
	started time.Duration

	mu       sync.Mutex
	services map[string]*retryWindow
}

type retryWindow struct {
	newest   int64 // number of the newest bucket
	requests [windowBuckets]int
	retries  [windowBuckets]int
}

// NewSharedRetryBudget returns a router's part of a budget; routers returns how many
// share it. clock returns a time that is not set, unlike the time of day: a step would empty
// the window.
func NewSharedRetryBudget(ratio, slack float64, window time.Duration, routers func() int, clock func() time.Duration) *SharedRetryBudget {
	return &SharedRetryBudget{
		ratio:    ratio,
		slack:    slack,
		window:   window,
		routers:  routers,
		clock:    clock,
		started:  clock(),
		services: map[string]*retryWindow{},
	}
}

// RecordRequest adds a caller's request for a service to the budget.
func (b *SharedRetryBudget) RecordRequest(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.advance(service)
	w.requests[w.newest%windowBuckets]++
}

// Take takes one retry token and reports whether there was one.
func (b *SharedRetryBudget) Take(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.advance(service)
	if b.remaining(w) < 1 {
		return false
	}
	w.retries[w.newest%windowBuckets]++
	return true
}

// lendFraction is the part of the remaining tokens that a router lends at once. The
// rest is for its own requests.
const lendFraction = 0.5

// Lend lends up to want tokens to another router, counts them as spent and returns how
// many it lent.
func (b *SharedRetryBudget) Lend(service string, want int) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.advance(service)
	n := max(min(want, int(lendFraction*b.remaining(w))), 0)
	w.retries[w.newest%windowBuckets] += n
	return n
}

// SpareTokens returns how many tokens could be lent, by service.
func (b *SharedRetryBudget) SpareTokens() map[string]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := map[string]int{}
	for service := range b.services {
		if n := int(lendFraction * b.remaining(b.advance(service))); n > 0 {
			out[service] = n
		}
	}
	return out
}

// remaining returns how many tokens are left in this window. The caller holds b.mu.
func (b *SharedRetryBudget) remaining(w *retryWindow) float64 {
	requests := 0
	retries := 0
	for i := range w.requests {
		requests += w.requests[i]
		retries += w.retries[i]
	}
	// A router that restarts does not know what it spent before. Its share of the slack
	// grows over one window, or routers that restart together would spend the slack
	// twice.
	age := min((b.clock()-b.started).Seconds()/b.window.Seconds(), 1)
	allowed := usableFraction * (b.ratio*float64(requests) + age*b.slack/float64(max(b.routers(), 1)))
	return allowed - float64(retries)
}

// advance moves a service's window to the present time and returns it. The caller holds
// b.mu.
func (b *SharedRetryBudget) advance(service string) *retryWindow {
	w, ok := b.services[service]
	if !ok {
		w = &retryWindow{}
		b.services[service] = w
	}
	bucket := int64(b.window) / (windowBuckets - 1)
	now := int64(b.clock()-b.started) / bucket
	for n := max(w.newest+1, now-windowBuckets+1); n <= now; n++ {
		w.requests[n%windowBuckets] = 0
		w.retries[n%windowBuckets] = 0
	}
	w.newest = max(w.newest, now)
	return w
}
