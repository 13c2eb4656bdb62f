// Package guard accepts the connections of clients within the budget of the process. It takes what a
// connection's header takes once decoded from its account, and ends connections whose account yields.
package guard

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
	"k8s.io/klog/v2"

	"github.com/skylarkwood/skylarkwood/internal/coordination/clientbudget"
)

// Sizes of the kernel's buffers of an accepted connection, in bytes. The kernel would otherwise keep
// megabytes of a client that sends without being read, or does not read. Linux keeps up to one and a
// half times receiveBuffer.
const (
	receiveBuffer = 16 << 10
	sendBuffer    = 64 << 10
	// bodyBuffer is receiveBuffer while a body of at least minBodyForBuffer bytes is read, whose
	// client would otherwise send less in each round trip.
	bodyBuffer       = 64 << 10
	minBodyForBuffer = 256 << 10
)

// Options say how connections are accepted.
type Options struct {
	Budget   *clientbudget.Budget
	Listener clientbudget.Listener
	// KnownPeer reports whether a host is that of another process of the system. It may be nil.
	KnownPeer func(host string) bool
	// WriteTimeout is how long a client may take to read a part of what is written. 0 means that the
	// user of the connection sets its deadlines.
	WriteTimeout time.Duration
	// NotHTTP means that the user of a connection takes what it reads from the account itself.
	NotHTTP bool
}

// Listen listens on an address. The returned listener must be closed.
func Listen(addr string) (net.Listener, error) {
	c := net.ListenConfig{Control: limitBuffers}
	l, err := c.Listen(context.Background(), "tcp", addr)
	return l, errors.Wrap(err, "listen")
}

// limitBuffers limits the buffers of the connections that a socket accepts. Where that is not
// possible, the kernel's own limits apply.
func limitBuffers(_, addr string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) {
		for option, size := range map[int]int{unix.SO_RCVBUF: receiveBuffer, unix.SO_SNDBUF: sendBuffer} {
			if err := unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, option, size); err != nil {
				klog.V(1).InfoS("limiting the socket buffers failed", "listener", addr, "err", err)
			}
		}
	})
}

type listener struct {
	net.Listener
	options Options
}

// Wrap returns a listener whose connections are *Conn. Those for which there is no room are closed
// unread.
func Wrap(l net.Listener, o Options) net.Listener { return &listener{l, o} }

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if admitted := l.open(c); admitted != nil {
			return admitted, nil
		}
		if err := c.Close(); err != nil {
			klog.V(1).InfoS("closing a connection without room failed", "client", c.RemoteAddr(), "err", err)
		}
	}
}

// open returns the connection with its account, or nil if there is no room for it.
func (l *listener) open(nc net.Conn) net.Conn {
	client := nc.RemoteAddr().String()
	host, _, _ := net.SplitHostPort(client) // empty for what is no TCP connection
	known := l.options.KnownPeer != nil && l.options.KnownPeer(host)
	c := &Conn{Conn: nc, writeTimeout: l.options.WriteTimeout}
	c.account = l.options.Budget.Open(l.options.Listener, client, known, c.wake, c.endHidden)
	if c.account == nil {
		return nil
	}
	if !l.options.NotHTTP {
		c.header.begin()
	}
	return c
}
