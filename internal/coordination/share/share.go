// Package share divides a limited resource among the routers that use it. Each router
// reports its used and unmet demand by priority. From the reports of the others and its own
// demand it computes its share of the resource for each priority.
package share

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// Priorities is the number of priorities that are told apart. Less urgent ones count as
	// the last.
	Priorities = 16
	// overshoot is the fraction of the limit by which all routers together may exceed it
	// through demand that they have not reported to each other yet.
	overshoot = 0.2
	// rebuildInterval is the minimum time between two evaluations of the reports.
	rebuildInterval = 100 * time.Millisecond
	// minStep is the shortest time for which credit is accrued, which bounds the work of a
	// router with many requests.
	minStep = 10 * time.Millisecond
	// maxStep is the longest time for which a share counts as constant.
	maxStep = 250 * time.Millisecond
	// maxSteps bounds the steps after a time without requests. The memory of demand is over
	// by then.
	maxSteps = 12
	// maxInterval bounds the expected time between two reports. Reports of large fleets follow
	// after 7 s.
	maxInterval = 10 * time.Second
	// maxValidity bounds the time for which a report counts. Reports of large fleets are valid
	// for half of it; without a bound, one wrong report of a router that stops would leave the
	// others their minimum for as long as it claims.
	maxValidity = time.Minute
	// maxDemand is the demand of a router at a priority that counts, as a multiple of the
	// limit. Otherwise one router with a wrong report could leave the less urgent priorities
	// of all others nothing.
	maxDemand = 10
	// largestDecay is the factor on the largest amount with each smaller one.
	largestDecay = 0.95
	// negligible is the amount below which demand is not reported.
	negligible = 1.0
	// minDemand is the demand below which no credit accrues. It is far below negligible: the
	// shares of a slow resource in a large fleet are less than that.
	minDemand = 1e-3
)

// Demand is the demand of one router at a priority, in the unit of the resource.
type Demand struct {
	Priority    int
	Used, Unmet float64
}

// Request asks for an amount of the resource.
type Request struct {
	Priority int
	Amount   float64
	// Resumed requests continue an interrupted stream and go before others of their priority.
	Resumed bool
	// Limit is the rate that all routers may use together, and Routers their number.
	Limit   float64
	Routers int
}

// Shares holds what one router knows of the use of a resource. It is not safe for
// concurrent use.
type Shares struct {
	now   func() time.Time
	phase func() float64

	peers      map[string]*report
	rebuiltAt  time.Time
	expiry     time.Time // of the first report to expire, as of rebuiltAt
	rebuiltFor float64   // limit as of rebuiltAt
	changed    bool
	known      int // routers with a valid report, including this one
	others     [Priorities]column
	used       float64 // of the other routers
	unmet      float64 // of the other routers
	age        time.Duration

	own [Priorities]account
	at  time.Time // up to which credit is accrued

	limit   float64 // of the last request
	routers int
	surge   surge
}

// account is this router's use of the resource at one priority.
type account struct {
	used  rate
	unmet window
	// credit is the amount that the router may use now. It grows with the share while the
	// router has demand, and is negative after a request. A request of any size is allowed
	// at a credit of 0, so no share is too small for a request.
	credit  float64
	largest float64 // largest recent amount of a request, bounds the credit
	started bool    // there was demand
	phased  bool    // the first debt is set
}

// New returns Shares without demand. phase returns the part of a request by which a new
// account is in debt, between 0 and 1; nil selects it at random. Otherwise routers that use
// the resource rarely would all use it at the same time.
func New(now func() time.Time, phase func() float64) *Shares {
	if phase == nil {
		phase = rand.Float64
	}
	return &Shares{now: now, phase: phase, peers: map[string]*report{}, known: 1, at: now(), surge: surge{use: 1, recent: 1}}
}

// class returns the index of a priority.
func class(priority int) int { return min(max(priority, 0), Priorities-1) }

// reachable returns the part of the limit that the routers with a valid report may use. The
// others keep an equal part each.
func (s *Shares) reachable(limit float64, routers int) float64 {
	return limit * float64(s.known) / float64(max(routers, s.known))
}

// level returns the largest rate that a router may use at a priority. own is the demand of
// this router.
func (s *Shares) level(p int, own *[Priorities]float64, limit float64) float64 {
	demand := *own
	for q := range demand {
		demand[q] += s.others[q].total()
	}
	return s.others[p].level(own[p], budgets(&demand, limit*max(s.surge.stretch, 1))[p])
}

func (s *Shares) ownDemand(now time.Time) (out [Priorities]float64) {
	for p := range s.own {
		a := &s.own[p]
		if a.started {
			out[p] = s.counted(a.used.read(now) + a.unmet.read(now))
		}
	}
	return out
}

// accrue adds the share since the last call to the credits.
func (s *Shares) accrue(now time.Time) {
	s.refresh(now)
	if since := now.Sub(s.at); since > maxSteps*maxStep {
		s.surge.accrue(s, s.at, since-maxSteps*maxStep, [Priorities]float64{})
		s.at = now.Add(-maxSteps * maxStep)
	}
	for now.Sub(s.at) >= minStep {
		step := min(now.Sub(s.at), maxStep)
		demand := s.ownDemand(s.at)
		s.surge.accrue(s, s.at, step, demand)
		limit := s.reachable(s.limit, s.routers)
		for p := range s.own {
			a := &s.own[p]
			if !a.started || demand[p] < minDemand {
				continue
			}
			if level := s.level(p, &demand, limit); level < demand[p] {
				a.credit = min(a.credit+level*step.Seconds(), a.largest)
			}
		}
		s.at = s.at.Add(step)
	}
}

// Allows reports whether a request may use the resource now.
func (s *Shares) Allows(r Request) bool {
	now := s.now()
	s.limit, s.routers = r.Limit, r.Routers
	s.accrue(now)
	p := class(r.Priority)
	a := s.account(p, r.Amount)
	owed := 0.0
	if r.Resumed {
		owed = r.Amount
	}
	if s.surge.credit+owed < 0 {
		return false
	}
	return a.credit+owed >= 0 || s.unlimited(now, p, r) || s.idle(now)
}

// idle reports whether no router is known to use the resource. Requests larger than the limit
// are served then.
func (s *Shares) idle(now time.Time) bool {
	total := s.used + s.unmet
	for p := range s.own {
		total += s.own[p].used.read(now)
	}
	return total < negligible
}

// unlimited reports whether the demand of this router including the request is within its
// share.
func (s *Shares) unlimited(now time.Time, p int, r Request) bool {
	demand := s.ownDemand(now)
	a := &s.own[p]
	demand[p] = a.used.read(now) + max(a.unmet.read(now), r.Amount/memory.Seconds())
	return s.level(p, &demand, s.reachable(r.Limit, r.Routers)) >= demand[p]
}

func (s *Shares) account(p int, amount float64) *account {
	a := &s.own[p]
	a.started = true
	if !a.phased {
		a.phased = true
		a.credit = -s.phase() * amount
	}
	a.largest = max(amount, largestDecay*a.largest)
	return a
}

// Use records that a request uses the resource.
func (s *Shares) Use(priority int, amount float64) {
	now := s.now()
	s.accrue(now)
	p := class(priority)
	a := s.account(p, amount)
	demand := s.ownDemand(now)
	demand[p] = a.used.read(now) + max(a.unmet.read(now), amount/memory.Seconds())
	if s.level(p, &demand, s.reachable(s.limit, s.routers)) < demand[p] {
		a.credit = max(a.credit-amount, -2*amount)
	}
	s.surge.credit = max(s.surge.credit-amount, -2*amount)
	a.used.add(now, amount)
	// Requests that wait go before new ones, so the request most probably waited.
	a.unmet.remove(now, amount)
}

// AddUse records use outside of the shares, by requests that follow another rule.
func (s *Shares) AddUse(priority int, amount float64) {
	now := s.now()
	s.accrue(now)
	a := &s.own[class(priority)]
	a.started = true
	a.used.add(now, amount)
}

// RecordUnmet records that a request waits or was refused for lack of the resource.
func (s *Shares) RecordUnmet(priority int, amount float64) {
	now := s.now()
	s.accrue(now)
	s.account(class(priority), amount).unmet.add(now, amount)
}

// Demands returns the demand to report to the other routers.
func (s *Shares) Demands() []Demand {
	now := s.now()
	s.accrue(now)
	var out []Demand
	for p := range s.own {
		a := &s.own[p]
		if !a.started {
			continue
		}
		d := Demand{Priority: p, Used: a.used.read(now), Unmet: a.unmet.read(now)}
		if d.Used+d.Unmet >= negligible {
			out = append(out, d)
		}
	}
	return out
}

// Share returns the rate that this router may use at a priority under the limit of its last
// request. While the resource is not exhausted, that is the rate left by the others.
func (s *Shares) Share(priority int) float64 {
	now := s.now()
	s.refresh(now)
	limit := s.reachable(s.limit, s.routers)
	demand := s.ownDemand(now)
	level := s.level(class(priority), &demand, limit)
	if math.IsInf(level, 1) {
		return max(limit-s.used, 0)
	}
	return level
}
