package guard

import (
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/skylarkwood/skylarkwood/internal/coordination/clientbudget"
	"github.com/skylarkwood/skylarkwood/internal/tcp"
)

// writePiece is the size in bytes of the parts in which a response is written. Each that the client
// has taken is progress.
const writePiece = 64 << 10

// ErrNoRoom means that there is no room for the header of a request.
var ErrNoRoom = errors.New("no room for the request's header")

// Conn is a connection with an account. Its reads and writes fail once the account has yielded.
type Conn struct {
	net.Conn
	account      *clientbudget.Account
	writeTimeout time.Duration
	// ended is set once a read has failed for want of room. net/http would take a part of a header line
	// for a malformed one and respond to it.
	ended        atomic.Bool
	lastResponse atomic.Bool

	// mu guards the following fields: net/http reads on while a request is handled.
	mu      sync.Mutex
	header  headerMeter
	reading bool  // a part of the next header was read
	charged int64 // for the header of the request
}

// wake makes reads and writes return.
func (c *Conn) wake() {
	_ = c.SetDeadline(time.Unix(1, 0)) // fails if the connection is closed, as they do
}

// endHidden reports whether so many bytes are unread that the client's end could not arrive behind them.
func (c *Conn) endHidden() bool { return tcp.Unread(c.Conn) >= receiveBuffer/2 }

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	if c.account.Yielded() {
		return 0, c.failed(clientbudget.ErrYielded)
	}
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.account.Moved(n)
	}
	hasRoom := n == 0 || c.meter(p[:n])
	switch {
	case c.account.Yielded():
		return 0, c.failed(clientbudget.ErrYielded)
	case !hasRoom:
		return 0, c.failed(ErrNoRoom)
	}
	return n, err
}

// meter takes from the account what bytes that were read take as a part of a header. It reports false if
// there is no room for them.
func (c *Conn) meter(p []byte) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.header.active && !c.reading {
		c.reading = true
		c.account.Enter(clientbudget.Reading) // fails if it has yielded
	}
	cost := c.header.read(p)
	return cost == 0 || c.charge(cost)
}

// failed returns an error that net/http takes for one of the network: it closes the connection and
// writes no response of its own.
func (c *Conn) failed(why error) error {
	c.ended.Store(true)
	return &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: why}
}

// charge takes bytes for a header. The caller must hold c.mu.
func (c *Conn) charge(cost int64) bool {
	if !c.account.Take(cost) {
		return false
	}
	c.charged += cost
	return true
}

// HeaderStarted reports whether a part of a request's header was read.
func (c *Conn) HeaderStarted() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reading
}

// HeaderRead ends the header of a request and corrects what was taken for it. It reports false if
// there is no room for it.
func (c *Conn) HeaderRead(r *http.Request) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.header.end(r.ContentLength)
	cost := HeaderCost(r)
	if cost > c.charged {
		return c.charge(cost - c.charged)
	}
	c.account.Give(c.charged - cost)
	c.charged = cost
	return true
}

// StartIdle records that the connection waits for a request. Bytes of it may have been read already.
func (c *Conn) StartIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.account.Enter(clientbudget.Idle) // if it has yielded, the next read fails
	c.charged = 0
	c.reading = false
	cost := c.header.buffered()
	c.header.begin()
	if cost > 0 && !c.charge(cost) {
		c.wake()
	}
}

// AllowLastResponse lets writes succeed although there is no room for the connection, for the response
// that says so, and lets Close wait until the client has it. Its writer must set a deadline.
func (c *Conn) AllowLastResponse() { c.lastResponse.Store(true) }

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (written int, err error) {
	for len(p) > 0 {
		if (c.ended.Load() || c.account.Yielded()) && !c.lastResponse.Load() {
			return written, clientbudget.ErrYielded
		}
		if c.writeTimeout > 0 {
			if err := c.SetWriteDeadline(time.Now().Add(c.writeTimeout)); err != nil {
				return written, err
			}
		}
		c.account.BeginWrite()
		n, err := c.Conn.Write(p[:min(len(p), writePiece)])
		c.account.EndWrite()
		written += n
		if err != nil {
			c.ended.Store(true) // a part of a message may have been written
			return written, err
		}
		p = p[n:]
	}
	return written, nil
}

// Limits of linger.
const (
	lingerTime  = 500 * time.Millisecond
	lingerBytes = 256 << 10
)

// linger ends the sending side after the last response and discards what the client still sends, for a
// short time. If the connection were closed with unread bytes, it would be reset, and the client might
// lose the response.
func (c *Conn) linger() {
	if c.CloseWrite() != nil || c.SetReadDeadline(time.Now().Add(lingerTime)) != nil {
		return
	}
	// Reads below the account, which may have yielded. Fails once the client has closed or the time is over.
	_, _ = io.CopyN(io.Discard, c.Conn, lingerBytes)
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	if c.lastResponse.Swap(false) {
		c.linger()
	}
	err := c.Conn.Close()
	c.account.Close()
	return err
}

// CloseWrite closes the sending side.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// SyscallConn implements syscall.Conn.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	if raw, ok := c.Conn.(syscall.Conn); ok {
		return raw.SyscallConn()
	}
	return nil, errors.New("connection has no descriptor")
}
