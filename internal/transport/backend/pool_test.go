package backend

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/skylarkwood/skylarkwood/internal/protocol/relay"
)

// server answers each request by a script, and counts connections and requests
// as they arrive on the wire.
type server struct {
	l      net.Listener
	script func(c net.Conn, r *http.Request, n int) (more bool)

	mu       sync.Mutex
	conns    int
	requests int
}

func newServer(t *testing.T, script func(c net.Conn, r *http.Request, n int) bool) *server {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &server{l: l, script: script}
	t.Cleanup(func() { l.Close() })
	go s.run()
	return s
}

func (s *server) run() {
	for {
		c, err := s.l.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns++
		s.mu.Unlock()
		go s.serve(c)
	}
}

func (s *server) serve(c net.Conn) {
	defer c.Close()
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		s.mu.Lock()
		s.requests++
		n := s.requests
		s.mu.Unlock()
		if !s.script(c, r, n) {
			return
		}
	}
}

func (s *server) counts() (conns, requests int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.conns, s.requests
}

func get(t *testing.T, p *Pool, s *server) (status int, body string, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	ans, err := p.Do(ctx, s.l.Addr().String(), &relay.Request{Method: http.MethodGet, Target: "/a?b=c", Host: "h", Header: http.Header{"X-A": {"1"}}})
	if err != nil {
		return 0, "", err
	}
	defer ans.Body.Close()
	raw, err := io.ReadAll(ans.Body)
	return ans.Status, string(raw), err
}

func reply(text string) func(net.Conn, *http.Request, int) bool {
	return func(c net.Conn, _ *http.Request, _ int) bool {
		_, err := io.WriteString(c, text)
		return err == nil
	}
}

const (
	ok      = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nKeep-Alive: timeout=5\r\n\r\nbody"
	surplus = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate"
)

func TestConnectionIsUsedAgain(t *testing.T) {
	s := newServer(t, reply(ok))
	p := NewPool()
	for range 5 {
		status, body, err := get(t, p, s)
		assert.NilError(t, err)
		assert.Equal(t, status, 200)
		assert.Equal(t, body, "body")
	}
	conns, requests := s.counts()
	assert.Equal(t, conns, 1)
	assert.Equal(t, requests, 5)
}

// An answer is ended twice. The connection serves the next request by then, and
// must not be closed under it.
func TestSecondDoneDoesNothing(t *testing.T) {
	s := newServer(t, reply(ok))
	p := NewPool()
	ask := func() *relay.Response {
		ans, err := p.Do(context.Background(), s.l.Addr().String(), &relay.Request{Method: http.MethodGet, Target: "/", Host: "h"})
		assert.NilError(t, err)
		return ans
	}
	first := ask()
	_, err := io.ReadAll(first.Body)
	assert.NilError(t, err)
	first.Body.Close()
	second := ask()
	first.Body.Close()
	raw, err := io.ReadAll(second.Body)
	assert.NilError(t, err)
	assert.Equal(t, string(raw), "body")
	second.Body.Close()
	ask().Body.Close()
	conns, _ := s.counts()
	assert.Equal(t, conns, 1)
}

// A server sends a second answer behind the first one. The next request must
// not get it: it goes over another connection.
func TestSurplusAnswerIsNotTheNextOnes(t *testing.T) {
	s := newServer(t, func(c net.Conn, _ *http.Request, n int) bool {
		text := ok
		if n == 1 {
			text += surplus
		}
		_, err := io.WriteString(c, text)
		return err == nil
	})
	p := NewPool()
	for range 3 {
		_, body, err := get(t, p, s)
		assert.NilError(t, err)
		assert.Equal(t, body, "body")
	}
	conns, _ := s.counts()
	assert.Equal(t, conns, 2)
}

// The surplus answer comes late, while the connection idles.
func TestLateSurplusAnswerIsNotTheNextOnes(t *testing.T) {
	written := make(chan struct{})
	s := newServer(t, func(c net.Conn, _ *http.Request, n int) bool {
		if _, err := io.WriteString(c, ok); err != nil {
			return false
		}
		if n == 1 {
			time.Sleep(50 * time.Millisecond)
			_, _ = io.WriteString(c, surplus)
			close(written)
		}
		return true
	})
	p := NewPool()
	_, _, err := get(t, p, s)
	assert.NilError(t, err)
	<-written
	time.Sleep(50 * time.Millisecond)
	_, body, err := get(t, p, s)
	assert.NilError(t, err)
	assert.Equal(t, body, "body")
}

// A server closes an idle connection. The next request goes over a new one: on
// the old one it would be lost, and a notice must not be sent twice.
func TestClosedIdleConnectionIsNotUsed(t *testing.T) {
	s := newServer(t, func(c net.Conn, _ *http.Request, n int) bool {
		_, err := io.WriteString(c, ok)
		return err == nil && n > 1
	})
	p := NewPool()
	for range 3 {
		_, _, err := get(t, p, s)
		assert.NilError(t, err)
		time.Sleep(30 * time.Millisecond)
	}
	_, requests := s.counts()
	assert.Equal(t, requests, 3)
}

// A server reads a request and goes away with it. It must not be sent again by
// itself: whether it ran is not known.
func TestLostRequestIsNotSentAgain(t *testing.T) {
	s := newServer(t, func(c net.Conn, _ *http.Request, n int) bool {
		if n == 2 {
			return false
		}
		_, err := io.WriteString(c, ok)
		return err == nil
	})
	p := NewPool()
	_, _, err := get(t, p, s)
	assert.NilError(t, err)
	_, _, err = get(t, p, s)
	assert.Assert(t, err != nil && !errors.Is(err, relay.ErrNotSent))
	_, requests := s.counts()
	assert.Equal(t, requests, 2)
}

func TestNoConnectionIsProofOfNotSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	addr := l.Addr().String()
	l.Close()
	_, err = NewPool().Do(context.Background(), addr, &relay.Request{Method: http.MethodGet, Target: "/", Host: "h"})
	assert.Assert(t, errors.Is(err, relay.ErrNotSent))
}

// Answers that end early must not look whole, with a length, in chunks, or
// without either: there only a clean close is the end.
func TestTruncatedAnswers(t *testing.T) {
	for name, text := range map[string]string{
		"length": "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nbody",
		"chunks": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n",
		"head":   "HTTP/1.1 200 OK\r\nContent-Le",
	} {
		s := newServer(t, func(c net.Conn, _ *http.Request, _ int) bool {
			_, _ = io.WriteString(c, text)
			return false
		})
		_, _, err := get(t, NewPool(), s)
		assert.Assert(t, err != nil, name)
	}
	reset := newServer(t, func(c net.Conn, _ *http.Request, _ int) bool {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nbody")
		time.Sleep(50 * time.Millisecond)
		_ = c.(*net.TCPConn).SetLinger(0)
		return false
	})
	_, _, err := get(t, NewPool(), reset)
	assert.Assert(t, err != nil, "a reset is no end")
	clean := newServer(t, func(c net.Conn, _ *http.Request, _ int) bool {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nbody")
		return false
	})
	_, body, err := get(t, NewPool(), clean)
	assert.NilError(t, err)
	assert.Equal(t, body, "body")
}

// A server answers before it has read a long body. The answer is passed on, and
// the connection, on which the rest of the body is due, is not used again.
func TestEarlyAnswerClosesTheConnection(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	var mu sync.Mutex
	conns := 0
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			mu.Lock()
			conns++
			mu.Unlock()
			go func() {
				buf := make([]byte, 1024)
				_, _ = c.Read(buf)
				_, _ = io.WriteString(c, strings.Replace(ok, "200 OK", "413 Too Large", 1))
				time.Sleep(time.Second)
				c.Close()
			}()
		}
	}()
	p := NewPool()
	long := &relay.Request{Method: http.MethodPost, Target: "/", Host: "h", Body: make([]byte, 32<<20)}
	for range 2 {
		ans, err := p.Do(context.Background(), l.Addr().String(), long)
		assert.NilError(t, err)
		assert.Equal(t, ans.Status, 413)
		_, err = io.ReadAll(ans.Body)
		assert.NilError(t, err)
		ans.Body.Close()
	}
	mu.Lock()
	defer mu.Unlock()
	assert.Equal(t, conns, 2)
}

// The caller leaves: the connection is closed, which ends the server's work.
func TestCancelClosesTheConnection(t *testing.T) {
	gone := make(chan struct{})
	s := newServer(t, func(c net.Conn, _ *http.Request, _ int) bool {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n")
		_, _ = io.Copy(io.Discard, c) // until the peer closes
		close(gone)
		return false
	})
	ctx, cancel := context.WithCancel(context.Background())
	ans, err := NewPool().Do(ctx, s.l.Addr().String(), &relay.Request{Method: http.MethodGet, Target: "/", Host: "h"})
	assert.NilError(t, err)
	defer ans.Body.Close()
	cancel()
	select {
	case <-gone:
	case <-time.After(10 * time.Second):
		t.Fatal("the server still works")
	}
}
