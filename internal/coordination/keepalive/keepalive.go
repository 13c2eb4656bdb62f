// Package keepalive decides how long a caller's connection may be idle and how long a
// request header may take. Connections with a request in progress have no deadline here.
package keepalive

import (
	"time"

	"github.com/skylarkwood/skylarkwood/internal/model"
)

// The margin is added to the idle timeout, since a request that is sent while the
// connection is closed gets no response. Callers are told the timeout without the margin,
// but may use connections longer. The minimum covers the network delay to callers.
const (
	marginShare = 0.5
	minMargin   = time.Second
)

// IdleMargin returns the margin that is added to an idle timeout.
func IdleMargin(idle time.Duration) time.Duration {
	return max(minMargin, time.Duration(marginShare*float64(idle)))
}

// Phase is the phase of a connection.
type Phase int

// Phases of a connection. Only Idle and ReadingHeader have a deadline.
const (
	Idle          Phase = iota // nothing of the next request has been read
	ReadingHeader              // a part of a header has been read
	Serving                    // a request is in progress
)

// ConnState tracks the phase of one connection. The zero value is idle since the zero
// time. It is not safe for concurrent use.
type ConnState struct {
	phase         Phase
	phaseStart    time.Time
	closeWhenIdle bool
	lastRead      time.Time // zero before the first read
}

// StartIdle records that the connection waits for the next request.
func (s *ConnState) StartIdle(now time.Time) {
	s.phase = Idle
	s.phaseStart = now
}

// BytesRead records that bytes were read. Only the first bytes of a header start its
// timeout. Otherwise a caller could hold the connection by sending single bytes.
func (s *ConnState) BytesRead(now time.Time) {
	s.lastRead = now
	if s.phase == Idle {
		s.phase = ReadingHeader
		s.phaseStart = now
	}
}

// StartRequest records that a request is in progress, and returns when the first of its bytes was read.
// Those of a pipelined request were read with the previous one.
func (s *ConnState) StartRequest() (firstRead time.Time) {
	firstRead = s.lastRead
	if s.phase == ReadingHeader {
		firstRead = s.phaseStart
	}
	s.phase = Serving
	return firstRead
}

// CloseWhenIdle makes the connection expire as soon as it is idle, for a router that shuts
// down.
func (s *ConnState) CloseWhenIdle() { s.closeWhenIdle = true }

// Phase returns the current phase.
func (s *ConnState) Phase() Phase { return s.phase }

// pastDeadline is a deadline that has already passed.
var pastDeadline = time.Unix(1, 0)

// Deadline returns when the current phase must end under the given limits, or the zero
// time if it has no deadline. Changed limits apply also to a connection that is already
// idle.
func (s *ConnState) Deadline(limits model.CallerLimits) time.Time {
	switch {
	case s.phase == Serving:
		return time.Time{}
	case s.phase == ReadingHeader:
		return s.phaseStart.Add(limits.HeaderTimeout)
	case s.closeWhenIdle:
		return pastDeadline
	}
	return s.phaseStart.Add(limits.IdleTimeout + IdleMargin(limits.IdleTimeout))
}

// Expired reports whether the deadline has passed. A connection on which unread bytes have
// arrived does not expire, since a router that lacks CPU time may read them late.
func (s *ConnState) Expired(now time.Time, limits model.CallerLimits, arrived bool) bool {
	deadline := s.Deadline(limits)
	return !deadline.IsZero() && !arrived && !now.Before(deadline)
}
