package relay

import (
	"time"

	"github.com/skylarkwood/skylarkwood/internal/coordination/chains"
	"github.com/skylarkwood/skylarkwood/internal/coordination/limits"
	"github.com/skylarkwood/skylarkwood/internal/coordination/ratelimit"
	"github.com/skylarkwood/skylarkwood/internal/fault"
	"github.com/skylarkwood/skylarkwood/internal/model"
	"github.com/skylarkwood/skylarkwood/platform"
)

// observeLimit records the rate limit that a server's response advertised. A response from
// another process at the server's address says nothing about the server.
func (q *request) observeLimit(b *model.BackendServer, v platform.ResponseInfo, sentAt time.Duration) {
	if v.Misdirected || v.Attempt != "" && v.Attempt != q.call.Attempt {
		return
	}
	rate := v.Limit
	if rate == platform.Unlimited {
		rate = ratelimit.Unlimited
	}
	q.Limits.Observe(b.Incarnation(), rate, sentAt)
}

// limitError returns the refusal of a request that no server's rate limit allows for a time.
func (q *request) limitError(wait time.Duration) *fault.Error {
	f := fault.New(fault.Overloaded, "the rate limits of %s allow no request now", q.admitted.Service.Name)
	f.RetryAfter = limits.Jitter(min(max(wait, minLimitRetryDelay), maxLimitRetryDelay))
	return f
}

const (
	// minLimitRetryDelay and maxLimitRetryDelay bound the delay after which a caller may
	// return that was refused because of rate limits. Its retry may reach another router.
	minLimitRetryDelay = 200 * time.Millisecond
	maxLimitRetryDelay = 2 * time.Second
)

// limitWait returns the time until a rate limit allows a request at some server of a plain
// service.
func (q *request) limitWait() time.Duration {
	wait := ratelimit.Never
	for _, b := range q.Catalog.Load().Service(q.admitted.Service.Name) {
		wait = min(wait, q.Limits.Wait(b.Incarnation()))
	}
	return wait
}

// limitsTooLow reports whether rate limits allow the stream no request within maxWait, also
// considering the requests that wait already.
func (s *stream) limitsTooLow(req chains.Requirements, maxWait time.Duration) bool {
	wait := s.Chooser.LimitWait(s.admitted.Service, req)
	return wait == ratelimit.Never || time.Duration(s.WaitQueue.Len())*wait > maxWait || wait > maxWait
}
