package quarantine

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/skylarkwood/skylarkwood/internal/model"
)

// trialDuration is how long a trial reserves its request and its servers. Requests that make
// servers exit do so soon after the server starts to run them.
const trialDuration = time.Second

// maxTrialPause bounds the time between trials of requests with the same restricted traits. It
// doubles with each exit from minTraitExits on, so that few servers exit while the evidence does not
// suffice for a verdict.
const maxTrialPause = 16 * time.Second

// trialPause returns the time after a trial of a request until the next one of a request with the same
// restricted traits.
func (t *Tracker) trialPause(traits []Trait) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	fewest := 0
	for _, tr := range traits {
		if r := t.traits[tr]; r != nil && !t.inVerdict(tr) && (fewest == 0 || len(r.exits) < fewest) {
			fewest = len(r.exits)
		}
	}
	pause := trialDuration
	for range fewest - minTraitExits + 1 {
		pause = min(2*pause, maxTrialPause)
	}
	return pause
}

// restrictedOf returns those of some traits that still restrict requests.
func (t *Tracker) restrictedOf(traits []Trait) []Trait {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(traits), func(tr Trait) bool { return t.suspiciousTraits[tr] == nil && !t.inVerdict(tr) })
}

// Trials grants trials, which are runs of requests restricted to TrialOnly. One router grants
// them for all routers: the first by rendezvous hashing among the reachable ones. While routers
// disagree on which one that is, two suspects may run at one server. This can delay a verdict but
// not make it wrong.
type Trials struct {
	tracker *Tracker
	clock   func() time.Duration

	mu       sync.Mutex
	requests map[model.Fingerprint]time.Duration // when the reservation ends
	traits   map[Trait]time.Duration             // the same
	servers  map[model.Incarnation]reservation
	pauses   []pause
}

// pause is the time after a trial in which no request with all of its traits gets another one.
// A request with only some of them does: it shows which of them is the cause.
type pause struct {
	traits []Trait
	until  time.Duration
}

type reservation struct {
	fingerprint model.Fingerprint
	until       time.Duration
}

// NewTrials returns a Trials without reservations.
func NewTrials(tracker *Tracker) *Trials {
	return &Trials{tracker: tracker, clock: tracker.clock, requests: map[model.Fingerprint]time.Duration{}, traits: map[Trait]time.Duration{}, servers: map[model.Incarnation]reservation{}}
}

// Grant is the reply to a request for a trial.
type Grant struct {
	Granted bool `json:"granted"`
	// BusyServer is a server reserved for another suspect. It is empty if the request itself
	// or another one with the same trait is already running as a trial.
	BusyServer model.Incarnation `json:"busy,omitzero"`
	// WaitMS is the remaining time of that reservation in milliseconds.
	WaitMS int64 `json:"wait_ms,omitempty"`
}

// Request grants a trial of a request at servers, or returns what prevents it. A request has at
// most one trial at a time, and so have a trait that restricts requests and a server.
//
// It refuses a request that this router's own tracker restricts further than to trials, because
// the asking router may have missed a report.
func (t *Trials) Request(s Subject, servers []model.Incarnation) Grant {
	fp := s.Fingerprint()
	a := t.tracker.Assess(s)
	if a.Restriction > TrialOnly {
		return Grant{}
	}
	trialPause := t.tracker.trialPause(a.Traits)
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock()
	t.removeExpired(now)
	if until, ok := t.requests[fp]; ok {
		return Grant{WaitMS: (until - now).Milliseconds()}
	}
	for _, tr := range a.Traits {
		if until, ok := t.traits[tr]; ok {
			return Grant{WaitMS: (until - now).Milliseconds()}
		}
	}
	for _, p := range t.pauses {
		if traits := t.tracker.restrictedOf(p.traits); len(traits) > 0 && hasAll(a.Traits, traits) {
			return Grant{WaitMS: (p.until - now).Milliseconds()}
		}
	}
	for _, server := range servers {
		if r, ok := t.servers[server]; ok {
			return Grant{BusyServer: server, WaitMS: (r.until - now).Milliseconds()}
		}
	}
	t.requests[fp] = now + trialDuration
	for _, tr := range a.Traits {
		t.traits[tr] = now + trialDuration
	}
	if trialPause > trialDuration {
		t.pauses = append(t.pauses, pause{traits: a.Traits, until: now + trialPause})
	}
	for _, server := range servers {
		t.servers[server] = reservation{fingerprint: fp, until: now + trialDuration}
	}
	return Grant{Granted: true}
}

func (t *Trials) removeExpired(now time.Duration) {
	expired := func(until time.Duration) bool { return until <= now }
	maps.DeleteFunc(t.requests, func(_ model.Fingerprint, until time.Duration) bool { return expired(until) })
	maps.DeleteFunc(t.traits, func(_ Trait, until time.Duration) bool { return expired(until) })
	t.pauses = slices.DeleteFunc(t.pauses, func(p pause) bool { return expired(p.until) })
	for server, r := range t.servers {
		if r.until <= now {
			delete(t.servers, server)
		}
	}
}
