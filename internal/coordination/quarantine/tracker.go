// Package quarantine identifies requests that make the servers which run them exit, and keeps
// such requests from being run again.
//
// A failed attempt is retried, here or at another router, and each server that runs the request
// exits together with all other requests on it. Routers therefore record, by request
// fingerprint, which server processes exited while they ran a request, and report this to each
// other.
//
// Most requests at a server that exits are harmless and are retried together with the one that
// caused the exit. Three rules separate them. A request that ran at one such server is kept
// apart from other suspects. After two exits it runs only as a trial, alone among suspects. It
// is quarantined only if no other request was present at all of the same exits. A whole response
// of a server clears a request.
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
	// evidenceRetention is how long the exit of a server is kept.
	evidenceRetention = 10 * time.Minute
	// checkInterval is the minimum time between two probes of one server after lost
	// connections. A server that sends malformed responses loses many.
	checkInterval = time.Second
	// lostConnectionRetention is how long a lost connection is kept while the exit of its
	// server is not confirmed. The restarted server registers within a few seconds.
	lostConnectionRetention = 5 * time.Second
	// maxExits and maxParticipations bound the memory of the tracker. Each entry takes some
	// hundred bytes.
	maxExits          = 1024
	maxParticipations = 8192
	// maxExitsPerRequest bounds the exits kept for one request, the newest. More do not
	// change the result and make each assessment slower.
	maxExitsPerRequest = 16
	// maxRequestsPerExit bounds the requests kept for one exit. An exit with more requests
	// is not used as evidence, because the list is incomplete.
	maxRequestsPerExit = 512
)

// Tracker holds what one router knows about requests that make servers exit. It is safe for
// concurrent use.
type Tracker struct {
	// Servers returns the number of servers of a service that may run requests. It must be set
	// before the first use, or be nil if the number is not known.
	Servers func(service string) int

	clock     func() time.Duration
	startedAt time.Duration

	mu sync.Mutex
	// runs holds the runs in progress by server.
	runs map[model.Incarnation]map[*Run]bool
	// exits holds the server processes that exited, with the requests that they ran.
	exits          map[model.Incarnation]*serverExit
	participations int
	suspects       map[model.Fingerprint]*suspect
	verdicts       map[model.Fingerprint]*verdictEntry
	// verdictVersion is incremented with each change of verdicts. verdictTraits holds the
	// traits that they name.
	verdictVersion int
	verdictTraits  map[Trait]bool
	// traits holds the traits that requests at exits had, and those with which requests are
	// served. suspectTraits holds those present at exits since their last success, and
	// suspiciousTraits those that restrict requests.
	traits, suspectTraits, suspiciousTraits map[Trait]*traitRecord
	traitsEvaluatedAt, evaluationTook       time.Duration
	// compared is the number of traits that the last evaluation compared.
	compared int
	// traitsAtExits is the sum over exits of the traits present there.
	traitsAtExits int
	// served counts the requests that this router served, by service. stages is the number of
	// servers of the last run.
	served map[string]*served
	stages map[string]int
	// unconfirmedSuccesses are complete responses that ended with their connection.
	unconfirmedSuccesses []unconfirmedSuccess
	outbox               outbox
	// checkedAt is when a server of a plain service was last probed.
	checkedAt map[model.Incarnation]time.Duration
}

// New returns an empty tracker. clock returns a monotonic time that includes suspension of the
// instance.
func New(clock func() time.Duration) *Tracker {
	return &Tracker{
		clock:     clock,
		startedAt: clock(),

		runs:     map[model.Incarnation]map[*Run]bool{},
		exits:    map[model.Incarnation]*serverExit{},
		suspects: map[model.Fingerprint]*suspect{},
		verdicts: map[model.Fingerprint]*verdictEntry{},
		traits:   map[Trait]*traitRecord{},

		verdictVersion:   1,
		verdictTraits:    map[Trait]bool{},
		suspectTraits:    map[Trait]*traitRecord{},
		suspiciousTraits: map[Trait]*traitRecord{},
		served:           map[string]*served{},
		stages:           map[string]int{},
		outbox:           newOutbox(),

		checkedAt: map[model.Incarnation]time.Duration{},
	}
}

// suspect is a request that ran at servers that exited or lost their connection.
type suspect struct {
	exits map[model.Incarnation]bool
	// lostConnections holds runs whose connection ended, by the first server of the run. It
	// is not known whether that server or another one of the chain has exited.
	lostConnections map[model.Incarnation]lostConnection
	// local reports that this router ran the request at a server that exited.
	local bool
	// trialOnlyLogged reports that the restriction to trials has been logged.
	trialOnlyLogged bool
}

// lostConnection is a run whose connection ended.
type lostConnection struct {
	at        time.Duration
	locations []Location
	// participation is how the request took part at the first server.
	participation participation
}

// involves reports whether a server took part in the run.
func (c lostConnection) involves(server model.Incarnation) bool {
	return slices.ContainsFunc(c.locations, func(l Location) bool { return l.Server == server })
}

// suspectFor returns the suspect with a fingerprint and creates it if there is none.
func (t *Tracker) suspectFor(fp model.Fingerprint) *suspect {
	s := t.suspects[fp]
	if s == nil {
		s = &suspect{exits: map[model.Incarnation]bool{}, lostConnections: map[model.Incarnation]lostConnection{}}
		t.suspects[fp] = s
	}
	return s
}

// removeIfUnsuspected removes a suspect without exits and lost connections.
func (t *Tracker) removeIfUnsuspected(fp model.Fingerprint) {
	if s := t.suspects[fp]; s != nil && len(s.exits) == 0 && len(s.lostConnections) == 0 {
		delete(t.suspects, fp)
	}
}

// ServerExited records that a server's process in a failure domain exited. The requests that ran
// there, or whose connection to it was lost recently, become suspects.
func (t *Tracker) ServerExited(server model.Incarnation, domain string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	requests := map[model.Fingerprint]participation{}
	for run := range t.runs[server] {
		if run.countExit() {
			mergeParticipation(requests, run.Fingerprint(), run.participationAt(server))
		}
	}
	for fp, s := range t.suspects {
		for first, lost := range s.lostConnections {
			if lost.involves(server) {
				p := lost.participation
				p.laterStage = first != server
				mergeParticipation(requests, fp, p)
				delete(s.lostConnections, first)
			}
		}
	}
	t.withdrawUnconfirmedSuccesses(server, requests)
	service := serviceOf(requests)
	added := t.recordExit(server, domain, service, t.clock(), requests)
	if len(added) == 0 {
		return
	}
	if e := t.exits[server]; e != nil { // it may have been evicted
		e.countLost(added)
	}
	for fp, p := range added {
		t.suspectFor(fp).local = true
		for _, tr := range p.traits() {
			t.traitFor(tr).local = true
		}
	}
	t.outbox.addExit(server, domain, service, added)
	t.logExit(server, domain, added, "this router")
}

// recordExit records the requests that ran at a server when it exited, at a time, and returns those
// that were not known yet. An exit that is known keeps its time. The caller must hold t.mu.
func (t *Tracker) recordExit(server model.Incarnation, domain, service string, at time.Duration, requests map[model.Fingerprint]participation) map[model.Fingerprint]participation {
	e := t.exits[server]
	if e == nil {
		e = &serverExit{domain: domain, at: at, requests: map[model.Fingerprint]participation{}, traits: map[Trait]int{}}
		t.exits[server] = e
	}
	if e.service == "" {
		e.service = service
	}
	added := map[model.Fingerprint]participation{}
	for fp, p := range requests {
		if _, known := e.requests[fp]; known {
			mergeParticipation(e.requests, fp, p)
			continue
		}
		if len(e.requests) >= maxRequestsPerExit {
			e.truncated = true
			break
		}
		t.recordTraits(server, e, p.traits())
		e.requests[fp] = p
		t.participations++
		s := t.suspectFor(fp)
		s.exits[server] = true
		delete(s.lostConnections, server)
		if len(s.exits) > maxExitsPerRequest {
			t.removeParticipation(fp, t.oldestExit(s.exits))
		}
		added[fp] = p
	}
	for t.participations > maxParticipations || t.traitsAtExits > maxTraitsAtExits || len(t.exits) > maxExits {
		t.evictOldestExit()
	}
	return added
}

// evictOldestExit removes the oldest exit. The caller must hold t.mu.
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

// oldestExit returns the server that exited first.
func (t *Tracker) oldestExit(servers map[model.Incarnation]bool) model.Incarnation {
	return slices.MinFunc(slices.Collect(maps.Keys(servers)), func(a, b model.Incarnation) int { return cmp.Compare(t.exits[a].at, t.exits[b].at) })
}

// removeParticipation removes a request from an exit.
func (t *Tracker) removeParticipation(fp model.Fingerprint, server model.Incarnation) {
	delete(t.suspects[fp].exits, server)
	delete(t.exits[server].requests, fp)
	t.participations--
}

func (t *Tracker) removeExit(server model.Incarnation) {
	e := t.exits[server]
	delete(t.exits, server)
	t.forgetTraitExit(server, e)
	t.participations -= len(e.requests)
	for fp := range e.requests {
		if s := t.suspects[fp]; s != nil {
			delete(s.exits, server)
			t.removeIfUnsuspected(fp)
		}
	}
}

// ServerAlive records that a server accepts connections after one was lost, so its process has
// not exited. The lost connections of plain requests to it are discarded. Those of chains are
// kept, because another engine of the chain may have exited.
func (t *Tracker) ServerAlive(server model.Incarnation) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for fp, s := range t.suspects {
		if lost, ok := s.lostConnections[server]; ok && len(lost.locations) == 1 {
			delete(s.lostConnections, server)
			t.removeIfUnsuspected(fp)
		}
	}
}

// clearSuspect removes all evidence against a request and returns the number of its exits. The
// caller must hold t.mu.
func (t *Tracker) clearSuspect(fp model.Fingerprint) (exits int) {
	s := t.suspects[fp]
	if s == nil {
		return 0
	}
	for server := range s.exits {
		delete(t.exits[server].requests, fp)
		t.participations--
	}
	delete(t.suspects, fp)
	return len(s.exits)
}

// Expire removes exits, lost connections and verdicts that are past their retention.
func (t *Tracker) Expire() {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock()
	for server, e := range t.exits {
		if now-e.at > evidenceRetention {
			t.removeExit(server)
		}
	}
	for fp, s := range t.suspects {
		for server, lost := range s.lostConnections {
			if now-lost.at > lostConnectionRetention {
				delete(s.lostConnections, server)
			}
		}
		t.removeIfUnsuspected(fp)
	}
	t.expireTraits()
	for _, s := range t.served {
		s.expire(now - evidenceRetention)
	}
	maps.DeleteFunc(t.checkedAt, func(_ model.Incarnation, at time.Duration) bool { return now-at > checkInterval })
	for fp, v := range t.verdicts {
		if now-v.since > v.term+probation(v.term) {
			delete(t.verdicts, fp)
			t.verdictsChanged()
		}
	}
}

// Counts returns the numbers of suspects, of traits present at exits since their last success,
// and of verdicts, for metrics.
func (t *Tracker) Counts() (suspects, traits, quarantined int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.suspects), len(t.suspectTraits), len(t.verdicts)
}
