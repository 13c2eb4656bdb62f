package relay

import (
	"context"

	"k8s.io/klog/v2"

	"github.com/skylarkwood/skylarkwood/internal/model"
)

// recordBrokenResponse records the end of an attempt at a plain server with err, which is a malformed or an
// incomplete response.
func (q *request) recordBrokenResponse(b *model.BackendServer, err error) {
	q.Health.Cancel(b.Incarnation()) // the failure is recorded below
	if q.Health.RecordBrokenResponse(b.Incarnation()) {
		until, _ := q.Health.Suspect(b.Incarnation())
		klog.InfoS("backend server suspected: it breaks its responses", "request", q.call.Attempt, "server", b.Incarnation(), "err", err, "until", until)
	}
}

// recordBrokenRun records the end of a run with err before its first event. If err is a broken response, the first
// engine is at fault, and recordBrokenRun returns true. Later engines may be the cause of the end of a stream that
// has begun.
func (s *stream) recordBrokenRun(run context.Context, w *chainWatch, first *model.BackendServer, err error) bool {
	if err == nil || endReasonOf(run, err) != brokenResponse {
		return false
	}
	w.setFailedEngine(first.Incarnation())
	s.avoid[first.Incarnation()] = true
	if s.Health.RecordBrokenResponse(first.Incarnation()) {
		s.Suspects.Unreachable(first, s.call.Attempt, err)
	}
	return true
}

func (w *chainWatch) setFailedEngine(engine model.Incarnation) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.failedEngine = engine
}
