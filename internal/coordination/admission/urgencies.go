package admission

import (
	"math"
	"time"
)

// minServedShare bounds, relative to that of all requests, the share of the requests of an
// urgency that get capacity. Below it, requests of this urgency may try before more urgent ones.
const minServedShare = 0.25

// urgencyShares counts the recent requests of each urgency and how many of them got capacity. It is
// not safe for concurrent use.
type urgencyShares struct {
	at     time.Time
	counts map[int]*urgencyCount
}

// urgencyCount holds the decayed counts of an urgency.
type urgencyCount struct{ requests, granted float64 }

func newUrgencyShares() urgencyShares { return urgencyShares{counts: map[int]*urgencyCount{}} }

// count returns the counts of an urgency at the present time. The caller may add to them.
func (s *urgencyShares) count(now time.Time, urgency int) *urgencyCount {
	s.decay(now)
	k, ok := s.counts[urgency]
	if !ok {
		k = &urgencyCount{}
		s.counts[urgency] = k
	}
	return k
}

// decay brings all counts to the present time.
func (s *urgencyShares) decay(now time.Time) {
	elapsed := now.Sub(s.at)
	if elapsed < countResolution {
		return
	}
	s.at = now
	kept := math.Exp(-elapsed.Seconds() / shareWindow.Seconds())
	for _, k := range s.counts {
		k.requests *= kept
		k.granted *= kept
	}
}

// starved reports whether one more grant leaves the share of an urgency below minServedShare of
// that of all requests.
func (s *urgencyShares) starved(now time.Time, urgency int) bool {
	k := s.count(now, urgency)
	total := urgencyCount{}
	for _, o := range s.counts {
		total.requests += o.requests
		total.granted += o.granted
	}
	return (k.granted+1)*total.requests < minServedShare*total.granted*k.requests
}
