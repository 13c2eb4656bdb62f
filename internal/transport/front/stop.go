package front

import (
	"context"
	"net/http"
	"time"

	"k8s.io/klog/v2"

	"github.com/skylarkwood/skylarkwood/internal/protocol/relay"
)

// lastCall is kept of a planned stop's time to answer requests that have no
// answer yet. An answer of the router's own takes a millisecond to make and a few
// to its caller; the rest is for a router that is short of processor time.
const lastCall = 200 * time.Millisecond

// Drain begins a planned stop: callers are still served, and each is asked to
// use another connection next time.
func (s *Server) Drain() { s.draining.Store(true) }

// Shutdown takes no more connections and waits for what runs. A request that has
// arrived on a resting connection is still served. Shortly before ctx ends, requests
// without an answer get one of the router's own, which says whether they may have run:
// cut off by the process's end, their callers would know nothing. The answers have
// their time also where ctx has ended by then: a router that was held up would else end
// at the moment of its last call.
func (s *Server) Shutdown(ctx context.Context) error {
	s.Drain()
	s.conns.retire()
	running, cancel := earlier(ctx, lastCall)
	defer cancel()
	if s.conns.wait(running) == nil {
		return nil
	}
	klog.InfoS("last call: requests without an answer are ended", "active", s.ActiveRequests())
	s.endNow()
	answering, stop := context.WithTimeout(context.WithoutCancel(ctx), lastCall)
	defer stop()
	return s.conns.wait(answering)
}

// earlier ends before ctx does.
func earlier(ctx context.Context, by time.Duration) (context.Context, context.CancelFunc) {
	until, ok := ctx.Deadline()
	if !ok {
		return context.WithCancel(ctx)
	}
	return context.WithDeadline(ctx, until.Add(-by))
}

// until gives the context of a request, which ends with its connection, or at the last
// call where it has no answer by then. One that comes after the last call begins with a
// context that has ended, so that nothing of it is sent: what ends contexts at the call
// runs beside the request, and would come after the send.
func (s *Server) until(r *http.Request, out *caller) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(r.Context())
	stop := context.AfterFunc(s.ending, func() {
		if !out.began.Load() {
			cancel(relay.ErrStopping)
		}
	})
	if s.ending.Err() != nil {
		cancel(relay.ErrStopping)
	}
	return ctx, func() {
		stop()
		cancel(nil)
	}
}
