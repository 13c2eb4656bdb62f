// Package quarantine finds requests that end the servers which run them, and keeps them
// from further ones.
//
// A router counts a failure against the attempt that met it; the next attempt of the same
// request begins from nothing, at any router, and each server that runs it ends under the
// requests of others. So routers remember, by a request's fingerprint, the server
// processes that ended while they ran it, and tell each other.
//
// Most requests at a server that ends are innocent, and are sent on together with the
// guilty one. Three things tell them apart: a request under which a server ended is sent
// elsewhere than others of its kind; after a second end it runs alone among such; and it is
// blamed only where no other request was at all of its ends. A server's answer clears it.
package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/skylarkwood/skylarkwood/internal/model"
)

const (
	// evidenceRetention is how long the end of a server is remembered.
	evidenceRetention = 10 * time.Minute
	// checkInterval is between two looks at one server whose connections break off: one
	// that spoils answers breaks off many.
	checkInterval = time.Second
	// lostConnectionRetention is how long a run that broke off waits for word that its server's process
	// ended: a successor's entry is there within some seconds.
	lostConnectionRetention = 5 * time.Second
	// maxExits and mostPresences bound what is remembered: some hundred bytes of each end
	// and of each request at one.
	maxExits          = 1024
	maxParticipations = 8192
	// maxExitsPerRequest bounds the ends that are remembered of one request, the newest: more decide
	// nothing, and looking through hundreds of them takes longer than serving it.
	maxExitsPerRequest = 16
	// maxRequestsPerExit bounds the requests that are remembered of one end. A server that had
	// more of them is no evidence, as some of its requests are not known.
	maxRequestsPerExit = 512
)

// Tracker is what one router knows of requests that end servers. Its clock goes on while
// the instance is suspended.
type Tracker struct {
	clock func() time.Duration

	mu sync.Mutex
	// runs are those in progress, by server.
	runs map[model.Incarnation]map[*Run]bool
	// exits are the servers whose processes ended, with the requests they ran.
	exits          map[model.Incarnation]*serverExit
	participations int
	suspects       map[model.Fingerprint]*suspect
	verdicts       map[model.Fingerprint]*verdictEntry
	outbox         outbox
	// checkedAt is when a server of a plain service was last looked into.
	checkedAt map[model.Incarnation]time.Duration
}

// New makes a tracker that knows of nothing.
func New(clock func() time.Duration) *Tracker {
	return &Tracker{
		clock:    clock,
		runs:     map[model.Incarnation]map[*Run]bool{},
		exits:    map[model.Incarnation]*serverExit{},
		suspects: map[model.Fingerprint]*suspect{},
		verdicts: map[model.Fingerprint]*verdictEntry{},
		outbox:   newOutbox(),

		checkedAt: map[model.Incarnation]time.Duration{},
	}
}

// serverExit is one server process that ended.
type serverExit struct {
	domain   string
	at       time.Duration
	requests map[model.Fingerprint]participation
	// truncated says that it ran more requests than are remembered.
	truncated bool
}

// participation is how a request was at a server that ended.
type participation struct {
	// responseStarted says that the server had begun to answer. A request that ends servers as
	// they begin to run it gets that far at none.
	responseStarted bool
	// laterStage says that the server ran a laterStage part of the request's chain.
	laterStage bool
}

// suspect is a request that ran at servers which ended.
type suspect struct {
	exits map[model.Incarnation]bool
	// lostConnections are its runs that broke off, by the server that it was sent to; that this one
	// or another of the chain has ended is not confirmed.
	lostConnections map[model.Incarnation]lostConnection
	// local says that this router ran it at a server that ended.
	local bool
	// trialOnlyLogged says that its being alone was logged.
	trialOnlyLogged bool
}

// lostConnection is a run whose connection ended.
type lostConnection struct {
	at              time.Duration
	locations       []Location
	responseStarted bool
}

// involves tells whether a server took part.
func (b lostConnection) involves(server model.Incarnation) bool {
	return slices.ContainsFunc(b.locations, func(p Location) bool { return p.Server == server })
}

func (t *Tracker) suspectFor(work model.Fingerprint) *suspect {
	s := t.suspects[work]
	if s == nil {
		s = &suspect{exits: map[model.Incarnation]bool{}, lostConnections: map[model.Incarnation]lostConnection{}}
		t.suspects[work] = s
	}
	return s
}

// removeIfUnsuspected forgets a suspect that nothing speaks against any more.
func (t *Tracker) removeIfUnsuspected(work model.Fingerprint) {
	if s := t.suspects[work]; s != nil && len(s.exits) == 0 && len(s.lostConnections) == 0 {
		delete(t.suspects, work)
	}
}

// ServerExited takes in that a server's process ended in a failure domain: the requests that it
// ran, or that broke off there lately, may have ended it.
func (t *Tracker) ServerExited(server model.Incarnation, domain string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	present := map[model.Fingerprint]participation{}
	for run := range t.runs[server] {
		if run.countExit() {
			mergeParticipation(present, run.Fingerprint(), run.participationAt(server))
		}
	}
	for work, s := range t.suspects {
		for first, b := range s.lostConnections {
			if b.involves(server) {
				mergeParticipation(present, work, participation{responseStarted: b.responseStarted, laterStage: first != server})
				delete(s.lostConnections, first)
			}
		}
	}
	news := t.recordExit(server, domain, present)
	if len(news) == 0 {
		return
	}
	for work := range news {
		t.suspectFor(work).local = true
	}
	t.outbox.addExit(server, domain, news)
	t.logExit(server, domain, news, "this router")
}

// mergeParticipation unites what is known of one request at one server: what speaks against it counts.
func mergeParticipation(present map[model.Fingerprint]participation, work model.Fingerprint, p participation) {
	if before, ok := present[work]; ok {
		p.responseStarted = p.responseStarted && before.responseStarted
		p.laterStage = p.laterStage && before.laterStage
	}
	present[work] = p
}

// recordExit takes in which requests were at a server that ended and gives those that were not
// known. The caller holds the lock.
func (t *Tracker) recordExit(server model.Incarnation, domain string, present map[model.Fingerprint]participation) map[model.Fingerprint]participation {
	e := t.exits[server]
	if e == nil {
		e = &serverExit{domain: domain, at: t.clock(), requests: map[model.Fingerprint]participation{}}
		t.exits[server] = e
	}
	news := map[model.Fingerprint]participation{}
	for work, p := range present {
		if _, known := e.requests[work]; known {
			mergeParticipation(e.requests, work, p)
			continue
		}
		if len(e.requests) >= maxRequestsPerExit {
			e.truncated = true
			break
		}
		e.requests[work] = p
		t.participations++
		s := t.suspectFor(work)
		s.exits[server] = true
		delete(s.lostConnections, server)
		if len(s.exits) > maxExitsPerRequest {
			t.removeParticipation(work, t.oldestExit(s.exits))
		}
		news[work] = p
	}
	for t.participations > maxParticipations || len(t.exits) > maxExits {
		t.evictOldestExit()
	}
	return news
}

// evictOldestExit forgets the oldest end. The caller holds the lock.
func (t *Tracker) evictOldestExit() {
	var oldest model.Incarnation
	var found *serverExit
	for server, e := range t.exits {
		if found == nil || e.at < found.at {
			oldest, found = server, e
		}
	}
	t.removeExit(oldest)
}

// oldestExit is the oldestExit of a request's ends.
func (t *Tracker) oldestExit(ends map[model.Incarnation]bool) model.Incarnation {
	return slices.MinFunc(slices.Collect(maps.Keys(ends)), func(a, b model.Incarnation) int { return cmp.Compare(t.exits[a].at, t.exits[b].at) })
}

// removeParticipation forgets that a request was at an end.
func (t *Tracker) removeParticipation(work model.Fingerprint, server model.Incarnation) {
	delete(t.suspects[work].exits, server)
	delete(t.exits[server].requests, work)
	t.participations--
}

func (t *Tracker) removeExit(server model.Incarnation) {
	e := t.exits[server]
	delete(t.exits, server)
	t.participations -= len(e.requests)
	for work := range e.requests {
		if s := t.suspects[work]; s != nil {
			delete(s.exits, server)
			t.removeIfUnsuspected(work)
		}
	}
}

// ServerAlive takes in that a server whose connection broke off takes new ones: its process goes
// on, and what broke off there blames nobody. Of a chain another engine may have ended.
func (t *Tracker) ServerAlive(server model.Incarnation) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for work, s := range t.suspects {
		if b, ok := s.lostConnections[server]; ok && len(b.locations) == 1 {
			delete(s.lostConnections, server)
			t.removeIfUnsuspected(work)
		}
	}
}

// clearSuspect takes back all blame of a request that a server has answered. The caller holds
// the lock.
func (t *Tracker) clearSuspect(work model.Fingerprint) (was int) {
	s := t.suspects[work]
	if s == nil {
		return 0
	}
	for server := range s.exits {
		delete(t.exits[server].requests, work)
		t.participations--
	}
	delete(t.suspects, work)
	return len(s.exits)
}

// Expire forgets what is too old.
func (t *Tracker) Expire() {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock()
	for server, e := range t.exits {
		if now-e.at > evidenceRetention {
			t.removeExit(server)
		}
	}
	for work, s := range t.suspects {
		for server, b := range s.lostConnections {
			if now-b.at > lostConnectionRetention {
				delete(s.lostConnections, server)
			}
		}
		t.removeIfUnsuspected(work)
	}
	maps.DeleteFunc(t.checkedAt, func(_ model.Incarnation, at time.Duration) bool { return now-at > checkInterval })
	for work, v := range t.verdicts {
		if now-v.since > v.term+probation(v.term) {
			delete(t.verdicts, work)
		}
	}
}

// Counts gives the requests that are under suspicion and in quarantine, for metrics.
func (t *Tracker) Counts() (suspects, quarantined int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.suspects), len(t.verdicts)
}
