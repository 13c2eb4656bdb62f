package relay

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/skylarkwood/skylarkwood/internal/coordination/caller"
	"github.com/skylarkwood/skylarkwood/internal/coordination/quarantine"
	"github.com/skylarkwood/skylarkwood/internal/model"
	"github.com/skylarkwood/skylarkwood/internal/tcp"
)

// unreadEnd returns the context of a request whose caller has left once left is set. The end of its
// connection is not read.
func unreadEnd(t *testing.T, left *atomic.Bool) context.Context {
	c, ctx := caller.New(t.Context(), caller.Options{Request: "1", Peer: func() tcp.PeerState {
		return tcp.PeerState{Known: true, Ended: left.Load()}
	}})
	t.Cleanup(c.Close)
	return ctx
}

// A caller may leave before its request is sent, or between two sends, without the end of its
// connection being read. Guards against sending the request on, against a retry token for it and
// against blaming a server.
func TestNothingIsSentAfterAnUnreadDeparture(t *testing.T) {
	for _, kind := range []model.RouteKind{idempotent, notRepeatable, streaming} {
		for sends := range 2 {
			synctest.Test(t, func(t *testing.T) {
				var left atomic.Bool
				left.Store(sends == 0)
				sent := 0
				s := newFixture(model.Route{Kind: kind, MaxAttempts: 2, TargetLatency: time.Second}, kind == streaming, func(_ context.Context, _ string, r *Request) (*Response, error) {
					if r.Method == http.MethodGet {
						return signed(http.StatusOK, strings.NewReader(`{"kv_total":100}`)), nil
					}
					sent++
					left.Store(true)
					return refusal(""), nil
				})
				s.prober.Report = s.Report
				s.prober.Healthy = s.Healthy
				s.prober.AnnounceRefusal = func(model.Incarnation, time.Time) {}
				out := &recordingWriter{}
				complete := s.Serve(unreadEnd(t, &left), &model.Call{Attempt: "1", Method: "POST", Host: "h", Path: "/"}, out)
				assert.Assert(t, complete)
				assert.Equal(t, sent, sends, "%s", kind)
				assert.Equal(t, out.status, http.StatusServiceUnavailable, "%s", kind)
				assert.Equal(t, s.observer.retries, 0)
				assert.Equal(t, s.streamCount(), 0.0)
				if sends == 0 {
					s.assertNoEvidence(t)
				}
			})
		}
	}
}

// A wait may end with a success after the caller has left. Guards against reserving memory for it.
func TestNoChainIsReservedAfterAnUnreadDeparture(t *testing.T) {
	for _, events := range []int{0, 5} {
		synctest.Test(t, func(t *testing.T) {
			var left atomic.Bool
			s, holder := newIncompleteStream()
			s.events = events
			s.lastEventTime = time.Now()
			time.AfterFunc(500*time.Millisecond, func() {
				left.Store(true)
				s.Catalog.Put(holder)
			})
			if events == 0 {
				time.Sleep(time.Second)
			}
			_, reservation, f := s.reserveChain(unreadEnd(t, &left))
			assert.Assert(t, reservation == nil)
			assert.Assert(t, f != nil)
			assert.Equal(t, s.Usage.Used(holder.Incarnation()).Streams, 0.0)
		})
	}
}

// A trial excludes others from its servers. Guards against one for a caller that has left while its
// request waited for evidence.
func TestNoTrialIsRequestedAfterAnUnreadDeparture(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var left atomic.Bool
		left.Store(true)
		s, _ := newIncompleteStream()
		s.RequestTrial = func(context.Context, quarantine.Subject, []model.Incarnation) quarantine.Grant {
			t.Error("a trial was requested")
			return quarantine.Grant{}
		}
		perm := s.startTrial(unreadEnd(t, &left), quarantine.Assessment{}, []model.Incarnation{inc("first")})
		assert.Equal(t, perm, notNow)
	})
}

// After a pause that a server asked for, one request tries it. Guards against keeping that place for a
// request that was not sent because its caller left while the connection was opened.
func TestPermissionOfUnsentRequestIsReturned(t *testing.T) {
	for _, isEngine := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			var left atomic.Bool
			refused := false
			s, arrivals := newRefusingFixture(isEngine, func() *Response {
				if refused {
					return nil
				}
				refused = true
				return refusal("1")
			})
			s.Catalog.Remove("two", 1, 0)
			s.serveOne(t)
			time.Sleep(1300 * time.Millisecond) // the pause is over
			do := s.BackendClient
			s.BackendClient = fakeBackend(func(ctx context.Context, _ string, _ *Request) (*Response, error) {
				left.Store(true)
				return nil, fmt.Errorf("%w: %w", ErrNotSent, caller.Check(ctx, caller.Sending))
			})
			s.Serve(unreadEnd(t, &left), &model.Call{Attempt: "1", Method: "POST", Host: "h", Path: "/"}, &recordingWriter{})
			s.BackendClient = do
			out, _ := s.serveOne(t)
			assert.Equal(t, out.status, http.StatusOK, "engine: %v", isEngine)
			assert.Equal(t, len(*arrivals), 2)
		})
	}
}
