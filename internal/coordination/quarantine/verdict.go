package quarantine

import (
	"time"

	"github.com/skylarkwood/skylarkwood/internal/model"
)

const (
	// minTerm is the first term for which a request is quarantined. The term doubles, up to
	// maxTerm, each time that the request makes a server exit after its last term.
	minTerm = 10 * time.Minute
	maxTerm = 3 * time.Hour
	// verdictTrialInterval is the time from a verdict on traits to the first trial of a request
	// that it concerns.
	verdictTrialInterval = time.Minute
	// maxVerdicts bounds the verdicts kept. The one whose term ends first is evicted.
	maxVerdicts = 256
)

// verdictEntry is a verdict on a request that makes servers exit, or on all requests with some
// traits.
type verdictEntry struct {
	since time.Duration
	term  time.Duration
	exits int
	// evidenceSince is when the first of the exits occurred.
	evidenceSince time.Duration
	// traits is empty for a verdict on one request.
	traits []Trait
}

// probation returns how long a verdict is kept after its term. In that time the request runs
// only as a trial, and one more exit renews the verdict.
func probation(term time.Duration) time.Duration { return term }

// inTerm reports whether the term of a verdict has not ended.
func (t *Tracker) inTerm(v *verdictEntry) bool { return t.clock()-v.since < v.term }

// addVerdict quarantines a request for the first term.
func (t *Tracker) addVerdict(fp model.Fingerprint, ev evidence) {
	t.storeVerdict(fp, &verdictEntry{since: t.clock(), evidenceSince: t.clock(), term: minTerm, exits: len(ev.attributed)})
	logQuarantined(fp, ev, "this router")
}

// renewVerdict quarantines a request again that made a server exit after its term.
func (t *Tracker) renewVerdict(fp model.Fingerprint, v *verdictEntry) {
	t.verdicts[fp] = &verdictEntry{since: t.clock(), evidenceSince: t.clock(), term: min(2*v.term, maxTerm), exits: v.exits + 1, traits: v.traits}
	t.verdictsChanged()
	logRenewed(fp, v.exits+1)
}

// storeVerdict adds a verdict and evicts another one if there are too many.
func (t *Tracker) storeVerdict(fp model.Fingerprint, v *verdictEntry) {
	if len(t.verdicts) >= maxVerdicts {
		var first model.Fingerprint
		var found *verdictEntry
		for f, o := range t.verdicts {
			if found == nil || o.since+o.term < found.since+found.term {
				first, found = f, o
			}
		}
		delete(t.verdicts, first)
	}
	t.verdicts[fp] = v
	t.verdictsChanged()
}

// Verdict is a verdict as routers exchange it.
type Verdict struct {
	Fingerprint model.Fingerprint `json:"work"`
	// TermMS is the length of the quarantine and AgeMS the time since it began, both in
	// milliseconds.
	TermMS int64 `json:"term_ms"`
	AgeMS  int64 `json:"age_ms"`
	Exits  int   `json:"ends"`
	// EvidenceMS is the time since the first of the exits in milliseconds, or 0 if it is not known.
	EvidenceMS int64 `json:"evidence_ms,omitempty"`
	// Traits holds the traits of the requests that the verdict concerns. It is empty for a
	// verdict on one request.
	Traits []Trait `json:"traits,omitempty"`
}

func (t *Tracker) exportVerdict(fp model.Fingerprint, v *verdictEntry) Verdict {
	return Verdict{Fingerprint: fp, TermMS: v.term.Milliseconds(), AgeMS: (t.clock() - v.since).Milliseconds(), Exits: v.exits, EvidenceMS: (t.clock() - v.evidenceSince).Milliseconds(), Traits: v.traits}
}

// Verdicts returns the verdicts whose terms have not ended.
func (t *Tracker) Verdicts() []Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Verdict
	for fp, v := range t.verdicts {
		if t.inTerm(v) {
			out = append(out, t.exportVerdict(fp, v))
		}
	}
	return out
}

// ApplyVerdicts applies verdicts from a peer or from the store. A verdict replaces a known one
// if its term ends later. Verdicts whose term has ended are ignored.
func (t *Tracker) ApplyVerdicts(verdicts []Verdict, source string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, received := range verdicts {
		term := min(time.Duration(received.TermMS)*time.Millisecond, maxTerm)
		left := term - max(time.Duration(received.AgeMS)*time.Millisecond, 0)
		known := t.verdicts[received.Fingerprint]
		if left <= 0 || len(received.Traits) > maxTraitsPerVerdict {
			continue
		}
		v := &verdictEntry{since: t.clock() + left - term, term: term, exits: received.Exits, traits: received.Traits}
		v.evidenceSince = min(v.since, t.clock()-time.Duration(received.EvidenceMS)*time.Millisecond)
		if known == nil {
			t.storeVerdict(received.Fingerprint, v)
			logVerdictReceived(received, source)
			continue
		}
		if v.since+v.term > known.since+known.term {
			*known = *v
			t.verdictsChanged()
		}
	}
}
