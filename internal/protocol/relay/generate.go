package relay

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/skylarkwood/skylarkwood/internal/coordination/chains"
	"github.com/skylarkwood/skylarkwood/internal/coordination/quarantine"
	"github.com/skylarkwood/skylarkwood/internal/fault"
	"github.com/skylarkwood/skylarkwood/internal/model"
	"github.com/skylarkwood/skylarkwood/internal/wait"
	"github.com/skylarkwood/skylarkwood/platform"
)

// regroupWait is how long an interrupted stream waits before another chain is chosen.
// Engines that fail together are told of one after the other; chosen at once, the chain
// would run through the next of them.
const reselectDelay = 10 * time.Millisecond

// errOutOfOrder says that an engine left an event out.
var errOutOfOrder = errors.New("event out of order")

// stream is a request that generates, through one chain after another.
type stream struct {
	*request
	tokens         int
	lastEventID    int64 // last event that the caller has
	hasLastEventID bool
	events         int
	// ranEvents are those of the present run, repeated ones included.
	runEvents int
	// ranOn are the first engines that ran it.
	firstEngines    map[model.Incarnation]bool
	lastEventTime   time.Time         // when the caller got the last event
	writeErr        error             // why the caller could not be written to
	failureResponse *bufferedResponse // the last engine's own failure
}

// generate runs a request through chains of engines.
func (q *request) serveStream(ctx context.Context) bool {
	s := &stream{request: q, tokens: q.expectedTokens(), firstEngines: map[model.Incarnation]bool{}}
	if id, err := strconv.ParseInt(q.call.ResumeAfter, 10, 64); err == nil {
		s.lastEventID = id
		s.hasLastEventID = true
	}
	var lastErr *fault.Error
	for {
		stages, reservation, f := s.reservePermitted(ctx)
		if f != nil {
			return s.respondFailure(ctx, preferFirst(lastErr, f))
		}
		done, complete, err := s.runReserved(ctx, stages, reservation)
		if done {
			return complete
		}
		if s.writeErr != nil {
			return q.respondError(fault.New(fault.CancelledSent, "the caller takes no more: %v", s.writeErr))
		}
		lastErr = fault.From(err)
		if ctx.Err() != nil || !s.resumable() || !q.allowResume(ctx, err) {
			return s.respondFailure(ctx, lastErr)
		}
		klog.InfoS("stream resumed at another chain", "request", q.call.Attempt, "after", s.lastEventID, "events", s.events,
			"err", err, "sends", q.sends, "ms", q.Now().Sub(q.startTime).Milliseconds())
		if q.runs > 0 {
			wait.For(ctx, reselectDelay)
		}
	}
}

// respondFailure gives the final answer of a stream that goes on nowhere: an engine's own
// failure where one came whole and nothing was begun, also when the time is over by
// now, as it is ready; else the system's.
func (s *stream) respondFailure(ctx context.Context, f *fault.Error) bool {
	switch {
	case s.failureResponse != nil && !s.out.headerWritten:
		return s.forward(s.failureResponse)
	case ctx.Err() != nil:
		f = s.contextError(ctx)
	}
	return s.respondError(f)
}

// runHolding runs the request through one chain and gives its memory back, also where
// the run panics: the HTTP server recovers, and the memory would stay reserved.
func (s *stream) runReserved(ctx context.Context, stages []chains.Stage, reservation *chains.Reservation) (done, complete bool, err error) {
	defer s.WaitQueue.Notify()
	defer reservation.Release()
	return s.run(ctx, stages, reservation)
}

// resumable tells whether another engine can go on where the caller is: events
// without numbers do not tell where that is, and would come twice.
func (s *stream) resumable() bool { return s.events == 0 || s.hasLastEventID }

// keepFirst prefers the failure of an engine to the later lack of a chain.
func preferFirst(first, later *fault.Error) *fault.Error {
	if first != nil && later.Kind == fault.NoCapacity && first.Kind != fault.Internal {
		return first
	}
	return later
}

// run sends the request through one chain and passes its events on. done says
// that the caller has a final answer; whole that it is complete.
func (s *stream) run(ctx context.Context, stages []chains.Stage, reservation *chains.Reservation) (done, complete bool, err error) {
	q := s.request
	first := stages[0].Server
	path := hops(stages)
	q.chain = chainString(stages)
	send := platform.Send{Instance: first.ID, Path: path}
	if s.hasLastEventID {
		send.ResumeAfter = strconv.FormatInt(s.lastEventID, 10)
	}
	run, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	record := q.Quarantine.Begin(q.fingerprint, q.excluded.suspect, locations(stages)...)
	result := quarantine.Inconclusive
	defer func() { q.confirmExits(record.End(result)) }()
	w := q.watch(run, cancel, stages, reservation, record)
	defer func() { q.retryGranted = w.stop() || q.retryGranted }()
	q.sends++
	resp, err := q.BackendClient.Do(run, first.Address, q.newRequest(send))
	if err != nil {
		result = runResult(endReasonOf(run, err), err)
		return false, false, s.handleSendError(run, w, first, err)
	}
	defer resp.Body.Close()
	v := platform.DecodeVerdict(resp.Status, resp.Header)
	if v.Attempt != "" && v.Attempt != q.call.Attempt {
		resp.Body.Discard()
		q.runs++
		return false, false, fault.New(fault.BackendFailed, "an engine answered another request")
	}
	if v.NotRun {
		s.handleRefusal(stages, v, resp.Status)
		return false, false, fault.New(fault.Overloaded, "an engine refused with status %d", resp.Status)
	}
	q.runs++
	s.firstEngines[first.Incarnation()] = true
	if resp.Status != http.StatusOK || v.Signature == "" {
		s.Health.RecordOutcome(first.Incarnation(), false)
		read, err := s.readResponse(resp)
		result = bufferedResult(run, err)
		return s.handleFailureResponse(resp, read, err)
	}
	if q.admitted.Route.Kind != model.RouteStreaming {
		read, err := s.readResponse(resp)
		result = bufferedResult(run, err)
		return s.forwardSingle(read, err)
	}
	s.runEvents = 0
	end := s.forwardEvents(resp, w)
	if end == io.EOF {
		result = quarantine.Completed
		if !q.out.headerWritten {
			s.writeHeader(resp)
		}
		q.finish("ran", nil, http.StatusOK)
		return true, true, nil
	}
	if s.writeErr == nil {
		result = runResult(endReasonOf(run, end), end)
		s.recordChainLoss(w, endReasonOf(run, end), end)
	}
	return false, false, fault.New(fault.BackendLost, "a chain broke off after %d events", s.events)
}

// forwardSingle passes on an answer that is not a stream of events.
func (s *stream) forwardSingle(read *bufferedResponse, err error) (done, complete bool, _ error) {
	if err != nil {
		return false, false, fault.New(fault.BackendLost, "%v", err)
	}
	return true, s.forward(read), nil
}

// handleFailureResponse handles an engine's own failure: a stream that has not begun may be
// tried elsewhere, else the failure is the answer. It is kept, to be the answer also
// where trying elsewhere comes to nothing.
func (s *stream) handleFailureResponse(resp *Response, read *bufferedResponse, err error) (done, complete bool, _ error) {
	if err != nil {
		return false, false, fault.New(fault.BackendFailed, "%v", err)
	}
	if !s.out.headerWritten && (read.status < 500 || !s.retryable()) {
		return true, s.forward(read), nil
	}
	s.failureResponse = read
	return false, false, fault.New(fault.BackendFailed, "an engine failed with status %d", resp.Status)
}

// forwardEvents passes events on until the stream ends; io.EOF is its clean end.
func (s *stream) forwardEvents(resp *Response, w *chainWatch) error {
	q := s.request
	reader := eventReader{src: resp.Body}
	for {
		ev, err := reader.next()
		if err != nil {
			return err
		}
		w.eventReceived()
		if ev.hasID {
			if s.hasLastEventID && ev.id <= s.lastEventID {
				continue
			}
			if s.hasLastEventID && ev.id != s.lastEventID+1 {
				klog.InfoS("event out of order", "request", q.call.Attempt, "id", ev.id, "last", s.lastEventID)
				return errOutOfOrder
			}
		}
		if s.runEvents == 0 {
			stages, _ := w.state()
			s.recordSuccess(stages, w.sentAt)
			w.record.AnswerStarted()
		}
		s.runEvents++
		if !q.out.headerWritten {
			s.writeHeader(resp)
			q.timeToFirstEvent = q.Now().Sub(q.startTime)
			q.Observer.FirstEvent(q.admitted.Service.Name, q.timeToFirstEvent)
		}
		s.recordEventTime()
		if err := q.out.Write(ev.raw); err != nil {
			s.writeErr = err
			return err
		}
		s.events++
		if ev.hasID {
			s.lastEventID = ev.id
			s.hasLastEventID = true
		}
	}
}

// timeEvent notes the pause before an event.
func (s *stream) recordEventTime() {
	now := s.Now()
	if !s.lastEventTime.IsZero() {
		s.longestGap = max(s.longestGap, now.Sub(s.lastEventTime))
	}
	s.lastEventTime = now
}

// writeHeader sends the head of the first engine's answer. Streams that are resumed
// keep it, its signature included.
func (s *stream) writeHeader(resp *Response) {
	h := http.Header{}
	platform.AnswerHeaders(h, resp.Header)
	s.out.WriteHeader(resp.Status, h, -1)
}

// succeed takes in that the engines of a chain did their work, as of when it was
// sent: an engine that drains finishes what it has and takes nothing new.
func (s *stream) recordSuccess(stages []chains.Stage, sent time.Time) {
	for _, stage := range stages {
		s.Health.ClearSuspicion(stage.Server.Incarnation(), sent)
	}
	s.Health.RecordOutcome(stages[0].Server.Incarnation(), true)
}

// handleRefusal takes in which engine would not run its part.
func (s *stream) handleRefusal(stages []chains.Stage, v platform.Verdict, status int) {
	refusing := stages[0].Server
	for _, stage := range stages {
		if stage.Server.Address == v.Culprit {
			refusing = stage.Server
		}
	}
	s.avoid[refusing.Incarnation()] = true
	if v.Misdirected {
		// It is another incarnation, which its report tells, or holds other
		// layers: reports lag, so only its entry will tell. Each further refusal
		// doubles the time.
		until, isNew := s.Health.Suspect(refusing.Incarnation())
		if isNew && refusing.Born != 0 {
			go s.VerifyIncarnation(*refusing)
		}
		klog.InfoS("engine suspected: it does not hold its part", "request", s.call.Attempt, "server", refusing.Incarnation(), "until", until)
	} else {
		s.Suspects.Refused(refusing, s.call.Attempt, status)
	}
}

// handleSendError takes in that an engine gave no answer, and whether the request was sent.
func (s *stream) handleSendError(run context.Context, w *chainWatch, first *model.BackendServer, err error) *fault.Error {
	reason := endReasonOf(run, err)
	if errors.Is(err, ErrNotSent) {
		s.sends--
		s.unsentAttempts++
		if reason != noConnection && !(reason == deadlineExceeded && reason.countsAsFailure(s.Now().Sub(w.sentAt))) {
			s.recordChainLoss(w, reason, err)
			return fault.New(fault.NotConnected, "the run was ended before it was sent: %s", reason)
		}
		s.avoid[first.Incarnation()] = true
		s.Suspects.Unreachable(first, s.call.Attempt, err)
		return fault.New(fault.NotConnected, "no connection to an engine")
	}
	s.runs++
	s.firstEngines[first.Incarnation()] = true
	s.recordChainLoss(w, reason, err)
	return fault.New(fault.BackendLost, "an engine was lost before it answered")
}

// recordChainLoss takes in that a chain broke off, fell silent or was given up by its caller.
// The caller's end speaks against no engine. Where an engine was found at fault it
// alone is avoided; else any of the chain may be, and the stream goes on without all
// of them.
func (s *stream) recordChainLoss(w *chainWatch, reason endReason, err error) {
	stages, failedEngine := w.state()
	klog.InfoS("chain lost", "request", s.call.Attempt, "work", s.fingerprint(), "why", reason, "sent", !errors.Is(err, ErrNotSent), "chain", chainString(stages), "culprit", failedEngine, "err", err, "events", s.events)
	if reason == callerDisconnected || reason == deadlineExceeded || reason == routerStopping {
		return
	}
	if failedEngine != (model.Incarnation{}) {
		s.avoid[failedEngine] = true
		return
	}
	for _, stage := range stages {
		s.avoid[stage.Server.Incarnation()] = true
	}
}

func hops(stages []chains.Stage) []platform.Hop {
	out := make([]platform.Hop, len(stages))
	for i, stage := range stages {
		out[i] = platform.Hop{Address: stage.Server.Address, Layers: stage.Layers}
	}
	return out
}

func chainString(stages []chains.Stage) string {
	var b strings.Builder
	for i, stage := range stages {
		if i > 0 {
			b.WriteByte(' ')
		}
		b.WriteString(stage.Server.ID)
		b.WriteString(stage.Layers.String())
	}
	return b.String()
}
