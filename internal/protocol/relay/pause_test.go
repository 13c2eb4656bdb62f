package relay

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/skylarkwood/skylarkwood/internal/model"
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
