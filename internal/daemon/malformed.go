package daemon

import "time"

const (
	// malformedInterval is how long an entry that names no server is not logged again: its
	// writer may write it each heartbeat, and each would be a line in every router.
	malformedInterval = time.Minute
	// mostMalformed is how many such entries are remembered; beyond it nothing is logged
	// until the oldest are forgotten.
	mostMalformed = 64
)

// malformedEntries bounds the log lines on entries that name no server.
type malformedEntries map[string]time.Time

// first tells whether an entry is to be logged now.
func (o malformedEntries) first(id string, now time.Time) bool {
	for other, at := range o {
		if now.Sub(at) > malformedInterval {
			delete(o, other)
		}
	}
	if _, ok := o[id]; ok || len(o) >= mostMalformed {
		return false
	}
	o[id] = now
	return true
}
