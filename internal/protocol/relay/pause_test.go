package relay

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/skylarkwood/skylarkwood/internal/coordination/chains"
	"github.com/skylarkwood/skylarkwood/internal/coordination/pause"
	"github.com/skylarkwood/skylarkwood/internal/model"
	"github.com/skylarkwood/skylarkwood/platform"
)

// refusal returns a response that states that the request did not run. retryAfter is not set
// if it is empty.
func refusal(retryAfter string) *Response {
	resp := &Response{Status: http.StatusServiceUnavailable, Header: http.Header{}, Body: fakeBody{strings.NewReader("")}}
	resp.Header.Set("Not-Executed", "1")
	if retryAfter != "" {
		resp.Header.Set("Retry-After", retryAfter)
	}
	return resp
}

// newRefusingFixture returns a relay whose server "one" responds by refuse, if that returns
// a response. Server "two" is slower, so that "one" gets the requests that it may get.
// arrivals are the times of the requests at "one".
func newRefusingFixture(isEngine bool, refuse func() *Response) (s *fixture, arrivals *[]time.Time) {
	arrivals = &[]time.Time{}
	route := model.Route{Kind: streaming, MaxAttempts: 2, TargetLatency: time.Second, Timeout: time.Minute}
	s = newFixture(route, isEngine, func(_ context.Context, addr string, r *Request) (*Response, error) {
		if r.Method == http.MethodGet {
			return signed(http.StatusOK, strings.NewReader(`{"kv_total":100}`)), nil
		}
		if addr == "one:1" {
			*arrivals = append(*arrivals, time.Now())
			if resp := refuse(); resp != nil {
				return resp, nil
			}
		} else {
			time.Sleep(50 * time.Millisecond)
		}
		return signed(http.StatusOK, strings.NewReader("id: 1\ndata: a\n\n")), nil
	})
	began := time.Now()
	s.Clock = func() time.Duration { return time.Since(began) + time.Hour }
	s.Pauses = pause.New(s.Clock)
	s.Chooser.Pauses = s.Pauses
	s.prober.Report = s.Report
	s.prober.Healthy = s.Healthy
	s.prober.AnnounceRefusal = func(model.Incarnation, time.Time) {}
	time.Sleep(2 * time.Second) // until the slack of the retry budget may be spent
	return s, arrivals
}

// serveSteadily serves a request every 20 ms, each of which must succeed.
func (s *fixture) serveSteadily(t *testing.T, d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		out, _ := s.serveOne(t)
		assert.Equal(t, out.status, http.StatusOK, out.body.String())
		synctest.Wait()
	}
}

// A server asked for 3 s without requests and got one every 0.3 s.
func TestServerGetsNoRequestsDuringRequestedPause(t *testing.T) {
	for _, isEngine := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			s, arrivals := newRefusingFixture(isEngine, func() *Response { return refusal("3") })
			s.serveSteadily(t, 20*time.Second)
			assert.Assert(t, len(*arrivals) >= 4, "the server is never tried again: %d", len(*arrivals))
			for i, at := range (*arrivals)[1:] {
				since := at.Sub((*arrivals)[i])
				assert.Check(t, since >= 3*time.Second, "engine %t: request %v after the refusal", isEngine, since)
			}
		})
	}
}

// A response of another process at a server's address was taken for the server's own.
func TestResponseOfAnotherServerAsksForNothing(t *testing.T) {
	for name, header := range map[string]http.Header{
		"another instance": {"Retry-After": {"2"}, "Server-Leaving": {"1"}, "Instance-Id": {"other"}},
		"another attempt":  {"Retry-After": {"2"}, "Server-Leaving": {"1"}, "Attempt-Id": {"other"}},
	} {
		t.Run(name, func(t *testing.T) {
			s := newFixture(model.Route{}, true, nil)
			s.Pauses = pause.New(func() time.Duration { return time.Hour })
			one := s.Catalog.Load().ByID("one")
			q := &request{Relay: s.Relay, call: &model.Call{Attempt: "1"}}
			q.observeResponse(one, platform.DecodeResponseInfo(http.StatusServiceUnavailable, header), 0)
			assert.Assert(t, !s.Pauses.Any())
			assert.Equal(t, len(s.Catalog.Load().Service("s")), 2)
		})
	}
}

// All servers of a service ask for a pause. A caller whom none can take was sent to one of them,
// or held until its deadline.
func TestRequestIsRefusedAtOnceWhileAllServersArePaused(t *testing.T) {
	for _, isEngine := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			s, arrivals := newRefusingFixture(isEngine, func() *Response { return nil })
			asked := time.Now()
			s.Pauses.Request(inc("one"), 5*time.Second)
			s.Pauses.Request(inc("two"), 3*time.Second)
			out, took := s.serveOne(t)
			assert.Equal(t, out.status, http.StatusServiceUnavailable)
			assert.Equal(t, took, time.Duration(0))
			assert.Equal(t, len(*arrivals), 0)
			retryAfter, err := strconv.ParseFloat(out.header.Get("Retry-After"), 64)
			assert.NilError(t, err)
			assert.Check(t, retryAfter >= 3 && retryAfter <= 1.5*(3+1), "%v", retryAfter)
			time.Sleep(time.Duration(retryAfter * float64(time.Second)))
			out, _ = s.serveOne(t)
			assert.Equal(t, out.status, http.StatusOK, "a caller that returned when it was told to, %v after the pause began", time.Since(asked))
		})
	}
}

// One server has no capacity, the other a pause. The caller was told to return at once, as if the
// one without a pause were free.
func TestFullServersBesidePausedOnesAreNotFree(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, arrivals := newRefusingFixture(true, func() *Response { return nil })
		two := s.Catalog.Load().ByID("two")
		full := s.Usage.Reserve([]chains.Stage{{Server: two, Layers: two.Holds}}, 1<<30)
		defer full.Release()
		s.Pauses.Request(inc("one"), 30*time.Second)
		out, _ := s.serveOne(t)
		assert.Equal(t, out.status, http.StatusServiceUnavailable)
		assert.Equal(t, len(*arrivals), 0)
		retryAfter, err := strconv.ParseFloat(out.header.Get("Retry-After"), 64)
		assert.NilError(t, err)
		assert.Check(t, retryAfter >= 1, "%v", retryAfter)
	})
}

// A stream waits for a pause that ends in time for its first event, rather than being refused.
func TestStreamWaitsForAPauseThatEndsInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, _ := newRefusingFixture(true, func() *Response { return nil })
		s.Pauses.Request(inc("one"), 300*time.Millisecond)
		s.Pauses.Request(inc("two"), 300*time.Millisecond)
		out, took := s.serveOne(t)
		assert.Equal(t, out.status, http.StatusOK)
		assert.Check(t, took >= 300*time.Millisecond && took < time.Second, "%v", took)
	})
}

// A server asks for a pause while the connection for a chosen request is opened. The request was
// sent all the same.
func TestRequestChosenBeforeAPauseIsNotSent(t *testing.T) {
	for _, isEngine := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			s, _ := newRefusingFixture(isEngine, func() *Response { return nil })
			do := s.BackendClient
			sent := 0
			s.BackendClient = fakeBackend(func(ctx context.Context, addr string, r *Request) (*Response, error) {
				if sent++; sent == 1 {
					s.Pauses.Request(inc(strings.TrimSuffix(addr, ":1")), 3*time.Second)
				}
				if r.Permitted != nil && !r.Permitted() {
					return nil, notSentError{ErrWithheld}
				}
				return do.Do(ctx, addr, r)
			})
			out, _ := s.serveOne(t)
			assert.Equal(t, out.status, http.StatusOK)
			assert.Equal(t, sent, 2)
			assert.Equal(t, s.observer.retries, 0, "the first send needs no retry token")
			s.assertNoEvidence(t)
		})
	}
}

// notSentError wraps ErrNotSent and a reason, as the client of backend servers does.
type notSentError struct{ reason error }

func (e notSentError) Error() string   { return "not sent: " + e.reason.Error() }
func (e notSentError) Unwrap() []error { return []error{ErrNotSent, e.reason} }

// A health check takes a slot of a server. It was sent during a pause.
func TestNoHealthCheckIsSentDuringAPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		checks := 0
		s := newFixture(model.Route{}, true, func(context.Context, string, *Request) (*Response, error) {
			checks++
			return refusal("2"), nil
		})
		began := time.Now()
		s.Pauses = pause.New(func() time.Duration { return time.Since(began) + time.Hour })
		cfg := *s.Config.Load().Config
		cfg.Version++
		cfg.Services[0].HealthPath = "/health"
		s.Config.Apply(&cfg, nil, "")
		one := s.Catalog.Load().ByID("one")
		healthy, err := s.Healthy(t.Context(), one)
		assert.NilError(t, err)
		assert.Assert(t, !healthy)
		_, _ = s.Healthy(t.Context(), one)
		assert.Equal(t, checks, 1)
		assert.Assert(t, s.Pauses.Paused(one.Incarnation()))
	})
}

// The refusal of a chain names the engine at fault. It and the engine that responded are left
// alone, whichever of them asked.
func TestPauseOfALaterStageIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, _ := newRefusingFixture(true, func() *Response { return nil })
		first := s.Catalog.Load().ByID("one")
		later := s.Catalog.Load().ByID("two")
		v := platform.DecodeResponseInfo(http.StatusServiceUnavailable, http.Header{"Attempt-Id": {"1"}, "Retry-After": {"2"}, "Not-Executed": {"1"}, "At-Server": {later.Address}})
		st := &stream{request: &request{Relay: s.Relay, call: &model.Call{Attempt: "1"}, avoid: map[model.Incarnation]bool{}}}
		st.observeResponse(first, v, s.Clock())
		st.handleRefusal([]chains.Stage{{Server: first}, {Server: later}}, v, http.StatusServiceUnavailable)
		assert.Assert(t, s.Pauses.Paused(first.Incarnation()))
		assert.Assert(t, s.Pauses.Paused(later.Incarnation()))
		assert.Assert(t, st.avoid[later.Incarnation()] && !st.avoid[first.Incarnation()])
	})
}

// Each refusal of an engine must lengthen the time until its next request. The refusal of the
// request that tries it again was ignored, because that request itself marked the engine as
// not to be tried by others.
func TestRefusedAttemptCountsAsRefusal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, arrivals := newRefusingFixture(true, func() *Response { return refusal("") })
		s.serveSteadily(t, 20*time.Second)
		assert.Check(t, len(*arrivals) <= 6, "%d requests in 20 s at an engine that refuses all", len(*arrivals))
		assert.Check(t, len(*arrivals) >= 4, "%d requests in 20 s: the engine is not tried again", len(*arrivals))
	})
}

// A server whose responses say that it leaves got new requests, as its entry did not say so.
func TestLeavingServerGetsNoRequests(t *testing.T) {
	for _, isEngine := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			s, arrivals := newRefusingFixture(isEngine, func() *Response {
				resp := signed(http.StatusOK, strings.NewReader("id: 1\ndata: a\n\n"))
				resp.Header.Set("Server-Leaving", "1")
				return resp
			})
			s.serveSteadily(t, 5*time.Second)
			b := *s.Catalog.Load().ByID("one")
			b.Revision++
			b.Draining = false
			s.Catalog.Put(b)
			s.serveSteadily(t, time.Second)
			assert.Check(t, len(*arrivals) == 1, "engine %t: %d requests", isEngine, len(*arrivals))
		})
	}
}
