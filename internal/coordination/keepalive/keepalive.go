// Package keepalive decides how long a caller's connection may rest and how long a
// request's head may take. It decides only for connections on which no request is in
// progress: those are ended by the request's own answer.
package keepalive

import (
	"time"

	"github.com/skylarkwood/skylarkwood/internal/model"
)

// The margin is kept beyond the operator's idle time, as a request that crosses the
// close is lost to its caller. Callers are told to use a connection until shortly
// before that time; they were seen to use it up to a third beyond, 20 s where it was
// 15 s, and half of it covers that. A second at least covers the way to the farthest
// caller, some milliseconds, many times over where the idle time is short.
const (
	marginShare = 0.5
	leastMargin = time.Second
)

// IdleMargin gives the margin beyond an idle time.
func IdleMargin(idle time.Duration) time.Duration {
	return max(leastMargin, time.Duration(marginShare*float64(idle)))
}

// Phase is what a connection is doing.
type Phase int

// The phases. Only Idle and ReadingHeader have a bound here.
const (
	Idle          Phase = iota // nothing of the next request has been read
	ReadingHeader              // a part of a head has been read
	Serving                    // a request is in progress
)

// ConnState is the life of one connection. Its zero value rests since the zero time. Its
// owner keeps calls apart.
type ConnState struct {
	phase   Phase
	since   time.Time // when the phase began
	retired bool
}

// StartIdle begins to wait for the next request.
func (l *ConnState) StartIdle(now time.Time) {
	l.phase = Idle
	l.since = now
}

// BytesRead takes in that bytes were read. The first ones of a head begin its time; later
// ones don't prolong it, or a caller could hold the connection by single bytes.
func (l *ConnState) BytesRead(now time.Time) {
	if l.phase == Idle {
		l.phase = ReadingHeader
		l.since = now
	}
}

// StartRequest begins a request.
func (l *ConnState) StartRequest() { l.phase = Serving }

// CloseWhenIdle ends the connection as soon as it rests: its router stops.
func (l *ConnState) CloseWhenIdle() { l.retired = true }

// Phase gives the present phase.
func (l *ConnState) Phase() Phase { return l.phase }

// longAgo is a bound that has passed.
var longAgo = time.Unix(1, 0)

// Deadline is when the phase must be over, by the limits that are in force now: a
// connection that came to rest under a shorter time is used by its caller for as
// long as the newest configuration says. Zero is no bound.
func (l *ConnState) Deadline(limits model.CallerLimits) time.Time {
	switch {
	case l.phase == Serving:
		return time.Time{}
	case l.phase == ReadingHeader:
		return l.since.Add(limits.HeaderTimeout)
	case l.retired:
		return longAgo
	}
	return l.since.Add(limits.IdleTimeout + IdleMargin(limits.IdleTimeout))
}

// Expired decides at now whether the phase's time is over. Where bytes of the caller have
// arrived and are not read yet it is not: a router that is short of processor time is
// late to read them, which is not the caller's fault.
func (l *ConnState) Expired(now time.Time, limits model.CallerLimits, arrived bool) bool {
	until := l.Deadline(limits)
	return !until.IsZero() && !arrived && !now.Before(until)
}
