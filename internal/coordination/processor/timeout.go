package processor

import (
	"context"
	"sync"
	"time"
)

// maxWaitFactor bounds the time by which a timeout is put off, as a multiple of its duration.
// Otherwise a process that never has enough processor time would never give up.
const maxWaitFactor = 10

// minRemaining is the least time by which a timeout is put off.
const minRemaining = time.Millisecond

// Stopwatch tells whether a timeout has passed that leaves out the time in which the process waited
// for the processor, as it could not see then what happened. The zero value counts all time.
type Stopwatch struct {
	m             *Monitor
	began, waited time.Duration
}

// Start returns a stopwatch that starts now. That of a nil monitor counts all time.
func (m *Monitor) Start() Stopwatch {
	if m == nil {
		return Stopwatch{}
	}
	return Stopwatch{m: m, began: m.clock(), waited: m.Waited()}
}

// Remaining returns how much longer a timeout lasts whose timer, set when the stopwatch started,
// has fired. It returns 0 if the timeout has passed.
func (s Stopwatch) Remaining(timeout time.Duration) time.Duration {
	if s.m == nil {
		return 0
	}
	elapsed := s.m.clock() - s.began
	ran := elapsed - (s.m.Waited() - s.waited)
	if timeout-ran < minRemaining || elapsed >= maxWaitFactor*timeout {
		return 0
	}
	return timeout - ran
}

// WithTimeout returns a context that is cancelled, with context.DeadlineExceeded as its cause, once
// a timeout has passed as a Stopwatch counts it. A nil monitor counts all time. The caller must call
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

// Timer calls a function once a timeout has passed as a Stopwatch counts it.
type Timer struct {
	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
}

// AfterFunc calls f in its own goroutine once a timeout has passed.
func (m *Monitor) AfterFunc(timeout time.Duration, f func()) *Timer {
	t := &Timer{}
	s := m.Start()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.timer = time.AfterFunc(timeout, func() {
		if left := s.Remaining(timeout); left > 0 {
			t.putOff(left)
			return
		}
		f()
	})
	return t
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
