package catalog

import (
	"math"
	"sync"
	"time"

	"github.com/skylarkwood/skylarkwood/internal/model"
	"github.com/skylarkwood/skylarkwood/internal/state/shard"
)

const (
	// minSuspicion is how long a backend server gets no requests after direct evidence
	// of a failure. The time doubles with each further failure, up to maxSuspicion. A
	// restarted engine is a new incarnation without suspicion.
	minSuspicion = time.Second
	maxSuspicion = 8 * time.Second
	// attemptInterval is the time between attempts at a backend server whose suspicion
	// expired, until one succeeds. Otherwise all requests would be sent there at once, and
	// failures would use up the retry budget. A stream shows with its first event, after
	// some 100 ms, that the server works.
	attemptInterval = 300 * time.Millisecond
	// suspicionTolerance is how much later a peer's suspicion must expire to count as a
	// new one. A peer repeats each with the time that is left.
	suspicionTolerance = 300 * time.Millisecond
	// failureRateWeight is the weight of the newest outcome in the failure rate.
	failureRateWeight = 0.15
	// failureRateDecay is the time constant with which the failure rate decays without
	// new outcomes. A backend server avoided because of it would otherwise never get
	// requests again.
	failureRateDecay = 15 * time.Second
	// latencyWeight is the weight of the newest latency if the one before it is recent.
	latencyWeight = 0.1
	// latencyDecay is the time constant with which the latency loses its weight without new
	// responses. A backend server that was slow for a moment would otherwise never get
	// requests again while the others are idle.
	latencyDecay = 3 * time.Second
)

// Health holds the direct evidence about backend servers, by incarnation. It is safe
// for concurrent use.
type Health struct {
	now     func() time.Time
	records *shard.Map[model.Incarnation, *record]
}

type record struct {
	mu             sync.Mutex
	suspectedUntil time.Time
	evidenceAt     time.Time // when the suspicion was last raised or confirmed
	nextAttempt    time.Time // no attempt before
	refusesUntil   time.Time // known to refuse requests until then
	failureCount   int       // consecutive suspicions and lasting refusals
	failureRate    float64   // smoothed, as of failureRateAt
	failureRateAt  time.Time
	latency        time.Duration // smoothed, as of latencyAt
	latencyAt      time.Time
	active         int // requests of this process in progress
}

// NewHealth returns a Health without evidence.
func NewHealth(now func() time.Time) *Health {
	return &Health{now: now, records: shard.New[model.Incarnation, *record]()}
}

func (h *Health) update(inc model.Incarnation, f func(*record)) {
	r, _ := h.records.GetOrPut(inc, func() *record { return &record{} })
	r.mu.Lock()
	defer r.mu.Unlock()
	f(r)
}

// Suspect records evidence that a backend server fails. It returns when the suspicion
// expires, and whether it is new.
func (h *Health) Suspect(inc model.Incarnation) (until time.Time, isNew bool) {
	now := h.now()
	h.update(inc, func(r *record) {
		if now.Before(r.suspectedUntil) {
			r.evidenceAt = now
			until = r.suspectedUntil
			return
		}
		isNew = true
		d := r.nextSuspicionPeriod()
		r.failureCount++
		r.evidenceAt = now
		r.suspectedUntil = now.Add(d)
		until = r.suspectedUntil
	})
	return until, isNew
}

// SuspectUntil extends the suspicion of a backend server to a given time. It does not
// count as a failure.
func (h *Health) SuspectUntil(inc model.Incarnation, until time.Time) {
	h.update(inc, func(r *record) {
		if until.After(r.suspectedUntil) {
			r.evidenceAt = h.now()
			r.suspectedUntil = until
		}
	})
}

// RecordRefusal records that a backend server refused a request of this router and gets
// none until the given time. A lasting refusal adds to the failures.
func (h *Health) RecordRefusal(inc model.Incarnation, until time.Time, lasting bool) {
	h.update(inc, func(r *record) {
		r.evidenceAt = h.now()
		r.suspectedUntil = until
		r.refusesUntil = until
		if lasting {
			r.failureCount++
		}
		r.failureCount = max(r.failureCount, 1)
	})
}

// NextSuspicionPeriod returns how long the next suspicion would last. It doubles with
// each failure.
func (h *Health) NextSuspicionPeriod(inc model.Incarnation) time.Duration {
	d := minSuspicion
	h.update(inc, func(r *record) { d = r.nextSuspicionPeriod() })
	return d
}

func (r *record) nextSuspicionPeriod() time.Duration {
	return min(minSuspicion<<min(r.failureCount, 6), maxSuspicion)
}

// SuspectFromPeer records that a backend server refused a request of another router and
// gets none until the given time. It counts as a failure here as well.
func (h *Health) SuspectFromPeer(inc model.Incarnation, until time.Time) {
	now := h.now()
	h.update(inc, func(r *record) {
		if !until.After(r.suspectedUntil.Add(suspicionTolerance)) {
			return
		}
		if !now.Before(r.suspectedUntil) {
			r.failureCount++
		}
		r.evidenceAt = now
		r.suspectedUntil = until
		r.refusesUntil = until
	})
}

// RecordAttempt records that a request is sent to a backend server. If its suspicion
// expired, it gets no other for attemptInterval.
func (h *Health) RecordAttempt(inc model.Incarnation) {
	r, ok := h.records.Get(inc)
	if !ok {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.failureCount > 0 {
		r.nextAttempt = h.now().Add(attemptInterval)
	}
}

// ClearSuspicion records that a request sent to a backend server at sentAt succeeded. A
// request sent before the last evidence against the server proves nothing.
func (h *Health) ClearSuspicion(inc model.Incarnation, sentAt time.Time) {
	h.update(inc, func(r *record) {
		if sentAt.Before(r.evidenceAt) {
			return
		}
		r.suspectedUntil = time.Time{}
		r.refusesUntil = time.Time{}
		r.nextAttempt = time.Time{}
		r.failureCount = 0
	})
}

// RecordProbeSuccess records that a backend server answered a probe sent at sentAt. It
// returns false if the probe was sent before the last evidence against the server, and
// then has no effect. The failure count stays until a request succeeds: a server that
// only answers probes would otherwise get requests every second. A refusal stays in
// force too, as a draining engine answers probes.
func (h *Health) RecordProbeSuccess(inc model.Incarnation, sentAt time.Time) (conclusive bool) {
	h.update(inc, func(r *record) {
		if sentAt.Before(r.evidenceAt) {
			return
		}
		r.suspectedUntil = r.refusesUntil
		conclusive = true
	})
	return conclusive
}

// Suspected reports whether a backend server should get no requests now.
func (h *Health) Suspected(inc model.Incarnation) bool {
	return h.holds(inc, func(r *record) bool { return r.suspected(h.now()) })
}

// holds reports whether there is a record of a backend server for which f returns true.
func (h *Health) holds(inc model.Incarnation, f func(*record) bool) bool {
	r, ok := h.records.Get(inc)
	if !ok {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return f(r)
}

// SuspicionLasts reports whether the last suspicion of a backend server has not expired.
// Unlike Suspected it is false for a server that a request tries again after that.
func (h *Health) SuspicionLasts(inc model.Incarnation) bool {
	return h.holds(inc, func(r *record) bool { return h.now().Before(r.suspectedUntil) })
}

func (r *record) suspected(now time.Time) bool {
	return now.Before(r.suspectedUntil) || r.failureCount > 0 && now.Before(r.nextAttempt)
}

// Begin records the start of a request of this process at a backend server.
func (h *Health) Begin(inc model.Incarnation) { h.update(inc, func(r *record) { r.active++ }) }

// End records the end of a request and whether it succeeded. A latency of 0 is not
// recorded.
func (h *Health) End(inc model.Incarnation, ok bool, latency time.Duration) {
	h.update(inc, func(r *record) {
		r.active--
		if ok {
			r.failureCount = 0
		}
		now := h.now()
		r.recordOutcome(now, ok)
		if latency > 0 {
			r.recordLatency(now, latency)
		}
	})
}

// Cancel records the end of a request that its caller cancelled. It has no effect on
// the failure rate.
func (h *Health) Cancel(inc model.Incarnation) { h.update(inc, func(r *record) { r.active-- }) }

// RecordOutcome records whether a request succeeded for which Begin and End are not
// called.
func (h *Health) RecordOutcome(inc model.Incarnation, ok bool) {
	h.update(inc, func(r *record) { r.recordOutcome(h.now(), ok) })
}

func (r *record) recordOutcome(now time.Time, ok bool) {
	failed := 1.0
	if ok {
		failed = 0
	}
	rate := r.decayedFailureRate(now)
	r.failureRate = rate + failureRateWeight*(failed-rate)
	r.failureRateAt = now
}

func (r *record) recordLatency(now time.Time, latency time.Duration) {
	weight := 1 - (1-latencyWeight)*r.latencyRemainder(now)
	r.latency += time.Duration(weight * float64(latency-r.latency))
	r.latencyAt = now
}

// latencyRemainder returns the part of the latency's weight that is left, from 0 to 1.
func (r *record) latencyRemainder(now time.Time) float64 {
	if r.latencyAt.IsZero() {
		return 0
	}
	return math.Exp(-now.Sub(r.latencyAt).Seconds() / latencyDecay.Seconds())
}

// decayedFailureRate returns the failure rate as of now.
func (r *record) decayedFailureRate(now time.Time) float64 {
	return r.failureRate * math.Exp(-now.Sub(r.failureRateAt).Seconds()/failureRateDecay.Seconds())
}

// Retain drops the evidence about incarnations without requests that known does not
// report.
func (h *Health) Retain(known func(model.Incarnation) bool) {
	h.records.DeleteIf(func(inc model.Incarnation, r *record) bool {
		r.mu.Lock()
		defer r.mu.Unlock()
		return r.active == 0 && !known(inc)
	})
}

// View is the evidence about one backend server at one time.
type View struct {
	Suspected   bool
	FailureRate float64
	// Latency is the smoothed latency of the responses.
	Latency time.Duration
	// DecayedLatency is Latency, less with each second without a response.
	DecayedLatency time.Duration
	// Active is the number of requests of this process in progress.
	Active int
}

// View returns the evidence about one backend server.
func (h *Health) View(inc model.Incarnation) View {
	var v View
	now := h.now()
	h.update(inc, func(r *record) {
		v = View{
			Suspected: r.suspected(now), FailureRate: r.decayedFailureRate(now), Active: r.active,
			Latency: r.latency, DecayedLatency: time.Duration(float64(r.latency) * r.latencyRemainder(now)),
		}
	})
	return v
}
