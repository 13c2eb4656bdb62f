package front

import (
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/skylarkwood/skylarkwood/internal/coordination/routes"
)

// pipeListener is a listener with one connection, in the virtual time of a test.
type pipeListener struct {
	conns chan net.Conn
	done  chan struct{}
}

func (p *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-p.conns:
		return c, nil
	case <-p.done:
		return nil, net.ErrClosed
	}
}

func (p *pipeListener) Close() error {
	close(p.done)
	return nil
}

func (p *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// A caller stops in the middle of its body, or does not send a body that is too large.
// Guards against waiting for the rest of the body without a limit.
func TestConnectionWithAStalledBodyIsClosed(t *testing.T) {
	for name, want := range map[string]struct{ raw, status string }{
		"stops":     {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nxx", "408"},
		"too large": {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 101\r\n\r\n", "413"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				current := &routes.ActiveConfig{}
				current.Apply(config(1, 300*time.Millisecond), nil, "")
				s := &Server{Config: current}
				near, far := net.Pipe()
				l := &pipeListener{conns: make(chan net.Conn, 1), done: make(chan struct{})}
				l.conns <- far
				go func() { assert.Check(t, s.Serve(l) == nil) }()
				_, err := io.WriteString(near, want.raw)
				assert.NilError(t, err)
				assert.NilError(t, near.SetReadDeadline(time.Now().Add(time.Minute)))
				got, err := io.ReadAll(near)
				assert.Check(t, strings.HasPrefix(string(got), "HTTP/1.1 "+want.status), "%q", got)
				assert.Check(t, err == nil, "%v", err)
				near.Close()
				assert.NilError(t, s.Shutdown(context.Background()))
			})
		})
	}
}
