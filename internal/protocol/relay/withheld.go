package relay

import (
	"time"

	"k8s.io/klog/v2"

	"github.com/skylarkwood/skylarkwood/internal/coordination/chains"
	"github.com/skylarkwood/skylarkwood/internal/coordination/limits"
	"github.com/skylarkwood/skylarkwood/internal/coordination/ratelimit"
	"github.com/skylarkwood/skylarkwood/internal/fault"
	"github.com/skylarkwood/skylarkwood/internal/model"
	"github.com/skylarkwood/skylarkwood/platform"
)

// observeResponse records what a server's response to a caller's request states about the
// server. A response from another process at the server's address states nothing about it.
func (q *request) observeResponse(b *model.BackendServer, v platform.ResponseInfo, sentAt time.Duration) {
	if v.Misdirected || !q.answeredBy(v) {
		return
	}
	rate := v.Limit
	if rate == platform.Unlimited {
		rate = ratelimit.Unlimited
	}
	q.Limits.Observe(b.Incarnation(), rate, sentAt)
	if v.Pause == 0 && !v.NotRun {
		q.Pauses.Responded(b.Incarnation(), sentAt)
	}
	q.observeRequests(b, v)
}

// observeRequests records what a server's response to anything asks of this router: a pause, or
// no requests at all because the server leaves.
func (r *Relay) observeRequests(b *model.BackendServer, v platform.ResponseInfo) {
	if v.Misdirected || v.Instance != "" && v.Instance != b.ID {
		return
	}
	r.Pauses.Request(b.Incarnation(), v.Pause)
	if v.Leaving && r.Catalog.MarkLeaving(b.Incarnation()) {
		klog.InfoS("backend server leaves", "server", b.Incarnation(), "address", b.Address, "source", "response")
		if r.AnnounceLeaving != nil {
			r.AnnounceLeaving(b.Incarnation())
		}
	}
}

// HandlePeerLeaving records that a backend server said to a peer that it leaves.
func (r *Relay) HandlePeerLeaving(server model.Incarnation) {
	if r.Catalog.MarkLeaving(server) {
		klog.InfoS("backend server leaves", "server", server, "source", "peer")
	}
}

// takePermission takes the right to send one request to a server under its rate limit and its
// pause. It returns false if the server allows none now.
func (r *Relay) takePermission(inc model.Incarnation) bool {
	if !r.Pauses.Take(inc) {
		return false
	}
	if !r.Limits.Take(inc) {
		r.Pauses.Return(inc)
		return false
	}
	return true
}

// returnPermission gives back what takePermission took for a request that was not sent.
func (r *Relay) returnPermission(inc model.Incarnation) {
	r.Pauses.Return(inc)
	r.Limits.Return(inc)
}

const (
	// minWithheldDelay is the shortest delay after which a caller may return that was refused
	// because of rate limits or pauses. maxLimitDelay is the longest one because of rate
	// limits alone: the retry may reach a router with another share.
	minWithheldDelay = 200 * time.Millisecond
	maxLimitDelay    = 2 * time.Second
)

// withheldError returns the refusal of a request that no server's rate limit or pause allows
// for a time. paused is the part of the wait that is due to pauses. Without a wait, the servers
// that allow requests have no capacity, and the usual delay of an overload applies.
func (q *request) withheldError(wait, paused time.Duration) *fault.Error {
	service := q.admitted.Service.Name
	if wait == 0 {
		return fault.New(fault.Overloaded, "the backend servers of %s that allow requests have no capacity", service)
	}
	f := fault.New(fault.Overloaded, "the rate limits of %s allow no request now", service)
	if paused > 0 {
		f = fault.New(fault.Overloaded, "the backend servers of %s asked for a pause", service)
	}
	f.RetryAfter = limits.Jitter(max(min(wait, maxLimitDelay), paused, minWithheldDelay))
	return f
}

// withheldWait returns the time until rate limits and pauses allow a request at some server of
// a plain service, and the part of it that is due to pauses. The wait is ratelimit.Never if
// there is no server.
func (q *request) withheldWait() (wait, paused time.Duration) {
	wait, paused = ratelimit.Never, ratelimit.Never
	for _, b := range q.Catalog.Load().Service(q.admitted.Service.Name) {
		pause := q.Pauses.Wait(b.Incarnation())
		wait = min(wait, max(pause, q.Limits.Wait(b.Incarnation())))
		paused = min(paused, pause)
	}
	if paused == ratelimit.Never {
		paused = 0
	}
	return wait, paused
}

// withheldTooLong reports whether rate limits and pauses allow the stream no request within
// maxWait, also considering the requests that wait already. A rate limit admits those one
// after the other.
func (s *stream) withheldTooLong(req chains.Requirements, maxWait time.Duration) bool {
	wait, paused := s.Chooser.WithheldWait(s.admitted.Service, req)
	if wait > maxWait {
		return true
	}
	return paused+time.Duration(s.WaitQueue.Len())*(wait-paused) > maxWait
}
