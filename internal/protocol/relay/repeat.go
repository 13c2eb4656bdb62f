package relay

import (
	"context"

	"k8s.io/klog/v2"

	"github.com/skylarkwood/skylarkwood/internal/coordination/caller"
)

// retryable reports whether the request may be sent again at all.
func (q *request) retryable() bool {
	if q.runs >= q.admitted.Route.MaxAttempts || q.sends >= maxSends {
		return false
	}
	return q.runs == 0 || q.admitted.Idempotent()
}

// allowRetry reports whether the request may be sent again, and takes a retry token for
// that.
func (q *request) allowRetry(ctx context.Context, reason string) bool {
	if !q.retryable() || q.lacksDescriptor {
		return false
	}
	if q.firstSend() {
		return caller.Check(ctx, caller.Waiting) == nil
	}
	if !q.takeRetryToken(ctx) {
		if ctx.Err() == nil {
			klog.InfoS("request not retried: retry budget exhausted", "request", q.call.Attempt, "reason", reason)
		}
		return false
	}
	q.Observer.Retry(q.admitted.Service.Name, reason)
	return true
}

// firstSend reports whether the next send is the first, as nothing was sent before. It
// needs no retry token, since the budget counts what reaches backend servers. The number
// of such attempts is bounded.
func (q *request) firstSend() bool { return q.sends == 0 && q.unsentAttempts < maxSends }

// takeRetryToken takes a token from the retry budget, unless one was already taken when
// the previous attempt was cancelled.
func (q *request) takeRetryToken(ctx context.Context) bool {
	if q.retryGranted {
		q.retryGranted = false
		return true
	}
	return q.RetryBorrower.Take(ctx, q.admitted.Service.Name)
}

// maxSends bounds the sends of one request, refused ones included. An engine that refuses
// is seldom followed by three more that do.
const maxSends = 4
