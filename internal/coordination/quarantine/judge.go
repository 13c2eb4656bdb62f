package quarantine

import (
	"maps"
	"time"

	"github.com/skylarkwood/skylarkwood/internal/model"
)

const (
	// minExitsForTrial is the number of server exits from which on a request needs a trial
	// to run.
	minExitsForTrial = 2
	// evidenceDelay is how long other routers have to report which requests they ran at a
	// server that exited, before a request is quarantined for the exit. It covers a router
	// that is short of CPU time.
	evidenceDelay = 100 * time.Millisecond
	// unconfirmedTimeout is how long a lost connection counts as an exit of its server
	// while the exit is not confirmed.
	unconfirmedTimeout = 300 * time.Millisecond
)

// Restriction is the limit on where a request may run.
type Restriction int

// The restrictions, from the weakest to the strictest.
const (
	// Unrestricted requests may run at any server.
	Unrestricted Restriction = iota
	// Separated requests ran at a server that exited. They should run at servers without
	// other suspects.
	Separated
	// TrialOnly requests may run only if Trials grants a run.
	TrialOnly
	// Undecided requests must wait for evidence, which takes some tenths of a second.
	Undecided
	// Quarantined requests must not run.
	Quarantined
)

// Assessment is a request's restriction and the evidence for it.
type Assessment struct {
	Restriction Restriction
	// Exits is the number of server exits that count against the request.
	Exits int
	// LaterStage reports whether one of these servers ran a later stage of the request's
	// chain.
	LaterStage bool
	// Traits holds the traits of the request that are why it is restricted.
	Traits []Trait
	// AvoidDomains holds the failure domains in which a server that ran the request exited
	// within the last second. Another exit there may have the same cause and would be no
	// evidence.
	AvoidDomains map[string]bool
}

// HasSuspects reports whether any request is a suspect or has a verdict. If not, no request
// needs an assessment.
func (t *Tracker) HasSuspects() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.hasSuspects()
}

func (t *Tracker) hasSuspects() bool {
	return len(t.suspects)+len(t.verdicts)+len(t.suspiciousTraits) > 0
}

// Assess returns the assessment of a request. It quarantines the request if the evidence
// suffices.
func (t *Tracker) Assess(s Subject) Assessment {
	fp := s.Fingerprint()
	t.mu.Lock()
	defer t.mu.Unlock()
	byTraits := t.assessTraits(s.traits())
	if byTraits.Restriction == Quarantined {
		return byTraits
	}
	out := t.assessRequest(fp)
	if byTraits.Restriction > out.Restriction {
		byTraits.LaterStage = out.LaterStage
		out, byTraits = byTraits, out
	}
	if out.AvoidDomains == nil {
		out.AvoidDomains = byTraits.AvoidDomains
	} else {
		maps.Copy(out.AvoidDomains, byTraits.AvoidDomains)
	}
	return out
}

// assessRequest returns the restriction on a request because of itself. The caller must hold
// t.mu.
func (t *Tracker) assessRequest(fp model.Fingerprint) Assessment {
	v := t.verdicts[fp]
	if v != nil && t.inTerm(v) {
		return Assessment{Restriction: Quarantined, Exits: v.exits}
	}
	s := t.suspects[fp]
	if s == nil && v == nil {
		return Assessment{}
	}
	ev := t.collectEvidence(fp, s)
	unconfirmed := t.unconfirmedExits(s)
	out := Assessment{Exits: ev.exits + unconfirmed, LaterStage: ev.laterStage}
	threshold := minExits
	if v != nil {
		out.Exits += v.exits
		threshold = v.exits + 1
	}
	switch {
	case out.Exits >= threshold && (unconfirmed > 0 || t.clock()-ev.newestAt < evidenceDelay):
		out.Restriction = Undecided
	case t.quarantineIfProven(fp, v, ev):
		out.Restriction = Quarantined
	case out.Exits >= minExitsForTrial && unconfirmed == out.Exits:
		// A probe of the servers soon shows whether any of them exited.
		out.Restriction = Undecided
	case out.Exits >= minExitsForTrial:
		out.Restriction = TrialOnly
		out.AvoidDomains = t.recentExitDomains(s)
		t.logTrialOnly(fp, s, ev)
	case out.Exits > 0:
		out.Restriction = Separated
	}
	return out
}

// EvaluateSuspects quarantines each request against which the evidence suffices, whether or
// not the request is sent again, and confirms successes that are due. It is called at short
// intervals.
func (t *Tracker) EvaluateSuspects() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.confirmSuccesses()
	t.evaluateTraits()
	if t.outbox.successesDue(t.clock()) {
		t.outbox.signal()
	}
	for fp, s := range t.suspects {
		v := t.verdicts[fp]
		if v != nil && t.inTerm(v) || v == nil && len(s.exits) < minExits {
			continue
		}
		if ev := t.collectEvidence(fp, s); t.clock()-ev.newestAt >= evidenceDelay {
			t.quarantineIfProven(fp, v, ev)
		}
	}
}

// quarantineIfProven quarantines a request if the evidence suffices and reports whether it
// did. v is a verdict whose term has ended, or nil. The caller must hold t.mu.
func (t *Tracker) quarantineIfProven(fp model.Fingerprint, v *verdictEntry, ev evidence) bool {
	switch {
	case v != nil && len(ev.attributed) > 0:
		t.renewVerdict(fp, v)
	case v == nil && t.isCause(fp, ev):
		t.addVerdict(fp, ev)
	default:
		return false
	}
	if s := t.suspects[fp]; s != nil && s.local {
		t.outbox.addVerdict(fp)
	}
	return true
}

// recentExitDomains returns the failure domains in which a server that ran the request exited
// or lost its connection within commonCauseWindow.
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
	for _, lost := range s.lostConnections {
		if lost.at >= since {
			out[lost.locations[0].Domain] = true
		}
	}
	return out
}

// unconfirmedExits counts the recent lost connections of a request whose servers are not known
// to have exited.
func (t *Tracker) unconfirmedExits(s *suspect) int {
	if s == nil {
		return 0
	}
	n := 0
	for _, lost := range s.lostConnections {
		if t.clock()-lost.at < unconfirmedTimeout {
			n++
		}
	}
	return n
}
