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

// reject responds that the configuration does not allow the request. If the
// configuration may be out of date, a permanent refusal is replaced by a temporary one
// that the caller may retry.
func (q *request) reject(f *fault.Error) bool {
	permanent := f.Kind == fault.NotFound || f.Kind == fault.UnknownCustomer
	if permanent && q.configAge > q.MaxConfigAge {
		f = fault.New(fault.StaleConfig, "the configuration may be out of date: %s", f.Msg)
	}
	return q.respondError(f)
}

// respondError ends the request with an error response of the router. It returns false
// if a response has already begun.
func (q *request) respondError(f *fault.Error) bool {
	status := f.Kind.Response().Status
	if q.runs > 0 && promisesNotRun(status) {
		f = f.WithKind(fault.BackendLost)
		status = f.Kind.Response().Status
	}
	retryAfter := time.Duration(0)
	if promisesNotRun(status) {
		retryAfter = f.RetryDelay()
	}
	q.finish("refused", f, status)
	if q.out.headerWritten {
		return false
	}
	h := http.Header{}
	h.Set("Content-Type", "text/plain; charset=utf-8")
	platform.SetErrorHeaders(h, q.call.Attempt, retryAfter)
	body := []byte(f.Error() + "\n")
	q.out.WriteHeader(status, h, int64(len(body)))
	if err := q.out.Write(body); err != nil {
		klog.V(1).InfoS("error response not written", "request", q.call.Attempt, "err", err)
	}
	return true
}

// promisesNotRun reports whether a status promises that the request did not run.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// finish logs the end of the request and records its metrics.
func (q *request) finish(outcome string, f *fault.Error, status int) {
	elapsed := q.Now().Sub(q.startTime)
	kind := ""
	msg := ""
	if f != nil {
		kind = string(f.Kind)
		msg = f.Msg
	}
	route, service := "", ""
	if q.admitted.Route != nil {
		route = q.admitted.Route.Name
	}
	if q.admitted.Service != nil {
		service = q.admitted.Service.Name
	}
	q.Observer.Request(route, service, outcome, kind, elapsed)
	klog.InfoS("request ended", "request", q.call.Attempt, "outcome", outcome, "kind", kind, "cause", msg,
		"status", status, "progress", q.progress(), "route", route, "service", service, "customer", q.admitted.Customer,
		"ms", elapsed.Milliseconds(), "firstEventMs", q.timeToFirstEvent.Milliseconds(), "longestGapMs", q.longestGap.Milliseconds(), "sends", q.sends, "mayHaveRun", q.runs, "chain", q.chain,
		"configVersion", q.admitted.Version, "configAgeMs", q.configAge.Milliseconds(), "configFrom", q.configOrigin)
}

// progress returns, for the log, how far the request got before it ended.
func (q *request) progress() string {
	switch {
	case q.out.headerWritten:
		return "begun"
	case q.sends > 0:
		return "sent"
	case q.waitingForCapacity:
		return "waiting for room"
	}
	return "before sending"
}

// contextError returns the error for a request whose context ended: its deadline passed,
// its caller disconnected, or the router is stopping.
func (q *request) contextError(ctx context.Context) *fault.Error {
	stopping := errors.Is(context.Cause(ctx), ErrStopping)
	switch {
	case stopping && q.runs == 0:
		return fault.New(fault.Leaving, "the router is stopping and the request was not sent")
	case stopping:
		return fault.New(fault.BackendLost, "the router stopped before the response was complete")
	case errors.Is(ctx.Err(), context.Canceled) && q.runs == 0:
		return fault.New(fault.CancelledUnsent, "the caller disconnected before the request was sent")
	case errors.Is(ctx.Err(), context.Canceled):
		return fault.New(fault.CancelledSent, "the caller disconnected")
	case q.runs == 0:
		return fault.New(fault.TimedOutUnsent, "the deadline passed before the request was sent")
	}
	return fault.New(fault.Deadline, "the deadline passed before the response was complete")
}
