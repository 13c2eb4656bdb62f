package front

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/skylarkwood/skylarkwood/internal/coordination/caller"
	"github.com/skylarkwood/skylarkwood/internal/coordination/keepalive"
	"github.com/skylarkwood/skylarkwood/internal/model"
	"github.com/skylarkwood/skylarkwood/internal/tcp"
	"github.com/skylarkwood/skylarkwood/internal/transport/guard"
)

type connKey struct{}

// timedConn limits how long a connection may be idle and how long reading a header may
// take. The timeouts of net/http cannot change after the start, but the operator's can.
//
// The limits are deadlines of the read that waits for bytes, and only that read closes the
// connection. A timer could close it right after the next request was read. That request
// would be forwarded, its caller would get no response, and the backend server would drop
// the request because its sender has disconnected.
type timedConn struct {
	net.Conn
	// guarded is the connection with its account; nil if it has none.
	guarded *guard.Conn
	// unread is set once nothing more is read from the connection.
	unread atomic.Bool
	// rejected is set once a response to a part of a header was written. net/http would take the part for
	// a malformed header and write another one.
	rejected atomic.Bool
	limits   func() model.CallerLimits
	// firstRequest ends the place of a connection without a request. It may be nil.
	firstRequest *time.Timer

	mu sync.Mutex
	// inProgress is set while the connection has a place among the requests in progress.
	inProgress bool
	state      keepalive.ConnState
	reason     EndReason // first reason for its end; empty if there is none
	cause      error
	request    *model.Call // in progress; nil if there is none
	firstRead  time.Time   // of the request in progress
	// caller is that of the request that is handled; nil if there is none.
	caller *caller.Caller
	// reading is set while a read waits for bytes or for the end of the connection.
	reading bool
}

func newTimedConn(c net.Conn, limits func() model.CallerLimits) *timedConn {
	t := &timedConn{Conn: c, limits: limits}
	t.guarded, _ = c.(*guard.Conn)
	t.startIdle()
	return t
}

// Read implements net.Conn.
func (c *timedConn) Read(p []byte) (int, error) {
	if c.unread.Load() {
		return 0, io.EOF
	}
	if err := c.beginRead(); err != nil {
		return 0, err
	}
	defer c.endRead()
	for {
		n, err := c.Conn.Read(p)
		if n > 0 {
			c.bytesRead()
			return n, err
		}
		if hasNoRoom(err) {
			c.endWithoutRoom(err)
			return n, err
		}
		if !isTimeout(err) {
			c.setEndReason(EndCallerClosed, err)
			return n, err
		}
		if c.handleDeadline() {
			return n, err
		}
	}
}

// beginRead sets the deadline of a read that waits for a request. While a request is
// in progress, the deadlines are those of its body.
func (c *timedConn) beginRead() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state.Phase() != keepalive.Serving {
		if err := c.SetReadDeadline(c.state.Deadline(c.limits())); err != nil {
			return err
		}
	}
	c.reading = true
	return nil
}

// endRead records the end of a read. If it was the one that waits for the end of the connection of a
// request in progress, unread bytes may hide that end now.
func (c *timedConn) endRead() {
	c.mu.Lock()
	c.reading = false
	current := c.caller
	c.mu.Unlock()
	if current != nil {
		current.Watch()
	}
}

// hasNoPendingRead reports whether no read waits, so that the end of the connection would not be read.
func (c *timedConn) hasNoPendingRead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.reading
}

// setCaller sets the caller of the request that is handled; nil once it was handled.
func (c *timedConn) setCaller(current *caller.Caller) {
	c.mu.Lock()
	c.caller = current
	c.mu.Unlock()
	if current != nil {
		current.Watch()
	}
}

// handleDeadline handles a read that reached its deadline and reports whether the
// connection ends. Otherwise it sets a new deadline for the next read. There is none if
// bytes have arrived, as that read does not block.
func (c *timedConn) handleDeadline() bool {
	c.mu.Lock()
	phase := c.state.Phase()
	if phase == keepalive.Serving {
		c.mu.Unlock()
		return true
	}
	limits := c.limits()
	arrived := tcp.HasUnread(c.Conn)
	ends := c.state.Expired(time.Now(), limits, arrived)
	if !ends {
		next := c.state.Deadline(limits)
		if arrived {
			next = time.Time{}
		}
		ends = c.SetReadDeadline(next) != nil
	}
	c.mu.Unlock()
	switch {
	case ends && phase == keepalive.ReadingHeader:
		c.rejectSlowHeader()
	case ends:
		c.setEndReason(EndIdleTimeout, nil)
	}
	return ends
}

// rejectSlowHeader responds to a header that did not arrive in time. Nothing of the
// request was handled.
func (c *timedConn) rejectSlowHeader() {
	c.setEndReason(EndHeaderTimeout, nil)
	_ = c.SetWriteDeadline(time.Now().Add(time.Second))
	_, err := io.WriteString(c.Conn, "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
	c.rejected.Store(true)
	klog.InfoS("request header not received in time", "caller", c.RemoteAddr(), "err", err)
}

// peerState returns the state of the caller's end of the connection.
func (c *timedConn) peerState() tcp.PeerState { return tcp.Peer(c.Conn) }

// requestReceived returns when the request in progress arrived: when it was first read from, or when its
// last data reached the kernel, if that was earlier.
func (c *timedConn) requestReceived() time.Time {
	arrived := time.Now().Add(-c.peerState().SinceData)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.firstRead.Before(arrived) {
		return c.firstRead
	}
	return arrived
}

func (c *timedConn) bytesRead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state.BytesRead(time.Now())
}

// startIdle records that the connection waits for a request.
func (c *timedConn) startIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state.StartIdle(time.Now())
}

// startRequest records that a request begins. The read that detects a disconnect of the
// caller has no deadline.
func (c *timedConn) startRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.firstRead = c.state.StartRequest()
	_ = c.SetReadDeadline(time.Time{}) // fails if the connection is closed, as the next read does
}

// closeWhenIdle closes the connection once it is idle. A pending read is woken and closes
// it only if no bytes have arrived.
func (c *timedConn) closeWhenIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state.CloseWhenIdle()
	if c.state.Phase() == keepalive.Idle {
		_ = c.SetReadDeadline(c.state.Deadline(c.limits())) // fails if the connection is closed
	}
}

// Write implements net.Conn.
func (c *timedConn) Write(p []byte) (int, error) {
	if c.rejected.Load() {
		return 0, net.ErrClosed
	}
	n, err := c.Conn.Write(p)
	if err != nil {
		c.setEndReason(EndWriteFailed, err)
	}
	return n, err
}

// CloseWrite closes the sending side after a response to a caller that is still sending.
// Closing both sides would reset the connection, and the response would be lost.
func (c *timedConn) CloseWrite() error {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return nil
	}
	return half.CloseWrite()
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// setEndReason records why the connection ends. Only the first reason counts, because
// later ones follow from it.
func (c *timedConn) setEndReason(reason EndReason, cause error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.reason == "" {
		c.reason = reason
		c.cause = cause
	}
}

// endState returns why the connection ends, the request in progress, and the error that
// caused the end.
func (c *timedConn) endState() (reason EndReason, request *model.Call, cause error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reason, c.request, c.cause
}

// setRequest sets the request in progress. It is nil once the response is complete.
func (c *timedConn) setRequest(request *model.Call) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.request = request
}

// attemptID returns the ID of the request in progress, or an empty string if there is
// none.
func (c *timedConn) attemptID() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.request == nil {
		return ""
	}
	return c.request.Attempt
}
