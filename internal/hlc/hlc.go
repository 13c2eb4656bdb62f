// Package hlc is a hybrid logical clock (Kulkarni and others, 2014): physical
// milliseconds with a counter, so that events of processes whose clocks differ
// still sort in causal order.
package hlc

import (
	"sync"
	"time"
)

// Timestamp is one reading. The zero value is before every reading.
type Timestamp struct {
	Wall    int64 `json:"w"` // milliseconds since the epoch
	Logical int64 `json:"l"`
}

// Before tells whether t is earlier than o.
func (t Timestamp) Before(o Timestamp) bool {
	if t.Wall != o.Wall {
		return t.Wall < o.Wall
	}
	return t.Logical < o.Logical
}

// maxAhead bounds how far a peer's clock may pull ours: a peer whose clock is
// set to next year would otherwise make every later event here sort wrongly
// against processes that never heard from it.
const maxAhead = time.Minute

// Clock gives readings that never go back.
type Clock struct {
	mu   sync.Mutex
	last Timestamp
	now  func() time.Time
}

// New makes a clock on a source of physical time.
func New(now func() time.Time) *Clock {
	return &Clock{now: now}
}

// Now reads the clock for a local event or a message to be sent.
func (c *Clock) Now() Timestamp {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.advance(Timestamp{})
}

// Observe takes in the reading that came with a message.
func (c *Clock) Observe(remote Timestamp) Timestamp {
	c.mu.Lock()
	defer c.mu.Unlock()
	if remote.Wall > c.now().Add(maxAhead).UnixMilli() {
		remote = Timestamp{}
	}
	return c.advance(remote)
}

func (c *Clock) advance(remote Timestamp) Timestamp {
	next := c.last
	if next.Before(remote) {
		next = remote
	}
	next.Logical++
	if wall := c.now().UnixMilli(); wall > next.Wall {
		next = Timestamp{Wall: wall}
	}
	c.last = next
	return next
}
