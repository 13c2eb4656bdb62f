package front

import (
	"net/http"
	"runtime/debug"

	"k8s.io/klog/v2"

	"github.com/skylarkwood/skylarkwood/internal/coordination/caller"
	"github.com/skylarkwood/skylarkwood/internal/fault"
)

// EndReason is why a caller's connection ended.
type EndReason string

// Reasons for the end of a connection. EndAborted means that a response could not be
// completed. EndServed means that the connection was closed after a complete response that
// announced it.
const (
	EndCallerClosed  EndReason = "caller left"
	EndWriteFailed   EndReason = "not writable"
	EndIdleTimeout   EndReason = "rested too long"
	EndHeaderTimeout EndReason = "head too slow"
	EndAborted       EndReason = "broken off"
	EndPanic         EndReason = "panic"
	EndServed        EndReason = "served"
	EndNoRoom        EndReason = "no room"
)

// Observer counts the ends of callers' connections. under reports whether a request was in
// progress on the connection.
type Observer interface {
	ConnectionEnded(reason EndReason, under bool)
	// CallerLeft records where it was found that the caller of a request in progress has left.
	CallerLeft(found caller.Point)
}

func (s *Server) recordCallerLeft(found caller.Point) {
	if s.Observer != nil {
		s.Observer.CallerLeft(found)
	}
}

// recordConnectionEnd logs and counts the end of a connection. If a request was in
// progress, its caller got no complete response, and the log line names the request.
func (s *Server) recordConnectionEnd(c *timedConn) {
	reason, request, cause := c.endState()
	if reason == "" {
		reason = EndServed
	}
	if s.Observer != nil {
		s.Observer.ConnectionEnded(reason, request != nil)
	}
	if request != nil {
		klog.InfoS("connection ended during a request", "request", request.Attempt, "caller", c.RemoteAddr(), "why", reason, "err", cause)
		return
	}
	klog.V(1).InfoS("caller's connection ended", "caller", c.RemoteAddr(), "why", reason, "err", cause)
}

// recoverHandler responds after a panic of the handler. It must be deferred. net/http
// would only close the connection. If no part of a response was sent, the caller gets an
// error response. Otherwise the connection is aborted. The handler's deferred calls
// release its resources as usual.
func recoverHandler(c *timedConn, out *responseWriter) {
	p := recover()
	if p == nil {
		return
	}
	if p == http.ErrAbortHandler {
		c.setEndReason(EndAborted, nil)
		panic(p)
	}
	c.setEndReason(EndPanic, nil)
	klog.ErrorS(nil, "handling a request panicked", "request", c.attemptID(), "caller", c.RemoteAddr(),
		"answerBegun", out.headerSent.Load(), "panic", p, "stack", string(debug.Stack()))
	if out.headerSent.Load() {
		panic(http.ErrAbortHandler)
	}
	clear(out.w.Header())
	f := fault.New(fault.Internal, "the router failed")
	out.writeError(f.Kind.Response().Status, f.Error())
}
