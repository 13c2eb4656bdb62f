package relay

import (
	"net/http"
	"runtime/debug"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/skylarkwood/skylarkwood/internal/fault"
)

// errPanicked says that the code of a request panicked.
var errPanic = errors.New("panic in the code")

// headerTracker is a caller that remembers whether it has the head of an answer.
type headerTracker struct {
	ResponseWriter
	headerWritten bool
}

func (t *headerTracker) WriteHeader(status int, header http.Header, length int64) {
	t.headerWritten = true
	t.ResponseWriter.WriteHeader(status, header, length)
}

// contain, deferred, ends a request whose code panicked: its caller is told that the
// request may have run, or is cut off where an answer has begun. Left to the standard
// server the connection would be closed with no answer, and the end could not be told
// from the process's own.
//
// The other requests may go on: what requests share changes in short sections under
// locks that only count, and the search for a chain, where a fault is likeliest, works
// on what is never changed in place.
func (q *request) recoverPanic(complete *bool) {
	cause := recover()
	if cause == nil {
		return
	}
	if err, ok := cause.(error); ok && errors.Is(err, http.ErrAbortHandler) {
		panic(cause) // no fault: the connection is to be aborted
	}
	q.reportPanic("request", cause)
	q.runs = max(q.runs, q.sends)
	*complete = q.respondError(fault.New(fault.BackendLost, "a fault inside the router ended the request"))
}

// contain is the same for what watches a run beside its request: the run is ended,
// and the stream goes on through another chain. The watch's lock is free by then: what
// ask and leave call under it gives it back by a deferred call.
func (w *chainWatch) recoverPanic() {
	if cause := recover(); cause != nil {
		w.q.reportPanic("watch", cause)
		w.end(runFailure{reason: panicked, err: errPanic})
	}
}

// containSlow is the same for the timer of a slow try, which then goes on.
func (q *request) recoverTimerPanic() {
	if cause := recover(); cause != nil {
		q.reportPanic("slow try", cause)
	}
}

// tellPanic logs and counts a panic. It is called by what recovered it, so that the
// stack is that of the fault.
func (q *request) reportPanic(where string, cause any) {
	klog.ErrorS(errPanic, "fault in the code", "request", q.call.Attempt, "where", where, "panic", cause, "stack", string(debug.Stack()))
	if q.OnPanic != nil {
		q.OnPanic(where)
	}
}
