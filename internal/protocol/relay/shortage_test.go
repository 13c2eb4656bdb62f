package relay

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
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

// patience is the wait that every kind may have: that of the most urgent one.
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

	mu      sync.Mutex
	ran     map[string]int // by attempt
	calls   int
	byKind  [3]kindResult
	all     sync.WaitGroup
	inOrder []int // kinds in the order in which they were served
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
	assert.Assert(t, l.Config.Apply(cfg, nil))
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

// attempt makes one attempt and checks that its response is true.
func (l *loadTest) attempt(ctx context.Context, kind int, key string, deadline time.Time) (out *recordingWriter, took time.Duration) {
	l.mu.Lock()
	l.calls++
	id := strconv.Itoa(l.calls)
	l.mu.Unlock()
	out = &recordingWriter{}
	began := time.Now()
	l.Serve(ctx, &model.Call{Attempt: id, Method: "POST", Host: "h", Path: fmt.Sprintf("/%d/", kind), APIKey: key, PromptTokens: 10, AnswerTokensHint: 10, Deadline: deadline}, out)
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

// send sends requests of all kinds for a time, perSecond in total.
func (l *loadTest) send(perSecond int, span time.Duration) {
	interval := time.Second / time.Duration(perSecond)
	for i := range int(span / interval) {
		l.all.Go(func() { l.call([]int{1, 0, 1, 2, 0, 1}[i%6], fmt.Sprint("key", i%4)) })
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

// Load: a burst of the least urgent kind takes all slots and the wait line before one request of
// the most urgent kind. Guards against serving the burst first.
func TestBurstOfTheLeastUrgentKindDoesNotDelayTheMostUrgent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLoadTest(t, 300*time.Millisecond)
		l.send(20, 3*time.Second) // the rate becomes known
		l.all.Wait()
		l.inOrder = nil
		for range 60 {
			l.all.Go(func() { l.attempt(t.Context(), 2, "key0", time.Now().Add(callerDeadline)) })
		}
		synctest.Wait()
		assert.Assert(t, l.WaitQueue.Len() > 0)
		l.all.Go(func() { l.attempt(t.Context(), 0, "key0", time.Now().Add(callerDeadline)) })
		l.assertOrdered()
		at := len(l.inOrder)
		for i, kind := range l.inOrder {
			if kind == 0 {
				at = i
			}
		}
		assert.Assert(t, at < 2*usableSlots, "served as number %d of %d", at, len(l.inOrder))
	})
}

// Load: 60 requests a second where 100 fit. Failure: engines are full for 2 s, for 10 s and for
// good. Guards against requests that wait without being served, returns that come too early, and
// a worse result for more urgent kinds.
func TestShortageOf2sAnd10sAndLasting(t *testing.T) {
	for _, shortage := range []time.Duration{2 * time.Second, 10 * time.Second, time.Hour} {
		synctest.Test(t, func(t *testing.T) {
			l := newLoadTest(t, 160*time.Millisecond)
			l.send(60, 3*time.Second)
			l.occupy(shortage)
			l.send(60, 3*time.Second)
			l.mu.Lock()
			for kind, got := range l.byKind {
				assert.Check(t, got.longestWait <= patience, "kind %d waited %v", kind, got.longestWait)
			}
			l.byKind[0].longestWait, l.byKind[1].longestWait, l.byKind[2].longestWait = 0, 0, 0
			l.mu.Unlock()
			if shortage > 9*time.Second { // nothing is known by now
				l.send(60, 6*time.Second)
				for kind, got := range l.byKind {
					assert.Check(t, got.longestWait <= kinds[0]/8, "kind %d waited %v", kind, got.longestWait)
				}
			}
			l.send(60, 5*time.Second)
			l.assertOrdered()
			served := 0
			for _, k := range l.byKind {
				served += k.served
			}
			t.Logf("shortage of %v: %+v", shortage, l.byKind)
			if shortage == 2*time.Second {
				assert.Check(t, served >= 11*60*95/100, "%d of %d served", served, 11*60)
			}
			if shortage == time.Hour {
				assert.Check(t, l.observer.refused["slots 0"] > 0, "%v", l.observer.refused)
			}
		})
	}
}

// Load: 150 requests a second where 100 fit, and callers that return at once, 20 times each, a
// quarter of all. Guards against their taking the room of the callers that wait as told.
func TestStormOfRetriesDoesNotTakeTheRoomOfOthers(t *testing.T) {
	served := map[bool]int{}
	for _, storm := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			l := newLoadTest(t, 160*time.Millisecond)
			stop := make(chan struct{})
			var storming sync.WaitGroup
			storming.Go(func() {
				for {
					select {
					case <-stop:
						return
					case <-time.After(27 * time.Millisecond):
					}
					storming.Go(func() {
						deadline := time.Now().Add(callerDeadline)
						for range 20 {
							out, _ := l.attempt(t.Context(), 1, "key3", deadline)
							if out.status == http.StatusOK || !storm {
								return
							}
							time.Sleep(time.Millisecond)
						}
					})
				}
			})
			for i := range 113 * 10 {
				l.all.Go(func() { l.call([]int{1, 0, 1, 2, 0, 1}[i%6], fmt.Sprint("key", i%3)) })
				time.Sleep(time.Second / 113)
			}
			close(stop)
			storming.Wait()
			l.assertOrdered()
			for _, k := range l.byKind {
				served[storm] += k.served
			}
			t.Logf("storm %t: %+v", storm, l.byKind)
		})
	}
	assert.Assert(t, float64(served[true]) >= 0.95*float64(served[false]), "%v", served)
}

// Load: 150 requests a second where 100 fit. Failure: half of the callers disconnect after 30 ms.
// Guards against capacity reserved for them, and against their blocking the line.
func TestCallersThatGiveUpLeaveTheLine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLoadTest(t, 160*time.Millisecond)
		for i := range 1500 {
			l.all.Go(func() {
				if i%2 == 0 {
					l.call(i%3, "key1")
					return
				}
				ctx, leave := context.WithTimeout(t.Context(), 30*time.Millisecond)
				defer leave()
				l.attempt(ctx, i%3, "key2", time.Now().Add(callerDeadline))
			})
			time.Sleep(time.Second / 150)
		}
		l.assertOrdered()
		for kind, k := range l.byKind {
			assert.Check(t, k.rate() > 0.95, "kind %d: %+v", kind, k)
		}
	})
}

// Load: 150 requests a second where 100 fit. Failure: the forecast is wrong by a factor of three
// in either direction all the time, as its clock is. Guards against refusing over a third more
// than capacity requires, and against waits past the patience.
func TestForecastThatIsWrongByAFactorOfThree(t *testing.T) {
	for _, factor := range []float64{1, 3, 1.0 / 3} {
		synctest.Test(t, func(t *testing.T) {
			l := newLoadTest(t, 160*time.Millisecond)
			began := time.Now()
			l.WaitQueue.Line("s").Forecast = forecast.New(func() time.Time {
				return began.Add(time.Duration(factor * float64(time.Since(began))))
			})
			const requests = 1500
			for i := range requests {
				l.all.Go(func() {
					l.attempt(t.Context(), i%3, fmt.Sprint("key", i%4), time.Now().Add(callerDeadline))
				})
				time.Sleep(time.Second / 150)
			}
			l.assertOrdered()
			capacity := time.Since(began).Seconds() * usableSlots / l.hold.Seconds()
			refused := requests - len(l.inOrder)
			t.Logf("factor %v: %d refused, %v required", factor, refused, requests-capacity)
			assert.Check(t, float64(refused) <= 4.0/3*(requests-capacity), "%d refused, %v required", refused, requests-capacity)
		})
	}
}
