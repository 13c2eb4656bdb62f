package backend

import (
	"bufio"
	"context"
	"net"
	"time"

	"github.com/skylarkwood/skylarkwood/internal/coordination/caller"
	"github.com/skylarkwood/skylarkwood/internal/response"
	"github.com/skylarkwood/skylarkwood/internal/tcp"
)

// conn is a connection to a backend server.
type conn struct {
	net.Conn
	closed       func()        // called once it is closed; may be nil
	br           *bufio.Reader // reads through reader
	reader       *response.Reader
	idleDeadline time.Time // may be reused before
	reused       bool      // it has served a request
	generation   int       // of its host when it was opened
}

// newConn returns the connection of a host of a generation.
func newConn(nc net.Conn, generation int) *conn {
	reader := response.NewReader(nc)
	return &conn{Conn: nc, reader: reader, br: bufio.NewReaderSize(reader, readBufferSize), generation: generation}
}

// Close implements net.Conn.
func (c *conn) Close() error {
	err := c.Conn.Close()
	if c.closed != nil {
		c.closed()
	}
	return err
}

// closeWith closes a connection as soon as ctx is done. stop prevents that, and returns false if it came too
// late. A server is told at once that the caller has left, as closing waits for whoever reads.
func (c *conn) closeWith(ctx context.Context) (stop func() bool) {
	keepOpen := caller.OnLeft(ctx, func() { tcp.CloseWrite(c.Conn) })
	keep := context.AfterFunc(ctx, func() { c.Close() })
	return func() bool {
		keepOpen()
		return keep()
	}
}
