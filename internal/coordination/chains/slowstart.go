package chains

import (
	"time"

	"github.com/skylarkwood/skylarkwood/internal/coordination/spread"
	"github.com/skylarkwood/skylarkwood/internal/model"
)

const (
	// slowStartPeriod is how long an engine is in slow start after it loaded layers. Usage
	// reports of routers in other failure domains take up to this long to arrive.
	slowStartPeriod = 2500 * time.Millisecond
	// maxSlowStartLoad is the share of an engine's time that the prefill of all routers may
	// reach by the end of slow start.
	maxSlowStartLoad = 0.8
	// startupPeriod is the time after the start of this process in which new engines skip
	// slow start, because all engines are new to the process.
	startupPeriod = time.Second
)

// engineRecord is this router's use of an engine since the engine loaded its layers.
type engineRecord struct {
	layers         model.LayerRange
	since          time.Time
	prefillSeconds float64 // prefill of this router at the engine
}

// Observe records which layers an engine holds. A change of layers starts slow start.
func (t *UsageTracker) Observe(inc model.Incarnation, layers model.LayerRange) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.record(inc, layers)
}

// record implements Observe. The caller holds the lock.
func (t *UsageTracker) record(inc model.Incarnation, layers model.LayerRange) *engineRecord {
	r, ok := t.records[inc]
	if ok && r.layers == layers {
		return r
	}
	r = &engineRecord{layers: layers, since: t.now()}
	if !ok && t.now().Sub(t.started) < startupPeriod {
		r.since = t.started.Add(-slowStartPeriod)
	}
	t.records[inc] = r
	return r
}

// Retain removes the records of engines that are not known.
func (t *UsageTracker) Retain(known func(inc model.Incarnation) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for inc := range t.records {
		if !known(inc) {
			delete(t.records, inc)
		}
	}
}

// defers reports whether this router should leave an engine in slow start to other routers
// for now. seconds is the prefill time of the prompt at the engine.
//
// A newly loaded engine looks idle to all routers. Each router may use an equal share of
// its time, which grows from zero. A phase derived from a hash prevents routers from
// starting at the same time.
func (t *UsageTracker) defers(self string, inc model.Incarnation, layers model.LayerRange, seconds float64, routers int) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.record(inc, layers)
	age := t.now().Sub(r.since)
	if age >= slowStartPeriod {
		return false
	}
	const steps = 1 << 16
	phase := float64(spread.Hash(self, inc.ID)%steps) / steps
	limit := maxSlowStartLoad * age.Seconds() / float64(max(routers, 1))
	return r.prefillSeconds+phase*seconds > limit
}
