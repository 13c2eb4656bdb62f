package catalog

import (
	"sync"
	"time"

	"github.com/skylarkwood/skylarkwood/internal/state/shard"
)

const (
	// firstSuspicion is how long a backend server gets nothing after direct
	// evidence against it; it doubles with each further strike up to
	// longestSuspicion. A restarted engine is back under a new id, so only cut
	// off and slow ones wait it out.
	firstSuspicion   = time.Second
	longestSuspicion = 8 * time.Second
	// failureWeight is the weight of the newest outcome in the failure share:
	// some ten requests decide.
	failureWeight = 0.15
	// latencyWeight is the weight of the newest latency.
	latencyWeight = 0.1
)

// Health is the direct evidence about backend servers, by id.
type Health struct {
	now     func() time.Time
	records *shard.Map[*record]
}

type record struct {
	mu       sync.Mutex
	until    time.Time // suspected until then
	strikes  int
	failures float64 // smoothed share of failed requests
	latency  time.Duration
	active   int // requests of this process that run there
}

// NewHealth makes an empty record.
func NewHealth(now func() time.Time) *Health {
	return &Health{now: now, records: shard.New[*record]()}
}

func (h *Health) with(id string, f func(*record)) {
	r, _ := h.records.GetOrPut(id, func() *record { return &record{} })
	r.mu.Lock()
	defer r.mu.Unlock()
	f(r)
}

// Suspect records evidence that a backend server does not do its work. It tells
// until when it gets nothing, and whether that is news.
func (h *Health) Suspect(id string) (until time.Time, news bool) {
	now := h.now()
	h.with(id, func(r *record) {
		if now.Before(r.until) {
			until = r.until
			return
		}
		news = true
		d := min(firstSuspicion<<min(r.strikes, 6), longestSuspicion)
		r.strikes++
		r.until = now.Add(d)
		until = r.until
	})
	return until, news
}

// SuspectUntil takes in another router's suspicion.
func (h *Health) SuspectUntil(id string, until time.Time) {
	h.with(id, func(r *record) {
		if until.After(r.until) {
			r.until = until
		}
	})
}

// Clear takes in proof that a backend server works.
func (h *Health) Clear(id string) {
	h.with(id, func(r *record) {
		r.until = time.Time{}
		r.strikes = 0
	})
}

// Suspected tells whether a backend server should get nothing now.
func (h *Health) Suspected(id string) bool {
	r, ok := h.records.Get(id)
	if !ok {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return h.now().Before(r.until)
}

// Begin and End bracket a request of this process at a backend server.
func (h *Health) Begin(id string) { h.with(id, func(r *record) { r.active++ }) }

// End takes in how a request went. latency is 0 where it says nothing.
func (h *Health) End(id string, ok bool, latency time.Duration) {
	h.with(id, func(r *record) {
		r.active--
		failed := 1.0
		if ok {
			failed = 0
			r.strikes = 0
		}
		r.failures += failureWeight * (failed - r.failures)
		if latency <= 0 {
			return
		}
		if r.latency == 0 {
			r.latency = latency
		}
		r.latency += time.Duration(latencyWeight * float64(latency-r.latency))
	})
}

// View is the evidence about one backend server.
type View struct {
	Suspected bool
	Failures  float64
	Latency   time.Duration
	Active    int
}

// View reads the evidence about one backend server.
func (h *Health) View(id string) View {
	var v View
	now := h.now()
	h.with(id, func(r *record) {
		v = View{Suspected: now.Before(r.until), Failures: r.failures, Latency: r.latency, Active: r.active}
	})
	return v
}
