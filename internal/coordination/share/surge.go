package share

import (
	"math"
	"time"
)

const (
	// maxStretch bounds the factor on the limit. A larger one lets demand that moves between
	// routers exceed 1.2 of the limit for longer than the age of a report.
	maxStretch = 1.5
	// targetUse is the part of the limit to which the use is corrected. Requests are served
	// whole and the use seen lags, so the use that results is a little less.
	targetUse = 1.0
	// highUse is the part of the limit above which recent use is reduced at once. It lies above
	// the limit, as a reduction at each variation of the use would keep the mean too low.
	highUse = 1.1
	// correction is the speed at which deviations are corrected, in delays of the reports.
	// A faster correction oscillates, because its effect is seen only with the next reports.
	correction = 0.35
	// reduction is the speed at which corrections are taken back above highUse.
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
	// use and demand are averages of the known use and demand of all routers as parts of the
	// limit. Capacity that no router asks for counts as used. Otherwise the average of an
	// idle time or of a start would be corrected after demand exceeds the limit.
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
	// A larger multiple has no effect and would have to be taken back first.
	u.lend = min(max(u.lend, 1), routers)
	growth := (1 + overshoot) * s.limit * u.lend / routers
	rate := u.announced + growth
	u.credit = min(u.credit+rate*seconds, rate*lag)
}

// correct adapts lend and stretch over a time given in delays of the reports.
func (u *surge) correct(limit, used, demand, delays float64) {
	if limit <= 0 {
		return
	}
	weight := 1 - math.Exp(-delays/averaging)
	part := (used + max(limit-demand, 0)) / limit
	u.use += (part - u.use) * weight
	u.recent += (part - u.recent) * (1 - math.Exp(-delays))
	u.demand += (demand/limit - u.demand) * weight
	factor := 1.0
	switch {
	case u.recent > highUse:
		factor = math.Exp(-reduction * delays * 5 * min(u.recent-highUse, 1))
	case u.demand < 1:
		factor = math.Exp(-correction * delays)
	default:
		factor = math.Exp(correction * delays * min(1, max(5*(targetUse-u.use), -1)))
	}
	u.lend *= factor
	u.stretch = min(max(u.stretch*factor, 1), maxStretch)
}
