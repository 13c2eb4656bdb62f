package caller

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/skylarkwood/skylarkwood/internal/tcp"
)

// connection is a caller's connection whose end has not been read.
type connection struct{ state tcp.PeerState }

func (c *connection) peer() tcp.PeerState { return c.state }

// A departure must end everything that is done for the request, and be recorded once.
func TestDepartureCancelsTheRequest(t *testing.T) {
	conn := &connection{tcp.PeerState{Known: true}}
	var found []Point
	c, ctx := New(t.Context(), Options{Peer: conn.peer, OnLeft: func(p Point) { found = append(found, p) }})
	defer c.Close()
	run, cancel := context.WithCancel(ctx)
	defer cancel()
	assert.NilError(t, Check(run, Sending))
	assert.Assert(t, !c.Left())
	conn.state.Ended = true
	for range 2 {
		assert.ErrorIs(t, Check(run, Waiting), ErrLeft)
	}
	assert.ErrorIs(t, context.Cause(run), ErrLeft)
	assert.Assert(t, c.Left())
	assert.DeepEqual(t, found, []Point{Waiting})
}

// Where the kernel does not tell the state, and for requests without a caller, the context decides.
func TestRequestGoesOnIfTheStateIsUnknown(t *testing.T) {
	assert.NilError(t, Check(t.Context(), Sending))
	connCtx, end := context.WithCancel(t.Context())
	c, ctx := New(connCtx, Options{Peer: (&connection{}).peer})
	defer c.Close()
	assert.NilError(t, Check(ctx, Sending))
	end()
	assert.ErrorIs(t, Check(ctx, Sending), context.Canceled)
}

// The timer of a deadline may be late. Guards against going on after the deadline until it fires.
func TestCheckComparesTheDeadlineWithTheClock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		assert.NilError(t, Check(ctx, Waiting))
		time.Sleep(time.Second)
		assert.ErrorIs(t, Check(ctx, Waiting), context.DeadlineExceeded)
		assert.ErrorIs(t, ctx.Err(), context.DeadlineExceeded)
	})
}
