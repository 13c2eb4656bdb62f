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

// Point is where it was found that a caller has left.
type Point string

// Points. Read is the read that waits for the end of the connection.
const (
	Read     Point = "read of the connection"
	Handling Point = "check before handling"
	Waiting  Point = "check after a wait"
	Sending  Point = "check before a send"
	Periodic Point = "periodic check"
)

// Options describe a caller.
type Options struct {
	// Request is the request's id, for the log.
	Request string
	// Received is when the request arrived.
	Received time.Time
	// Peer asks for the state of the caller's connection. It may be nil.
	Peer func() tcp.PeerState
	// OnLeft is called once when it is found that the caller has left. It may be nil.
	OnLeft func(Point)
}

// Caller is the caller of one request. It is safe for concurrent use.
type Caller struct {
	Options
	unhook func() bool

	mu       sync.Mutex
	left     bool
	lastSend time.Time // first byte of the last send
	sends    int
}

type key struct{}

// New returns the caller of a request whose connection ends with ctx, and the context of the request.
// The caller must be closed.
func New(ctx context.Context, o Options) (*Caller, context.Context) {
	c := &Caller{Options: o}
	c.unhook = context.AfterFunc(ctx, func() { c.record(Read, tcp.PeerState{}) })
	return c, context.WithValue(ctx, key{}, c)
}

// Close ends the observation of the caller, after its response.
func (c *Caller) Close() { c.unhook() }

// Observe records whether the caller of a request has left.
func Observe(ctx context.Context, p Point) {
	c, ok := ctx.Value(key{}).(*Caller)
	if !ok || c.Peer == nil {
		return
	}
	if state := c.Peer(); state.Ended {
		c.record(p, state)
	}
	if p == Sending {
		c.recordSend()
	}
}

func (c *Caller) recordSend() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastSend = time.Now()
	c.sends++
}

// record logs that the caller has left.
func (c *Caller) record(p Point, state tcp.PeerState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.left {
		return
	}
	c.left = true
	now := time.Now()
	sentMS := int64(-1)
	if c.sends > 0 {
		sentMS = now.Sub(c.lastSend).Milliseconds()
	}
	klog.InfoS("caller left", "request", c.Request, "found", p, "receivedMsAgo", now.Sub(c.Received).Milliseconds(),
		"lastSegmentMsAgo", state.SinceSegment.Milliseconds(), "sends", c.sends, "lastSendMsAgo", sentMS)
	if c.OnLeft != nil {
		c.OnLeft(p)
	}
}
