package daemon

import "time"

const (
	// oddAgain is how long an entry that names no server is not logged again: its
	// writer may write it each heartbeat, and each would be a line in every router.
	oddAgain = time.Minute
	// oddMost is how many such entries are remembered; beyond it nothing is logged
	// until the oldest are forgotten.
	oddMost = 64
)

// oddEntries bounds the log lines on entries that name no server.
type oddEntries map[string]time.Time

// first tells whether an entry is to be logged now.
func (o oddEntries) first(id string, now time.Time) bool {
	for other, at := range o {
		if now.Sub(at) > oddAgain {
			delete(o, other)
		}
	}
	if _, ok := o[id]; ok || len(o) >= oddMost {
		return false
	}
	o[id] = now
	return true
}
