package platform

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// wireServer counts the requests that arrive on the wire. It answers the first
// of each connection and drops the connection after reading the next one, as a
// server does that goes away with a request in its hands.
type countingServer struct {
	l        net.Listener
	mu       sync.Mutex
	requests int
	conns    sync.WaitGroup
}

func newCountingServer(t *testing.T, answer string) *countingServer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &countingServer{l: l}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.conns.Go(func() { s.serve(c, answer) })
		}
	}()
	t.Cleanup(func() {
		l.Close()
		s.conns.Wait()
	})
	return s
}

func (s *countingServer) serve(c net.Conn, answer string) {
	defer c.Close()
	r := bufio.NewReader(c)
	for n := 0; n < 2; n++ {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		s.mu.Lock()
		s.requests++
		s.mu.Unlock()
		if n == 0 {
			_, _ = io.WriteString(c, answer)
		}
	}
}

func (s *countingServer) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.requests
}

const emptyProto = "HTTP/1.1 200 OK\r\nContent-Type: application/proto\r\nContent-Length: 0\r\n\r\n"

// A call that must not be repeated goes out on a kept connection, and the
// backend server closes it without an answer. net/http would send the request
// again on a new connection if it thinks it idempotent; the backend server must
// see it once, and the caller an error.
func TestCallIsOnTheWireOnce(t *testing.T) {
	s := newCountingServer(t, emptyProto)
	p := DialPlain(NewHTTPClient(4), "http://"+s.l.Addr().String())
	_, err := p.Call(context.Background(), "first", nil)
	assert.NilError(t, err)
	_, err = p.Call(context.Background(), "second", []byte("body"))
	assert.Assert(t, err != nil)
	assert.Equal(t, s.count(), 2)
}

// The same for requests that net/http takes for idempotent by their header.
func TestIdempotencyKeyDoesNotResend(t *testing.T) {
	s := newCountingServer(t, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	hc := NewHTTPClient(4)
	post := func() error {
		req, err := http.NewRequest(http.MethodPost, "http://"+s.l.Addr().String(), strings.NewReader("body"))
		assert.NilError(t, err)
		req.Header.Set("Idempotency-Key", "k")
		resp, err := hc.Do(req)
		if err != nil {
			return err
		}
		_, err = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		return err
	}
	assert.NilError(t, post())
	assert.Assert(t, post() != nil)
	assert.Equal(t, s.count(), 2)
}
