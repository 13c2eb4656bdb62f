// Package processor tracks how long this process waits for the processor.
//
// A process that has too little processor time handles network events and timers late. To it, every
// other process seems slow. What it concludes from its own timeouts is wrong unless the time that it
// waited itself is left out.
package processor

import (
	"sync"
	"time"
)

const (
	// ProbeInterval is the time between two probes while they are on time. A late one must be
	// followed by another at once, which shows whether work remains.
	ProbeInterval = 50 * time.Millisecond
	// maxDelay is the longest delay of a probe that is on time.
	maxDelay = 20 * time.Millisecond
	// tolerance is the part of a probe's delay that is not counted as waiting.
	tolerance = 5 * time.Millisecond
)

// Monitor records probes: network events that this process causes and handles itself, like those of
// its connections. There is one probe at a time. It is safe for concurrent use.
type Monitor struct {
	clock func() time.Duration

	mu      sync.Mutex
	probing bool
	// due is when the probe in progress was to be handled, or the next one begins.
	due     time.Duration
	waited  time.Duration // by probes that have ended
	longest time.Duration // delay since the last call of TakeLongest
	late    bool          // the last probe was late
	// lateSince is when the first of the successive late probes was found to be late.
	lateSince time.Duration
}

// New returns a monitor without probes. clock returns a monotonic time that does not include time
// for which the instance was suspended, as its timers do not either.
func New(clock func() time.Duration) *Monitor {
	return &Monitor{clock: clock}
}

// Now returns the time of the monitor's clock.
func (m *Monitor) Now() time.Duration { return m.clock() }

// Begin records that a probe begins that was due at the given time, which may be past.
func (m *Monitor) Begin(due time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.probing, m.due = true, due
}

// End records that the probe was handled and reports whether it was on time.
func (m *Monitor) End() (onTime bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock()
	delay := now - m.due
	m.waited += max(delay-tolerance, 0)
	m.longest = max(m.longest, delay)
	m.due = now
	if delay <= maxDelay {
		m.late = false
		m.due += ProbeInterval
		return true
	}
	if !m.late {
		m.late, m.lateSince = true, now
	}
	return false
}

// Stop records that no more probes follow.
func (m *Monitor) Stop() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.probing, m.late = false, false
}

// Late reports whether the last probe was late, or the one in progress or due is. A process that was
// stopped may handle other events before its next probe.
func (m *Monitor) Late() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.observe()
	return m.late
}

// observe records that the probe in progress or due is late, if it is. The caller runs, so the process is
// not stopped. The caller must hold m.mu.
func (m *Monitor) observe() {
	if now := m.clock(); !m.late && m.probing && now-m.due > maxDelay {
		m.late, m.lateSince = true, now
	}
}

// Standing returns for how long all probes have been late, counted from the first call or end of a
// probe that found it. A process that was stopped finds it when it runs again. It is 0 if the last
// probe was on time.
//
// A process with a quota of processor time is stopped whenever it has used up the quota of a period.
// If it has no work left before the next stop, a probe in between is on time.
func (m *Monitor) Standing() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.observe()
	if !m.late {
		return 0
	}
	return m.clock() - m.lateSince
}

// Waited returns for how long the process has waited for the processor since its start.
func (m *Monitor) Waited() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.probing {
		return m.waited
	}
	return m.waited + max(m.clock()-m.due-tolerance, 0)
}

// TakeLongest returns the longest delay of a probe since its last call.
func (m *Monitor) TakeLongest() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	longest := m.longest
	m.longest = 0
	return longest
}
