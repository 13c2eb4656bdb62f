package faultsoak

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against wrong expectations while an idle limit is raised during the idle time of a
// connection: until the router applies it, the lower one holds.
func TestMayCloseAfterIdleLimitIsRaised(t *testing.T) {
	start := time.Now()
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	for _, c := range []struct {
		name              string
		appliedAt, usedAt int // ms of idle time
		mayClose          bool
	}{
		{name: "used before 4/5 of the lower limit", appliedAt: 1000, usedAt: 159},
		{name: "used after 4/5 of the lower limit, higher limit not yet applied", appliedAt: 1000, usedAt: 161, mayClose: true},
		{name: "higher limit applied in time", appliedAt: 150, usedAt: 1599},
		{name: "higher limit applied too late", appliedAt: 170, usedAt: 1599, mayClose: true},
		{name: "used after 4/5 of the higher limit", appliedAt: 150, usedAt: 1601, mayClose: true},
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

// Guards against wrong expectations after the idle limit is lowered: from then on a
// router may close a connection that was idle for four fifths of the lower limit.
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
