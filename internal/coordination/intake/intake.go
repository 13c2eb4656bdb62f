// Package intake decides when an instance reads from a new connection of a caller, and which new
// connections it refuses unread.
//
// A balancer may hand most new connections to one instance. An instance that reads more requests
// than it has processor time for serves few of them in time. A connection that is refused before
// anything was read costs its caller little: the next try meets another instance.
package intake

import (
	"sync"
	"time"
)

const (
	// patience is how long a new connection waits for the processor before the instance limits
	// what it admits. Callers wait about a second for their request to be read.
	patience = 400 * time.Millisecond
	// minStanding is the time for which the delay must have lasted by then. A process that was
	// stopped has let connections wait, but has time for them.
	minStanding = 200 * time.Millisecond
	// limitedPatience is how long a new connection waits while there is a limit. It is longer
	// than the period of a quota of processor time, in which admissions come in bursts.
	limitedPatience = 150 * time.Millisecond
	// The limit begins at limitStart of the requests in progress, is multiplied by limitDecrease
	// for each decreaseInterval in which the delay lasts, and grows by limitIncrease, at least by
	// 1, in each increaseInterval in which it keeps a connection waiting without a delay.
	limitStart       = 0.5
	limitDecrease    = 0.7
	limitIncrease    = 0.05
	decreaseInterval = 200 * time.Millisecond
	increaseInterval = 100 * time.Millisecond
	minLimit         = 1
	// minWaiting is the number of connections that may wait at a limit below it.
	minWaiting = 4
	// The number of connections admitted after one probe begins at minWindow and doubles with each
	// probe that is on time, up to maxWindow. After a stop many may have arrived at once, and the
	// delay that they cause shows only once they are read.
	minWindow, maxWindow = 16, 1 << 12
	// maxProbeAge is the time without a probe after which connections are admitted without one.
	maxProbeAge = time.Second
	// calmTime is the time without a refused connection after which the limit ends.
	calmTime = 3 * time.Second
)

// Processor tells whether the process has work that waits for the processor.
type Processor interface {
	// Late reports whether the process handles network events late.
	Late() bool
	// Standing returns for how long it has done so without a break.
	Standing() time.Duration
}

// Gate admits new connections while the process keeps up with its work, and bounds the requests in
// progress once it did not for long. A bound on requests, unlike one on their rate, acts at once on
// streams, whose processor time is spent over seconds.
//
// Connections wait in the order of their arrival. Each has a place among the requests in progress
// from its admission on. A Gate is safe for concurrent use. Its decisions must be applied by the
// caller.
type Gate[C any] struct {
	processor Processor
	clock     func() time.Duration

	mu      sync.Mutex
	waiting []arrival[C]
	// window is the number of connections that may be admitted after a probe, and credit how many
	// of them still may.
	window, credit int
	inFlight       int // requests in progress, and admitted connections without a request so far
	limited        bool
	limit          float64 // of inFlight, for new connections
	// hit is set if the limit has kept a connection waiting since it grew.
	hit                              bool
	decreasedAt, increasedAt, calmAt time.Duration
	probedAt                         time.Duration
	log                              limitLog
}

type arrival[C any] struct {
	conn C
	at   time.Duration
}

// Decisions are the connections that a call admits and refuses.
type Decisions[C any] struct {
	Admitted, Refused []C
}

// New returns a gate without connections. clock returns a monotonic time.
func New[C any](p Processor, clock func() time.Duration) *Gate[C] {
	return &Gate[C]{processor: p, clock: clock, window: minWindow, credit: minWindow}
}

// Arrive adds a new connection.
func (g *Gate[C]) Arrive(c C) Decisions[C] {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock()
	g.waiting = append(g.waiting, arrival[C]{c, now})
	d := g.decide(now)
	if g.limited && len(g.waiting) > max(minWaiting, int(g.limit)) {
		newest := len(g.waiting) - 1
		g.refuse(&d, now, newest, newest+1)
	}
	return d
}

// Advance decides again. It must be called after each probe of the processor. again reports whether
// connections wait for nothing but the next probe, so that it should follow at once.
func (g *Gate[C]) Advance() (d Decisions[C], again bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock()
	g.probedAt = now
	if g.processor.Late() {
		g.window = minWindow
	} else {
		g.credit = g.window
		g.window = min(2*g.window, maxWindow)
	}
	g.adjust(now)
	d = g.decide(now)
	g.log.write(now, false, g.state())
	return d, len(g.waiting) > 0 && g.credit == 0
}

// Begin records that a request begins on a connection without a place.
func (g *Gate[C]) Begin() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inFlight++
}

// End records that a request has ended or a connection has closed that had a place.
func (g *Gate[C]) End() Decisions[C] {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inFlight--
	return g.decide(g.clock())
}

// Close decides on the waiting connections, because no more arrive: they are admitted, or refused if
// there is a limit, as a stop leaves no time for them.
func (g *Gate[C]) Close() Decisions[C] {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock()
	var d Decisions[C]
	if g.limited {
		g.refuse(&d, now, 0, len(g.waiting))
		g.log.write(now, true, g.state())
		return d
	}
	for _, a := range g.waiting {
		d.Admitted = append(d.Admitted, a.conn)
	}
	g.inFlight += len(g.waiting)
	g.waiting = nil
	return d
}

// Limited reports whether new connections are limited.
func (g *Gate[C]) Limited() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.limited
}

// Exceeded reports whether more requests are in progress than the limit allows, as those on open
// connections are not refused. Their callers should use other instances for their next requests.
func (g *Gate[C]) Exceeded() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.limited && float64(g.inFlight) > g.limit
}

// decide admits and refuses waiting connections.
func (g *Gate[C]) decide(now time.Duration) Decisions[C] {
	var d Decisions[C]
	for len(g.waiting) > 0 && g.mayAdmit(now) {
		d.Admitted = append(d.Admitted, g.waiting[0].conn)
		g.waiting = g.waiting[1:]
		g.inFlight++
		g.credit--
	}
	expired := 0
	for expired < len(g.waiting) && g.hasExpired(now, g.waiting[expired]) {
		expired++
	}
	if expired > 0 && !g.limited {
		g.setLimit(now, max(limitStart*float64(g.inFlight), minLimit))
	}
	g.refuse(&d, now, 0, expired)
	return d
}

func (g *Gate[C]) mayAdmit(now time.Duration) bool {
	if g.limited && float64(g.inFlight)+1 > g.limit {
		g.hit = true
		return false
	}
	hasCredit := g.credit > 0 || now-g.probedAt > maxProbeAge
	return hasCredit && !g.processor.Late()
}

func (g *Gate[C]) hasExpired(now time.Duration, a arrival[C]) bool {
	if g.limited {
		return now-a.at > limitedPatience
	}
	return now-a.at > patience && g.processor.Standing() > minStanding
}

// refuse refuses the waiting connections from one index up to another.
func (g *Gate[C]) refuse(d *Decisions[C], now time.Duration, from, to int) {
	if from == to {
		return
	}
	for _, a := range g.waiting[from:to] {
		d.Refused = append(d.Refused, a.conn)
	}
	g.waiting = append(g.waiting[:from:from], g.waiting[to:]...)
	g.calmAt = now + calmTime
	g.log.refused += to - from
}

// adjust adapts the limit to the delay.
func (g *Gate[C]) adjust(now time.Duration) {
	if !g.limited {
		return
	}
	standing := g.processor.Standing()
	switch {
	case standing > decreaseInterval && now-g.decreasedAt >= decreaseInterval:
		g.limit = max(limitDecrease*g.limit, minLimit)
		g.decreasedAt = now
	case standing > 0:
	case now >= g.calmAt:
		g.limited = false
		g.log.write(now, true, g.state())
	case g.hit && now-g.increasedAt >= increaseInterval:
		g.limit += max(limitIncrease*g.limit, 1)
		g.increasedAt = now
		g.hit = false
	}
}

func (g *Gate[C]) setLimit(now time.Duration, limit float64) {
	g.limited, g.limit = true, limit
	g.decreasedAt, g.increasedAt = now, now
	g.hit = false
	g.log.write(now, true, g.state())
}

func (g *Gate[C]) state() limitState {
	return limitState{limited: g.limited, standing: g.processor.Standing(), limit: g.limit, inFlight: g.inFlight, waiting: len(g.waiting)}
}
