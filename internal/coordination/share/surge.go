package share

import (
	"math"
	"time"
)

// surge bounds what a router uses before the others know of it.
type surge struct {
	credit float64
	// announced is the demand of this router that the others know.
	announced float64
	// lend is the multiple of an equal share that a router may use of what others leave. It
	// grows while the resource is not fully used although there is unmet demand, as when
	// the demand moves between routers faster than reports arrive.
	lend float64
	use  float64 // average known use of all routers
}

func (u *surge) accrue(s *Shares, at time.Time, step time.Duration, own [Priorities]float64) {
	demand, used := 0.0, s.used
	for p := range own {
		demand += own[p]
		if own[p] > 0 {
			used += s.own[p].used.read(at)
		}
	}
	seconds := step.Seconds()
	lag := max(s.age, maxStep).Seconds()
	u.announced += (demand - u.announced) * (1 - math.Exp(-seconds/lag))
	u.adaptLend(s, used, demand, seconds/(lag+memory.Seconds()))
	routers := float64(max(s.routers, s.known, 1))
	growth := (1 + overshoot) * s.limit * min(u.lend/routers, 1)
	rate := u.announced + growth
	u.credit = min(u.credit+rate*seconds, rate*maxStep.Seconds())
}

// adaptLend changes lend over a time given in delays of the reports.
func (u *surge) adaptLend(s *Shares, used, demand, delays float64) {
	u.use += (used - u.use) * (1 - math.Exp(-delays))
	limit := s.reachable(s.limit, s.routers)
	switch {
	case u.use > limit:
		u.lend *= math.Exp(-2 * delays)
	case u.use < 0.95*limit && s.unmet+demand > limit:
		u.lend *= math.Exp(delays)
	case s.unmet+demand < limit/2:
		u.lend *= math.Exp(-delays / 4)
	}
	u.lend = min(max(u.lend, 1), float64(max(s.routers, 1)))
}
