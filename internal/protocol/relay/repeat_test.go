package relay

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/skylarkwood/skylarkwood/internal/coordination/limits"
	"github.com/skylarkwood/skylarkwood/internal/model"
	"github.com/skylarkwood/skylarkwood/platform"
)

// A server does not answer, and as its try becomes slow the budget for repeated sends
// is used up. Later there is budget again and another server is well, yet the request
// stays with the silent one until its time is over: it was decided once that it may go
// nowhere else.
func TestSlowAttemptIsRetriedOnceBudgetAllows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		slow := ""
		s := newFixture(model.Route{Kind: idempotent, MaxAttempts: 2, TargetLatency: time.Second, Timeout: time.Minute}, false, func(ctx context.Context, addr string, _ *Request) (*Response, error) {
			if slow == "" || slow == addr {
				slow = addr
				<-ctx.Done()
				return nil, ctx.Err()
			}
			return signed(http.StatusOK, strings.NewReader("in time")), nil
		})
		s.RetryBorrower.Budget = limits.NewSharedRetryBudget(0, 20, time.Minute, func() int { return 1 }, time.Now)
		began := time.Now()
		time.AfterFunc(2*time.Second, func() {
			assert.Check(t, !s.RetryBorrower.Budget.Take("s"))
		})
		out := &recordingWriter{}
		assert.Assert(t, s.Serve(t.Context(), &model.Call{Attempt: "1", Method: "POST", Host: "h", Path: "/"}, out))
		assert.Equal(t, out.status, http.StatusOK, "after %v", time.Since(began))
		assert.Equal(t, s.observer.retries, 1)
	})
}

// The first server takes no connection, nothing goes out to it, and the budget for
// repeated sends is used up. The request is offered to the other one all the same: it
// has not been sent yet, so that send repeats nothing.
func TestFirstSendNeedsNoRetryToken(t *testing.T) {
	for _, isEngine := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			attempts := 0
			s := newFixture(model.Route{Kind: streaming, MaxAttempts: 2, TargetLatency: time.Second}, isEngine, func(context.Context, string, *Request) (*Response, error) {
				if attempts++; attempts == 1 {
					return nil, errNotConnected
				}
				return signed(http.StatusOK, strings.NewReader("id: 1\ndata: a\n\n")), nil
			})
			s.RetryBorrower.Budget = limits.NewSharedRetryBudget(0, 0, time.Second, func() int { return 1 }, time.Now)
			out := &recordingWriter{}
			assert.Assert(t, s.Serve(t.Context(), &model.Call{Attempt: "1", Method: "POST", Host: "h", Path: "/"}, out))
			assert.Equal(t, out.status, http.StatusOK, "generates %t: %s", isEngine, out.body.String())
		})
	}
}

// A run falls silent, a repeated send is granted for what follows it, and it ends before
// anything was sent: what follows needs no grant. The next engine fails, and the send
// after it uses what was granted, the last one that the budget had.
func TestRetryTokenIsKeptUntilUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		attempts := 0
		s := newFixture(model.Route{Kind: streaming, ResumeStreams: true, MaxAttempts: 3, TargetLatency: time.Second}, true, func(ctx context.Context, _ string, r *Request) (*Response, error) {
			if r.Target == platform.ReportPath {
				return nil, errNotConnected
			}
			if attempts++; attempts == 1 {
				<-ctx.Done()
				return nil, errNotConnected
			}
			return signed(http.StatusInternalServerError, strings.NewReader("failed")), nil
		})
		s.RetryBorrower.Budget = limits.NewSharedRetryBudget(0, 2, time.Second, func() int { return 1 }, time.Now)
		time.Sleep(2 * time.Second) // until the slack, one send, may be spent
		out := &recordingWriter{}
		assert.Assert(t, s.Serve(t.Context(), &model.Call{Attempt: "1", Method: "POST", Host: "h", Path: "/"}, out))
		assert.Equal(t, out.status, http.StatusInternalServerError)
		assert.Equal(t, s.observer.retries, 1)
	})
}
