// Package tcptest ends connections in tests.
package tcptest

import "net"

// Ends are the ways in which a peer may end a connection, by name.
var Ends = map[string]func(*net.TCPConn) error{
	"closed":      (*net.TCPConn).Close,
	"half-closed": (*net.TCPConn).CloseWrite,
	"reset":       reset,
}

func reset(c *net.TCPConn) error {
	if err := c.SetLinger(0); err != nil {
		return err
	}
	return c.Close()
}
