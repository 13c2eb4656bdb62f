// Package gate decides, beside one backend server, what may start there. It
// alone says "started": nothing reaches the backend server but through a Ticket
// whose Start succeeded, so its word that a request never started is proof.
package gate

import (
	"sync"
	"time"

	"github.com/skylarkwood/skylarkwood/internal/coordination/fair"
	"github.com/skylarkwood/skylarkwood/internal/coordination/limits"
	"github.com/skylarkwood/skylarkwood/internal/fault"
	"github.com/skylarkwood/skylarkwood/internal/protocol/wire"
)

const (
	// ClockSkew is how far the clocks of two instances may differ. What a gate
	// must remember it keeps that much longer: a late dispatch from an entry
	// whose clock is behind would otherwise start after "not run" was said.
	ClockSkew = 5 * time.Second
	// MinIncarnationLead is how much older than a request that is not repeatable a gate's
	// incarnation must be to run it. A gate tells truly that such a request
	// never ran only if its predecessor cannot have met it; so each incarnation
	// runs only ids made after its start, allowing for a caller's clock that is
	// ahead of an entry's by two seconds, and an entry's by one.
	MinIncarnationLead = 3 * time.Second
	// ewmaWeight is the weight of the newest service time.
	ewmaWeight = 0.1
)

type phase int

const (
	reserved phase = iota
	started
	finished
	tombstone
)

// record is what the gate remembers of a request.
type record struct {
	phase         phase
	attempt       int64
	notRepeatable bool
	answer        []byte
	keepUntil     time.Time
}

// Request is what a gate needs to know to let a request in.
type Request struct {
	Key           wire.RunKey
	Attempt       int64
	Incarnation   string
	Deadline      time.Time
	RetainUntil   time.Time // until when the gate must know what became of it
	Priority      int
	NotRepeatable bool
	CreatedAt     time.Time // time in the id of a request that is not repeatable
}

// Gate is the gate of one sidecar incarnation.
type Gate struct {
	incarnation string
	startedAt   time.Time
	capacity    int
	queueLimit  int
	now         func() time.Time

	mu      sync.Mutex
	records map[wire.RunKey]*record
	active  int
	queue   *fair.Queue[*Ticket]
	pace    *limits.ConcurrencyLimiter // nil where the number of places is fixed
	service time.Duration              // smoothed time that a request holds its place
	leaving bool
	drained chan struct{}
	settled bool // drained is closed
}

// New makes a gate that lets capacity requests run and queueLimit more wait.
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

// SetConcurrencyLimiter lets the number of places follow what the engine serves well, up to
// the gate's capacity. It is called before the gate is used.
func (g *Gate) SetConcurrencyLimiter(p *limits.ConcurrencyLimiter) { g.pace = p }

// places is how many requests may run now.
func (g *Gate) places() int {
	if g.pace == nil {
		return g.capacity
	}
	return min(g.capacity, g.pace.Limit())
}

// Ticket is a request's place at the gate.
type Ticket struct {
	gate  *Gate
	req   Request
	rec   *record
	ready chan struct{} // closed when the ticket holds a place
	shed  chan struct{} // closed when the ticket is given up for another
	held  bool
	gone  bool
	since time.Time
}

// Reserve takes a request in, to run at once or to wait; with canWait false a
// full gate refuses. Every error is a proof that this dispatch did not start.
func (g *Gate) Reserve(r Request, canWait bool) (*Ticket, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if err := g.admissible(r); err != nil {
		return nil, err
	}
	if err := g.room(r, canWait); err != nil {
		return nil, err
	}
	rec := &record{
		phase:         reserved,
		attempt:       r.Attempt,
		notRepeatable: r.NotRepeatable,
		keepUntil:     r.RetainUntil.Add(ClockSkew),
	}
	g.records[r.Key] = rec
	t := &Ticket{gate: g, req: r, rec: rec, ready: make(chan struct{}), shed: make(chan struct{})}
	if g.active < g.places() {
		g.grant(t)
	} else {
		g.queue.Push(t, r.Key.Customer, r.Priority)
	}
	return t, nil
}

func (g *Gate) admissible(r Request) error {
	now := g.now()
	if r.Incarnation != g.incarnation {
		return fault.New(fault.WrongIncarnation, "dispatch is for incarnation %s, this is %s", r.Incarnation, g.incarnation)
	}
	if !r.Deadline.After(now) {
		return fault.New(fault.Deadline, "deadline passed before the hand-over")
	}
	if g.leaving {
		return fault.New(fault.Leaving, "backend server is leaving")
	}
	if r.NotRepeatable && r.CreatedAt.Before(g.startedAt.Add(MinIncarnationLead)) {
		e := fault.New(fault.NotReady, "request may be older than this incarnation")
		e.RetryAfter = MinIncarnationLead
		return e
	}
	rec, known := g.records[r.Key]
	if !known {
		return nil
	}
	return admitAgain(rec, r)
}

// admitAgain decides on a request that the gate has met before.
func admitAgain(rec *record, r Request) error {
	if rec.phase == tombstone {
		return fault.New(fault.Cancelled, "request was cancelled before it started")
	}
	if rec.notRepeatable || r.NotRepeatable {
		return fault.New(fault.AlreadyHandedOff, "request was handed over before")
	}
	if rec.phase == finished && r.Attempt > rec.attempt {
		return nil
	}
	return fault.New(fault.AlreadyHandedOff, "attempt %d is still here", rec.attempt)
}

// room refuses what would wait too long. A full queue gives up what is worth
// least, by priority and by customer, for a newcomer that is worth more.
func (g *Gate) room(r Request, canWait bool) error {
	if g.active < g.places() {
		return nil
	}
	wait := g.predictedWait()
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
	close(victim.shed)
	return nil
}

func (g *Gate) overloaded(wait time.Duration) error {
	e := fault.New(fault.Overloaded, "%d running, %d waiting, predicted wait %v",
		g.active, g.queue.Len(), wait.Round(time.Millisecond))
	e.RetryAfter = wait
	return e
}

// predictedWait is how long a request that came now would wait for its place.
func (g *Gate) predictedWait() time.Duration {
	rounds := float64(g.queue.Len()+1) / float64(max(g.places(), 1))
	return max(time.Duration(rounds*float64(g.service)), time.Millisecond)
}

func (g *Gate) grant(t *Ticket) {
	t.held = true
	t.since = g.now()
	g.active++
	g.queue.Acquire(t.req.Key.Customer)
	close(t.ready)
}

// Ready is closed when the ticket holds a place.
func (t *Ticket) Ready() <-chan struct{} { return t.ready }

// Shed is closed when the ticket was given up for a request worth more; nothing
// of it ran.
func (t *Ticket) Shed() <-chan struct{} { return t.shed }

// Start is the hand-over: after true the backend server may be called, and the
// gate says "started". False means that a cancel came first.
func (t *Ticket) Start() bool {
	t.gate.mu.Lock()
	defer t.gate.mu.Unlock()
	if !t.held || t.gone || t.rec.phase != reserved {
		return false
	}
	// A sidecar thawed after its deadline must not hand over what its caller
	// has long been told about.
	if !t.req.Deadline.After(t.gate.now()) {
		return false
	}
	t.rec.phase = started
	return true
}

// Finish gives the place back. The answer is kept as long as the request is
// remembered, for a caller that comes back; nil keeps none.
func (t *Ticket) Finish(answer []byte) {
	g := t.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	if t.rec.phase == started {
		t.rec.phase = finished
		t.rec.answer = answer
	}
	if t.rec.phase == reserved && g.records[t.req.Key] == t.rec {
		delete(g.records, t.req.Key)
	}
	g.release(t)
}

func (g *Gate) release(t *Ticket) {
	if t.gone {
		return
	}
	t.gone = true
	if !t.held {
		g.queue.Remove(t)
		g.settle()
		return
	}
	g.active--
	g.queue.Release(t.req.Key.Customer)
	g.observe(g.now().Sub(t.since))
	for g.active < g.places() {
		next, ok := g.queue.Pop()
		if !ok {
			break
		}
		g.grant(next)
	}
	g.settle()
}

func (g *Gate) observe(d time.Duration) {
	if g.service == 0 {
		g.service = d
		return
	}
	g.service += time.Duration(ewmaWeight * float64(d-g.service))
}

// Cancel keeps a request from starting, now and later, and tells what the gate
// knows of it. Asked about another incarnation's dispatch it knows nothing.
func (g *Gate) Cancel(c wire.Cancel) (wire.CancelReply, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if c.Incarnation != g.incarnation {
		return wire.CancelReply{}, fault.New(fault.WrongIncarnation, "this incarnation knows nothing of %s", c.Incarnation)
	}
	rec, known := g.records[c.Key]
	if known && rec.phase == finished {
		return wire.CancelReply{State: wire.WasFinished, Body: rec.answer}, nil
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

// Load is what the gate says of itself.
func (g *Gate) Load() wire.Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	return wire.Load{
		Active:   g.active,
		Queued:   g.queue.Len(),
		Capacity: g.places(),
		Leaving:  g.leaving,
	}
}

// Drain refuses all new work from now on; the channel closes when what was
// taken in has ended.
func (g *Gate) Drain() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.leaving = true
	g.settle()
	return g.drained
}

func (g *Gate) settle() {
	if g.leaving && g.active == 0 && g.queue.Len() == 0 && !g.settled {
		g.settled = true
		close(g.drained)
	}
}

// Sweep forgets requests that need not be remembered; it tells how many are left.
func (g *Gate) Sweep() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	for k, rec := range g.records {
		if rec.phase != started && rec.phase != reserved && rec.keepUntil.Before(now) {
			delete(g.records, k)
		}
	}
	return len(g.records)
}
