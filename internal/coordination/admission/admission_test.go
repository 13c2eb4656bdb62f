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

// saturate lets n requests in, then says that the engines are full.
func saturate(t *testing.T, r *Limiter, customer string, n int) {
	for i := 0; i < n; i++ {
		assert.NilError(t, r.Acquire(context.Background(), request(customer, 3)))
	}
	r.Overloaded()
}

// While nobody refuses, whatever comes goes in at once.
func TestNoLimitWithoutRefusals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := NewLimiter(time.Now)
		for i := 0; i < 1000; i++ {
			assert.NilError(t, r.Acquire(context.Background(), request("c", 0)))
		}
	})
}

// The engines are full and a flood waits. Its queue is short; what does not fit
// is refused at once, and each refusal says when to come back, not all the same.
func TestFloodIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := NewLimiter(time.Now)
		saturate(t, r, "flood", 10)
		var wg sync.WaitGroup
		var mu sync.Mutex
		after := map[time.Duration]bool{}
		atOnce := 0
		for i := 0; i < 100; i++ {
			wg.Go(func() {
				began := time.Now()
				err := r.Acquire(context.Background(), request("flood", 3))
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
		assert.Assert(t, len(after) > 50, "come-back times are spread: %d differ", len(after))
	})
}

// A flood fills the room and the queue. A small customer's request comes last
// and goes in first.
func TestSmallCustomerGoesBeforeTheFlood(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := NewLimiter(time.Now)
		saturate(t, r, "flood", 10)
		order := make(chan string, 32)
		enter := func(customer string) {
			if r.Acquire(context.Background(), request(customer, 3)) == nil {
				order <- customer
			}
		}
		for i := 0; i < 30; i++ {
			go enter("flood")
		}
		synctest.Wait()
		go enter("small")
		synctest.Wait()
		r.Release("flood", false)
		synctest.Wait()
		r.Release("flood", false)
		synctest.Wait()
		assert.Equal(t, <-order, "small")
		time.Sleep(2 * maxWait)
	})
}

// A higher priority takes the place of a lower one in a full queue; the lower
// one gets its final answer at that moment.
func TestLowPriorityIsShedFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := NewLimiter(time.Now)
		saturate(t, r, "c", 4)
		low := make(chan time.Duration, initialQueueLimit)
		for i := 0; i < initialQueueLimit; i++ {
			go func() {
				began := time.Now()
				assert.Check(t, fault.Is(r.Acquire(context.Background(), request("c", 1)), fault.Overloaded))
				low <- time.Since(began)
			}()
		}
		synctest.Wait()
		high := make(chan error, 1)
		go func() { high <- r.Acquire(context.Background(), request("c", 9)) }()
		assert.Equal(t, <-low, time.Duration(0))
		r.Release("c", false)
		assert.NilError(t, <-high)
		time.Sleep(2 * maxWait)
	})
}

// A caller's time ends while its request waits: it is answered then, and its
// place in the queue is gone.
func TestDeadlineWhileWaiting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := NewLimiter(time.Now)
		saturate(t, r, "c", 4)
		ctx, cancel := context.WithTimeout(context.Background(), maxWait/4)
		defer cancel()
		assert.Assert(t, r.Acquire(ctx, request("c", 1)) != nil)
		assert.Equal(t, r.queue.Len(), 0)
	})
}

// A flood holds every place, and each is held for seconds. Five small customers
// send one request each at the same moment. Waiting for places to come free they
// would be given up; they go in at once, and the flood's next one does not.
func TestBurstOfSmallCustomersDoesNotWaitForTheFlood(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const places, small = 60, 5
		r := NewLimiter(time.Now)
		saturate(t, r, "flood", places)
		for i := range small {
			began := time.Now()
			assert.NilError(t, r.Acquire(context.Background(), request(string(rune('a'+i)), 3)))
			assert.Equal(t, time.Since(began), time.Duration(0))
		}
		err := r.Acquire(context.Background(), request("flood", 3))
		assert.Assert(t, fault.Is(err, fault.Overloaded))
	})
}

// inFlight counts who has a place, once all is quiet.
func inFlight(r *Limiter) int {
	synctest.Wait()
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.inFlight
}

// A request has left, or leaves in the moment its turn comes. Its place goes to the
// next: it would work for nobody.
func TestRoomLetsNobodyInWhoLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		left, leave := context.WithCancel(context.Background())
		leave()
		r := NewLimiter(time.Now)
		assert.Check(t, r.Acquire(left, request("c", 3)) != nil)
		assert.Check(t, inFlight(r) == 0)
		for range 100 {
			r := NewLimiter(time.Now)
			saturate(t, r, "c", 1)
			ctx, leave := context.WithCancel(context.Background())
			answer := make(chan error, 1)
			go func() { answer <- r.Acquire(ctx, request("c", 3)) }()
			synctest.Wait()
			r.mu.Lock()
			leave()
			r.releaseLocked("c")
			r.mu.Unlock()
			assert.Check(t, <-answer != nil)
			assert.Check(t, inFlight(r) == 0)
		}
	})
}

// A place is given as the wait for it ends. The request has it, and goes in.
func TestRoomKeepsAPlaceThatWasGiven(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for range 100 {
			r := NewLimiter(time.Now)
			saturate(t, r, "c", 1)
			answer := make(chan error, 1)
			go func() { answer <- r.Acquire(context.Background(), request("c", 3)) }()
			synctest.Wait()
			r.mu.Lock()
			time.Sleep(2 * maxWait) // the wait ends now as well
			r.releaseLocked("c")
			r.mu.Unlock()
			assert.Check(t, <-answer == nil)
			assert.Check(t, inFlight(r) == 1)
		}
	})
}
