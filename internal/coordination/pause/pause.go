// Package pause keeps for how long backend servers asked this router to send them no
// requests. A pause is an instruction, not evidence: no success, probe or report of a peer
// ends it. The package does no I/O.
package pause

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/skylarkwood/skylarkwood/internal/model"
)

const (
	// maxPause bounds how long one response can keep a server without requests.
	maxPause = 5 * time.Minute
	// returnSpread is the part of a pause, at most maxReturnSpread, by which it is extended at
	// random. A server asks many routers at the same moment, which would return together.
	returnSpread    = 0.25
	maxReturnSpread = time.Second
	// trialTimeout is how long the first request after a pause keeps others away until it has
	// a response. Otherwise all waiting callers would be sent there at once.
	trialTimeout = 300 * time.Millisecond
)

// Tracker holds the pauses. A nil Tracker has none. It is safe for concurrent use.
type Tracker struct {
	clock func() time.Duration
	count atomic.Int64 // number of pauses, to skip the lock in the common case

	mu     sync.Mutex
	pauses map[model.Incarnation]*pause
}

// pause lasts until a request that was sent after its end has a response.
type pause struct {
	until     time.Duration
	requested time.Duration // the longest time that was asked for
	// trialUntil is when the trial in progress times out; 0 if there was none.
	trialUntil time.Duration
}

// New returns a Tracker without pauses. clock is monotonic.
func New(clock func() time.Duration) *Tracker {
	return &Tracker{clock: clock, pauses: map[model.Incarnation]*pause{}}
}

// Request records that a server asked for a pause from now on. Requests that were sent
// together have responses in any order, so a shorter pause never replaces a longer one.
func (t *Tracker) Request(inc model.Incarnation, d time.Duration) {
	if t == nil || d <= 0 {
		return
	}
	granted := min(d, maxPause)
	until := t.clock() + granted + spread(granted)
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.pauses[inc]
	if p == nil {
		p = &pause{}
		t.pauses[inc] = p
		t.count.Add(1)
	}
	if until <= p.until {
		return
	}
	*p = pause{until: until, requested: granted}
	klog.InfoS("backend server asked for a pause", "server", inc, "requested", d, "granted", granted, "for", until-t.clock())
}

func spread(d time.Duration) time.Duration {
	return rand.N(min(time.Duration(returnSpread*float64(d)), maxReturnSpread) + 1)
}

// Wait returns how long this router may send no request to a server: until its pause ends,
// or until the trial in progress ends.
func (t *Tracker) Wait(inc model.Incarnation) time.Duration {
	p, ok := t.get(inc)
	if !ok {
		return 0
	}
	return max(max(p.until, p.trialUntil)-t.clock(), 0)
}

// Paused reports whether a server's pause lasts. Unlike Wait it ignores a trial.
func (t *Tracker) Paused(inc model.Incarnation) bool {
	p, ok := t.get(inc)
	return ok && t.clock() < p.until
}

// get returns a copy of a server's pause, if it has one.
func (t *Tracker) get(inc model.Incarnation) (pause, bool) {
	if !t.Any() {
		return pause{}, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.pauses[inc]
	if p == nil {
		return pause{}, false
	}
	return *p, true
}

// Take takes the right to send one request to a server. It returns false during a pause, and
// after it while another request tries the server.
func (t *Tracker) Take(inc model.Incarnation) bool {
	if !t.Any() {
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.pauses[inc]
	if p == nil {
		return true
	}
	now := t.clock()
	if now < p.until || now < p.trialUntil {
		return false
	}
	p.trialUntil = now + trialTimeout
	return true
}

// Return gives back what Take took for a request that was not sent after all.
func (t *Tracker) Return(inc model.Incarnation) {
	if !t.Any() {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if p := t.pauses[inc]; p != nil {
		p.trialUntil = 0
	}
}

// Responded records that a server did not refuse a request that was sent at sentAt. It ends a
// pause that was over by then.
func (t *Tracker) Responded(inc model.Incarnation, sentAt time.Duration) {
	if !t.Any() {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if p := t.pauses[inc]; p != nil && sentAt >= p.until {
		t.remove(inc)
		klog.InfoS("backend server accepts requests again after its pause", "server", inc, "requested", p.requested, "after", t.clock()-p.until)
	}
}

// Any reports whether any server has a pause, or had one and was not tried since.
func (t *Tracker) Any() bool { return t != nil && t.count.Load() > 0 }

// Count returns the number of servers whose pause lasts.
func (t *Tracker) Count() int {
	if !t.Any() {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, p := range t.pauses {
		if t.clock() < p.until {
			n++
		}
	}
	return n
}

// Retain drops the pauses that are over of servers that are not known any more or were not
// tried for long. An entry may be missing for a time although its server runs.
func (t *Tracker) Retain(known func(inc model.Incarnation) bool) {
	if !t.Any() {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for inc, p := range t.pauses {
		if over := t.clock() - p.until; over >= maxPause || over >= 0 && !known(inc) {
			t.remove(inc)
		}
	}
}

// remove drops a pause. The caller holds t.mu.
func (t *Tracker) remove(inc model.Incarnation) {
	delete(t.pauses, inc)
	t.count.Add(-1)
}
