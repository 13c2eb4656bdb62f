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

func TestWaitSucceedsAtOnce(t *testing.T) {
	q := NewWaitQueue()
	assert.Assert(t, q.Wait(context.Background(), Request{Customer: "c"}, time.Minute, func() bool { return true }))
	assert.Equal(t, q.Len(), 0)
}

// Without free capacity Wait returns after its timeout and leaves the queue.
func TestWaitTimesOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := NewWaitQueue()
		began := time.Now()
		ok := q.Wait(context.Background(), Request{Customer: "c"}, 400*time.Millisecond, func() bool { return false })
		assert.Assert(t, !ok)
		assert.Equal(t, time.Since(began), 400*time.Millisecond)
		assert.Equal(t, q.Len(), 0)
	})
}

// A request of higher priority that arrives last is admitted first, and each request once.
func TestHigherPriorityIsAdmittedFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := NewWaitQueue()
		var capacity atomic.Int64
		try := func() bool {
			if capacity.Load() <= 0 {
				return false
			}
			capacity.Add(-1)
			return true
		}
		var mu sync.Mutex
		var order []int
		var all sync.WaitGroup
		for _, priority := range []int{-2, -2, -1} {
			all.Go(func() {
				if q.Wait(context.Background(), Request{Customer: "c", Priority: priority}, time.Minute, try) {
					mu.Lock()
					defer mu.Unlock()
					order = append(order, priority)
				}
			})
			synctest.Wait()
		}
		for range 3 {
			capacity.Add(1)
			q.Notify()
			time.Sleep(pollInterval)
			synctest.Wait()
		}
		all.Wait()
		assert.DeepEqual(t, order, []int{-1, -2, -2})
	})
}

// A request whose context ends while it waits leaves the queue.
func TestContextEndRemovesRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := NewWaitQueue()
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan bool)
		go func() { done <- q.Wait(ctx, Request{Customer: "c"}, time.Minute, func() bool { return false }) }()
		synctest.Wait()
		assert.Equal(t, q.Len(), 1)
		cancel()
		assert.Assert(t, !<-done)
		assert.Equal(t, q.Len(), 0)
	})
}

// The context ends at the same time as capacity is released. Guards against taking memory for a
// request whose caller has disconnected.
func TestNoTryAfterContextEnd(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	tried := false
	try := func() bool {
		tried = true
		return true
	}
	assert.Assert(t, !NewWaitQueue().Wait(ctx, Request{Customer: "c"}, time.Minute, try))
	assert.Assert(t, !tried)
	for range 100 {
		q := NewWaitQueue()
		ctx, cancel := context.WithCancel(context.Background())
		capacity := false
		try := func() bool {
			if capacity {
				return true
			}
			capacity = q.Len() > 0
			if capacity {
				cancel()
				q.Notify()
			}
			return false
		}
		assert.Assert(t, !q.Wait(ctx, Request{Customer: "c"}, time.Minute, try))
		assert.Equal(t, q.Len(), 0)
	}
}

// Capacity is released at another router just before the timeout, without a Notify. Guards against
// a refusal although there is capacity.
func TestWaitTriesAgainAtTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		timeout := pollInterval - time.Millisecond
		try := func() bool { return time.Since(began) >= timeout }
		assert.Assert(t, NewWaitQueue().Wait(context.Background(), Request{Customer: "c"}, timeout, try))
		assert.Equal(t, time.Since(began), timeout)
	})
}
