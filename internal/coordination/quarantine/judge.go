package quarantine

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/skylarkwood/skylarkwood/internal/model"
)

const (
	// aloneFrom is the number of ends from which on a request runs alone among suspects.
	aloneFrom = 2
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
	// settleTime is how long others are given to tell which requests they had at a
	// server that ended, before a request is blamed for it: a router with a third of a core
	// may be that late.
	settleTime = 100 * time.Millisecond
	// doubtTime is how long a run that broke off counts as an end of its server for what
	// becomes of the request next, though nobody has confirmed it.
	doubtTime = 300 * time.Millisecond
	// commonTime and commonEnds tell a failure domain's trouble: where so many other
	// servers of a domain ended within that time without the request, it is innocent there.
	commonTime = time.Second
	commonEnds = 2
)

// Standing is what may be done with a request.
type Standing int

// Standings, each stricter than the one before.
const (
	// Free requests go anywhere.
	Free Standing = iota
	// Apart requests were at a server that ended: they keep away from others of the kind.
	Apart
	// Alone requests run only with a trial granted, see Trials.
	Alone
	// Undecided requests go nowhere until the evidence is there, some tenth of a second.
	Undecided
	// Quarantined requests go nowhere.
	Quarantined
)

// Verdict is a request's standing and what it rests on.
type Verdict struct {
	Standing Standing
	// Ends counts the servers that are held against it.
	Ends int
	// Wide says that a server ended which ran a later part of its chain.
	Wide bool
	// Shun are failure domains in which a server ended under it a moment ago. Another end
	// there may have the same cause and would prove nothing.
	Shun map[string]bool
}

// Watching tells whether any request is under suspicion: else none need be looked up.
func (t *Tracker) Watching() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.watching()
}

func (t *Tracker) watching() bool { return len(t.suspects)+len(t.verdicts) > 0 }

// Look gives a request's standing.
func (t *Tracker) Look(work model.Fingerprint) Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	v := t.verdicts[work]
	if v != nil && t.serving(v) {
		return Verdict{Standing: Quarantined, Ends: v.ends}
	}
	s := t.suspects[work]
	if s == nil && v == nil {
		return Verdict{}
	}
	c := t.weigh(work, s)
	doubtful := t.doubtful(s)
	out := Verdict{Ends: c.met + doubtful, Wide: c.wide}
	from := guiltyFrom
	if v != nil {
		out.Ends += v.ends
		from = v.ends + 1
	}
	switch {
	case out.Ends >= from && (doubtful > 0 || t.clock()-c.newest < settleTime):
		out.Standing = Undecided
	case t.sentenced(work, v, c):
		out.Standing = Quarantined
	case out.Ends >= aloneFrom:
		out.Standing = Alone
		out.Shun = t.shun(s)
		t.logAlone(work, s, c)
	case out.Ends > 0:
		out.Standing = Apart
	}
	return out
}

// Judge blames the requests against which the evidence is enough, whether they come again
// or not.
func (t *Tracker) Judge() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for work, s := range t.suspects {
		v := t.verdicts[work]
		if v != nil && t.serving(v) || v == nil && len(s.ends) < guiltyFrom {
			continue
		}
		if c := t.weigh(work, s); t.clock()-c.newest >= settleTime {
			t.sentenced(work, v, c)
		}
	}
}

// sentenced puts a request into quarantine if the evidence is enough; v is a verdict whose
// term is over, or nil. The caller holds the lock.
func (t *Tracker) sentenced(work model.Fingerprint, v *verdict, c charge) bool {
	switch {
	case v != nil && len(c.ends) > 0:
		t.relapse(work, v)
	case v == nil && t.guilty(work, c):
		t.blame(work, c)
	default:
		return false
	}
	if s := t.suspects[work]; s != nil && s.own {
		t.out.verdict(work)
	}
	return true
}

// shun lists the failure domains in which servers ended under a request a moment ago.
func (t *Tracker) shun(s *suspect) map[string]bool {
	out := map[string]bool{}
	if s == nil {
		return out
	}
	since := t.clock() - commonTime
	for server := range s.ends {
		if e := t.ends[server]; e.at >= since {
			out[e.domain] = true
		}
	}
	for _, b := range s.broken {
		if b.at >= since {
			out[b.places[0].Domain] = true
		}
	}
	return out
}

// doubtful counts the servers at which a request just broke off.
func (t *Tracker) doubtful(s *suspect) int {
	if s == nil {
		return 0
	}
	n := 0
	for _, b := range s.broken {
		if t.clock()-b.at < doubtTime {
			n++
		}
	}
	return n
}

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
