package link

import (
	"context"
	"net"
	"runtime"
	"syscall"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"

	"github.com/skylarkwood/skylarkwood/internal/protocol/wire"
)

// scriptedListener is a listener whose Accept returns what a test sends to accepts.
type scriptedListener struct {
	accepts chan any // net.Conn or error
	closed  chan struct{}
}

func newScriptedListener() *scriptedListener {
	return &scriptedListener{accepts: make(chan any, 8), closed: make(chan struct{})}
}

func (l *scriptedListener) Accept() (net.Conn, error) {
	select {
	case next := <-l.accepts:
		if err, ok := next.(error); ok {
			return nil, &net.OpError{Op: "accept", Net: "tcp", Err: err}
		}
		return next.(net.Conn), nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *scriptedListener) Close() error {
	close(l.closed)
	return nil
}

func (l *scriptedListener) Addr() net.Addr { return &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 7} }

// client returns a pool whose connection to "peer" is one end of a pipe.
func client(t *testing.T, c net.Conn) *Pool {
	p := NewPool(newMetadata("127.0.0.1:1"))
	pr, _ := p.peers.GetOrPut("peer", func() *peer { return &peer{addr: "peer"} })
	f := newFrames(c, func([]byte) {})
	pr.conn = newClientConn(t.Context(), p.metadata, f)
	t.Cleanup(p.Close)
	return p
}

// Accept fails for lack of file descriptors or memory. Guards against a server that stops
// accepting connections.
func TestServeContinuesAfterTemporaryAcceptErrors(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newScriptedListener()
		srv := NewServer(newMetadata("127.0.0.1:7"))
		srv.Register("echo", Handle(func(_ context.Context, _ string, e echo) (echo, error) { return e, nil }))
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() { done <- srv.Serve(ctx, l) }()
		for _, err := range []error{syscall.EMFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EPROTO} {
			l.accepts <- err
		}
		here, there := net.Pipe()
		l.accepts <- there
		called := make(chan error, 1)
		go func() {
			var got echo
			called <- client(t, here).Call(t.Context(), "peer", wire.Method("echo"), echo{"served"}, &got)
		}()
		select {
		case err := <-done:
			here.Close()
			t.Fatalf("server stopped: %v", err)
		case err := <-called:
			assert.NilError(t, err)
		}
		cancel()
		assert.NilError(t, <-done)
	})
}

// Guards against a memory leak: state of a closed connection must not be kept until the
// server stops.
func TestClosedConnectionsAreReleased(t *testing.T) {
	l := newScriptedListener()
	srv := NewServer(newMetadata("127.0.0.1:7"))
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- srv.Serve(ctx, l) }()
	defer func() {
		cancel()
		assert.NilError(t, <-done)
	}()
	released := make(chan struct{})
	here, there := net.Pipe()
	watched := &watchedConn{there}
	runtime.AddCleanup(watched, func(int) { close(released) }, 0)
	l.accepts <- watched
	watched = nil
	assert.NilError(t, here.Close())
	for range collections {
		runtime.GC()
		runtime.Gosched()
		select {
		case <-released:
			return
		default:
		}
	}
	t.Fatal("a closed connection is still referenced")
}

// collections is the number of garbage collections before an object counts as leaked.
// Closing and cleanup run concurrently.
const collections = 300

type watchedConn struct{ net.Conn }
