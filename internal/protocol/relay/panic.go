package relay

import (
	"net/http"
	"runtime/debug"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/skylarkwood/skylarkwood/internal/fault"
)

// errPanic is logged and reported when the code panicked.
var errPanic = errors.New("recovered from panic")

// headerTracker is a ResponseWriter that records whether the header was written.
type headerTracker struct {
	ResponseWriter
	headerWritten bool
}

func (t *headerTracker) WriteHeader(status int, header http.Header, length int64) {
	t.headerWritten = true
	t.ResponseWriter.WriteHeader(status, header, length)
}

// recoverPanic is deferred. It ends a request whose handling panicked: the caller is told
// that the request may have run, or its connection is aborted if a response has begun.
// Left to the HTTP server, the connection would be closed without a response, as if the
// process had exited.
//
// Other requests may continue. Shared state is modified only in short critical sections,
// and the search for a chain works on immutable data.
func (q *request) recoverPanic(complete *bool) {
	cause := recover()
	if cause == nil {
		return
	}
	if err, ok := cause.(error); ok && errors.Is(err, http.ErrAbortHandler) {
		panic(cause) // deliberate abort of the connection
	}
	q.reportPanic("request", cause)
	q.runs = max(q.runs, q.sends)
	*complete = q.respondError(fault.New(fault.BackendLost, "internal error in the router"))
}

// recoverPanic is the equivalent for goroutines that watch a run: the run is ended, and
// the stream continues on another chain. w.mu is not held at that point, because callees
// that lock it unlock it by defer.
func (w *chainWatch) recoverPanic() {
	if cause := recover(); cause != nil {
		w.q.reportPanic("watch", cause)
		w.end(runFailure{reason: panicked, err: errPanic})
	}
}

// recoverTimerPanic is the equivalent for the timer of a slow attempt, which then
// continues.
func (q *request) recoverTimerPanic() {
	if cause := recover(); cause != nil {
		q.reportPanic("slow try", cause)
	}
}

// reportPanic logs and counts a panic. It is called by the deferred function that
// recovered it, so that the stack contains the origin.
func (q *request) reportPanic(where string, cause any) {
	klog.ErrorS(errPanic, "fault in the code", "request", q.call.Attempt, "where", where, "panic", cause, "stack", string(debug.Stack()))
	if q.OnPanic != nil {
		q.OnPanic(where)
	}
}
