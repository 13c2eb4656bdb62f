package relay

import (
	"k8s.io/klog/v2"

	"github.com/skylarkwood/skylarkwood/internal/model"
)

// runFailure is why a run is ended, and by whose fault; culprit is empty where that is
// not known.
type runFailure struct {
	failedEngine model.Incarnation
	reason       endReason
	stalls       int
	err          error
}

// endIfUnchanged ends a run for what was found out when its news count stood at news. It asks
// again under the lock that it ends the run with: an event that came since, or a move,
// shows that the chain works. A run that no other engine may go on with, or for which
// no repeated send is granted, is kept: its end would be a sure loss, while a silent
// engine may go on; its caller decides how long to wait.
func (w *chainWatch) endIfUnchanged(generation int, f runFailure) {
	retryGranted := !w.final && w.takeRetryToken()
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.changedLocked(generation) || w.run.Err() != nil {
		return
	}
	if retryGranted {
		w.endLocked(f)
		return
	}
	klog.InfoS("run kept: no other engine may go on", "request", w.q.call.Attempt, "why", f.reason, "culprit", f.failedEngine, "silences", f.stalls, "begun", w.hasEvents, "budget", !w.final, "err", f.err)
	if !w.final {
		w.timer.Reset(nextEventTimeout)
	}
}

// takeRetryToken takes a repeated send from the budget for what follows this run. It stays
// granted where the chain speaks again before it is ended.
func (w *chainWatch) takeRetryToken() bool {
	w.mu.Lock()
	retryGranted := w.retryGranted
	w.mu.Unlock()
	if retryGranted || !w.q.RetryBorrower.Take(w.run, w.q.admitted.Service.Name) {
		return retryGranted
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.retryGranted = true
	return true
}

// end ends a run that is not over yet.
func (w *chainWatch) end(f runFailure) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.stopped {
		w.endLocked(f)
	}
}

// endIfThrough ends a run for an engine whose process has ended, if it still runs through
// it. The same end may be told again, by another watcher, and the run moved away since;
// a move under way decides for itself.
func (w *chainWatch) endIfUses(lost model.Incarnation) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.stopped && !w.rerouting && uses(w.stages, lost) {
		w.endLocked(runFailure{failedEngine: lost, reason: engineExited})
	}
}

func (w *chainWatch) endLocked(f runFailure) {
	w.failedEngine = f.failedEngine
	w.stopped = true
	w.timer.Stop()
	klog.InfoS("run abandoned", "request", w.q.call.Attempt, "why", f.reason, "culprit", f.failedEngine, "silences", f.stalls, "begun", w.hasEvents, "err", f.err)
	w.cancel(f.reason)
}
