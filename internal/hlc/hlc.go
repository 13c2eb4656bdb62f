// Package hlc implements a hybrid logical clock (Kulkarni et al., 2014): physical
// milliseconds with a counter, so that events of processes with different clocks sort in
// causal order.
package hlc

import (
	"cmp"
	"sync"
	"time"
)

// Timestamp is one reading of a clock. The zero value is before every reading.
type Timestamp struct {
	Wall    int64 `json:"w"` // milliseconds since the epoch
	Logical int64 `json:"l"`
}

// Before reports whether t is earlier than o.
func (t Timestamp) Before(o Timestamp) bool { return t.Compare(o) < 0 }

// Compare returns -1 if t is earlier than o, 1 if it is later, and 0 if they are equal.
func (t Timestamp) Compare(o Timestamp) int {
	return cmp.Or(cmp.Compare(t.Wall, o.Wall), cmp.Compare(t.Logical, o.Logical))
}

// MaxAhead is how far a peer's clock may advance this clock. Otherwise a peer whose clock
// is far ahead would make later events sort wrongly against those of other processes.
const MaxAhead = time.Minute

// Clock returns strictly increasing timestamps. It is safe for concurrent use.
type Clock struct {
	mu   sync.Mutex
	last Timestamp
	now  func() time.Time
}

// New returns a clock based on a source of physical time.
func New(now func() time.Time) *Clock {
	return &Clock{now: now}
}

// Now returns the timestamp of a local event or of a message to be sent.
func (c *Clock) Now() Timestamp {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.advance(Timestamp{})
}

// Observe advances the clock past the timestamp of a received message and returns the new
// reading. Timestamps that are too far ahead are ignored.
func (c *Clock) Observe(remote Timestamp) Timestamp {
	c.mu.Lock()
	defer c.mu.Unlock()
	if remote.Wall > c.now().Add(MaxAhead).UnixMilli() {
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
