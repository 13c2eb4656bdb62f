package chains

import (
	"time"

	"github.com/skylarkwood/skylarkwood/internal/coordination/spread"
	"github.com/skylarkwood/skylarkwood/internal/model"
)

const (
	// youngTime is for how long an engine that has just loaded is young: until routers of
	// other failure domains have told what they do there, where they are a hundred.
	youngTime = 2500 * time.Millisecond
	// youngShare is the part of a young engine's time that all routers together give to
	// reading prompts; what is left makes tokens.
	youngShare = 0.8
	// settledAfter is the age of this process from which on an engine that it had not
	// met is a new one; before, all of them are new to it.
	settledAfter = time.Second
)

// acquaintance is what a router has done with an engine since that holds its layers.
type acquaintance struct {
	layers model.LayerRange
	since  time.Time
	spent  float64 // on reading there, in seconds of the engine's time
}

// Meet notes which layers an engine holds, and since when.
func (m *Memory) Meet(inc model.Incarnation, layers model.LayerRange) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.meet(inc, layers)
}

// meet is Meet for those who hold the lock.
func (m *Memory) meet(inc model.Incarnation, layers model.LayerRange) *acquaintance {
	a, ok := m.met[inc]
	if ok && a.layers == layers {
		return a
	}
	a = &acquaintance{layers: layers, since: m.now()}
	if !ok && m.now().Sub(m.began) < settledAfter {
		a.since = m.began.Add(-youngTime)
	}
	m.met[inc] = a
	return a
}

// Retain forgets the engines that are not known any more.
func (m *Memory) Retain(known func(inc model.Incarnation) bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for inc := range m.met {
		if !known(inc) {
			delete(m.met, inc)
		}
	}
}

// spares tells whether this router leaves a young engine to others for now, though
// reading a prompt there would take it only so many seconds.
//
// An engine that has just loaded looks idle to all routers at one moment. They hear of
// each other too late: each would send what comes next there, and within half a second
// its prompts would wait for as long as a first event may take. So each takes an equal
// share of its time, from none at the beginning, and not all begin together.
func (m *Memory) spares(self string, inc model.Incarnation, layers model.LayerRange, seconds float64, routers int) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	a := m.meet(inc, layers)
	age := m.now().Sub(a.since)
	if age >= youngTime {
		return false
	}
	const steps = 1 << 16
	phase := float64(spread.Hash(self, inc.ID)%steps) / steps
	mine := youngShare * age.Seconds() / float64(max(routers, 1))
	return a.spent+phase*seconds > mine
}
