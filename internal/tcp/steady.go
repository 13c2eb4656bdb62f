package tcp

import (
	"errors"
	"net"
	"syscall"
	"time"

	"k8s.io/klog/v2"
)

// acceptPause is between two tries after an accept that failed: short for a caller
// that waits in the kernel's queue, and 50 tries a second cost next to nothing.
const acceptPause = 20 * time.Millisecond

// RetryAccept gives a listener that outlasts accepts which fail for want of descriptors
// or memory, or by the fault of one connection. Servers take an error of Accept for
// the listener's end; a router's callers then lose their requests in progress, or
// its peers their links for good. Only an error that says that the socket itself is
// gone is passed on, which no later try would mend.
func RetryAccept(l net.Listener) net.Listener { return steady{l} }

type steady struct{ net.Listener }

func (l steady) Accept() (net.Conn, error) {
	for failed := false; ; failed = true {
		c, err := l.Listener.Accept()
		if err == nil || isGone(err) {
			return c, err
		}
		if !failed {
			klog.ErrorS(err, "connection not accepted; trying again", "listener", l.Addr())
		}
		time.Sleep(acceptPause)
	}
}

// isGone tells whether an error of Accept is about the listener's own socket.
func isGone(err error) bool {
	for _, gone := range []error{net.ErrClosed, syscall.EBADF, syscall.EINVAL, syscall.ENOTSOCK} {
		if errors.Is(err, gone) {
			return true
		}
	}
	return false
}
