package admission

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/skylarkwood/skylarkwood/internal/fault"
)

func request(customer string, priority int) Request {
	return Request{Customer: customer, Priority: priority, Deadline: time.Now().Add(time.Minute)}
}

// saturate admits n requests and then reports an overload.
func saturate(t *testing.T, l *Limiter, customer string, n int) {
	for i := 0; i < n; i++ {
		assert.NilError(t, l.Acquire(context.Background(), request(customer, 3)))
	}
	l.Overloaded()
}

// The limit applies only after an overload.
func TestNoLimitWithoutOverload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := NewLimiter(time.Now)
		for i := 0; i < 1000; i++ {
			assert.NilError(t, l.Acquire(context.Background(), request("c", 0)))
		}
	})
}

// Requests beyond the queue limit are refused at once, with different retry delays.
func TestExcessRequestsAreRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := NewLimiter(time.Now)
		saturate(t, l, "flood", 10)
		var wg sync.WaitGroup
		var mu sync.Mutex
		after := map[time.Duration]bool{}
		atOnce := 0
		for i := 0; i < 100; i++ {
			wg.Go(func() {
				began := time.Now()
				err := l.Acquire(context.Background(), request("flood", 3))
				assert.Check(t, fault.Is(err, fault.Overloaded))
				mu.Lock()
				defer mu.Unlock()
				after[fault.From(err).RetryAfter] = true
				if time.Since(began) == 0 {
					atOnce++
				}
			})
		}
		wg.Wait()
		assert.Assert(t, atOnce >= 80, "%d of 100 refused at once", atOnce)
		assert.Assert(t, len(after) > 50, "only %d different retry delays", len(after))
	})
}

// One customer fills the limit and the queue. The request of another customer that arrives last
// must be admitted first.
func TestCustomerWithFewRequestsIsAdmittedFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := NewLimiter(time.Now)
		saturate(t, l, "flood", 10)
		order := make(chan string, 32)
		enter := func(customer string) {
			if l.Acquire(context.Background(), request(customer, 3)) == nil {
				order <- customer
			}
		}
		for i := 0; i < 30; i++ {
			go enter("flood")
		}
		synctest.Wait()
		go enter("small")
		synctest.Wait()
		l.Release("flood", false)
		synctest.Wait()
		l.Release("flood", false)
		synctest.Wait()
		assert.Equal(t, <-order, "small")
		time.Sleep(2 * maxWait)
	})
}

// If the queue is full, a request of lower priority is dropped in favor of one of higher
// priority and refused at once.
func TestLowPriorityIsDroppedFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := NewLimiter(time.Now)
		saturate(t, l, "c", 4)
		low := make(chan time.Duration, initialQueueLimit)
		for i := 0; i < initialQueueLimit; i++ {
			go func() {
				began := time.Now()
				assert.Check(t, fault.Is(l.Acquire(context.Background(), request("c", 1)), fault.Overloaded))
				low <- time.Since(began)
			}()
		}
		synctest.Wait()
		high := make(chan error, 1)
		go func() { high <- l.Acquire(context.Background(), request("c", 9)) }()
		assert.Equal(t, <-low, time.Duration(0))
		l.Release("c", false)
		assert.NilError(t, <-high)
		time.Sleep(2 * maxWait)
	})
}

// A request whose context ends while it waits is refused then and leaves the queue.
func TestContextEndsWhileWaiting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := NewLimiter(time.Now)
		saturate(t, l, "c", 4)
		ctx, cancel := context.WithTimeout(context.Background(), maxWait/4)
		defer cancel()
		assert.Assert(t, l.Acquire(ctx, request("c", 1)) != nil)
		assert.Equal(t, l.queue.Len(), 0)
	})
}

// One customer holds all slots for seconds. Guards against refusing a burst of single requests of
// other customers, which fairShareHeadroom admits at once.
func TestBurstOfOtherCustomersIsAdmittedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const slots, others = 60, 5
		l := NewLimiter(time.Now)
		saturate(t, l, "flood", slots)
		for i := range others {
			began := time.Now()
			assert.NilError(t, l.Acquire(context.Background(), request(string(rune('a'+i)), 3)))
			assert.Equal(t, time.Since(began), time.Duration(0))
		}
		err := l.Acquire(context.Background(), request("flood", 3))
		assert.Assert(t, fault.Is(err, fault.Overloaded))
	})
}

// inFlight returns the number of admitted requests once all goroutines are blocked.
func inFlight(l *Limiter) int {
	synctest.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.inFlight
}

// The caller has disconnected, or does so when its request is admitted. Guards against a slot that
// no request uses or releases.
func TestDisconnectedCallerIsNotAdmitted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ended, cancel := context.WithCancel(context.Background())
		cancel()
		l := NewLimiter(time.Now)
		assert.Check(t, l.Acquire(ended, request("c", 3)) != nil)
		assert.Check(t, inFlight(l) == 0)
		for range 100 {
			l := NewLimiter(time.Now)
			saturate(t, l, "c", 1)
			ctx, cancel := context.WithCancel(context.Background())
			result := make(chan error, 1)
			go func() { result <- l.Acquire(ctx, request("c", 3)) }()
			synctest.Wait()
			l.mu.Lock()
			cancel()
			l.releaseLocked("c")
			l.mu.Unlock()
			assert.Check(t, <-result != nil)
			assert.Check(t, inFlight(l) == 0)
		}
	})
}

// A request is admitted at the moment its wait times out. Guards against losing the slot.
func TestAdmissionAtTimeoutIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for range 100 {
			l := NewLimiter(time.Now)
			saturate(t, l, "c", 1)
			result := make(chan error, 1)
			go func() { result <- l.Acquire(context.Background(), request("c", 3)) }()
			synctest.Wait()
			l.mu.Lock()
			time.Sleep(2 * maxWait) // the wait times out too
			l.releaseLocked("c")
			l.mu.Unlock()
			assert.Check(t, <-result == nil)
			assert.Check(t, inFlight(l) == 1)
		}
	})
}
