package admission

import (
	"sync"
	"time"
)

// shortageGap is the time without a refusal after which a shortage has ended. Routers of small
// services refuse less than one request a second even in a lasting shortage.
const shortageGap = 3 * time.Second

// Shortages records since when requests of each service have met each shortage. The zero value
// is ready for use, also by several goroutines.
type Shortages struct {
	mu   sync.Mutex
	seen map[shortageKey]shortagePeriod
}

type shortageKey struct{ service, reason string }

type shortagePeriod struct{ first, last time.Time }

// Record records that a request met a shortage and returns when the shortage was first met.
func (s *Shortages) Record(now time.Time, service, reason string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.seen == nil {
		s.seen = map[shortageKey]shortagePeriod{}
	}
	key := shortageKey{service, reason}
	p, ok := s.seen[key]
	if !ok || now.Sub(p.last) > shortageGap {
		p.first = now
	}
	p.last = now
	s.seen[key] = p
	return p.first
}
