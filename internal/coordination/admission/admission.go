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
	// blindQueue bounds the queue while nothing is known of how fast it moves.
	blindQueue = 16
	// calm is how long after the last refusal the limit binds. Without refusals
	// there is room for whatever comes.
	calm = time.Second
	// backOff is what the limit is multiplied by when the engines are full.
	backOff = 0.97
	// backOffEvery keeps one full moment from being counted for each request
	// that met it.
	backOffEvery = 50 * time.Millisecond
	// headroom is how far beyond the limit a customer may go that holds no more
	// than its equal share of the places. One customer that sends without pause
	// takes each place as it comes free; a small burst of the others then waits
	// for places that are held for seconds, and is given up. Measured: of 184
	// requests of nine customers beside such a flood 1 to 19 were refused
	// without it.
	headroom = 0.15
	// rateWeight is the weight of the newest interval between two leavings.
	rateWeight = 0.05
)

// Limiter holds the requests that an entry has at the engines. How many it may
// have, it learns from the gates' and the router's refusals: it grows while none
// comes and shrinks when one does, as a TCP window does.
type Limiter struct {
	now func() time.Time

	mu       sync.Mutex
	limit    float64
	inside   int
	queue    *fair.Queue[*place]
	interval time.Duration // smoothed time between two leavings
	leftAt   time.Time
	fullAt   time.Time
}

// place is a request's wait for room.
type place struct {
	in   chan struct{} // closed when it may go on
	shed chan struct{} // closed when it was given up
}

// NewLimiter makes an empty room.
func NewLimiter(now func() time.Time) *Limiter {
	return &Limiter{now: now, queue: fair.New[*place]()}
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
	p, err := r.join(q)
	if err != nil || p == nil {
		return err
	}
	patience := time.NewTimer(2 * maxWait)
	defer patience.Stop()
	select {
	case <-p.in:
	case <-p.shed:
		return r.refusal("given up for a request worth more")
	case <-patience.C:
	case <-ctx.Done():
	}
	return r.settle(ctx, p, q)
}

// join goes in at once, or into the queue, or is refused.
func (r *Limiter) join(q Request) (*place, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.now().Sub(r.fullAt) > calm {
		r.limit = max(r.limit, float64(r.inside+r.queue.Len()+1))
		r.admit()
	}
	if r.queue.Len() == 0 && r.hasRoom(q.Customer) {
		r.inside++
		r.queue.Acquire(q.Customer)
		return nil, nil
	}
	if r.tooLong(q) {
		victim, ok := r.queue.Shed(q.Customer, q.Priority)
		if !ok {
			return nil, r.refusalLocked("too many requests wait already")
		}
		close(victim.shed)
	}
	p := &place{in: make(chan struct{}), shed: make(chan struct{})}
	r.queue.Push(p, q.Customer, q.Priority)
	r.admit()
	return p, nil
}

// hasRoom tells whether one more of a customer may go in.
func (r *Limiter) hasRoom(customer string) bool {
	limit := r.limit
	if float64(r.queue.Held(customer)+1) <= r.limit/float64(r.queue.Customers()+1) {
		limit += headroom * r.limit
	}
	return float64(r.inside+1) <= limit
}

// tooLong tells whether one more would wait longer than it may.
func (r *Limiter) tooLong(q Request) bool {
	wait := r.wait()
	half := q.Deadline.Sub(r.now()) / 2
	if r.interval == 0 {
		return r.queue.Len() >= blindQueue
	}
	return wait > min(maxWait, half)
}

// wait predicts how long the last in the queue waits.
func (r *Limiter) wait() time.Duration {
	return time.Duration(r.queue.Len()+1) * r.interval
}

func (r *Limiter) refusal(msg string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.refusalLocked(msg)
}

// refusalLocked says when to come back: when the present queue will be gone,
// spread so that a burst does not come back as one.
func (r *Limiter) refusalLocked(msg string) error {
	e := fault.New(fault.Overloaded, "%s: %d at the engines, %d waiting", msg, r.inside, r.queue.Len())
	e.RetryAfter = limits.Jitter(max(2*r.wait(), time.Second))
	return e
}

// settle ends a wait. Its end, the caller's and a place that is given may come in the
// same moment, so it asks again under the lock that places are given under: a place
// that was given is used, unless nobody is there to use it.
func (r *Limiter) settle(ctx context.Context, p *place, q Request) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.queue.Remove(p) {
		return r.refusalLocked("waited in vain")
	}
	select {
	case <-p.in:
	default:
		return r.refusalLocked("given up for a request worth more")
	}
	if ctx.Err() == nil {
		return nil
	}
	r.leave(q.Customer)
	return r.refusalLocked("the caller has left")
}

// admit lets in what there is room for. The queue counts the places by
// customer, so a popped place is held by its own.
func (r *Limiter) admit() {
	for {
		next, ok := r.queue.NextCustomer()
		if !ok || !r.hasRoom(next) {
			return
		}
		p, customer, _ := r.queue.PopWithCustomer()
		r.inside++
		r.queue.Acquire(customer)
		close(p.in)
	}
}

// Release gives a place back. full tells that the engines had no room for it.
func (r *Limiter) Release(customer string, full bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !full {
		r.measure()
		if float64(r.inside) >= r.limit-1 {
			r.limit += 1 / r.limit
		}
	}
	r.leave(customer)
}

func (r *Limiter) leave(customer string) {
	r.inside--
	r.queue.Release(customer)
	r.admit()
}

func (r *Limiter) measure() {
	now := r.now()
	if !r.leftAt.IsZero() {
		d := now.Sub(r.leftAt)
		if r.interval == 0 {
			r.interval = d
		}
		r.interval += time.Duration(rateWeight * float64(d-r.interval))
	}
	r.leftAt = now
}

// Overloaded takes in that a gate or the router refused for lack of room.
func (r *Limiter) Overloaded() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.now().Sub(r.fullAt) < backOffEvery {
		return
	}
	r.fullAt = r.now()
	r.limit = max(1, min(r.limit, float64(r.inside))*backOff)
}

// Limit is how many requests may be inside now.
func (r *Limiter) Limit() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return int(r.limit)
}
