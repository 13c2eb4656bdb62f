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
	"github.com/skylarkwood/skylarkwood/internal/coordination/limits/limitstest"
	"github.com/skylarkwood/skylarkwood/internal/model"
	"github.com/skylarkwood/skylarkwood/platform"
)

// Guards against deciding only once whether a slow attempt may be retried elsewhere. The
// budget is exhausted at first and has tokens later.
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
		s.RetryBorrower.Budget = limits.NewSharedRetryBudget(0, 20, time.Minute, func() int { return 1 }, limitstest.Clock)
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

// Guards against charging the retry budget for a first send: the first server accepts no
// connection and the budget is exhausted, yet the next server is tried.
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
			s.RetryBorrower.Budget = limits.NewSharedRetryBudget(0, 0, time.Second, func() int { return 1 }, limitstest.Clock)
			out := &recordingWriter{}
			assert.Assert(t, s.Serve(t.Context(), &model.Call{Attempt: "1", Method: "POST", Host: "h", Path: "/"}, out))
			assert.Equal(t, out.status, http.StatusOK, "engine %t: %s", isEngine, out.body.String())
		})
	}
}

// Guards against losing a retry token that was taken for a run which ended before it was
// sent. The next retry uses that token, the last one of the budget.
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
		s.RetryBorrower.Budget = limits.NewSharedRetryBudget(0, 2, time.Second, func() int { return 1 }, limitstest.Clock)
		time.Sleep(2 * time.Second) // until the slack, one send, may be spent
		out := &recordingWriter{}
		assert.Assert(t, s.Serve(t.Context(), &model.Call{Attempt: "1", Method: "POST", Host: "h", Path: "/"}, out))
		assert.Equal(t, out.status, http.StatusInternalServerError)
		assert.Equal(t, s.observer.retries, 1)
	})
}
