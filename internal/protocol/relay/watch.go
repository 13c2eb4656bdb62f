package relay

import (
	"context"
	"sync"
	"time"

	"github.com/skylarkwood/skylarkwood/internal/coordination/chains"
	"github.com/skylarkwood/skylarkwood/internal/coordination/detector"
	"github.com/skylarkwood/skylarkwood/internal/coordination/quarantine"
	"github.com/skylarkwood/skylarkwood/internal/model"
)

const (
	// firstSilence is how long a chain may take for the first event before its
	// engines are asked.
	firstEventTimeout = 900 * time.Millisecond
	// nextSilence is the same between events, where the check of the path found nothing.
	nextEventTimeout = 450 * time.Millisecond
	// movedSilence is the same after a part of the chain was replaced: the new
	// engine reads all tokens so far.
	reroutedEventTimeout = 700 * time.Millisecond
	// reportWait bounds asking an engine for its report.
	reportTimeout = 250 * time.Millisecond
	// repathWait bounds the order that replaces a part of a chain.
	rerouteTimeout = 300 * time.Millisecond
	// mostSilences is how many silences in a row a chain is allowed if its
	// first engine answers and names nobody; one less before the first event.
	// Another chain then has time for an event before the caller leaves.
	maxStalls = 3
)

// chainWatch watches one run of a chain. When nothing comes for too long it
// asks the first engine, which knows what its streams wait for. An engine found
// at fault is replaced in the chain, whose other engines keep their memory;
// where that fails the run is ended and the stream goes on elsewhere.
//
// Engines wait for a dead part of their chain for longer than callers do.
type chainWatch struct {
	q           *request
	run         context.Context
	cancel      context.CancelCauseFunc
	reservation *chains.Reservation
	sentAt      time.Time // when the run was sent
	record      *quarantine.Run
	// progress is what the stream's events say of its engines.
	progress *detector.Stream
	// last says that no other engine may go on where this run ends.
	final bool
	// fresh says that the route's attempts leave one at another first engine.
	restartable bool

	mu           sync.Mutex
	stages       []chains.Stage
	timer        *time.Timer
	hasEvents    bool              // an event came
	pathCheckDue bool              // the timer is for the path check, not for a silence
	unconfirmed  bool              // an order was not answered and may be carried out later
	stalls       int               // silences in a row
	generation   int               // counts events and moves, to notice what came meanwhile
	stopped      bool              // ended here, or over
	failedEngine model.Incarnation // the engine at fault; empty if none was found
	rerouting    bool
	// granted says that a repeated send was taken from the budget for what follows
	// this run.
	retryGranted bool
	// paceFrom is when the events began that are counted in paceCount.
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
	w.timer = time.AfterFunc(firstEventTimeout, w.onTimer)
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
		w.timer.Reset(next)
	}
	w.checkSpeed()
}

// checkSpeed has the engines asked when the last events came much slower than the
// chain should give them. The caller holds the lock.
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

// stop ends the watch. It tells whether a repeated send was taken from the budget.
func (w *chainWatch) stop() (retryGranted bool) {
	w.q.ActiveRuns.remove(w)
	w.progress.Close()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
	return w.retryGranted
}

// state gives the chain as it is now and the engine at fault, if one was found.
func (w *chainWatch) state() ([]chains.Stage, model.Incarnation) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.stages, w.failedEngine
}

// onTimer runs when the timer fires.
func (w *chainWatch) onTimer() {
	defer w.recoverPanic()
	w.mu.Lock()
	pathCheckDue := w.pathCheckDue
	generation := w.generation
	over := w.stopped || w.rerouting
	w.mu.Unlock()
	switch {
	case over:
	case pathCheckDue:
		w.assess(generation)
	default:
		w.handleStall()
	}
}

// handleStall looks into a silence.
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
		// The answer comes in one piece. Nothing before it is no silence; its engines
		// are asked less and less often.
		w.resetTimer(generation, time.Duration(n)*nextEventTimeout)
		return
	}
	if n >= w.stallLimit() {
		w.endIfUnchanged(generation, runFailure{reason: stalled, stalls: n})
		return
	}
	w.resetTimer(generation, nextEventTimeout)
}

// stallLimit is how many silences in a row the run is allowed.
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
		w.timer.Reset(after)
	}
}

// changed tells whether an event came, or the chain was moved or has ended,
// meanwhile: what was found out is about the chain as it was before.
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

// blame takes in which engine the chain waits for. The other streams of this
// router that run through it are moved at once, before they notice.
func (w *chainWatch) handleStalledEngine(addr string, generation, n int) {
	stages, _ := w.state()
	if server := engineAt(stages, addr); server != nil {
		w.failEngine(server, nil)
		return
	}
	w.endIfUnchanged(generation, runFailure{reason: stalled, stalls: n})
}

// failEngine takes in that an engine of the chain does not do its part: all streams of this
// router leave it.
func (w *chainWatch) failEngine(server *model.BackendServer, err error) {
	w.q.Suspects.Unreachable(server, w.q.call.Attempt, err)
	w.q.ActiveRuns.notifyLoss(engineSet{server.Incarnation(): true}, stalled)
}

// serverAt is the engine of a chain with an address; nil if there is none.
func engineAt(stages []chains.Stage, addr string) *model.BackendServer {
	for _, stage := range stages {
		if stage.Server.Address == addr {
			return stage.Server
		}
	}
	return nil
}
