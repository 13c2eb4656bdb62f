package faultsoak

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/skylarkwood/skylarkwood/platform/standin"
)

// client is one caller. It keeps its connection open until the router closes it
// or is gone.
type client struct {
	site        *site
	rnd         *rand.Rand
	conn        net.Conn
	br          *bufio.Reader
	incarnation *incarnation
	// idleSince is when its connection began to rest.
	idleSince time.Time
	// slowHead is how long it takes over the head of its next request.
	headDelay time.Duration
}

// reply is what a caller got: no status, if no answer began.
type response struct {
	status int
	body   string
	err    error

	incarnation  *incarnation // nil if the request could not be sent
	idleSince    time.Time
	began, ended time.Time
}

var attempts atomic.Int64

func (c *client) closeConn() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// step sends one request and checks what can be checked at once.
func (c *client) sendRandom() {
	if c.conn != nil && c.rnd.IntN(20) == 0 {
		c.closeConn()
	}
	kind := []string{"sheet", "sheet", "notice", "lookup"}[c.rnd.IntN(4)]
	if rep := c.request(c.site.routers[c.rnd.IntN(len(c.site.routers))], kind); rep.err != nil {
		c.closeConn()
		time.Sleep(20 * time.Millisecond)
	}
}

// rest waits until about a moment at which a router treats a resting connection
// differently: when it may no longer be relied on, at the limit, and, twice as
// often, when it is closed.
func (c *client) waitIdle() {
	const (
		closeMargin = time.Second // idleMargin of the front
		jitter      = 2 * time.Millisecond
	)
	if c.conn == nil {
		return
	}
	limit := c.site.latestConfig().idle
	offsets := []time.Duration{limit*4/5 - 2*jitter, limit, limit + closeMargin, limit + closeMargin}
	d := offsets[c.rnd.IntN(len(offsets))] + time.Duration((2*c.rnd.Float64()-1)*float64(jitter))
	time.Sleep(time.Until(c.idleSince.Add(d)))
	if c.rnd.IntN(8) == 0 {
		c.headDelay = headerTime + time.Duration((2*c.rnd.Float64()-1)*float64(jitter))
	}
}

func (c *client) request(r *router, kind string) response { return c.requestWithKey(r, kind, "key") }

func (c *client) requestWithKey(r *router, kind, key string) response {
	attempt := fmt.Sprintf("%x-%x", os.Getpid(), attempts.Add(1))
	rep := c.exchange(r, kind, key, attempt)
	rep.ended = time.Now()
	c.idleSince = rep.ended
	c.verify(kind, key, attempt, rep)
	return rep
}

// dial connects to a router and finds out which of its processes that is: the one
// that runs both before and after.
func (c *client) dial(r *router) error {
	before := r.current()
	conn, err := net.DialTimeout("tcp", r.settings.Router.Callers, time.Second)
	if err != nil {
		return err
	}
	if r.current() != before {
		conn.Close()
		return errors.New("the router was started anew meanwhile")
	}
	c.conn = conn
	c.br = bufio.NewReader(conn)
	c.incarnation = before
	c.idleSince = time.Now()
	return nil
}

// exchange sends one request, on the connection that it has or else on one to r.
func (c *client) exchange(r *router, kind, key, attempt string) response {
	const responseTimeout = 9 * time.Second // beyond the route's timeout
	if c.conn == nil {
		if err := c.dial(r); err != nil {
			return response{err: err}
		}
	}
	req, err := newRequest(kind, key, attempt)
	if err != nil {
		return response{err: err}
	}
	rep := response{incarnation: c.incarnation, idleSince: c.idleSince, began: time.Now()}
	_ = c.conn.SetDeadline(rep.began.Add(responseTimeout))
	if rep.err = c.write(req); rep.err != nil {
		return rep
	}
	resp, err := http.ReadResponse(c.br, req)
	if err != nil {
		rep.err = err
		return rep
	}
	body, err := io.ReadAll(resp.Body)
	if resp.Close {
		c.closeConn()
	}
	rep.status, rep.body, rep.err = resp.StatusCode, string(body), err
	return rep
}

func newRequest(kind, key, attempt string) (*http.Request, error) {
	method := http.MethodPost
	if kind == "lookup" {
		method = http.MethodGet
	}
	req, err := http.NewRequest(method, "http://h/"+kind+"/1", nil)
	if err != nil {
		return nil, err
	}
	req.Header.Set("Attempt-Id", attempt)
	req.Header.Set("Credential", key)
	req.Header.Set("Token-Usage", "100,60")
	return req, nil
}

// write sends a request, in two pieces if its head is a slow one.
func (c *client) write(req *http.Request) error {
	var raw bytes.Buffer
	if err := req.Write(&raw); err != nil {
		return err
	}
	if c.headDelay > 0 {
		if _, err := c.conn.Write(raw.Next(raw.Len() / 2)); err != nil {
			return err
		}
		time.Sleep(c.headDelay)
		c.headDelay = 0
	}
	_, err := c.conn.Write(raw.Bytes())
	return err
}

// verify checks the answer itself: whole and the caller's own, or visibly broken.
func (c *client) verify(kind, key, attempt string, rep response) {
	s := c.site
	s.mu.Lock()
	s.sent = append(s.sent, sentRequest{attempt, kind, rep})
	s.mu.Unlock()
	want := standin.PlainBody(attempt)
	if kind == "sheet" {
		want = standin.ResponseBody(attempt, s.fleet.Events)
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

// oldKeyRefused tells whether every router refuses the key before the last one
// and serves the last one.
func (s *site) keysUpToDate(c *client) bool {
	for _, r := range s.routers {
		c.closeConn()
		if rep := c.requestWithKey(r, "lookup", extraKey(s.key)); rep.status != http.StatusOK {
			return false
		}
		if rep := c.requestWithKey(r, "lookup", extraKey(s.key-1)); s.key > 1 && rep.status == http.StatusOK {
			return false
		}
	}
	c.closeConn()
	return true
}
