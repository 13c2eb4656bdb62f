package quarantine

import (
	"time"

	"github.com/skylarkwood/skylarkwood/internal/model"
)

const (
	// firstTerm is how long a request is kept from servers at first. Each time that it
	// ends one again after its term, the term doubles, up to longestTerm.
	firstTerm   = 10 * time.Minute
	longestTerm = 3 * time.Hour
	// mostVerdicts bounds the requests that are kept; the one whose term ends first makes
	// room.
	mostVerdicts = 256
)

// verdict is a request that is known to end servers.
type verdict struct {
	since time.Duration
	term  time.Duration
	ends  int
}

// probation is how long after its term a request is remembered: it runs alone then, and
// one more end brings it back.
func probation(term time.Duration) time.Duration { return term }

// serving tells whether a request's term goes on.
func (t *Tracker) serving(v *verdict) bool { return t.clock()-v.since < v.term }

// blame puts a request into quarantine.
func (t *Tracker) blame(work model.Fingerprint, c charge) {
	t.keep(work, &verdict{since: t.clock(), term: firstTerm, ends: len(c.ends)})
	logQuarantined(work, c, "this router")
}

// relapse puts a request that ended a server after its term back into quarantine.
func (t *Tracker) relapse(work model.Fingerprint, v *verdict) {
	t.verdicts[work] = &verdict{since: t.clock(), term: min(2*v.term, longestTerm), ends: v.ends + 1}
	logRelapsed(work, v.ends+1)
}

// keep remembers a verdict.
func (t *Tracker) keep(work model.Fingerprint, v *verdict) {
	if len(t.verdicts) >= mostVerdicts {
		var first model.Fingerprint
		var found *verdict
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

func (t *Tracker) sentence(work model.Fingerprint, v *verdict) Verdict {
	return Verdict{Fingerprint: work, TermMS: v.term.Milliseconds(), AgeMS: (t.clock() - v.since).Milliseconds(), Exits: v.ends}
}

// Verdicts lists the requests whose terms go on.
func (t *Tracker) Verdicts() []Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Verdict
	for work, v := range t.verdicts {
		if t.serving(v) {
			out = append(out, t.sentence(work, v))
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
		term := min(time.Duration(s.TermMS)*time.Millisecond, longestTerm)
		left := term - max(time.Duration(s.AgeMS)*time.Millisecond, 0)
		known := t.verdicts[s.Fingerprint]
		if left <= 0 {
			continue
		}
		v := &verdict{since: t.clock() + left - term, term: term, ends: s.Exits}
		if known == nil {
			t.keep(s.Fingerprint, v)
			logLearnt(s, source)
			continue
		}
		if v.since+v.term > known.since+known.term {
			*known = *v
		}
	}
}
