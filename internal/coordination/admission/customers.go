package admission

import (
	"math"
	"time"
)

const (
	// shareWindow is the time constant over which grants to customers are compared. It is in
	// the order of the time between a caller's request and its retry.
	shareWindow = 5 * time.Second
	// shareTolerance is how many equal shares a customer may get before its requests go after
	// those of others. At smaller differences the deadline decides.
	shareTolerance = 1.5
	// shareSlack is the number of requests by which a customer may always exceed an equal
	// share. The shares of a router with few requests differ by that much at random.
	shareSlack = 2
	// minGranted is the number of decayed grants below which a customer is forgotten.
	minGranted = 0.05
	// maxScaleTime is the time after which the stored grants are rescaled, so that they stay
	// within the range of a float.
	maxScaleTime = 10 * shareWindow
	// countResolution is the interval at which decayed counts are updated. It limits the cost
	// per request.
	countResolution = 10 * time.Millisecond
)

// customerShares counts the recent grants to each customer, and the customers that wait. It is
// not safe for concurrent use.
type customerShares struct {
	// granted holds the grants by customer, and total their sum. A grant counts e to the power
	// of its time since base in units of shareWindow, so that older ones count less without an
	// update of all.
	base    time.Time
	granted map[string]float64
	total   float64
	// scale is the count of a grant at scaledAt, the time of the last update.
	scaledAt time.Time
	scale    float64
	waiting  map[string]int
	// allowance is the number of grants, at the present scale, that do not exceed an equal
	// share.
	allowance float64
}

func newCustomerShares() customerShares {
	return customerShares{granted: map[string]float64{}, scale: 1, waiting: map[string]int{}, allowance: shareSlack}
}

func (s *customerShares) grant(now time.Time, customer string) {
	s.update(now)
	s.granted[customer] += s.scale
	s.total += s.scale
}

// update brings the scale and the allowance to the present time.
func (s *customerShares) update(now time.Time) {
	if now.Sub(s.base) > maxScaleTime {
		s.rescale(now)
	}
	if now.Sub(s.scaledAt) < countResolution {
		return
	}
	s.scaledAt = now
	s.scale = math.Exp(now.Sub(s.base).Seconds() / shareWindow.Seconds())
	s.allowance = shareTolerance*s.total/float64(max(s.customers(), 1)) + shareSlack*s.scale
}

// rescale makes now the base and forgets customers with few recent grants.
func (s *customerShares) rescale(now time.Time) {
	kept := math.Exp(-now.Sub(s.base).Seconds() / shareWindow.Seconds())
	s.base = now
	s.scaledAt = time.Time{}
	s.total = 0
	for c, n := range s.granted {
		if n *= kept; n < minGranted {
			delete(s.granted, c)
			continue
		}
		s.granted[c] = n
		s.total += n
	}
}

func (s *customerShares) join(customer string) { s.waiting[customer]++ }

func (s *customerShares) leave(customer string) {
	if s.waiting[customer]--; s.waiting[customer] <= 0 {
		delete(s.waiting, customer)
	}
}

// customers returns the number of customers that wait or got grants recently.
func (s *customerShares) customers() int {
	n := len(s.granted)
	for c := range s.waiting {
		if _, ok := s.granted[c]; !ok {
			n++
		}
	}
	return n
}

// excess returns how often a customer has exceeded its equal share of the recent grants, 0 if it
// has not.
func (s *customerShares) excess(customer string) int {
	return int(s.granted[customer] / s.allowance)
}
