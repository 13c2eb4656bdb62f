package relay

import (
	"context"

	"k8s.io/klog/v2"
)

// repeatable tells whether the request may be sent again at all.
func (q *request) retryable() bool {
	if q.runs >= q.admitted.Route.MaxAttempts || q.sends >= maxSends {
		return false
	}
	return q.runs == 0 || q.admitted.Idempotent()
}

// mayRepeat takes one repeated send from the budget, if the request may be sent
// again.
func (q *request) allowRetry(ctx context.Context, reason string) bool {
	if !q.retryable() {
		return false
	}
	if q.firstSend() {
		return ctx.Err() == nil
	}
	if !q.takeRetryToken(ctx) {
		if ctx.Err() == nil {
			klog.InfoS("no repeat: the retry budget is used up", "request", q.call.Attempt, "reason", reason)
		}
		return false
	}
	q.Observer.Retry(q.admitted.Service.Name, reason)
	return true
}

// firstSend tells whether the next send repeats nothing, as nothing went out before: it
// needs no part of the budget, which counts what reaches backend servers. Only a few
// tries are free, so that one request cannot try for ever.
func (q *request) firstSend() bool { return q.sends == 0 && q.unsentAttempts < maxSends }

// takeRepeat takes one repeated send from the budget, unless that was done when the
// try before was given up.
func (q *request) takeRetryToken(ctx context.Context) bool {
	if q.retryGranted {
		q.retryGranted = false
		return true
	}
	return q.RetryBorrower.Take(ctx, q.admitted.Service.Name)
}

// maxSends bounds the sends of one request, refused ones included: an engine
// that refuses is seldom followed by three more.
const maxSends = 4
