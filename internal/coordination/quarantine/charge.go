package quarantine

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/skylarkwood/skylarkwood/internal/model"
)

const (
	// minExits is the number of server exits required to quarantine a request.
	minExits = 3
	// weightBeforeResponse and weightAfterResponse are the weights of an exit. One before
	// the response started weighs more, because servers that exit for unrelated reasons
	// often do so in the middle of a response. minWeight equals three exits before or six
	// after the start of the response.
	weightBeforeResponse, weightAfterResponse = 2, 1
	minWeight                                 = 6
	// minCauses is the number of exits required that cannot share a cause. A fault of a
	// failure domain makes several of its servers exit within commonCauseWindow.
	minCauses = 2
	// For every unrelatedPerExtraExit servers that exited within unrelatedWindow without
	// running the request, one more exit is required, up to maxExtraExits. With many
	// unrelated exits a request can be present at minExits of them by chance.
	unrelatedPerExtraExit = 6
	unrelatedWindow       = 10 * time.Second
	maxExtraExits         = 3
	// An exit is attributed to a fault of the failure domain if at least
	// minCommonCauseExits other servers of the domain exited within commonCauseWindow of it
	// without running the request.
	commonCauseWindow   = time.Second
	minCommonCauseExits = 2
)

// evidence is the set of exits that count against a request.
type evidence struct {
	// exits counts the exits that are not caused by another quarantined request. It decides
	// how the request is restricted.
	exits      int
	newestAt   time.Duration
	laterStage bool
	// attributed lists those of exits that do not look like a fault of a failure domain.
	// They decide whether the request is quarantined. Exits with a common cause still count
	// towards exits: otherwise two requests that crash servers of the same domain would
	// each hide the exits of the other, and both would keep running.
	attributed []model.Incarnation
	weight     int
}

// collectEvidence returns the evidence against a request since its last verdict. The caller
// must hold t.mu.
func (t *Tracker) collectEvidence(fp model.Fingerprint, s *suspect) evidence {
	var ev evidence
	if s == nil {
		return ev
	}
	since := time.Duration(math.MinInt64)
	if v := t.verdicts[fp]; v != nil {
		since = v.since + v.term
	}
	for server := range s.exits {
		e := t.exits[server]
		if e.truncated || e.at < since || t.causedByOther(e, fp) {
			continue
		}
		p := e.requests[fp]
		ev.exits++
		ev.newestAt = max(ev.newestAt, e.at)
		ev.laterStage = ev.laterStage || p.laterStage
		if !t.commonCause(fp, server, e) {
			ev.attributed = append(ev.attributed, server)
			ev.weight += p.weight()
		}
	}
	return ev
}

// commonCause reports whether a server exited together with other servers of its failure
// domain that did not run the request. When a domain loses power, a request that is retried
// from one of its servers to the next is present at several exits. Exits that another request
// explains do not count.
func (t *Tracker) commonCause(fp model.Fingerprint, server model.Incarnation, e *serverExit) bool {
	others := 0
	for other, o := range t.exits {
		if other == server || o.domain != e.domain || max(o.at-e.at, e.at-o.at) > commonCauseWindow {
			continue
		}
		if _, with := o.requests[fp]; !with && !t.causedByOther(o, fp) && !t.hasStrongSuspect(o) {
			others++
		}
	}
	return others >= minCommonCauseExits
}

// hasStrongSuspect reports whether any request at the exit was present at minExits exits or
// more, or has a suspicious trait, and so may have caused it.
func (t *Tracker) hasStrongSuspect(e *serverExit) bool {
	if t.hasSuspiciousTrait(e) {
		return true
	}
	for fp := range e.requests {
		if s := t.suspects[fp]; s != nil && len(s.exits) >= minExits {
			return true
		}
	}
	return false
}

// causedByOther reports whether another request that has a verdict ran at the server when it
// exited, or requests with a suspicious trait or with traits that have a verdict, which this
// request does not have.
func (t *Tracker) causedByOther(e *serverExit, fp model.Fingerprint) bool {
	own := e.requests[fp].traits()
	ex := t.explain(e)
	if slices.ContainsFunc(ex.requests, func(other model.Fingerprint) bool { return other != fp }) ||
		slices.ContainsFunc(ex.traits, func(v *verdictEntry) bool { return !hasAll(own, v.traits) }) {
		return true
	}
	for tr := range t.suspiciousTraits {
		if e.traits[tr] > 0 && !slices.Contains(own, tr) {
			return true
		}
	}
	return false
}

// isCause reports whether the evidence suffices to quarantine a request. It does not if
// another request was present at all of the same exits with enough weight.
func (t *Tracker) isCause(fp model.Fingerprint, ev evidence) bool {
	extra := min(t.unrelatedExits(fp)/unrelatedPerExtraExit, maxExtraExits)
	if len(ev.attributed) < minExits+extra || ev.weight < minWeight+extra*weightBeforeResponse || t.distinctCauses(ev.attributed) < minCauses {
		return false
	}
	for other := range t.exits[ev.attributed[0]].requests {
		if other != fp && t.weightAt(other, ev.attributed) >= minWeight+extra*weightBeforeResponse {
			return false
		}
	}
	return !t.hasTraitInCommon(fp, ev.attributed)
}

// hasTraitInCommon reports whether other requests at all of the exits had a trait that this
// request does not have and that never succeeded, so that either may be the cause.
func (t *Tracker) hasTraitInCommon(fp model.Fingerprint, exits []model.Incarnation) bool {
	own := t.exits[exits[0]].requests[fp].traits()
	return slices.ContainsFunc(t.traitsAtAll(exits), func(tr Trait) bool {
		return !tr.isPair() && !t.traits[tr].established() && !slices.Contains(own, tr)
	})
}

// unrelatedExits counts the servers that exited within unrelatedWindow without running the
// request, except those that another request with a verdict explains.
func (t *Tracker) unrelatedExits(fp model.Fingerprint) int {
	n := 0
	for _, e := range t.exits {
		if _, with := e.requests[fp]; !with && t.clock()-e.at < unrelatedWindow && !t.causedByOther(e, fp) {
			n++
		}
	}
	return n
}

// distinctCauses counts the exits that may have separate causes. Consecutive exits of one
// failure domain that are at most commonCauseWindow apart count once.
func (t *Tracker) distinctCauses(exits []model.Incarnation) int {
	ordered := slices.SortedFunc(slices.Values(exits), func(a, b model.Incarnation) int { return cmp.Compare(t.exits[a].at, t.exits[b].at) })
	last := map[string]time.Duration{}
	n := 0
	for _, server := range ordered {
		e := t.exits[server]
		if at, ok := last[e.domain]; !ok || e.at-at > commonCauseWindow {
			n++
		}
		last[e.domain] = e.at
	}
	return n
}

// weightAt returns the total weight of the exits against a request, or 0 if the request was
// not present at all of them.
func (t *Tracker) weightAt(fp model.Fingerprint, exits []model.Incarnation) int {
	sum := 0
	for _, server := range exits {
		p, ok := t.exits[server].requests[fp]
		if !ok {
			return 0
		}
		sum += p.weight()
	}
	return sum
}

func (p participation) weight() int {
	if p.responseStarted {
		return weightAfterResponse
	}
	return weightBeforeResponse
}
