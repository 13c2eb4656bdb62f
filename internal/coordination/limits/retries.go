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
	// covers routers that just came and have not been counted by the others.
	retrySafety = 0.8
)

// SharedRetries is one router's part of a budget for repeated sends that all
// routers share: in any window at most ratio x requests + slack, for a service.
// Each router spends the ratio of its own requests and its share of the slack,
// so that the sum holds though routers are cut off from each other.
type SharedRetries struct {
	ratio   float64
	slack   float64
	window  time.Duration
	routers func() int
	now     func() time.Time

	mu       sync.Mutex
	services map[string]*retryWindow
}

type retryWindow struct {
	at       int64 // number of the newest bucket
	requests [retryBuckets]int
	repeats  [retryBuckets]int
}

// NewSharedRetries makes a budget; routers tells how many share it.
func NewSharedRetries(ratio float64, slack int, window time.Duration, routers func() int, now func() time.Time) *SharedRetries {
	return &SharedRetries{
		ratio:    ratio,
		slack:    float64(slack),
		window:   window,
		routers:  routers,
		now:      now,
		services: map[string]*retryWindow{},
	}
}

// Request counts a caller's request for a service.
func (b *SharedRetries) Request(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.turn(service)
	w.requests[w.at%retryBuckets]++
}

// Take takes one repeated send from the budget, if there is one.
func (b *SharedRetries) Take(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.turn(service)
	requests := 0
	repeats := 0
	for i := range w.requests {
		requests += w.requests[i]
		repeats += w.repeats[i]
	}
	allowed := retrySafety * (b.ratio*float64(requests) + b.slack/float64(max(b.routers(), 1)))
	if float64(repeats+1) > allowed {
		return false
	}
	w.repeats[w.at%retryBuckets]++
	return true
}

// turn moves a service's window on to now. The caller holds the lock.
func (b *SharedRetries) turn(service string) *retryWindow {
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
