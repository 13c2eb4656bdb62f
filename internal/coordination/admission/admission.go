// Package admission decides at an entry which requests are sent to the engines, which wait for a
// short time, and which are refused at once.
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
	// maxWait bounds the expected wait of a request. A request that would wait longer is
	// refused at once. One that others overtake is refused after twice this time.
	maxWait = 400 * time.Millisecond
	// initialQueueLimit bounds the queue until the release interval is known.
	initialQueueLimit = 16
	// limitHold is how long the limit applies after the last overload.
	limitHold = time.Second
	// decreaseFactor is the factor applied to the limit at an overload.
	decreaseFactor = 0.97
	// minDecreaseInterval is the minimum time between two decreases, so that one overload
	// is not counted for each request refused in it.
	minDecreaseInterval = 50 * time.Millisecond
	// fairShareHeadroom is the fraction by which a customer may exceed the limit while it
	// holds no more than an equal share of it. Without it, a customer that sends without
	// pause takes each slot as it is released, and small bursts of others are refused.
	// Their requests would wait for slots that are held for seconds.
	fairShareHeadroom = 0.15
	// intervalWeight is the weight of the newest sample of the release interval.
	intervalWeight = 0.05
)

// Limiter bounds the number of requests that an entry has in flight at the engines. The limit
// adapts by additive increase and multiplicative decrease, like a TCP congestion window: it grows
// while requests complete and shrinks when a gate or the router refuses one. It is safe for
// concurrent use.
type Limiter struct {
	now func() time.Time

	mu              sync.Mutex
	limit           float64
	inFlight        int
	queue           *fair.Queue[*waiter]
	releaseInterval time.Duration // smoothed time between two releases
	lastReleaseAt   time.Time
	lastOverloadAt  time.Time
}

// waiter is a request that waits for a slot.
type waiter struct {
	admitted chan struct{} // closed when the request is admitted
	dropped  chan struct{} // closed when the request is dropped from the queue
}

// NewLimiter returns a Limiter without requests in flight.
func NewLimiter(now func() time.Time) *Limiter {
	return &Limiter{now: now, queue: fair.New[*waiter]()}
}

// Request describes a request that asks for admission.
type Request struct {
	Customer string
	Priority int
	Deadline time.Time
}

// Acquire waits for a slot. If it returns nil, the caller must call Release. It returns a fault of
// kind Overloaded if the request is refused. A refused request must not be sent to an engine.
func (l *Limiter) Acquire(ctx context.Context, q Request) error {
	if ctx.Err() != nil {
		return l.refusal("the caller disconnected")
	}
	w, err := l.acquireOrQueue(q)
	if err != nil || w == nil {
		return err
	}
	timeout := time.NewTimer(2 * maxWait)
	defer timeout.Stop()
	select {
	case <-w.admitted:
	case <-w.dropped:
		return l.refusal("dropped from the queue in favor of another request")
	case <-timeout.C:
	case <-ctx.Done():
	}
	return l.finishWait(ctx, w, q)
}

// acquireOrQueue takes a slot and returns nil, or adds the request to the queue and returns its
// waiter, or refuses the request and returns an error.
func (l *Limiter) acquireOrQueue(q Request) (*waiter, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.now().Sub(l.lastOverloadAt) > limitHold {
		l.limit = max(l.limit, float64(l.inFlight+l.queue.Len()+1))
		l.admitWaiting()
	}
	if l.queue.Len() == 0 && l.hasCapacity(q.Customer) {
		l.inFlight++
		l.queue.Acquire(q.Customer)
		return nil, nil
	}
	if l.waitTooLong(q) {
		victim, ok := l.queue.Shed(q.Customer, q.Priority)
		if !ok {
			return nil, l.refusalLocked("too many requests are waiting")
		}
		close(victim.dropped)
	}
	w := &waiter{admitted: make(chan struct{}), dropped: make(chan struct{})}
	l.queue.Push(w, q.Customer, q.Priority)
	l.admitWaiting()
	return w, nil
}

// hasCapacity reports whether one more request of a customer may be in flight.
func (l *Limiter) hasCapacity(customer string) bool {
	limit := l.limit
	if float64(l.queue.Held(customer)+1) <= l.limit/float64(l.queue.Customers()+1) {
		limit += fairShareHeadroom * l.limit
	}
	return float64(l.inFlight+1) <= limit
}

// waitTooLong reports whether one more request would wait for longer than maxWait or half the
// time to its deadline.
func (l *Limiter) waitTooLong(q Request) bool {
	wait := l.expectedWait()
	half := q.Deadline.Sub(l.now()) / 2
	if l.releaseInterval == 0 {
		return l.queue.Len() >= initialQueueLimit
	}
	return wait > min(maxWait, half)
}

// expectedWait returns the expected wait of a request added to the end of the queue.
func (l *Limiter) expectedWait() time.Duration {
	return time.Duration(l.queue.Len()+1) * l.releaseInterval
}

func (l *Limiter) refusal(msg string) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.refusalLocked(msg)
}

// refusalLocked returns a fault of kind Overloaded. Its RetryAfter is based on the time in which
// the queue should drain, with jitter so that a refused burst does not return at once.
func (l *Limiter) refusalLocked(msg string) error {
	e := fault.New(fault.Overloaded, "%s: %d requests in flight at the engines, %d waiting", msg, l.inFlight, l.queue.Len())
	e.RetryAfter = limits.Jitter(max(2*l.expectedWait(), time.Second))
	return e
}

// finishWait returns the result of a wait that was admitted or ended. Both can happen at the same
// time, so it checks again under the lock. A slot that was granted is used, unless the caller
// disconnected.
func (l *Limiter) finishWait(ctx context.Context, w *waiter, q Request) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.queue.Remove(w) {
		return l.refusalLocked("no capacity became free in time")
	}
	select {
	case <-w.admitted:
	default:
		return l.refusalLocked("dropped from the queue in favor of another request")
	}
	if ctx.Err() == nil {
		return nil
	}
	l.releaseLocked(q.Customer)
	return l.refusalLocked("the caller disconnected")
}

// admitWaiting admits requests from the queue while there is capacity.
func (l *Limiter) admitWaiting() {
	for {
		next, ok := l.queue.NextCustomer()
		if !ok || !l.hasCapacity(next) {
			return
		}
		w, customer, _ := l.queue.PopWithCustomer()
		l.inFlight++
		l.queue.Acquire(customer)
		close(w.admitted)
	}
}

// Release frees the slot of a request. overloaded reports that the engines refused the request
// for lack of capacity.
func (l *Limiter) Release(customer string, overloaded bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !overloaded {
		l.recordRelease()
		if float64(l.inFlight) >= l.limit-1 {
			l.limit += 1 / l.limit
		}
	}
	l.releaseLocked(customer)
}

func (l *Limiter) releaseLocked(customer string) {
	l.inFlight--
	l.queue.Release(customer)
	l.admitWaiting()
}

func (l *Limiter) recordRelease() {
	now := l.now()
	if !l.lastReleaseAt.IsZero() {
		d := now.Sub(l.lastReleaseAt)
		if l.releaseInterval == 0 {
			l.releaseInterval = d
		}
		l.releaseInterval += time.Duration(intervalWeight * float64(d-l.releaseInterval))
	}
	l.lastReleaseAt = now
}

// Overloaded records that a gate or the router refused a request for lack of capacity.
func (l *Limiter) Overloaded() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.now().Sub(l.lastOverloadAt) < minDecreaseInterval {
		return
	}
	l.lastOverloadAt = l.now()
	l.limit = max(1, min(l.limit, float64(l.inFlight))*decreaseFactor)
}

// Limit returns the number of requests that may be in flight.
func (l *Limiter) Limit() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return int(l.limit)
}
