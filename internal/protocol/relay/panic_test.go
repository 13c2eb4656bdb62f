package relay

import (
	"bytes"
	"context"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
	"k8s.io/klog/v2"

	"github.com/skylarkwood/skylarkwood/internal/coordination/chains"
	"github.com/skylarkwood/skylarkwood/internal/coordination/limits"
	"github.com/skylarkwood/skylarkwood/internal/coordination/limits/limitstest"
	"github.com/skylarkwood/skylarkwood/internal/coordination/quarantine"
	"github.com/skylarkwood/skylarkwood/internal/coordination/routes"
	"github.com/skylarkwood/skylarkwood/internal/model"
)

// panickingClient is a BackendClient that panics.
type panickingClient struct{ sent int }

func (f *panickingClient) Do(context.Context, string, *Request) (*Response, error) {
	f.sent++
	panic("fault in the code")
}

func (f *panickingClient) CloseIdle(string) {}

// panicObserver counts requests and panics.
type panicObserver struct{ requests, panics int }

func (c *panicObserver) Request(string, string, string, string, time.Duration) { c.requests++ }
func (c *panicObserver) FirstEvent(string, time.Duration)                      {}
func (c *panicObserver) Retry(string, string)                                  {}
func (c *panicObserver) Refusal(string, bool)                                  {}
func (c *panicObserver) CapacityRefused(string, string, int)                   {}
func (c *panicObserver) ForecastError(string, time.Duration)                   {}
func (c *panicObserver) recordPanic(string)                                    { c.panics++ }

// responseRecorder is a ResponseWriter that records the response.
type responseRecorder struct {
	status   int
	header   http.Header
	body     bytes.Buffer
	writeErr error // returned by Write
}

func (a *responseRecorder) WriteHeader(status int, header http.Header, _ int64) {
	a.status = status
	a.header = header
}

func (a *responseRecorder) Write(p []byte) error {
	a.body.Write(p)
	return a.writeErr
}

// newPlainRelay returns a relay with one plain service and one server of it.
func newPlainRelay(backends BackendClient, observer *panicObserver) *Relay {
	s, _ := newIncompleteStream()
	r := s.Relay
	r.BackendClient = backends
	r.Observer = observer
	r.OnPanic = observer.recordPanic
	r.ActiveRuns = NewActiveRuns()
	r.Config = &routes.ActiveConfig{}
	r.Config.Apply(&model.RouteConfig{
		Version:  1,
		Routes:   []model.Route{{Name: "notice", Kind: model.RouteNotRepeatable, MaxAttempts: 1, Split: []model.ServiceShare{{Service: "notices", Weight: 1}}}},
		Services: []model.Service{{Name: "notices"}},
	}, nil, "")
	r.Catalog.Put(model.BackendServer{ID: "n", Service: "notices", Address: "n:1", FailureDomain: "a", Slots: 9})
	r.RetryBorrower = &limits.RetryBorrower{Budget: limits.NewSharedRetryBudget(1, 1, time.Second, func() int { return 1 }, limitstest.Clock), Now: time.Now}
	r.Clock = func() time.Duration { return 0 }
	return r
}

// Guards against a panic that closes the connection without a response or stops the
// process. The caller gets 502, and the log contains the stack.
func TestPanicDuringSendReturnsBadGateway(t *testing.T) {
	var log bytes.Buffer
	klog.LogToStderr(false)
	klog.SetOutput(&log)
	defer klog.LogToStderr(true)
	observer := &panicObserver{}
	backends := &panickingClient{}
	r := newPlainRelay(backends, observer)
	for range 2 {
		out := &responseRecorder{}
		complete := r.Serve(t.Context(), &model.Call{Attempt: "a1"}, out)
		assert.Assert(t, complete)
		assert.Equal(t, out.status, http.StatusBadGateway)
	}
	klog.Flush()
	assert.Equal(t, backends.sent, 2)
	assert.Equal(t, observer.panics, 2)
	assert.Equal(t, observer.requests, 2)
	for _, want := range []string{"fault in the code", "a1", "panic_test.go"} {
		assert.Assert(t, strings.Contains(log.String(), want), "no %q in %s", want, log.String())
	}
}

// panickingWriter is a ResponseWriter that panics once the response has begun.
type panickingWriter struct{ responseRecorder }

func (b *panickingWriter) Write([]byte) error { panic("fault in the code") }

// stringBody is a complete response body.
type stringBody struct{ strings.Reader }

func (p *stringBody) Discard() {}
func (p *stringBody) Close()   {}

type okClient struct{}

func (okClient) Do(_ context.Context, _ string, r *Request) (*Response, error) {
	h := http.Header{"Response-Signature": {"s"}}
	h.Set("Attempt-Id", r.Header.Get("Attempt-Id"))
	return &Response{Status: http.StatusOK, Header: h, Body: &stringBody{*strings.NewReader("body")}}, nil
}

func (okClient) CloseIdle(string) {}

// Guards against writing a second response after the header was written. The connection is
// aborted instead.
func TestPanicAfterHeaderAbortsConnection(t *testing.T) {
	observer := &panicObserver{}
	r := newPlainRelay(okClient{}, observer)
	complete := r.Serve(t.Context(), &model.Call{Attempt: "a1"}, &panickingWriter{})
	assert.Assert(t, !complete)
	assert.Equal(t, observer.panics, 1)
}

// Guards against handling a deliberate abort of the connection as a fault.
func TestAbortHandlerPanicIsPropagated(t *testing.T) {
	observer := &panicObserver{}
	r := newPlainRelay(abortingClient{}, observer)
	defer func() {
		err, _ := recover().(error)
		assert.Assert(t, errors.Is(err, http.ErrAbortHandler))
		assert.Equal(t, observer.panics, 0)
	}()
	r.Serve(t.Context(), &model.Call{Attempt: "a1"}, &responseRecorder{})
}

type abortingClient struct{ okClient }

func (abortingClient) Do(context.Context, string, *Request) (*Response, error) {
	panic(http.ErrAbortHandler)
}

// Guards against a panic in a watch stopping the process. Only the watched run ends.
func TestPanicInWatchEndsOnlyItsRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		observer := &panicObserver{}
		s, _ := newIncompleteStream()
		s.Relay.BackendClient = &panickingClient{}
		s.Relay.Observer = observer
		s.Relay.OnPanic = observer.recordPanic
		s.Relay.ActiveRuns = NewActiveRuns()
		ctx, cancel := context.WithCancelCause(t.Context())
		defer cancel(nil)
		engine := s.Catalog.Load().Service("s")[0]
		stages := []chains.Stage{{Server: engine, Layers: engine.Holds}}
		w := s.watch(ctx, cancel, stages, s.Usage.Reserve(stages, 1), s.Quarantine.Begin(quarantine.Subject{}, false))
		defer w.stop()
		<-ctx.Done()
		synctest.Wait()
		assert.Equal(t, endReasonOf(ctx, nil), panicked)
		assert.Equal(t, observer.panics, 1)
	})
}
