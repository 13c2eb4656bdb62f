package keepalive

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/skylarkwood/skylarkwood/internal/model"
)

var (
	start  = time.Unix(1000, 0)
	limits = model.CallerLimits{HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}
)

func TestRestEndsAfterTheIdleTimeAndAMargin(t *testing.T) {
	var l ConnState
	l.StartIdle(start)
	until := start.Add(limits.IdleTimeout + IdleMargin(limits.IdleTimeout))
	assert.Assert(t, !l.Expired(until.Add(-1), limits, false))
	assert.Assert(t, l.Expired(until, limits, false))
}

// Callers rest up to a third longer than the idle time that they were told, and find
// their connections open; short times have a second at least.
func TestMarginCoversCallersThatRestLonger(t *testing.T) {
	var l ConnState
	l.StartIdle(start)
	assert.Assert(t, !l.Expired(start.Add(limits.IdleTimeout*4/3), limits, false))
	assert.Equal(t, IdleMargin(100*time.Millisecond), time.Second)
}

// A router was short of processor time: the caller's request arrived before the idle
// time ended, and is looked at after it. Closed now, the caller would have no answer.
func TestBytesThatHaveArrivedKeepAConnection(t *testing.T) {
	var l ConnState
	l.StartIdle(start)
	assert.Assert(t, !l.Expired(start.Add(time.Hour), limits, true))
	l.BytesRead(start)
	assert.Assert(t, !l.Expired(start.Add(time.Hour), limits, true))
}

// The operator lengthens the idle time while a connection rests, and its caller uses it
// within the new one.
func TestLimitsInForceNowCount(t *testing.T) {
	var l ConnState
	l.StartIdle(start)
	longer := limits
	longer.IdleTimeout = time.Hour
	assert.Assert(t, !l.Expired(start.Add(time.Minute), longer, false))
	assert.Assert(t, l.Expired(start.Add(time.Minute), limits, false))
}

// A caller sends a head byte by byte.
func TestHeadIsBoundedFromItsFirstByte(t *testing.T) {
	var l ConnState
	l.StartIdle(start)
	l.BytesRead(start.Add(time.Second))
	l.BytesRead(start.Add(2 * time.Second))
	assert.Equal(t, l.Deadline(limits), start.Add(time.Second+limits.HeaderTimeout))
}

// A router stops: connections at rest end at once, those with a head under way don't,
// those with a request end when it has been answered.
func TestRetiredConnectionsEndAtRest(t *testing.T) {
	var l ConnState
	l.StartIdle(start)
	l.BytesRead(start)
	l.CloseWhenIdle()
	assert.Assert(t, !l.Expired(start, limits, false))
	l.StartRequest()
	assert.Assert(t, !l.Expired(start.Add(time.Hour), limits, false))
	l.StartIdle(start.Add(time.Hour))
	assert.Assert(t, l.Expired(start.Add(time.Hour), limits, false))
}

// Whatever happens in whatever order: a connection with a request in progress, or with
// bytes that have arrived, is never ended here.
func TestNoRequestIsEnded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var l ConnState
		now := start
		l.StartIdle(now)
		t.Repeat(map[string]func(*rapid.T){
			"rest":   func(*rapid.T) { l.StartIdle(now) },
			"heard":  func(*rapid.T) { l.BytesRead(now) },
			"take":   func(*rapid.T) { l.StartRequest() },
			"retire": func(*rapid.T) { l.CloseWhenIdle() },
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 60_000).Draw(t, "ms")) * time.Millisecond)
			},
			"": func(t *rapid.T) {
				arrived := rapid.Bool().Draw(t, "arrived")
				if l.Expired(now, limits, arrived) && (arrived || l.Phase() == Serving) {
					t.Fatal("ended with a request in it")
				}
			},
		})
	})
}
