package quarantine

import (
	"math"
	"slices"
	"time"

	"github.com/skylarkwood/skylarkwood/internal/model"
)

const (
	// simultaneousExits is the time within which exits count as one moment, whatever their
	// failure domains: one event may have ended all of these servers.
	simultaneousExits = 250 * time.Millisecond
	// controlWindow is the time before and after a moment in which all runs of this router show
	// how likely any run was lost then.
	controlWindow = time.Second
	// minControls is the number of such runs from which on they are used.
	minControls = 5
	// outcomeInterval is the resolution at which served requests are counted.
	outcomeInterval = 100 * time.Millisecond
	// rateWindow is the time over which the usual rate of served requests is measured.
	rateWindow = time.Minute
)

// served counts the requests of one service that this router served, by time.
type served struct {
	counts []servedCount // in order of time
}

type servedCount struct {
	at    time.Duration // start of the interval
	count int
}

func (s *served) add(now time.Duration) {
	at := now.Truncate(outcomeInterval)
	if n := len(s.counts); n > 0 && s.counts[n-1].at == at {
		s.counts[n-1].count++
		return
	}
	s.counts = append(s.counts, servedCount{at: at, count: 1})
}

// between returns the number of requests served between two times.
func (s *served) between(from, to time.Duration) int {
	n := 0
	for i := len(s.counts) - 1; i >= 0 && s.counts[i].at >= from; i-- {
		if s.counts[i].at <= to {
			n += s.counts[i].count
		}
	}
	return n
}

func (s *served) expire(before time.Duration) {
	s.counts = slices.DeleteFunc(s.counts, func(c servedCount) bool { return c.at < before })
}

// servedBy returns the counts of a service.
func (t *Tracker) servedBy(service string) *served {
	s := t.served[service]
	if s == nil {
		s = &served{}
		t.served[service] = s
	}
	return s
}

// moment is a time at which one or several servers exited while they ran requests with a trait.
type moment struct {
	at      time.Duration
	service string
	// lost and served are the runs that this router lost to exits, and those that it served,
	// within controlWindow of the moment.
	lost, served int
	// probability is that of the loss of any run then.
	probability float64
}

// moments returns the moments of exits that are ordered by time.
func (t *Tracker) moments(exits []model.Incarnation) []moment {
	var out []moment
	for _, server := range exits {
		e := t.exits[server]
		if n := len(out); n > 0 && e.at-out[n-1].at <= simultaneousExits {
			continue
		}
		out = append(out, t.momentOf(e))
	}
	return out
}

// momentOf returns the moment of an exit. All runs lost around it count, also those that were lost
// together with requests under suspicion: of many suspects some are at most of the exits, and the few
// exits that are left would show too small a loss.
func (t *Tracker) momentOf(e *serverExit) moment {
	now := t.clock()
	if e.momentAt > 0 && (e.momentAt-e.at > 2*controlWindow || now-e.momentAt < outcomeInterval) {
		return e.moment
	}
	m := moment{at: e.at, service: e.service}
	exits := 0
	for _, other := range t.exits {
		if other.service == e.service && max(other.at-e.at, e.at-other.at) <= controlWindow {
			exits++
			m.lost += other.lost
		}
	}
	m.served = t.servedBy(m.service).between(e.at-controlWindow, e.at+controlWindow)
	if n := m.lost + m.served; n >= minControls {
		m.probability = (float64(m.lost) + 0.5) / (float64(n) + 1)
	} else {
		m.probability = t.lossByServers(m.service, exits)
	}
	e.moment, e.momentAt = m, now
	return m
}

// lossByServers returns the probability of the loss of a run at a router with too little traffic to
// measure it, from the number of servers that exited. At a router that usually serves more, nothing
// is known: nothing was served.
func (t *Tracker) lossByServers(service string, exits int) float64 {
	const unknown = 0.5
	known := min(t.clock()-t.startedAt, rateWindow)
	usual := float64(t.servedBy(service).between(t.clock()-rateWindow, t.clock())) / float64(max(known, 1))
	if t.Servers == nil || known < learningTime || usual*float64(2*controlWindow) >= minControls {
		return unknown
	}
	share := float64(exits) / float64(t.Servers(service)+1)
	return min(unknown, share*float64(max(t.stages[service], 1)))
}

// chance returns the probability that no run of a request with a trait survives any of the moments,
// if the trait is not why servers exit.
func chance(moments []moment) float64 {
	log := 0.0
	for _, m := range moments {
		log += math.Log(m.probability)
	}
	return math.Exp(log)
}
