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
	// controlWindow is the time before and after a moment in which the runs of other requests
	// show how likely any run was lost then.
	controlWindow = time.Second
	// minControls is the number of such runs from which on they are used. A router with
	// fewer derives the probability from the share of servers that exited.
	minControls = 5
	// outcomeInterval is the resolution at which served requests are counted.
	outcomeInterval = 100 * time.Millisecond
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
	exits   int
	// lost and served are the runs of requests without the trait that this router lost to
	// exits, and those that it served, within controlWindow of the moment.
	lost, served int
	// probability is that of a loss of a run then, if the trait has nothing to do with it.
	probability float64
}

// moments returns the moments of exits that are ordered by time.
func (t *Tracker) moments(tr Trait, exits []model.Incarnation) []moment {
	var out []moment
	for _, server := range exits {
		e := t.exits[server]
		if n := len(out); n > 0 && e.at-out[n-1].at <= simultaneousExits {
			out[n-1].exits++
			continue
		}
		out = append(out, moment{at: e.at, service: e.service, exits: 1})
	}
	for i := range out {
		t.addControls(tr, &out[i])
	}
	return out
}

// addControls sets how many other runs were lost and served around a moment. The runs at exits at
// which the trait was present are left out: if the trait is the cause they are lost because of it.
func (t *Tracker) addControls(tr Trait, m *moment) {
	others := 0
	for _, e := range t.exits {
		if e.service != m.service || max(e.at-m.at, m.at-e.at) > controlWindow || e.traits[tr] > 0 {
			continue
		}
		others++
		m.lost += e.lost
	}
	m.served = t.servedBy(m.service).between(m.at-controlWindow, m.at+controlWindow)
	if n := m.lost + m.served; n >= minControls {
		m.probability = (float64(m.lost) + 0.5) / (float64(n) + 1)
		return
	}
	m.probability = 0.5
	if t.Servers != nil {
		if servers := t.Servers(m.service); servers > 0 {
			share := float64(others+1) / float64(servers+1)
			m.probability = min(0.5, share*float64(max(t.stages[m.service], 1)))
		}
	}
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
