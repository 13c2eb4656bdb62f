package relay

import (
	"context"
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
	"github.com/skylarkwood/skylarkwood/internal/coordination/quarantine"
	"github.com/skylarkwood/skylarkwood/internal/coordination/routes"
	"github.com/skylarkwood/skylarkwood/internal/model"
	"github.com/skylarkwood/skylarkwood/internal/wait"
	"github.com/skylarkwood/skylarkwood/platform"
)

// script is the backend servers: what they do with a request.
type script func(ctx context.Context, addr string, r *Request) (*Response, error)

func (s script) Do(ctx context.Context, addr string, r *Request) (*Response, error) {
	return s(ctx, addr, r)
}

func (s script) CloseIdle(string) {}

// observed counts repeated sends.
type observed struct {
	mu      sync.Mutex
	repeats int
}

func (o *observed) Request(_, _, _, _ string, _ time.Duration) {}
func (o *observed) FirstEvent(string, time.Duration)           {}

func (o *observed) Retry(_, _ string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.repeats++
}

// heardBody is an answer's body that comes as its reader does.
type heardBody struct{ io.Reader }

func (heardBody) Discard() {}
func (heardBody) Close()   {}

// listener is a caller that keeps what it is told.
type listener struct {
	status int
	header http.Header
	body   strings.Builder
}

func (l *listener) WriteHeader(status int, header http.Header, _ int64) {
	l.status = status
	l.header = header
}

func (l *listener) Write(p []byte) error {
	l.body.Write(p)
	return nil
}

// site is a relay before two backend servers, "one" and "two". Where it generates
// each of them holds all layers; else the service is plain.
type site struct {
	*Relay
	prober *Prober
	seen   *observed
}

func newSite(route model.Route, generates bool, do script) *site {
	spec := &model.EngineSpec{
		Layers: 12, LayerMB: 100, KVTokenBytes: 1e6, StepTime: time.Millisecond, PrefillRate: 1e5, StepsPerPass: 1,
		Cards: []model.Card{{Name: "fast", MB: 80000, StepTimeFactor: 2, PrefillFactor: 2}},
	}
	svc := model.Service{Name: "s"}
	if generates {
		svc.Engine = spec
	}
	route.Name, route.Host, route.Prefix = "r", "h", "/"
	route.Split = []model.ServiceShare{{Service: "s", Weight: 1}}
	current := &routes.ActiveConfig{}
	current.Apply(&model.RouteConfig{Version: 1, Routes: []model.Route{route}, Services: []model.Service{svc}}, nil)
	c := catalog.New(time.Now)
	for _, id := range []string{"one", "two"} {
		c.Put(model.BackendServer{ID: id, Service: "s", Address: id + ":1", FailureDomain: "a", Card: "fast", Holds: model.LayerRange{To: 12}, Slots: 9})
	}
	health := catalog.NewHealth(time.Now)
	memory := chains.NewUsageTracker(time.Now)
	began := time.Now()
	prober := NewProber()
	prober.Now = time.Now
	prober.Health = health
	prober.Catalog = c
	prober.AnnounceSuspect = func(model.Incarnation, time.Time) {}
	seen := &observed{}
	rel := &Relay{
		Config: current, Catalog: c, Health: health, Memory: memory,
		Chooser:       &chains.Chooser{Catalog: c, Health: health, Usage: memory, Interconnect: chains.NewInterconnect(time.Now), RouterCount: func() int { return 1 }},
		WaitQueue:     admission.NewWaitQueue(),
		RetryBorrower: &limits.RetryBorrower{Budget: limits.NewSharedRetryBudget(0, 100, time.Second, func() int { return 1 }, time.Now), Now: time.Now},
		BackendClient: do, Observer: seen, ActiveRuns: NewActiveRuns(), Suspects: prober, FailureDomain: "a",
		Detector: detector.New(time.Now),
		Clock:    func() time.Duration { return 0 }, Now: time.Now, MaxConfigAge: time.Hour,
		Quarantine: quarantine.New(func() time.Duration { return time.Since(began) }),
		RequestTrial: func(context.Context, model.Fingerprint, []model.Incarnation) quarantine.Grant {
			return quarantine.Grant{Granted: true}
		},
		CheckListening: func(context.Context, string) error { return nil },
	}
	rel.SlowdownMonitor = NewSlowdownMonitor()
	rel.SlowdownMonitor.Memory = memory
	rel.SlowdownMonitor.Catalog = c
	rel.SlowdownMonitor.Report = rel.Report
	rel.SlowdownMonitor.Now = time.Now
	return &site{Relay: rel, prober: prober, seen: seen}
}

// streams is how many streams hold memory of an engine.
func (s *site) streams() float64 {
	return s.Memory.Used(inc("one")).Streams + s.Memory.Used(inc("two")).Streams
}

func (s *site) suspects(t *testing.T) {
	for _, id := range []string{"one", "two"} {
		view := s.Health.View(inc(id))
		assert.Check(t, !view.Suspected, "%s is suspected", id)
		assert.Check(t, view.FailureRate == 0, "%s is charged with a failure", id)
		assert.Check(t, view.Active == 0, "%s has work", id)
	}
	assert.Check(t, len(s.prober.due()) == 0, "a probe is due")
}

func signed(status int, body io.Reader) *Response {
	h := http.Header{}
	h.Set("Response-Signature", "sig")
	return &Response{Status: status, Header: h, Body: heardBody{body}}
}

var errNoConnection = errors.Wrap(ErrNotSent, "the connection was closed")

const (
	idempotent    = model.RouteIdempotent
	notRepeatable = model.RouteNotRepeatable
	streaming     = model.RouteStreaming
)

// The caller leaves while a connection is opened to the backend server, and nothing
// was sent. The server is no worse for it: it is not suspected, here or at peers, and
// no failure is counted. A caller that only closed its sending side still listens,
// and is told that its request did not run and when to come back.
func TestWhoLeavesBeforeTheSendIsNoEvidence(t *testing.T) {
	for _, kind := range []model.RouteKind{idempotent, notRepeatable, streaming} {
		synctest.Test(t, func(t *testing.T) {
			ctx, leave := context.WithCancel(t.Context())
			s := newSite(model.Route{Kind: kind, MaxAttempts: 2, TargetLatency: time.Second}, kind == streaming, func(ctx context.Context, _ string, _ *Request) (*Response, error) {
				leave()
				return nil, errNoConnection
			})
			out := &listener{}
			whole := s.Serve(ctx, &model.Call{Attempt: "1", Method: "POST", Host: "h", Path: "/"}, out)
			assert.Assert(t, whole)
			assert.Check(t, out.status == http.StatusServiceUnavailable, "%s: %d", kind, out.status)
			assert.Check(t, out.header.Get("Retry-After") != "", "%s", kind)
			s.suspects(t)
			assert.Equal(t, s.seen.repeats, 0)
			assert.Equal(t, s.streams(), 0.0)
		})
	}
}

// The caller leaves while its request runs. The server did not fail: work that its
// caller gave up says nothing of it. A caller that only closed its sending side still
// listens, and is told that its answer is lost, not that its request was wrong.
func TestWhoLeavesDuringTheRunIsNoEvidence(t *testing.T) {
	for _, kind := range []model.RouteKind{idempotent, notRepeatable, streaming} {
		synctest.Test(t, func(t *testing.T) {
			ctx, leave := context.WithCancel(t.Context())
			s := newSite(model.Route{Kind: kind, MaxAttempts: 2, TargetLatency: time.Second}, kind == streaming, func(ctx context.Context, _ string, _ *Request) (*Response, error) {
				leave()
				<-ctx.Done()
				return nil, ctx.Err()
			})
			out := &listener{}
			whole := s.Serve(ctx, &model.Call{Attempt: "1", Method: "POST", Host: "h", Path: "/"}, out)
			assert.Assert(t, whole)
			assert.Check(t, out.status == http.StatusBadGateway, "%s: %d", kind, out.status)
			s.suspects(t)
			assert.Equal(t, s.seen.repeats, 0)
			assert.Equal(t, s.streams(), 0.0)
		})
	}
}

// A backend server's own failure has come whole as the time is over or the caller
// closes its sending side. It is delivered: the answer is ready, and another one in
// its place would tell the caller less.
func TestReadyAnswerIsDelivered(t *testing.T) {
	for _, generates := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			ctx, leave := context.WithCancel(t.Context())
			s := newSite(model.Route{Kind: idempotent, MaxAttempts: 2, TargetLatency: time.Second}, generates, func(context.Context, string, *Request) (*Response, error) {
				leave()
				return signed(http.StatusInternalServerError, strings.NewReader("the server's words")), nil
			})
			out := &listener{}
			assert.Assert(t, s.Serve(ctx, &model.Call{Attempt: "1", Method: "POST", Host: "h", Path: "/"}, out))
			assert.Equal(t, out.status, http.StatusInternalServerError)
			assert.Equal(t, out.body.String(), "the server's words")
			assert.Equal(t, s.seen.repeats, 0)
		})
	}
}

// A handler that fails unexpectedly takes its request with it, not the memory that
// its stream reserved at the engines.
func TestPanicGivesMemoryBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(model.Route{Kind: streaming, MaxAttempts: 1, TargetLatency: time.Second}, true, func(context.Context, string, *Request) (*Response, error) {
			panic("unexpected")
		})
		out := &listener{}
		whole := s.Serve(t.Context(), &model.Call{Attempt: "1", Method: "POST", Host: "h", Path: "/"}, out)
		assert.Assert(t, whole)
		assert.Equal(t, out.status, http.StatusBadGateway)
		assert.Equal(t, s.streams(), 0.0)
	})
}

// An engine fails a stream that has not begun, and the stream is sent to another one.
// That is one repeated send, and takes one from the budget.
func TestRepeatAfterAFailureIsTakenOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sends := 0
		s := newSite(model.Route{Kind: streaming, ResumeStreams: true, MaxAttempts: 2, TargetLatency: time.Second}, true, func(context.Context, string, *Request) (*Response, error) {
			if sends++; sends == 1 {
				return signed(http.StatusInternalServerError, strings.NewReader("failed")), nil
			}
			return signed(http.StatusOK, strings.NewReader("id: 1\ndata: a\n\n")), nil
		})
		time.Sleep(2 * time.Second) // until the slack may be spent
		out := &listener{}
		assert.Assert(t, s.Serve(t.Context(), &model.Call{Attempt: "1", Method: "POST", Host: "h", Path: "/"}, out))
		assert.Equal(t, out.status, http.StatusOK)
		assert.Equal(t, s.seen.repeats, 1)
	})
}

// The same, with the budget used up or the attempts: the engine's failure is the
// answer, as it came.
func TestFailureIsDeliveredWhereNoRepeatIsLeft(t *testing.T) {
	for _, attempts := range []int{1, 2} {
		synctest.Test(t, func(t *testing.T) {
			sends := 0
			s := newSite(model.Route{Kind: streaming, ResumeStreams: true, MaxAttempts: attempts, TargetLatency: time.Second}, true, func(context.Context, string, *Request) (*Response, error) {
				sends++
				return signed(http.StatusInternalServerError, strings.NewReader("failed")), nil
			})
			out := &listener{}
			assert.Assert(t, s.Serve(t.Context(), &model.Call{Attempt: "1", Method: "POST", Host: "h", Path: "/"}, out))
			assert.Equal(t, out.status, http.StatusInternalServerError)
			assert.Equal(t, out.body.String(), "failed")
			assert.Equal(t, sends, 1)
			assert.Equal(t, s.seen.repeats, 0)
		})
	}
}

// A server is slower than usual, and the budget for repeated sends is used up. The
// request may go nowhere else, so it stays where it is and gets its answer.
func TestSlowTryIsKeptWhereNoRepeatIsLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(model.Route{Kind: idempotent, MaxAttempts: 2, TargetLatency: time.Second}, false, func(ctx context.Context, _ string, _ *Request) (*Response, error) {
			if !wait.For(ctx, 3*time.Second) {
				return nil, ctx.Err()
			}
			return signed(http.StatusOK, strings.NewReader("late")), nil
		})
		s.RetryBorrower.Budget = limits.NewSharedRetryBudget(0, 100, time.Hour, func() int { return 1 }, time.Now)
		out := &listener{}
		assert.Assert(t, s.Serve(t.Context(), &model.Call{Attempt: "1", Method: "POST", Host: "h", Path: "/"}, out))
		assert.Equal(t, out.status, http.StatusOK)
		assert.Equal(t, out.body.String(), "late")
		assert.Equal(t, s.seen.repeats, 0)
	})
}

// The same with a repeat left: another server answers in time, and one repeat is
// taken.
func TestSlowTryIsRepeatedElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		slow := ""
		s := newSite(model.Route{Kind: idempotent, MaxAttempts: 2, TargetLatency: time.Second}, false, func(ctx context.Context, addr string, _ *Request) (*Response, error) {
			if slow == "" || slow == addr {
				slow = addr
				<-ctx.Done()
				return nil, ctx.Err()
			}
			return signed(http.StatusOK, strings.NewReader("in time")), nil
		})
		time.Sleep(2 * time.Second) // until the slack may be spent
		out := &listener{}
		began := time.Now()
		assert.Assert(t, s.Serve(t.Context(), &model.Call{Attempt: "1", Method: "POST", Host: "h", Path: "/"}, out))
		assert.Equal(t, out.body.String(), "in time")
		assert.Equal(t, time.Since(began), time.Second)
		assert.Equal(t, s.seen.repeats, 1)
	})
}

// An answer that is no stream comes in one piece when all of it is made, after many
// seconds. Nothing before it is no silence.
func TestAnswerInOnePieceIsWaitedFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(model.Route{Kind: idempotent, MaxAttempts: 2, TargetLatency: time.Second}, true, func(ctx context.Context, _ string, r *Request) (*Response, error) {
			if r.Target == platform.ReportPath {
				return signed(http.StatusOK, strings.NewReader("{}")), nil
			}
			if !wait.For(ctx, 8*time.Second) {
				return nil, ctx.Err()
			}
			return signed(http.StatusOK, strings.NewReader("all of it")), nil
		})
		time.Sleep(2 * time.Second) // until the slack may be spent
		out := &listener{}
		assert.Assert(t, s.Serve(t.Context(), &model.Call{Attempt: "1", Method: "POST", Host: "h", Path: "/"}, out))
		assert.Equal(t, out.body.String(), "all of it")
		assert.Equal(t, s.seen.repeats, 0)
	})
}

// A server answers its last request and ends. The news of its end overtakes the
// answer, which lies in the socket of a busy router. A request that must not be sent
// again has nothing but this answer: it is waited for a moment. One that may be sent
// again is, at once.
func TestLastAnswerOfAServerIsDelivered(t *testing.T) {
	for _, kind := range []model.RouteKind{notRepeatable, streaming} {
		synctest.Test(t, func(t *testing.T) {
			s := newSite(model.Route{Kind: kind, MaxAttempts: 2, TargetLatency: time.Second}, kind == streaming, func(ctx context.Context, _ string, _ *Request) (*Response, error) {
				if !wait.For(ctx, 50*time.Millisecond) {
					return nil, ctx.Err()
				}
				return signed(http.StatusOK, strings.NewReader("id: 1\ndata: last words\n\n")), nil
			})
			time.AfterFunc(20*time.Millisecond, func() {
				s.HandleEngineExit(inc("one"))
				s.HandleEngineExit(inc("two"))
			})
			out := &listener{}
			assert.Assert(t, s.Serve(t.Context(), &model.Call{Attempt: "1", Method: "POST", Host: "h", Path: "/"}, out))
			assert.Equal(t, out.status, http.StatusOK)
			assert.Equal(t, out.body.String(), "id: 1\ndata: last words\n\n")
		})
	}
}
