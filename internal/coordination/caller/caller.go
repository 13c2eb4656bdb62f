// Package caller tells whether the caller of a request still waits for its response, and since when
// it has waited.
//
// A context alone learns of a departure only after another goroutine has read the end of the
// connection. A request may be handled before that, above all in a process that lacks processor time,
// and unread bytes hide the end from a read.
package caller

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/skylarkwood/skylarkwood/internal/tcp"
)

// ErrLeft is the cause with which the context of a request is cancelled whose caller has left.
var ErrLeft = errors.New("caller left")

// Point is the step of a request at which the router found that its caller has left.
type Point string

// Read is the read with which the server of net/http waits for the end of the connection while a
// request is handled. The others are checks: before the request is handled, after it has waited for
// something, before its first byte is sent, and two that do not depend on its progress (Watch,
// Callers.CheckIfLate).
const (
	Read     Point = "read of the connection"
	Handling Point = "check before handling"
	Waiting  Point = "check after a wait"
	Sending  Point = "check before a send"
	Periodic Point = "periodic check"
	All      Point = "check of all callers"
)

// Options describe a caller.
type Options struct {
	// Request is the request's id, for the log.
	Request string
	// Received is when the request arrived.
	Received time.Time
	// Peer asks for the state of the caller's connection. It may be nil.
	Peer func() tcp.PeerState
	// NoPendingRead reports whether no read waits on the connection, so that its end would not be read.
	// Without it, Watch does nothing.
	NoPendingRead func() bool
	// Callers are the other callers of this process. It may be nil.
	Callers *Callers
	// Observe is called once when it is found that the caller has left. It may be nil.
	Observe func(Point)
}

// Caller is the caller of one request. It is safe for concurrent use.
type Caller struct {
	Options
	cancel context.CancelCauseFunc
	unhook func() bool

	mu       sync.Mutex
	left     bool
	closed   bool
	watch    *time.Timer // of the periodic check; nil if there is none
	lastSend time.Time   // first byte of the last send
	sends    int
	// hooks are called once the caller has left.
	hooks    map[int]func()
	lastHook int
}

type key struct{}

// New returns the caller of a request whose connection ends with ctx, and the context of the request,
// which is cancelled once the caller has left. The caller must be closed.
func New(ctx context.Context, o Options) (*Caller, context.Context) {
	c := &Caller{Options: o}
	connection := ctx
	ctx, c.cancel = context.WithCancelCause(connection)
	c.unhook = context.AfterFunc(connection, func() { c.setLeft(Read, tcp.PeerState{}) })
	o.Callers.add(c)
	return c, context.WithValue(ctx, key{}, c)
}

// Close ends the observation of the caller, after its response.
func (c *Caller) Close() {
	c.unhook()
	c.Callers.remove(c)
	c.cancel(nil)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	if c.watch != nil {
		c.watch.Stop()
	}
}

// checkInterval is the interval of checks that do not depend on the progress of a request. Servers must
// be told of a departure within half a second.
const checkInterval = 100 * time.Millisecond

// Watch checks periodically whether the caller has left, until a read waits on its connection. It must
// be called at the start of the request and each time a read of the connection has returned.
func (c *Caller) Watch() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.NoPendingRead != nil && c.watch == nil && !c.closed && !c.left {
		c.watch = time.AfterFunc(checkInterval, c.checkPeriodically)
	}
}

func (c *Caller) checkPeriodically() {
	if !c.continueWatch() || c.check(Periodic) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closed && !c.left {
		c.watch.Reset(checkInterval)
	}
}

// continueWatch reports whether there is still no pending read. If there is one, the next call of Watch
// starts the periodic check again.
func (c *Caller) continueWatch() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.left {
		return false
	}
	if !c.NoPendingRead() {
		c.watch = nil
		return false
	}
	return true
}

// Left reports whether it was found that the caller has left.
func (c *Caller) Left() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.left
}

// Check returns nil if the caller of a request waits for its response, as far as is known, and
// otherwise why it does not; ctx is done then. It must be called after each wait, before anything is
// taken for the request, and right before it is sent.
func Check(ctx context.Context, p Point) error {
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	c, _ := ctx.Value(key{}).(*Caller)
	if c != nil {
		c.Callers.CheckIfLate()
		if c.check(p) {
			return ErrLeft
		}
	}
	if deadline, ok := ctx.Deadline(); ok && !time.Now().Before(deadline) {
		<-ctx.Done() // its timer is due
		return context.Cause(ctx)
	}
	if c != nil && p == Sending {
		c.recordSend()
	}
	return nil
}

// check asks for the state of the connection and reports whether the caller has left.
func (c *Caller) check(p Point) bool {
	if c.Peer == nil {
		return false
	}
	state := c.Peer()
	if state.Ended {
		c.setLeft(p, state)
	}
	return state.Ended
}

// OnLeft calls f as soon as it is found that the caller of a request has left, by whoever finds it, so f
// must not block. A function that waits for the context runs later, as its goroutine must get the
// processor first; it is still needed for the other ends of a request. remove prevents the call.
func OnLeft(ctx context.Context, f func()) (remove func()) {
	c, _ := ctx.Value(key{}).(*Caller)
	if c == nil {
		return func() {}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.hooks == nil {
		c.hooks = map[int]func(){}
	}
	c.lastHook++
	id := c.lastHook
	c.hooks[id] = f
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.hooks, id)
	}
}

// waitsForServer reports whether the request was sent and the caller is not known to have left.
func (c *Caller) waitsForServer() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sends > 0 && !c.left && !c.closed
}

func (c *Caller) recordSend() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastSend = time.Now()
	c.sends++
}

// setLeft records that the caller has left, and cancels the context of its request.
func (c *Caller) setLeft(p Point, state tcp.PeerState) {
	c.cancel(ErrLeft)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.left || c.closed {
		return
	}
	c.left = true
	for _, f := range c.hooks {
		f()
	}
	c.hooks = nil
	c.log(p, state)
	if c.Observe != nil {
		c.Observe(p)
	}
}

// log writes what is known of the departure. c.mu must be held.
func (c *Caller) log(p Point, state tcp.PeerState) {
	now := time.Now()
	sentMS := int64(-1)
	if c.sends > 0 {
		sentMS = now.Sub(c.lastSend).Milliseconds()
	}
	klog.InfoS("caller left", "request", c.Request, "found", p, "receivedMsAgo", now.Sub(c.Received).Milliseconds(),
		"lastSegmentMsAgo", state.SinceSegment.Milliseconds(), "sends", c.sends, "lastSendMsAgo", sentMS)
}
