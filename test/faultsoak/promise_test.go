package faultsoak

import (
	"net/http"
	"os"
	"time"

	"github.com/pkg/errors"
)

// published is one version of the configuration, as the operator wrote it.
type publishedConfig struct {
	version int64
	key     string
	idle    time.Duration
	at      time.Time // before it was written
}

// sent is one request and what came of it.
type sentRequest struct {
	attempt string
	kind    string
	response
}

// tally counts what is allowed, beside the answers.
type resultCounts struct {
	requests, served, refused, truncated int
	killed                               int // no answer, as the process was killed
	closedIdle                           int // met the close of a resting connection
}

// check looks at what backend servers saw, when everything has ended: nothing
// that must not be repeated ran twice, what was said not to have run did not, and
// what was passed on was answered.
func (s *site) check() {
	var n resultCounts
	for _, q := range s.sent {
		if q.incarnation == nil {
			continue
		}
		n.requests++
		s.checkRuns(q)
		s.checkResponse(q, &n)
	}
	for _, v := range s.fleet.Violations() {
		s.t.Errorf("engines: %s", v)
	}
	s.t.Logf("%+v", n)
}

func (s *site) checkRuns(q sentRequest) {
	runs := len(s.fleet.Runs(q.attempt))
	if q.kind == "notice" && runs > 1 {
		s.t.Errorf("notice %s ran %d times", q.attempt, runs)
	}
	claimsNotRun := q.status == http.StatusServiceUnavailable || q.status == http.StatusTooManyRequests || q.status == http.StatusRequestTimeout
	if q.kind != "lookup" && claimsNotRun && runs > 0 {
		s.t.Errorf("%s %s was said not to have run (%d), and ran %d times", q.kind, q.attempt, q.status, runs)
	}
}

// checkAnswered holds a router to two promises. A request that it passed on to a
// backend server is answered on its connection; only a kill of its process excuses
// it: in a planned stop, also one that a pause held up, the router has the time to
// answer for what still runs. A connection that has rested for less than four fifths of the idle limit is open. What goes wrong
// at backend servers and at the store, or on the ways there, excuses neither: the
// router can refuse.
func (s *site) checkResponse(q sentRequest, n *resultCounts) {
	arrived := s.fleet.Arrivals(q.attempt)
	switch {
	case q.status == http.StatusOK && q.err != nil:
		n.truncated++
	case q.status == http.StatusOK:
		n.served++
	case q.status != 0:
		n.refused++
	case q.incarnation.killedBefore(q.ended):
		n.killed++
	case errors.Is(q.err, os.ErrDeadlineExceeded):
		if !q.incarnation.pausedBetween(q.began, q.ended) {
			s.t.Errorf("%s %s: neither an answer nor an end from %s", q.kind, q.attempt, q.incarnation.router.name)
		}
	case arrived > 0:
		s.t.Errorf("%s %s: %s passed it on %d times and closed its connection after %s without an answer, rested %s before: %v",
			q.kind, q.attempt, q.incarnation.router.name, arrived, q.ended.Sub(q.began), q.began.Sub(q.idleSince), q.err)
	case q.incarnation.stoppedBefore(q.ended), q.incarnation.pausedBetween(q.idleSince, q.ended), s.mayClose(q):
		n.closedIdle++
	default:
		s.t.Errorf("%s %s: %s closed a connection that had rested %s only: %v",
			q.kind, q.attempt, q.incarnation.router.name, q.began.Sub(q.idleSince), q.err)
	}
}

// mayClose tells whether there was a moment at which a connection had rested for
// four fifths of an idle limit that its router may have held then.
func (s *site) mayClose(q sentRequest) bool {
	for _, v := range s.published {
		if v.at.After(q.began) {
			break
		}
		last := q.began
		if t, ok := q.incarnation.supersededAt(v.version); ok && t.Before(last) {
			last = t
		}
		if last.Sub(q.idleSince) >= v.idle*4/5 {
			return true
		}
	}
	return false
}

func (s *site) latestConfig() publishedConfig {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.published[len(s.published)-1]
}

// followVersions notes when a router is seen to hold each version: when it serves
// the key that the version brought.
func (s *site) followVersions(r *router) {
	const pollInterval = 10 * time.Millisecond
	c := &client{site: s}
	defer c.closeConn()
	for !r.isShutDown() {
		time.Sleep(pollInterval)
		v := s.latestConfig()
		if l := r.current(); l == nil || l.hasVersion(v.version) {
			continue
		}
		rep := c.requestWithKey(r, "lookup", v.key)
		if rep.err != nil {
			c.closeConn()
		} else if rep.status == http.StatusOK {
			rep.incarnation.recordVersion(v.version)
		}
	}
}
