package quarantine

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/skylarkwood/skylarkwood/internal/model"
)

const (
	// guiltyFrom is the number of ends that a request needs to be blamed.
	guiltyFrom = 3
	// unanswered and answered weigh an end: a server that had begun to answer has run the
	// request for a while, as servers do that end for another reason. guiltyWeight is met by
	// three ends before an answer, or by six after its beginning.
	unanswered, answered = 2, 1
	guiltyWeight         = 6
	// guiltyCauses is how many ends it takes that have no cause in common: a failure
	// domain's trouble ends several servers of it within commonTime.
	guiltyCauses = 2
	// For each noisyEnds servers that ended without a request within noisyTime it needs one
	// more end of its own, up to mostMore: where servers end all the time, chance alone puts
	// a request at three ends.
	noisyEnds = 6
	noisyTime = 10 * time.Second
	mostMore  = 3
	// commonTime and commonEnds tell a failure domain's trouble: where so many other
	// servers of a domain ended within that time without the request, it is innocent there.
	commonTime = time.Second
	commonEnds = 2
)

// charge is what speaks against a request.
type charge struct {
	// met counts all ends that no other request is to blame for: they decide how it runs.
	met    int
	newest time.Duration
	wide   bool
	// ends are those that also do not look like a failure domain's trouble: they decide
	// whether it is blamed. Left out above too, two requests that end the servers of one
	// domain would be excuses for each other, and go on.
	ends   []model.Incarnation
	weight int
}

// weigh collects the ends that count against a request, since its last verdict. The caller
// holds the lock.
func (t *Tracker) weigh(work model.Fingerprint, s *suspect) charge {
	var c charge
	if s == nil {
		return c
	}
	since := time.Duration(math.MinInt64)
	if v := t.verdicts[work]; v != nil {
		since = v.since + v.term
	}
	for server := range s.ends {
		e := t.ends[server]
		if e.crowded || e.at < since || t.explained(e, work) {
			continue
		}
		p := e.present[work]
		c.met++
		c.newest = max(c.newest, e.at)
		c.wide = c.wide || p.later
		if !t.commonCause(work, server, e) {
			c.ends = append(c.ends, server)
			c.weight += p.weight()
		}
	}
	return c
}

// commonCause tells whether a server ended together with others of its failure domain that
// did not run the request: when a domain loses power, what was sent on from one server to
// the next is at several ends within a moment. Ends under a request that is known to end
// servers are explained by that one.
func (t *Tracker) commonCause(work model.Fingerprint, server model.Incarnation, e *end) bool {
	others := 0
	for other, o := range t.ends {
		if other == server || o.domain != e.domain || max(o.at-e.at, e.at-o.at) > commonTime {
			continue
		}
		if _, with := o.present[work]; !with && !t.explained(o, work) && !t.suspicious(o) {
			others++
		}
	}
	return others >= commonEnds
}

// suspicious tells whether a server ended under a request that was at enough ends to be
// blamed, whether it will be or not: that may have ended it.
func (t *Tracker) suspicious(e *end) bool {
	for work := range e.present {
		if s := t.suspects[work]; s != nil && len(s.ends) >= guiltyFrom {
			return true
		}
	}
	return false
}

// explained tells whether a server ended under another request that is to blame for it.
func (t *Tracker) explained(e *end, work model.Fingerprint) bool {
	for other := range t.verdicts {
		if _, there := e.present[other]; there && other != work {
			return true
		}
	}
	return false
}

// guilty tells whether the evidence is enough to blame a request, and would not be enough
// for another one that was at all of its ends as well.
func (t *Tracker) guilty(work model.Fingerprint, c charge) bool {
	more := min(t.unrelated(work)/noisyEnds, mostMore)
	if len(c.ends) < guiltyFrom+more || c.weight < guiltyWeight+more*unanswered || t.causes(c.ends) < guiltyCauses {
		return false
	}
	for other := range t.ends[c.ends[0]].present {
		if other != work && t.weightAt(other, c.ends) >= guiltyWeight+more*unanswered {
			return false
		}
	}
	return true
}

// unrelated counts the servers that ended of late without a request, and not under another
// one that is to blame for it.
func (t *Tracker) unrelated(work model.Fingerprint) int {
	n := 0
	for _, e := range t.ends {
		if _, with := e.present[work]; !with && t.clock()-e.at < noisyTime && !t.explained(e, work) {
			n++
		}
	}
	return n
}

// causes counts the ends that may have had causes of their own: those of one failure
// domain that follow each other within commonTime count once.
func (t *Tracker) causes(ends []model.Incarnation) int {
	ordered := slices.SortedFunc(slices.Values(ends), func(a, b model.Incarnation) int { return cmp.Compare(t.ends[a].at, t.ends[b].at) })
	last := map[string]time.Duration{}
	n := 0
	for _, server := range ordered {
		e := t.ends[server]
		if at, ok := last[e.domain]; !ok || e.at-at > commonTime {
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
		p, ok := t.ends[server].present[work]
		if !ok {
			return 0
		}
		sum += p.weight()
	}
	return sum
}

func (p presence) weight() int {
	if p.answered {
		return answered
	}
	return unanswered
}
