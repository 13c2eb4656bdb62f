package transfer

import (
	"sync"
	"time"
)

const (
	// maxUploads is how many peers receive values from a router at the same time. Further
	// ones ask elsewhere: few at a time finish sooner than all at once.
	maxUploads = 3
	// uploadTimeout is how long a peer may pause before another one takes its place.
	uploadTimeout = time.Second
)

// Uploads limits how many peers receive large values from this router at the same time. It
// is safe for concurrent use.
type Uploads struct {
	clock func() time.Duration

	mu     sync.Mutex
	active map[string]time.Duration // last part sent, by address
}

// NewUploads returns Uploads without peers. clock is monotonic.
func NewUploads(clock func() time.Duration) *Uploads {
	return &Uploads{clock: clock, active: map[string]time.Duration{}}
}

// Admit reports whether a peer may receive the next part of a value. last is set for the
// final part.
func (u *Uploads) Admit(peer string, last bool) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := u.clock()
	for addr, at := range u.active {
		if now-at > uploadTimeout {
			delete(u.active, addr)
		}
	}
	if _, receiving := u.active[peer]; !receiving && len(u.active) >= maxUploads {
		return false
	}
	u.active[peer] = now
	if last {
		delete(u.active, peer)
	}
	return true
}
