package tcp

import (
	"errors"
	"net"
	"syscall"
	"time"

	"k8s.io/klog/v2"
)

// acceptRetryDelay is the delay between two attempts after Accept failed.
const acceptRetryDelay = 20 * time.Millisecond

// RetryAccept returns a listener that retries Accept after errors such as a lack of file
// descriptors or memory. Servers stop at an error of Accept, which would drop callers'
// requests or the links to peers. Accept returns an error only if the listening socket
// itself is closed or unusable.
func RetryAccept(l net.Listener) net.Listener { return retryListener{l} }

type retryListener struct{ net.Listener }

func (l retryListener) Accept() (net.Conn, error) {
	for failed := false; ; failed = true {
		c, err := l.Listener.Accept()
		if err == nil || isFatal(err) {
			return c, err
		}
		if !failed {
			klog.ErrorS(err, "accepting a connection failed; retrying", "listener", l.Addr())
		}
		time.Sleep(acceptRetryDelay)
	}
}

// isFatal reports whether an error of Accept concerns the listening socket itself.
func isFatal(err error) bool {
	for _, fatal := range []error{net.ErrClosed, syscall.EBADF, syscall.EINVAL, syscall.ENOTSOCK} {
		if errors.Is(err, fatal) {
			return true
		}
	}
	return false
}
