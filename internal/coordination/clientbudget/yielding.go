package clientbudget

import "time"

// stalledAt returns when the account may yield unless it makes progress. ok is false if it may not:
// its request was handed on, and its client is not the one that is waited for.
func (a *Account) stalledAt() (at time.Duration, ok bool) {
	if a.yielded.Load() || a.phase == Working && !a.writing || a.knownPeer && a.phase != Working {
		return 0, false
	}
	return a.movedAt + stallTime, true
}

func (a *Account) mayYield(now time.Duration) bool {
	at, ok := a.stalledAt()
	return ok && now >= at
}

// mayBeAbandoned reports whether the client may have left without being noticed: it sends on, behind a request
// that was handed on, without being read.
func (a *Account) mayBeAbandoned(now time.Duration) bool {
	return a.phase == Working && !a.writing && !a.knownPeer && !a.yielded.Load() && now >= a.movedAt+stallTime &&
		a.endHidden != nil && a.endHidden()
}

// yieldsConnectionBefore reports whether the connection is closed before another one's: idle ones
// first, then that without progress for longer.
func (a *Account) yieldsConnectionBefore(other *Account) bool {
	if (a.phase == Idle) != (other.phase == Idle) {
		return a.phase == Idle
	}
	return a.movedAt < other.movedAt
}
