package relay

import (
	"net/http"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/skylarkwood/skylarkwood/internal/coordination/admission"
	"github.com/skylarkwood/skylarkwood/internal/coordination/chains"
	"github.com/skylarkwood/skylarkwood/internal/coordination/pause"
	"github.com/skylarkwood/skylarkwood/internal/model"
)

// Failure: the interconnect is exhausted. Guards against refusing a request of a prioritized
// service at once, and against any change for other services.
func TestExhaustedInterconnectIsWaitedForByPrioritizedServices(t *testing.T) {
	for _, prioritized := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			s, holder := newIncompleteStream()
			holder.FailureDomain = "b"
			s.Catalog.Put(holder)
			s.admitted.Service.Engine.InterconnectMbps = 100
			s.admitted.Service.Engine.ActivationBytes = 16400
			s.admitted.Prioritized = prioritized
			s.admitted.WaitTarget = s.admitted.Route.TargetLatency
			s.Chooser.Interconnect.AddTraffic("a", "b", 1000)
			if prioritized { // the share has no credit left, whatever it began with
				s.Chooser.Interconnect.RecordUnmet("a", "b", 0, 0)
				s.Chooser.Interconnect.AddSharedTraffic("a", "b", 0, 100)
			}
			began := time.Now()
			_, _, f := s.reserveChain(t.Context())
			if !prioritized {
				assert.Equal(t, string(f.Kind), "no_capacity")
				assert.Assert(t, strings.Contains(f.Msg, "no chain of available engines holds all layers: interconnect at its limit"), f.Msg)
				assert.Equal(t, time.Since(began), time.Duration(0))
				return
			}
			assert.Equal(t, string(f.Kind), "overloaded")
			assert.Assert(t, strings.Contains(f.Msg, "exhausted resource: interconnect"), f.Msg)
			assert.Equal(t, time.Since(began), s.admitted.WaitTarget/8, "nothing is known of the rate")
			assert.Equal(t, s.Observer.(*countingObserver).refused["interconnect 0"], 1)
			time.Sleep(5 * time.Second) // the traffic of before has decayed
			s.waited = 0
			_, reservation, f := s.reserveChain(t.Context())
			assert.Assert(t, f == nil, "%v", f)
			reservation.Release()
		})
	}
}

// Failure: an engine stays full while a stream that has begun needs it. Guards against a wait of
// the stream that is bounded like that of a new request.
func TestBegunStreamKeepsItsWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, holder := newIncompleteStream()
		s.Catalog.Put(holder)
		s.admitted.Prioritized = true
		s.admitted.WaitTarget = s.admitted.Route.TargetLatency
		s.events = 5
		s.lastEventTime = time.Now()
		used := map[model.Incarnation]chains.Usage{holder.Incarnation(): {TokenLayers: 1e12}}
		s.Usage.SetPeerUsage("peer", used, 1500*time.Millisecond)
		_, reservation, f := s.reserveChain(t.Context())
		assert.Assert(t, f == nil, "%v", f)
		reservation.Release()
	})
}

// Load: ten requests wait ahead where five a second are served. Guards against a request that waits
// although it is known that it cannot be served in time, and against a Retry-After before that.
func TestRequestThatCannotBeServedInTimeIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLoadTest(t, time.Second)
		l.occupy(time.Minute)
		line := l.WaitQueue.Line("s")
		for range 25 {
			time.Sleep(200 * time.Millisecond)
			line.Granted(admission.Waiter{})
		}
		for range 10 {
			l.all.Go(func() {
				line.Wait(t.Context(), admission.Waiter{Deadline: time.Now()}, patience, func() bool { return false })
			})
		}
		synctest.Wait()
		out, took := l.attempt(t.Context(), 0, "key0", time.Now().Add(callerDeadline))
		assert.Equal(t, out.status, http.StatusServiceUnavailable)
		assert.Equal(t, took, time.Duration(0))
		seconds, err := strconv.ParseFloat(out.header.Get("Retry-After"), 64)
		assert.NilError(t, err)
		assert.Assert(t, seconds >= 1.5 && seconds <= 3, "%v", seconds)
		out, _ = l.attempt(t.Context(), 0, "key0", time.Now().Add(900*time.Millisecond))
		seconds, err = strconv.ParseFloat(out.header.Get("Retry-After"), 64)
		assert.NilError(t, err)
		assert.Assert(t, seconds >= 0.2 && seconds <= 0.3, "%v: the caller's time precedes", seconds)
		l.all.Wait()
	})
}

// Failure: all engines ask for a pause that ends within the patience, and nothing was granted
// before. Guards against a wait that ends before the pause.
func TestPauseIsWaitedForWithoutAForecast(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLoadTest(t, time.Millisecond)
		began := time.Now()
		l.Pauses = pause.New(func() time.Duration { return time.Since(began) })
		l.Chooser.Pauses = l.Pauses
		for _, id := range []string{"one", "two"} {
			l.Pauses.Request(inc(id), 200*time.Millisecond)
		}
		out, took := l.attempt(t.Context(), 0, "key0", time.Now().Add(callerDeadline))
		assert.Equal(t, out.status, http.StatusOK)
		assert.Assert(t, took >= 200*time.Millisecond && took <= patience, "%v", took)
	})
}

// Failure: a shortage begins after ten minutes without requests, or before any grant. Guards
// against a Retry-After that counts the idle time as part of the shortage.
func TestShortageAfterIdleTimeIsNotTakenForALongOne(t *testing.T) {
	for _, grantedBefore := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			l := newLoadTest(t, time.Millisecond)
			if grantedBefore {
				out, _ := l.attempt(t.Context(), 0, "key0", time.Now().Add(callerDeadline))
				assert.Equal(t, out.status, http.StatusOK)
				time.Sleep(10 * time.Minute)
			}
			l.occupy(time.Minute)
			for _, deadline := range []time.Time{{}, time.Now().Add(callerDeadline)} {
				out, _ := l.attempt(t.Context(), 0, "key0", deadline)
				seconds, err := strconv.ParseFloat(out.header.Get("Retry-After"), 64)
				assert.NilError(t, err)
				assert.Assert(t, seconds >= 1 && seconds <= 1.6, "%v", seconds)
			}
		})
	}
}

// Load: requests that an engine began to run find no capacity, and end with 502 and without a
// Retry-After. Guards against giving out the grants that refused callers should return for.
func TestBegunRequestsTakeNoReturns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, holder := newIncompleteStream()
		s.Catalog.Put(holder)
		s.admitted.Prioritized = true
		s.admitted.WaitTarget = s.admitted.Route.TargetLatency
		s.runs = 1
		s.Usage.SetPeerUsage("peer", map[model.Incarnation]chains.Usage{holder.Incarnation(): {TokenLayers: 1e12}}, time.Hour)
		line := s.WaitQueue.Line(s.admitted.Service.Name)
		for range 5 {
			time.Sleep(200 * time.Millisecond)
			line.Granted(admission.Waiter{})
			_, _, f := s.reserveChain(t.Context())
			assert.Equal(t, string(f.Kind), "overloaded")
		}
		assert.Equal(t, line.Returns.Delay(0, 300*time.Millisecond, time.Second, time.Hour), 300*time.Millisecond)
	})
}
