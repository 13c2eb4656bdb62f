package relay

import (
	"context"
	"sync"
	"time"

	"github.com/skylarkwood/skylarkwood/internal/coordination/chains"
	"github.com/skylarkwood/skylarkwood/internal/coordination/detector"
	"github.com/skylarkwood/skylarkwood/internal/coordination/processor"
	"github.com/skylarkwood/skylarkwood/internal/coordination/quarantine"
	"github.com/skylarkwood/skylarkwood/internal/model"
)

const (
	// firstEventTimeout is how long a chain may take for the first event before its first
	// engine is asked for a report.
	firstEventTimeout = 900 * time.Millisecond
	// nextEventTimeout is the same between events, after a path check without a finding.
	nextEventTimeout = 450 * time.Millisecond
	// reroutedEventTimeout is the same after a rerouting, when the new engine must
	// prefill all tokens so far.
	reroutedEventTimeout = 700 * time.Millisecond
	// reportTimeout bounds a request for an engine's report.
	reportTimeout = 250 * time.Millisecond
	// rerouteTimeout bounds an order that reroutes a stream.
	rerouteTimeout = 300 * time.Millisecond
	// maxStalls is the number of consecutive stalls after which a chain is abandoned even
	// if its first engine responds and names no engine at fault. Before the first event
	// it is one less, to leave time for another chain's first event before callers
	// disconnect.
	maxStalls = 3
)

// chainWatch watches one run on a chain. If an event is overdue, it queries the first
// engine, which reports what its streams wait for. A failed engine is replaced in the chain,
// so that the other engines keep their token memory. If that fails the run is ended, and
// the stream resumes on another chain.
//
// Engines tolerate a failed stage for longer than callers do.
type chainWatch struct {
	q           *request
	run         context.Context
	cancel      context.CancelCauseFunc
	reservation *chains.Reservation
	sentAt      time.Time
	record      *quarantine.Run
	// progress tracks the stream's events for the detector.
	progress *detector.Stream
	// final is set if no other engine may resume the stream after this run.
	final bool
	// restartable is set if the route's attempts allow another first engine.
	restartable bool

	mu           sync.Mutex
	stages       []chains.Stage
	timer        *time.Timer
	armed        processor.Stopwatch // since the timer was set
	timeout      time.Duration       // of the timer
	hasEvents    bool                // an event was received
	pathCheckDue bool                // the timer is for a path check, not for a stall
	unconfirmed  bool                // an order was not answered and may be executed later
	stalls       int                 // consecutive stalls
	generation   int                 // incremented by events and reroutings
	stopped      bool                // the run has ended
	failedEngine model.Incarnation   // the engine at fault; empty if unknown
	rerouting    bool
	// retryGranted is set if a retry token was taken for what follows this run.
	retryGranted bool
	// sampleStart and sampleEvents are the start and the number of events of the current
	// speed sample.
	sampleStart  time.Time
	sampleEvents int
}

func (q *request) watch(run context.Context, cancel context.CancelCauseFunc, stages []chains.Stage, reservation *chains.Reservation, record *quarantine.Run) *chainWatch {
	w := &chainWatch{q: q, run: run, cancel: cancel, stages: stages, reservation: reservation, record: record, sentAt: q.Now()}
	w.final = !q.admitted.Idempotent() || q.sends+1 >= maxSends
	w.restartable = !w.final && q.runs+1 < q.admitted.Route.MaxAttempts
	path := engines(stages)
	w.progress = q.Detector.Track(path, q.eventInterval(stages), q.admitted.Route.TargetGap)
	w.startTimer()
	if exited, found := q.ActiveRuns.add(w, path...); found {
		w.end(runFailure{failedEngine: exited, reason: engineExited})
	} else if lost := q.ActiveRuns.recentlyLost(path); len(lost) > 0 {
		go w.leaveEngines(lost, stalled)
	}
	return w
}

func (w *chainWatch) startTimer() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.armed, w.timeout = w.q.Processor.Start(), firstEventTimeout
	w.timer = time.AfterFunc(w.timeout, w.onTimer)
}

// arm sets the timer. The caller must hold w.mu.
func (w *chainWatch) arm(timeout time.Duration) {
	w.armed, w.timeout = w.q.Processor.Start(), timeout
	w.timer.Reset(timeout)
}

func engines(stages []chains.Stage) []model.Incarnation {
	out := make([]model.Incarnation, len(stages))
	for i, stage := range stages {
		out[i] = stage.Server.Incarnation()
	}
	return out
}

func (w *chainWatch) eventReceived() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.hasEvents = true
	w.stalls = 0
	w.generation++
	w.pathCheckDue = true
	next := w.progress.RecordEvent()
	if !w.stopped {
		w.arm(next)
	}
	w.checkSpeed()
}

// checkSpeed polls the engines if the last events arrived much slower than planned. The
// caller must hold w.mu.
func (w *chainWatch) checkSpeed() {
	now := w.q.Now()
	if w.sampleStart.IsZero() {
		w.sampleStart = now
		return
	}
	if w.sampleEvents++; w.sampleEvents < speedSampleEvents {
		return
	}
	actual := now.Sub(w.sampleStart) / speedSampleEvents
	planned := w.q.eventInterval(w.stages)
	w.sampleStart = now
	w.sampleEvents = 0
	if float64(actual) > slowChainFactor*float64(planned) {
		w.q.SlowdownMonitor.Check(w.stages, w.q.call.Attempt, actual, planned)
	}
}

// stop ends the watch. It returns whether a retry token was taken.
func (w *chainWatch) stop() (retryGranted bool) {
	w.q.ActiveRuns.remove(w)
	w.progress.Close()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
	return w.retryGranted
}

// state returns the current chain and the engine at fault, if known.
func (w *chainWatch) state() ([]chains.Stage, model.Incarnation) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.stages, w.failedEngine
}

// onTimer handles the expiry of the timer.
func (w *chainWatch) onTimer() {
	defer w.recoverPanic()
	w.mu.Lock()
	pathCheckDue := w.pathCheckDue
	generation := w.generation
	over := w.stopped || w.rerouting
	if left := w.armed.Remaining(w.timeout); left > 0 && !over {
		// Events may have arrived that this process had no time to read.
		w.timer.Reset(left)
		over = true
	}
	w.mu.Unlock()
	switch {
	case over:
	case pathCheckDue:
		w.assess(generation)
	default:
		w.handleStall()
	}
}

// handleStall asks the first engine why no event arrived.
func (w *chainWatch) handleStall() {
	w.mu.Lock()
	if w.stopped || w.rerouting {
		w.mu.Unlock()
		return
	}
	w.stalls++
	n := w.stalls
	generation := w.generation
	first := w.stages[0].Server
	w.mu.Unlock()
	report, err := w.q.fetchReport(first)
	if w.changed(generation) {
		return
	}
	if err != nil {
		w.q.Suspects.Unreachable(first, w.q.call.Attempt, err)
		w.endIfUnchanged(generation, runFailure{failedEngine: first.Incarnation(), reason: stalled, stalls: n, err: err})
		return
	}
	if addr := stalledAddress(report, w.q.call.Attempt); addr != "" {
		w.handleStalledEngine(addr, generation, n)
		return
	}
	if w.q.admitted.Route.Kind != model.RouteStreaming {
		// The response arrives in one piece, so waiting for it is not a stall. The engine is
		// polled at growing intervals.
		w.resetTimer(generation, time.Duration(n)*nextEventTimeout)
		return
	}
	if n >= w.stallLimit() {
		w.endIfUnchanged(generation, runFailure{reason: stalled, stalls: n})
		return
	}
	w.resetTimer(generation, nextEventTimeout)
}

// stallLimit returns the number of consecutive stalls after which the run is abandoned.
func (w *chainWatch) stallLimit() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.hasEvents {
		return maxStalls
	}
	return maxStalls - 1
}

func (w *chainWatch) resetTimer(generation int, after time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.changedLocked(generation) {
		w.arm(after)
	}
}

// changed reports whether an event arrived, or the chain was rerouted or ended, since the
// given generation. Findings about the older chain are then obsolete.
func (w *chainWatch) changed(generation int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.changedLocked(generation)
}

func (w *chainWatch) changedLocked(generation int) bool {
	return w.stopped || w.rerouting || w.generation != generation
}

func stalledAddress(r model.EngineReport, attempt string) string {
	for _, st := range r.Stalled {
		if st.Attempt == attempt {
			return st.Address
		}
	}
	return ""
}

// handleStalledEngine handles a report that the chain waits for the engine at an address.
func (w *chainWatch) handleStalledEngine(addr string, generation, n int) {
	stages, _ := w.state()
	if server := engineAt(stages, addr); server != nil {
		w.failEngine(server, nil)
		return
	}
	w.endIfUnchanged(generation, runFailure{reason: stalled, stalls: n})
}

// failEngine records that an engine of the chain does not run its stage. All streams of this
// router stop using it.
func (w *chainWatch) failEngine(server *model.BackendServer, err error) {
	w.q.Suspects.Unreachable(server, w.q.call.Attempt, err)
	w.q.ActiveRuns.notifyLoss(engineSet{server.Incarnation(): true}, stalled)
}

// engineAt returns the engine of a chain at an address; nil if there is none.
func engineAt(stages []chains.Stage, addr string) *model.BackendServer {
	for _, stage := range stages {
		if stage.Server.Address == addr {
			return stage.Server
		}
	}
	return nil
}
