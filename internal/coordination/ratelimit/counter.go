package ratelimit

import "time"

const (
	slotCount    = 16
	slotDuration = window / slotCount
)

// counter counts the requests of the last window in slots of equal duration.
type counter struct {
	slots [slotCount]uint16
	last  int64 // number of the newest slot, counted from the start of the clock
}

// advance clears the slots that have left the window.
func (c *counter) advance(now time.Duration) {
	current := int64(now / slotDuration)
	for n := max(c.last+1, current-slotCount+1); n <= current; n++ {
		c.slots[n%slotCount] = 0
	}
	c.last = max(c.last, current)
}

func (c *counter) add(now time.Duration) {
	c.advance(now)
	c.slots[c.last%slotCount]++
}

// remove takes back the newest request, if it is still in the window.
func (c *counter) remove(now time.Duration) {
	c.advance(now)
	for slot := c.last; slot > c.last-slotCount; slot-- {
		if n := &c.slots[slot%slotCount]; *n > 0 {
			*n--
			return
		}
	}
}

func (c *counter) sum(now time.Duration) int {
	c.advance(now)
	total := 0
	for _, n := range c.slots {
		total += int(n)
	}
	return total
}

// waitUntilBelow returns how long it takes until fewer than limit of the requests that were
// sent before a time are in the window.
func (c *counter) waitUntilBelow(now, before time.Duration, limit int) time.Duration {
	c.advance(now)
	newest := min(int64(before/slotDuration), c.last)
	total := 0
	for slot := newest; slot > c.last-slotCount; slot-- {
		total += int(c.slots[slot%slotCount])
		if total >= limit {
			return time.Duration(slot+slotCount)*slotDuration - now
		}
	}
	return 0
}
