package quarantine

import (
	"maps"
	"slices"
	"sync"
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
	tracker            *Tracker
	once               sync.Once
	fingerprint        model.Fingerprint
	computeFingerprint func() model.Fingerprint

	// The fields below are guarded by tracker.mu.
	locations       []Location
	responseStarted bool
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
	// ConnectionLost means that the server's connection ended during the run.
	ConnectionLost
)

// Begin records that the servers at the locations start to run a request. computeFingerprint
// returns its fingerprint and is called only if it is needed. suspect marks the run as that of a
// suspect, see SuspectRuns.
func (t *Tracker) Begin(computeFingerprint func() model.Fingerprint, suspect bool, locations ...Location) *Run {
	r := &Run{tracker: t, computeFingerprint: computeFingerprint, suspect: suspect}
	t.mu.Lock()
	defer t.mu.Unlock()
	r.setLocations(locations)
	return r
}

// Fingerprint returns the fingerprint of the request.
func (r *Run) Fingerprint() model.Fingerprint {
	r.once.Do(func() { r.fingerprint = r.computeFingerprint() })
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

// ResponseStarted records that the response has started.
func (r *Run) ResponseStarted() {
	r.tracker.mu.Lock()
	defer r.tracker.mu.Unlock()
	r.responseStarted = true
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
	return participation{responseStarted: r.responseStarted, laterStage: r.locations[0].Server != server}
}

// End records the result of the run. It returns the servers whose exit is not confirmed and that
// the caller should probe: all of them if the request would be restricted to trials, because its
// next run waits for the result, and else the server of a plain service, because nothing else
// watches it.
func (r *Run) End(result Result) (unconfirmed []model.Incarnation) {
	t := r.tracker
	if result == ConnectionLost || result == Completed && t.HasSuspects() {
		r.Fingerprint() // outside the lock, because it reads the whole body
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	locations := r.locations
	r.setLocations(nil)
	switch {
	case len(locations) == 0:
	case result == Completed && t.hasSuspects():
		t.recordCompletion(r.Fingerprint())
	case result == ConnectionLost:
		return t.recordLostConnection(r.Fingerprint(), locations, r.responseStarted)
	}
	return nil
}

// recordCompletion clears a request that a server completed. The caller must hold t.mu.
func (t *Tracker) recordCompletion(fp model.Fingerprint) {
	v := t.verdicts[fp]
	onProbation := v != nil && !t.inTerm(v)
	exits := t.clearSuspect(fp)
	if onProbation {
		delete(t.verdicts, fp)
	}
	if exits > 0 || onProbation {
		t.outbox.addCleared(fp)
		logCleared(fp, exits)
	}
}

// recordLostConnection records that the connection to the first server of a run ended, and
// returns the servers to probe. Exits of the servers behind it are reported separately. The
// caller must hold t.mu.
func (t *Tracker) recordLostConnection(fp model.Fingerprint, locations []Location, responseStarted bool) (unconfirmed []model.Incarnation) {
	s := t.suspectFor(fp)
	first := locations[0]
	for _, l := range locations {
		// The exit of any engine ends the whole chain and is already counted.
		if s.exits[l.Server] {
			return nil
		}
	}
	s.lostConnections[first.Server] = lostConnection{at: t.clock(), locations: locations, responseStarted: responseStarted}
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
