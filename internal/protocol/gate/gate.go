// Package gate controls admission at one backend server. A request reaches the backend
// server only through a Ticket whose Start succeeded. The gate's report that a request
// never started is therefore proof.
package gate

import (
	"sync"
	"time"

	"github.com/skylarkwood/skylarkwood/internal/coordination/fair"
	"github.com/skylarkwood/skylarkwood/internal/coordination/limits"
	"github.com/skylarkwood/skylarkwood/internal/fault"
	"github.com/skylarkwood/skylarkwood/internal/protocol/wire"
	"github.com/skylarkwood/skylarkwood/internal/state/answers"
)

const (
	// ClockSkew is the largest clock difference between two instances. A gate retains
	// its records that much longer, so that a late dispatch from an entry whose clock is
	// behind still meets its tombstone.
	ClockSkew = 5 * time.Second
	// MinIncarnationLead is the minimum time by which an incarnation must be older than
	// a non-repeatable request to run it. No earlier incarnation can then have received
	// the request. It allows for a caller's clock that is two seconds ahead of an
	// entry's, and an entry's that is one second ahead.
	MinIncarnationLead = 3 * time.Second
	// ewmaWeight is the weight of the newest service time in the moving average.
	ewmaWeight = 0.1
)

type phase int

const (
	reserved phase = iota
	started
	finished
	tombstone
)

// record is the state of one request.
type record struct {
	phase         phase
	attempt       int64
	notRepeatable bool
	answer        []byte
	answerDropped bool // the answer is no longer kept
	keepUntil     time.Time
}

// Request describes a request for admission at a gate.
type Request struct {
	Key           wire.RunKey
	Attempt       int64
	Incarnation   string
	Deadline      time.Time
	RetainUntil   time.Time // until when the gate must retain the record
	Priority      int
	NotRepeatable bool
	CreatedAt     time.Time // time in the id of a non-repeatable request
}

// Gate is the gate of one sidecar incarnation.
type Gate struct {
	incarnation string
	startedAt   time.Time
	capacity    int
	queueLimit  int
	now         func() time.Time

	mu            sync.Mutex
	records       map[wire.RunKey]*record
	active        int
	queue         *fair.Queue[*Ticket]
	limiter       *limits.ConcurrencyLimiter // nil if the number of slots is fixed
	answers       answers.Kept[*record]      // of finished requests
	serviceTime   time.Duration              // smoothed time for which a request occupies its slot
	leaving       bool
	drained       chan struct{}
	drainedClosed bool // whether drained is closed
}

// New returns a gate with capacity slots and a queue of at most queueLimit requests.
func New(incarnation string, capacity, queueLimit int, now func() time.Time) *Gate {
	return &Gate{
		incarnation: incarnation,
		startedAt:   now(),
		capacity:    capacity,
		queueLimit:  queueLimit,
		now:         now,
		records:     map[wire.RunKey]*record{},
		queue:       fair.New[*Ticket](),
		drained:     make(chan struct{}),
	}
}

// SetConcurrencyLimiter makes the number of slots follow the limiter, up to the gate's
// capacity. It must be called before the gate is used.
func (g *Gate) SetConcurrencyLimiter(p *limits.ConcurrencyLimiter) { g.limiter = p }

// slots returns the number of requests that may run at present.
func (g *Gate) slots() int {
	if g.limiter == nil {
		return g.capacity
	}
	return min(g.capacity, g.limiter.Limit())
}

// Ticket is a request's reservation at the gate: a slot or a position in the queue. The
// caller must call Finish once.
type Ticket struct {
	gate     *Gate
	req      Request
	rec      *record
	ready    chan struct{} // closed when the ticket gets a slot
	dropped  chan struct{} // closed when the ticket is dropped from the queue
	granted  bool
	released bool
	since    time.Time
}

// Reserve admits a request, which gets a slot or waits in the queue. If canWait is
// false, it refuses the request when all slots are taken. Every error proves that this
// dispatch did not start.
func (g *Gate) Reserve(r Request, canWait bool) (*Ticket, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if err := g.checkAdmission(r); err != nil {
		return nil, err
	}
	if err := g.ensureCapacity(r, canWait); err != nil {
		return nil, err
	}
	rec := &record{
		phase:         reserved,
		attempt:       r.Attempt,
		notRepeatable: r.NotRepeatable,
		keepUntil:     r.RetainUntil.Add(ClockSkew),
	}
	g.records[r.Key] = rec
	t := &Ticket{gate: g, req: r, rec: rec, ready: make(chan struct{}), dropped: make(chan struct{})}
	if g.active < g.slots() {
		g.grant(t)
	} else {
		g.queue.Push(t, r.Key.Customer, r.Priority)
	}
	return t, nil
}

func (g *Gate) checkAdmission(r Request) error {
	now := g.now()
	if r.Incarnation != g.incarnation {
		return fault.New(fault.WrongIncarnation, "dispatch is for incarnation %s, current incarnation is %s", r.Incarnation, g.incarnation)
	}
	if !r.Deadline.After(now) {
		return fault.New(fault.Deadline, "deadline passed before the handover")
	}
	if g.leaving {
		return fault.New(fault.Leaving, "backend server is leaving")
	}
	if r.NotRepeatable && r.CreatedAt.Before(g.startedAt.Add(MinIncarnationLead)) {
		e := fault.New(fault.NotReady, "request may be older than this incarnation of the sidecar")
		e.RetryAfter = MinIncarnationLead
		return e
	}
	rec, known := g.records[r.Key]
	if !known {
		return nil
	}
	return checkRepeat(rec, r)
}

// checkRepeat checks a request for which the gate has a record.
func checkRepeat(rec *record, r Request) error {
	if rec.phase == tombstone {
		return fault.New(fault.Cancelled, "request was cancelled before it started")
	}
	if rec.notRepeatable || r.NotRepeatable {
		return fault.New(fault.AlreadyHandedOff, "request was already handed over")
	}
	if rec.phase == finished && r.Attempt > rec.attempt {
		return nil
	}
	return fault.New(fault.AlreadyHandedOff, "attempt %d is still in progress", rec.attempt)
}

// ensureCapacity refuses a request that would have to wait if canWait is false, or if
// the expected wait exceeds its deadline. If the queue is full, it drops a queued
// request of lower priority, or of the same priority and a customer with a larger share.
func (g *Gate) ensureCapacity(r Request, canWait bool) error {
	if g.active < g.slots() {
		return nil
	}
	wait := g.expectedWait()
	if !canWait {
		return g.overloaded(wait)
	}
	if g.now().Add(wait).After(r.Deadline) {
		return g.overloaded(wait)
	}
	if g.queue.Len() < g.queueLimit {
		return nil
	}
	victim, ok := g.queue.Shed(r.Key.Customer, r.Priority)
	if !ok {
		return g.overloaded(wait)
	}
	close(victim.dropped)
	return nil
}

func (g *Gate) overloaded(wait time.Duration) error {
	e := fault.New(fault.Overloaded, "%d running, %d waiting, expected wait %v",
		g.active, g.queue.Len(), wait.Round(time.Millisecond))
	e.RetryAfter = wait
	return e
}

// expectedWait returns the expected wait of a request that arrives now.
func (g *Gate) expectedWait() time.Duration {
	rounds := float64(g.queue.Len()+1) / float64(max(g.slots(), 1))
	return max(time.Duration(rounds*float64(g.serviceTime)), time.Millisecond)
}

func (g *Gate) grant(t *Ticket) {
	t.granted = true
	t.since = g.now()
	g.active++
	g.queue.Acquire(t.req.Key.Customer)
	close(t.ready)
}

// Ready returns a channel that is closed when the ticket gets a slot.
func (t *Ticket) Ready() <-chan struct{} { return t.ready }

// Shed returns a channel that is closed when the ticket is dropped from the queue.
// Nothing of the request ran.
func (t *Ticket) Shed() <-chan struct{} { return t.dropped }

// Start marks the request as started and reports whether the backend server may be
// called. It returns false if the ticket has no slot, the request was cancelled or its
// deadline passed.
func (t *Ticket) Start() bool {
	t.gate.mu.Lock()
	defer t.gate.mu.Unlock()
	if !t.granted || t.released || t.rec.phase != reserved {
		return false
	}
	// A sidecar that was suspended past the deadline must not hand the request over. The
	// caller may already have an outcome.
	if !t.req.Deadline.After(t.gate.now()) {
		return false
	}
	t.rec.phase = started
	return true
}

// Finish releases the slot or the queue position. A non-nil answer is kept at most as long as
// the record of the request.
func (t *Ticket) Finish(answer []byte) {
	g := t.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	if t.rec.phase == started {
		t.rec.phase = finished
		g.keep(t.rec, answer)
	}
	if t.rec.phase == reserved && g.records[t.req.Key] == t.rec {
		delete(g.records, t.req.Key)
	}
	g.release(t)
}

func (g *Gate) release(t *Ticket) {
	if t.released {
		return
	}
	t.released = true
	if !t.granted {
		g.queue.Remove(t)
		g.closeIfDrained()
		return
	}
	g.active--
	g.queue.Release(t.req.Key.Customer)
	g.recordServiceTime(g.now().Sub(t.since))
	for g.active < g.slots() {
		next, ok := g.queue.Pop()
		if !ok {
			break
		}
		g.grant(next)
	}
	g.closeIfDrained()
}

func (g *Gate) recordServiceTime(d time.Duration) {
	if g.serviceTime == 0 {
		g.serviceTime = d
		return
	}
	g.serviceTime += time.Duration(ewmaWeight * float64(d-g.serviceTime))
}

// Cancel prevents a request from starting, now and later, and returns its execution
// state. For another incarnation it returns a WrongIncarnation error.
func (g *Gate) Cancel(c wire.Cancel) (wire.CancelReply, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if c.Incarnation != g.incarnation {
		return wire.CancelReply{}, fault.New(fault.WrongIncarnation, "this incarnation has no record of %s", c.Incarnation)
	}
	rec, known := g.records[c.Key]
	if known && rec.phase == finished {
		return wire.CancelReply{State: wire.WasFinished, Body: rec.answer, Dropped: rec.answerDropped}, nil
	}
	if known && rec.phase == started {
		return wire.CancelReply{State: wire.WasStarted}, nil
	}
	if !known {
		rec = &record{}
		g.records[c.Key] = rec
	}
	rec.phase = tombstone
	rec.keepUntil = c.RetainUntil.Add(ClockSkew)
	return wire.CancelReply{State: wire.NeverStarted}, nil
}

// Load returns the gate's current load.
func (g *Gate) Load() wire.Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	return wire.Load{
		Active:   g.active,
		Queued:   g.queue.Len(),
		Capacity: g.slots(),
		Leaving:  g.leaving,
	}
}

// Drain refuses all further requests. The returned channel is closed when every
// admitted request has finished.
func (g *Gate) Drain() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.leaving = true
	g.closeIfDrained()
	return g.drained
}

func (g *Gate) closeIfDrained() {
	if g.leaving && g.active == 0 && g.queue.Len() == 0 && !g.drainedClosed {
		g.drainedClosed = true
		close(g.drained)
	}
}

// Sweep deletes records past their retention and returns the number left.
func (g *Gate) Sweep() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	for k, rec := range g.records {
		if rec.phase != started && rec.phase != reserved && rec.keepUntil.Before(now) {
			delete(g.records, k)
		}
	}
	g.answers.Forget(func(rec *record) bool { return rec.keepUntil.Before(now) })
	return len(g.records)
}
