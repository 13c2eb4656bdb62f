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

// UserTimeout is how long written data may stay unacknowledged by the peer's
// kernel before the connection is dropped. Without it a peer that vanished
// keeps a writer waiting for the kernel's retransmissions, many minutes (see
// docs/design/silence.md).
const UserTimeout = 2 * time.Second

// Pool keeps one connection per peer address, dialled when first needed.
type Pool struct {
	stamp *Metadata
	peers *shard.Map[string, *peer]
}

type peer struct {
	addr string
	mu   sync.Mutex
	conn *outgoing // nil while there is none
}

// outgoing is a connection that was opened here.
type outgoing struct {
	*jsonrpc2.Conn
	frames *frames
	// failed says that a message on it was not sent, or not answered in time.
	failed atomic.Bool
}

// NewPool makes an empty pool.
func NewPool(stamp *Metadata) *Pool {
	return &Pool{stamp: stamp, peers: shard.New[string, *peer]()}
}

// Call sends a message and waits for its reply. An error of kind Unreachable
// leaves open whether the peer acted on the message.
func (p *Pool) Call(ctx context.Context, addr string, m wire.Method, req, rep any) error {
	conn, err := p.get(ctx, addr)
	if err != nil {
		return err
	}
	env, err := p.stamp.wrap(req)
	if err != nil {
		return err
	}
	var back wire.Envelope
	if err := conn.Call(ctx, string(m), env, &back); err != nil {
		if !answered(err) && !left(ctx) {
			conn.failed.Store(true)
		}
		if ctx.Err() != nil {
			return fault.New(fault.Unreachable, "%s to %s: no answer in time", m, addr)
		}
		return decodeFault(err)
	}
	p.stamp.Clock.Observe(back.Clock)
	p.stamp.ObservePeerRevision(addr, back.Revision)
	if rep == nil {
		return nil
	}
	return errors.Wrapf(unmarshal(back.Body, rep), "reply to %s", m)
}

// Notify sends a message that has no reply. Success means only that it was
// handed to the kernel.
func (p *Pool) Notify(ctx context.Context, addr string, m wire.Method, msg any) error {
	conn, err := p.get(ctx, addr)
	if err != nil {
		return err
	}
	env, err := p.stamp.wrap(msg)
	if err != nil {
		return err
	}
	if err := conn.Notify(ctx, string(m), env); err != nil {
		conn.failed.Store(true)
		return fault.New(fault.Unreachable, "%s to %s: %v", m, addr, err)
	}
	return nil
}

// Reset drops the connection to a peer if a message on it failed, so that the next
// one dials anew. A connection can go silent for good while new ones work; only a
// new one tells whether the peer itself is gone.
//
// Several senders may find one connection silent. The first drops it and calls again
// over a new one; closed by the next, that call would fail a second time though the
// peer answers, and its request be cut off. The new connection has not failed, which
// is asked under the lock under which it took the old one's place, so it stays.
func (p *Pool) Reset(addr string) {
	pr, ok := p.peers.Get(addr)
	if !ok {
		return
	}
	pr.mu.Lock()
	defer pr.mu.Unlock()
	if pr.conn != nil && pr.conn.failed.Load() {
		pr.drop()
	}
}

// drop closes the connection. The caller holds the lock.
func (pr *peer) drop() {
	if pr.conn == nil {
		return
	}
	pr.conn.Close()
	pr.conn = nil
}

// Close drops every connection.
func (p *Pool) Close() {
	for _, pr := range p.peers.Values() {
		pr.mu.Lock()
		pr.drop()
		pr.mu.Unlock()
	}
}

func (p *Pool) get(ctx context.Context, addr string) (*outgoing, error) {
	pr, _ := p.peers.GetOrPut(addr, func() *peer { return &peer{addr: addr} })
	pr.mu.Lock()
	defer pr.mu.Unlock()
	if pr.conn != nil && !closed(pr.conn.Conn) {
		return pr.conn, nil
	}
	d := net.Dialer{Timeout: dialTimeout, Control: tcp.UserTimeout(UserTimeout)}
	c, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, fault.New(fault.NotConnected, "dial %s: %v", addr, err)
	}
	// Peers answer calls on it and send nothing of their own.
	f := newFrames(p.stamp.counted(c), func([]byte) {})
	pr.conn = &outgoing{Conn: jsonrpc2.NewConn(context.Background(), f, NewServer(p.stamp)), frames: f}
	return pr.conn, nil
}

// answered tells whether an error is the peer's answer.
func answered(err error) bool {
	var rpc *jsonrpc2.Error
	return errors.As(err, &rpc)
}

// left tells whether nobody waits for an answer any more, which says nothing of the
// connection: marked as failed, it would be closed under the calls of others. One whose
// time is over does say something.
func left(ctx context.Context) bool { return errors.Is(ctx.Err(), context.Canceled) }

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
