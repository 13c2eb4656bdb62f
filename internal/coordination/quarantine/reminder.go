package quarantine

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"github.com/skylarkwood/skylarkwood/internal/model"
)

const (
	// maxRemindedVerdicts and maxRemindedExits bound one reminder, the latter with one request
	// of some hundred bytes each.
	maxRemindedVerdicts = 16
	maxRemindedExits    = 32
)

// Reminder returns what a peer must know to restrict requests as this router does: verdicts, and the
// exits under traits that are restricted to trials. A router that has started, or missed a report,
// would run these requests until as many servers exit again. It returns false if there is nothing
// to send.
func (t *Tracker) Reminder() (Report, bool) {
	verdicts := t.Verdicts()
	rand.Shuffle(len(verdicts), func(i, j int) { verdicts[i], verdicts[j] = verdicts[j], verdicts[i] })
	t.mu.Lock()
	defer t.mu.Unlock()
	r := Report{Verdicts: verdicts[:min(len(verdicts), maxRemindedVerdicts)], Exits: t.remindedExits()}
	return r, len(r.Verdicts)+len(r.Exits) > 0
}

// remindedExits returns the newest exits under traits that are restricted to trials, each with one
// request that has the trait. The caller must hold t.mu.
func (t *Tracker) remindedExits() []ExitReport {
	var out []ExitReport
	for tr, r := range t.suspiciousTraits {
		for server := range r.exits {
			e := t.exits[server]
			if fp, p, found := e.requestWith(tr); found {
				out = append(out, ExitReport{
					Server: server, Domain: e.domain, Service: e.service, AgeMS: (t.clock() - e.at).Milliseconds(),
					Requests: []RequestAtExit{newRequestAtExit(fp, p)},
				})
			}
		}
	}
	slices.SortFunc(out, func(a, b ExitReport) int {
		return cmp.Or(cmp.Compare(a.AgeMS, b.AgeMS), cmp.Compare(a.Server.ID, b.Server.ID))
	})
	return out[:min(len(out), maxRemindedExits)]
}

// requestWith returns a request at the exit that has a trait, or false if none is kept.
func (e *serverExit) requestWith(tr Trait) (model.Fingerprint, participation, bool) {
	for fp, p := range e.requests {
		if slices.Contains(p.traits(), tr) {
			return fp, p, true
		}
	}
	return model.Fingerprint{}, participation{}, false
}
