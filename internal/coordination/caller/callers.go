package caller

import (
	"sync"
	"time"
)

// Callers are the callers of the requests in progress. While the process handles network events late, the
// reads that wait for the ends of connections are late too, by as much as all other work that waits. Then
// whoever has the processor checks all callers whose requests are at servers, so that the work for the
// departed ends. A nil Callers is empty.
type Callers struct {
	// Late reports whether the process handles network events late.
	Late func() bool

	mu      sync.Mutex
	all     map[*Caller]struct{}
	checked time.Time
}

// checkAllInterval is the interval between two checks of all callers.
const checkAllInterval = 100 * time.Millisecond

func (s *Callers) add(c *Caller) {
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.all == nil {
		s.all = map[*Caller]struct{}{}
	}
	s.all[c] = struct{}{}
}

func (s *Callers) remove(c *Caller) {
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.all, c)
}

// CheckIfLate checks all callers whose requests were sent, if the process is late and the last check was
// checkAllInterval ago. It is cheap otherwise and may be called with each network event.
func (s *Callers) CheckIfLate() {
	if s == nil || !s.Late() {
		return
	}
	for _, c := range s.due(time.Now()) {
		if c.waitsForServer() {
			c.check(Sweep)
		}
	}
}

// due returns all callers if they are to be checked now.
func (s *Callers) due(now time.Time) []*Caller {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.checked) < checkAllInterval {
		return nil
	}
	s.checked = now
	all := make([]*Caller, 0, len(s.all))
	for c := range s.all {
		all = append(all, c)
	}
	return all
}
