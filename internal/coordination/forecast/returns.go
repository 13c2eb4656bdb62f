package forecast

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// MinReturn is the shortest delay after which a refused caller is told to return.
	MinReturn = 200 * time.Millisecond
	// returnShare is the share of the caller's remaining time within which it returns. The
	// rest is for the second attempt.
	returnShare = 1.0 / 3
	// unknownReturn is the delay while no grants are known.
	unknownReturn = time.Second
	// maxReturn bounds the delay of callers without a deadline.
	maxReturn = time.Minute
)

// Returns spreads the returns of refused callers over the time in which they fit. It is safe
// for concurrent use.
type Returns struct {
	now func() time.Time

	mu sync.Mutex
	// next is when the next caller of each priority may return.
	next map[int]time.Time
}

// NewReturns returns a Returns without refused callers.
func NewReturns(now func() time.Time) *Returns {
	return &Returns{now: now, next: map[int]time.Time{}}
}

// Delay returns the delay after which a refused caller should return. wait is the forecast wait
// of a request and interval the time between two grants, both for its priority; known is false
// if there is no forecast. remaining is the caller's time left, 0 if it is not bounded.
//
// Each caller gets its own grant. If the grants within a third of the callers' time are given
// out, the others are spread evenly over that time.
func (r *Returns) Delay(priority int, wait, interval time.Duration, known bool, remaining time.Duration) time.Duration {
	latest := time.Duration(returnShare * float64(remaining))
	delay := unknownReturn + rand.N(unknownReturn/2)
	wait = min(wait, maxReturn)
	interval = min(interval, maxReturn)
	if known {
		delay = r.reserve(priority, max(wait, MinReturn), interval, latest)
	}
	if remaining <= 0 || delay <= latest {
		return delay
	}
	earliest := min(max(min(wait, latest/2), MinReturn), latest)
	return earliest + rand.N(latest-earliest+1)
}

// reserve returns the delay until the next grant that no other caller was told to return for.
// A delay above latest (if that is not 0) reserves nothing.
func (r *Returns) reserve(priority int, wait, interval, latest time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	at := now.Add(wait)
	if next := r.next[priority]; next.After(at) {
		at = next
	}
	delay := min(at.Sub(now), maxReturn)
	if latest <= 0 && delay < maxReturn || delay <= latest {
		r.next[priority] = at.Add(interval)
	}
	return delay
}
