package daemon

import "time"

const (
	// malformedLogInterval is the minimum time between two log lines on the same malformed
	// entry. Its writer may write it with each heartbeat.
	malformedLogInterval = time.Minute
	// maxMalformedEntries is the maximum number of such entries that are tracked. While it
	// is reached, further entries are not logged.
	maxMalformedEntries = 64
)

// malformedEntries limits log lines on malformed entries. It holds the time of the last line
// by server id.
type malformedEntries map[string]time.Time

// shouldLog reports whether a malformed entry is to be logged now, and records that it was.
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
