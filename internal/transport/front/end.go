package front

import (
	"net/http"
	"runtime/debug"

	"k8s.io/klog/v2"

	"github.com/skylarkwood/skylarkwood/internal/fault"
)

// End is why a caller's connection ended.
type End string

// The reasons. An answer that cannot be completed is EndBrokenOff; EndServed is
// the end after an answer that said so.
const (
	EndCallerLeft  End = "caller left"
	EndNotWritable End = "not writable"
	EndRested      End = "rested too long"
	EndHeadTooSlow End = "head too slow"
	EndBrokenOff   End = "broken off"
	EndPanic       End = "panic"
	EndServed      End = "served"
)

// Observer counts the ends of callers' connections. under tells whether a
// request was in progress on it.
type Observer interface {
	ConnectionEnded(why End, under bool)
}

// ended logs and counts that a connection ended. Where a request was in progress
// its caller has no whole answer, so the line names it.
func (s *Server) ended(c *timedConn) {
	why, request, cause := c.end()
	if why == "" {
		why = EndServed
	}
	if s.Observer != nil {
		s.Observer.ConnectionEnded(why, request != nil)
	}
	if request != nil {
		klog.InfoS("connection ended under a request", "request", request.Attempt, "caller", c.RemoteAddr(), "why", why, "err", cause)
		return
	}
	klog.V(1).InfoS("connection of a caller ended", "caller", c.RemoteAddr(), "why", why, "err", cause)
}

// recovered answers for a handler that panicked: the standard server would close the
// connection, and only its own log would tell. Where nothing of an answer has been
// sent the caller gets one that promises nothing; an answer that had begun is broken
// off. What the handler held is given back by its deferred calls as in any other end.
func recovered(c *timedConn, out *caller) {
	p := recover()
	if p == nil {
		return
	}
	if p == http.ErrAbortHandler {
		c.endsBy(EndBrokenOff, nil)
		panic(p)
	}
	c.endsBy(EndPanic, nil)
	klog.ErrorS(nil, "handling a request panicked", "request", c.attempt(), "caller", c.RemoteAddr(),
		"answerBegun", out.began.Load(), "panic", p, "stack", string(debug.Stack()))
	if out.began.Load() {
		panic(http.ErrAbortHandler)
	}
	clear(out.w.Header())
	f := fault.New(fault.Internal, "the router failed")
	out.fail(f.Kind.Response().Status, f.Error())
}
