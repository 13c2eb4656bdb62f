package catalog

import (
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
	kinds          evidenceKinds
	evidenceAt     time.Time // when the suspicion was last raised or confirmed
	nextAttempt    time.Time // no attempt before
	refusesUntil   time.Time // known to refuse requests until then
	refusal        Evidence  // kind of evidence behind refusesUntil
	failureCount   int       // consecutive suspicions and lasting refusals
	failureRate    float64   // smoothed, as of failureRateAt
	failureRateAt  time.Time
	// brokenResponses is the number of broken responses since the last successful one.
	brokenResponses int
	latency         time.Duration // smoothed, as of latencyAt
	latencyAt       time.Time
	active          int // requests of this process in progress
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

// Suspect records strong evidence that a backend server fails. It returns when the
// suspicion expires, and whether it is new.
func (h *Health) Suspect(inc model.Incarnation) (until time.Time, isNew bool) {
	return h.SuspectOn(inc, Strong)
}

// SuspectOn is Suspect for evidence of the given kind. Evidence that repeats after another
// request was sent becomes strong.
func (h *Health) SuspectOn(inc model.Incarnation, kind Evidence) (until time.Time, isNew bool) {
	now := h.now()
	h.update(inc, func(r *record) {
		if isNew = !now.Before(r.suspectedUntil); isNew {
			d := r.nextSuspicionPeriod()
			r.failureCount++
			r.suspectedUntil = now.Add(d)
		}
		r.evidenceAt = now
		until = r.suspectedUntil
		r.kinds.raise(r.kinds.countFailure(kind, now, attemptInterval), until)
	})
	return until, isNew
}

// SuspectUntil extends the suspicion of a backend server to a given time on strong
// evidence. It does not count as a failure.
func (h *Health) SuspectUntil(inc model.Incarnation, until time.Time) {
	h.SuspectOnUntil(inc, Strong, until)
}

// SuspectOnUntil is SuspectUntil for evidence of the given kind.
func (h *Health) SuspectOnUntil(inc model.Incarnation, kind Evidence, until time.Time) {
	h.update(inc, func(r *record) {
		if until.After(r.suspectedUntil) {
			r.evidenceAt = h.now()
			r.suspectedUntil = until
		}
		r.kinds.raise(kind, until)
	})
}

// RecordRefusal records that a backend server refused a request of this router for a known
// cause and gets none until the given time. A lasting refusal adds to the failures.
func (h *Health) RecordRefusal(inc model.Incarnation, until time.Time, lasting bool) {
	h.update(inc, func(r *record) { r.refuse(h.now(), until, Strong, lasting) })
}

// RecordUnexplainedRefusal is RecordRefusal for a lasting refusal of a backend server that
// is healthy and has capacity. It is weak evidence.
func (h *Health) RecordUnexplainedRefusal(inc model.Incarnation, until time.Time) {
	now := h.now()
	// Refusals arrive within milliseconds, so no interval is needed to tell them apart.
	h.update(inc, func(r *record) { r.refuse(now, until, r.kinds.countFailure(Weak, now, 0), true) })
}

func (r *record) refuse(now, until time.Time, kind Evidence, lasting bool) {
	r.evidenceAt = now
	r.suspectedUntil = until
	r.refusesUntil = until
	r.refusal = kind
	r.kinds.unansweredUntil = time.Time{} // the server answered
	r.kinds.raise(kind, until)
	if lasting {
		r.failureCount++
	}
	r.failureCount = max(r.failureCount, 1)
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
// gets none until the given time. It counts as a failure here as well. Peers do not tell
// why it refused, so the evidence is strong. It returns false if the suspicion does not end later or
// rested on more than weak evidence before.
func (h *Health) SuspectFromPeer(inc model.Incarnation, until time.Time) (strengthened bool) {
	now := h.now()
	h.update(inc, func(r *record) {
		if !until.After(r.suspectedUntil.Add(suspicionTolerance)) {
			return
		}
		strengthened = r.evidence(now) <= Weak
		peersOnly := strengthened || r.kinds.peersOnly && now.Before(r.suspectedUntil)
		if !now.Before(r.suspectedUntil) {
			r.failureCount++
		}
		r.evidenceAt = now
		r.suspectedUntil = until
		r.refusesUntil = until
		r.refusal = Strong
		r.kinds.raise(Strong, until)
		r.kinds.peersOnly = peersOnly
	})
	return strengthened
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
	r.kinds.sentSinceFailure = true
	r.kinds.sentSinceEvidence = true
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
		r.kinds = evidenceKinds{}
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
		r.kinds.answered()
		r.kinds.strongUntil = time.Time{}
		if r.refusal == Strong {
			r.kinds.strongUntil = r.refusesUntil
		}
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

// Retain drops the evidence about incarnations without requests that known does not
// report.
func (h *Health) Retain(known func(model.Incarnation) bool) {
	h.records.DeleteIf(func(inc model.Incarnation, r *record) bool {
		r.mu.Lock()
		defer r.mu.Unlock()
		return r.active == 0 && !known(inc)
	})
}
