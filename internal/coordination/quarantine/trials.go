package quarantine

import (
	"sync"
	"time"

	"github.com/skylarkwood/skylarkwood/internal/model"
)

// trialDuration is for how long a server that runs a suspect alone takes no other one. A
// request that ends servers does so as they begin to run it; one that has run so long may
// have company.
const trialDuration = time.Second

// Trials grants runs of requests that must run alone. One router keeps them for all, the
// first by rendezvous hashing among the living; while routers disagree on who that is, two
// suspects may meet, which delays a verdict and makes no wrong one.
type Trials struct {
	tracker *Tracker
	clock   func() time.Duration

	mu       sync.Mutex
	requests map[model.Fingerprint]time.Duration // until when
	servers  map[model.Incarnation]reservation
}

type reservation struct {
	fingerprint model.Fingerprint
	until       time.Duration
}

// NewTrials makes a keeper that has granted nothing.
func NewTrials(tracker *Tracker) *Trials {
	return &Trials{tracker: tracker, clock: tracker.clock, requests: map[model.Fingerprint]time.Duration{}, servers: map[model.Incarnation]reservation{}}
}

// Grant is the answer to who wants to run a suspect at servers.
type Grant struct {
	Granted bool `json:"granted"`
	// BusyServer is a server that runs another suspect; empty where the request itself is on
	// trial.
	BusyServer model.Incarnation `json:"busy,omitzero"`
	// WaitMS is how long that lasts at most.
	WaitMS int64 `json:"wait_ms,omitempty"`
}

// Request grants a run of a request at servers, or tells what stands against it: a request
// runs once at a time, and a server runs one suspect.
//
// Who asks may have missed what others told: what the keeper knows against the request
// counts as well.
func (t *Trials) Request(work model.Fingerprint, servers []model.Incarnation) Grant {
	if t.tracker.Assess(work).Restriction > TrialOnly {
		return Grant{}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock()
	t.removeExpired(now)
	if until, ok := t.requests[work]; ok {
		return Grant{WaitMS: (until - now).Milliseconds()}
	}
	for _, server := range servers {
		if c, ok := t.servers[server]; ok {
			return Grant{BusyServer: server, WaitMS: (c.until - now).Milliseconds()}
		}
	}
	t.requests[work] = now + trialDuration
	for _, server := range servers {
		t.servers[server] = reservation{fingerprint: work, until: now + trialDuration}
	}
	return Grant{Granted: true}
}

func (t *Trials) removeExpired(now time.Duration) {
	for work, until := range t.requests {
		if until <= now {
			delete(t.requests, work)
		}
	}
	for server, c := range t.servers {
		if c.until <= now {
			delete(t.servers, server)
		}
	}
}
