package relay

import (
	"math/rand/v2"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/skylarkwood/skylarkwood/internal/model"
)

const (
	// leaveMargin is how long before an engine may end its last streams should have
	// left it: the news took up to half a second, and a move takes a tenth.
	leaveMargin = 800 * time.Millisecond
	// leaveSpread is over how long streams leave it. Moved at one moment they would
	// read their tokens at the same few engines, and each wait for all of them.
	leaveSpread = time.Second
	// rememberLeaving is for how long an engine's leaving is not news again.
	rememberLeaving = 30 * time.Second
)

// departures are the engines that are about to leave, and since when that is known.
type departures struct {
	mu    sync.Mutex
	since map[model.Incarnation]time.Time
}

// news notes an engine and tells whether it was not known to leave.
func (d *departures) news(inc model.Incarnation, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.since == nil {
		d.since = map[model.Incarnation]time.Time{}
	}
	for known, at := range d.since {
		if now.Sub(at) > rememberLeaving {
			delete(d.since, known)
		}
	}
	if _, known := d.since[inc]; known {
		return false
	}
	d.since[inc] = now
	return true
}

// EngineLeaves takes in that an engine drains, or was taken off the list. It serves on
// for a while and then ends, whatever runs through it: long streams would be broken off
// and pause for as long as a loss takes to be noticed and mended. Most end before that;
// the others are moved shortly before, one after the other, while the engine still
// serves and the pause is that of reading their tokens. A stream that cannot be moved
// stays.
func (r *Relay) EngineLeaves(inc model.Incarnation) {
	if !r.departures.news(inc, r.Now()) {
		return
	}
	wait := max(r.EngineDrain-leaveMargin-leaveSpread, 0)
	time.AfterFunc(wait, func() {
		moving := 0
		for _, w := range r.Running.through(inc) {
			moving++
			time.AfterFunc(rand.N(leaveSpread), func() { w.leave(inc, engineLeaves) })
		}
		if moving > 0 {
			klog.InfoS("engine leaves: its streams are moved", "server", inc, "streams", moving, "over", leaveSpread)
		}
	})
}
