package quarantine

import (
	"cmp"
	"crypto/sha256"
	"slices"

	"github.com/skylarkwood/skylarkwood/internal/model"
)

// isPair reports whether a trait is a part in prompts of one customer. Such a trait narrows a
// verdict on the part; few requests have it, so that it proves nothing by itself.
func (tr Trait) isPair() bool { return tr.Part != "" && tr.Customer != "" }

// isSuspicious reports whether requests with a trait run only as trials: none is known to be
// served, and several servers exited while they ran one.
func (r *traitRecord) isSuspicious() bool {
	return !r.established() && len(r.exits) >= minTraitExitsForTrial
}

// traitChanged must be called after each change of a record. The caller must hold t.mu.
func (t *Tracker) traitChanged(tr Trait, r *traitRecord) {
	if len(r.exits) > 0 {
		t.suspectTraits[tr] = r
	} else {
		delete(t.suspectTraits, tr)
	}
	if r.isSuspicious() && !tr.isPair() {
		if t.suspiciousTraits[tr] == nil {
			logTraitSuspicious(tr, r)
		}
		t.suspiciousTraits[tr] = r
	} else {
		delete(t.suspiciousTraits, tr)
	}
}

// unexplainedExits returns the exits that count against a trait, the oldest first. The caller
// must hold t.mu.
func (t *Tracker) unexplainedExits(tr Trait, r *traitRecord) []model.Incarnation {
	var out []model.Incarnation
	for server := range r.exits {
		e := t.exits[server]
		if t.explained(e) || t.commonCauseForTrait(tr, server, e) {
			continue
		}
		out = append(out, server)
	}
	slices.SortFunc(out, func(a, b model.Incarnation) int {
		return cmp.Or(cmp.Compare(r.exits[a], r.exits[b]), cmp.Compare(a.ID, b.ID))
	})
	return out
}

// explanation caches which verdicts explain an exit.
type explanation struct {
	version  int // of the verdicts
	traits   []*verdictEntry
	requests []model.Fingerprint
}

// explain returns the verdicts on traits that were all present at an exit, and the quarantined
// requests that were. The caller must hold t.mu.
func (t *Tracker) explain(e *serverExit) explanation {
	if e.explanation.version == t.verdictVersion {
		return e.explanation
	}
	out := explanation{version: t.verdictVersion}
	for fp, v := range t.verdicts {
		if v.traits != nil && v.explains(e) {
			out.traits = append(out.traits, v)
		} else if _, there := e.requests[fp]; there {
			out.requests = append(out.requests, fp)
		}
	}
	e.explanation = out
	return out
}

// explained reports whether a verdict on traits explains an exit, so that it does not count
// against others.
func (t *Tracker) explained(e *serverExit) bool { return len(t.explain(e).traits) > 0 }

// explains reports whether all traits of a verdict were present at an exit before the end of its
// term.
func (v *verdictEntry) explains(e *serverExit) bool {
	if e.at >= v.since+v.term {
		return false
	}
	return !slices.ContainsFunc(v.traits, func(tr Trait) bool { return e.traits[tr] == 0 })
}

func (t *Tracker) hasSuspiciousTrait(e *serverExit) bool {
	for tr := range t.suspiciousTraits {
		if e.traits[tr] > 0 {
			return true
		}
	}
	return false
}

// commonCauseForTrait is commonCause for a trait.
func (t *Tracker) commonCauseForTrait(tr Trait, server model.Incarnation, e *serverExit) bool {
	others := 0
	for other, o := range t.exits {
		if other == server || o.domain != e.domain || max(o.at-e.at, e.at-o.at) > commonCauseWindow {
			continue
		}
		if o.traits[tr] == 0 && !t.hasSuspiciousTrait(o) && !t.explained(o) {
			others++
		}
	}
	return others >= minCommonCauseExits
}

func compareTraits(a, b Trait) int {
	return cmp.Or(cmp.Compare(a.Part, b.Part), cmp.Compare(a.Customer, b.Customer), cmp.Compare(a.Route, b.Route))
}

// inVerdict reports whether any verdict names a trait.
func (t *Tracker) inVerdict(tr Trait) bool { return t.verdictTraits[tr] }

// verdictsChanged must be called after each change of t.verdicts. The caller must hold t.mu.
func (t *Tracker) verdictsChanged() {
	t.verdictVersion++
	clear(t.verdictTraits)
	for _, v := range t.verdicts {
		for _, tr := range v.traits {
			t.verdictTraits[tr] = true
		}
	}
}

// traitsFingerprint returns the key of a verdict on traits.
func traitsFingerprint(traits []Trait) model.Fingerprint {
	h := sha256.New()
	for _, tr := range traits {
		// Writing to a hash does not fail.
		_, _ = h.Write([]byte(tr.Part + "\x00" + tr.Customer + "\x00" + tr.Route + "\x00"))
	}
	var f model.Fingerprint
	copy(f[:], h.Sum(nil))
	return f
}

// effectiveTraits returns the traits of a verdict that still hold. A trait ceases to hold once enough
// requests with it were served since the first of its exits to outweigh all but a few of them: a peer
// that reached the verdict may not have known of these.
func (t *Tracker) effectiveTraits(v *verdictEntry) []Trait {
	return slices.DeleteFunc(slices.Clone(v.traits), func(tr Trait) bool {
		r := t.traits[tr]
		return r != nil && r.succeeded && r.succeededAt > v.evidenceSince && len(r.exits) < minTraitExitsForTrial
	})
}

// assessTraits returns the restriction on a request because of its traits. The caller must hold
// t.mu.
func (t *Tracker) assessTraits(traits []Trait) Assessment {
	var out Assessment
	restrict := func(to Restriction, exits int, traits ...Trait) {
		out.Restriction = max(out.Restriction, to)
		out.Exits = max(out.Exits, exits)
		out.Traits = append(out.Traits, traits...)
	}
	for _, v := range t.verdicts {
		effective := t.effectiveTraits(v)
		if len(effective) > 0 && hasAll(traits, effective) && t.inTerm(v) {
			if t.trialDue(v) {
				restrict(TrialOnly, v.exits, effective...)
				continue
			}
			return Assessment{Restriction: Quarantined, Exits: v.exits, Traits: effective}
		}
		for _, tr := range effective {
			if r := t.traits[tr]; slices.Contains(traits, tr) && (r == nil || !r.established()) {
				restrict(TrialOnly, v.exits, tr)
			}
		}
	}
	for _, tr := range traits {
		r := t.suspectTraits[tr]
		if r == nil || tr.isPair() || len(r.exits) < minTraitExitsForTrial {
			continue
		}
		exits := t.unexplainedExits(tr, r)
		switch n := len(exits); {
		case r.established():
			exits = t.exitsWithoutAlternative(tr, r, exits, minTraitExitsForTrial)
			if t.sufficeForTrials(exits) && hasAll(traits, t.traitsAtAll(exits)) {
				restrict(TrialOnly, len(exits), tr)
			}
		case n >= minTraitExits && t.clock()-r.exits[exits[minTraitExits-1]] < traitEvidenceDelay:
			restrict(Undecided, n, tr)
		case n >= minTraitExitsForTrial:
			restrict(TrialOnly, n, tr)
		}
	}
	if len(out.Traits) > 0 {
		out.AvoidDomains = t.recentDomains(out.Traits)
	}
	return out
}

// trialDue reports whether a request under a verdict on traits may run as a trial before its term ends.
// One that is served ends the verdict. The time between trials doubles with each server that exits.
func (t *Tracker) trialDue(v *verdictEntry) bool {
	last, interval := v.since, verdictTrialInterval
	for _, e := range t.exits {
		if e.at > v.since && v.explains(e) {
			last, interval = max(last, e.at), min(2*interval, v.term)
		}
	}
	return t.clock()-last >= interval
}

// sufficeForTrials reports whether the exits under a trait that was served before restrict requests
// with it to trials. Many do in any case: a cause that ends most servers also hides how it differs
// from chance.
func (t *Tracker) sufficeForTrials(exits []model.Incarnation) bool {
	return len(exits) >= minTraitExits || len(exits) >= minTraitExitsForTrial && chance(t.moments(exits)) <= maxFalseTrials
}

// hasAll reports whether a request with traits has all of others.
func hasAll(traits, others []Trait) bool {
	return !slices.ContainsFunc(others, func(tr Trait) bool { return !slices.Contains(traits, tr) })
}

// recentDomains returns the failure domains in which servers exited within commonCauseWindow while
// they ran requests with any of the traits.
func (t *Tracker) recentDomains(traits []Trait) map[string]bool {
	out := map[string]bool{}
	for _, tr := range traits {
		if r := t.traits[tr]; r != nil {
			for server, at := range r.exits {
				if t.clock()-at <= commonCauseWindow {
					out[t.exits[server].domain] = true
				}
			}
		}
	}
	return out
}
