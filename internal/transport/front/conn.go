package front

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/skylarkwood/skylarkwood/internal/coordination/keepalive"
	"github.com/skylarkwood/skylarkwood/internal/model"
	"github.com/skylarkwood/skylarkwood/internal/tcp"
)

type connKey struct{}

// timedListener gives out connections that bound their idle time and the time
// of each head.
type timedListener struct {
	net.Listener
	limits func() model.CallerLimits
	once   sync.Once
	err    error
}

// Close closes the listener once: the stop does, and the standard server when it ends.
func (l *timedListener) Close() error {
	l.once.Do(func() { l.err = l.Listener.Close() })
	return l.err
}

func (l *timedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return newTimedConn(c, l.limits), nil
}

// timedConn bounds how long a caller may be idle and how long a head may take.
// The standard server's own bounds are fixed when it starts, while the
// operator's change.
//
// The bounds are deadlines of the read that waits for the caller's bytes, and only
// that read ends the connection. A timer that closes the connection from outside
// can fire when the next request has just been read: it would be passed on, its
// caller would get no answer, and the backend server would drop it for a sender
// that is gone. Here a read gives either bytes, which are then served, or the end.
type timedConn struct {
	net.Conn
	limits func() model.CallerLimits

	mu      sync.Mutex
	life    keepalive.ConnState
	why     EndReason // the first reason to end it; empty while there is none
	cause   error
	request *model.Call // in progress; nil while there is none
}

func newTimedConn(c net.Conn, limits func() model.CallerLimits) *timedConn {
	t := &timedConn{Conn: c, limits: limits}
	t.rest()
	return t
}

// Read implements net.Conn.
func (c *timedConn) Read(p []byte) (int, error) {
	if err := c.bound(); err != nil {
		return 0, err
	}
	for {
		n, err := c.Conn.Read(p)
		if n > 0 {
			c.heard()
			return n, err
		}
		if !isTimeout(err) {
			c.endsBy(EndCallerClosed, err)
			return n, err
		}
		if c.over() {
			return n, err
		}
	}
}

// bound sets the deadline of a read that waits for a request. While a request is in
// progress the deadlines are those of its body.
func (c *timedConn) bound() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.life.Phase() == keepalive.Serving {
		return nil
	}
	return c.SetReadDeadline(c.life.Deadline(c.limits()))
}

// over decides what a read that reached its deadline stands for. Where it is not
// the end the next read has a new deadline: none where bytes have arrived, as it
// need not wait.
func (c *timedConn) over() bool {
	c.mu.Lock()
	phase := c.life.Phase()
	if phase == keepalive.Serving {
		c.mu.Unlock()
		return true
	}
	limits := c.limits()
	arrived := tcp.HasUnread(c.Conn)
	ends := c.life.Expired(time.Now(), limits, arrived)
	if !ends {
		next := c.life.Deadline(limits)
		if arrived {
			next = time.Time{}
		}
		ends = c.SetReadDeadline(next) != nil
	}
	c.mu.Unlock()
	switch {
	case ends && phase == keepalive.ReadingHeader:
		c.headTooSlow()
	case ends:
		c.endsBy(EndIdleTimeout, nil)
	}
	return ends
}

// headTooSlow answers a head that does not end; nothing of it was handled.
func (c *timedConn) headTooSlow() {
	c.endsBy(EndHeaderTimeout, nil)
	_ = c.SetWriteDeadline(time.Now().Add(time.Second))
	_, err := io.WriteString(c.Conn, "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
	klog.InfoS("head of a request took too long", "caller", c.RemoteAddr(), "err", err)
}

func (c *timedConn) heard() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.life.BytesRead(time.Now())
}

// rest begins to wait for a request.
func (c *timedConn) rest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.life.StartIdle(time.Now())
}

// take begins a request: a read that watches for the caller's leaving has no bound.
func (c *timedConn) take() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.life.StartRequest()
	_ = c.SetReadDeadline(time.Time{}) // fails on a closed connection, which the next read tells
}

// retire ends the connection when it rests. The read that waits is woken, and
// ends it only if nothing has arrived.
func (c *timedConn) retire() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.life.CloseWhenIdle()
	if c.life.Phase() == keepalive.Idle {
		_ = c.SetReadDeadline(c.life.Deadline(c.limits())) // as above
	}
}

// Write implements net.Conn.
func (c *timedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if err != nil {
		c.endsBy(EndWriteFailed, err)
	}
	return n, err
}

// CloseWrite ends the sending side, for an answer to a caller that still sends: closed
// as a whole, the connection would be reset, and the answer lost with it.
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

// endsBy notes why the connection ends. What shows later follows from the first
// reason: a read fails because the connection was closed.
func (c *timedConn) endsBy(why EndReason, cause error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.why == "" {
		c.why = why
		c.cause = cause
	}
}

// end gives why the connection ends, and the request that it ends under.
func (c *timedConn) end() (why EndReason, request *model.Call, cause error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.why, c.request, c.cause
}

// serving notes the request in progress; nil when it has been answered.
func (c *timedConn) serving(request *model.Call) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.request = request
}

// attempt names the request in progress; empty while there is none.
func (c *timedConn) attempt() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.request == nil {
		return ""
	}
	return c.request.Attempt
}
