package relay

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/skylarkwood/skylarkwood/internal/coordination/admission"
	"github.com/skylarkwood/skylarkwood/internal/coordination/catalog"
	"github.com/skylarkwood/skylarkwood/internal/coordination/chains"
	"github.com/skylarkwood/skylarkwood/internal/coordination/detector"
	"github.com/skylarkwood/skylarkwood/internal/coordination/limits"
	"github.com/skylarkwood/skylarkwood/internal/coordination/limits/limitstest"
	"github.com/skylarkwood/skylarkwood/internal/coordination/quarantine"
	"github.com/skylarkwood/skylarkwood/internal/coordination/routes"
	"github.com/skylarkwood/skylarkwood/internal/model"
	"github.com/skylarkwood/skylarkwood/internal/wait"
	"github.com/skylarkwood/skylarkwood/platform"
)

// fakeBackend is a BackendClient that handles each request by a function. Its responses bear the
// request's id unless the function sets another one.
type fakeBackend func(ctx context.Context, addr string, r *Request) (*Response, error)

func (s fakeBackend) Do(ctx context.Context, addr string, r *Request) (*Response, error) {
	resp, err := s(ctx, addr, r)
	if resp != nil {
		if _, set := resp.Header["Attempt-Id"]; !set {
			resp.Header.Set("Attempt-Id", r.Header.Get("Attempt-Id"))
		}
	}
	return resp, err
}

func (s fakeBackend) CloseIdle(string) {}

// countingObserver counts retries, and refusals for lack of capacity by reason and urgency.
type countingObserver struct {
	mu      sync.Mutex
	retries int
	refused map[string]int
}

func (o *countingObserver) Request(_, _, _, _ string, _ time.Duration) {}
func (o *countingObserver) FirstEvent(string, time.Duration)           {}
func (o *countingObserver) Refusal(string, bool)                       {}
func (o *countingObserver) ForecastError(string, time.Duration)        {}

func (o *countingObserver) CapacityRefused(_, reason string, urgency int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.refused == nil {
		o.refused = map[string]int{}
	}
	o.refused[fmt.Sprintf("%s %d", reason, urgency)]++
}

func (o *countingObserver) Retry(_, _ string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.retries++
}

// fakeBody is a response body read from a reader.
type fakeBody struct{ io.Reader }

func (fakeBody) Discard() {}
func (fakeBody) Close()   {}

// recordingWriter is a ResponseWriter that records the response.
type recordingWriter struct {
	status int
	header http.Header
	body   strings.Builder
}

func (l *recordingWriter) WriteHeader(status int, header http.Header, _ int64) {
	l.status = status
	l.header = header
}

func (l *recordingWriter) Write(p []byte) error {
	l.body.Write(p)
	return nil
}

// fixture is a relay with two backend servers, "one" and "two". They are engines that hold
// all layers, or servers of a plain service.
type fixture struct {
	*Relay
	prober   *Prober
	observer *countingObserver
}

func newFixture(route model.Route, isEngine bool, do fakeBackend) *fixture {
	spec := &model.EngineSpec{
		Layers: 12, LayerMB: 100, KVTokenBytes: 1e6, StepTime: time.Millisecond, PrefillRate: 1e5, StepsPerPass: 1,
		Cards: []model.Card{{Name: "fast", MB: 80000, StepTimeFactor: 2, PrefillFactor: 2}},
	}
	svc := model.Service{Name: "s"}
	if isEngine {
		svc.Engine = spec
	}
	route.Name, route.Host, route.Prefix = "r", "h", "/"
	route.Split = []model.ServiceShare{{Service: "s", Weight: 1}}
	current := &routes.ActiveConfig{}
	current.Apply(&model.RouteConfig{Version: 1, Routes: []model.Route{route}, Services: []model.Service{svc}}, nil, "")
	c := catalog.New(time.Now)
	for _, id := range []string{"one", "two"} {
		c.Put(model.BackendServer{ID: id, Service: "s", Address: id + ":1", FailureDomain: "a", Card: "fast", Holds: model.LayerRange{To: 12}, Slots: 9})
	}
	health := catalog.NewHealth(time.Now)
	usage := chains.NewUsageTracker(time.Now)
	began := time.Now()
	prober := NewProber()
	prober.Now = time.Now
	prober.Health = health
	prober.Catalog = c
	prober.AnnounceSuspect = func(model.Incarnation, time.Time) {}
	observer := &countingObserver{}
	rel := &Relay{
		Config: current, Catalog: c, Health: health, Usage: usage,
		Chooser:       &chains.Chooser{Catalog: c, Health: health, Usage: usage, Interconnect: chains.NewInterconnect(time.Now), RouterCount: func() int { return 1 }},
		WaitQueue:     admission.NewWaitQueue(),
		RetryBorrower: &limits.RetryBorrower{Budget: limits.NewSharedRetryBudget(0, 100, time.Second, func() int { return 1 }, limitstest.Clock), Now: time.Now},
		BackendClient: do, Observer: observer, ActiveRuns: NewActiveRuns(), Suspects: prober, FailureDomain: "a",
		Detector: detector.New(time.Now),
		Clock:    func() time.Duration { return 0 }, Now: time.Now, MaxConfigAge: time.Hour,
		Quarantine: quarantine.New(func() time.Duration { return time.Since(began) }),
		RequestTrial: func(context.Context, quarantine.Subject, []model.Incarnation) quarantine.Grant {
			return quarantine.Grant{Granted: true}
		},
		CheckListening: func(context.Context, string) error { return nil },
	}
	rel.SlowdownMonitor = NewSlowdownMonitor()
	rel.SlowdownMonitor.Usage = usage
	rel.SlowdownMonitor.Catalog = c
	rel.SlowdownMonitor.Report = rel.Report
	rel.SlowdownMonitor.Now = time.Now
	return &fixture{Relay: rel, prober: prober, observer: observer}
}

// streamCount returns how many streams hold memory at the engines.
func (s *fixture) streamCount() float64 {
	return s.Usage.Used(inc("one")).Streams + s.Usage.Used(inc("two")).Streams
}

func (s *fixture) assertNoEvidence(t *testing.T) {
	for _, id := range []string{"one", "two"} {
		view := s.Health.View(inc(id))
		assert.Check(t, !view.Suspected, "%s is suspected", id)
		assert.Check(t, view.FailureRate == 0, "%s has a recorded failure", id)
		assert.Check(t, view.Active == 0, "%s has active requests", id)
	}
	assert.Check(t, len(s.prober.dueProbes()) == 0, "a probe is pending")
}

func signed(status int, body io.Reader) *Response {
	h := http.Header{}
	h.Set("Response-Signature", "sig")
	return &Response{Status: status, Header: h, Body: fakeBody{body}}
}

var errNotConnected = errors.Wrap(ErrNotSent, "connection closed")

const (
	idempotent    = model.RouteIdempotent
	notRepeatable = model.RouteNotRepeatable
	streaming     = model.RouteStreaming
)

// Guards against suspecting a server because the caller disconnected before the request was
// sent. A caller that only closed its sending side is told that the request did not run.
func TestDisconnectBeforeSendDoesNotSuspectServer(t *testing.T) {
	for _, kind := range []model.RouteKind{idempotent, notRepeatable, streaming} {
		synctest.Test(t, func(t *testing.T) {
			ctx, disconnect := context.WithCancel(t.Context())
			s := newFixture(model.Route{Kind: kind, MaxAttempts: 2, TargetLatency: time.Second}, kind == streaming, func(ctx context.Context, _ string, _ *Request) (*Response, error) {
				disconnect()
				return nil, errNotConnected
			})
			out := &recordingWriter{}
			complete := s.Serve(ctx, &model.Call{Attempt: "1", Method: "POST", Host: "h", Path: "/"}, out)
			assert.Assert(t, complete)
			assert.Check(t, out.status == http.StatusServiceUnavailable, "%s: %d", kind, out.status)
			assert.Check(t, out.header.Get("Retry-After") != "", "%s", kind)
			s.assertNoEvidence(t)
			assert.Equal(t, s.observer.retries, 0)
			assert.Equal(t, s.streamCount(), 0.0)
		})
	}
}

// Guards against suspecting a server because the caller disconnected during the run. A
// caller that only closed its sending side gets 502.
func TestDisconnectDuringRunDoesNotSuspectServer(t *testing.T) {
	for _, kind := range []model.RouteKind{idempotent, notRepeatable, streaming} {
		synctest.Test(t, func(t *testing.T) {
			ctx, disconnect := context.WithCancel(t.Context())
			s := newFixture(model.Route{Kind: kind, MaxAttempts: 2, TargetLatency: time.Second}, kind == streaming, func(ctx context.Context, _ string, _ *Request) (*Response, error) {
				disconnect()
				<-ctx.Done()
				return nil, ctx.Err()
			})
			out := &recordingWriter{}
			complete := s.Serve(ctx, &model.Call{Attempt: "1", Method: "POST", Host: "h", Path: "/"}, out)
			assert.Assert(t, complete)
			assert.Check(t, out.status == http.StatusBadGateway, "%s: %d", kind, out.status)
			s.assertNoEvidence(t)
			assert.Equal(t, s.observer.retries, 0)
			assert.Equal(t, s.streamCount(), 0.0)
		})
	}
}

// Guards against replacing a server's complete failure response by an error of the router,
// when the caller closes its sending side as the response arrives.
func TestFailureResponseIsForwardedAfterDisconnect(t *testing.T) {
	for _, isEngine := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			ctx, disconnect := context.WithCancel(t.Context())
			s := newFixture(model.Route{Kind: idempotent, MaxAttempts: 2, TargetLatency: time.Second}, isEngine, func(context.Context, string, *Request) (*Response, error) {
				disconnect()
				return signed(http.StatusInternalServerError, strings.NewReader("failure response")), nil
			})
			out := &recordingWriter{}
			assert.Assert(t, s.Serve(ctx, &model.Call{Attempt: "1", Method: "POST", Host: "h", Path: "/"}, out))
			assert.Equal(t, out.status, http.StatusInternalServerError)
			assert.Equal(t, out.body.String(), "failure response")
			assert.Equal(t, s.observer.retries, 0)
		})
	}
}

// Guards against leaking a stream's token memory when the code panics.
func TestPanicReleasesReservedMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFixture(model.Route{Kind: streaming, MaxAttempts: 1, TargetLatency: time.Second}, true, func(context.Context, string, *Request) (*Response, error) {
			panic("unexpected")
		})
		out := &recordingWriter{}
		complete := s.Serve(t.Context(), &model.Call{Attempt: "1", Method: "POST", Host: "h", Path: "/"}, out)
		assert.Assert(t, complete)
		assert.Equal(t, out.status, http.StatusBadGateway)
		assert.Equal(t, s.streamCount(), 0.0)
	})
}

// Guards against taking two retry tokens for one retry after an engine's failure response.
func TestRetryAfterFailureTakesOneToken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sends := 0
		s := newFixture(model.Route{Kind: streaming, ResumeStreams: true, MaxAttempts: 2, TargetLatency: time.Second}, true, func(context.Context, string, *Request) (*Response, error) {
			if sends++; sends == 1 {
				return signed(http.StatusInternalServerError, strings.NewReader("failed")), nil
			}
			return signed(http.StatusOK, strings.NewReader("id: 1\ndata: a\n\n")), nil
		})
		time.Sleep(2 * time.Second) // until the slack may be spent
		out := &recordingWriter{}
		assert.Assert(t, s.Serve(t.Context(), &model.Call{Attempt: "1", Method: "POST", Host: "h", Path: "/"}, out))
		assert.Equal(t, out.status, http.StatusOK)
		assert.Equal(t, s.observer.retries, 1)
	})
}

// Guards against losing an engine's failure response when the attempts or the retry budget
// are exhausted.
func TestFailureIsForwardedWithoutRetries(t *testing.T) {
	for _, attempts := range []int{1, 2} {
		synctest.Test(t, func(t *testing.T) {
			sends := 0
			s := newFixture(model.Route{Kind: streaming, ResumeStreams: true, MaxAttempts: attempts, TargetLatency: time.Second}, true, func(context.Context, string, *Request) (*Response, error) {
				sends++
				return signed(http.StatusInternalServerError, strings.NewReader("failed")), nil
			})
			out := &recordingWriter{}
			assert.Assert(t, s.Serve(t.Context(), &model.Call{Attempt: "1", Method: "POST", Host: "h", Path: "/"}, out))
			assert.Equal(t, out.status, http.StatusInternalServerError)
			assert.Equal(t, out.body.String(), "failed")
			assert.Equal(t, sends, 1)
			assert.Equal(t, s.observer.retries, 0)
		})
	}
}

// Guards against cancelling a slow attempt that cannot be retried because the retry budget
// is exhausted.
func TestSlowAttemptContinuesWithoutRetryToken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFixture(model.Route{Kind: idempotent, MaxAttempts: 2, TargetLatency: time.Second}, false, func(ctx context.Context, _ string, _ *Request) (*Response, error) {
			if !wait.For(ctx, 3*time.Second) {
				return nil, ctx.Err()
			}
			return signed(http.StatusOK, strings.NewReader("late")), nil
		})
		s.RetryBorrower.Budget = limits.NewSharedRetryBudget(0, 100, time.Hour, func() int { return 1 }, limitstest.Clock)
		out := &recordingWriter{}
		assert.Assert(t, s.Serve(t.Context(), &model.Call{Attempt: "1", Method: "POST", Host: "h", Path: "/"}, out))
		assert.Equal(t, out.status, http.StatusOK)
		assert.Equal(t, out.body.String(), "late")
		assert.Equal(t, s.observer.retries, 0)
	})
}

// Guards against waiting for a slow server although a retry token and another server are
// available.
func TestSlowAttemptIsRetriedElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		slow := ""
		s := newFixture(model.Route{Kind: idempotent, MaxAttempts: 2, TargetLatency: time.Second}, false, func(ctx context.Context, addr string, _ *Request) (*Response, error) {
			if slow == "" || slow == addr {
				slow = addr
				<-ctx.Done()
				return nil, ctx.Err()
			}
			return signed(http.StatusOK, strings.NewReader("in time")), nil
		})
		time.Sleep(2 * time.Second) // until the slack may be spent
		out := &recordingWriter{}
		began := time.Now()
		assert.Assert(t, s.Serve(t.Context(), &model.Call{Attempt: "1", Method: "POST", Host: "h", Path: "/"}, out))
		assert.Equal(t, out.body.String(), "in time")
		assert.Equal(t, time.Since(began), time.Second)
		assert.Equal(t, s.observer.retries, 1)
	})
}

// Guards against treating the wait for a response that is not streamed as a stall.
func TestSingleResponseIsNotAStall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFixture(model.Route{Kind: idempotent, MaxAttempts: 2, TargetLatency: time.Second}, true, func(ctx context.Context, _ string, r *Request) (*Response, error) {
			if r.Target == platform.ReportPath {
				return signed(http.StatusOK, strings.NewReader("{}")), nil
			}
			if !wait.For(ctx, 8*time.Second) {
				return nil, ctx.Err()
			}
			return signed(http.StatusOK, strings.NewReader("complete response")), nil
		})
		time.Sleep(2 * time.Second) // until the slack may be spent
		out := &recordingWriter{}
		assert.Assert(t, s.Serve(t.Context(), &model.Call{Attempt: "1", Method: "POST", Host: "h", Path: "/"}, out))
		assert.Equal(t, out.body.String(), "complete response")
		assert.Equal(t, s.observer.retries, 0)
	})
}

// Guards against discarding the final response of a server whose exit is reported before the
// response is read, for a request that must not be retried.
func TestFinalResponseOfExitedServerIsForwarded(t *testing.T) {
	for _, kind := range []model.RouteKind{notRepeatable, streaming} {
		synctest.Test(t, func(t *testing.T) {
			s := newFixture(model.Route{Kind: kind, MaxAttempts: 2, TargetLatency: time.Second}, kind == streaming, func(ctx context.Context, _ string, _ *Request) (*Response, error) {
				if !wait.For(ctx, 50*time.Millisecond) {
					return nil, ctx.Err()
				}
				return signed(http.StatusOK, strings.NewReader("id: 1\ndata: final response\n\n")), nil
			})
			time.AfterFunc(20*time.Millisecond, func() {
				s.HandleEngineExit(inc("one"))
				s.HandleEngineExit(inc("two"))
			})
			out := &recordingWriter{}
			assert.Assert(t, s.Serve(t.Context(), &model.Call{Attempt: "1", Method: "POST", Host: "h", Path: "/"}, out))
			assert.Equal(t, out.status, http.StatusOK)
			assert.Equal(t, out.body.String(), "id: 1\ndata: final response\n\n")
		})
	}
}
