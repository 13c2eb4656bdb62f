// Package tcp sets and reads socket state that package net does not expose.
package tcp

import (
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// UserTimeout returns a Control function for a net.Dialer or net.ListenConfig that sets
// TCP_USER_TIMEOUT: how long written data may stay unacknowledged by the peer's kernel
// before the connection is closed. Otherwise a writer to a vanished peer waits many
// minutes for the kernel's retransmissions (see docs/design/silence.md).
func UserTimeout(d time.Duration) func(network, address string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		var opt error
		err := raw.Control(func(fd uintptr) {
			opt = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
		})
		return errors.Join(err, opt)
	}
}

// LimitReceiveBuffer returns a Control function for a net.Dialer or net.ListenConfig that calls next
// and limits what the kernel keeps of a connection without it being read, in bytes. Where that is not
// possible, the kernel's own limit applies.
func LimitReceiveBuffer(size int, next func(network, address string, raw syscall.RawConn) error) func(network, address string, raw syscall.RawConn) error {
	return func(network, address string, raw syscall.RawConn) error {
		err := raw.Control(func(fd uintptr) {
			_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, size)
		})
		return errors.Join(err, next(network, address, raw))
	}
}

// IsIdle reports whether a connection is open and has no unread bytes. A connection that
// the peer closed or sent an unexpected response on must not be reused. IsIdle neither
// blocks nor consumes bytes.
func IsIdle(c net.Conn) bool {
	_, err := peek(c)
	return errors.Is(err, unix.EAGAIN)
}

// HasUnread reports whether bytes of the peer are waiting to be read, also after the read
// deadline has passed. It returns false if the connection is not a socket.
func HasUnread(c net.Conn) bool {
	n, err := peek(c)
	return err == nil && n > 0
}

// Unread returns the number of bytes of the peer that are waiting to be read; 0 if that is unknown.
func Unread(c net.Conn) int {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0
	}
	n := 0
	_ = raw.Control(func(fd uintptr) { // fails if the connection is closed
		if unread, err := unix.IoctlGetInt(int(fd), unix.TIOCINQ); err == nil {
			n = unread
		}
	})
	return n
}

var errNoSocket = errors.New("not a socket")

// peek reports whether bytes can be read, without blocking or consuming them. 0 without an
// error means that the peer closed the connection. The error is unix.EAGAIN if nothing has
// arrived.
func peek(c net.Conn) (n int, err error) {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return 0, errNoSocket
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0, err
	}
	var recvErr error
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, recvErr = unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	if err != nil {
		return 0, err
	}
	return n, recvErr
}

// CloseWrite ends the sending side of a connection without waiting for reads in progress.
func CloseWrite(c net.Conn) {
	if half, ok := c.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite() // fails if the connection has ended
	}
}
