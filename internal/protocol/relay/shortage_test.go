package relay

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// Load: a burst of the least urgent kind takes all slots and the wait line before one request of
// the most urgent kind. Guards against serving the burst first.
func TestBurstOfTheLeastUrgentKindDoesNotDelayTheMostUrgent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLoadTest(t, 300*time.Millisecond)
		l.send(20, 3*time.Second) // the rate becomes known
		l.all.Wait()
		for range 60 {
			l.all.Go(func() { l.attempt(t.Context(), 2, "key0", time.Now().Add(callerDeadline)) })
			time.Sleep(time.Millisecond) // their slots are released one after the other
		}
		synctest.Wait()
		assert.Assert(t, l.WaitQueue.Len() > 0)
		l.mu.Lock()
		before := len(l.started)
		l.mu.Unlock()
		l.all.Go(func() { l.attempt(t.Context(), 0, "key0", time.Now().Add(callerDeadline)) })
		l.assertOrdered()
		assert.Assert(t, len(l.started) > before+1, "no others were served after it")
		assert.Equal(t, l.started[before], "/0/")
	})
}

// Load: 60 requests a second where 100 fit. Failure: engines are full for 2 s, for 10 s and for
// good. Guards against requests that wait without being served, returns that come too early, and
// a worse result for more urgent kinds.
func TestShortageOf2sAnd10sAndLasting(t *testing.T) {
	for _, shortage := range []time.Duration{2 * time.Second, 10 * time.Second, time.Hour} {
		synctest.Test(t, func(t *testing.T) {
			l := newLoadTest(t, 160*time.Millisecond)
			l.send(60, 3*time.Second)
			l.occupy(shortage)
			l.send(60, 3*time.Second)
			l.mu.Lock()
			for kind, got := range l.byKind {
				assert.Check(t, got.longestWait <= patience, "kind %d waited %v", kind, got.longestWait)
			}
			l.byKind[0].longestWait, l.byKind[1].longestWait, l.byKind[2].longestWait = 0, 0, 0
			l.mu.Unlock()
			if shortage > 9*time.Second { // nothing is known by now
				l.send(60, 6*time.Second)
				for kind, got := range l.results() {
					assert.Check(t, got.longestWait <= kinds[0]/8, "kind %d waited %v", kind, got.longestWait)
				}
			}
			l.send(60, 5*time.Second)
			l.assertOrdered()
			served := 0
			for _, k := range l.byKind {
				served += k.served
			}
			t.Logf("shortage of %v: %+v", shortage, l.byKind)
			if shortage == 2*time.Second {
				assert.Check(t, served >= 11*60*95/100, "%d of %d served", served, 11*60)
			}
			if shortage == time.Hour {
				assert.Check(t, l.observer.refused["slots 0"] > 0, "%v", l.observer.refused)
			}
		})
	}
}

// Load: 150 requests a second where 100 fit, and callers that return at once, 20 times each, a
// quarter of all. Guards against their taking the room of the callers that wait as told.
func TestStormOfRetriesDoesNotTakeTheRoomOfOthers(t *testing.T) {
	served := map[bool]int{}
	for _, storm := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			l := newLoadTest(t, 160*time.Millisecond)
			stop := make(chan struct{})
			var storming sync.WaitGroup
			storming.Go(func() {
				for {
					select {
					case <-stop:
						return
					case <-time.After(27 * time.Millisecond):
					}
					storming.Go(func() {
						deadline := time.Now().Add(callerDeadline)
						for range 20 {
							out, _ := l.attempt(t.Context(), 1, "key3", deadline)
							if out.status == http.StatusOK || !storm {
								return
							}
							time.Sleep(time.Millisecond)
						}
					})
				}
			})
			for i := range 113 * 10 {
				l.all.Go(func() { l.call(kindMix[i%len(kindMix)], fmt.Sprint("key", i%3)) })
				time.Sleep(time.Second / 113)
			}
			close(stop)
			storming.Wait()
			l.assertOrdered()
			for _, k := range l.byKind {
				served[storm] += k.served
			}
			t.Logf("storm %t: %+v", storm, l.byKind)
		})
	}
	assert.Assert(t, float64(served[true]) >= 0.95*float64(served[false]), "%v", served)
}

// Load: 150 requests a second where 100 fit. Failure: half of the callers disconnect after 30 ms.
// Guards against capacity reserved for them, and against their blocking the line.
func TestCallersThatGiveUpLeaveTheLine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLoadTest(t, 160*time.Millisecond)
		for i := range 1500 {
			l.all.Go(func() {
				if i%2 == 0 {
					l.call(i%3, "key1")
					return
				}
				ctx, leave := context.WithTimeout(t.Context(), 30*time.Millisecond)
				defer leave()
				l.attempt(ctx, i%3, "key2", time.Now().Add(callerDeadline))
			})
			time.Sleep(time.Second / 150)
		}
		l.assertOrdered()
		for kind, k := range l.byKind {
			assert.Check(t, k.rate() > 0.95, "kind %d: %+v", kind, k)
		}
	})
}
