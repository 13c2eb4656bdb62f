package caller

import (
	"sync"
	"time"
)

// Callers are the callers of the requests in progress. A nil Callers is empty.
//
// A process that lacks processor time handles network events late, and so the reads that wait for the
// ends of connections. Goroutines that run call CheckIfLate, so that servers learn of departures anyway.
type Callers struct {
	// Late reports whether the process handles network events late.
	Late func() bool

	mu      sync.Mutex
	all     map[*Caller]struct{}
	checked time.Time
}

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

// CheckIfLate checks all callers whose requests were sent to servers, if the process is late and the last
// call that did so was checkInterval ago. Otherwise it is cheap enough for each network event.
func (s *Callers) CheckIfLate() {
	if s == nil || !s.Late() {
		return
	}
	for _, c := range s.due(time.Now()) {
		if c.waitsForServer() {
			c.check(All)
		}
	}
}

// due returns all callers if they are to be checked now.
func (s *Callers) due(now time.Time) []*Caller {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.checked) < checkInterval {
		return nil
	}
	s.checked = now
	all := make([]*Caller, 0, len(s.all))
	for c := range s.all {
		all = append(all, c)
	}
	return all
}
