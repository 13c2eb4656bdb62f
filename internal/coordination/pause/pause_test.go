package pause

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/skylarkwood/skylarkwood/internal/model"
)

var server = model.Incarnation{ID: "i-1", Born: 1}

type testClock struct{ now time.Duration }

func (c *testClock) read() time.Duration { return c.now }

func newTestTracker() (*Tracker, *testClock) {
	c := &testClock{now: time.Hour}
	return New(c.read), c
}

// Whatever else happens, no request may be sent between the first response that asks for a
// pause and its end.
func TestNoRequestIsSentDuringAPause(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tr, c := newTestTracker()
		bound := time.Duration(0)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				d := time.Duration(rapid.Int64Range(-int64(time.Second), int64(10*time.Second)).Draw(t, "pause"))
				tr.Request(server, d)
				bound = max(bound, c.now+d)
			case 1:
				tr.Responded(server, c.now-time.Duration(rapid.Int64Range(0, int64(5*time.Second)).Draw(t, "age")))
			case 2:
				tr.Return(server)
			case 3:
				tr.Retain(func(model.Incarnation) bool { return true })
			case 4:
				c.now += time.Duration(rapid.Int64Range(0, int64(3*time.Second)).Draw(t, "passed"))
			}
			wait := tr.Wait(server)
			assert.Assert(t, wait >= bound-c.now)
			assert.Assert(t, tr.Paused(server) || c.now >= bound)
			if taken := tr.Take(server); taken {
				assert.Assert(t, c.now >= bound, "taken %v before the end", bound-c.now)
				assert.Assert(t, wait == 0)
			}
		}
	})
}

// After a pause all waiting callers were sent to the server at once.
func TestOneRequestTriesTheServerAfterAPause(t *testing.T) {
	tr, c := newTestTracker()
	tr.Request(server, time.Second)
	c.now += tr.Wait(server)
	assert.Assert(t, tr.Take(server))
	assert.Assert(t, !tr.Take(server))
	c.now += trialTimeout
	assert.Assert(t, tr.Take(server), "a trial without a response must not block the server")
	tr.Return(server)
	assert.Assert(t, tr.Take(server), "nothing was sent")
	tr.Responded(server, c.now)
	for range 10 {
		assert.Assert(t, tr.Take(server))
	}
	assert.Assert(t, !tr.Any())
}

// A response to a request that was sent before the pause says nothing about its end.
func TestOlderSuccessDoesNotEndAPause(t *testing.T) {
	tr, c := newTestTracker()
	sentAt := c.now
	c.now += time.Second
	tr.Request(server, 2*time.Second)
	tr.Responded(server, sentAt)
	tr.Responded(server, c.now)
	assert.Assert(t, !tr.Take(server))
}

// Requests sent together have responses in any order. A shorter pause ended a longer one.
func TestShorterPauseDoesNotReplaceALongerOne(t *testing.T) {
	tr, c := newTestTracker()
	tr.Request(server, 4*time.Second)
	tr.Request(server, time.Second)
	c.now += 3 * time.Second
	assert.Assert(t, !tr.Take(server))
}

// One response must not silence a server for good, and a pause belongs to one incarnation.
func TestPausesAreBounded(t *testing.T) {
	tr, c := newTestTracker()
	tr.Request(server, 1<<62)
	assert.Assert(t, tr.Wait(server) <= maxPause+maxReturnSpread)
	assert.Assert(t, tr.Take(model.Incarnation{ID: server.ID, Born: server.Born + 1}))
	c.now += maxPause + maxReturnSpread
	assert.Assert(t, tr.Take(server))
	tr.Request(server, 0)
	tr.Request(server, -time.Second)
	assert.Equal(t, tr.Wait(server), trialTimeout)
	tr.Request(server, time.Second)
	tr.Retain(func(model.Incarnation) bool { return false })
	assert.Assert(t, !tr.Take(server), "a missing entry ended the pause")
	c.now += tr.Wait(server)
	tr.Retain(func(model.Incarnation) bool { return false })
	assert.Equal(t, len(tr.pauses), 0)
	assert.Assert(t, !tr.Any())
}

// A server asks all routers at the same moment for the same time. They returned together, each
// with its waiting callers.
func TestRoutersReturnOneAfterTheOther(t *testing.T) {
	for _, routers := range []int{5, 380, 1000} {
		t.Run(fmt.Sprint(routers, " routers"), func(t *testing.T) {
			c := &testClock{now: time.Hour}
			asked := c.now
			byTick := map[time.Duration]int{}
			for range routers {
				tr := New(c.read)
				tr.Request(server, 3*time.Second)
				byTick[tr.Wait(server)/(50*time.Millisecond)]++
				assert.Assert(t, tr.Wait(server) >= 3*time.Second)
				assert.Assert(t, tr.Wait(server) <= 3*time.Second+maxReturnSpread)
			}
			most := 0
			for _, n := range byTick {
				most = max(most, n)
			}
			assert.Equal(t, c.now, asked)
			// 0.75 s are 15 ticks; chance adds to a tick's part.
			assert.Check(t, float64(most) <= float64(routers)/15*2+5, "%d of %d routers return within 50 ms", most, routers)
		})
	}
}
