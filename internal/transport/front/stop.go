package front

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/skylarkwood/skylarkwood/internal/protocol/relay"
)

// finalResponseTimeout is the part of a planned stop reserved for responding to requests
// that have no response yet. It allows for a router that lacks processor time.
const finalResponseTimeout = 200 * time.Millisecond

// Drain begins a planned stop. Callers are still served but are asked to use another
// connection for their next request.
func (s *Server) Drain() { s.draining.Store(true) }

// Shutdown accepts no more connections and waits for the requests in progress. Requests
// that have arrived on an idle connection are still served. Shortly before ctx is done,
// requests without a response are cancelled and get an error response that states whether
// they may have run. Writing these responses may take finalResponseTimeout even if ctx is
// done by then, because the router may have been suspended.
func (s *Server) Shutdown(ctx context.Context) error {
	s.Drain()
	s.conns.closeWhenIdle()
	waiting, cancel := withEarlierDeadline(ctx, finalResponseTimeout)
	defer cancel()
	if s.conns.wait(waiting) == nil {
		return nil
	}
	klog.InfoS("stop timeout is near; cancelling requests without a response", "active", s.ActiveRequests())
	s.cancelPending()
	responding, stop := context.WithTimeout(context.WithoutCancel(ctx), finalResponseTimeout)
	defer stop()
	return s.conns.wait(responding)
}

// withEarlierDeadline returns a context whose deadline is earlier than that of ctx.
func withEarlierDeadline(ctx context.Context, by time.Duration) (context.Context, context.CancelFunc) {
	deadline, ok := ctx.Deadline()
	if !ok {
		return context.WithCancel(ctx)
	}
	return context.WithDeadline(ctx, deadline.Add(-by))
}

// requestContext returns the context of a request and a function that releases it. The
// context is cancelled with ctx, or by cancelPending if no response has been
// started by then. After cancelPending it is cancelled from the start, so that the request
// is not forwarded. AfterFunc alone would run concurrently and might be too late.
func (s *Server) requestContext(ctx context.Context, out *responseWriter) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(s.stopContext, func() {
		if !out.headerSent.Load() {
			cancel(relay.ErrStopping)
		}
	})
	if s.stopContext.Err() != nil {
		cancel(relay.ErrStopping)
	}
	return ctx, func() {
		stop()
		cancel(nil)
	}
}
