package relay

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/skylarkwood/skylarkwood/internal/model"
	"github.com/skylarkwood/skylarkwood/platform"
)

const engineDrain = 4 * time.Second

// leavingSite is a site whose engine "far" is about to leave; status is how orders are
// answered. ordered gives the times of orders since then.
func leavingSite(status int) (s *site, route model.Route, ordered func() []time.Duration) {
	route = model.Route{Kind: streaming, ResumeStreams: true, MaxAttempts: 2}
	var mu sync.Mutex
	var times []time.Duration
	began := time.Now()
	s = chained(route, func(_ context.Context, _ string, r *Request) (*Answer, error) {
		if r.Target == platform.OrderPath {
			mu.Lock()
			times = append(times, time.Since(began))
			mu.Unlock()
			return &Answer{Status: status, Header: http.Header{}, Body: report("").Body}, nil
		}
		return report(emptyReport), nil
	})
	s.EngineDrain = engineDrain
	return s, route, func() []time.Duration {
		mu.Lock()
		defer mu.Unlock()
		return times
	}
}

// The engines of a service are replaced one after the other; a stream of some hundred
// tokens runs through one that leaves and would outlast it. It is broken off when the
// engine ends, and its caller waits until that is noticed and mended. Moved while the
// engine still serves, it pauses for the reading of its tokens only.
func TestLongStreamLeavesAnEngineBeforeItEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, route, ordered := leavingSite(http.StatusOK)
		w, run := s.watched(t, route)
		s.EngineLeaves(inc("far"))
		s.EngineLeaves(inc("far")) // its entry is written again
		for range int(engineDrain / (100 * time.Millisecond)) {
			time.Sleep(100 * time.Millisecond)
			w.heard()
		}
		assert.Equal(t, len(ordered()), 1)
		assert.Assert(t, ordered()[0] >= engineDrain-leaveMargin-leaveSpread, "a stream that may end in time is left alone: %v", ordered())
		assert.Assert(t, ordered()[0] <= engineDrain-leaveMargin, "%v", ordered())
		parts, _ := w.state()
		assert.Equal(t, parts[1].Server.ID, "spare")
		assert.NilError(t, run.Err())
	})
}

// The engine that a stream runs through leaves, and no other one takes its part. It still
// serves: the stream goes on there, and is not ended.
func TestStreamThatCannotBeMovedStays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, route, ordered := leavingSite(http.StatusConflict)
		w, run := s.watched(t, route)
		s.EngineLeaves(inc("far"))
		for range int(engineDrain / (100 * time.Millisecond)) {
			time.Sleep(100 * time.Millisecond)
			w.heard()
		}
		assert.Equal(t, len(ordered()), 1)
		parts, _ := w.state()
		assert.Equal(t, parts[1].Server.ID, "far")
		assert.NilError(t, run.Err())
	})
}

// Thirty streams run through an engine that leaves. They read their tokens anew at few
// others; moved at one moment the last would wait for all, a pause that its caller sees.
func TestStreamsLeaveOneAfterTheOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const streams = 30
		s, route, ordered := leavingSite(http.StatusOK)
		var runs []*chainWatch
		for range streams {
			w, _ := s.watched(t, route)
			runs = append(runs, w)
		}
		s.EngineLeaves(inc("far"))
		for range int(engineDrain / (100 * time.Millisecond)) {
			time.Sleep(100 * time.Millisecond)
			for _, w := range runs {
				w.heard()
			}
		}
		times := ordered()
		assert.Equal(t, len(times), streams)
		for i := range times {
			together := 0
			for _, at := range times[i:] {
				if at-times[i] < leaveSpread/10 {
					together++
				}
			}
			assert.Assert(t, together <= streams/2, "%d within a tenth: %v", together, times)
		}
	})
}
