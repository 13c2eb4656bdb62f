package relay

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/skylarkwood/skylarkwood/internal/coordination/quarantine"
	"github.com/skylarkwood/skylarkwood/internal/fault"
	"github.com/skylarkwood/skylarkwood/internal/response"
)

// endReason is why a run at a backend server ended without a complete response. It is the
// cause with which the relay cancels the run's context, and is logged.
type endReason string

const (
	callerDisconnected endReason = "caller left"
	deadlineExceeded   endReason = "deadline"
	stalled            endReason = "silence"
	engineExited       endReason = "engine gone"
	tooSlow            endReason = "slower than usual"
	noConnection       endReason = "no connection"
	noDescriptor       endReason = "no descriptor"
	connectionLost     endReason = "broken off"
	brokenResponse     endReason = "broken response"
	withheld           endReason = "the server asked for a pause"
	panicked           endReason = "fault in the code"
	routerStopping     endReason = "router stops"
)

// ErrStopping is the cancellation cause of requests that still run when the router's
// shutdown timeout is about to expire.
var ErrStopping error = routerStopping

func (e endReason) Error() string { return string(e) }

// endReasonOf returns why a run ended with err. The cause of a cancelled context takes
// precedence, as a broken connection is then only its effect.
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
	case errors.Is(err, ErrWithheld):
		return withheld
	case errors.Is(err, ErrNoDescriptor):
		return noDescriptor
	case errors.Is(err, ErrNotSent):
		return noConnection
	case errors.Is(err, response.ErrMalformed), errors.Is(err, response.ErrIncomplete):
		return brokenResponse
	}
	return connectionLost
}

// deadlinePassed reports whether a context's deadline has passed. A dial with the same
// deadline may fail shortly before the context is cancelled.
func deadlinePassed(ctx context.Context) bool {
	until, ok := ctx.Deadline()
	return ok && !time.Now().Before(until)
}

// countsAsFailure reports whether the end of a run is evidence against its server. It is
// not if the caller disconnected, the router is stopping, did not or could not send the request, or the
// deadline left the server too little time.
func (e endReason) countsAsFailure(elapsed time.Duration) bool {
	switch e {
	case callerDisconnected, routerStopping, withheld, noDescriptor:
		return false
	case deadlineExceeded:
		return elapsed >= minAttemptTimeout
	}
	return true
}

// runResult returns the quarantine result of a run without a complete response.
func runResult(reason endReason, err error) quarantine.Result {
	switch reason {
	case connectionLost, brokenResponse, engineExited:
		if !errors.Is(err, ErrNotSent) {
			return quarantine.ConnectionLost
		}
	}
	return quarantine.Inconclusive
}

// bufferedResult returns the result of a run whose response was buffered, with err from
// reading it.
func bufferedResult(run context.Context, resp *Response, err error) quarantine.Result {
	if err == nil {
		return completedResult(resp.EndsWithConnection)
	}
	return runResult(endReasonOf(run, err), err)
}

// completedResult returns the result of a run whose response was complete.
func completedResult(endsWithConnection bool) quarantine.Result {
	if endsWithConnection {
		return quarantine.CompletedAtClose
	}
	return quarantine.Completed
}

// noDescriptorError returns the error for a request of which nothing was sent as this process has no
// descriptor left.
func (q *request) noDescriptorError() *fault.Error {
	f := fault.New(fault.Overloaded, "this instance has no descriptor left for a connection to a backend server of %s", q.admitted.Service.Name)
	f.RetryAfter = q.account.RetryAfter()
	return f
}
