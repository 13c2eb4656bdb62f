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

// countingServer counts the requests that it reads. It responds to the first request of each
// connection and closes the connection after it has read the second, like a server that
// exits while it handles a request.
type countingServer struct {
	l        net.Listener
	mu       sync.Mutex
	requests int
	conns    sync.WaitGroup
}

func newCountingServer(t *testing.T, response string) *countingServer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &countingServer{l: l}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.conns.Go(func() { s.serve(c, response) })
		}
	}()
	t.Cleanup(func() {
		l.Close()
		s.conns.Wait()
	})
	return s
}

func (s *countingServer) serve(c net.Conn, response string) {
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
			_, _ = io.WriteString(c, response)
		}
	}
}

func (s *countingServer) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.requests
}

const emptyProto = "HTTP/1.1 200 OK\r\nContent-Type: application/proto\r\nContent-Length: 0\r\n\r\n"

// A backend server closes a reused connection after it has read a call. The call must fail
// and must not be sent again on a new connection.
func TestCallIsSentOnce(t *testing.T) {
	s := newCountingServer(t, emptyProto)
	p := DialPlain(NewHTTPClient(4), "http://"+s.l.Addr().String())
	_, err := p.Call(context.Background(), "first", nil)
	assert.NilError(t, err)
	_, err = p.Call(context.Background(), "second", []byte("body"))
	assert.Assert(t, err != nil)
	assert.Equal(t, s.count(), 2)
}

// Requests with an idempotency key, which net/http considers idempotent, must not be sent
// again either.
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
