package caller

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// A process that lacks processor time reads the ends of connections late. Guards against work at servers
// for departed callers meanwhile, and against checks of all callers in a process that is not late.
func TestLateProcessChecksTheCallersOfSentRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		late := false
		all := &Callers{Late: func() bool { return late }}
		sent, unsent, asking := &connection{known: true}, &connection{known: true}, &connection{known: true}
		told := 0
		departed, departedCtx := New(t.Context(), Options{Peer: sent.peer, Callers: all})
		waiting, _ := New(t.Context(), Options{Peer: unsent.peer, Callers: all})
		other, ctx := New(t.Context(), Options{Peer: asking.peer, Callers: all})
		defer departed.Close()
		defer waiting.Close()
		assert.NilError(t, Check(departedCtx, Sending))
		OnLeft(departedCtx, func() { told++ })
		OnLeft(departedCtx, func() { t.Error("called after it was removed") })()
		sent.ended.Store(true)
		time.Sleep(time.Second)

		assert.NilError(t, Check(ctx, Waiting))
		assert.Assert(t, !departed.Left(), "all were checked though the process is not late")
		late = true
		for range 3 {
			assert.NilError(t, Check(ctx, Waiting))
		}
		assert.Assert(t, departed.Left())
		assert.ErrorIs(t, departedCtx.Err(), context.Canceled)
		assert.Equal(t, told, 1)
		assert.Equal(t, unsent.checks.Load(), int64(0))

		again, _ := New(t.Context(), Options{Peer: sent.peer, Callers: all})
		again.recordSend()
		assert.NilError(t, Check(ctx, Waiting))
		assert.Assert(t, !again.Left(), "checked twice within the interval")
		time.Sleep(checkInterval)
		assert.NilError(t, Check(ctx, Waiting))
		assert.Assert(t, again.Left())
		again.Close()
		other.Close()
		assert.Equal(t, len(all.all), 2)
	})
}
