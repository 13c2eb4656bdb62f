package relay

import (
	"time"

	"github.com/skylarkwood/skylarkwood/internal/coordination/chains"
)

// unmetInterval is the minimum time between two records of one request as unmet demand. A
// record is remembered for as long.
const unmetInterval = time.Second

// recordUnmet records that the request waits or is refused for lack of interconnect capacity.
func (q *request) recordUnmet(requirements chains.Requirements) {
	now := q.Now()
	if now.Sub(q.unmetAt) < unmetInterval {
		return
	}
	q.unmetAt = now
	q.Chooser.RecordUnmet(q.admitted.Service, requirements, q.promptTokens())
}
