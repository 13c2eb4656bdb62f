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
	// evidenceFor is how long the end of a server is remembered.
	evidenceFor = 10 * time.Minute
	// lookAgainAfter is between two looks at one server whose connections break off: one
	// that spoils answers breaks off many.
	lookAgainAfter = time.Second
	// brokenFor is how long a run that broke off waits for word that its server's process
	// ended: a successor's entry is there within some seconds.
	brokenFor = 5 * time.Second
	// mostEnds and mostPresences bound what is remembered: some hundred bytes of each end
	// and of each request at one.
	mostEnds      = 1024
	mostPresences = 8192
	// mostOfOne bounds the ends that are remembered of one request, the newest: more decide
	// nothing, and looking through hundreds of them takes longer than serving it.
	mostOfOne = 16
	// mostAtOneEnd bounds the requests that are remembered of one end. A server that had
	// more of them is no evidence, as some of its requests are not known.
	mostAtOneEnd = 512
)

// Tracker is what one router knows of requests that end servers. Its clock goes on while
// the instance is suspended.
type Tracker struct {
	clock func() time.Duration

	mu sync.Mutex
	// runs are those in progress, by server.
	runs map[model.Incarnation]map[*Run]bool
	// ends are the servers whose processes ended, with the requests they ran.
	ends      map[model.Incarnation]*end
	presences int
	suspects  map[model.Fingerprint]*suspect
	verdicts  map[model.Fingerprint]*verdict
	out       outbox
	// lookedInto is when a server of a plain service was last looked into.
	lookedInto map[model.Incarnation]time.Duration
}

// New makes a tracker that knows of nothing.
func New(clock func() time.Duration) *Tracker {
	return &Tracker{
		clock:    clock,
		runs:     map[model.Incarnation]map[*Run]bool{},
		ends:     map[model.Incarnation]*end{},
		suspects: map[model.Fingerprint]*suspect{},
		verdicts: map[model.Fingerprint]*verdict{},
		out:      newOutbox(),

		lookedInto: map[model.Incarnation]time.Duration{},
	}
}

// end is one server process that ended.
type end struct {
	domain  string
	at      time.Duration
	present map[model.Fingerprint]presence
	// crowded says that it ran more requests than are remembered.
	crowded bool
}

// presence is how a request was at a server that ended.
type presence struct {
	// answered says that the server had begun to answer. A request that ends servers as
	// they begin to run it gets that far at none.
	answered bool
	// later says that the server ran a later part of the request's chain.
	later bool
}

// suspect is a request that ran at servers which ended.
type suspect struct {
	ends map[model.Incarnation]bool
	// broken are its runs that broke off, by the server that it was sent to; that this one
	// or another of the chain has ended is not confirmed.
	broken map[model.Incarnation]breakOff
	// own says that this router ran it at a server that ended.
	own bool
	// warned says that its being alone was logged.
	warned bool
}

// breakOff is a run whose connection ended.
type breakOff struct {
	at       time.Duration
	places   []Location
	answered bool
}

// ranAt tells whether a server took part.
func (b breakOff) ranAt(server model.Incarnation) bool {
	return slices.ContainsFunc(b.places, func(p Location) bool { return p.Server == server })
}

func (t *Tracker) suspect(work model.Fingerprint) *suspect {
	s := t.suspects[work]
	if s == nil {
		s = &suspect{ends: map[model.Incarnation]bool{}, broken: map[model.Incarnation]breakOff{}}
		t.suspects[work] = s
	}
	return s
}

// drop forgets a suspect that nothing speaks against any more.
func (t *Tracker) drop(work model.Fingerprint) {
	if s := t.suspects[work]; s != nil && len(s.ends) == 0 && len(s.broken) == 0 {
		delete(t.suspects, work)
	}
}

// ServerExited takes in that a server's process ended in a failure domain: the requests that it
// ran, or that broke off there lately, may have ended it.
func (t *Tracker) ServerExited(server model.Incarnation, domain string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	present := map[model.Fingerprint]presence{}
	for run := range t.runs[server] {
		if run.charge() {
			add(present, run.Fingerprint(), run.presenceAt(server))
		}
	}
	for work, s := range t.suspects {
		for first, b := range s.broken {
			if b.ranAt(server) {
				add(present, work, presence{answered: b.answered, later: first != server})
				delete(s.broken, first)
			}
		}
	}
	news := t.note(server, domain, present)
	if len(news) == 0 {
		return
	}
	for work := range news {
		t.suspect(work).own = true
	}
	t.out.end(server, domain, news)
	t.logEnd(server, domain, news, "this router")
}

// add unites what is known of one request at one server: what speaks against it counts.
func add(present map[model.Fingerprint]presence, work model.Fingerprint, p presence) {
	if before, ok := present[work]; ok {
		p.answered = p.answered && before.answered
		p.later = p.later && before.later
	}
	present[work] = p
}

// note takes in which requests were at a server that ended and gives those that were not
// known. The caller holds the lock.
func (t *Tracker) note(server model.Incarnation, domain string, present map[model.Fingerprint]presence) map[model.Fingerprint]presence {
	e := t.ends[server]
	if e == nil {
		e = &end{domain: domain, at: t.clock(), present: map[model.Fingerprint]presence{}}
		t.ends[server] = e
	}
	news := map[model.Fingerprint]presence{}
	for work, p := range present {
		if _, known := e.present[work]; known {
			add(e.present, work, p)
			continue
		}
		if len(e.present) >= mostAtOneEnd {
			e.crowded = true
			break
		}
		e.present[work] = p
		t.presences++
		s := t.suspect(work)
		s.ends[server] = true
		delete(s.broken, server)
		if len(s.ends) > mostOfOne {
			t.forgetPresence(work, t.oldest(s.ends))
		}
		news[work] = p
	}
	for t.presences > mostPresences || len(t.ends) > mostEnds {
		t.forgetOldest()
	}
	return news
}

// forgetOldest forgets the oldest end. The caller holds the lock.
func (t *Tracker) forgetOldest() {
	var oldest model.Incarnation
	var found *end
	for server, e := range t.ends {
		if found == nil || e.at < found.at {
			oldest, found = server, e
		}
	}
	t.forget(oldest)
}

// oldest is the oldest of a request's ends.
func (t *Tracker) oldest(ends map[model.Incarnation]bool) model.Incarnation {
	return slices.MinFunc(slices.Collect(maps.Keys(ends)), func(a, b model.Incarnation) int { return cmp.Compare(t.ends[a].at, t.ends[b].at) })
}

// forgetPresence forgets that a request was at an end.
func (t *Tracker) forgetPresence(work model.Fingerprint, server model.Incarnation) {
	delete(t.suspects[work].ends, server)
	delete(t.ends[server].present, work)
	t.presences--
}

func (t *Tracker) forget(server model.Incarnation) {
	e := t.ends[server]
	delete(t.ends, server)
	t.presences -= len(e.present)
	for work := range e.present {
		if s := t.suspects[work]; s != nil {
			delete(s.ends, server)
			t.drop(work)
		}
	}
}

// ServerAlive takes in that a server whose connection broke off takes new ones: its process goes
// on, and what broke off there blames nobody. Of a chain another engine may have ended.
func (t *Tracker) ServerAlive(server model.Incarnation) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for work, s := range t.suspects {
		if b, ok := s.broken[server]; ok && len(b.places) == 1 {
			delete(s.broken, server)
			t.drop(work)
		}
	}
}

// clear takes back all blame of a request that a server has answered. The caller holds
// the lock.
func (t *Tracker) clear(work model.Fingerprint) (was int) {
	s := t.suspects[work]
	if s == nil {
		return 0
	}
	for server := range s.ends {
		delete(t.ends[server].present, work)
		t.presences--
	}
	delete(t.suspects, work)
	return len(s.ends)
}

// Expire forgets what is too old.
func (t *Tracker) Expire() {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock()
	for server, e := range t.ends {
		if now-e.at > evidenceFor {
			t.forget(server)
		}
	}
	for work, s := range t.suspects {
		for server, b := range s.broken {
			if now-b.at > brokenFor {
				delete(s.broken, server)
			}
		}
		t.drop(work)
	}
	maps.DeleteFunc(t.lookedInto, func(_ model.Incarnation, at time.Duration) bool { return now-at > lookAgainAfter })
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
