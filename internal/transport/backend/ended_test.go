package backend

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/skylarkwood/skylarkwood/internal/protocol/relay"
)

// hooked is a connection that does something right before or after a write.
type hooked struct {
	*net.TCPConn
	before, after func()
	once          sync.Once
	closed        chan struct{}
}

func (h *hooked) Write(p []byte) (int, error) {
	if h.before != nil {
		h.before()
	}
	n, err := h.TCPConn.Write(p)
	if h.after != nil {
		h.after()
	}
	return n, err
}

func (h *hooked) Close() error {
	err := h.TCPConn.Close()
	h.once.Do(func() { close(h.closed) })
	return err
}

// keep gives a pool one kept connection to a server.
func keep(t *testing.T, p *Pool, s *server) *hooked {
	nc, err := net.Dial("tcp", s.l.Addr().String())
	assert.NilError(t, err)
	h := &hooked{TCPConn: nc.(*net.TCPConn), closed: make(chan struct{})}
	p.host(s.l.Addr().String()).put(&conn{Conn: h, br: bufio.NewReader(h), until: time.Now().Add(time.Hour)})
	return h
}

func notice(s *server) (addr string, r *relay.Request) {
	return s.l.Addr().String(), &relay.Request{Method: http.MethodPost, Target: "/", Host: "h", Body: []byte("notice")}
}

// The caller has left while its request waited for its turn. Sent on over a kept
// connection, the request would reach a backend server that works for nobody, and
// would count as one that may have run.
func TestEndedRequestIsNotSent(t *testing.T) {
	s := newServer(t, reply(ok))
	p := NewPool()
	_, _, err := get(t, p, s)
	assert.NilError(t, err)
	left, leave := context.WithCancel(context.Background())
	leave()
	addr, r := notice(s)
	for range 50 {
		_, err = p.Do(left, addr, r)
		assert.Assert(t, errors.Is(err, relay.ErrNotSent), "%v", err)
		assert.Assert(t, errors.Is(err, context.Canceled), "%v", err)
	}
	_, _, err = get(t, p, s)
	assert.NilError(t, err)
	conns, requests := s.counts()
	assert.Equal(t, requests, 2, "only the two whose caller waited")
	assert.Equal(t, conns, 1, "the kept connection was not used up")
}

// The caller leaves between the look at its context and the write. The connection is
// closed first, the kernel takes no byte of the request, and that is proof that it
// was not sent.
func TestRequestWhoseConnectionClosedFirstIsNotSent(t *testing.T) {
	s := newServer(t, reply(ok))
	p := NewPool()
	h := keep(t, p, s)
	ctx, leave := context.WithCancel(context.Background())
	h.before = func() {
		leave()
		<-h.closed
	}
	addr, r := notice(s)
	_, err := p.Do(ctx, addr, r)
	assert.Assert(t, errors.Is(err, relay.ErrNotSent), "%v", err)
	_, requests := s.counts()
	assert.Equal(t, requests, 0)
}

// The caller leaves as the request has just been written. Whether the server runs
// it is not known, and nothing may say that it was not sent.
func TestWrittenRequestMayHaveRun(t *testing.T) {
	s := newServer(t, func(net.Conn, *http.Request, int) bool { return false })
	p := NewPool()
	h := keep(t, p, s)
	ctx, leave := context.WithCancel(context.Background())
	h.after = leave
	addr, r := notice(s)
	_, err := p.Do(ctx, addr, r)
	assert.Assert(t, err != nil && !errors.Is(err, relay.ErrNotSent), "%v", err)
}

// A kept connection breaks after the look at it and before the request is written.
// Nothing went out, so the request goes over a new connection: its caller gets the
// answer, and no server is blamed.
func TestConnectionBrokenBeforeTheWriteIsReplaced(t *testing.T) {
	s := newServer(t, reply(ok))
	p := NewPool()
	h := keep(t, p, s)
	h.before = func() { h.Close() }
	addr, r := notice(s)
	ans, err := p.Do(context.Background(), addr, r)
	assert.NilError(t, err)
	ans.Body.Close()
	_, requests := s.counts()
	assert.Equal(t, requests, 1)
}

// A server's process ends while an answer of it is still read, and everything known
// of its address is dropped. The connection must not be kept for the next request:
// nobody is behind it, and where it stays silent that request would wait in vain.
func TestDroppedAddressKeepsNoConnectionInUse(t *testing.T) {
	s := newServer(t, reply(ok))
	p := NewPool()
	addr, r := notice(s)
	ans, err := p.Do(context.Background(), addr, r)
	assert.NilError(t, err)
	p.CloseIdle(addr)
	buf := make([]byte, 16)
	for err == nil {
		_, err = ans.Body.Read(buf)
	}
	ans.Body.Close()
	_, _, err = get(t, p, s)
	assert.NilError(t, err)
	conns, _ := s.counts()
	assert.Equal(t, conns, 2)
}

// Requests take connections while others are trimmed and dropped. A connection that
// was given to a request is no longer among those, so none is closed under it.
func TestTrimAndDropSpareConnectionsInUse(t *testing.T) {
	s := newServer(t, reply(ok))
	p := NewPool()
	addr, _ := notice(s)
	done := make(chan struct{})
	var closers, askers sync.WaitGroup
	closers.Go(func() {
		for {
			select {
			case <-done:
				return
			default:
				p.CloseExpired()
				p.CloseIdle(addr)
			}
		}
	})
	for range 8 {
		askers.Go(func() {
			for range 50 {
				_, body, err := get(t, p, s)
				assert.Check(t, err == nil, "%v", err)
				assert.Check(t, body == "body")
			}
		})
	}
	askers.Wait()
	close(done)
	closers.Wait()
}
