package front

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/skylarkwood/skylarkwood/internal/model"
)

type connKey struct{}

// timedListener gives out connections that bound their idle time and the time
// of each head.
type timedListener struct {
	net.Listener
	limits func() model.CallerLimits
}

func (l timedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return c, nil
	}
	return &timedConn{TCPConn: tcp, limits: l.limits}, nil
}

// timedConn bounds how long a caller may be idle and how long a head may take.
// The standard server's own bounds are fixed when it starts, while the
// operator's change.
type timedConn struct {
	*net.TCPConn
	limits func() model.CallerLimits

	mu       sync.Mutex
	timer    *time.Timer
	awaiting bool // no byte of the next head has come
	why      End  // the first reason to end it; empty while there is none
	cause    error
	request  *model.Call // in progress; nil while there is none
}

// Read implements net.Conn. The first byte of a head starts its time.
func (c *timedConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n > 0 {
		c.mu.Lock()
		if c.awaiting {
			c.awaiting = false
			c.arm(c.limits().HeaderTime, c.headTooSlow)
		}
		c.mu.Unlock()
	}
	var timeout net.Error
	if err != nil && !(errors.As(err, &timeout) && timeout.Timeout()) {
		c.endsBy(EndCallerLeft, err)
	}
	return n, err
}

// Write implements net.Conn.
func (c *timedConn) Write(p []byte) (int, error) {
	n, err := c.TCPConn.Write(p)
	if err != nil {
		c.endsBy(EndNotWritable, err)
	}
	return n, err
}

// endsBy notes why the connection ends. What shows later follows from the first
// reason: a read fails because the connection was closed.
func (c *timedConn) endsBy(why End, cause error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.why == "" {
		c.why = why
		c.cause = cause
	}
}

// end gives why the connection ends, and the request that it ends under.
func (c *timedConn) end() (why End, request *model.Call, cause error) {
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

// awaitHead starts the idle time.
func (c *timedConn) awaitHead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.awaiting = true
	c.arm(c.limits().IdleTime+idleMargin, c.restedTooLong)
}

// restedTooLong closes a connection on which no next request came.
func (c *timedConn) restedTooLong() {
	c.endsBy(EndRested, nil)
	c.Close()
}

// stop ends both times: a request is being handled, or the connection is gone.
func (c *timedConn) stop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.awaiting = false
	c.disarm()
}

func (c *timedConn) arm(d time.Duration, f func()) {
	c.disarm()
	c.timer = time.AfterFunc(d, f)
}

func (c *timedConn) disarm() {
	if c.timer != nil {
		c.timer.Stop()
		c.timer = nil
	}
}

// headTooSlow answers a head that does not end; nothing of it was handled.
func (c *timedConn) headTooSlow() {
	c.endsBy(EndHeadTooSlow, nil)
	_ = c.SetWriteDeadline(time.Now().Add(time.Second))
	_, err := io.WriteString(c, "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
	klog.InfoS("head of a request took too long", "caller", c.RemoteAddr(), "err", err)
	c.Close()
}
