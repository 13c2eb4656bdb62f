package caller

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/skylarkwood/skylarkwood/internal/tcp"
)

// connection is a caller's connection whose end has not been read.
type connection struct {
	known          bool
	ended, reading atomic.Bool
	checks         atomic.Int64
}

func (c *connection) peer() tcp.PeerState {
	c.checks.Add(1)
	return tcp.PeerState{Known: c.known, Ended: c.ended.Load()}
}

func (c *connection) noPendingRead() bool { return !c.reading.Load() }

// A departure must end everything that is done for the request, and be recorded once.
func TestDepartureCancelsTheRequest(t *testing.T) {
	conn := &connection{known: true}
	var found []Point
	c, ctx := New(t.Context(), Options{Peer: conn.peer, Observe: func(p Point) { found = append(found, p) }})
	defer c.Close()
	run, cancel := context.WithCancel(ctx)
	defer cancel()
	assert.NilError(t, Check(run, Sending))
	assert.Assert(t, !c.Left())
	conn.ended.Store(true)
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

// Unread bytes hide the end of a connection from reads. Guards against work that goes on for a caller
// that has left, and against checks while a read waits for the end.
func TestConnectionWithoutPendingReadIsCheckedPeriodically(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		conn := &connection{known: true}
		c, ctx := New(t.Context(), Options{Peer: conn.peer, NoPendingRead: conn.noPendingRead})
		defer c.Close()
		c.Watch()
		time.Sleep(time.Second + checkInterval/2)
		assert.Equal(t, conn.checks.Load(), int64(10))
		conn.reading.Store(true) // a read waits
		time.Sleep(time.Second)
		assert.Equal(t, conn.checks.Load(), int64(10))
		conn.reading.Store(false)
		c.Watch()
		conn.ended.Store(true)
		time.Sleep(checkInterval)
		synctest.Wait()
		assert.ErrorIs(t, context.Cause(ctx), ErrLeft)
		time.Sleep(time.Second)
		assert.Equal(t, conn.checks.Load(), int64(11))
	})
}

// Guards against a check of a connection that serves another request by then.
func TestNothingIsCheckedAfterTheResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		conn := &connection{known: true}
		c, _ := New(t.Context(), Options{Peer: conn.peer, NoPendingRead: conn.noPendingRead})
		c.Watch()
		c.Close()
		c.Watch()
		time.Sleep(time.Second)
		assert.Equal(t, conn.checks.Load(), int64(0))
	})
}
