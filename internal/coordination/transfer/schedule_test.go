package transfer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/skylarkwood/skylarkwood/internal/model"
)

// testClock is a clock that tests set. It begins at one hour, because 0 means never.
type testClock struct{ now time.Duration }

func (c *testClock) read() time.Duration { return c.now }

func newTestSchedule() (*Schedule, *testClock) {
	c := &testClock{now: time.Hour}
	return NewSchedule(c.read), c
}

// next returns the next attempt and moves the clock until it is due.
func next(t *testing.T, s *Schedule, c *testClock) Attempt {
	a, due, wait := s.Next()
	for !due {
		assert.Assert(t, wait > 0, "nothing is wanted")
		c.now += wait
		a, due, wait = s.Next()
	}
	return a
}

// A router that is cut off from the store must reach the holders again and again, and one
// whose holders do not answer must reach the store.
func TestSourcesTakeTurns(t *testing.T) {
	s, c := newTestSchedule()
	s.Want("k", 5, "a")
	s.Want("k", 5, "b")
	s.Want("k", 5, "c")
	var order []string
	for range 6 {
		a := next(t, s, c)
		order = append(order, a.Holder)
		s.Failed(a, Refused)
	}
	assert.DeepEqual(t, order, []string{"c", "b", "", "c", "b", ""})
}

// A fixed patience fails forever when the source is slower than that.
func TestPatienceGrowsPerKindOfSource(t *testing.T) {
	s, c := newTestSchedule()
	s.Want("k", 5, "")
	for range 8 {
		s.Failed(next(t, s, c), TimedOut)
	}
	assert.Equal(t, next(t, s, c).Patience, maxPatience)
	s.Want("k", 6, "a")
	assert.Equal(t, next(t, s, c).Patience, minPatience, "a silent store must not make peers wait")
}

// A transfer that began before a newer version was written counts, but an older value than
// one that arrived otherwise must not replace it.
func TestFetchedValueIsNewerThanTheOneBefore(t *testing.T) {
	s, c := newTestSchedule()
	s.Want("k", 5, "")
	a := next(t, s, c)
	s.Want("k", 8, "")
	assert.Assert(t, s.Fetched(a, 5))
	assert.Equal(t, next(t, s, c).Revision, model.Revision(6))
	assert.Assert(t, !s.Fetched(a, 5), "taken already")
	s.Drop("k", 7)
	assert.Equal(t, s.Len(), 1)
	s.Drop("k", 8)
	assert.Equal(t, s.Len(), 0)
	assert.Assert(t, !s.Fetched(a, 8), "arrived otherwise")
	s.Want("k", 9, "")
	assert.Assert(t, !s.Fetched(a, 8), "older than the one that arrived")
}

// Revisions that are taken rise, and the newest known one is taken in the end, whatever
// fails in between.
func TestScheduleConverges(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s, c := newTestSchedule()
		newest, taken := model.Revision(0), model.Revision(0)
		step := func() {
			a, due, wait := s.Next()
			if !due {
				c.now += wait
				return
			}
			switch rapid.IntRange(0, 3).Draw(rt, "outcome") {
			case 0:
				s.Failed(a, TimedOut)
			case 1:
				s.Failed(a, Refused)
			default:
				got := model.Revision(rapid.Int64Range(int64(a.Revision), int64(newest)).Draw(rt, "got"))
				if s.Fetched(a, got) {
					assert.Assert(rt, got > taken)
					taken = got
				}
			}
		}
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			if rapid.Bool().Draw(rt, "write") {
				newest++
				s.Want("k", newest, rapid.SampledFrom([]string{"", "a", "b"}).Draw(rt, "holder"))
			}
			step()
		}
		for i := 0; s.Len() > 0; i++ {
			assert.Assert(rt, i < 1000, "never taken")
			a, due, wait := s.Next()
			if c.now += wait; due && s.Fetched(a, newest) {
				taken = newest
			}
		}
		assert.Equal(rt, taken, newest)
	})
}

// A peer that stops in the middle of a value must not keep its place.
func TestUploadsAreLimited(t *testing.T) {
	c := &testClock{now: time.Hour}
	u := NewUploads(c.read)
	for _, peer := range []string{"a", "b", "c"} {
		assert.Assert(t, u.Admit(peer, false))
	}
	assert.Assert(t, !u.Admit("d", true))
	assert.Assert(t, u.Admit("a", true))
	assert.Assert(t, u.Admit("d", false))
	c.now += uploadTimeout / 2
	assert.Assert(t, u.Admit("b", false))
	c.now += uploadTimeout/2 + time.Millisecond
	assert.Assert(t, u.Admit("e", false), "c and d stopped")
	assert.Assert(t, u.Admit("f", false))
	assert.Assert(t, !u.Admit("g", false))
}
