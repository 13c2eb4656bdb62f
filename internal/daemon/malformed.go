package daemon

import "time"

const (
	// malformedLogInterval is how long an entry that names no server is not logged again: its
	// writer may write it each heartbeat, and each would be a line in every router.
	malformedLogInterval = time.Minute
	// maxMalformedEntries is how many such entries are remembered; beyond it nothing is logged
	// until the oldest are forgotten.
	maxMalformedEntries = 64
)

// malformedEntries bounds the log lines on entries that name no server.
type malformedEntries map[string]time.Time

// shouldLog tells whether an entry is to be logged now.
func (m malformedEntries) shouldLog(id string, now time.Time) bool {
	for otherID, at := range m {
		if now.Sub(at) > malformedLogInterval {
			delete(m, otherID)
		}
	}
	if _, ok := m[id]; ok || len(m) >= maxMalformedEntries {
		return false
	}
	m[id] = now
	return true
}
