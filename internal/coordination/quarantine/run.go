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
	t    *Tracker
	once sync.Once
	work model.Fingerprint
	of   func() model.Fingerprint

	// The tracker's lock guards the rest.
	places   []Location
	answered bool
	// charged is when a server ended under it that counts, since it was moved last; zero
	// for none.
	charged time.Duration
	suspect bool
}

// togetherTime is within what time engines drop out at one moment: a run that is moved
// meanwhile may still pass through one whose end was not told yet.
const togetherTime = 50 * time.Millisecond

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
	r := &Run{t: t, of: work, suspect: suspect}
	t.mu.Lock()
	defer t.mu.Unlock()
	r.at(places)
	return r
}

// Fingerprint is the fingerprint of what runs.
func (r *Run) Fingerprint() model.Fingerprint {
	r.once.Do(func() { r.work = r.of() })
	return r.work
}

// at makes the places those that run it. The caller holds the lock.
func (r *Run) at(places []Location) {
	for _, p := range r.places {
		delete(r.t.runs[p.Server], r)
		if len(r.t.runs[p.Server]) == 0 {
			delete(r.t.runs, p.Server)
		}
	}
	r.places = places
	for _, p := range places {
		if r.t.runs[p.Server] == nil {
			r.t.runs[p.Server] = map[*Run]bool{}
		}
		r.t.runs[p.Server][r] = true
	}
}

// Move notes that other servers run it now.
func (r *Run) Move(places []Location) {
	r.t.mu.Lock()
	defer r.t.mu.Unlock()
	if r.t.clock()-r.charged >= togetherTime {
		r.charged = 0
	}
	r.at(places)
}

// AnswerStarted notes that an answer has begun.
func (r *Run) AnswerStarted() {
	r.t.mu.Lock()
	defer r.t.mu.Unlock()
	r.answered = true
}

// charge tells whether the end of a server under it counts. Of a chain that several engines
// drop out of at one moment, one was ended by its request at most: where a failure domain
// loses half of its engines, all streams through two of them would else have to run alone.
// The caller holds the lock.
func (r *Run) charge() bool {
	if r.charged != 0 {
		return false
	}
	r.charged = max(r.t.clock(), 1)
	return true
}

// presenceAt is how it is at one of its servers. The caller holds the lock.
func (r *Run) presenceAt(server model.Incarnation) presence {
	return presence{answered: r.answered, later: r.places[0].Server != server}
}

// End notes how the run ended. doubtful lists servers whose end is not confirmed and should
// be looked into: those of a request that would stand alone, as its next run waits for
// that, and one of a plain service, as nobody else watches those.
func (r *Run) End(result Result) (doubtful []model.Incarnation) {
	t := r.t
	if result == ConnectionLost || result == Completed && t.HasSuspects() {
		r.Fingerprint() // not under the lock: it reads the whole body
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	places := r.places
	r.at(nil)
	switch {
	case len(places) == 0:
	case result == Completed && t.watching():
		t.survived(r.Fingerprint())
	case result == ConnectionLost:
		return t.broke(r.Fingerprint(), places, r.answered)
	}
	return nil
}

// survived takes in that a server answered a request. The caller holds the lock.
func (t *Tracker) survived(work model.Fingerprint) {
	v := t.verdicts[work]
	onProbation := v != nil && !t.serving(v)
	ends := t.clear(work)
	if onProbation {
		delete(t.verdicts, work)
	}
	if ends > 0 || onProbation {
		t.out.clear(work)
		logCleared(work, ends)
	}
}

// broke takes in that a server's connection ended under a request. Only that of the first
// server shows that; the ends of later ones are told by others. The caller holds the lock.
func (t *Tracker) broke(work model.Fingerprint, places []Location, answered bool) (doubtful []model.Incarnation) {
	s := t.suspect(work)
	at := places[0]
	for _, p := range places {
		// One end, of whichever engine, breaks the whole chain off.
		if s.ends[p.Server] {
			return nil
		}
	}
	s.broken[at.Server] = breakOff{at: t.clock(), places: places, answered: answered}
	switch {
	case len(s.ends)+len(s.broken) >= aloneFrom:
		return slices.Collect(maps.Keys(s.broken))
	case len(places) == 1 && t.mayLookInto(at.Server):
		return []model.Incarnation{at.Server}
	}
	return nil
}

// mayLookInto tells whether a server of a plain service should be looked into, and notes
// that it is. The caller holds the lock.
func (t *Tracker) mayLookInto(server model.Incarnation) bool {
	now := t.clock()
	if at, ok := t.lookedInto[server]; ok && now-at < lookAgainAfter {
		return false
	}
	t.lookedInto[server] = now
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
