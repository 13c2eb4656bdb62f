package catalog

import (
	"math"
	"time"

	"github.com/skylarkwood/skylarkwood/internal/model"
)

const (
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
	// maxBrokenResponses is the number of consecutive broken responses from which a backend server
	// is to be suspected. One that breaks its responses at once looks faster than all others.
	maxBrokenResponses = 2
)

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

// RecordBrokenResponse is RecordOutcome for a response that was malformed or incomplete. It returns
// whether the backend server is to be suspected.
func (h *Health) RecordBrokenResponse(inc model.Incarnation) (suspect bool) {
	h.update(inc, func(r *record) {
		r.recordOutcome(h.now(), false)
		r.brokenResponses++
		suspect = r.brokenResponses >= maxBrokenResponses
	})
	return suspect
}

func (r *record) recordOutcome(now time.Time, ok bool) {
	failed := 1.0
	if ok {
		failed = 0
		r.brokenResponses = 0
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

// View is the evidence about one backend server at one time.
type View struct {
	Suspected bool
	// Evidence is the kind of evidence behind the suspicion, None if there is none. It is
	// Strong between two attempts after a suspicion expired.
	Evidence Evidence
	// EvidenceAge is the time since the suspicion was last raised or confirmed.
	EvidenceAge time.Duration
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
		if v.Suspected {
			v.Evidence = r.evidence(now)
			v.EvidenceAge = now.Sub(r.evidenceAt)
		}
	})
	return v
}
