package processor

import (
	"context"
	"sync"
	"time"
)

// WithTimeout returns a context that is cancelled, with context.DeadlineExceeded as its cause, once
// the process has had the given time to run. Time in which it waited for the processor does not
// count, as it could not see then what happened. A nil monitor counts all time. The caller must call
// the returned function.
func (m *Monitor) WithTimeout(parent context.Context, timeout time.Duration) (context.Context, context.CancelFunc) {
	if m == nil {
		return context.WithTimeout(parent, timeout)
	}
	ctx, cancel := context.WithCancelCause(parent)
	t := m.AfterFunc(timeout, func() { cancel(context.DeadlineExceeded) })
	return ctx, func() {
		t.Stop()
		cancel(context.Canceled)
	}
}

// maxWaitFactor bounds the time that a timer is put off, as a multiple of its duration. Otherwise a
// process that never has enough processor time would never give up.
const maxWaitFactor = 10

// minRest is the least time for which a timer is put off.
const minRest = time.Millisecond

// Timer calls a function once the process has had a given time to run.
type Timer struct {
	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
}

// AfterFunc calls f in its own goroutine after d, not counting the time in which the process waited
// for the processor.
func (m *Monitor) AfterFunc(d time.Duration, f func()) *Timer {
	t := &Timer{}
	began, waited := m.clock(), m.Waited()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.timer = time.AfterFunc(d, func() {
		left := d - m.ranSince(began, waited)
		if left > minRest && m.clock()-began < maxWaitFactor*d {
			t.putOff(left)
			return
		}
		f()
	})
	return t
}

// ranSince returns for how long the process did not wait for the processor since a time at which
// it had waited for the given time in all.
func (m *Monitor) ranSince(began, waited time.Duration) time.Duration {
	return m.clock() - began - (m.Waited() - waited)
}

func (t *Timer) putOff(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.stopped {
		t.timer.Reset(d)
	}
}

// Stop prevents the call, if it has not begun.
func (t *Timer) Stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopped = true
	t.timer.Stop()
}
