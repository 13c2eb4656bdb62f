package clientbudget

import (
	"math"
	"sync"
	"time"
)

// expectationHalfLife is the time in which an expected size halves without a part of that size.
const expectationHalfLife = time.Minute

// Expected remembers the largest recent parts of answers by service, so that their memory can be taken
// before a request is accepted. It is safe for concurrent use. The zero value expects nothing.
type Expected struct {
	// Now returns the time; nil selects time.Now.
	Now func() time.Time

	mu    sync.Mutex
	sizes map[string]expectedSize
}

type expectedSize struct {
	bytes int64
	at    time.Time
}

// Size returns the size in bytes of the largest part that is expected of a service.
func (e *Expected) Size(service string) int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.sizes[service].after(e.now())
}

// Observe records the size in bytes of a part of an answer of a service.
func (e *Expected) Observe(service string, size int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.sizes == nil {
		e.sizes = map[string]expectedSize{}
	}
	now := e.now()
	if size >= e.sizes[service].after(now) {
		e.sizes[service] = expectedSize{size, now}
	}
}

func (e *Expected) now() time.Time {
	if e.Now != nil {
		return e.Now()
	}
	return time.Now()
}

func (s expectedSize) after(now time.Time) int64 {
	return int64(float64(s.bytes) * math.Exp2(-now.Sub(s.at).Seconds()/expectationHalfLife.Seconds()))
}
