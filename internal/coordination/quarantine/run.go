package quarantine

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/skylarkwood/skylarkwood/internal/model"
)

// Location is a server that runs a request, and its failure domain.
type Location struct {
	Server model.Incarnation
	Domain string
}

// Run is one request at the servers that run it: one of a plain service, or the engines of
// a chain, the first of which it was sent to.
type Run struct {
	tracker            *Tracker
	once               sync.Once
	fingerprint        model.Fingerprint
	computeFingerprint func() model.Fingerprint

	// The tracker's lock guards the rest.
	locations       []Location
	responseStarted bool
	// exitCountedAt is when a server ended under it that counts, since it was moved last; zero
	// for none.
	exitCountedAt time.Duration
	suspect       bool
}

// simultaneousExitWindow is within what time engines drop out at one moment: a run that is moved
// meanwhile may still pass through one whose end was not told yet.
const simultaneousExitWindow = 50 * time.Millisecond

// Result is how a run ended.
type Result int

// Results of a run.
const (
	// Inconclusive says nothing of the request: its caller left, time ran out, the server
	// refused it or fell silent.
	Inconclusive Result = iota
	// Completed means that the server answered it whole, be it with a failure of its own.
	Completed
	// ConnectionLost means that the server's connection ended under it.
	ConnectionLost
)

// Begin notes that servers begin to run a request. work gives its fingerprint; it is asked
// for only if a server ends under it. suspect says that it is one, so that others of its
// kind keep away.
func (t *Tracker) Begin(work func() model.Fingerprint, suspect bool, places ...Location) *Run {
	r := &Run{tracker: t, computeFingerprint: work, suspect: suspect}
	t.mu.Lock()
	defer t.mu.Unlock()
	r.setLocations(places)
	return r
}

// Fingerprint is the fingerprint of what runs.
func (r *Run) Fingerprint() model.Fingerprint {
	r.once.Do(func() { r.fingerprint = r.computeFingerprint() })
	return r.fingerprint
}

// setLocations makes the places those that run it. The caller holds the lock.
func (r *Run) setLocations(places []Location) {
	for _, p := range r.locations {
		delete(r.tracker.runs[p.Server], r)
		if len(r.tracker.runs[p.Server]) == 0 {
			delete(r.tracker.runs, p.Server)
		}
	}
	r.locations = places
	for _, p := range places {
		if r.tracker.runs[p.Server] == nil {
			r.tracker.runs[p.Server] = map[*Run]bool{}
		}
		r.tracker.runs[p.Server][r] = true
	}
}

// Move notes that other servers run it now.
func (r *Run) Move(places []Location) {
	r.tracker.mu.Lock()
	defer r.tracker.mu.Unlock()
	if r.tracker.clock()-r.exitCountedAt >= simultaneousExitWindow {
		r.exitCountedAt = 0
	}
	r.setLocations(places)
}

// AnswerStarted notes that an answer has begun.
func (r *Run) AnswerStarted() {
	r.tracker.mu.Lock()
	defer r.tracker.mu.Unlock()
	r.responseStarted = true
}

// countExit tells whether the end of a server under it counts. Of a chain that several engines
// drop out of at one moment, one was ended by its request at most: where a failure domain
// loses half of its engines, all streams through two of them would else have to run alone.
// The caller holds the lock.
func (r *Run) countExit() bool {
	if r.exitCountedAt != 0 {
		return false
	}
	r.exitCountedAt = max(r.tracker.clock(), 1)
	return true
}

// participationAt is how it is at one of its servers. The caller holds the lock.
func (r *Run) participationAt(server model.Incarnation) participation {
	return participation{responseStarted: r.responseStarted, laterStage: r.locations[0].Server != server}
}

// End notes how the run ended. doubtful lists servers whose end is not confirmed and should
// be looked into: those of a request that would stand alone, as its next run waits for
// that, and one of a plain service, as nobody else watches those.
func (r *Run) End(result Result) (doubtful []model.Incarnation) {
	t := r.tracker
	if result == ConnectionLost || result == Completed && t.HasSuspects() {
		r.Fingerprint() // not under the lock: it reads the whole body
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	places := r.locations
	r.setLocations(nil)
	switch {
	case len(places) == 0:
	case result == Completed && t.hasSuspects():
		t.recordCompletion(r.Fingerprint())
	case result == ConnectionLost:
		return t.recordLostConnection(r.Fingerprint(), places, r.responseStarted)
	}
	return nil
}

// recordCompletion takes in that a server answered a request. The caller holds the lock.
func (t *Tracker) recordCompletion(work model.Fingerprint) {
	v := t.verdicts[work]
	onProbation := v != nil && !t.inTerm(v)
	ends := t.clearSuspect(work)
	if onProbation {
		delete(t.verdicts, work)
	}
	if ends > 0 || onProbation {
		t.outbox.addCleared(work)
		logCleared(work, ends)
	}
}

// recordLostConnection takes in that a server's connection ended under a request. Only that of the first
// server shows that; the ends of later ones are told by others. The caller holds the lock.
func (t *Tracker) recordLostConnection(work model.Fingerprint, places []Location, answered bool) (doubtful []model.Incarnation) {
	s := t.suspectFor(work)
	at := places[0]
	for _, p := range places {
		// One end, of whichever engine, breaks the whole chain off.
		if s.exits[p.Server] {
			return nil
		}
	}
	s.lostConnections[at.Server] = lostConnection{at: t.clock(), locations: places, responseStarted: answered}
	switch {
	case len(s.exits)+len(s.lostConnections) >= minExitsForTrial:
		return slices.Collect(maps.Keys(s.lostConnections))
	case len(places) == 1 && t.startCheck(at.Server):
		return []model.Incarnation{at.Server}
	}
	return nil
}

// startCheck tells whether a server of a plain service should be looked into, and notes
// that it is. The caller holds the lock.
func (t *Tracker) startCheck(server model.Incarnation) bool {
	now := t.clock()
	if at, ok := t.checkedAt[server]; ok && now-at < checkInterval {
		return false
	}
	t.checkedAt[server] = now
	return true
}

// SuspectRuns counts the runs of suspects that this router has at a server.
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
