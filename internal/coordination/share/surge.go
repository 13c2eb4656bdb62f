package share

import (
	"math"
	"time"
)

const (
	// maxStretch bounds the factor on the limit. With 2.5, demand that moves each second
	// exceeded 1.2 of the limit for longer than the age of a report.
	maxStretch = 1.5
	// maxLend bounds lend. It exceeds the number of routers of large fleets.
	maxLend = 1000
	// lowUse and highUse are the parts of the limit between which the use is not corrected.
	lowUse  = 0.95
	highUse = 1.0
	// correction is the speed at which deviations are corrected, in delays of the reports.
	// A faster correction oscillates, because its effect is seen only with the next reports.
	correction = 0.35
	// reduction is the speed at which corrections are taken back.
	reduction = 4.0
	// averaging is the time over which use and demand are averaged, in delays of the reports.
	averaging = 3.0
)

// surge bounds what a router uses before the others know of it, and corrects shares by the
// use that the reports show.
//
// Reports lag behind the demand. If it moves between routers faster than reports arrive, each
// share is too small: the demand of a router is not known yet, and that of others is over.
// The resource is then not fully used although there is unmet demand, and lend and stretch
// grow until it is.
type surge struct {
	credit float64
	// announced is the demand of this router that the others know.
	announced float64
	// lend is the multiple of an equal share that a router may use beyond its announced
	// demand.
	lend float64
	// stretch is the factor on the limit from which shares are computed.
	stretch float64
	// use and demand are averages of the known use and demand of all routers.
	use, demand float64
	// recent is the average known use over a shorter time.
	recent float64
}

func (u *surge) accrue(s *Shares, at time.Time, step time.Duration, own [Priorities]float64) {
	demand, used := 0.0, 0.0
	for p := range own {
		demand += own[p]
		if own[p] > 0 {
			used += s.own[p].used.read(at)
		}
	}
	seconds := step.Seconds()
	lag := max(s.age, maxStep).Seconds()
	u.announced += (demand - u.announced) * (1 - math.Exp(-seconds/lag))
	u.correct(s.reachable(s.limit, s.routers), s.used+used, s.used+s.unmet+demand, seconds/(lag+memory.Seconds()))
	routers := float64(max(s.routers, s.known, 1))
	growth := (1 + overshoot) * s.limit * min(u.lend/routers, 1)
	rate := u.announced + growth
	u.credit = min(u.credit+rate*seconds, rate*lag)
}

// correct adapts lend and stretch over a time given in delays of the reports.
func (u *surge) correct(limit, used, demand, delays float64) {
	weight := 1 - math.Exp(-delays/averaging)
	u.use += (used - u.use) * weight
	u.recent += (used - u.recent) * (1 - math.Exp(-delays))
	u.demand += (demand - u.demand) * weight
	factor := 1.0
	switch {
	case max(u.use, u.recent) > highUse*limit:
		factor = math.Exp(-reduction * delays * min(max(u.use, u.recent)/limit-highUse, 1) * 5)
	case u.demand < limit:
		factor = math.Exp(-correction * delays)
	case u.use < lowUse*limit:
		factor = math.Exp(correction * delays * min(1, 5*(lowUse-u.use/limit)))
	}
	u.lend = min(max(u.lend*factor, 1), maxLend)
	u.stretch = min(max(u.stretch*factor, 1), maxStretch)
}
