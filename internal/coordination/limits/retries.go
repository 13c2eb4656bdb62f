package limits

import (
	"sync"
	"time"
)

const (
	// retryBuckets divide a window; the oldest bucket counts whole, so that the
	// count errs on the strict side.
	retryBuckets = 20
	// retrySafety is the share of the budget that routers give out. The rest
	// covers routers that just came and have not been counted by the others, and
	// loans that are used up to half a second after their lender counted them.
	retrySafety = 0.9
)

// SharedRetryBudget is one router's part of a budget for repeated sends that all
// routers share: in any window at most ratio x requests + slack, for a service.
// Each router spends the ratio of its own requests and its share of the slack,
// so that the sum holds though routers are cut off from each other.
type SharedRetryBudget struct {
	ratio   float64
	slack   float64
	window  time.Duration
	routers func() int
	now     func() time.Time
	began   time.Time

	mu       sync.Mutex
	services map[string]*retryWindow
}

type retryWindow struct {
	at       int64 // number of the newest bucket
	requests [retryBuckets]int
	repeats  [retryBuckets]int
}

// NewSharedRetryBudget makes a budget; routers tells how many share it.
func NewSharedRetryBudget(ratio, slack float64, window time.Duration, routers func() int, now func() time.Time) *SharedRetryBudget {
	return &SharedRetryBudget{
		ratio:    ratio,
		slack:    slack,
		window:   window,
		routers:  routers,
		now:      now,
		began:    now(),
		services: map[string]*retryWindow{},
	}
}

// RecordRequest counts a caller's request for a service.
func (b *SharedRetryBudget) RecordRequest(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.turn(service)
	w.requests[w.at%retryBuckets]++
}

// Take takes one repeated send from the budget, if there is one.
func (b *SharedRetryBudget) Take(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.turn(service)
	if b.left(w) < 1 {
		return false
	}
	w.repeats[w.at%retryBuckets]++
	return true
}

// lendShare is the part of what a router has left that it lends at once; the
// rest is for its own requests.
const lendShare = 0.5

// Lend gives up to want repeated sends to another router and counts them as
// spent here.
func (b *SharedRetryBudget) Lend(service string, want int) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.turn(service)
	n := max(min(want, int(lendShare*b.left(w))), 0)
	w.repeats[w.at%retryBuckets] += n
	return n
}

// SpareTokens tells what could be lent, by service.
func (b *SharedRetryBudget) SpareTokens() map[string]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := map[string]int{}
	for service := range b.services {
		if n := int(lendShare * b.left(b.turn(service))); n > 0 {
			out[service] = n
		}
	}
	return out
}

// left is what may still be spent in this window. The caller holds the lock.
func (b *SharedRetryBudget) left(w *retryWindow) float64 {
	requests := 0
	repeats := 0
	for i := range w.requests {
		requests += w.requests[i]
		repeats += w.repeats[i]
	}
	// A router that starts does not know what it spent before: its share of the
	// slack is whole only when that has left the window. Where all routers are
	// killed at once they would else spend the slack twice.
	age := min(b.now().Sub(b.began).Seconds()/b.window.Seconds(), 1)
	allowed := retrySafety * (b.ratio*float64(requests) + age*b.slack/float64(max(b.routers(), 1)))
	return allowed - float64(repeats)
}

// turn moves a service's window on to now. The caller holds the lock.
func (b *SharedRetryBudget) turn(service string) *retryWindow {
	w, ok := b.services[service]
	if !ok {
		w = &retryWindow{}
		b.services[service] = w
	}
	bucket := int64(b.window) / (retryBuckets - 1)
	now := b.now().UnixNano() / bucket
	for n := max(w.at+1, now-retryBuckets+1); n <= now; n++ {
		w.requests[n%retryBuckets] = 0
		w.repeats[n%retryBuckets] = 0
	}
	w.at = max(w.at, now)
	return w
}
