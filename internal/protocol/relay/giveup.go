package relay

import (
	"k8s.io/klog/v2"

	"github.com/skylarkwood/skylarkwood/internal/model"
)

// runFailure is why a run is ended. failedEngine is empty if it is unknown.
type runFailure struct {
	failedEngine model.Incarnation
	reason       endReason
	stalls       int
	err          error
}

// endIfUnchanged ends a run for a failure that was found at the given generation. A newer
// event or a rerouting proves that the chain works. The run also continues if no other
// engine may resume it or no retry token is granted, because ending it would certainly
// lose the stream while a stalled engine may recover.
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
	klog.InfoS("stalled run continues: no other engine may resume it or no retry token available", "request", w.q.call.Attempt, "why", f.reason, "culprit", f.failedEngine, "silences", f.stalls, "begun", w.hasEvents, "budget", !w.final, "err", f.err)
	if !w.final {
		w.arm(nextEventTimeout)
	}
}

// takeRetryToken takes a retry token for what follows this run. The token is kept if the
// chain recovers before the run is ended.
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

// end ends a run that has not ended yet.
func (w *chainWatch) end(f runFailure) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.stopped {
		w.endLocked(f)
	}
}

// endIfUses ends a run because an engine has exited, if the run still uses that engine. The
// same exit may be reported twice, with a rerouting in between. A rerouting in progress
// decides on its own.
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
