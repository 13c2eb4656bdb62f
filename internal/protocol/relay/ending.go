package relay

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// ending says why work at a backend server ended before its answer was whole. It is
// the cause with which the relay cancels a run's context, and stands in the log.
type endReason string

const (
	callerDisconnected endReason = "caller left"
	deadlineExceeded   endReason = "deadline"
	stalled            endReason = "silence"
	engineExited       endReason = "engine gone"
	tooSlow            endReason = "slower than usual"
	noConnection       endReason = "no connection"
	connectionLost     endReason = "broken off"
	panicked           endReason = "fault in the code"
	routerStopping     endReason = "router stops"
)

// ErrStopping is the cause with which a request's context ends where its router stops
// and the time for that is nearly over.
var ErrStopping error = routerStopping

func (e endReason) Error() string { return string(e) }

// endingOf tells why a run ended with err. What cancelled its context comes first:
// the broken connection is only its effect.
func endReasonOf(run context.Context, err error) endReason {
	var reason endReason
	cause := context.Cause(run)
	switch {
	case errors.As(cause, &reason):
		return reason
	case errors.Is(cause, context.DeadlineExceeded) || deadlinePassed(run):
		return deadlineExceeded
	case cause != nil:
		return callerDisconnected
	case errors.Is(err, ErrNotSent):
		return noConnection
	}
	return connectionLost
}

// overdue tells whether a context's time is over: a dial that is bound by the same
// time may notice first.
func deadlinePassed(ctx context.Context) bool {
	until, ok := ctx.Deadline()
	return ok && !time.Now().Before(until)
}

// blames tells whether an end speaks against the server. A caller that leaves says
// nothing of it, nor does a router that stops or a deadline that left it no time.
func (e endReason) countsAsFailure(elapsed time.Duration) bool {
	switch e {
	case callerDisconnected, routerStopping:
		return false
	case deadlineExceeded:
		return elapsed >= minAttemptTimeout
	}
	return true
}
