package detector

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/skylarkwood/skylarkwood/internal/model"
)

const (
	interval = 30 * time.Millisecond
	maxPause = 300 * time.Millisecond
)

func inc(id string) model.Incarnation { return model.Incarnation{ID: id} }

func path(ids ...string) []model.Incarnation {
	out := make([]model.Incarnation, len(ids))
	for i, id := range ids {
		out[i] = inc(id)
	}
	return out
}

// clock is a manually advanced clock.
type clock struct{ at time.Time }

func (c *clock) now() time.Time          { return c.at }
func (c *clock) advance(d time.Duration) { c.at = c.at.Add(d) }

func newClock() *clock { return &clock{at: time.Unix(1000, 0)} }

// recordEvents records n events at each stream, one per interval.
func (c *clock) recordEvents(n int, interval time.Duration, streams ...*Stream) {
	for range n {
		c.advance(interval)
		for _, s := range streams {
			s.RecordEvent()
		}
	}
}

// Two streams that stall together must be checked as soon as they are overdue. A single one
// must wait for its share of the maximum pause.
func TestStreamsOverdueTogetherAreCheckedEarly(t *testing.T) {
	for streams, maxDelay := range map[int]time.Duration{1: 120 * time.Millisecond, 2: 75 * time.Millisecond, 90: 75 * time.Millisecond} {
		c := newClock()
		d := New(c.now)
		var all []*Stream
		for i := range streams {
			all = append(all, d.Track(path(fmt.Sprint("first", i%7), "a", "b"), interval, maxPause))
		}
		c.recordEvents(40, interval, all...)
		pause := all[0].overdueDelay()
		c.advance(pause)
		a := all[0].Assess()
		for a.ReassessAfter > 0 {
			pause += a.ReassessAfter
			c.advance(a.ReassessAfter)
			a = all[0].Assess()
		}
		assert.Assert(t, a.NeedsCheck(), "%d streams", streams)
		assert.Assert(t, pause <= maxDelay, "%d streams: checked after %v", streams, pause)
		assert.Equal(t, len(a.Candidates), 3)
	}
}

// Engines that make progress for other streams must not be candidates.
func TestProgressClearsSharedEngines(t *testing.T) {
	c := newClock()
	d := New(c.now)
	silent := d.Track(path("a", "lost", "c"), interval, maxPause)
	other := d.Track(path("a", "b", "c"), interval, maxPause)
	c.recordEvents(20, interval, silent, other)
	c.recordEvents(4, interval, other)
	silent.nextAssessment = c.at
	a := silent.Assess()
	assert.DeepEqual(t, a.Candidates, path("lost"))
	assert.Equal(t, a.OverdueStreams, 1)
	assert.Assert(t, a.NeedsCheck())
}

// A single late packet must not make engines candidates that make progress for other
// streams.
func TestLatePacketYieldsNoCandidates(t *testing.T) {
	c := newClock()
	d := New(c.now)
	late := d.Track(path("a", "b"), interval, maxPause)
	others := []*Stream{d.Track(path("a", "x"), interval, maxPause), d.Track(path("y", "b"), interval, maxPause)}
	c.recordEvents(20, interval, append(others, late)...)
	c.recordEvents(6, interval, others...)
	late.nextAssessment = c.at
	a := late.Assess()
	assert.Equal(t, len(a.Candidates), 0)
	assert.Assert(t, !a.NeedsCheck())
}

// After a pause of the router's own process, streams must not be assessed before waiting
// events are read.
func TestPausedProcessChecksNothing(t *testing.T) {
	c := newClock()
	d := New(c.now)
	streams := []*Stream{d.Track(path("a", "b"), interval, maxPause), d.Track(path("a", "c"), interval, maxPause)}
	c.recordEvents(20, interval, streams...)
	c.advance(200 * time.Millisecond)
	a := streams[0].Assess()
	assert.Assert(t, !a.NeedsCheck())
	assert.Equal(t, a.ReassessAfter, settleDelay)
	for _, s := range streams {
		s.RecordEvent()
	}
	c.advance(a.ReassessAfter)
	assert.Assert(t, !streams[0].Assess().NeedsCheck())
}

// A moved stream is silent during prefill at its new engines and must not be checked.
func TestMovedStreamIsNotAssessedBeforeNextEvent(t *testing.T) {
	c := newClock()
	d := New(c.now)
	s := d.Track(path("a", "b"), interval, maxPause)
	c.recordEvents(20, interval, s)
	s.Reroute(path("a", "c"))
	c.advance(500 * time.Millisecond)
	s.nextAssessment = c.at
	assert.Assert(t, !s.Assess().NeedsCheck())
	s.RecordEvent()
	c.advance(s.loneCheckDelay())
	s.nextAssessment = c.at
	assert.DeepEqual(t, s.Assess().Candidates, path("a", "c"))
}

// The check delay must follow the event interval of the stream and the maximum pause of the
// route.
func TestCheckDelayFollowsIntervalAndRoute(t *testing.T) {
	for _, route := range []struct{ interval, maxPause, after time.Duration }{
		{30 * time.Millisecond, 300 * time.Millisecond, 120 * time.Millisecond},
		{30 * time.Millisecond, 200 * time.Millisecond, 80 * time.Millisecond},
		{40 * time.Millisecond, 300 * time.Millisecond, 120 * time.Millisecond},
		{90 * time.Millisecond, 200 * time.Millisecond, 180 * time.Millisecond},
		{30 * time.Millisecond, 0, 80 * time.Millisecond},
	} {
		c := newClock()
		s := New(c.now).Track(path("a"), 2*route.interval, route.maxPause)
		c.recordEvents(60, route.interval, s)
		assert.Equal(t, s.loneCheckDelay().Round(time.Millisecond), route.after, "%+v", route)
	}
}

// When many streams are late on healthy paths, checks must run one at a time and at growing
// delays, until the streams recover.
func TestChecksOfHealthyPathsBackOff(t *testing.T) {
	c := newClock()
	d := New(c.now)
	streams := []*Stream{d.Track(path("a", "b"), interval, maxPause), d.Track(path("c", "d"), interval, maxPause)}
	c.recordEvents(40, interval, streams...)
	first := streams[0].overdueDelay()
	for range 10 {
		c.advance(first)
		c.advance(streams[0].loneCheckDelay() - first)
		for _, s := range streams {
			s.nextAssessment = c.at
		}
		assert.Assert(t, streams[0].Assess().NeedsCheck())
		assert.Equal(t, streams[1].Assess().ReassessAfter, recheckDelay)
		streams[0].CheckFinished(true)
		for _, s := range streams {
			s.RecordEvent()
		}
	}
	assert.Assert(t, streams[0].overdueDelay() > 2*first)
	c.recordEvents(200, interval, streams...)
	assert.Assert(t, streams[0].overdueDelay() <= first)
}

// A healthy path must clear its engines for other streams.
func TestHealthyPathClearsItsEngines(t *testing.T) {
	c := newClock()
	d := New(c.now)
	one, two := d.Track(path("a", "b"), interval, maxPause), d.Track(path("a", "c"), interval, maxPause)
	c.recordEvents(20, interval, one, two)
	c.advance(one.loneCheckDelay())
	one.nextAssessment, two.nextAssessment = c.at, c.at
	assert.Assert(t, one.Assess().NeedsCheck())
	one.CheckFinished(true)
	assert.DeepEqual(t, two.Assess().Candidates, path("c"))
}

func TestClosedStreamsAreRemoved(t *testing.T) {
	c := newClock()
	d := New(c.now)
	s := d.Track(path("a", "b"), interval, maxPause)
	s.RecordEvent()
	s.Close()
	s.Close()
	s.Reroute(path("a"))
	assert.Equal(t, len(d.streams), 0)
	assert.Equal(t, len(d.engines), 0)
}

// Random engines of random chains fail. Each stalled stream must have all its failed
// engines among its candidates, and no engine that still made progress.
func TestCandidatesExplainOverdueStreams(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newClock()
		d := New(c.now)
		holders := rapid.IntRange(1, 4).Draw(t, "holders of each stage")
		stages := rapid.IntRange(2, 12).Draw(t, "parts")
		streams := make([]*Stream, rapid.IntRange(1, 40).Draw(t, "streams"))
		for i := range streams {
			var ids []string
			for stage := range stages {
				ids = append(ids, fmt.Sprintf("%d.%d", stage, rapid.IntRange(0, holders-1).Draw(t, "holder")))
			}
			streams[i] = d.Track(path(ids...), interval, maxPause)
		}
		c.recordEvents(30, interval, streams...)
		lost := map[model.Incarnation]bool{}
		for range rapid.IntRange(1, 3).Draw(t, "lost engines") {
			lost[inc(fmt.Sprintf("%d.%d", rapid.IntRange(0, stages-1).Draw(t, "part"), rapid.IntRange(0, holders-1).Draw(t, "holder")))] = true
		}
		working := map[model.Incarnation]bool{}
		for range 4 {
			c.advance(interval)
			for _, s := range streams {
				if !s.usesAny(lost) {
					s.RecordEvent()
					for _, e := range s.path {
						working[e] = true
					}
				}
			}
		}
		for _, s := range streams {
			if !s.usesAny(lost) {
				continue
			}
			s.nextAssessment = c.at
			a := s.Assess()
			if !a.NeedsCheck() {
				t.Fatalf("a silent stream is not checked: %+v", a)
			}
			s.CheckFinished(false)
			for _, e := range s.path {
				candidate := slices.Contains(a.Candidates, e)
				if lost[e] != candidate && (lost[e] || working[e]) {
					t.Fatalf("%s: lost %t, candidate %t", e.ID, lost[e], candidate)
				}
			}
		}
	})
}
