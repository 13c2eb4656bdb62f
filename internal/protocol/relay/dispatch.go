package relay

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/skylarkwood/skylarkwood/internal/coordination/quarantine"
	"github.com/skylarkwood/skylarkwood/internal/fault"
	"github.com/skylarkwood/skylarkwood/internal/model"
	"github.com/skylarkwood/skylarkwood/internal/wait"
	"github.com/skylarkwood/skylarkwood/platform"
)

const (
	// bufferedAnswer is the largest answer that is read whole before it is
	// passed on, so that a truncated one is never begun.
	maxBufferedResponse = 1 << 20
	// slowAttemptFactor is how many times the usual latency an idempotent request waits
	// at one server before another is tried; at least the route's target.
	slowAttemptFactor = 5
	// leastTry is the shortest time that a try at one server gets.
	minAttemptTimeout = 150 * time.Millisecond
)

// bufferedResponse is an answer with all of its body.
type bufferedResponse struct {
	status  int
	header  http.Header
	verdict platform.Verdict
	body    []byte
}

// dispatch sends a call to one backend server of a plain service, and to others
// while that is allowed and helps.
func (q *request) servePlain(ctx context.Context) bool {
	var lastFailure *bufferedResponse
	for ctx.Err() == nil {
		server, f := q.pickServer(ctx)
		if f != nil && lastFailure == nil {
			return q.respondError(f)
		}
		if server == nil {
			break
		}
		resp, err := q.attempt(ctx, server)
		switch {
		case err == nil && !resp.verdict.NotRun && (resp.status < 500 || !q.admitted.Idempotent()):
			return q.forward(resp)
		case err == nil:
			lastFailure = resp
		}
		reason := "failed"
		if err != nil {
			reason = "lost"
		}
		if !q.allowRetry(ctx, reason) {
			break
		}
		klog.InfoS("sent again", "request", q.call.Attempt, "reason", reason, "server", server.Incarnation(), "err", err, "sends", q.sends)
	}
	return q.respondFailure(ctx, lastFailure)
}

// respondFailure answers with the last failure of a backend server where one came, also when
// the time is over by now: it is ready. A refusal of a backend server becomes the
// system's own.
func (q *request) respondFailure(ctx context.Context, lastFailure *bufferedResponse) bool {
	switch {
	case lastFailure != nil && !lastFailure.verdict.NotRun:
		return q.forward(lastFailure)
	case ctx.Err() != nil:
		return q.respondError(q.contextError(ctx))
	case q.runs > 0:
		return q.respondError(fault.New(fault.BackendLost, "the backend server's answer was lost"))
	case lastFailure != nil:
		return q.respondError(fault.New(fault.Overloaded, "every backend server asked was full"))
	}
	return q.respondError(fault.New(fault.NoCapacity, "no backend server of %s takes work", q.admitted.Service.Name))
}

// pickPlain chooses the backend server with the least expected wait: load seen
// from here, latency, failures, and a little for another failure domain. Where
// all are suspected the suspicion is likelier wrong than all of them down.
func (q *request) leastCostServer() *model.BackendServer {
	var best *model.BackendServer
	var lowest float64
	for _, allowSuspects := range []bool{false, true} {
		for _, b := range q.Catalog.Load().Service(q.admitted.Service.Name) {
			view := q.Health.View(b.Incarnation())
			if q.avoid[b.Incarnation()] || q.excluded.excludes(b) || view.Suspected && !allowSuspects {
				continue
			}
			cost := (1 + float64(view.Active)) * (0.01 + view.Latency.Seconds()) * (1 + 8*view.FailureRate)
			if b.FailureDomain != q.FailureDomain {
				cost += 0.001
			}
			if best == nil || cost < lowest {
				best = b
				lowest = cost
			}
		}
		if best != nil {
			return best
		}
	}
	return nil
}

// attempt sends the call to one server and reads its whole answer.
func (q *request) attempt(ctx context.Context, b *model.BackendServer) (*bufferedResponse, error) {
	run, cancel, stop := q.ActiveRuns.track(ctx, b.Incarnation(), !q.admitted.Idempotent())
	defer stop()
	q.avoid[b.Incarnation()] = true
	q.chain = b.ID
	q.sends++
	if q.admitted.Idempotent() && q.runs+1 < q.admitted.Route.MaxAttempts && q.sends < maxSends {
		defer q.cancelIfSlow(run, cancel, b)()
	}
	record := q.Quarantine.Begin(q.fingerprint, q.excluded.suspect, quarantine.Location{Server: b.Incarnation(), Domain: b.FailureDomain})
	result := quarantine.Inconclusive
	defer func() { q.confirmExits(record.End(result)) }()
	began := q.Now()
	resp, err := q.roundTrip(run, b)
	if err != nil {
		result = runResult(endReasonOf(run, err), err)
		q.recordFailure(b, endReasonOf(run, err), err, q.Now().Sub(began))
		return nil, err
	}
	if !resp.verdict.NotRun {
		result = quarantine.Completed
	}
	q.recordResponse(b, resp, q.Now().Sub(began))
	return resp, nil
}

// exchange sends the call and reads its whole answer. The server's load counts it from
// here on; whoever takes in how it ended takes it off again, and a panic does so here.
func (q *request) roundTrip(run context.Context, b *model.BackendServer) (read *bufferedResponse, err error) {
	q.Health.Begin(b.Incarnation())
	returned := false
	defer func() {
		if !returned {
			q.Health.Cancel(b.Incarnation())
		}
	}()
	resp, err := q.BackendClient.Do(run, b.Address, q.newRequest(platform.Send{Instance: b.ID}))
	if err == nil {
		read, err = q.readResponse(resp)
	}
	returned = true
	return read, err
}

// giveUpIfSlow ends a try that takes much longer than usual, once another server is
// there and a repeated send is granted. Ended before, a request that may go nowhere
// else would be lost though its server is still at work on it; asked about only once, it
// would stay with a server that is silent though another one may answer by then. stop
// waits for a decision under way.
func (q *request) cancelIfSlow(run context.Context, cancel context.CancelCauseFunc, b *model.BackendServer) (stop func()) {
	usualLatency := q.Health.View(b.Incarnation()).Latency
	timeout := max(slowAttemptFactor*usualLatency, q.admitted.Route.TargetLatency, minAttemptTimeout)
	run, quit := context.WithCancel(run)
	decided := make(chan struct{})
	timer := time.AfterFunc(timeout, func() {
		defer close(decided)
		defer q.recoverTimerPanic()
		for captureLog := false; !q.mayRetryElsewhere(run); captureLog = true {
			if !captureLog {
				klog.InfoS("slow try is kept while it may go nowhere else", "request", q.call.Attempt, "server", b.Incarnation(), "ms", timeout.Milliseconds())
			}
			if !wait.For(run, timeout) {
				return
			}
		}
		cancel(tooSlow)
	})
	return func() {
		quit()
		if !timer.Stop() {
			<-decided
		}
	}
}

// mayLeave tells whether a slow try may be given up: another server is there, and a
// repeated send is granted.
func (q *request) mayRetryElsewhere(run context.Context) bool {
	if q.leastCostServer() == nil || !q.takeRetryToken(run) {
		return false
	}
	q.retryGranted = true
	return true
}

// recordFailure takes in that a try gave no answer, and why.
func (q *request) recordFailure(b *model.BackendServer, reason endReason, err error, elapsed time.Duration) {
	sent := !errors.Is(err, ErrNotSent)
	if sent {
		q.runs++
	} else {
		q.sends--
		q.unsentAttempts++
	}
	klog.InfoS("answer lost", "request", q.call.Attempt, "work", q.fingerprint(), "why", reason, "sent", sent, "server", b.Incarnation(), "err", err, "ms", elapsed.Milliseconds())
	if !reason.countsAsFailure(elapsed) {
		q.Health.Cancel(b.Incarnation())
		return
	}
	q.Health.End(b.Incarnation(), false, 0)
	if !sent {
		until, _ := q.Health.Suspect(b.Incarnation())
		klog.InfoS("backend server suspected: no connection", "request", q.call.Attempt, "server", b.Incarnation(), "until", until)
	}
}

// judge takes in what an answer says of its server.
func (q *request) recordResponse(b *model.BackendServer, resp *bufferedResponse, elapsed time.Duration) {
	switch {
	case resp.verdict.Misdirected:
		q.Health.End(b.Incarnation(), false, 0)
		until, _ := q.Health.Suspect(b.Incarnation())
		klog.InfoS("backend server suspected: another one has its address", "request", q.call.Attempt, "server", b.Incarnation(), "until", until)
	case resp.verdict.NotRun:
		q.Health.End(b.Incarnation(), false, 0)
	default:
		q.runs++
		q.Health.End(b.Incarnation(), resp.status < 500, elapsed)
	}
}

// readWhole reads an answer to its end. An answer that is cut short, or that
// belongs to another request, is an error.
func (q *request) readResponse(resp *Response) (*bufferedResponse, error) {
	defer resp.Body.Close()
	v := platform.DecodeVerdict(resp.Status, resp.Header)
	if v.Attempt != "" && v.Attempt != q.call.Attempt {
		resp.Body.Discard()
		return nil, errors.Errorf("answer to another request, %s", v.Attempt)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBufferedResponse+1))
	if err != nil {
		return nil, errors.Wrap(err, "answer cut short")
	}
	if len(body) > maxBufferedResponse {
		resp.Body.Discard()
		return nil, errors.Errorf("answer longer than %d bytes", maxBufferedResponse)
	}
	if !v.NotRun && v.Signature == "" {
		return nil, errors.Errorf("answer with status %d has no signature", resp.Status)
	}
	return &bufferedResponse{status: resp.Status, header: resp.Header, verdict: v, body: body}, nil
}

// deliver passes a backend server's answer on unchanged.
func (q *request) forward(resp *bufferedResponse) bool {
	h := http.Header{}
	platform.AnswerHeaders(h, resp.header)
	q.out.WriteHeader(resp.status, h, int64(len(resp.body)))
	err := q.out.Write(resp.body)
	outcome := "ran"
	if err != nil {
		outcome = "not_delivered"
	}
	q.finish(outcome, nil, resp.status)
	return err == nil
}
