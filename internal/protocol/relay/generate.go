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

// reselectDelay is the delay before another chain is chosen for an interrupted stream. When
// engines fail together, their failures are reported one after the other. A chain chosen at
// once would run through the next of them.
const reselectDelay = 10 * time.Millisecond

// stream is a request to a service of engines. It runs on one chain after another.
type stream struct {
	*request
	tokens         int
	lastEventID    int64 // last event that the caller received
	hasLastEventID bool
	events         int
	// runEvents counts the events of the current run, including repeated ones.
	runEvents int
	// firstEngines are the engines that ran the first stage so far.
	firstEngines    map[model.Incarnation]bool
	lastEventTime   time.Time         // when the last event was written to the caller
	writeErr        error             // error of writing to the caller
	failureResponse *bufferedResponse // the last engine's own failure response
}

// serveStream runs a request on chains of engines until one completes it.
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
			return q.respondError(fault.New(fault.CancelledSent, "writing to the caller failed: %v", s.writeErr))
		}
		lastErr = fault.From(err)
		if ctx.Err() != nil || !s.resumable() || !q.allowResume(ctx, err) {
			return s.respondFailure(ctx, lastErr)
		}
		klog.InfoS("resuming stream on another chain", "request", q.call.Attempt, "after", s.lastEventID, "events", s.events,
			"err", err, "sends", q.sends, "ms", q.Now().Sub(q.startTime).Milliseconds())
		if q.runs > 0 {
			wait.For(ctx, reselectDelay)
		}
	}
}

// respondFailure ends a stream that is not resumed. An engine's own failure response is
// forwarded even after the deadline, if no response has begun.
func (s *stream) respondFailure(ctx context.Context, f *fault.Error) bool {
	switch {
	case s.failureResponse != nil && !s.out.headerWritten:
		return s.forward(s.failureResponse)
	case ctx.Err() != nil:
		f = s.contextError(ctx)
	}
	return s.respondError(f)
}

// runReserved runs the request on one chain and releases its token memory, also if the
// run panics.
func (s *stream) runReserved(ctx context.Context, stages []chains.Stage, reservation *chains.Reservation) (done, complete bool, err error) {
	defer s.WaitQueue.Notify()
	defer reservation.Release()
	return s.run(ctx, stages, reservation)
}

// resumable reports whether another chain can continue the stream. Without event IDs the
// position of the caller is unknown, and events would be repeated.
func (s *stream) resumable() bool { return s.events == 0 || s.hasLastEventID }

// preferFirst returns an engine's earlier failure rather than a later lack of chains.
func preferFirst(first, later *fault.Error) *fault.Error {
	if first != nil && later.Kind == fault.NoCapacity && first.Kind != fault.Internal {
		return first
	}
	return later
}

// run sends the request to one chain and forwards its events. done is set if the caller
// has its final response, complete if that response is complete.
func (s *stream) run(ctx context.Context, stages []chains.Stage, reservation *chains.Reservation) (done, complete bool, err error) {
	q := s.request
	first := stages[0].Server
	path := hops(stages)
	q.chain = chainString(stages)
	send := platform.ForwardOptions{Chain: path}
	if s.hasLastEventID {
		send.ResumeAfter = strconv.FormatInt(s.lastEventID, 10)
	}
	run, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	record := q.Quarantine.Begin(q.subject(), q.excluded.suspect, locations(stages)...)
	result := quarantine.Inconclusive
	defer func() { q.confirmExits(record.End(result)) }()
	w := q.watch(run, cancel, stages, reservation, record)
	defer func() { q.retryGranted = w.stop() || q.retryGranted }()
	q.sends++
	sentAt := q.Clock()
	resp, err := q.BackendClient.Do(run, first.Address, q.newRequest(first, send))
	if err != nil {
		result = runResult(endReasonOf(run, err), err)
		return false, false, s.handleSendError(run, w, first, err)
	}
	defer resp.Body.Close()
	v := platform.DecodeResponseInfo(resp.Status, resp.Header)
	if !q.answeredBy(v) {
		resp.Body.Discard()
		q.runs++
		return false, false, fault.New(fault.BackendFailed, "an engine's response belongs to another request")
	}
	q.observeResponse(first, v, sentAt)
	if v.NotRun {
		q.logRefusal(first, v, resp.Status, q.Clock()-sentAt)
		s.handleRefusal(stages, v, resp.Status)
		return false, false, fault.New(fault.Overloaded, "an engine refused the request with status %d", resp.Status)
	}
	q.runs++
	s.firstEngines[first.Incarnation()] = true
	if resp.Status != http.StatusOK || v.Signature == "" {
		read, err := s.readResponse(run, first, resp)
		result = bufferedResult(run, resp, err)
		if !s.recordBrokenRun(run, w, first, err) {
			s.Health.RecordOutcome(first.Incarnation(), false)
		}
		return s.handleFailureResponse(resp, read, err)
	}
	if q.admitted.Route.Kind != model.RouteStreaming {
		read, err := s.readResponse(run, first, resp)
		result = bufferedResult(run, resp, err)
		s.recordBrokenRun(run, w, first, err)
		return s.forwardSingle(read, err)
	}
	s.runEvents = 0
	end := s.forwardEvents(resp, w)
	if end == io.EOF && resp.EndsWithConnection {
		end = s.confirmEnd(run, first, end)
	}
	if end == io.EOF {
		result = completedResult(resp.EndsWithConnection)
		if !q.out.headerWritten {
			s.writeHeader(resp)
		}
		q.finish("ran", nil, http.StatusOK)
		return true, true, nil
	}
	if s.writeErr == nil {
		result = runResult(endReasonOf(run, end), end)
		if s.runEvents == 0 {
			s.recordBrokenRun(run, w, first, end)
		}
		s.recordChainLoss(w, endReasonOf(run, end), end)
	}
	return false, false, fault.New(fault.BackendLost, "a chain failed after %d events", s.events)
}

// forwardSingle forwards a response that is not an event stream.
func (s *stream) forwardSingle(read *bufferedResponse, err error) (done, complete bool, _ error) {
	if err != nil {
		return false, false, fault.New(fault.BackendLost, "%v", err)
	}
	return true, s.forward(read), nil
}

// handleFailureResponse handles an engine's own failure response. A stream that has not
// begun may be retried. Its response is kept and forwarded if the retries fail. Otherwise
// the response is forwarded now.
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

// forwardEvents forwards events until the stream ends. It returns io.EOF if the stream
// ended normally.
func (s *stream) forwardEvents(resp *Response, w *chainWatch) error {
	q := s.request
	reader := eventReader{src: resp.Body}
	for {
		ev, err := reader.next()
		if err == io.EOF && resp.EndsWithConnection && s.runEvents == 0 {
			return errNoEvents
		}
		if err != nil {
			return err
		}
		w.eventReceived()
		if ev.hasID {
			if s.hasLastEventID && ev.id <= s.lastEventID {
				continue
			}
			if s.hasLastEventID && ev.id != s.lastEventID+1 {
				klog.InfoS("event id out of sequence", "request", q.call.Attempt, "id", ev.id, "last", s.lastEventID)
				return errOutOfOrder
			}
		}
		if s.runEvents == 0 {
			stages, _ := w.state()
			s.recordSuccess(stages, w.sentAt)
		}
		w.record.EventReceived()
		if s.runEvents == 0 && !q.admitted.Idempotent() {
			q.releaseBody()
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

// recordEventTime updates the longest gap between events.
func (s *stream) recordEventTime() {
	now := s.Now()
	if !s.lastEventTime.IsZero() {
		s.longestGap = max(s.longestGap, now.Sub(s.lastEventTime))
	}
	s.lastEventTime = now
}

// writeHeader sends the header of the first engine's response. A resumed stream keeps it,
// including its signature.
func (s *stream) writeHeader(resp *Response) {
	h := http.Header{}
	platform.CopyResponseHeaders(h, resp.Header)
	s.out.WriteHeader(resp.Status, h, -1)
}

// recordSuccess clears the suspicion of the chain's engines. It counts as of the time of
// sending, because an engine that drains completes what it has and refuses new requests.
func (s *stream) recordSuccess(stages []chains.Stage, sent time.Time) {
	for _, stage := range stages {
		s.Health.ClearSuspicion(stage.Server.Incarnation(), sent)
	}
	s.Health.RecordOutcome(stages[0].Server.Incarnation(), true)
}

// handleSendError records that an engine sent no response, and returns the error. It
// distinguishes whether the request was sent.
func (s *stream) handleSendError(run context.Context, w *chainWatch, first *model.BackendServer, err error) *fault.Error {
	reason := endReasonOf(run, err)
	if errors.Is(err, ErrNotSent) {
		s.sends--
		s.unsentAttempts++
		if reason == withheld {
			s.returnPermission(first.Incarnation())
			s.avoid[first.Incarnation()] = true
			return fault.New(fault.Overloaded, "an engine asked for a pause before the request was sent")
		}
		if reason == noDescriptor {
			s.lacksDescriptor = true
			s.returnPermission(first.Incarnation())
			return s.noDescriptorError()
		}
		if reason != noConnection && !(reason == deadlineExceeded && reason.countsAsFailure(s.Now().Sub(w.sentAt))) {
			if !reason.countsAsFailure(0) { // the caller, the deadline or the router ended it
				s.returnPermission(first.Incarnation())
			}
			s.recordChainLoss(w, reason, err)
			return fault.New(fault.NotConnected, "the run was cancelled before it was sent: %s", reason)
		}
		s.avoid[first.Incarnation()] = true
		s.Suspects.Unreachable(first, s.call.Attempt, err)
		return fault.New(fault.NotConnected, "connecting to an engine failed")
	}
	s.runs++
	s.firstEngines[first.Incarnation()] = true
	s.recordBrokenRun(run, w, first, err)
	s.recordChainLoss(w, reason, err)
	return fault.New(fault.BackendLost, "an engine was lost before it responded")
}

// recordChainLoss records that a run ended without completing, and excludes the engine at
// fault from the next chain. If that is unknown, all engines of the chain are excluded.
// No engine is excluded if the caller, the deadline or the router ended the run.
func (s *stream) recordChainLoss(w *chainWatch, reason endReason, err error) {
	stages, failedEngine := w.state()
	klog.InfoS("run on chain failed", "request", s.call.Attempt, "work", s.fingerprint(), "why", reason, "sent", !errors.Is(err, ErrNotSent), "chain", chainString(stages), "culprit", failedEngine, "err", err, "events", s.events)
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

func hops(stages []chains.Stage) []platform.Stage {
	out := make([]platform.Stage, len(stages))
	for i, stage := range stages {
		out[i] = platform.Stage{Address: stage.Server.Address, Layers: stage.Layers}
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
