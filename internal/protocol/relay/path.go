package relay

import (
	"net/http"
	"slices"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/skylarkwood/skylarkwood/internal/coordination/chains"
	"github.com/skylarkwood/skylarkwood/internal/coordination/detector"
	"github.com/skylarkwood/skylarkwood/internal/model"
)

const (
	// pathCheckTimeout bounds the order that confirms a stream's path.
	pathCheckTimeout = 100 * time.Millisecond
	// minStallTimeout is the minimum time left for an event after a path check.
	minStallTimeout = 50 * time.Millisecond
)

// eventInterval returns the planned interval between a stream's events.
func (q *request) eventInterval(stages []chains.Stage) time.Duration {
	spec := q.admitted.Service.Engine
	return q.Chooser.TokenTime(spec, stages) * time.Duration(spec.StepsPerPass)
}

// assess checks the path of a stream whose event is overdue, if the detector requires it.
func (w *chainWatch) assess(generation int) {
	a := w.progress.Assess()
	if a.ReassessAfter > 0 {
		w.resetTimer(generation, a.ReassessAfter)
		return
	}
	if a.NeedsCheck() {
		w.checkPath(generation, a)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.changedLocked(generation) {
		w.pathCheckDue = false
		w.arm(max(nextEventTimeout-a.Pause, minStallTimeout))
	}
}

// checkPath orders the first engine to route the stream over its current path. The order
// is refused if an engine of the path does not run its stage, and the refusal names it.
func (w *chainWatch) checkPath(generation int, a detector.Assessment) {
	confirmed := false
	defer func() { w.progress.CheckFinished(confirmed) }()
	stages, _ := w.state()
	first := stages[0].Server
	ctx, cancel := w.q.Processor.WithTimeout(w.run, pathCheckTimeout)
	defer cancel()
	began := w.q.Now()
	err := w.q.Reroute(ctx, first, w.q.call.Attempt, hops(stages))
	confirmed = err == nil
	klog.InfoS("path check of overdue stream finished", "request", w.q.call.Attempt, "pauseMs", a.Pause.Milliseconds(), "overdue", a.OverdueStreams,
		"candidates", len(a.Candidates), "chain", chainString(stages), "ms", w.q.Now().Sub(began).Milliseconds(), "err", err)
	var conflict pathConflict
	switch {
	case confirmed:
	case errors.As(err, &conflict):
		w.handleCheckRefusal(engineAt(stages, conflict.address), a, err)
	case ctx.Err() != nil && w.run.Err() == nil:
		w.markUnconfirmed(err)
		if slices.Contains(a.Candidates, first.Incarnation()) && !w.changed(generation) {
			w.failEngine(first, err)
		}
	}
}

// handleCheckRefusal handles a refused path check. server is the engine that it names, nil if
// none. If that engine made progress for other streams since this one's event was due, it
// may have unloaded or refused this stream only. Then only this stream leaves it, unless the
// service does not count weak evidence: there the engine has failed for all streams.
func (w *chainWatch) handleCheckRefusal(server *model.BackendServer, a detector.Assessment, err error) {
	switch {
	case server == nil:
	case slices.Contains(a.Candidates, server.Incarnation()) || !w.q.Chooser.CountsWeakEvidence(w.q.admitted.Service.Engine):
		w.failEngine(server, err)
	default:
		w.q.Suspects.Refused(server, w.q.call.Attempt, http.StatusConflict, 0)
		go w.leaveEngines(engineSet{server.Incarnation(): true}, stalled)
	}
}

// markUnconfirmed records that an order was not answered. The engine may execute it after
// a later one, so the stream is not rerouted any more.
func (w *chainWatch) markUnconfirmed(err error) {
	if errors.Is(err, ErrNotSent) {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.unconfirmed = true
}
