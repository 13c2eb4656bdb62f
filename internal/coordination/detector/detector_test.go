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
	allowed  = 300 * time.Millisecond
)

func inc(id string) model.Incarnation { return model.Incarnation{ID: id} }

func path(ids ...string) []model.Incarnation {
	out := make([]model.Incarnation, len(ids))
	for i, id := range ids {
		out[i] = inc(id)
	}
	return out
}

// clock is moved by hand.
type clock struct{ at time.Time }

func (c *clock) now() time.Time          { return c.at }
func (c *clock) advance(d time.Duration) { c.at = c.at.Add(d) }

func newClock() *clock { return &clock{at: time.Unix(1000, 0)} }

// play gives each stream an event every interval, n times.
func (c *clock) play(n int, interval time.Duration, streams ...*Stream) {
	for range n {
		c.advance(interval)
		for _, s := range streams {
			s.RecordEvent()
		}
	}
}

// Streams that fall silent together: two are checked as soon as they are overdue, a
// lone one waits for its share of the pause that its route allows.
func TestStreamsOverdueTogetherAreCheckedEarly(t *testing.T) {
	for streams, within := range map[int]time.Duration{1: 120 * time.Millisecond, 2: 75 * time.Millisecond, 90: 75 * time.Millisecond} {
		c := newClock()
		d := New(c.now)
		var all []*Stream
		for i := range streams {
			all = append(all, d.Track(path(fmt.Sprint("first", i%7), "a", "b"), interval, allowed))
		}
		c.play(40, interval, all...)
		pause := all[0].overdueDelay()
		c.advance(pause)
		a := all[0].Assess()
		for a.ReassessAfter > 0 {
			pause += a.ReassessAfter
			c.advance(a.ReassessAfter)
			a = all[0].Assess()
		}
		assert.Assert(t, a.NeedsCheck(), "%d streams", streams)
		assert.Assert(t, pause <= within, "%d streams: checked after %v", streams, pause)
		assert.Equal(t, len(a.Candidates), 3)
	}
}

// One engine of a chain falls silent. The other engines go on with other streams,
// which clears them.
func TestProgressClearsSharedEngines(t *testing.T) {
	c := newClock()
	d := New(c.now)
	silent := d.Track(path("a", "lost", "c"), interval, allowed)
	other := d.Track(path("a", "b", "c"), interval, allowed)
	c.play(20, interval, silent, other)
	c.play(4, interval, other)
	silent.nextAssessment = c.at
	a := silent.Assess()
	assert.DeepEqual(t, a.Candidates, path("lost"))
	assert.Equal(t, a.OverdueStreams, 1)
	assert.Assert(t, a.NeedsCheck())
}

// A packet is lost on the way of one stream. All of its engines go on with other
// streams, so none is a candidate.
func TestLatePacketAccusesNoEngine(t *testing.T) {
	c := newClock()
	d := New(c.now)
	late := d.Track(path("a", "b"), interval, allowed)
	others := []*Stream{d.Track(path("a", "x"), interval, allowed), d.Track(path("y", "b"), interval, allowed)}
	c.play(20, interval, append(others, late)...)
	c.play(6, interval, others...)
	late.nextAssessment = c.at
	a := late.Assess()
	assert.Equal(t, len(a.Candidates), 0)
	assert.Assert(t, !a.NeedsCheck())
}

// The router's process pauses 200 ms. Its streams look silent, as their events wait to
// be read.
func TestPausedProcessChecksNothing(t *testing.T) {
	c := newClock()
	d := New(c.now)
	streams := []*Stream{d.Track(path("a", "b"), interval, allowed), d.Track(path("a", "c"), interval, allowed)}
	c.play(20, interval, streams...)
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

// A moved stream is silent while its new engines read all tokens so far.
func TestMovedStreamIsNotJudgedBeforeItsNextEvent(t *testing.T) {
	c := newClock()
	d := New(c.now)
	s := d.Track(path("a", "b"), interval, allowed)
	c.play(20, interval, s)
	s.Reroute(path("a", "c"))
	c.advance(500 * time.Millisecond)
	s.nextAssessment = c.at
	assert.Assert(t, !s.Assess().NeedsCheck())
	s.RecordEvent()
	c.advance(s.loneCheckDelay())
	s.nextAssessment = c.at
	assert.DeepEqual(t, s.Assess().Candidates, path("a", "c"))
}

// Routes differ in cadence and in the pause that they allow; neither needs another
// constant.
func TestCheckFollowsCadenceAndRoute(t *testing.T) {
	for _, route := range []struct{ interval, allowed, after time.Duration }{
		{30 * time.Millisecond, 300 * time.Millisecond, 120 * time.Millisecond},
		{30 * time.Millisecond, 200 * time.Millisecond, 80 * time.Millisecond},
		{40 * time.Millisecond, 300 * time.Millisecond, 120 * time.Millisecond},
		{90 * time.Millisecond, 200 * time.Millisecond, 180 * time.Millisecond},
		{30 * time.Millisecond, 0, 80 * time.Millisecond},
	} {
		c := newClock()
		s := New(c.now).Track(path("a"), 2*route.interval, route.allowed)
		c.play(60, route.interval, s)
		assert.Equal(t, s.loneCheckDelay().Round(time.Millisecond), route.after, "%+v", route)
	}
}

// Many streams of a router are late though their paths hold: its link is slow, or its
// processor. Paths are checked one at a time and ever later, until that is over.
func TestChecksOfPathsThatHoldBecomeRarer(t *testing.T) {
	c := newClock()
	d := New(c.now)
	streams := []*Stream{d.Track(path("a", "b"), interval, allowed), d.Track(path("c", "d"), interval, allowed)}
	c.play(40, interval, streams...)
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
	c.play(200, interval, streams...)
	assert.Assert(t, streams[0].overdueDelay() <= first)
}

// A path that held clears its engines: what is asked of one stream is not asked of the
// others.
func TestPathThatHoldsClearsItsEngines(t *testing.T) {
	c := newClock()
	d := New(c.now)
	one, two := d.Track(path("a", "b"), interval, allowed), d.Track(path("a", "c"), interval, allowed)
	c.play(20, interval, one, two)
	c.advance(one.loneCheckDelay())
	one.nextAssessment, two.nextAssessment = c.at, c.at
	assert.Assert(t, one.Assess().NeedsCheck())
	one.CheckFinished(true)
	assert.DeepEqual(t, two.Assess().Candidates, path("c"))
}

// Closed streams leave nothing behind.
func TestClosedStreamsAreForgotten(t *testing.T) {
	c := newClock()
	d := New(c.now)
	s := d.Track(path("a", "b"), interval, allowed)
	s.RecordEvent()
	s.Close()
	s.Close()
	s.Reroute(path("a"))
	assert.Equal(t, len(d.streams), 0)
	assert.Equal(t, len(d.engines), 0)
}

// Random chains lose random engines at one moment. Every stream through a lost engine
// has it among its candidates, and no engine that gave an event later than any stream
// through lost engines could have is a candidate.
func TestCandidatesExplainOverdueStreams(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newClock()
		d := New(c.now)
		width := rapid.IntRange(1, 4).Draw(t, "holders of each part")
		parts := rapid.IntRange(2, 12).Draw(t, "parts")
		streams := make([]*Stream, rapid.IntRange(1, 40).Draw(t, "streams"))
		for i := range streams {
			var ids []string
			for part := range parts {
				ids = append(ids, fmt.Sprintf("%d.%d", part, rapid.IntRange(0, width-1).Draw(t, "holder")))
			}
			streams[i] = d.Track(path(ids...), interval, allowed)
		}
		c.play(30, interval, streams...)
		lost := map[model.Incarnation]bool{}
		for range rapid.IntRange(1, 3).Draw(t, "lost engines") {
			lost[inc(fmt.Sprintf("%d.%d", rapid.IntRange(0, parts-1).Draw(t, "part"), rapid.IntRange(0, width-1).Draw(t, "holder")))] = true
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
