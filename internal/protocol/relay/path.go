package relay

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/skylarkwood/skylarkwood/internal/coordination/chains"
	"github.com/skylarkwood/skylarkwood/internal/coordination/detector"
)

const (
	// checkWait bounds the order that confirms a path.
	checkWait = 100 * time.Millisecond
	// leastSilence is the least time that is left for an event after a path check.
	leastSilence = 50 * time.Millisecond
)

// eventInterval is the planned time between a stream's events.
func (q *request) eventInterval(parts []chains.Stage) time.Duration {
	spec := q.ticket.Service.Engine
	return q.Chooser.TokenTime(spec, parts) * time.Duration(spec.StepsPerPass)
}

// assess decides whether a stream whose event is overdue has its path checked.
func (w *chainWatch) assess(news int) {
	a := w.progress.Assess()
	if a.ReassessAfter > 0 {
		w.askAgain(news, a.ReassessAfter)
		return
	}
	if a.NeedsCheck() {
		w.checkPath(news, a)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.changedLocked(news) {
		w.early = false
		w.timer.Reset(max(nextSilence-a.Pause, leastSilence))
	}
}

// checkPath orders the first engine to send the stream the way it goes already: it
// refuses that, and names the engine, where one of them does not take its part.
func (w *chainWatch) checkPath(news int, a detector.Assessment) {
	held := false
	defer func() { w.progress.CheckFinished(held) }()
	parts, _ := w.state()
	first := parts[0].Server
	ctx, cancel := context.WithTimeout(w.run, checkWait)
	defer cancel()
	began := w.q.Now()
	err := w.q.Reroute(ctx, first, w.q.call.Attempt, hops(parts))
	held = err == nil
	klog.InfoS("path of an overdue stream checked", "request", w.q.call.Attempt, "pauseMs", a.Pause.Milliseconds(), "overdue", a.OverdueStreams,
		"candidates", len(a.Candidates), "chain", describe(parts), "ms", w.q.Now().Sub(began).Milliseconds(), "err", err)
	var refused conflict
	switch {
	case held:
	case errors.As(err, &refused):
		if server := serverAt(parts, refused.address); server != nil {
			w.fail(server, err)
		}
	case ctx.Err() != nil && w.run.Err() == nil:
		w.doubt(err)
		if slices.Contains(a.Candidates, first.Incarnation()) && !w.changed(news) {
			w.fail(first, err)
		}
	}
}

// doubt notes that an order was not answered: it may be carried out after a later one,
// so the stream gets no other.
func (w *chainWatch) doubt(err error) {
	if errors.Is(err, ErrNotSent) {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.unsure = true
}
