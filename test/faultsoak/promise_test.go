package faultsoak

import (
	"net/http"
	"os"
	"regexp"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/skylarkwood/skylarkwood/platform/standin"
)

// publishedConfig is one version of the configuration that the operator published.
type publishedConfig struct {
	version int64
	key     string
	idle    time.Duration
	at      time.Time // just before it was written
}

// sentRequest is one request with its response.
type sentRequest struct {
	attempt string
	kind    string
	response
}

// resultCounts counts requests, in total and by each result that is allowed.
type resultCounts struct {
	requests, served, refused, truncated int
	killed                               int // no response because the process was killed
	closedIdle                           int // sent while the router closed the idle connection
	// notAdmitted counts, by router, new connections that were closed without a response to
	// their first request, which reached no backend server.
	notAdmitted map[*router]int
}

// check compares responses with what backend servers executed, after all callers have
// finished: no notice ran twice, no request that was reported as not run ran, and
// every forwarded request got a response.
func (s *site) check() {
	n := resultCounts{notAdmitted: map[*router]int{}}
	for _, q := range s.sent {
		if q.incarnation == nil {
			continue
		}
		n.requests++
		s.checkRuns(q)
		s.checkResponse(q, &n)
	}
	for r, closed := range n.notAdmitted {
		if logged := s.refusedConnections(r); closed > logged {
			s.t.Errorf("%s closed %d new connections without a response to their first request; it refused %d for want of processor time", r.name, closed, logged)
		}
	}
	for _, v := range s.fleet.Violations() {
		s.t.Errorf("engines: %s", v)
	}
	for _, b := range s.fleet.Breaches() {
		if !s.excusesBreach(b) {
			s.t.Errorf("%s sent %s to %s at %s, %s after the server had asked it not to (leaving: %t)",
				b.Sender, b.Attempt, b.Server, b.At.Format(time.StampMilli), b.At.Sub(b.AskedAt), b.Leaving)
		}
	}
	s.t.Logf("%+v", n)
}

var refusedInLog = regexp.MustCompile(`(?m)"started"|new connections limited.* refusedTotal=(\d+)`)

// refusedConnections returns how many new connections a router refused according to its log,
// because they waited too long for the processor. Each process counts from its start, and lines may be
// missing.
func (s *site) refusedConnections(r *router) int {
	raw, err := os.ReadFile(r.log.Name())
	if err != nil {
		s.t.Error(err)
	}
	before, total := 0, 0 // of earlier processes, and with the present one
	for _, m := range refusedInLog.FindAllSubmatch(raw, -1) {
		if len(m[1]) == 0 {
			before = total
			continue
		}
		n, err := strconv.Atoi(string(m[1]))
		if err != nil {
			s.t.Error(err)
		}
		total = before + n
	}
	return total
}

// logLag is how late a router logs the connections that it refused. A process that is killed does not
// log the last of them.
const logLag = 2 * time.Second

// excusesBreach reports whether the router may not have received what the server asked for, or
// its request was held back: the link was cut, or the router was paused, had restarted, or was
// stopped for most of the time by a quota of processor time.
func (s *site) excusesBreach(b standin.Breach) bool {
	const transit = 2 * time.Second // longest fault of a link
	for _, p := range s.serverProxies {
		if p.addr() == b.Address && p.wasCut(b.AskedAt.Add(-transit), b.At) {
			return true
		}
	}
	for _, r := range s.routers {
		for _, l := range r.past {
			if l.id() == b.Sender {
				return l.pausedBetween(b.AskedAt.Add(-transit), b.At) || r.crowdedBetween(b.AskedAt, b.At)
			}
		}
	}
	return false
}

func (s *site) checkRuns(q sentRequest) {
	runs := len(s.fleet.Runs(q.attempt))
	if q.kind == "notice" && runs > 1 {
		s.t.Errorf("notice %s ran %d times", q.attempt, runs)
	}
	claimsNotRun := q.status == http.StatusServiceUnavailable || q.status == http.StatusTooManyRequests || q.status == http.StatusRequestTimeout
	if q.kind != "lookup" && claimsNotRun && runs > 0 {
		s.t.Errorf("%s %s was reported as not run (status %d) but ran %d times", q.kind, q.attempt, q.status, runs)
	}
}

// checkResponse checks two guarantees. A request that was forwarded to a backend
// server gets a response on its connection, unless the router's process was killed. A
// connection that was idle for less than four fifths of the idle limit is open, unless
// the router was stopped or paused, or it is new and the router refused it unread. Failures of backend servers, the store and links
// are no exception, since the router can refuse requests.
func (s *site) checkResponse(q sentRequest, n *resultCounts) {
	arrived := s.fleet.Arrivals(q.attempt)
	switch {
	case q.status == http.StatusOK && q.err != nil:
		n.truncated++
	case q.status == http.StatusOK:
		n.served++
	case q.status != 0:
		n.refused++
	case q.incarnation.killedBefore(q.ended), q.firstOnConn && arrived == 0 && q.incarnation.killedBefore(q.ended.Add(logLag)):
		n.killed++
	case errors.Is(q.err, os.ErrDeadlineExceeded):
		if !q.incarnation.pausedBetween(q.began, q.ended) {
			s.t.Errorf("%s %s: %s neither responded nor closed the connection", q.kind, q.attempt, q.incarnation.router.name)
		}
	case arrived > 0:
		s.t.Errorf("%s %s: %s forwarded it %d times and closed the connection after %s without a response, idle %s before: %v",
			q.kind, q.attempt, q.incarnation.router.name, arrived, q.ended.Sub(q.began), q.began.Sub(q.idleSince), q.err)
	case q.incarnation.stoppedBefore(q.ended), q.incarnation.pausedBetween(q.idleSince, q.ended), s.mayClose(q):
		n.closedIdle++
	case q.firstOnConn:
		n.notAdmitted[q.incarnation.router]++
	default:
		s.t.Errorf("%s %s: %s closed a connection that was idle for only %s: %v",
			q.kind, q.attempt, q.incarnation.router.name, q.began.Sub(q.idleSince), q.err)
	}
}

// mayClose reports whether the connection had been idle for four fifths of some idle
// limit while its router may have applied that limit.
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

// followVersions records when a router first serves the key of each version.
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
