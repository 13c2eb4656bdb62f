package tcp

import (
	"net"
	"syscall"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"
)

// failingListener returns the errors in errs one after the other, and a connection for
// nil.
type failingListener struct {
	net.Listener
	errs []error
}

func (l *failingListener) Addr() net.Addr { return &net.TCPAddr{} }

func (l *failingListener) Accept() (net.Conn, error) {
	next := l.errs[0]
	l.errs = l.errs[1:]
	if next == nil {
		return &net.TCPConn{}, nil
	}
	return nil, &net.OpError{Op: "accept", Net: "tcp", Err: next}
}

// Temporary errors are retried. Errors of the listening socket are returned at once, so
// that a stopped server does not retry.
func TestAcceptRetriesTemporaryErrors(t *testing.T) {
	for _, last := range []error{net.ErrClosed, syscall.EBADF, syscall.EINVAL, syscall.ENOTSOCK} {
		synctest.Test(t, func(t *testing.T) {
			inner := &failingListener{errs: []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EHOSTUNREACH, nil, last}}
			l := RetryAccept(inner)
			c, err := l.Accept()
			assert.NilError(t, err)
			assert.Assert(t, c != nil)
			_, err = l.Accept()
			assert.ErrorIs(t, err, last)
		})
	}
}
