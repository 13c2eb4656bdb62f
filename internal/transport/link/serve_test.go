package link

import (
	"context"
	"net"
	"runtime"
	"syscall"
	"testing"
	"testing/synctest"

	"github.com/sourcegraph/jsonrpc2"
	"gotest.tools/v3/assert"

	"github.com/skylarkwood/skylarkwood/internal/protocol/wire"
)

// scripted is a listener that gives out what a test puts in.
type scripted struct {
	accepts chan any // net.Conn or error
	closed  chan struct{}
}

func newScripted() *scripted {
	return &scripted{accepts: make(chan any, 8), closed: make(chan struct{})}
}

func (l *scripted) Accept() (net.Conn, error) {
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

func (l *scripted) Close() error {
	close(l.closed)
	return nil
}

func (l *scripted) Addr() net.Addr { return &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 7} }

// client calls over one end of a pipe.
func client(t *testing.T, c net.Conn) *Pool {
	p := NewPool(newStamp("127.0.0.1:1"))
	pr, _ := p.peers.GetOrPut("peer", func() *peer { return &peer{addr: "peer"} })
	f := newFrames(c, func([]byte) {})
	pr.conn = &outgoing{Conn: jsonrpc2.NewConn(t.Context(), f, NewServer(p.stamp)), frames: f}
	t.Cleanup(p.Close)
	return p
}

// The process has no descriptor left, or the kernel no memory, when a peer
// connects. The peer is kept waiting, and it and all others are served again once
// there is some: a server that took one failed accept for its end would be cut off
// from its peers for good, and would not notice.
func TestAcceptFailsForAWhile(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newScripted()
		srv := NewServer(newStamp("127.0.0.1:7"))
		srv.Register("echo", Handle(func(_ context.Context, _ string, e echo) (echo, error) { return e, nil }))
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() { done <- srv.Serve(ctx, l) }()
		for _, err := range []error{syscall.EMFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EPROTO} {
			l.accepts <- err
		}
		here, there := net.Pipe()
		l.accepts <- there
		answered := make(chan error, 1)
		go func() {
			var got echo
			answered <- client(t, here).Call(t.Context(), "peer", wire.Method("echo"), echo{"served"}, &got)
		}()
		select {
		case err := <-done:
			here.Close()
			t.Fatalf("no peer is served any more: %v", err)
		case err := <-answered:
			assert.NilError(t, err)
		}
		cancel()
		assert.NilError(t, <-done)
	})
}

// Peers connect again whenever a connection fell silent, for as long as a process
// runs. What was kept for a connection is given up when it ends, and not at the
// process's end: else its memory grows until it is killed, with every request.
func TestEndedConnectionsAreForgotten(t *testing.T) {
	l := newScripted()
	srv := NewServer(newStamp("127.0.0.1:7"))
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- srv.Serve(ctx, l) }()
	defer func() {
		cancel()
		assert.NilError(t, <-done)
	}()
	forgotten := make(chan struct{})
	here, there := net.Pipe()
	watched := &watchedConn{there}
	runtime.AddCleanup(watched, func(int) { close(forgotten) }, 0)
	l.accepts <- watched
	watched = nil
	assert.NilError(t, here.Close())
	for range collections {
		runtime.GC()
		runtime.Gosched()
		select {
		case <-forgotten:
			return
		default:
		}
	}
	t.Fatal("an ended connection is kept")
}

// collections is how many times the memory is looked through before something
// counts as kept; the connection's end and the clean-up run beside them.
const collections = 300

type watchedConn struct{ net.Conn }
