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

// piped is a listener of one caller whose connection keeps a test's time.
type piped struct {
	conns chan net.Conn
	done  chan struct{}
}

func (p *piped) Accept() (net.Conn, error) {
	select {
	case c := <-p.conns:
		return c, nil
	case <-p.done:
		return nil, net.ErrClosed
	}
}

func (p *piped) Close() error {
	close(p.done)
	return nil
}

func (p *piped) Addr() net.Addr { return &net.TCPAddr{} }

// A caller stops amid its body, or sends none of one that is too large. It is answered
// with Connection: close and says nothing more. What is left of the body is read
// before the connection is closed, without a bound: the connection, its goroutine and
// its buffers stay for as long as the caller likes, and a planned stop waits for it
// until its time ends.
func TestConnectionOfAStalledBodyEnds(t *testing.T) {
	for name, want := range map[string]struct{ raw, status string }{
		"stops":     {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nxx", "408"},
		"too large": {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 101\r\n\r\n", "413"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				current := &routes.ActiveConfig{}
				current.Apply(config(1, 300*time.Millisecond), nil)
				s := &Server{Config: current}
				near, far := net.Pipe()
				l := &piped{conns: make(chan net.Conn, 1), done: make(chan struct{})}
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
