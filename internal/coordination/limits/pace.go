package limits

import (
	"sync"
	"time"
)

const (
	// maxStepRatio is how much slower than without load a step may be before the limit is
	// reduced. A full engine always has a batch waiting, which doubles a step's duration.
	// Two more batches cover random gaps between arrivals. Lower ratios leave throughput
	// unused at overload: 2.5 gave 0.87 of the bound, 4 gave 0.95, with a longer time
	// between tokens.
	maxStepRatio = 4.0
	// stepWeight is the weight of the newest step in the smoothed duration.
	stepWeight = 0.02
	// adjustInterval is the time between two changes of the limit.
	adjustInterval = 250 * time.Millisecond
	// decreaseFactor is what the limit is multiplied by when steps are too slow.
	decreaseFactor = 0.93
)

// ConcurrencyLimiter finds how many sessions an engine can serve, from the duration of
// its steps. Unlike the engine's load reports, its steps show the load without delay.
type ConcurrencyLimiter struct {
	now          func() time.Time
	unloadedStep time.Duration // duration of a step without load; 0 until known
	minLimit     float64
	maxLimit     float64

	mu           sync.Mutex
	smoothedStep time.Duration
	limit        float64
	adjustedAt   time.Time
}

// NewConcurrencyLimiter returns a limiter between minLimit sessions, which fill the
// engine's batches, and maxLimit. unloadedStep is the duration of a step without load.
func NewConcurrencyLimiter(minLimit, maxLimit int, unloadedStep time.Duration, now func() time.Time) *ConcurrencyLimiter {
	minLimit = min(minLimit, maxLimit)
	return &ConcurrencyLimiter{
		now:          now,
		unloadedStep: unloadedStep,
		minLimit:     float64(minLimit),
		maxLimit:     float64(maxLimit),
		limit:        float64(min(2*minLimit, maxLimit)),
		adjustedAt:   now(),
	}
}

// RecordStep records the duration of one step and the number of active sessions.
func (l *ConcurrencyLimiter) RecordStep(d time.Duration, active int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.smoothedStep == 0 {
		l.smoothedStep = d
	}
	l.smoothedStep += time.Duration(stepWeight * float64(d-l.smoothedStep))
	if l.now().Sub(l.adjustedAt) < adjustInterval {
		return
	}
	l.adjustedAt = l.now()
	switch {
	case float64(l.smoothedStep) > maxStepRatio*float64(l.unloadedStep):
		l.limit = max(l.minLimit, l.limit*decreaseFactor)
	case float64(active) >= 0.9*l.limit:
		l.limit = min(l.maxLimit, l.limit+max(1, l.minLimit/8))
	}
}

// Limit returns how many sessions may be active now.
func (l *ConcurrencyLimiter) Limit() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return int(l.limit)
}
