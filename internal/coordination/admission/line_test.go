package admission

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

func TestLineLetsInAtOnce(t *testing.T) {
	l := NewWaitQueue()
	assert.Assert(t, l.Wait(context.Background(), Request{Customer: "c"}, time.Minute, func() bool { return true }))
	assert.Equal(t, l.Len(), 0)
}

// Nothing becomes free. The request is given up after its wait, not held until
// its deadline: its caller is told at once when to come back.
func TestLineGivesUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := NewWaitQueue()
		began := time.Now()
		ok := l.Wait(context.Background(), Request{Customer: "c"}, 400*time.Millisecond, func() bool { return false })
		assert.Assert(t, !ok)
		assert.Equal(t, time.Since(began), 400*time.Millisecond)
		assert.Equal(t, l.Len(), 0)
	})
}

// Urgent and less urgent requests wait for one place after another. The urgent
// ones go first though they came last; nobody is let in twice or forgotten.
func TestLineLetsUrgentFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := NewWaitQueue()
		var room atomic.Int64
		try := func() bool {
			if room.Load() <= 0 {
				return false
			}
			room.Add(-1)
			return true
		}
		var mu sync.Mutex
		var order []int
		var all sync.WaitGroup
		for _, priority := range []int{-2, -2, -1} {
			all.Go(func() {
				if l.Wait(context.Background(), Request{Customer: "c", Priority: priority}, time.Minute, try) {
					mu.Lock()
					defer mu.Unlock()
					order = append(order, priority)
				}
			})
			synctest.Wait()
		}
		for range 3 {
			room.Add(1)
			l.Notify()
			time.Sleep(pollInterval)
			synctest.Wait()
		}
		all.Wait()
		assert.DeepEqual(t, order, []int{-1, -2, -2})
	})
}

// The caller leaves while it waits: its place in the line goes to the next.
func TestLineForgetsWhoLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := NewWaitQueue()
		ctx, leave := context.WithCancel(context.Background())
		done := make(chan bool)
		go func() { done <- l.Wait(ctx, Request{Customer: "c"}, time.Minute, func() bool { return false }) }()
		synctest.Wait()
		assert.Equal(t, l.Len(), 1)
		leave()
		assert.Assert(t, !<-done)
		assert.Equal(t, l.Len(), 0)
	})
}

// The caller has left, and in the same moment room comes free: the wake and the end
// of the context race. Let in, the request would take memory and be sent on for
// nobody.
func TestLineLetsNobodyInWhoLeft(t *testing.T) {
	ctx, leave := context.WithCancel(context.Background())
	leave()
	tried := false
	try := func() bool {
		tried = true
		return true
	}
	assert.Assert(t, !NewWaitQueue().Wait(ctx, Request{Customer: "c"}, time.Minute, try))
	assert.Assert(t, !tried)
	for range 100 {
		l := NewWaitQueue()
		ctx, leave := context.WithCancel(context.Background())
		room := false
		try := func() bool {
			if room {
				return true
			}
			room = l.Len() > 0
			if room {
				leave()
				l.Notify()
			}
			return false
		}
		assert.Assert(t, !l.Wait(ctx, Request{Customer: "c"}, time.Minute, try))
		assert.Equal(t, l.Len(), 0)
	}
}

// Room comes free at another router as the wait ends; nobody here is woken for it.
// The front of the line looks once more before it is refused: its caller would be
// sent away from a place that is free.
func TestLineLooksOnceMoreBeforeItGivesUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		most := pollInterval - time.Millisecond
		try := func() bool { return time.Since(began) >= most }
		assert.Assert(t, NewWaitQueue().Wait(context.Background(), Request{Customer: "c"}, most, try))
		assert.Equal(t, time.Since(began), most)
	})
}
