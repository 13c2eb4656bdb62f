package faultsoak

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/skylarkwood/skylarkwood/platform/standin"
)

// client is one caller. It keeps its connection open until the router closes it
// or is gone.
type client struct {
	site *site
	rnd  *rand.Rand
	conn net.Conn
	br   *bufio.Reader
	at   *process
}

type reply struct {
	status int
	body   string
	err    error
}

var attempts atomic.Int64

func (c *client) drop() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// step sends one request and checks what can be checked at once.
func (c *client) step() {
	kind := []string{"sheet", "sheet", "notice", "lookup"}[c.rnd.IntN(4)]
	r := c.at
	if c.conn == nil || c.rnd.IntN(20) == 0 {
		c.drop()
		r = c.site.routers[c.rnd.IntN(len(c.site.routers))]
	}
	if rep := c.ask(r, kind); rep.err != nil {
		c.drop()
		time.Sleep(20 * time.Millisecond)
	}
}

func (c *client) ask(r *process, kind string) reply { return c.askWith(r, kind, "key") }

func (c *client) askWith(r *process, kind, key string) reply {
	attempt := fmt.Sprintf("%x-%d", c.site.version, attempts.Add(1))
	rep := c.exchange(r, kind, key, attempt)
	c.verify(kind, key, attempt, rep)
	return rep
}

func (c *client) exchange(r *process, kind, key, attempt string) reply {
	const patience = 9 * time.Second // beyond the route's timeout
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", r.settings.Router.Callers, time.Second)
		if err != nil {
			return reply{err: err}
		}
		c.conn = conn
		c.br = bufio.NewReader(conn)
		c.at = r
	}
	_ = c.conn.SetDeadline(time.Now().Add(patience))
	method := http.MethodPost
	if kind == "lookup" {
		method = http.MethodGet
	}
	req, err := http.NewRequest(method, "http://h/"+kind+"/1", nil)
	if err != nil {
		return reply{err: err}
	}
	req.Header.Set("Attempt-Id", attempt)
	req.Header.Set("Credential", key)
	req.Header.Set("Token-Usage", "100,60")
	if err := req.Write(c.conn); err != nil {
		return reply{err: err}
	}
	resp, err := http.ReadResponse(c.br, req)
	if err != nil {
		return reply{err: err}
	}
	body, err := io.ReadAll(resp.Body)
	if resp.Close {
		c.drop()
	}
	return reply{status: resp.StatusCode, body: string(body), err: err}
}

// verify checks the answer itself: whole and the caller's own, or visibly broken.
func (c *client) verify(kind, key, attempt string, rep reply) {
	s := c.site
	s.mu.Lock()
	s.sent = append(s.sent, sent{attempt, kind, rep.status})
	s.mu.Unlock()
	want := standin.PlainBody(attempt)
	if kind == "sheet" {
		want = standin.Answer(attempt, s.fleet.Events)
	}
	switch {
	case rep.status == http.StatusOK && rep.err == nil && rep.body != want:
		s.t.Errorf("%s %s: another answer, or not whole: %q", kind, attempt, rep.body)
	case rep.status == http.StatusOK && !strings.HasPrefix(want, rep.body):
		s.t.Errorf("%s %s: broken answer does not begin as the whole one: %q", kind, attempt, rep.body)
	case key == "key" && (rep.status == http.StatusUnauthorized || rep.status == http.StatusNotFound):
		s.t.Errorf("%s %s: refused with %d though the configuration always allowed it", kind, attempt, rep.status)
	}
}

// check looks at what backend servers saw, when everything has ended: nothing
// that must not be repeated ran twice, what was said not to have run did not.
func (s *site) check() {
	ran := 0
	for _, q := range s.sent {
		runs := len(s.fleet.Runs(q.attempt))
		if q.status == http.StatusOK {
			ran++
		}
		if q.kind == "notice" && runs > 1 {
			s.t.Errorf("notice %s ran %d times", q.attempt, runs)
		}
		promise := q.status == http.StatusServiceUnavailable || q.status == http.StatusTooManyRequests || q.status == http.StatusRequestTimeout
		if q.kind != "lookup" && promise && runs > 0 {
			s.t.Errorf("%s %s was said not to have run (%d), and ran %d times", q.kind, q.attempt, q.status, runs)
		}
	}
	for _, v := range s.fleet.Violations() {
		s.t.Errorf("engines: %s", v)
	}
	s.t.Logf("%d requests, %d answered", len(s.sent), ran)
}

// oldKeyRefused tells whether every router refuses the key before the last one
// and serves the last one.
func (s *site) oldKeyRefused(c *client) bool {
	for _, r := range s.routers {
		c.drop()
		if rep := c.askWith(r, "lookup", extraKey(s.key)); rep.status != http.StatusOK {
			return false
		}
		if rep := c.askWith(r, "lookup", extraKey(s.key-1)); s.key > 1 && rep.status == http.StatusOK {
			return false
		}
	}
	c.drop()
	return true
}
