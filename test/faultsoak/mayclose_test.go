package faultsoak

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A connection rests while the idle limit changes from 200 ms to 2 s, 100 ms after
// its rest began. Its caller may rely on the lower limit until the router holds the
// higher one, and on that one from then on; or on none any more, if the router came
// to hold it only after four fifths of the lower one.
func TestMayCloseAfterIdleLimitIsRaised(t *testing.T) {
	start := time.Now()
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	for _, c := range []struct {
		name              string
		appliedAt, usedAt int // in ms of its rest
		mayClose          bool
	}{
		{name: "used before four fifths of the lower limit", appliedAt: 1000, usedAt: 159},
		{name: "used after them, the higher not yet known", appliedAt: 1000, usedAt: 161, mayClose: true},
		{name: "the higher known in time", appliedAt: 150, usedAt: 1599},
		{name: "the higher known too late", appliedAt: 170, usedAt: 1599, mayClose: true},
		{name: "used after four fifths of the higher limit", appliedAt: 150, usedAt: 1601, mayClose: true},
	} {
		l := &incarnation{router: &router{}, applied: []appliedVersion{{1, at(-1000)}, {2, at(c.appliedAt)}}}
		s := &site{published: []publishedConfig{
			{version: 1, idle: 200 * time.Millisecond, at: at(-2000)},
			{version: 2, idle: 2 * time.Second, at: at(100)},
		}}
		q := sentRequest{response: response{incarnation: l, idleSince: start, began: at(c.usedAt)}}
		assert.Equal(t, s.mayClose(q), c.mayClose, c.name)
	}
}

// A limit is lowered under a resting connection: from then on a router may hold it,
// and close what has rested for four fifths of it.
func TestMayCloseAfterIdleLimitIsLowered(t *testing.T) {
	start := time.Now()
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	s := &site{published: []publishedConfig{
		{version: 1, idle: 2 * time.Second, at: at(-2000)},
		{version: 2, idle: 200 * time.Millisecond, at: at(1000)},
	}}
	l := &incarnation{router: &router{}, applied: []appliedVersion{{1, at(-1000)}}}
	assert.Assert(t, !s.mayClose(sentRequest{response: response{incarnation: l, idleSince: start, began: at(999)}}))
	assert.Assert(t, s.mayClose(sentRequest{response: response{incarnation: l, idleSince: start, began: at(1001)}}))
}
