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

// lineTest runs waiters in a Line over a resource that holds an amount.
type lineTest struct {
	*Line
	mu    sync.Mutex
	free  int
	order []string
	all   sync.WaitGroup
}

func newLineTest() *lineTest { return &lineTest{Line: NewLine(time.Now)} }

// start lets a request wait for its size, and returns when it waits or is served.
func (l *lineTest) start(ctx context.Context, name string, w Waiter, timeout time.Duration) {
	l.all.Go(func() {
		served := l.Wait(ctx, w, timeout, func() bool {
			l.mu.Lock()
			defer l.mu.Unlock()
			if l.free < w.Size {
				return false
			}
			l.free -= w.Size
			l.order = append(l.order, name)
			return true
		})
		if served {
			l.Granted(w)
		}
	})
	synctest.Wait()
}

func (l *lineTest) release(n int) {
	l.mu.Lock()
	l.free += n
	l.mu.Unlock()
	l.Notify()
	synctest.Wait()
}

func (l *lineTest) served() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]string{}, l.order...)
}

// Load: a burst of the least urgent kind, before one of the most urgent, a resumed stream and a
// caller that returns. Guards against serving them in the order of arrival.
func TestLineOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLineTest()
		ctx := t.Context()
		deadline := time.Now().Add(20 * time.Second)
		for range 5 {
			l.start(ctx, "least", Waiter{Urgency: 2, Deadline: deadline, Size: 1}, time.Minute)
		}
		l.start(ctx, "new", Waiter{Urgency: 1, Deadline: deadline, Size: 1}, time.Minute)
		l.start(ctx, "returned", Waiter{Urgency: 1, Deadline: deadline.Add(-time.Second), Size: 1}, time.Minute)
		l.start(ctx, "resumed", Waiter{Urgency: 1, Begun: true, Size: 1}, time.Minute)
		l.start(ctx, "most", Waiter{Urgency: 0, Deadline: deadline, Size: 1}, time.Minute)
		for range 5 {
			l.release(1)
		}
		assert.DeepEqual(t, l.served(), []string{"most", "resumed", "returned", "new", "least"})
		l.release(4)
		l.all.Wait()
		assert.Equal(t, l.Len(), 0)
	})
}

// Load: one customer got most of the recent grants. Guards against starving the others of its
// urgency, and against putting it before more urgent ones.
func TestCustomerWithFewGrantsGoesFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLineTest()
		for range 20 {
			l.Granted(Waiter{Customer: "flood", Urgency: 1})
		}
		deadline := time.Now().Add(20 * time.Second)
		l.start(t.Context(), "flood", Waiter{Customer: "flood", Urgency: 1, Deadline: deadline, Size: 1}, time.Minute)
		l.start(t.Context(), "small", Waiter{Customer: "small", Urgency: 1, Deadline: deadline.Add(time.Second), Size: 1}, time.Minute)
		l.start(t.Context(), "less urgent", Waiter{Customer: "other", Urgency: 2, Deadline: deadline, Size: 1}, time.Minute)
		for range 3 {
			l.release(1)
		}
		l.all.Wait()
		assert.DeepEqual(t, l.served(), []string{"small", "flood", "less urgent"})
	})
}

// Load: small requests arrive all the time while a large one waits for an amount that is released
// bit by bit. Guards against starving the large one, against blocking the small ones at once, and
// against a less urgent one that passes.
func TestSmallRequestsPassALargeOneForABoundedTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLineTest()
		deadline := time.Now().Add(20 * time.Second)
		l.start(t.Context(), "large", Waiter{Size: 10, Deadline: deadline}, time.Minute)
		l.start(t.Context(), "less urgent", Waiter{Urgency: 1, Size: 1, Deadline: deadline}, time.Minute)
		var largeAt time.Duration
		began := time.Now()
		for range 100 {
			l.start(t.Context(), "small", Waiter{Size: 1, Deadline: deadline.Add(time.Since(began))}, time.Minute)
			time.Sleep(10 * time.Millisecond)
			l.release(1)
			if served := l.served(); largeAt == 0 && served[len(served)-1] == "large" {
				largeAt = time.Since(began)
				assert.Assert(t, len(served) > 5, "%v", served)
			}
		}
		assert.Assert(t, largeAt > 0 && largeAt <= maxPassing+150*time.Millisecond, "%v", largeAt)
		l.release(200)
		l.all.Wait()
		served := l.served()
		assert.Equal(t, served[len(served)-1], "less urgent")
	})
}

// Failure: callers disconnect while they wait, the first one included. Guards against entries that
// block the line, and against capacity taken for them.
func TestCallersThatLeaveDoNotBlockTheLine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLineTest()
		leaving, leave := context.WithCancel(t.Context())
		for range 10 {
			l.start(leaving, "left", Waiter{Urgency: 0, Size: 1}, time.Minute)
		}
		l.start(t.Context(), "stays", Waiter{Urgency: 1, Size: 1}, time.Minute)
		assert.Equal(t, l.Ahead(Waiter{Urgency: 1}), 11)
		leave()
		synctest.Wait()
		l.release(1)
		l.all.Wait()
		assert.DeepEqual(t, l.served(), []string{"stays"})
		assert.Equal(t, l.Len(), 0)
	})
}

// Guards against a wait past its limit, and against taking capacity for a caller that has left.
func TestLineWaitIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := NewLine(time.Now)
		began := time.Now()
		assert.Assert(t, !l.Wait(t.Context(), Waiter{}, 400*time.Millisecond, func() bool { return false }))
		assert.Equal(t, time.Since(began), 400*time.Millisecond)
		ended, cancel := context.WithCancel(t.Context())
		cancel()
		tried := false
		try := func() bool { tried = true; return true }
		assert.Assert(t, !l.TryNow(ended, Waiter{}, try) && !l.Wait(ended, Waiter{}, time.Minute, try) && !tried)
	})
}

// Load: requests of a service that is not prioritized wait without capacity. Guards against a line
// of another service that waits for them, or they for it.
func TestLinesAreSeparate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := NewWaitQueue()
		var full atomic.Bool
		full.Store(true)
		go q.Wait(t.Context(), Request{}, time.Second, func() bool { return !full.Load() })
		synctest.Wait()
		assert.Assert(t, q.Line("p").Wait(t.Context(), Waiter{}, time.Second, func() bool { return true }))
		assert.Equal(t, q.Line("p"), q.Line("p"))
		go q.Line("p").Wait(t.Context(), Waiter{}, time.Minute, func() bool { return !full.Load() })
		synctest.Wait()
		assert.Equal(t, q.Len(), 2)
		full.Store(false)
		q.Notify()
		synctest.Wait()
		assert.Equal(t, q.Len(), 0)
	})
}

// Load: a shortage with refusals at intervals, which ends. Guards against losing its beginning,
// and against counting two shortages as one.
func TestShortageBeginsAnewAfterAGap(t *testing.T) {
	var s Shortages
	began := time.Unix(1000, 0)
	for i := range 10 {
		assert.Equal(t, s.Record(began.Add(time.Duration(i)*time.Second), "s", "slots"), began)
	}
	assert.Equal(t, s.Record(began.Add(5*time.Second), "s", "interconnect"), began.Add(5*time.Second))
	again := began.Add(9*time.Second + shortageGap + time.Millisecond)
	assert.Equal(t, s.Record(again, "s", "slots"), again)
}

// Without a shortage each request of a prioritized service adds these calls.
func BenchmarkLineWithoutShortage(b *testing.B) {
	l := NewLine(time.Now)
	names := []string{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l", "m", "n", "o", "p", "q", "r", "s", "t", "u", "v", "w", "x"}
	ctx := context.Background()
	for i := 0; b.Loop(); i++ {
		w := Waiter{Customer: names[i%len(names)], Urgency: i % 6}
		if l.TryNow(ctx, w, func() bool { return true }) {
			l.Granted(w)
		}
	}
}

// Load: an urgency is starved, and of its two waiting requests the later one goes first. Guards
// against waking the other one, which may not try, so that capacity stays unused until the next poll.
func TestReleaseWakesTheNextRequestOfAStarvedUrgency(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLineTest()
		l.urgencies.count(time.Now(), 1).requests = 1000
		*l.urgencies.count(time.Now(), 0) = urgencyCount{requests: 1000, granted: 1000}
		deadline := time.Now().Add(20 * time.Second)
		l.start(t.Context(), "urgent", Waiter{Size: 5, Deadline: deadline}, time.Minute)
		l.start(t.Context(), "later", Waiter{Urgency: 1, Size: 1, Deadline: deadline}, time.Minute)
		l.start(t.Context(), "sooner", Waiter{Urgency: 1, Size: 1, Deadline: deadline.Add(-time.Second)}, time.Minute)
		l.release(1)
		assert.DeepEqual(t, l.served(), []string{"sooner"})
		l.release(10)
		l.all.Wait()
	})
}
