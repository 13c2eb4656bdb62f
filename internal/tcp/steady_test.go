package tcp

import (
	"net"
	"syscall"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"
)

// failing is a listener whose accepts fail one after the other.
type failing struct {
	net.Listener
	errs []error
}

func (l *failing) Addr() net.Addr { return &net.TCPAddr{} }

func (l *failing) Accept() (net.Conn, error) {
	next := l.errs[0]
	l.errs = l.errs[1:]
	if next == nil {
		return &net.TCPConn{}, nil
	}
	return nil, &net.OpError{Op: "accept", Net: "tcp", Err: next}
}

// Accepts fail while descriptors and memory lack and for connections that broke
// meanwhile. The next connection is given out; the listener's own end is told at
// once, so that a server which is stopped does not try on.
func TestSteadyAccept(t *testing.T) {
	for _, last := range []error{net.ErrClosed, syscall.EBADF, syscall.EINVAL, syscall.ENOTSOCK} {
		synctest.Test(t, func(t *testing.T) {
			inner := &failing{errs: []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EHOSTUNREACH, nil, last}}
			l := RetryAccept(inner)
			c, err := l.Accept()
			assert.NilError(t, err)
			assert.Assert(t, c != nil)
			_, err = l.Accept()
			assert.ErrorIs(t, err, last)
		})
	}
}
