package front

import (
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/skylarkwood/skylarkwood/internal/coordination/caller"
	"github.com/skylarkwood/skylarkwood/internal/coordination/intake"
	"github.com/skylarkwood/skylarkwood/internal/model"
	"github.com/skylarkwood/skylarkwood/internal/tcp"
)

const (
	// firstRequestTimeout is how long an admitted connection keeps its place among the requests
	// in progress without sending one.
	firstRequestTimeout = time.Second
	// acceptRetryDelay is the delay after an error of accept that may pass, such as too many
	// open files.
	acceptRetryDelay = 5 * time.Millisecond
)

// timedListener accepts connections that limit their idle time and the time for reading a header.
// It refuses new connections as its gate decides.
type timedListener struct {
	net.Listener
	limits func() model.CallerLimits
	// gate limits new connections. It may be nil.
	gate *intake.Gate[net.Conn]
	// callers are those of the requests in progress. It may be nil.
	callers *caller.Callers

	start    sync.Once
	once     sync.Once
	closeErr error

	mu       sync.Mutex
	changed  *sync.Cond
	admitted []*timedConn // not yet returned by Accept
	err      error        // of accept
}

func newTimedListener(l net.Listener, limits func() model.CallerLimits, gate *intake.Gate[net.Conn]) *timedListener {
	t := &timedListener{Listener: l, limits: limits, gate: gate}
	t.changed = sync.NewCond(&t.mu)
	return t
}

// Close closes the listener once. Both the stop and net/http call it.
func (l *timedListener) Close() error {
	l.once.Do(func() { l.closeErr = l.Listener.Close() })
	return l.closeErr
}

// Accept returns the next connection that is admitted. Others are closed before anything is read
// from them, so that their callers may send any request again.
func (l *timedListener) Accept() (net.Conn, error) {
	if l.gate == nil {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		return newTimedConn(c, l.limits), nil
	}
	l.start.Do(func() { go l.acceptAll() })
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.admitted) == 0 {
		if l.err != nil {
			return nil, l.err
		}
		l.changed.Wait()
	}
	c := l.admitted[0]
	l.admitted = l.admitted[1:]
	return c, nil
}

// acceptAll accepts connections and hands them to the gate until the listener is closed.
func (l *timedListener) acceptAll() {
	for {
		c, err := l.Listener.Accept()
		l.callers.CheckIfLate()
		if err == nil {
			l.apply(l.gate.Arrive(c))
			continue
		}
		if isTemporary(err) {
			klog.ErrorS(err, "accepting a connection failed")
			time.Sleep(acceptRetryDelay)
			continue
		}
		l.apply(l.gate.Close())
		l.mu.Lock()
		l.err = err
		l.mu.Unlock()
		l.changed.Broadcast()
		return
	}
}

func isTemporary(err error) bool {
	var temporary interface{ Temporary() bool }
	return errors.As(err, &temporary) && temporary.Temporary()
}

// apply applies decisions of the gate. An admitted connection whose caller has left is closed, and the
// next waiting connection is admitted in its place.
func (l *timedListener) apply(d intake.Decisions[net.Conn]) {
	for {
		closeUnread(d.Refused)
		present, left := splitLeft(d.Admitted)
		closeUnread(left)
		l.queueForAccept(present)
		if len(left) == 0 {
			return
		}
		d = intake.Decisions[net.Conn]{}
		for range left {
			next := l.gate.End()
			d.Admitted = append(d.Admitted, next.Admitted...)
			d.Refused = append(d.Refused, next.Refused...)
		}
	}
}

func closeUnread(conns []net.Conn) {
	for _, c := range conns {
		if err := c.Close(); err != nil {
			klog.V(1).InfoS("closing a connection that is not admitted failed", "caller", c.RemoteAddr(), "err", err)
		}
	}
}

// splitLeft separates the connections whose callers have left.
func splitLeft(conns []net.Conn) (present, left []net.Conn) {
	for _, c := range conns {
		if tcp.Peer(c).Ended {
			left = append(left, c)
		} else {
			present = append(present, c)
		}
	}
	return present, left
}

// queueForAccept hands connections to Accept.
func (l *timedListener) queueForAccept(conns []net.Conn) {
	if len(conns) == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range conns {
		t := newTimedConn(c, l.limits)
		t.awaitFirstRequest(func() { l.endRequest(t) })
		l.admitted = append(l.admitted, t)
	}
	l.changed.Broadcast()
}

// advance lets the gate decide again. again is that of Gate.Advance.
func (l *timedListener) advance() (again bool) {
	l.callers.CheckIfLate()
	d, again := l.gate.Advance()
	l.apply(d)
	return again
}

// beginRequest records that a request begins on a connection.
func (l *timedListener) beginRequest(c *timedConn) {
	if l.gate != nil && !c.setInProgress(true) {
		l.gate.Begin()
	}
}

// endRequest records that no request is in progress on a connection any more.
func (l *timedListener) endRequest(c *timedConn) {
	if l.gate != nil && c.setInProgress(false) {
		l.apply(l.gate.End())
	}
}

// awaitFirstRequest gives a new connection its place, and calls end once it has kept it without a
// request for firstRequestTimeout.
func (c *timedConn) awaitFirstRequest(end func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inProgress = true
	c.firstRequest = time.AfterFunc(firstRequestTimeout, end)
}

// setInProgress sets whether the connection has a place among the requests in progress, and returns
// whether it had one.
func (c *timedConn) setInProgress(now bool) (before bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.firstRequest != nil {
		c.firstRequest.Stop()
	}
	before, c.inProgress = c.inProgress, now
	return before
}
