package catalog

import (
	"time"

	"github.com/skylarkwood/skylarkwood/internal/model"
)

// Evidence is the kind of evidence behind a suspicion. Suspected servers get no requests,
// except that a caller may use one under weak evidence for want of another.
type Evidence int

// Kinds of evidence, in increasing strength.
const (
	// None means that the server is not suspected.
	None Evidence = iota
	// Weak is one failed request at a server that answers, a refusal without a visible
	// cause, or a peer's suspicion that this router has not confirmed.
	Weak
	// Unanswered is a failure of a server that has not answered since, or a refusal whose
	// cause is not determined yet. It becomes weak when the server answers a probe or the
	// cause is found to be none.
	Unanswered
	// Strong is an exit, a refusal with a known cause or by another router, the wrong
	// layers, or weak evidence that repeats.
	Strong
)

func (e Evidence) String() string { return [...]string{"none", "weak", "unanswered", "strong"}[e] }

const (
	// maxWeakFailures is the number of consecutive failures from which weak evidence counts
	// as strong. A server that fails again when it is tried would use up the retry budget.
	maxWeakFailures = 2
	// weakFailureRetention is how long a failure counts as consecutive to the next one. It
	// is longer than the longest suspicion, after which the server is tried again.
	weakFailureRetention = 2 * maxSuspicion
)

// evidenceKinds holds until when each kind of evidence lasts. In the rest of its time, a
// suspicion rests on weak evidence.
type evidenceKinds struct {
	strongUntil     time.Time
	unansweredUntil time.Time
	// peersOnly is set if only refusals of other routers' requests are behind strongUntil.
	peersOnly bool

	failures          int       // consecutive failures that are not strong evidence by themselves
	failedAt          time.Time // when the last one was counted
	sentSinceFailure  bool      // a request was sent since failedAt
	sentSinceEvidence bool      // a request was sent since the last evidence of any kind
}

// raise records evidence that lasts until the given time.
func (k *evidenceKinds) raise(kind Evidence, until time.Time) {
	k.sentSinceEvidence = false
	if kind == Strong {
		k.peersOnly = false
	}
	switch {
	case kind == Strong && until.After(k.strongUntil):
		k.strongUntil = until
	case kind == Unanswered && until.After(k.unansweredUntil):
		k.unansweredUntil = until
	}
}

// countFailure counts a failure on evidence of a kind. It returns Strong if the consecutive
// failures reach maxWeakFailures, else kind. The streams that one fault breaks count once: a
// further failure counts only if a request was sent since the last one and the interval, in
// which streams that were started earlier break as well, is over.
func (k *evidenceKinds) countFailure(kind Evidence, now time.Time, interval time.Duration) Evidence {
	if kind == Strong {
		return kind
	}
	age := now.Sub(k.failedAt)
	switch {
	case k.failures == 0 || age > weakFailureRetention:
		k.failures = 1
	case !k.sentSinceFailure || age < interval:
		return kind
	default:
		k.failures++
	}
	k.failedAt = now
	k.sentSinceFailure = false
	if k.failures >= maxWeakFailures {
		return Strong
	}
	return kind
}

// answered records that the server answered a probe.
func (k *evidenceKinds) answered() { k.unansweredUntil = time.Time{} }

// evidence returns the kind of evidence behind the suspicion of a server.
func (r *record) evidence(now time.Time) Evidence {
	switch {
	case !r.suspected(now):
		return None
	case !now.Before(r.suspectedUntil) || now.Before(r.kinds.strongUntil):
		return Strong
	case now.Before(r.kinds.unansweredUntil):
		return Unanswered
	}
	return Weak
}

// RecordAnswer records that a suspected backend server answered a probe sent at sentAt. The
// suspicion lasts. It rests on weak evidence if the server was suspected only because
// it had not answered.
func (h *Health) RecordAnswer(inc model.Incarnation, sentAt time.Time) {
	h.update(inc, func(r *record) {
		if !sentAt.Before(r.evidenceAt) {
			r.kinds.answered()
		}
	})
}

// RetriedUnderSuspicion reports whether a request was sent to a suspected backend server
// since the last evidence against it.
func (h *Health) RetriedUnderSuspicion(inc model.Incarnation) bool {
	return h.holds(inc, func(r *record) bool { return h.now().Before(r.suspectedUntil) && r.kinds.sentSinceEvidence })
}

// RecordOwnCheck records that a backend server that refused a request of another router
// is healthy and has capacity, as checked by this router from checkedAt on. The refusal
// lasts, as weak evidence, unless there is other strong evidence.
func (h *Health) RecordOwnCheck(inc model.Incarnation, checkedAt time.Time) {
	h.update(inc, func(r *record) {
		if checkedAt.Before(r.evidenceAt) || !r.kinds.peersOnly || r.kinds.failures >= maxWeakFailures {
			return
		}
		r.refusal = Weak
		r.kinds.answered()
		r.kinds.strongUntil = time.Time{}
	})
}
