package link

import (
	"context"
	"encoding/json"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/skylarkwood/skylarkwood/internal/fault"
	"github.com/skylarkwood/skylarkwood/internal/protocol/wire"
	"github.com/skylarkwood/skylarkwood/internal/state/shard"
	"github.com/skylarkwood/skylarkwood/internal/tcp"
)

// UserTimeout is how long written data may stay unacknowledged by the peer's kernel before
// the connection is closed. Otherwise a writer to a vanished peer waits many minutes for
// the kernel's retransmissions (see docs/design/silence.md).
const UserTimeout = 2 * time.Second

// Pool keeps one connection per peer address and opens it on first use.
type Pool struct {
	metadata *Metadata
	peers    *shard.Map[string, *peer]
	dial     func(ctx context.Context, addr string) (net.Conn, error)
}

type peer struct {
	addr string
	mu   sync.Mutex
	conn *clientConn // nil if none is open
}

// clientConn is a connection opened by this process.
type clientConn struct {
	*jsonrpc2.Conn
	frames *frames
	// failed is set after a message was not sent or got no response.
	failed atomic.Bool
}

// NewPool returns an empty pool.
func NewPool(metadata *Metadata) *Pool {
	return &Pool{metadata: metadata, peers: shard.New[string, *peer](), dial: dial}
}

// dial opens a connection to a peer.
func dial(ctx context.Context, addr string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout, Control: tcp.UserTimeout(UserTimeout)}
	return d.DialContext(ctx, "tcp", addr)
}

// Call sends a message and waits for its reply. After an error of kind Unreachable, the
// peer may or may not have acted on the message.
func (p *Pool) Call(ctx context.Context, addr string, m wire.Method, req, rep any) error {
	conn, err := p.get(ctx, addr)
	if err != nil {
		return err
	}
	env, err := p.metadata.newEnvelope(req)
	if err != nil {
		return err
	}
	var reply wire.Envelope
	if err := conn.Call(ctx, string(m), env, &reply); err != nil {
		if !isReply(err) && !isCancelled(ctx) {
			conn.failed.Store(true)
		}
		if ctx.Err() != nil {
			return fault.New(fault.Unreachable, "%s to %s: no response before the deadline", m, addr)
		}
		return decodeFault(err)
	}
	p.metadata.Clock.Observe(reply.Clock)
	p.metadata.ObservePeerRevision(addr, reply.Revision)
	if rep == nil {
		return nil
	}
	return errors.Wrapf(unmarshal(reply.Body, rep), "reply to %s", m)
}

// Notify sends a message that has no reply. Success means only that the kernel accepted
// it.
func (p *Pool) Notify(ctx context.Context, addr string, m wire.Method, msg any) error {
	conn, err := p.get(ctx, addr)
	if err != nil {
		return err
	}
	env, err := p.metadata.newEnvelope(msg)
	if err != nil {
		return err
	}
	if err := conn.Notify(ctx, string(m), env); err != nil {
		conn.failed.Store(true)
		return fault.New(fault.Unreachable, "%s to %s: %v", m, addr, err)
	}
	return nil
}

// Reset closes the connection to a peer if a message on it failed, so that the next
// message opens a new one. A connection can stay unresponsive while new ones work, so only
// a new one shows whether the peer is reachable.
//
// Several senders may find the same connection unresponsive. The first one closes it and
// retries over a new one. The others must not close the new one, as that would fail the
// retry too. Its failed flag is not set, so it stays open.
func (p *Pool) Reset(addr string) {
	pr, ok := p.peers.Get(addr)
	if !ok {
		return
	}
	pr.mu.Lock()
	defer pr.mu.Unlock()
	if pr.conn != nil && pr.conn.failed.Load() {
		pr.closeConn()
	}
}

// closeConn closes the connection. The caller must hold pr.mu.
func (pr *peer) closeConn() {
	if pr.conn == nil {
		return
	}
	pr.conn.Close()
	pr.conn = nil
}

// Close closes every connection.
func (p *Pool) Close() {
	for _, pr := range p.peers.Values() {
		pr.mu.Lock()
		pr.closeConn()
		pr.mu.Unlock()
	}
}

func (p *Pool) get(ctx context.Context, addr string) (*clientConn, error) {
	pr, _ := p.peers.GetOrPut(addr, func() *peer { return &peer{addr: addr} })
	pr.mu.Lock()
	defer pr.mu.Unlock()
	if pr.conn != nil && !closed(pr.conn.Conn) {
		return pr.conn, nil
	}
	c, err := p.dial(ctx, addr)
	if err != nil {
		return nil, fault.New(fault.NotConnected, "dial %s: %v", addr, err)
	}
	// Peers only send replies on this connection.
	f := newFrames(p.metadata.countBytes(c), func([]byte) {})
	pr.conn = &clientConn{Conn: jsonrpc2.NewConn(context.Background(), f, NewServer(p.metadata)), frames: f}
	return pr.conn, nil
}

// isReply reports whether an error is a reply of the peer.
func isReply(err error) bool {
	var rpc *jsonrpc2.Error
	return errors.As(err, &rpc)
}

// isCancelled reports whether the caller stopped waiting before the deadline. Unlike a
// timeout, this is no sign of a failed connection, and calls of others may be in progress
// on it.
func isCancelled(ctx context.Context) bool { return errors.Is(ctx.Err(), context.Canceled) }

func closed(c *jsonrpc2.Conn) bool {
	select {
	case <-c.DisconnectNotify():
		return true
	default:
		return false
	}
}

func unmarshal(body []byte, v any) error {
	if len(body) == 0 {
		return nil
	}
	return json.Unmarshal(body, v)
}
