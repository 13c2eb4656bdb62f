package relay

import (
	"context"
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
	// maxBufferedResponse is the size in bytes up to which a response is buffered
	// completely before it is forwarded, so that a truncated one is not forwarded.
	maxBufferedResponse = 1 << 20
	// slowAttemptFactor times the usual latency of a server is how long an idempotent
	// request waits there before another server is tried, but at least the route's
	// target latency.
	slowAttemptFactor = 5
	// minAttemptTimeout is the shortest time allowed for an attempt at one server.
	minAttemptTimeout = 150 * time.Millisecond
)

// bufferedResponse is a response with its complete body.
type bufferedResponse struct {
	status  int
	header  http.Header
	verdict platform.ResponseInfo
	body    []byte
	// endsWithConnection is that of Response.
	endsWithConnection bool
}

// servePlain sends the request to a backend server of a plain service and retries at
// others as far as the route and the retry budget allow.
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
		klog.InfoS("request retried", "request", q.call.Attempt, "reason", reason, "server", server.Incarnation(), "err", err, "sends", q.sends)
	}
	return q.respondFailure(ctx, lastFailure)
}

// respondFailure ends a request that is not retried. A failure response of a backend
// server is forwarded even after the deadline, as it is available. A refusal by a
// backend server is replaced by the router's own error.
func (q *request) respondFailure(ctx context.Context, lastFailure *bufferedResponse) bool {
	switch {
	case lastFailure != nil && !lastFailure.verdict.NotRun:
		return q.forward(lastFailure)
	case ctx.Err() != nil:
		return q.respondError(q.contextError(ctx))
	case q.runs > 0:
		return q.respondError(fault.New(fault.BackendLost, "no complete response was received from the backend server"))
	case lastFailure != nil:
		f := fault.New(fault.Overloaded, "every backend server tried refused the request")
		if wait, paused := q.withheldWait(); paused > 0 {
			f.RetryAfter = q.withheldError(wait, paused).RetryAfter
		}
		return q.respondError(f)
	}
	switch {
	case q.lacksDescriptor:
		return q.respondError(q.noDescriptorError())
	case q.withheld:
		return q.respondError(q.withheldError(q.withheldWait()))
	}
	return q.respondError(fault.New(fault.NoCapacity, "no backend server of %s accepts requests", q.admitted.Service.Name))
}

// attempt sends the request to one server and reads the complete response.
func (q *request) attempt(ctx context.Context, b *model.BackendServer) (*bufferedResponse, error) {
	run, cancel, stop := q.ActiveRuns.track(ctx, b.Incarnation(), !q.admitted.Idempotent())
	defer stop()
	q.avoid[b.Incarnation()] = true
	q.chosenAt = q.Now()
	q.chain = b.ID
	q.sends++
	if q.admitted.Idempotent() && q.runs+1 < q.admitted.Route.MaxAttempts && q.sends < maxSends {
		defer q.cancelIfSlow(run, cancel, b)()
	}
	record := q.Quarantine.Begin(q.subject(), q.excluded.suspect, quarantine.Location{Server: b.Incarnation(), Domain: b.FailureDomain})
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
		result = completedResult(resp.endsWithConnection)
	}
	q.recordResponse(b, resp, q.Now().Sub(began))
	return resp, nil
}

// roundTrip sends the request and reads the complete response. It counts the request
// as active at the server. The caller ends that count when it records the outcome. On a
// panic roundTrip ends it itself.
func (q *request) roundTrip(run context.Context, b *model.BackendServer) (read *bufferedResponse, err error) {
	q.Health.Begin(b.Incarnation())
	returned := false
	defer func() {
		if !returned {
			q.Health.Cancel(b.Incarnation())
		}
	}()
	sentAt := q.Clock()
	resp, err := q.BackendClient.Do(run, b.Address, q.newRequest(b, platform.ForwardOptions{}))
	if err == nil {
		q.observeResponse(b, platform.DecodeResponseInfo(resp.Status, resp.Header), sentAt)
		read, err = q.readResponse(run, b, resp)
	}
	returned = true
	return read, err
}

// errServerExited reports that a response ended with its connection because the server exited.
var errServerExited = errors.New("connection closed by the exit of the server")

// confirmEnd returns end, the result of reading a response without a length to its end, or an error
// if the server does not listen any more: the end of its process has closed the connection, and the
// response may lack its rest.
func (q *request) confirmEnd(ctx context.Context, b *model.BackendServer, end error) error {
	if errors.Is(q.CheckListening(ctx, b.Address), ErrRefused) {
		return errServerExited
	}
	return end
}

// cancelIfSlow cancels an attempt that takes much longer than usual, once another
// server is available and a retry token is granted. Until then the attempt goes on and
// the conditions are checked repeatedly: cancelled sooner, a request that no other server
// may take would be lost though its server works on it; checked once, it would stay with a
// silent server. The returned stop function waits for a decision in progress.
func (q *request) cancelIfSlow(run context.Context, cancel context.CancelCauseFunc, b *model.BackendServer) (stop func()) {
	usualLatency := q.Health.View(b.Incarnation()).Latency
	timeout := max(slowAttemptFactor*usualLatency, q.admitted.Route.TargetLatency, minAttemptTimeout)
	run, quit := context.WithCancel(run)
	decided := make(chan struct{})
	started := q.Processor.Start()
	timer := time.AfterFunc(timeout, func() {
		defer close(decided)
		defer q.recoverTimerPanic()
		for left := started.Remaining(timeout); left > 0; left = started.Remaining(timeout) {
			if !wait.For(run, left) {
				return
			}
		}
		for captureLog := false; !q.mayRetryElsewhere(run); captureLog = true {
			if !captureLog {
				klog.InfoS("slow attempt continues: no other server or no retry token available", "request", q.call.Attempt, "server", b.Incarnation(), "ms", timeout.Milliseconds())
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

// mayRetryElsewhere reports whether another server is available and a retry token was
// granted, which it then keeps for the next send.
func (q *request) mayRetryElsewhere(run context.Context) bool {
	if q.leastCostServer() == nil || !q.takeRetryToken(run) {
		return false
	}
	q.retryGranted = true
	return true
}

// recordFailure records that an attempt ended without a response.
func (q *request) recordFailure(b *model.BackendServer, reason endReason, err error, elapsed time.Duration) {
	sent := !errors.Is(err, ErrNotSent)
	q.lacksDescriptor = reason == noDescriptor
	if sent {
		q.runs++
	} else {
		q.sends--
		q.unsentAttempts++
	}
	if !sent && !reason.countsAsFailure(elapsed) {
		q.returnPermission(b.Incarnation())
	}
	klog.InfoS("attempt failed", "request", q.call.Attempt, "work", q.fingerprint(), "why", reason, "sent", sent, "server", b.Incarnation(), "err", err, "ms", elapsed.Milliseconds())
	if !reason.countsAsFailure(elapsed) {
		q.Health.Cancel(b.Incarnation())
		return
	}
	if reason == brokenResponse {
		q.recordBrokenResponse(b, err)
		return
	}
	q.Health.End(b.Incarnation(), false, 0)
	if !sent {
		until, _ := q.Health.Suspect(b.Incarnation())
		klog.InfoS("backend server suspected: connection failed", "request", q.call.Attempt, "server", b.Incarnation(), "until", until)
	}
}

// recordResponse updates the server's health from its response.
func (q *request) recordResponse(b *model.BackendServer, resp *bufferedResponse, elapsed time.Duration) {
	switch {
	case resp.verdict.Misdirected:
		q.Health.End(b.Incarnation(), false, 0)
		until, _ := q.Health.Suspect(b.Incarnation())
		klog.InfoS("backend server suspected: another server responded at its address", "request", q.call.Attempt, "server", b.Incarnation(), "until", until)
	case resp.verdict.NotRun:
		q.logRefusal(b, resp.verdict, resp.status, elapsed)
		q.Health.End(b.Incarnation(), false, 0)
	default:
		q.runs++
		q.Health.End(b.Incarnation(), resp.status < 500, elapsed)
	}
}

// answeredBy reports whether a response belongs to the request. One without the request's id may be a
// late copy of the answer to a call without an id on the same connection, so it does not even prove
// that the request did not run.
func (q *request) answeredBy(v platform.ResponseInfo) bool { return v.Attempt == q.call.Attempt }

// readResponse reads a response completely. It returns an error if the response is
// truncated, too large, unsigned or belongs to another request.
func (q *request) readResponse(ctx context.Context, b *model.BackendServer, resp *Response) (*bufferedResponse, error) {
	defer resp.Body.Close()
	v := platform.DecodeResponseInfo(resp.Status, resp.Header)
	if !q.answeredBy(v) {
		resp.Body.Discard()
		return nil, errors.Errorf("response belongs to another request %q", v.Attempt)
	}
	body, held, err := readWhole(ctx, resp.Body, resp.Length, q.account)
	if err != nil {
		q.account.Give(held)
		resp.Body.Discard()
		return nil, err
	}
	if resp.EndsWithConnection {
		if err := q.confirmEnd(ctx, b, nil); err != nil {
			return nil, err
		}
	}
	if !v.NotRun && v.Signature == "" {
		return nil, errors.Errorf("response with status %d has no signature", resp.Status)
	}
	return &bufferedResponse{status: resp.Status, header: resp.Header, verdict: v, body: body, endsWithConnection: resp.EndsWithConnection}, nil
}

// forward writes a backend server's response to the caller. It returns false if the
// response could not be written.
func (q *request) forward(resp *bufferedResponse) bool {
	h := http.Header{}
	platform.CopyResponseHeaders(h, resp.header)
	q.releaseBody()
	q.out.WriteHeader(resp.status, h, int64(len(resp.body)))
	err := q.out.Write(resp.body)
	outcome := "ran"
	if err != nil {
		outcome = "not_delivered"
	}
	q.finish(outcome, nil, resp.status)
	return err == nil
}
