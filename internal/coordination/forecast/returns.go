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
	// unknownReturn is the shortest delay while no grants are known.
	unknownReturn = time.Second
	// delayResolution is the resolution of Retry-After.
	delayResolution = 10 * time.Millisecond
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
// of a request and interval the time between two grants, both for its priority. remaining is the
// caller's time left, 0 if it is not bounded.
//
// Each caller gets its own grant. If the grants within a third of the callers' time are given
// out, the others are spread evenly over that time.
func (r *Returns) Delay(priority int, wait, interval, remaining time.Duration) time.Duration {
	wait, interval = min(wait, maxReturn), min(interval, maxReturn)
	latest := latestReturn(remaining)
	return spread(r.reserve(priority, max(wait, MinReturn), interval, latest), wait, latest)
}

// DelayUnknown is like Delay without a forecast. age is how long the shortage has lasted. As
// nothing is known about its end, it is assumed to last as long again as it has so far.
func (r *Returns) DelayUnknown(age, remaining time.Duration) time.Duration {
	delay := min(max(age, unknownReturn), maxReturn*2/3)
	return spread(delay+rand.N(delay/2), delay, latestReturn(remaining))
}

// latestReturn returns the latest delay of a caller with the given time left, 0 if it is not
// bounded. Delays are sent to callers with a resolution of delayResolution.
func latestReturn(remaining time.Duration) time.Duration {
	if remaining <= 0 {
		return 0
	}
	return max(time.Duration(returnShare*float64(remaining)).Truncate(delayResolution), 1)
}

// spread returns a delay, or a random one between earliest and latest if it is above latest.
func spread(delay, earliest, latest time.Duration) time.Duration {
	if latest <= 0 || delay <= latest {
		return delay
	}
	earliest = min(max(min(earliest, latest/2), MinReturn), latest)
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
