package quarantine

import (
	"sync"
	"time"

	"github.com/skylarkwood/skylarkwood/internal/model"
)

// trialDuration is how long a trial reserves its request and its servers. Requests that make
// servers exit do so soon after the server starts to run them.
const trialDuration = time.Second

// Trials grants trials, which are runs of requests restricted to TrialOnly. One router grants
// them for all routers: the first by rendezvous hashing among the reachable ones. While routers
// disagree on which one that is, two suspects may run at one server. This can delay a verdict but
// not make it wrong.
type Trials struct {
	tracker *Tracker
	clock   func() time.Duration

	mu       sync.Mutex
	requests map[model.Fingerprint]time.Duration // when the reservation ends
	servers  map[model.Incarnation]reservation
}

type reservation struct {
	fingerprint model.Fingerprint
	until       time.Duration
}

// NewTrials returns a Trials without reservations.
func NewTrials(tracker *Tracker) *Trials {
	return &Trials{tracker: tracker, clock: tracker.clock, requests: map[model.Fingerprint]time.Duration{}, servers: map[model.Incarnation]reservation{}}
}

// Grant is the reply to a request for a trial.
type Grant struct {
	Granted bool `json:"granted"`
	// BusyServer is a server reserved for another suspect. It is empty if the request itself
	// is already running as a trial.
	BusyServer model.Incarnation `json:"busy,omitzero"`
	// WaitMS is the remaining time of that reservation in milliseconds.
	WaitMS int64 `json:"wait_ms,omitempty"`
}

// Request grants a trial of a request at servers, or returns what prevents it. A request has at
// most one trial at a time, and so has a server.
//
// It refuses a request that this router's own tracker restricts further than to trials, because
// the asking router may have missed a report.
func (t *Trials) Request(fp model.Fingerprint, servers []model.Incarnation) Grant {
	if t.tracker.Assess(fp).Restriction > TrialOnly {
		return Grant{}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock()
	t.removeExpired(now)
	if until, ok := t.requests[fp]; ok {
		return Grant{WaitMS: (until - now).Milliseconds()}
	}
	for _, server := range servers {
		if r, ok := t.servers[server]; ok {
			return Grant{BusyServer: server, WaitMS: (r.until - now).Milliseconds()}
		}
	}
	t.requests[fp] = now + trialDuration
	for _, server := range servers {
		t.servers[server] = reservation{fingerprint: fp, until: now + trialDuration}
	}
	return Grant{Granted: true}
}

func (t *Trials) removeExpired(now time.Duration) {
	for fp, until := range t.requests {
		if until <= now {
			delete(t.requests, fp)
		}
	}
	for server, r := range t.servers {
		if r.until <= now {
			delete(t.servers, server)
		}
	}
}
