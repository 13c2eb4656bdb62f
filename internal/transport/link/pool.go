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

	"github.com/skylarkwood/skylarkwood/internal/coordination/clientbudget"
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
	// Clients is the memory for replies until they are decoded. It may be nil.
	Clients *clientbudget.Budget

	metadata *Metadata
	peers    *shard.Map[string, *peer]
	dial     func(ctx context.Context, addr string) (net.Conn, error)
	// ctx ends with Close. It ends the attempts to connect.
	ctx   context.Context
	close context.CancelFunc
}

type peer struct {
	addr string
	mu   sync.Mutex // not held while connecting
	conn *clientConn
	// connecting is the attempt to connect in progress; nil if there is none.
	connecting *connecting
}

// connecting is an attempt to connect, for which all senders to a peer wait, each until its own
// context ends. Fields other than done are set before done is closed.
type connecting struct {
	done chan struct{}
	conn *clientConn
	err  error
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
	ctx, cancel := context.WithCancel(context.Background())
	return &Pool{metadata: metadata, peers: shard.New[string, *peer](), dial: dial, ctx: ctx, close: cancel}
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

// Received returns the number of bytes received on the connection to a peer; 0 if there is none. A peer from
// which bytes arrive while a message waits for its reply is slow, not silent.
func (p *Pool) Received(addr string) int64 {
	pr, ok := p.peers.Get(addr)
	if !ok {
		return 0
	}
	pr.mu.Lock()
	defer pr.mu.Unlock()
	if pr.conn == nil {
		return 0
	}
	return pr.conn.frames.received.Load()
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
	p.close()
	for _, pr := range p.peers.Values() {
		pr.mu.Lock()
		pr.closeConn()
		pr.mu.Unlock()
	}
}

// get returns the connection to a peer. It connects if there is none.
func (p *Pool) get(ctx context.Context, addr string) (*clientConn, error) {
	pr, _ := p.peers.GetOrPut(addr, func() *peer { return &peer{addr: addr} })
	conn, attempt := p.connOrAttempt(pr)
	if conn != nil {
		return conn, nil
	}
	select {
	case <-attempt.done:
		return attempt.conn, attempt.err
	case <-ctx.Done():
		return nil, fault.New(fault.NotConnected, "dial %s: no connection before the deadline", addr)
	}
}

// connOrAttempt returns the open connection to a peer or, if there is none, the attempt to connect.
func (p *Pool) connOrAttempt(pr *peer) (*clientConn, *connecting) {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	if pr.conn != nil && !closed(pr.conn.Conn) {
		return pr.conn, nil
	}
	if pr.connecting == nil {
		pr.connecting = &connecting{done: make(chan struct{})}
		go p.connect(pr, pr.connecting)
	}
	return nil, pr.connecting
}

// connect carries out an attempt to connect.
func (p *Pool) connect(pr *peer, attempt *connecting) {
	c, err := p.dial(p.ctx, pr.addr)
	pr.mu.Lock()
	defer pr.mu.Unlock()
	defer close(attempt.done)
	pr.connecting = nil
	if err == nil && p.ctx.Err() != nil {
		c.Close()
		err = net.ErrClosed
	}
	if err != nil {
		attempt.err = fault.New(fault.NotConnected, "dial %s: %v", pr.addr, err)
		return
	}
	// Peers only send replies on this connection.
	f := newFrames(p.metadata.countBytes(c), func([]byte) {})
	f.clients = p.Clients
	attempt.conn = newClientConn(context.Background(), p.metadata, f)
	pr.conn = attempt.conn
}

// newClientConn returns a connection whose peer gets an error for each call that it makes.
func newClientConn(ctx context.Context, m *Metadata, f *frames) *clientConn {
	return &clientConn{Conn: jsonrpc2.NewConn(ctx, f, &serverConn{Server: NewServer(m), frames: f}), frames: f}
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
