// Package tcp sets and reads what the standard library leaves to the socket.
package tcp

import (
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// UserTimeout gives a net.Dialer or net.ListenConfig Control that sets
// TCP_USER_TIMEOUT: how long written data may stay unacknowledged by the peer's
// kernel before the connection is dropped. Without it a peer that vanished
// keeps a writer waiting for the kernel's retransmissions, many minutes (see
// docs/design/silence.md).
func UserTimeout(d time.Duration) func(network, address string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		var opt error
		err := raw.Control(func(fd uintptr) {
			opt = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
		})
		return errors.Join(err, opt)
	}
}

// IsIdle tells whether an idle connection is still open and has nothing to
// read. A peer that closed it, or sent a second answer, makes it unfit for the
// next request. It looks without waiting and without reading.
func IsIdle(c net.Conn) bool {
	_, err := peek(c)
	return errors.Is(err, unix.EAGAIN)
}

// HasUnread tells whether bytes of the peer wait to be read. Unlike a read it looks
// also where the read deadline has passed. A connection without a socket keeps none.
func HasUnread(c net.Conn) bool {
	n, err := peek(c)
	return err == nil && n > 0
}

var errNoSocket = errors.New("not a socket")

// peek looks at what can be read, without waiting and without taking it: 0 without an
// error is the peer's end, unix.EAGAIN nothing yet.
func peek(c net.Conn) (n int, err error) {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return 0, errNoSocket
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0, err
	}
	var looked error
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, looked = unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	if err != nil {
		return 0, err
	}
	return n, looked
}
