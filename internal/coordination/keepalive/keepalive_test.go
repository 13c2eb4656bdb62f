package keepalive

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/skylarkwood/skylarkwood/internal/model"
)

var (
	startTime = time.Unix(1000, 0)
	limits    = model.CallerLimits{HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}
)

func TestIdleConnectionExpiresAfterTimeoutAndMargin(t *testing.T) {
	var l ConnState
	l.StartIdle(startTime)
	until := startTime.Add(limits.IdleTimeout + IdleMargin(limits.IdleTimeout))
	assert.Assert(t, !l.Expired(until.Add(-1), limits, false))
	assert.Assert(t, l.Expired(until, limits, false))
}

// Callers that use a connection up to a third beyond the idle timeout find it open. The
// margin has a minimum.
func TestMarginCoversCallersThatIdleLonger(t *testing.T) {
	var l ConnState
	l.StartIdle(startTime)
	assert.Assert(t, !l.Expired(startTime.Add(limits.IdleTimeout*4/3), limits, false))
	assert.Equal(t, IdleMargin(100*time.Millisecond), time.Second)
}

// A router that lacks CPU time reads a request only after the deadline. It must not close
// the connection on it.
func TestUnreadBytesKeepAConnectionOpen(t *testing.T) {
	var l ConnState
	l.StartIdle(startTime)
	assert.Assert(t, !l.Expired(startTime.Add(time.Hour), limits, true))
	l.BytesRead(startTime)
	assert.Assert(t, !l.Expired(startTime.Add(time.Hour), limits, true))
}

// The idle timeout changes while a connection is idle. The new one applies.
func TestCurrentLimitsApply(t *testing.T) {
	var l ConnState
	l.StartIdle(startTime)
	longer := limits
	longer.IdleTimeout = time.Hour
	assert.Assert(t, !l.Expired(startTime.Add(time.Minute), longer, false))
	assert.Assert(t, l.Expired(startTime.Add(time.Minute), limits, false))
}

// A caller that sends a header byte by byte must not extend its deadline.
func TestHeaderTimeoutStartsAtTheFirstByte(t *testing.T) {
	var l ConnState
	l.StartIdle(startTime)
	l.BytesRead(startTime.Add(time.Second))
	l.BytesRead(startTime.Add(2 * time.Second))
	assert.Equal(t, l.Deadline(limits), startTime.Add(time.Second+limits.HeaderTimeout))
}

// On shutdown idle connections expire at once, others after their header or request.
func TestCloseWhenIdleExpiresOnlyIdleConnections(t *testing.T) {
	var l ConnState
	l.StartIdle(startTime)
	l.BytesRead(startTime)
	l.CloseWhenIdle()
	assert.Assert(t, !l.Expired(startTime, limits, false))
	l.StartRequest()
	assert.Assert(t, !l.Expired(startTime.Add(time.Hour), limits, false))
	l.StartIdle(startTime.Add(time.Hour))
	assert.Assert(t, l.Expired(startTime.Add(time.Hour), limits, false))
}

// In any sequence of events, a connection with a request in progress or with unread bytes
// never expires.
func TestConnectionWithARequestNeverExpires(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var l ConnState
		now := startTime
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
					t.Fatal("expired with a request")
				}
			},
		})
	})
}

// The bytes of a pipelined request may have been read with the previous one. Guards against counting its
// caller's wait from the end of that one, or the wait of a slow sender from its last byte.
func TestRequestCountsFromItsFirstBytes(t *testing.T) {
	var s ConnState
	s.StartIdle(startTime)
	s.BytesRead(startTime.Add(time.Second))
	s.BytesRead(startTime.Add(2 * time.Second))
	assert.Equal(t, s.StartRequest(), startTime.Add(time.Second))
	s.StartIdle(startTime.Add(10 * time.Second))
	assert.Equal(t, s.StartRequest(), startTime.Add(2*time.Second))
}
