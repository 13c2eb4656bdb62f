package chains

import (
	"time"

	"github.com/skylarkwood/skylarkwood/internal/coordination/spread"
	"github.com/skylarkwood/skylarkwood/internal/model"
)

const (
	// slowStartPeriod is how long an engine that has just loaded is in slow start. Counts of
	// routers in other failure domains take as long to arrive.
	slowStartPeriod = 2500 * time.Millisecond
	// maxSlowStartLoad is the share of its time that all routers together give to reading
	// prompts by the end of slow start.
	maxSlowStartLoad = 0.8
	// startupPeriod is the age of this process up to which all engines are new to it; none
	// is put in slow start then.
	startupPeriod = time.Second
)

// engineRecord is this router's use of an engine since the engine holds its layers.
type engineRecord struct {
	layers         model.LayerRange
	since          time.Time
	prefillSeconds float64 // on reading there, in seconds of the engine's time
}

// Observe notes which layers an engine holds, and since when.
func (m *UsageTracker) Observe(inc model.Incarnation, layers model.LayerRange) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.record(inc, layers)
}

// record is Observe for those who hold the lock.
func (m *UsageTracker) record(inc model.Incarnation, layers model.LayerRange) *engineRecord {
	a, ok := m.records[inc]
	if ok && a.layers == layers {
		return a
	}
	a = &engineRecord{layers: layers, since: m.now()}
	if !ok && m.now().Sub(m.started) < startupPeriod {
		a.since = m.started.Add(-slowStartPeriod)
	}
	m.records[inc] = a
	return a
}

// Retain forgets the engines that are not known any more.
func (m *UsageTracker) Retain(known func(inc model.Incarnation) bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for inc := range m.records {
		if !known(inc) {
			delete(m.records, inc)
		}
	}
}

// defers tells whether this router leaves an engine in slow start to other routers for
// now. seconds is the time that the engine would read the prompt.
//
// A loaded engine looks idle to all routers at once. Each takes an equal share of its
// time, which grows from none, and a phase by hash keeps them from beginning together.
func (m *UsageTracker) defers(self string, inc model.Incarnation, layers model.LayerRange, seconds float64, routers int) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	a := m.record(inc, layers)
	age := m.now().Sub(a.since)
	if age >= slowStartPeriod {
		return false
	}
	const steps = 1 << 16
	phase := float64(spread.Hash(self, inc.ID)%steps) / steps
	mine := maxSlowStartLoad * age.Seconds() / float64(max(routers, 1))
	return a.prefillSeconds+phase*seconds > mine
}
