package admission

import "time"

// lineEntry is a waiting request. The Line's mutex protects triedAt and passedSince.
type lineEntry struct {
	Waiter
	wake chan struct{}
	// arrival numbers the entries in the order of their arrival.
	arrival uint64
	// triedAt is when the last try failed, and passedSince when a smaller request first got
	// capacity before this one.
	triedAt, passedSince time.Time
}

// mayTry reports whether all entries that go before e have failed to get capacity recently and
// may be passed by it. If the urgency of e is starved, entries of other urgencies don't count.
func (l *Line) mayTry(e *lineEntry) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	l.shares.update(now)
	starved := l.urgencies.starved(now, e.Urgency)
	for _, o := range l.waiting {
		if starved && o.Urgency != e.Urgency {
			continue
		}
		if o != e && l.precedes(o, e) && !o.passableBy(e, now) {
			return false
		}
	}
	return true
}

// passableBy reports whether e may try before o, which goes first: e is a smaller request of the
// same urgency, the last try of o has just failed, and o has not been passed for too long.
func (o *lineEntry) passableBy(e *lineEntry, now time.Time) bool {
	if o.Urgency != e.Urgency || e.Size >= o.Size || o.triedAt.IsZero() || now.Sub(o.triedAt) > pollInterval {
		return false
	}
	return o.passedSince.IsZero() || now.Sub(o.passedSince) < maxPassing
}

// front returns the entry that goes before all others, or nil.
func (l *Line) front() *lineEntry {
	var front *lineEntry
	for _, e := range l.waiting {
		if front == nil || l.precedes(e, front) {
			front = e
		}
	}
	return front
}

// notify wakes the goroutine of the entry, so that it tries.
func (e *lineEntry) notify() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// precedes reports whether a goes before b. Of equal entries the older one goes first.
func (l *Line) precedes(a, b *lineEntry) bool {
	if a.Urgency != b.Urgency {
		return a.Urgency < b.Urgency
	}
	if a.Begun != b.Begun {
		return a.Begun
	}
	if x, y := l.shares.excess(a.Customer), l.shares.excess(b.Customer); x != y {
		return x < y
	}
	if a.Deadline.Equal(b.Deadline) {
		return a.arrival < b.arrival
	}
	return b.Deadline.IsZero() || !a.Deadline.IsZero() && a.Deadline.Before(b.Deadline)
}
