package relay

import (
	"time"
)

// unmetInterval is the minimum time between two records of one request as unmet demand. Package
// share counts a record for this time.
const unmetInterval = time.Second

// recordUnmet records, at most once per unmetInterval, that the request waits or is refused for
// lack of interconnect capacity.
func (c *chainSearch) recordUnmet() {
	now := c.Now()
	if now.Sub(c.unmetAt) < unmetInterval {
		return
	}
	c.unmetAt = now
	c.Chooser.RecordUnmet(c.admitted.Service, c.requirements, c.promptTokens())
}
