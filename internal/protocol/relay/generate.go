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
const regroupWait = 10 * time.Millisecond

// errOutOfOrder says that an engine left an event out.
var errOutOfOrder = errors.New("event out of order")

// stream is a request that generates, through one chain after another.
type stream struct {
	*request
	tokens  int
	lastID  int64 // last event that the caller has
	hasLast bool
	events  int
	// ranEvents are those of the present run, repeated ones included.
	ranEvents int
	// ranOn are the first engines that ran it.
	ranOn     map[model.Incarnation]bool
	lastEvent time.Time // when the caller got the last event
	delivered error     // why the caller could not be written to
	ready     *whole    // the last engine's own failure
}

// generate runs a request through chains of engines.
func (q *request) generate(ctx context.Context) bool {
	s := &stream{request: q, tokens: q.size(), ranOn: map[model.Incarnation]bool{}}
	if id, err := strconv.ParseInt(q.call.ResumeAfter, 10, 64); err == nil {
		s.lastID = id
		s.hasLast = true
	}
	var last *fault.Error
	for {
		parts, hold, f := s.place(ctx)
		if f != nil {
			return s.giveUp(ctx, keepFirst(last, f))
		}
		done, whole, err := s.runHolding(ctx, parts, hold)
		if done {
			return whole
		}
		if s.delivered != nil {
			return q.refuse(fault.New(fault.CancelledSent, "the caller takes no more: %v", s.delivered))
		}
		last = fault.From(err)
		if ctx.Err() != nil || !s.resumable() || !q.mayResume(ctx, err) {
			return s.giveUp(ctx, last)
		}
		klog.InfoS("stream resumed at another chain", "request", q.call.Attempt, "after", s.lastID, "events", s.events,
			"err", err, "sends", q.sends, "ms", q.Now().Sub(q.since).Milliseconds())
		if q.runs > 0 {
			wait.For(ctx, regroupWait)
		}
	}
}

// giveUp gives the final answer of a stream that goes on nowhere: an engine's own
// failure where one came whole and nothing was begun, also when the time is over by
// now, as it is ready; else the system's.
func (s *stream) giveUp(ctx context.Context, f *fault.Error) bool {
	switch {
	case s.ready != nil && !s.out.head:
		return s.deliver(s.ready)
	case ctx.Err() != nil:
		f = s.ended(ctx)
	}
	return s.refuse(f)
}

// runHolding runs the request through one chain and gives its memory back, also where
// the run panics: the HTTP server recovers, and the memory would stay reserved.
func (s *stream) runHolding(ctx context.Context, parts []chains.Stage, hold *chains.Reservation) (done, whole bool, err error) {
	defer s.WaitQueue.Notify()
	defer hold.Release()
	return s.run(ctx, parts, hold)
}

// resumable tells whether another engine can go on where the caller is: events
// without numbers do not tell where that is, and would come twice.
func (s *stream) resumable() bool { return s.events == 0 || s.hasLast }

// keepFirst prefers the failure of an engine to the later lack of a chain.
func keepFirst(first, then *fault.Error) *fault.Error {
	if first != nil && then.Kind == fault.NoCapacity && first.Kind != fault.Internal {
		return first
	}
	return then
}

// run sends the request through one chain and passes its events on. done says
// that the caller has a final answer; whole that it is complete.
func (s *stream) run(ctx context.Context, parts []chains.Stage, hold *chains.Reservation) (done, whole bool, err error) {
	q := s.request
	first := parts[0].Server
	path := hops(parts)
	q.chain = describe(parts)
	send := platform.ForwardOptions{Instance: first.ID, Chain: path}
	if s.hasLast {
		send.ResumeAfter = strconv.FormatInt(s.lastID, 10)
	}
	run, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	record := q.Quarantine.Begin(q.work, q.barred.suspect, places(parts)...)
	result := quarantine.Inconclusive
	defer func() { q.confirm(record.End(result)) }()
	w := q.watch(run, cancel, parts, hold, record)
	defer func() { q.granted = w.stop() || q.granted }()
	q.sends++
	ans, err := q.BackendClient.Do(run, first.Address, q.outbound(send))
	if err != nil {
		result = resultOf(endingOf(run, err), err)
		return false, false, s.missed(run, w, first, err)
	}
	defer ans.Body.Close()
	v := platform.DecodeResponseInfo(ans.Status, ans.Header)
	if v.Attempt != "" && v.Attempt != q.call.Attempt {
		ans.Body.Discard()
		q.runs++
		return false, false, fault.New(fault.BackendFailed, "an engine answered another request")
	}
	if v.NotRun {
		s.refused(parts, v, ans.Status)
		return false, false, fault.New(fault.Overloaded, "an engine refused with status %d", ans.Status)
	}
	q.runs++
	s.ranOn[first.Incarnation()] = true
	if ans.Status != http.StatusOK || v.Signature == "" {
		s.Health.RecordOutcome(first.Incarnation(), false)
		read, err := s.readWhole(ans)
		result = survivedIf(run, err)
		return s.failed(ans, read, err)
	}
	if q.ticket.Route.Kind != model.RouteStreaming {
		read, err := s.readWhole(ans)
		result = survivedIf(run, err)
		return s.single(read, err)
	}
	s.ranEvents = 0
	end := s.pass(ans, w)
	if end == io.EOF {
		result = quarantine.Completed
		if !q.out.head {
			s.begin(ans)
		}
		q.finish("ran", nil, http.StatusOK)
		return true, true, nil
	}
	if s.delivered == nil {
		result = resultOf(endingOf(run, end), end)
		s.lost(w, endingOf(run, end), end)
	}
	return false, false, fault.New(fault.BackendLost, "a chain broke off after %d events", s.events)
}

// single passes on an answer that is not a stream of events.
func (s *stream) single(read *whole, err error) (done, complete bool, _ error) {
	if err != nil {
		return false, false, fault.New(fault.BackendLost, "%v", err)
	}
	return true, s.deliver(read), nil
}

// failed handles an engine's own failure: a stream that has not begun may be
// tried elsewhere, else the failure is the answer. It is kept, to be the answer also
// where trying elsewhere comes to nothing.
func (s *stream) failed(ans *Response, read *whole, err error) (done, complete bool, _ error) {
	if err != nil {
		return false, false, fault.New(fault.BackendFailed, "%v", err)
	}
	if !s.out.head && (read.status < 500 || !s.repeatable()) {
		return true, s.deliver(read), nil
	}
	s.ready = read
	return false, false, fault.New(fault.BackendFailed, "an engine failed with status %d", ans.Status)
}

// pass passes events on until the stream ends; io.EOF is its clean end.
func (s *stream) pass(ans *Response, w *chainWatch) error {
	q := s.request
	reader := eventReader{src: ans.Body}
	for {
		ev, err := reader.next()
		if err != nil {
			return err
		}
		w.heard()
		if ev.hasID {
			if s.hasLast && ev.id <= s.lastID {
				continue
			}
			if s.hasLast && ev.id != s.lastID+1 {
				klog.InfoS("event out of order", "request", q.call.Attempt, "id", ev.id, "last", s.lastID)
				return errOutOfOrder
			}
		}
		if s.ranEvents == 0 {
			parts, _ := w.state()
			s.succeed(parts, w.since)
			w.record.AnswerStarted()
		}
		s.ranEvents++
		if !q.out.head {
			s.begin(ans)
			q.firstEvent = q.Now().Sub(q.since)
			q.Observer.FirstEvent(q.ticket.Service.Name, q.firstEvent)
		}
		s.timeEvent()
		if err := q.out.Write(ev.raw); err != nil {
			s.delivered = err
			return err
		}
		s.events++
		if ev.hasID {
			s.lastID = ev.id
			s.hasLast = true
		}
	}
}

// timeEvent notes the pause before an event.
func (s *stream) timeEvent() {
	now := s.Now()
	if !s.lastEvent.IsZero() {
		s.longestGap = max(s.longestGap, now.Sub(s.lastEvent))
	}
	s.lastEvent = now
}

// begin sends the head of the first engine's answer. Streams that are resumed
// keep it, its signature included.
func (s *stream) begin(ans *Response) {
	h := http.Header{}
	platform.CopyResponseHeaders(h, ans.Header)
	s.out.Begin(ans.Status, h, -1)
}

// succeed takes in that the engines of a chain did their work, as of when it was
// sent: an engine that drains finishes what it has and takes nothing new.
func (s *stream) succeed(parts []chains.Stage, sent time.Time) {
	for _, p := range parts {
		s.Health.ClearSuspicion(p.Server.Incarnation(), sent)
	}
	s.Health.RecordOutcome(parts[0].Server.Incarnation(), true)
}

// refused takes in which engine would not run its part.
func (s *stream) refused(parts []chains.Stage, v platform.ResponseInfo, status int) {
	culprit := parts[0].Server
	for _, p := range parts {
		if p.Server.Address == v.FailedEngine {
			culprit = p.Server
		}
	}
	s.avoid[culprit.Incarnation()] = true
	if v.Misdirected {
		// It is another incarnation, which its report tells, or holds other
		// layers: reports lag, so only its entry will tell. Each further refusal
		// doubles the time.
		until, news := s.Health.Suspect(culprit.Incarnation())
		if news && culprit.Born != 0 {
			go s.VerifyIncarnation(*culprit)
		}
		klog.InfoS("engine suspected: it does not hold its part", "request", s.call.Attempt, "server", culprit.Incarnation(), "until", until)
	} else {
		s.Suspects.Refused(culprit, s.call.Attempt, status)
	}
}

// missed takes in that an engine gave no answer, and whether the request was sent.
func (s *stream) missed(run context.Context, w *chainWatch, first *model.BackendServer, err error) *fault.Error {
	why := endingOf(run, err)
	if errors.Is(err, ErrNotSent) {
		s.sends--
		s.unsent++
		if why != noConnection && !(why == timeOver && why.blames(s.Now().Sub(w.since))) {
			s.lost(w, why, err)
			return fault.New(fault.NotConnected, "the run was ended before it was sent: %s", why)
		}
		s.avoid[first.Incarnation()] = true
		s.Suspects.Unreachable(first, s.call.Attempt, err)
		return fault.New(fault.NotConnected, "no connection to an engine")
	}
	s.runs++
	s.ranOn[first.Incarnation()] = true
	s.lost(w, why, err)
	return fault.New(fault.BackendLost, "an engine was lost before it answered")
}

// lost takes in that a chain broke off, fell silent or was given up by its caller.
// The caller's end speaks against no engine. Where an engine was found at fault it
// alone is avoided; else any of the chain may be, and the stream goes on without all
// of them.
func (s *stream) lost(w *chainWatch, why ending, err error) {
	parts, culprit := w.state()
	klog.InfoS("chain lost", "request", s.call.Attempt, "work", s.work(), "why", why, "sent", !errors.Is(err, ErrNotSent), "chain", describe(parts), "culprit", culprit, "err", err, "events", s.events)
	if why == callerLeft || why == timeOver || why == stopping {
		return
	}
	if culprit != (model.Incarnation{}) {
		s.avoid[culprit] = true
		return
	}
	for _, p := range parts {
		s.avoid[p.Server.Incarnation()] = true
	}
}

func hops(parts []chains.Stage) []platform.Stage {
	out := make([]platform.Stage, len(parts))
	for i, p := range parts {
		out[i] = platform.Stage{Address: p.Server.Address, Layers: p.Layers}
	}
	return out
}

func describe(parts []chains.Stage) string {
	var b strings.Builder
	for i, p := range parts {
		if i > 0 {
			b.WriteByte(' ')
		}
		b.WriteString(p.Server.ID)
		b.WriteString(p.Layers.String())
	}
	return b.String()
}
