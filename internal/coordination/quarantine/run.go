package quarantine

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/skylarkwood/skylarkwood/internal/model"
)

// Location is a server and its failure domain.
type Location struct {
	Server model.Incarnation
	Domain string
}

// Run is one run of a request: at a server of a plain service, or at the engines of a chain,
// of which the first received the request. It must be finished with End.
type Run struct {
	tracker     *Tracker
	once        sync.Once
	fingerprint model.Fingerprint
	subject     Subject
	// proceeded is set once an event has arrived settleTime after the first.
	proceeded atomic.Bool

	// The fields below are guarded by tracker.mu.
	locations []Location
	// responseStartedAt is when the first event arrived, if responseStarted is set.
	responseStarted   bool
	responseStartedAt time.Duration
	// exitCountedAt is when an exit was last counted against the request, or 0. Move resets
	// it once simultaneousExitWindow has passed.
	exitCountedAt time.Duration
	suspect       bool
}

// simultaneousExitWindow is the time within which exits of engines count as simultaneous. A run
// that is moved within it may still include an engine whose exit has not been reported yet.
const simultaneousExitWindow = 50 * time.Millisecond

// Result is the outcome of a run.
type Result int

// Results of a run.
const (
	// Inconclusive means that the run is no evidence about the request: the caller
	// disconnected, the deadline passed, or the server refused it or did not respond.
	Inconclusive Result = iota
	// Completed means that the server sent a whole response, which may be an error.
	Completed
	// CompletedAtClose means the same of a response that had no length and ended with its
	// connection. A process that exits may end it like that too.
	CompletedAtClose
	// ConnectionLost means that the server's connection ended during the run.
	ConnectionLost
)

// settleTime is how long after its start a response must proceed, or how long its server must
// stay up after a complete one, so that it counts as a success. Servers exit some tens of
// milliseconds after they begin a response that makes them exit.
const settleTime = 500 * time.Millisecond

// Begin records that the servers at the locations start to run a request. suspect marks the run
// as that of a suspect, see SuspectRuns.
func (t *Tracker) Begin(subject Subject, suspect bool, locations ...Location) *Run {
	r := &Run{tracker: t, subject: subject, suspect: suspect}
	t.mu.Lock()
	defer t.mu.Unlock()
	r.setLocations(locations)
	t.stages[subject.Service] = len(locations)
	return r
}

// Fingerprint returns the fingerprint of the request.
func (r *Run) Fingerprint() model.Fingerprint {
	r.once.Do(func() { r.fingerprint = r.subject.Fingerprint() })
	return r.fingerprint
}

// setLocations replaces the locations of the run. The caller must hold the tracker's lock.
func (r *Run) setLocations(locations []Location) {
	for _, l := range r.locations {
		delete(r.tracker.runs[l.Server], r)
		if len(r.tracker.runs[l.Server]) == 0 {
			delete(r.tracker.runs, l.Server)
		}
	}
	r.locations = locations
	for _, l := range locations {
		if r.tracker.runs[l.Server] == nil {
			r.tracker.runs[l.Server] = map[*Run]bool{}
		}
		r.tracker.runs[l.Server][r] = true
	}
}

// Move records that the run continues at other locations.
func (r *Run) Move(locations []Location) {
	r.tracker.mu.Lock()
	defer r.tracker.mu.Unlock()
	if r.tracker.clock()-r.exitCountedAt >= simultaneousExitWindow {
		r.exitCountedAt = 0
	}
	r.setLocations(locations)
}

// EventReceived records that the response has started, or that it proceeds.
func (r *Run) EventReceived() {
	if r.proceeded.Load() {
		return
	}
	t := r.tracker
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock()
	switch {
	case !r.responseStarted:
		r.responseStarted, r.responseStartedAt = true, now
	case now-r.responseStartedAt >= settleTime && len(r.locations) > 0:
		r.proceeded.Store(true)
		t.recordSuccess(r.subject.Service, r.subject.traits())
	}
}

// countExit reports whether the exit of one of the run's servers counts against the request, and
// records that it does. Of simultaneous exits in one chain only the first counts: otherwise a
// failure domain that loses half of its engines would restrict to trials each stream that ran
// through two of them. The caller must hold the tracker's lock.
func (r *Run) countExit() bool {
	if r.exitCountedAt != 0 {
		return false
	}
	r.exitCountedAt = max(r.tracker.clock(), 1)
	return true
}

// participationAt returns how the run takes part at one of its servers. The caller must hold the
// tracker's lock.
func (r *Run) participationAt(server model.Incarnation) participation {
	return participation{
		responseStarted: r.responseStarted, laterStage: r.locations[0].Server != server, proceeded: r.proceeded.Load(),
		customer: r.subject.Customer, route: r.subject.Route, parts: r.subject.Parts, service: r.subject.Service,
	}
}

// End records the result of the run. It returns the servers whose exit is not confirmed and that
// the caller should probe: all of them if the request would be restricted to trials, because its
// next run waits for the result, and else the server of a plain service, because nothing else
// watches it.
func (r *Run) End(result Result) (unconfirmed []model.Incarnation) {
	t := r.tracker
	if result == ConnectionLost || result == CompletedAtClose || result == Completed && t.HasSuspects() {
		r.Fingerprint() // outside the lock, because it reads the whole body
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	locations := r.locations
	if len(locations) == 0 {
		return nil
	}
	p := r.participationAt(locations[0].Server)
	r.setLocations(nil)
	switch result {
	case Completed:
		if !r.proceeded.Load() {
			t.recordSuccess(r.subject.Service, r.subject.traits())
		}
		if t.hasSuspects() {
			t.recordCompletion(r.Fingerprint())
		}
	case CompletedAtClose:
		t.unconfirmedSuccesses = append(t.unconfirmedSuccesses, unconfirmedSuccess{at: t.clock(), subject: r.subject, fingerprint: r.Fingerprint(), locations: locations, participation: p})
	case ConnectionLost:
		return t.recordLostConnection(r.Fingerprint(), locations, p)
	case Inconclusive:
	}
	return nil
}

// unconfirmedSuccess is a complete response that ended with its connection, while it is not known
// whether its servers stay up.
type unconfirmedSuccess struct {
	at            time.Duration
	subject       Subject
	fingerprint   model.Fingerprint
	locations     []Location
	participation participation
}

// confirmSuccesses records the successes whose servers have stayed up for settleTime. The caller
// must hold t.mu.
func (t *Tracker) confirmSuccesses() {
	n := 0
	for n < len(t.unconfirmedSuccesses) && t.clock()-t.unconfirmedSuccesses[n].at >= settleTime {
		s := t.unconfirmedSuccesses[n]
		if !s.participation.proceeded {
			t.recordSuccess(s.subject.Service, s.subject.traits())
		}
		if t.hasSuspects() {
			t.recordCompletion(s.fingerprint)
		}
		n++
	}
	t.unconfirmedSuccesses = slices.Delete(t.unconfirmedSuccesses, 0, n)
}

// withdrawUnconfirmedSuccesses adds the requests whose response ended with its connection to a
// server shortly before that server exited. The caller must hold t.mu.
func (t *Tracker) withdrawUnconfirmedSuccesses(server model.Incarnation, requests map[model.Fingerprint]participation) {
	t.unconfirmedSuccesses = slices.DeleteFunc(t.unconfirmedSuccesses, func(s unconfirmedSuccess) bool {
		if !slices.ContainsFunc(s.locations, func(l Location) bool { return l.Server == server }) {
			return false
		}
		p := s.participation
		p.laterStage = s.locations[0].Server != server
		mergeParticipation(requests, s.fingerprint, p)
		return true
	})
}

// recordCompletion clears a request that a server completed. The caller must hold t.mu.
func (t *Tracker) recordCompletion(fp model.Fingerprint) {
	v := t.verdicts[fp]
	onProbation := v != nil && !t.inTerm(v)
	exits := t.clearSuspect(fp)
	if onProbation {
		delete(t.verdicts, fp)
		t.verdictsChanged()
	}
	if exits > 0 || onProbation {
		t.outbox.addCleared(fp)
		logCleared(fp, exits)
	}
}

// recordLostConnection records that the connection to the first server of a run ended, and
// returns the servers to probe. Exits of the servers behind it are reported separately. The
// caller must hold t.mu.
func (t *Tracker) recordLostConnection(fp model.Fingerprint, locations []Location, p participation) (unconfirmed []model.Incarnation) {
	s := t.suspectFor(fp)
	first := locations[0]
	for _, l := range locations {
		// The exit of any engine ends the whole chain and is already counted.
		if s.exits[l.Server] {
			return nil
		}
	}
	s.lostConnections[first.Server] = lostConnection{at: t.clock(), locations: locations, participation: p}
	switch {
	case len(s.exits)+len(s.lostConnections) >= minExitsForTrial:
		return slices.Collect(maps.Keys(s.lostConnections))
	case len(locations) == 1 && t.startCheck(first.Server):
		return []model.Incarnation{first.Server}
	}
	return nil
}

// startCheck reports whether a server of a plain service should be probed, and records that it
// is. The caller must hold t.mu.
func (t *Tracker) startCheck(server model.Incarnation) bool {
	now := t.clock()
	if at, ok := t.checkedAt[server]; ok && now-at < checkInterval {
		return false
	}
	t.checkedAt[server] = now
	return true
}

// SuspectRuns returns the number of runs of suspects that this router has at a server.
func (t *Tracker) SuspectRuns(server model.Incarnation) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for run := range t.runs[server] {
		if run.suspect {
			n++
		}
	}
	return n
}
