// Package admission decides at an entry which requests go on to the engines,
// which wait a moment, and which are refused at once.
package admission

import (
	"context"
	"sync"
	"time"

	"github.com/skylarkwood/skylarkwood/internal/coordination/fair"
	"github.com/skylarkwood/skylarkwood/internal/coordination/limits"
	"github.com/skylarkwood/skylarkwood/internal/fault"
)

const (
	// maxWait bounds how long a request may be expected to wait here; a longer
	// wait is answered at once with when to come back. One that was overtaken
	// and has waited twice as long is given up.
	maxWait = 400 * time.Millisecond
	// initialQueueLimit bounds the queue while nothing is known of how fast it moves.
	initialQueueLimit = 16
	// limitHold is how long after the last refusal the limit binds. Without refusals
	// there is room for whatever comes.
	limitHold = time.Second
	// decreaseFactor is what the limit is multiplied by when the engines are full.
	decreaseFactor = 0.97
	// minDecreaseInterval keeps one full moment from being counted for each request
	// that met it.
	minDecreaseInterval = 50 * time.Millisecond
	// fairShareHeadroom is how far beyond the limit a customer may go that holds no more
	// than its equal share of the places. One customer that sends without pause
	// takes each place as it comes free; a small burst of the others then waits
	// for places that are held for seconds, and is given up. Measured: of 184
	// requests of nine customers beside such a flood 1 to 19 were refused
	// without it.
	fairShareHeadroom = 0.15
	// intervalWeight is the weight of the newest interval between two leavings.
	intervalWeight = 0.05
)

// Limiter holds the requests that an entry has at the engines. How many it may
// have, it learns from the gates' and the router's refusals: it grows while none
// comes and shrinks when one does, as a TCP window does.
type Limiter struct {
	now func() time.Time

	mu              sync.Mutex
	limit           float64
	inFlight        int
	queue           *fair.Queue[*waiter]
	releaseInterval time.Duration // smoothed time between two leavings
	lastReleaseAt   time.Time
	lastOverloadAt  time.Time
}

// waiter is a request's wait for room.
type waiter struct {
	admitted chan struct{} // closed when it may go on
	dropped  chan struct{} // closed when it was given up
}

// NewLimiter makes an empty room.
func NewLimiter(now func() time.Time) *Limiter {
	return &Limiter{now: now, queue: fair.New[*waiter]()}
}

// Request is what the room needs to know.
type Request struct {
	Customer string
	Priority int
	Deadline time.Time
}

// Acquire waits for room. An error is the final answer: nothing of the request
// went on. After nil, Leave must be called.
func (r *Limiter) Acquire(ctx context.Context, q Request) error {
	if ctx.Err() != nil {
		return r.refusal("the caller has left")
	}
	p, err := r.acquireOrQueue(q)
	if err != nil || p == nil {
		return err
	}
	patience := time.NewTimer(2 * maxWait)
	defer patience.Stop()
	select {
	case <-p.admitted:
	case <-p.dropped:
		return r.refusal("given up for a request worth more")
	case <-patience.C:
	case <-ctx.Done():
	}
	return r.finishWait(ctx, p, q)
}

// acquireOrQueue goes in at once, or into the queue, or is refused.
func (r *Limiter) acquireOrQueue(q Request) (*waiter, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.now().Sub(r.lastOverloadAt) > limitHold {
		r.limit = max(r.limit, float64(r.inFlight+r.queue.Len()+1))
		r.admitWaiting()
	}
	if r.queue.Len() == 0 && r.hasCapacity(q.Customer) {
		r.inFlight++
		r.queue.Acquire(q.Customer)
		return nil, nil
	}
	if r.waitTooLong(q) {
		victim, ok := r.queue.Shed(q.Customer, q.Priority)
		if !ok {
			return nil, r.refusalLocked("too many requests wait already")
		}
		close(victim.dropped)
	}
	p := &waiter{admitted: make(chan struct{}), dropped: make(chan struct{})}
	r.queue.Push(p, q.Customer, q.Priority)
	r.admitWaiting()
	return p, nil
}

// hasCapacity tells whether one more of a customer may go in.
func (r *Limiter) hasCapacity(customer string) bool {
	limit := r.limit
	if float64(r.queue.Held(customer)+1) <= r.limit/float64(r.queue.Customers()+1) {
		limit += fairShareHeadroom * r.limit
	}
	return float64(r.inFlight+1) <= limit
}

// waitTooLong tells whether one more would wait longer than it may.
func (r *Limiter) waitTooLong(q Request) bool {
	wait := r.expectedWait()
	half := q.Deadline.Sub(r.now()) / 2
	if r.releaseInterval == 0 {
		return r.queue.Len() >= initialQueueLimit
	}
	return wait > min(maxWait, half)
}

// expectedWait predicts how long the last in the queue waits.
func (r *Limiter) expectedWait() time.Duration {
	return time.Duration(r.queue.Len()+1) * r.releaseInterval
}

func (r *Limiter) refusal(msg string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.refusalLocked(msg)
}

// refusalLocked says when to come back: when the present queue will be gone,
// spread so that a burst does not come back as one.
func (r *Limiter) refusalLocked(msg string) error {
	e := fault.New(fault.Overloaded, "%s: %d at the engines, %d waiting", msg, r.inFlight, r.queue.Len())
	e.RetryAfter = limits.Jitter(max(2*r.expectedWait(), time.Second))
	return e
}

// finishWait ends a wait. Its end, the caller's and a place that is given may come in the
// same moment, so it asks again under the lock that places are given under: a place
// that was given is used, unless nobody is there to use it.
func (r *Limiter) finishWait(ctx context.Context, p *waiter, q Request) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.queue.Remove(p) {
		return r.refusalLocked("waited in vain")
	}
	select {
	case <-p.admitted:
	default:
		return r.refusalLocked("given up for a request worth more")
	}
	if ctx.Err() == nil {
		return nil
	}
	r.releaseLocked(q.Customer)
	return r.refusalLocked("the caller has left")
}

// admitWaiting lets in what there is room for. The queue counts the places by
// customer, so a popped place is held by its own.
func (r *Limiter) admitWaiting() {
	for {
		next, ok := r.queue.NextCustomer()
		if !ok || !r.hasCapacity(next) {
			return
		}
		p, customer, _ := r.queue.PopWithCustomer()
		r.inFlight++
		r.queue.Acquire(customer)
		close(p.admitted)
	}
}

// Release gives a place back. full tells that the engines had no room for it.
func (r *Limiter) Release(customer string, full bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !full {
		r.recordRelease()
		if float64(r.inFlight) >= r.limit-1 {
			r.limit += 1 / r.limit
		}
	}
	r.releaseLocked(customer)
}

func (r *Limiter) releaseLocked(customer string) {
	r.inFlight--
	r.queue.Release(customer)
	r.admitWaiting()
}

func (r *Limiter) recordRelease() {
	now := r.now()
	if !r.lastReleaseAt.IsZero() {
		d := now.Sub(r.lastReleaseAt)
		if r.releaseInterval == 0 {
			r.releaseInterval = d
		}
		r.releaseInterval += time.Duration(intervalWeight * float64(d-r.releaseInterval))
	}
	r.lastReleaseAt = now
}

// Overloaded takes in that a gate or the router refused for lack of room.
func (r *Limiter) Overloaded() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.now().Sub(r.lastOverloadAt) < minDecreaseInterval {
		return
	}
	r.lastOverloadAt = r.now()
	r.limit = max(1, min(r.limit, float64(r.inFlight))*decreaseFactor)
}

// Limit is how many requests may be inside now.
func (r *Limiter) Limit() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return int(r.limit)
}
