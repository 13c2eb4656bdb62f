package quarantine

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/skylarkwood/skylarkwood/internal/model"
)

const (
	// minExits is the number of ends that a request needs to be blamed.
	minExits = 3
	// weightBeforeResponse and weightAfterResponse weigh an end: a server that had begun to answer has run the
	// request for a while, as servers do that end for another reason. guiltyWeight is met by
	// three ends before an answer, or by six after its beginning.
	weightBeforeResponse, weightAfterResponse = 2, 1
	minWeight                                 = 6
	// minCauses is how many ends it takes that have no cause in common: a failure
	// domain's trouble ends several servers of it within commonTime.
	minCauses = 2
	// For each unrelatedPerExtraExit servers that ended without a request within noisyTime it needs one
	// more end of its own, up to mostMore: where servers end all the time, chance alone puts
	// a request at three ends.
	unrelatedPerExtraExit = 6
	unrelatedWindow       = 10 * time.Second
	maxExtraExits         = 3
	// commonCauseWindow and commonEnds tell a failure domain's trouble: where so many other
	// servers of a domain ended within that time without the request, it is innocent there.
	commonCauseWindow   = time.Second
	minCommonCauseExits = 2
)

// evidence is what speaks against a request.
type evidence struct {
	// exits counts all ends that no other request is to blame for: they decide how it runs.
	exits      int
	newestAt   time.Duration
	laterStage bool
	// attributed are those that also do not look like a failure domain's trouble: they decide
	// whether it is blamed. Left out above too, two requests that end the servers of one
	// domain would be excuses for each other, and go on.
	attributed []model.Incarnation
	weight     int
}

// collectEvidence collects the ends that count against a request, since its last verdict. The caller
// holds the lock.
func (t *Tracker) collectEvidence(work model.Fingerprint, s *suspect) evidence {
	var c evidence
	if s == nil {
		return c
	}
	since := time.Duration(math.MinInt64)
	if v := t.verdicts[work]; v != nil {
		since = v.since + v.term
	}
	for server := range s.exits {
		e := t.exits[server]
		if e.truncated || e.at < since || t.causedByOther(e, work) {
			continue
		}
		p := e.requests[work]
		c.exits++
		c.newestAt = max(c.newestAt, e.at)
		c.laterStage = c.laterStage || p.laterStage
		if !t.commonCause(work, server, e) {
			c.attributed = append(c.attributed, server)
			c.weight += p.weight()
		}
	}
	return c
}

// commonCause tells whether a server ended together with others of its failure domain that
// did not run the request: when a domain loses power, what was sent on from one server to
// the next is at several ends within a moment. Ends under a request that is known to end
// servers are explained by that one.
func (t *Tracker) commonCause(work model.Fingerprint, server model.Incarnation, e *serverExit) bool {
	others := 0
	for other, o := range t.exits {
		if other == server || o.domain != e.domain || max(o.at-e.at, e.at-o.at) > commonCauseWindow {
			continue
		}
		if _, with := o.requests[work]; !with && !t.causedByOther(o, work) && !t.hasBlamableRequest(o) {
			others++
		}
	}
	return others >= minCommonCauseExits
}

// hasBlamableRequest tells whether a server ended under a request that was at enough ends to be
// blamed, whether it will be or not: that may have ended it.
func (t *Tracker) hasBlamableRequest(e *serverExit) bool {
	for work := range e.requests {
		if s := t.suspects[work]; s != nil && len(s.exits) >= minExits {
			return true
		}
	}
	return false
}

// causedByOther tells whether a server ended under another request that is to blame for it.
func (t *Tracker) causedByOther(e *serverExit, work model.Fingerprint) bool {
	for other := range t.verdicts {
		if _, there := e.requests[other]; there && other != work {
			return true
		}
	}
	return false
}

// isCause tells whether the evidence is enough to blame a request, and would not be enough
// for another one that was at all of its ends as well.
func (t *Tracker) isCause(work model.Fingerprint, c evidence) bool {
	more := min(t.unrelatedExits(work)/unrelatedPerExtraExit, maxExtraExits)
	if len(c.attributed) < minExits+more || c.weight < minWeight+more*weightBeforeResponse || t.distinctCauses(c.attributed) < minCauses {
		return false
	}
	for other := range t.exits[c.attributed[0]].requests {
		if other != work && t.weightAt(other, c.attributed) >= minWeight+more*weightBeforeResponse {
			return false
		}
	}
	return true
}

// unrelatedExits counts the servers that ended of late without a request, and not under another
// one that is to blame for it.
func (t *Tracker) unrelatedExits(work model.Fingerprint) int {
	n := 0
	for _, e := range t.exits {
		if _, with := e.requests[work]; !with && t.clock()-e.at < unrelatedWindow && !t.causedByOther(e, work) {
			n++
		}
	}
	return n
}

// distinctCauses counts the ends that may have had distinctCauses of their own: those of one failure
// domain that follow each other within commonTime count once.
func (t *Tracker) distinctCauses(ends []model.Incarnation) int {
	ordered := slices.SortedFunc(slices.Values(ends), func(a, b model.Incarnation) int { return cmp.Compare(t.exits[a].at, t.exits[b].at) })
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

// weightAt is what ends weigh against a request; nothing if it was not at all of them.
func (t *Tracker) weightAt(work model.Fingerprint, ends []model.Incarnation) int {
	sum := 0
	for _, server := range ends {
		p, ok := t.exits[server].requests[work]
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
