package relay

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/skylarkwood/skylarkwood/internal/fault"
	"github.com/skylarkwood/skylarkwood/platform"
)

// deny answers what the configuration does not allow. An old configuration
// may lack a route or key that is in force: then the request is refused for
// now, which its caller may repeat, and not for good.
func (q *request) deny(f *fault.Error) bool {
	age := q.Config.Age(q.Clock())
	permanent := f.Kind == fault.NotFound || f.Kind == fault.UnknownCustomer
	if permanent && age > q.MaxConfigAge {
		f = fault.New(fault.StaleConfig, "the configuration is not known to be current: %s", f.Msg)
	}
	return q.refuse(f)
}

// refuse gives the final answer of the system's own.
func (q *request) refuse(f *fault.Error) bool {
	status := f.Kind.Response().Status
	if q.runs > 0 && promisesNotRun(status) {
		f = f.WithKind(fault.BackendLost)
		status = f.Kind.Response().Status
	}
	after := time.Duration(0)
	if promisesNotRun(status) {
		after = f.RetryDelay()
	}
	q.finish("refused", f, status)
	if q.out.head {
		return false
	}
	h := http.Header{}
	h.Set("Content-Type", "text/plain; charset=utf-8")
	platform.SetErrorHeaders(h, q.call.Attempt, after)
	body := []byte(f.Error() + "\n")
	q.out.Begin(status, h, int64(len(body)))
	if err := q.out.Write(body); err != nil {
		klog.V(1).InfoS("refusal not delivered", "request", q.call.Attempt, "err", err)
	}
	return true
}

// promisesNotRun lists the statuses that promise it.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// finish writes the request's line and counts it.
func (q *request) finish(outcome string, f *fault.Error, status int) {
	took := q.Now().Sub(q.since)
	kind := ""
	msg := ""
	if f != nil {
		kind = string(f.Kind)
		msg = f.Msg
	}
	route, service := "", ""
	if q.ticket.Route != nil {
		route = q.ticket.Route.Name
	}
	if q.ticket.Service != nil {
		service = q.ticket.Service.Name
	}
	q.Observer.Request(route, service, outcome, kind, took)
	klog.InfoS("request ended", "request", q.call.Attempt, "outcome", outcome, "kind", kind, "cause", msg,
		"status", status, "progress", q.progress(), "route", route, "service", service, "customer", q.ticket.Customer,
		"ms", took.Milliseconds(), "firstEventMs", q.firstEvent.Milliseconds(), "longestGapMs", q.longestGap.Milliseconds(), "sends", q.sends, "mayHaveRun", q.runs, "chain", q.chain,
		"configVersion", q.ticket.Version, "configAgeMs", q.Config.Age(q.Clock()).Milliseconds())
}

// progress is how far the request was when it ended, for the log: whether a server had
// it, and whether its caller has something of an answer.
func (q *request) progress() string {
	switch {
	case q.out.head:
		return "begun"
	case q.sends > 0:
		return "sent"
	case q.waiting:
		return "waiting for room"
	}
	return "before sending"
}

// ended gives the answer for a request whose time is over, whose caller left, or whose
// router stops.
func (q *request) ended(ctx context.Context) *fault.Error {
	stops := errors.Is(context.Cause(ctx), ErrStopping)
	switch {
	case stops && q.runs == 0:
		return fault.New(fault.Leaving, "the router stops, and nothing was sent")
	case stops:
		return fault.New(fault.BackendLost, "the router stops before the answer came")
	case errors.Is(ctx.Err(), context.Canceled) && q.runs == 0:
		return fault.New(fault.CancelledUnsent, "the caller left before anything was sent")
	case errors.Is(ctx.Err(), context.Canceled):
		return fault.New(fault.CancelledSent, "the caller left")
	case q.runs == 0:
		return fault.New(fault.TimedOutUnsent, "no time left, and nothing was sent")
	}
	return fault.New(fault.Deadline, "no answer in time")
}
