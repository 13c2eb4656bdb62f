package admission

import (
	"context"
	"sync"
	"time"

	"github.com/skylarkwood/skylarkwood/internal/coordination/forecast"
	"github.com/skylarkwood/skylarkwood/internal/coordination/processor"
)

// maxPassing is how long smaller requests may pass a larger one that does not fit. After that
// it blocks them, because capacity for it only accumulates while they do not take it. It is a
// quarter of the wait of a request with a target latency of half a second.
const maxPassing = 100 * time.Millisecond

// Waiter describes a request that waits in a Line.
type Waiter struct {
	Customer string
	// Urgency orders the requests; 0 is the most urgent.
	Urgency int
	// Begun is set for streams that an engine has begun to run. They go before new requests
	// of their urgency.
	Begun bool
	// Deadline is the caller's; zero means none. A caller that returns has less time left
	// than one that calls for the first time, so it goes first.
	Deadline time.Time
	// Size is the amount of the resource that the request needs.
	Size int
}

// Line lets the requests of one service wait for capacity. They are ordered by urgency, then
// by fairness among customers, then by the earlier deadline. The request at the front tries to
// get capacity; while it does not fit, smaller requests of its urgency may, for a bounded time.
// Requests of an urgency that is starved may also try.
// It is safe for concurrent use.
type Line struct {
	// Forecast estimates how long requests wait, and Returns when refused ones return.
	Forecast *forecast.Forecast
	Returns  *forecast.Returns
	// Processor keeps the wait for the processor out of timeouts. It may be nil.
	Processor *processor.Monitor

	now    func() time.Time
	mu     sync.Mutex
	shares customerShares
	// urgencies tells which urgencies are starved.
	urgencies urgencyShares
	waiting   []*lineEntry
	// arrivals is the number of requests that have waited.
	arrivals uint64
}

// NewLine returns an empty Line.
func NewLine(now func() time.Time) *Line {
	return &Line{Forecast: forecast.New(now), Returns: forecast.NewReturns(now), now: now, shares: newCustomerShares(), urgencies: newUrgencyShares()}
}

// Len returns the number of waiting requests.
func (l *Line) Len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.waiting)
}

// Ahead returns the number of waiting requests that would go before a new one.
func (l *Line) Ahead(w Waiter) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.aheadLocked(l.now(), w)
}

func (l *Line) aheadLocked(now time.Time, w Waiter) int {
	if len(l.waiting) == 0 {
		return 0
	}
	l.shares.update(now)
	starved := l.urgencies.starved(now, w.Urgency)
	newest := &lineEntry{Waiter: w, arrival: l.arrivals}
	n := 0
	for _, e := range l.waiting {
		if l.precedes(e, newest) && !(starved && e.Urgency != w.Urgency) {
			n++
		}
	}
	return n
}

// Granted records that a request got capacity, whether it waited or not.
func (l *Line) Granted(w Waiter) {
	l.Forecast.Granted(w.Urgency, 1)
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	l.shares.grant(now, w.Customer)
	l.urgencies.count(now, w.Urgency).granted++
}

// TryNow calls try and reports whether it succeeded, unless a waiting request goes first. It must
// be called once for each request, before Wait.
func (l *Line) TryNow(ctx context.Context, w Waiter, try func() bool) bool {
	return ctx.Err() == nil && l.arrive(w) == 0 && try()
}

// arrive counts a request and returns the number of waiting requests that go before it.
func (l *Line) arrive(w Waiter) (ahead int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	l.urgencies.count(now, w.Urgency).requests++
	return l.aheadLocked(now, w)
}

// Wait calls try each time it may succeed, until it does or the timeout passes or ctx ends. It
// reports whether try succeeded. It does not call try after ctx has ended, because the caller
// would not use what try acquires.
func (l *Line) Wait(ctx context.Context, w Waiter, timeout time.Duration, try func() bool) bool {
	if ctx.Err() != nil || timeout <= 0 {
		return false
	}
	e := &lineEntry{Waiter: w, wake: make(chan struct{}, 1)}
	l.add(e)
	defer l.remove(e)
	started := l.Processor.Start()
	expired := time.NewTimer(timeout)
	defer expired.Stop()
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for {
		if l.tryIfNext(ctx, e, try) {
			return true
		}
		select {
		case <-e.wake:
		case <-tick.C:
		case <-expired.C:
			if left := started.Remaining(timeout); left > 0 {
				expired.Reset(left)
				continue
			}
			// Capacity may have been released since the last try.
			return l.tryIfNext(ctx, e, try)
		case <-ctx.Done():
			return false
		}
	}
}

// tryIfNext calls try if it is the entry's turn. If try fails, the next entry that may pass this
// one gets its turn.
func (l *Line) tryIfNext(ctx context.Context, e *lineEntry, try func() bool) bool {
	if ctx.Err() != nil || !l.mayTry(e) {
		return false
	}
	if try() {
		l.passed(e)
		return true
	}
	l.failed(e)
	return false
}

// passed records that e got capacity before the entries that it passed.
func (l *Line) passed(e *lineEntry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, o := range l.waiting {
		if o != e && o.Urgency == e.Urgency && o.passedSince.IsZero() && l.precedes(o, e) {
			o.passedSince = l.now()
		}
	}
}

// failed records a failed try and wakes the next entry that may pass e.
func (l *Line) failed(e *lineEntry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e.triedAt = l.now()
	var next *lineEntry
	for _, o := range l.waiting {
		if o != e && l.precedes(e, o) && e.passableBy(o, e.triedAt) && (next == nil || l.precedes(o, next)) {
			next = o
		}
	}
	if next != nil {
		next.notify()
	}
	if front := l.front(); front != nil && front.Urgency < e.Urgency {
		front.notify() // e tried because its urgency is starved
	}
}

// Notify makes the request at the front try again, because capacity may have been released.
func (l *Line) Notify() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.notifyLocked()
}

// notifyLocked wakes the first entry of a starved urgency, or else the one at the front.
func (l *Line) notifyLocked() {
	now := l.now()
	l.shares.update(now)
	var next *lineEntry
	for _, e := range l.waiting {
		if l.urgencies.starved(now, e.Urgency) && (next == nil || l.precedes(e, next)) {
			next = e
		}
	}
	if next == nil {
		next = l.front()
	}
	if next != nil {
		next.notify()
	}
}

func (l *Line) add(e *lineEntry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e.arrival = l.arrivals
	l.arrivals++
	l.waiting = append(l.waiting, e)
	l.shares.join(e.Customer)
	l.Forecast.SetBusy(true)
}

func (l *Line) remove(e *lineEntry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, o := range l.waiting {
		if o == e {
			l.waiting = append(l.waiting[:i], l.waiting[i+1:]...)
			break
		}
	}
	l.shares.leave(e.Customer)
	l.Forecast.SetBusy(len(l.waiting) > 0)
	l.notifyLocked()
}
