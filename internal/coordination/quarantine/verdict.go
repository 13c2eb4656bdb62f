package quarantine

import (
	"time"

	"github.com/skylarkwood/skylarkwood/internal/model"
)

const (
	// minTerm is how long a request is kept from servers at first. Each time that it
	// ends one again after its term, the term doubles, up to longestTerm.
	minTerm = 10 * time.Minute
	maxTerm = 3 * time.Hour
	// maxVerdicts bounds the requests that are kept; the one whose term ends first makes
	// room.
	maxVerdicts = 256
)

// verdictEntry is a request that is known to end servers.
type verdictEntry struct {
	since time.Duration
	term  time.Duration
	exits int
}

// probation is how long after its term a request is remembered: it runs alone then, and
// one more end brings it back.
func probation(term time.Duration) time.Duration { return term }

// inTerm tells whether a request's term goes on.
func (t *Tracker) inTerm(v *verdictEntry) bool { return t.clock()-v.since < v.term }

// addVerdict puts a request into quarantine.
func (t *Tracker) addVerdict(work model.Fingerprint, c evidence) {
	t.storeVerdict(work, &verdictEntry{since: t.clock(), term: minTerm, exits: len(c.attributed)})
	logQuarantined(work, c, "this router")
}

// renewVerdict puts a request that ended a server after its term back into quarantine.
func (t *Tracker) renewVerdict(work model.Fingerprint, v *verdictEntry) {
	t.verdicts[work] = &verdictEntry{since: t.clock(), term: min(2*v.term, maxTerm), exits: v.exits + 1}
	logRenewed(work, v.exits+1)
}

// storeVerdict remembers a verdict.
func (t *Tracker) storeVerdict(work model.Fingerprint, v *verdictEntry) {
	if len(t.verdicts) >= maxVerdicts {
		var first model.Fingerprint
		var found *verdictEntry
		for w, o := range t.verdicts {
			if found == nil || o.since+o.term < found.since+found.term {
				first, found = w, o
			}
		}
		delete(t.verdicts, first)
	}
	t.verdicts[work] = v
}

// Verdict is a verdict as routers tell it and as it is stored.
type Verdict struct {
	Fingerprint model.Fingerprint `json:"work"`
	// TermMS is how long the request is kept from servers, and AgeMS for how long it has
	// been.
	TermMS int64 `json:"term_ms"`
	AgeMS  int64 `json:"age_ms"`
	Exits  int   `json:"ends"`
}

func (t *Tracker) exportVerdict(work model.Fingerprint, v *verdictEntry) Verdict {
	return Verdict{Fingerprint: work, TermMS: v.term.Milliseconds(), AgeMS: (t.clock() - v.since).Milliseconds(), Exits: v.exits}
}

// Verdicts lists the requests whose terms go on.
func (t *Tracker) Verdicts() []Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Verdict
	for work, v := range t.verdicts {
		if t.inTerm(v) {
			out = append(out, t.exportVerdict(work, v))
		}
	}
	return out
}

// ApplyVerdicts takes in verdicts from somewhere else: a peer, or the store. A term that ends
// later replaces one that ends sooner; one that is over is no news.
func (t *Tracker) ApplyVerdicts(sentences []Verdict, source string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range sentences {
		term := min(time.Duration(s.TermMS)*time.Millisecond, maxTerm)
		left := term - max(time.Duration(s.AgeMS)*time.Millisecond, 0)
		known := t.verdicts[s.Fingerprint]
		if left <= 0 {
			continue
		}
		v := &verdictEntry{since: t.clock() + left - term, term: term, exits: s.Exits}
		if known == nil {
			t.storeVerdict(s.Fingerprint, v)
			logVerdictReceived(s, source)
			continue
		}
		if v.since+v.term > known.since+known.term {
			*known = *v
		}
	}
}
