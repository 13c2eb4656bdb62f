package admission

import (
	"math"
	"time"
)

// minServedShare bounds, relative to that of all requests, the share of the requests of an
// urgency that get capacity. Below it, requests of this urgency may try before more urgent ones.
const minServedShare = 0.25

// kindShares counts the recent requests of each urgency and how many of them got capacity. It is
// not safe for concurrent use.
type kindShares struct {
	at    time.Time
	kinds map[int]*kindCount
}

// kindCount holds decayed counts.
type kindCount struct{ requests, granted float64 }

func newKindShares() kindShares { return kindShares{kinds: map[int]*kindCount{}} }

func (s *kindShares) of(now time.Time, urgency int) *kindCount {
	s.decay(now)
	k, ok := s.kinds[urgency]
	if !ok {
		k = &kindCount{}
		s.kinds[urgency] = k
	}
	return k
}

func (s *kindShares) decay(now time.Time) {
	elapsed := now.Sub(s.at)
	if elapsed < countResolution {
		return
	}
	s.at = now
	kept := math.Exp(-elapsed.Seconds() / shareWindow.Seconds())
	for _, k := range s.kinds {
		k.requests *= kept
		k.granted *= kept
	}
}

// starved reports whether one more grant leaves the share of an urgency below minServedShare of
// that of all requests.
func (s *kindShares) starved(now time.Time, urgency int) bool {
	k := s.of(now, urgency)
	total := kindCount{}
	for _, o := range s.kinds {
		total.requests += o.requests
		total.granted += o.granted
	}
	return (k.granted+1)*total.requests < minServedShare*total.granted*k.requests
}
