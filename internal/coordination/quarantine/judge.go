package quarantine

import (
	"time"

	"github.com/skylarkwood/skylarkwood/internal/model"
)

const (
	// minExitsForTrial is the number of ends from which on a request runs alone among suspects.
	minExitsForTrial = 2
	// evidenceDelay is how long others are given to tell which requests they had at a
	// server that ended, before a request is blamed for it: a router with a third of a core
	// may be that late.
	evidenceDelay = 100 * time.Millisecond
	// unconfirmedTimeout is how long a run that broke off counts as an end of its server for what
	// becomes of the request next, though nobody has confirmed it.
	unconfirmedTimeout = 300 * time.Millisecond
)

// Restriction is what may be done with a request.
type Restriction int

// Standings, each stricter than the one before.
const (
	// Unrestricted requests go anywhere.
	Unrestricted Restriction = iota
	// Separated requests were at a server that ended: they keep away from others of the kind.
	Separated
	// TrialOnly requests run only with a trial granted, see Trials.
	TrialOnly
	// Undecided requests go nowhere until the evidence is there, some tenth of a second.
	Undecided
	// Quarantined requests go nowhere.
	Quarantined
)

// Assessment is a request's standing and what it rests on.
type Assessment struct {
	Restriction Restriction
	// Exits counts the servers that are held against it.
	Exits int
	// LaterStage says that a server ended which ran a later part of its chain.
	LaterStage bool
	// AvoidDomains are failure domains in which a server ended under it a moment ago. Another end
	// there may have the same cause and would prove nothing.
	AvoidDomains map[string]bool
}

// HasSuspects tells whether any request is under suspicion: else none need be looked up.
func (t *Tracker) HasSuspects() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.hasSuspects()
}

func (t *Tracker) hasSuspects() bool { return len(t.suspects)+len(t.verdicts) > 0 }

// Assess gives a request's standing.
func (t *Tracker) Assess(work model.Fingerprint) Assessment {
	t.mu.Lock()
	defer t.mu.Unlock()
	v := t.verdicts[work]
	if v != nil && t.inTerm(v) {
		return Assessment{Restriction: Quarantined, Exits: v.exits}
	}
	s := t.suspects[work]
	if s == nil && v == nil {
		return Assessment{}
	}
	c := t.collectEvidence(work, s)
	doubtful := t.unconfirmedExits(s)
	out := Assessment{Exits: c.exits + doubtful, LaterStage: c.laterStage}
	from := minExits
	if v != nil {
		out.Exits += v.exits
		from = v.exits + 1
	}
	switch {
	case out.Exits >= from && (doubtful > 0 || t.clock()-c.newestAt < evidenceDelay):
		out.Restriction = Undecided
	case t.quarantineIfProven(work, v, c):
		out.Restriction = Quarantined
	case out.Exits >= minExitsForTrial:
		out.Restriction = TrialOnly
		out.AvoidDomains = t.recentExitDomains(s)
		t.logTrialOnly(work, s, c)
	case out.Exits > 0:
		out.Restriction = Separated
	}
	return out
}

// EvaluateSuspects blames the requests against which the evidence is enough, whether they come again
// or not.
func (t *Tracker) EvaluateSuspects() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for work, s := range t.suspects {
		v := t.verdicts[work]
		if v != nil && t.inTerm(v) || v == nil && len(s.exits) < minExits {
			continue
		}
		if c := t.collectEvidence(work, s); t.clock()-c.newestAt >= evidenceDelay {
			t.quarantineIfProven(work, v, c)
		}
	}
}

// quarantineIfProven puts a request into quarantine if the evidence is enough; v is a verdict whose
// term is over, or nil. The caller holds the lock.
func (t *Tracker) quarantineIfProven(work model.Fingerprint, v *verdictEntry, c evidence) bool {
	switch {
	case v != nil && len(c.attributed) > 0:
		t.renewVerdict(work, v)
	case v == nil && t.isCause(work, c):
		t.addVerdict(work, c)
	default:
		return false
	}
	if s := t.suspects[work]; s != nil && s.local {
		t.outbox.addVerdict(work)
	}
	return true
}

// recentExitDomains lists the failure domains in which servers ended under a request a moment ago.
func (t *Tracker) recentExitDomains(s *suspect) map[string]bool {
	out := map[string]bool{}
	if s == nil {
		return out
	}
	since := t.clock() - commonCauseWindow
	for server := range s.exits {
		if e := t.exits[server]; e.at >= since {
			out[e.domain] = true
		}
	}
	for _, b := range s.lostConnections {
		if b.at >= since {
			out[b.locations[0].Domain] = true
		}
	}
	return out
}

// unconfirmedExits counts the servers at which a request just broke off.
func (t *Tracker) unconfirmedExits(s *suspect) int {
	if s == nil {
		return 0
	}
	n := 0
	for _, b := range s.lostConnections {
		if t.clock()-b.at < unconfirmedTimeout {
			n++
		}
	}
	return n
}
