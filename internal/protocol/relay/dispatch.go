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
	bufferedAnswer = 1 << 20
	// patience is how many times the usual latency an idempotent request waits
	// at one server before another is tried; at least the route's target.
	patience = 5
	// leastTry is the shortest time that a try at one server gets.
	leastTry = 150 * time.Millisecond
)

// whole is an answer with all of its body.
type whole struct {
	status  int
	header  http.Header
	verdict platform.ResponseInfo
	body    []byte
}

// dispatch sends a call to one backend server of a plain service, and to others
// while that is allowed and helps.
func (q *request) dispatch(ctx context.Context) bool {
	var last *whole
	for ctx.Err() == nil {
		server, f := q.pickAlone(ctx)
		if f != nil && last == nil {
			return q.refuse(f)
		}
		if server == nil {
			break
		}
		ans, err := q.try(ctx, server)
		switch {
		case err == nil && !ans.verdict.NotRun && (ans.status < 500 || !q.ticket.Idempotent()):
			return q.deliver(ans)
		case err == nil:
			last = ans
		}
		reason := "failed"
		if err != nil {
			reason = "lost"
		}
		if !q.mayRepeat(ctx, reason) {
			break
		}
		klog.InfoS("sent again", "request", q.call.Attempt, "reason", reason, "server", server.Incarnation(), "err", err, "sends", q.sends)
	}
	return q.giveUp(ctx, last)
}

// giveUp answers with the last failure of a backend server where one came, also when
// the time is over by now: it is ready. A refusal of a backend server becomes the
// system's own.
func (q *request) giveUp(ctx context.Context, last *whole) bool {
	switch {
	case last != nil && !last.verdict.NotRun:
		return q.deliver(last)
	case ctx.Err() != nil:
		return q.refuse(q.ended(ctx))
	case q.runs > 0:
		return q.refuse(fault.New(fault.BackendLost, "the backend server's answer was lost"))
	case last != nil:
		return q.refuse(fault.New(fault.Overloaded, "every backend server asked was full"))
	}
	return q.refuse(fault.New(fault.NoCapacity, "no backend server of %s takes work", q.ticket.Service.Name))
}

// pickPlain chooses the backend server with the least expected wait: load seen
// from here, latency, failures, and a little for another failure domain. Where
// all are suspected the suspicion is likelier wrong than all of them down.
func (q *request) pickPlain() *model.BackendServer {
	var best *model.BackendServer
	var lowest float64
	for _, allowSuspects := range []bool{false, true} {
		for _, b := range q.Catalog.Load().Service(q.ticket.Service.Name) {
			view := q.Health.View(b.Incarnation())
			if q.avoid[b.Incarnation()] || q.barred.bars(b) || view.Suspected && !allowSuspects {
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

// try sends the call to one server and reads its whole answer.
func (q *request) try(ctx context.Context, b *model.BackendServer) (*whole, error) {
	run, cancel, stop := q.ActiveRuns.track(ctx, b.Incarnation(), !q.ticket.Idempotent())
	defer stop()
	q.avoid[b.Incarnation()] = true
	q.chain = b.ID
	q.sends++
	if q.ticket.Idempotent() && q.runs+1 < q.ticket.Route.MaxAttempts && q.sends < maxSends {
		defer q.giveUpIfSlow(run, cancel, b)()
	}
	record := q.Quarantine.Begin(q.work, q.barred.suspect, quarantine.Location{Server: b.Incarnation(), Domain: b.FailureDomain})
	result := quarantine.Inconclusive
	defer func() { q.confirm(record.End(result)) }()
	began := q.Now()
	ans, err := q.exchange(run, b)
	if err != nil {
		result = resultOf(endingOf(run, err), err)
		q.missed(b, endingOf(run, err), err, q.Now().Sub(began))
		return nil, err
	}
	if !ans.verdict.NotRun {
		result = quarantine.Completed
	}
	q.judge(b, ans, q.Now().Sub(began))
	return ans, nil
}

// exchange sends the call and reads its whole answer. The server's load counts it from
// here on; whoever takes in how it ended takes it off again, and a panic does so here.
func (q *request) exchange(run context.Context, b *model.BackendServer) (read *whole, err error) {
	q.Health.Begin(b.Incarnation())
	returns := false
	defer func() {
		if !returns {
			q.Health.Cancel(b.Incarnation())
		}
	}()
	ans, err := q.BackendClient.Do(run, b.Address, q.outbound(platform.ForwardOptions{Instance: b.ID}))
	if err == nil {
		read, err = q.readWhole(ans)
	}
	returns = true
	return read, err
}

// giveUpIfSlow ends a try that takes much longer than usual, once another server is
// there and a repeated send is granted. Ended before, a request that may go nowhere
// else would be lost though its server is still at work on it; asked about only once, it
// would stay with a server that is silent though another one may answer by then. stop
// waits for a decision under way.
func (q *request) giveUpIfSlow(run context.Context, cancel context.CancelCauseFunc, b *model.BackendServer) (stop func()) {
	usual := q.Health.View(b.Incarnation()).Latency
	most := max(patience*usual, q.ticket.Route.TargetLatency, leastTry)
	run, quit := context.WithCancel(run)
	decided := make(chan struct{})
	timer := time.AfterFunc(most, func() {
		defer close(decided)
		defer q.containSlow()
		for kept := false; !q.mayLeave(run); kept = true {
			if !kept {
				klog.InfoS("slow try is kept while it may go nowhere else", "request", q.call.Attempt, "server", b.Incarnation(), "ms", most.Milliseconds())
			}
			if !wait.For(run, most) {
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
func (q *request) mayLeave(run context.Context) bool {
	if q.pickPlain() == nil || !q.takeRepeat(run) {
		return false
	}
	q.granted = true
	return true
}

// missed takes in that a try gave no answer, and why.
func (q *request) missed(b *model.BackendServer, why ending, err error, took time.Duration) {
	sent := !errors.Is(err, ErrNotSent)
	if sent {
		q.runs++
	} else {
		q.sends--
		q.unsent++
	}
	klog.InfoS("answer lost", "request", q.call.Attempt, "work", q.work(), "why", why, "sent", sent, "server", b.Incarnation(), "err", err, "ms", took.Milliseconds())
	if !why.blames(took) {
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
func (q *request) judge(b *model.BackendServer, ans *whole, took time.Duration) {
	switch {
	case ans.verdict.Misdirected:
		q.Health.End(b.Incarnation(), false, 0)
		until, _ := q.Health.Suspect(b.Incarnation())
		klog.InfoS("backend server suspected: another one has its address", "request", q.call.Attempt, "server", b.Incarnation(), "until", until)
	case ans.verdict.NotRun:
		q.Health.End(b.Incarnation(), false, 0)
	default:
		q.runs++
		q.Health.End(b.Incarnation(), ans.status < 500, took)
	}
}

// readWhole reads an answer to its end. An answer that is cut short, or that
// belongs to another request, is an error.
func (q *request) readWhole(ans *Response) (*whole, error) {
	defer ans.Body.Close()
	v := platform.DecodeResponseInfo(ans.Status, ans.Header)
	if v.Attempt != "" && v.Attempt != q.call.Attempt {
		ans.Body.Discard()
		return nil, errors.Errorf("answer to another request, %s", v.Attempt)
	}
	body, err := io.ReadAll(io.LimitReader(ans.Body, bufferedAnswer+1))
	if err != nil {
		return nil, errors.Wrap(err, "answer cut short")
	}
	if len(body) > bufferedAnswer {
		ans.Body.Discard()
		return nil, errors.Errorf("answer longer than %d bytes", bufferedAnswer)
	}
	if !v.NotRun && v.Signature == "" {
		return nil, errors.Errorf("answer with status %d has no signature", ans.Status)
	}
	return &whole{status: ans.Status, header: ans.Header, verdict: v, body: body}, nil
}

// deliver passes a backend server's answer on unchanged.
func (q *request) deliver(ans *whole) bool {
	h := http.Header{}
	platform.CopyResponseHeaders(h, ans.header)
	q.out.Begin(ans.status, h, int64(len(ans.body)))
	err := q.out.Write(ans.body)
	outcome := "ran"
	if err != nil {
		outcome = "not_delivered"
	}
	q.finish(outcome, nil, ans.status)
	return err == nil
}
