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

// Quiet tells whether an idle connection is still open and has nothing to
// read. A peer that closed it, or sent a second answer, makes it unfit for the
// next request. It looks without waiting and without reading.
func Quiet(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = errors.Is(err, unix.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// Arrived tells whether bytes of the peer wait to be read. Unlike a read it looks
// also where the read deadline has passed. A connection without a socket keeps none.
func Arrived(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	arrived := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		arrived = err == nil && n > 0
	})
	return err == nil && arrived
}
