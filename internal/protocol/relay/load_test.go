package relay

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/skylarkwood/skylarkwood/internal/coordination/chains"
	"github.com/skylarkwood/skylarkwood/internal/coordination/forecast"
	"github.com/skylarkwood/skylarkwood/internal/model"
	"github.com/skylarkwood/skylarkwood/internal/wait"
)

// kinds are the routes of the prioritized service, the most urgent first, with their target
// latencies.
var kinds = []time.Duration{500 * time.Millisecond, 600 * time.Millisecond, 1200 * time.Millisecond}

// kindMix are the kinds in the order in which they are sent. Their shares are about those of the
// first reference deployment.
var kindMix = []int{1, 0, 1, 2, 0, 1}

// patience is the maximum wait of every kind: capacityWaitShare of the least target latency.
const patience = 400 * time.Millisecond

const (
	callerDeadline = 20 * time.Second
	usableSlots    = 16 // of both engines
)

// loadTest sends requests of all kinds to a relay whose engines have few slots.
type loadTest struct {
	*fixture
	t    *testing.T
	hold time.Duration // how long a request occupies a slot

	mu sync.Mutex
	// ran counts how often each attempt was sent to an engine.
	ran      map[string]int
	attempts int
	byKind   [3]kindResult
	all      sync.WaitGroup
	inOrder  []int    // kinds in the order in which they were served
	started  []string // targets in the order in which they were sent to engines
}

// kindResult is what callers of one kind received.
type kindResult struct {
	calls, served, refusals int
	longestWait             time.Duration // of a refused attempt
}

func (k kindResult) rate() float64 { return float64(k.served) / float64(max(k.calls, 1)) }

func newLoadTest(t *testing.T, hold time.Duration) *loadTest {
	l := &loadTest{t: t, hold: hold, ran: map[string]int{}}
	l.fixture = newFixture(model.Route{Kind: streaming, MaxAttempts: 2}, true, func(ctx context.Context, _ string, r *Request) (*Response, error) {
		l.mu.Lock()
		l.ran[r.Header.Get("Attempt-Id")]++
		l.started = append(l.started, r.Target)
		hold := l.hold
		l.mu.Unlock()
		if !wait.For(ctx, hold) {
			return nil, ctx.Err()
		}
		return signed(http.StatusOK, strings.NewReader("id: 1\ndata: a\n\n")), nil
	})
	cfg := &model.RouteConfig{Version: 2, Services: l.Config.Load().Config.Services}
	for kind, target := range kinds {
		cfg.Routes = append(cfg.Routes, model.Route{Name: fmt.Sprint("kind", kind), Host: "h", Prefix: fmt.Sprintf("/%d/", kind), Kind: streaming, MaxAttempts: 2,
			Priority: kind, TargetLatency: target, AllowAnonymous: true, Split: []model.ServiceShare{{Service: "s", Weight: 1}}})
	}
	for i := range 4 {
		cfg.Customers = append(cfg.Customers, model.RouteCustomer{Name: fmt.Sprint("customer", i), APIKeys: []string{fmt.Sprint("key", i)}})
	}
	assert.Assert(t, l.Config.Apply(cfg, nil, ""))
	return l
}

// occupy makes the engines appear full to the router for a time.
func (l *loadTest) occupy(d time.Duration) {
	used := map[model.Incarnation]chains.Usage{}
	for _, id := range []string{"one", "two"} {
		used[inc(id)] = chains.Usage{Streams: 9, FirstStageStreams: 9}
	}
	l.Usage.SetPeerUsage("peer", used, d)
}

// attempt makes one attempt and checks that it did not run if it was refused.
func (l *loadTest) attempt(ctx context.Context, kind int, key string, deadline time.Time) (out *recordingWriter, took time.Duration) {
	l.mu.Lock()
	l.attempts++
	id := strconv.Itoa(l.attempts)
	l.mu.Unlock()
	out = &recordingWriter{}
	began := time.Now()
	l.Serve(ctx, &model.Call{Attempt: id, Method: "POST", Host: "h", Path: fmt.Sprintf("/%d/", kind), Target: fmt.Sprintf("/%d/", kind), APIKey: key, PromptTokens: 10, AnswerTokensHint: 10, Deadline: deadline}, out)
	took = time.Since(began)
	l.mu.Lock()
	defer l.mu.Unlock()
	switch out.status {
	case http.StatusOK:
		l.inOrder = append(l.inOrder, kind)
	case http.StatusServiceUnavailable:
		assert.Check(l.t, l.ran[id] == 0, "an attempt ran that was refused")
		l.byKind[kind].refusals++
		l.byKind[kind].longestWait = max(l.byKind[kind].longestWait, took)
	}
	return out, took
}

// call makes an attempt and, if it is refused, returns once after the time that the response
// states.
func (l *loadTest) call(kind int, key string) {
	deadline := time.Now().Add(callerDeadline)
	out, _ := l.attempt(l.t.Context(), kind, key, deadline)
	if out.status == http.StatusServiceUnavailable {
		seconds, err := strconv.ParseFloat(out.header.Get("Retry-After"), 64)
		after := time.Duration(seconds * float64(time.Second))
		assert.Check(l.t, err == nil && after >= forecast.MinReturn && after <= callerDeadline/3, "Retry-After %v", out.header.Get("Retry-After"))
		time.Sleep(after)
		out, _ = l.attempt(l.t.Context(), kind, key, deadline)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.byKind[kind].calls++
	if out.status == http.StatusOK {
		l.byKind[kind].served++
	}
}

// results returns what the callers received so far, by kind.
func (l *loadTest) results() [3]kindResult {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.byKind
}

// send sends requests of all kinds for a time, perSecond in total.
func (l *loadTest) send(perSecond int, span time.Duration) {
	interval := time.Second / time.Duration(perSecond)
	for i := range int(span / interval) {
		l.all.Go(func() { l.call(kindMix[i%len(kindMix)], fmt.Sprint("key", i%4)) })
		time.Sleep(interval)
	}
}

// assertOrdered asserts that no kind is served worse than a less urgent one, that no attempt
// waits past the patience, and that everything is released.
func (l *loadTest) assertOrdered() {
	l.t.Helper()
	l.all.Wait()
	for kind, got := range l.byKind {
		assert.Check(l.t, got.longestWait <= patience, "kind %d waited %v", kind, got.longestWait)
		if kind > 0 {
			before := l.byKind[kind-1]
			assert.Check(l.t, before.rate() >= got.rate()-0.03, "served: %v", l.byKind)
		}
	}
	assert.Equal(l.t, l.WaitQueue.Len(), 0)
	for _, own := range l.Usage.OwnUsage() {
		assert.Equal(l.t, own.Streams, 0.0)
	}
}
