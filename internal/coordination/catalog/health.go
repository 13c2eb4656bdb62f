package catalog

import (
	"math"
	"sync"
	"time"

	"github.com/skylarkwood/skylarkwood/internal/model"
	"github.com/skylarkwood/skylarkwood/internal/state/shard"
)

const (
	// firstSuspicion is how long a backend server gets nothing after direct
	// evidence against it; it doubles with each further one up to
	// longestSuspicion. A restarted engine is another incarnation, so only cut
	// off and slow ones wait it out.
	firstSuspicion   = time.Second
	longestSuspicion = 8 * time.Second
	// trialEvery is how often a backend server whose suspicion ran out is tried,
	// until one piece of work has shown that it works. Without it each request
	// of the moment is sent there, and what is refused uses up the budget for
	// repeated sends. A stream shows it with its first event, after 100 ms.
	trialEvery = 300 * time.Millisecond
	// sameWord is how much later another router's suspicion must end to be a
	// new one: it is told again and again, as the time that is left of it.
	sameWord = 300 * time.Millisecond
	// failureWeight is the weight of the newest outcome in the failure share:
	// some ten requests decide.
	failureWeight = 0.15
	// failureMemory is how fast the failure share fades while no outcome comes: a
	// backend server that is avoided for it would else be avoided for good.
	failureMemory = 15 * time.Second
	// latencyWeight is the weight of the newest latency.
	latencyWeight = 0.1
)

// Health is the direct evidence about backend servers, by incarnation: a server that
// starts again is judged anew.
type Health struct {
	now     func() time.Time
	records *shard.Map[model.Incarnation, *record]
}

type record struct {
	mu           sync.Mutex
	until        time.Time // suspected until then
	since        time.Time // when the suspicion was last raised or confirmed
	trial        time.Time // not tried again before
	refuses      time.Time // refuses work until then, as far as known
	failureCount int       // suspicions in a row, and lasting refusals
	failures     float64   // smoothed share of failed requests, as of judged
	judged       time.Time
	latency      time.Duration
	active       int // requests of this process that run there
}

// NewHealth makes an empty record.
func NewHealth(now func() time.Time) *Health {
	return &Health{now: now, records: shard.New[model.Incarnation, *record]()}
}

func (h *Health) with(inc model.Incarnation, f func(*record)) {
	r, _ := h.records.GetOrPut(inc, func() *record { return &record{} })
	r.mu.Lock()
	defer r.mu.Unlock()
	f(r)
}

// Suspect records evidence that a backend server does not do its work. It tells
// until when it gets nothing, and whether that is news.
func (h *Health) Suspect(inc model.Incarnation) (until time.Time, news bool) {
	now := h.now()
	h.with(inc, func(r *record) {
		if now.Before(r.until) {
			r.since = now
			until = r.until
			return
		}
		news = true
		d := r.nextSuspicion()
		r.failureCount++
		r.since = now
		r.until = now.Add(d)
		until = r.until
	})
	return until, news
}

// SuspectUntil takes in another router's suspicion.
func (h *Health) SuspectUntil(inc model.Incarnation, until time.Time) {
	h.with(inc, func(r *record) {
		if until.After(r.until) {
			r.since = h.now()
			r.until = until
		}
	})
}

// RecordRefusal takes in that a backend server refused work of this router and gets
// none until then. A lasting refusal counts as a failure.
func (h *Health) RecordRefusal(inc model.Incarnation, until time.Time, lasting bool) {
	h.with(inc, func(r *record) {
		r.since = h.now()
		r.until = until
		r.refuses = until
		if lasting {
			r.failureCount++
		}
		r.failureCount = max(r.failureCount, 1)
	})
}

// NextSuspicionPeriod is how long the next suspicion lasts: it doubles with each
// failure.
func (h *Health) NextSuspicionPeriod(inc model.Incarnation) time.Duration {
	d := firstSuspicion
	h.with(inc, func(r *record) { d = r.nextSuspicion() })
	return d
}

func (r *record) nextSuspicion() time.Duration {
	return min(firstSuspicion<<min(r.failureCount, 6), longestSuspicion)
}

// SuspectFromPeer takes in that another router's work was refused, and until
// when nobody should send more. It counts as a failure here as well.
func (h *Health) SuspectFromPeer(inc model.Incarnation, until time.Time) {
	now := h.now()
	h.with(inc, func(r *record) {
		if !until.After(r.until.Add(sameWord)) {
			return
		}
		if !now.Before(r.until) {
			r.failureCount++
		}
		r.since = now
		r.until = until
		r.refuses = until
	})
}

// RecordAttempt takes in that a backend server is given work. One whose suspicion ran out
// is not tried again for a moment.
func (h *Health) RecordAttempt(inc model.Incarnation) {
	r, ok := h.records.Get(inc)
	if !ok {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.failureCount > 0 {
		r.trial = h.now().Add(trialEvery)
	}
}

// ClearSuspicion takes in proof that a backend server did work that it was given at some
// time. Work from before a suspicion proves nothing against it.
func (h *Health) ClearSuspicion(inc model.Incarnation, given time.Time) {
	h.with(inc, func(r *record) {
		if given.Before(r.since) {
			return
		}
		r.until = time.Time{}
		r.refuses = time.Time{}
		r.trial = time.Time{}
		r.failureCount = 0
	})
}

// RecordProbeSuccess takes in that a backend server answered what it was asked at some time, and
// tells whether that counts. Its failure count stays until it has done work: one that answers
// and does nothing would else be tried again every second. A refusal of work stays its
// time: an engine that drains answers. An answer that was asked for before the
// suspicion was last raised or confirmed says nothing against it; requests would go
// where one has just been lost or refused.
func (h *Health) RecordProbeSuccess(inc model.Incarnation, asked time.Time) (counts bool) {
	h.with(inc, func(r *record) {
		if asked.Before(r.since) {
			return
		}
		r.until = r.refuses
		counts = true
	})
	return counts
}

// Suspected tells whether a backend server should get nothing now.
func (h *Health) Suspected(inc model.Incarnation) bool {
	r, ok := h.records.Get(inc)
	if !ok {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.suspected(h.now())
}

func (r *record) suspected(now time.Time) bool {
	return now.Before(r.until) || r.failureCount > 0 && now.Before(r.trial)
}

// Begin and End bracket a request of this process at a backend server.
func (h *Health) Begin(inc model.Incarnation) { h.with(inc, func(r *record) { r.active++ }) }

// End takes in how a request went. latency is 0 where it says nothing.
func (h *Health) End(inc model.Incarnation, ok bool, latency time.Duration) {
	h.with(inc, func(r *record) {
		r.active--
		if ok {
			r.failureCount = 0
		}
		r.judge(h.now(), ok)
		if latency <= 0 {
			return
		}
		if r.latency == 0 {
			r.latency = latency
		}
		r.latency += time.Duration(latencyWeight * float64(latency-r.latency))
	})
}

// Cancel ends a request that tells nothing of its server: its caller left.
func (h *Health) Cancel(inc model.Incarnation) { h.with(inc, func(r *record) { r.active-- }) }

// RecordOutcome takes in whether a backend server did work that is not bracketed by
// Begin and End.
func (h *Health) RecordOutcome(inc model.Incarnation, ok bool) {
	h.with(inc, func(r *record) { r.judge(h.now(), ok) })
}

// judge counts an outcome in the failure share.
func (r *record) judge(now time.Time, ok bool) {
	failed := 1.0
	if ok {
		failed = 0
	}
	share := r.failureShare(now)
	r.failures = share + failureWeight*(failed-share)
	r.judged = now
}

// failureShare is the share of failed requests, faded since the last outcome.
func (r *record) failureShare(now time.Time) float64 {
	return r.failures * math.Exp(-now.Sub(r.judged).Seconds()/failureMemory.Seconds())
}

// Retain drops what is known of incarnations that are gone.
func (h *Health) Retain(known func(model.Incarnation) bool) {
	h.records.DeleteIf(func(inc model.Incarnation, r *record) bool {
		r.mu.Lock()
		defer r.mu.Unlock()
		return r.active == 0 && !known(inc)
	})
}

// View is the evidence about one backend server.
type View struct {
	Suspected   bool
	FailureRate float64
	Latency     time.Duration
	Active      int
}

// View reads the evidence about one backend server.
func (h *Health) View(inc model.Incarnation) View {
	var v View
	now := h.now()
	h.with(inc, func(r *record) {
		v = View{Suspected: r.suspected(now), FailureRate: r.failureShare(now), Latency: r.latency, Active: r.active}
	})
	return v
}
