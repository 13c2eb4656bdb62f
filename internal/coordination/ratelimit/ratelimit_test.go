package ratelimit

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/skylarkwood/skylarkwood/internal/model"
)

// testClock begins at one hour, because 0 means never.
type testClock struct{ now time.Duration }

func (c *testClock) read() time.Duration { return c.now }

var engine = model.Incarnation{ID: "i-1"}

func newTestTracker(self string, routers ...string) (*Tracker, *testClock) {
	c := &testClock{now: time.Hour}
	return New(self, func(model.Incarnation) []Router { return named(routers) }, c.read), c
}

func named(names []string) []Router {
	out := make([]Router, len(names))
	for i, name := range names {
		out[i].Name = name
	}
	return out
}

// sendFor sends as much as possible for a time and returns how many requests that were.
func sendFor(t *Tracker, c *testClock, d time.Duration) int {
	n := 0
	for end := c.now + d; c.now < end; c.now += 5 * time.Millisecond {
		if t.Take(engine) {
			n++
		}
	}
	return n
}

// A server that advertises no limit must get all requests.
func TestServerWithoutLimitIsNotLimited(t *testing.T) {
	tr, c := newTestTracker("a")
	tr.Observe(engine, Unlimited, c.now)
	assert.Equal(t, sendFor(tr, c, time.Second), 200)
	var none *Tracker
	assert.Assert(t, none.Take(engine) && none.Available(engine))
}

// Requests from just before the limit was named count against it.
func TestEarlierRequestsCountAgainstTheLimit(t *testing.T) {
	tr, c := newTestTracker("a")
	assert.Equal(t, sendFor(tr, c, 200*time.Millisecond), 40)
	start := c.now
	tr.Observe(engine, 5, c.now)
	assert.Equal(t, sendFor(tr, c, 3*time.Second), 0)
	c.now = start + 5*time.Second
	after := sendFor(tr, c, 20*time.Second)
	assert.Assert(t, after >= 90 && after <= 105, "%d", after)
}

// A single router that shares with nobody uses nearly all of a limit.
func TestRouterUsesItsShare(t *testing.T) {
	for _, rate := range []float64{0.5, 1, 4.7, 30} {
		tr, c := newTestTracker("a")
		tr.Observe(engine, rate, c.now)
		sent := float64(sendFor(tr, c, 40*time.Second))
		assert.Assert(t, sent >= 0.9*40*rate-1 && sent <= 1.05*40*rate+1, "%v: %v", rate, sent)
	}
}

// Only responses show that a limit of zero has ended, so a few requests must be sent.
func TestLimitOfZeroIsProbed(t *testing.T) {
	tr, c := newTestTracker("a")
	tr.Observe(engine, 0, c.now)
	sent := sendFor(tr, c, 40*time.Second)
	assert.Assert(t, sent >= 8 && sent <= 12, "%d", sent)
}

// Responses overtake each other. One to a request from before the limit must not end it.
func TestOldResponseDoesNotEndTheLimit(t *testing.T) {
	tr, c := newTestTracker("a")
	sentAt := c.now
	c.now += time.Second
	tr.Observe(engine, 2, c.now)
	tr.Observe(engine, Unlimited, sentAt)
	assert.DeepEqual(t, tr.Rates(), map[model.Incarnation]float64{engine: 2})
	c.now += time.Second
	tr.Observe(engine, Unlimited, c.now-time.Millisecond)
	assert.Equal(t, len(tr.Rates()), 0)
	tr.Observe(engine, 2, sentAt)
	assert.Equal(t, len(tr.Rates()), 0)
	assert.Equal(t, sendFor(tr, c, time.Second), 200)
}

// A raised, lowered or ended limit replaces the one before at peers, and an older one that
// arrives late does not.
func TestNewestKnowledgeWins(t *testing.T) {
	tr, c := newTestTracker("a", "b")
	tr.Merge("b", engine, Advertised{Rate: 4, Age: 2 * time.Second})
	tr.Merge("b", engine, Advertised{Rate: 9, Age: time.Second})
	tr.Merge("c", engine, Advertised{Rate: 4, Age: 2 * time.Second})
	assert.DeepEqual(t, tr.Rates(), map[model.Incarnation]float64{engine: 9})
	tr.Merge("b", engine, Advertised{Rate: Unlimited})
	assert.Equal(t, len(tr.Rates()), 0)
	assert.DeepEqual(t, tr.Snapshot(), map[model.Incarnation]Advertised{engine: {Rate: Unlimited}})
	c.now += limitTTL + time.Second
	assert.Equal(t, len(tr.Snapshot()), 0)
	tr.Merge("b", model.Incarnation{ID: "never limited"}, Advertised{Rate: Unlimited})
	assert.Equal(t, len(tr.Snapshot()), 0)
}

// The routers with shares have no requests for the server, so that nobody would notice the
// end of the limit.
func TestSharesMoveWhenTheServerIsSilent(t *testing.T) {
	routers := []string{"a", "b", "c", "d", "e", "f", "g", "h"}
	hadShare := map[string]bool{}
	for _, self := range routers {
		tr, c := newTestTracker(self, routers...)
		tr.Observe(engine, 1, c.now)
		for range 400 {
			c.now += 250 * time.Millisecond
			hadShare[self] = hadShare[self] || tr.Wait(engine) < Never
		}
	}
	assert.Assert(t, len(hadShare) == len(routers))
	for self, had := range hadShare {
		assert.Assert(t, had, self)
	}
}

// Routers of other failure domains have fewer requests for a server, so a share there was hardly
// used. They get one if the near ones leave the server silent.
func TestNearRoutersGetSharesFirst(t *testing.T) {
	routers := []Router{{Name: "a"}, {Name: "b"}, {Name: "near", Near: true}, {Name: "c"}, {Name: "d"}}
	moved := false
	for _, r := range routers {
		c := &testClock{now: time.Hour}
		tr := New(r.Name, func(model.Incarnation) []Router { return routers }, c.read)
		tr.Observe(engine, 2, c.now)
		assert.Equal(t, tr.Wait(engine) < Never, r.Near, r.Name)
		for range 10 {
			c.now += silenceTimeout
			moved = moved || !r.Near && tr.Wait(engine) < Never
		}
	}
	assert.Assert(t, moved)
}

// In no window does a router send more than its share allows, whatever limits are observed,
// once the first window is over.
func TestWindowsKeepToTheLimit(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		tr, c := newTestTracker("a")
		rate := rapid.Float64Range(0, 20).Draw(rt, "rate")
		tr.Observe(engine, rate, c.now)
		var sent []time.Duration
		for range rapid.IntRange(100, 2000).Draw(rt, "steps") {
			c.now += time.Duration(rapid.IntRange(1, 200).Draw(rt, "ms")) * time.Millisecond
			if tr.Take(engine) {
				sent = append(sent, c.now)
			}
		}
		for i, first := range sent {
			n := 0
			for _, at := range sent[i:] {
				if at-first < window {
					n++
				}
			}
			assert.Assert(rt, float64(n) <= 1.5*max(rate, minRate)*window.Seconds()+5, "%d in a window at %v", n, rate)
		}
	})
}

// A request was given up after it had taken the right to send, as another router ran it. The
// right must not be lost: the limit of a server that only suspects ask for was never used.
func TestReturnedRightIsUsedAgain(t *testing.T) {
	tr, c := newTestTracker("a")
	tr.Observe(engine, 1, c.now)
	c.now += 5 * time.Second
	for tr.Take(engine) {
	}
	assert.Assert(t, !tr.Available(engine))
	for range 50 {
		tr.Return(engine)
		assert.Assert(t, tr.Take(engine))
	}
	assert.Assert(t, !tr.Take(engine), "one right, used once")
	c.now += 20 * time.Second
	tr.Return(engine)
	c.now += 10 * time.Second
	assert.Assert(t, sendFor(tr, c, time.Second) <= 3, "no more than what may be saved up")
}
