package quarantine

import (
	"maps"
	"slices"
	"time"

	"github.com/skylarkwood/skylarkwood/internal/model"
)

const (
	// minTraitExitsForTrial is the number of exits since the last success from which on requests
	// with a trait run only as trials, and minTraitExits the number that proves the cause.
	minTraitExitsForTrial = 3
	minTraitExits         = 5
	// traitEvaluationInterval is the shortest time between two evaluations of all suspected
	// traits, which compare them with each other.
	traitEvaluationInterval = 150 * time.Millisecond
	// evaluationPause is the time between two evaluations as a multiple of what the last one
	// took, up to maxEvaluationPause: while many traits are suspected and none is proven, each one
	// compares all of them.
	evaluationPause    = 100
	maxEvaluationPause = time.Second
	// minRepeatedExits is the number that proves it for requests which a verdict on the trait
	// did not cover. They run as trials, so that few others were present.
	minRepeatedExits = 2
	// traitEvidenceDelay is how long other routers have to announce that requests with a trait
	// are served. It covers settleTime, maxAnnounceDelay and a router that is short of CPU time.
	traitEvidenceDelay = time.Second
	// learningTime is how long a router that has started does not know what is served.
	learningTime = 3 * time.Second
	// popularRequests is the number of requests with a trait at each of its exits, on average,
	// from which on it is common.
	popularRequests = 3
	// maxFalseVerdicts bounds the probability that the exits of any of the traits that are
	// compared were present at their exits by chance. With a hundred series of exits a day it
	// allows one false verdict in a hundred days.
	maxFalseVerdicts = 1e-4
	// maxFalseTrials is the bound for the restriction of requests to trials, if requests with the
	// trait were served before.
	maxFalseTrials = 1e-2
	// maxFalseRepeats is the same bound for requests that a verdict on the trait did not cover.
	// One of the traits of that verdict is the cause.
	maxFalseRepeats = 1e-2
	// maxVerdictsPerEvaluation bounds the time for which one evaluation holds the lock.
	maxVerdictsPerEvaluation = 16
)

// traitCause is what the exits of several servers have in common, with sufficient evidence that it
// made them exit.
type traitCause struct {
	traits []Trait
	exits  []model.Incarnation
}

// evaluateTraits quarantines requests by the traits that exits have in common, if the evidence
// suffices. The cause with the most traits comes first: it concerns the fewest requests, and explains
// exits for the others. The caller must hold t.mu.
func (t *Tracker) evaluateTraits() {
	began := t.clock()
	if began-t.traitsEvaluatedAt < max(traitEvaluationInterval, min(evaluationPause*t.evaluationTook, maxEvaluationPause)) {
		return
	}
	t.traitsEvaluatedAt = began
	defer func() { t.evaluationTook = t.clock() - began }()
	t.compared = t.comparedTraits()
	for range maxVerdictsPerEvaluation {
		var best traitCause
		for tr, r := range t.suspectTraits {
			if tr.isPair() || len(r.exits) < minTraitExits && !t.inVerdict(tr) {
				continue
			}
			if c, ok := t.findCause(tr, r); ok && len(c.traits) > len(best.traits) {
				best = c
			}
		}
		if best.traits == nil {
			return
		}
		t.addTraitVerdict(best)
	}
}

// findCause returns the cause that the evidence against a trait proves. It names all traits that were
// present at the same exits: it is not known which of them is the cause, but requests with all of them
// make servers exit.
func (t *Tracker) findCause(tr Trait, r *traitRecord) (traitCause, bool) {
	required := minTraitExits
	repeated := t.inVerdict(tr) && !r.established()
	if repeated {
		required = minRepeatedExits
	}
	if len(r.exits) < required {
		return traitCause{}, false
	}
	exits := t.unexplainedExits(tr, r)
	learning := len(exits) > 0 && r.exits[exits[0]]-t.startedAt < learningTime
	common := r.established() || t.isPopular(tr, exits, learning)
	suffice := func() bool {
		switch {
		case len(exits) < required || t.clock()-r.exits[exits[required-1]] < traitEvidenceDelay:
			return false
		case repeated:
			return chance(t.moments(exits)) <= maxFalseRepeats
		}
		return t.distinctCauses(exits) >= minCauses && chance(t.moments(exits)) <= maxFalseVerdicts/float64(t.compared)
	}
	if (repeated || common || learning) && suffice() {
		exits = t.exitsWithoutAlternative(tr, r, exits, min(required, minTraitExitsForTrial))
	}
	if !suffice() {
		return traitCause{}, false
	}
	at := exits
	if repeated {
		at = slices.Collect(maps.Keys(r.exits))
	}
	return traitCause{traits: t.traitsAtAll(at), exits: exits}, true
}

// comparedTraits returns the number of traits of which several exits are known.
func (t *Tracker) comparedTraits() int {
	n := 0
	for tr, r := range t.suspectTraits {
		if !tr.isPair() && len(r.exits) >= minTraitExitsForTrial {
			n++
		}
	}
	return max(n, 1)
}

// isPopular reports whether many requests at each of the exits had a trait. While the router
// learns what is served, fewer are many: nothing else tells a part of most prompts from one that
// few have.
func (t *Tracker) isPopular(tr Trait, exits []model.Incarnation, learning bool) bool {
	requests := 0
	for _, server := range exits {
		requests += t.exits[server].traits[tr]
	}
	if learning {
		return requests >= popularRequests*len(exits)/2
	}
	return requests >= popularRequests*len(exits)
}

// exitsWithoutAlternative returns the exits that are not better explained by other traits: those that
// never succeeded, were present at several of the exits but not at all, and were there with no
// more requests. A popular trait is present at the exits that two others cause in turn. The order
// is kept.
func (t *Tracker) exitsWithoutAlternative(tr Trait, r *traitRecord, exits []model.Incarnation, minShared int) []model.Incarnation {
	for {
		var alternative *traitRecord
		most := minShared - 1
		for otherTrait, other := range t.suspectTraits {
			if otherTrait.isPair() || other.established() || len(other.exits) < minShared {
				continue
			}
			shared, balance := 0, 0
			for _, server := range exits {
				if _, there := other.exits[server]; there {
					shared++
					balance += t.exits[server].traits[tr] - t.exits[server].traits[otherTrait]
				}
			}
			if shared > most && balance >= 0 && !containsAll(other.exits, r.exits) {
				alternative, most = other, shared
			}
		}
		if alternative == nil {
			return exits
		}
		exits = slices.DeleteFunc(exits, func(server model.Incarnation) bool { _, there := alternative.exits[server]; return there })
	}
}

// containsAll reports whether a trait was present at all exits of another one.
func containsAll(exits, of map[model.Incarnation]time.Duration) bool {
	for server := range of {
		if _, there := exits[server]; !there {
			return false
		}
	}
	return true
}

// traitsAtAll returns the traits that were present at all of the exits since their last success.
func (t *Tracker) traitsAtAll(exits []model.Incarnation) []Trait {
	var out []Trait
	for tr, r := range t.suspectTraits {
		if !slices.ContainsFunc(exits, func(server model.Incarnation) bool { return !t.countsAt(server, tr, r) }) {
			out = append(out, tr)
		}
	}
	slices.SortFunc(out, compareTraits)
	return out[:min(len(out), maxTraitsPerVerdict)]
}

// countsAt reports whether a trait was present at an exit and has not succeeded since. Of a trait
// with many exits, its record holds the newest only.
func (t *Tracker) countsAt(server model.Incarnation, tr Trait, r *traitRecord) bool {
	e := t.exits[server]
	return e != nil && e.traits[tr] > 0 && !(r.succeeded && r.succeededAt >= e.at)
}

// addTraitVerdict quarantines the requests with all traits of a cause. The caller must hold
// t.mu.
func (t *Tracker) addTraitVerdict(c traitCause) {
	fp := traitsFingerprint(c.traits)
	if v := t.verdicts[fp]; v != nil {
		t.renewVerdict(fp, v)
	} else {
		t.storeVerdict(fp, &verdictEntry{since: t.clock(), evidenceSince: t.exits[c.exits[0]].at, term: minTerm, exits: len(c.exits), traits: c.traits})
		logTraitsQuarantined(c, t.moments(c.exits))
	}
	if slices.ContainsFunc(c.traits, func(tr Trait) bool { r := t.traits[tr]; return r != nil && r.local }) {
		t.outbox.addVerdict(fp)
	}
}
