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
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/skylarkwood/skylarkwood/platform/standin"
)

// client is one caller. It keeps its connection open until the router closes it or
// exits.
type client struct {
	site        *site
	rnd         *rand.Rand
	conn        net.Conn
	br          *bufio.Reader
	incarnation *incarnation
	// idleSince is when the connection became idle.
	idleSince time.Time
	// headDelay is how long the next request's head is delayed halfway.
	headDelay time.Duration
	// prompt is the beginning of the prompts, in place of that of most callers.
	prompt string
}

// response is what a caller received. The status is 0 if no response began.
type response struct {
	status int
	body   string
	err    error

	incarnation  *incarnation // nil if the router could not be reached
	firstOnConn  bool         // no request was sent on the connection before
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

// sendRandom sends a random kind of request to a random router.
func (c *client) sendRandom() {
	if c.conn != nil && c.rnd.IntN(20) == 0 {
		c.closeConn()
	}
	kind := []string{"sheet", "sheet", "notice", "lookup"}[c.rnd.IntN(4)]
	if sheets := c.site.sheets; kind == "sheet" && len(sheets) > 1 {
		kind = sheets[c.rnd.IntN(len(sheets))]
	}
	r := c.site.routers[c.rnd.IntN(len(c.site.routers))]
	if crowded := c.site.crowded.Load(); crowded != nil && c.rnd.Float64() < crowdShare {
		r = crowded
		if c.rnd.IntN(2) == 0 {
			c.closeConn()
		}
	}
	if rep := c.request(r, kind); rep.err != nil {
		c.closeConn()
		time.Sleep(20 * time.Millisecond)
	}
}

// waitIdle waits until about a moment at which a router changes how it treats an idle
// connection: shortly before the caller may no longer rely on it, at the idle limit,
// and, twice as often, when the router closes it.
func (c *client) waitIdle() {
	const (
		closeMargin = time.Second // idleMargin of the router's HTTP listener
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
	c.verifyPrompt(attempt, rep)
	return rep
}

// dial connects to a router and records its incarnation, which must be the same before
// and after.
func (c *client) dial(r *router) error {
	before := r.current()
	conn, err := net.DialTimeout("tcp", r.settings.Router.Callers, time.Second)
	if err != nil {
		return err
	}
	if r.current() != before {
		conn.Close()
		return errors.New("router restarted during dial")
	}
	c.conn = conn
	c.br = bufio.NewReader(conn)
	c.incarnation = before
	c.idleSince = time.Now()
	return nil
}

// exchange sends one request on the open connection, or on a new one to r.
func (c *client) exchange(r *router, kind, key, attempt string) response {
	const responseTimeout = 9 * time.Second // longer than the route's timeout
	first := c.conn == nil
	if first {
		if err := c.dial(r); err != nil {
			return response{err: err}
		}
	}
	req, err := newRequest(kind, key, attempt)
	if err != nil {
		return response{err: err}
	}
	if kind != "lookup" && kind != "notice" {
		prompt := c.prompt
		if prompt == "" {
			prompt = firstPart + ":40," + kind + ":60"
		}
		req.Header.Set("Prompt-Prefix", prompt+","+attempt+":20")
	}
	rep := response{incarnation: c.incarnation, firstOnConn: first, idleSince: c.idleSince, began: time.Now()}
	req.Header.Set(standin.SenderHeader, c.incarnation.id())
	req.Header.Set(standin.SentAtHeader, strconv.FormatInt(rep.began.UnixMicro(), 10))
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

// write sends a request. If headDelay is set, it pauses that long halfway through the
// head.
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

// verify records the request and checks that a response is complete and belongs to
// this request, or is visibly truncated.
func (c *client) verify(kind, key, attempt string, rep response) {
	s := c.site
	s.mu.Lock()
	s.sent = append(s.sent, sentRequest{attempt, kind, rep})
	s.mu.Unlock()
	want := standin.PlainBody(attempt)
	if slices.Contains(s.sheets, kind) {
		want = standin.ResponseBody(attempt, s.fleet.Events)
	}
	switch {
	case rep.status == http.StatusOK && rep.err == nil && rep.body != want:
		s.t.Errorf("%s %s: response is incomplete or belongs to another request: %q", kind, attempt, rep.body)
	case rep.status == http.StatusOK && !strings.HasPrefix(want, rep.body):
		s.t.Errorf("%s %s: truncated response is no prefix of the expected one: %q", kind, attempt, rep.body)
	case key == "key" && (rep.status == http.StatusUnauthorized || rep.status == http.StatusNotFound):
		s.t.Errorf("%s %s: refused with status %d although every configuration allows it", kind, attempt, rep.status)
	}
}

// keysUpToDate reports whether every router refuses the previous key and accepts the
// current one.
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
