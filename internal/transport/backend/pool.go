// Package backend sends requests to backend servers over its own connections. It never
// resends a request and never follows a redirect. It reuses a connection only if no unread
// bytes are left on it.
package backend

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/skylarkwood/skylarkwood/internal/coordination/caller"
	"github.com/skylarkwood/skylarkwood/internal/coordination/clientbudget"
	"github.com/skylarkwood/skylarkwood/internal/coordination/processor"
	"github.com/skylarkwood/skylarkwood/internal/protocol/relay"
	"github.com/skylarkwood/skylarkwood/internal/response"
	"github.com/skylarkwood/skylarkwood/internal/state/shard"
	"github.com/skylarkwood/skylarkwood/internal/tcp"
)

const (
	// dialTimeout is the timeout for opening a connection. Engines are in the same region.
	dialTimeout = 400 * time.Millisecond
	// userTimeout is how long written data may stay unacknowledged before the connection
	// is closed.
	userTimeout = 1500 * time.Millisecond
	// idleTimeoutFraction is the fraction of the announced idle timeout for which a
	// connection is reused. Later, the next request may cross with the peer closing the
	// connection.
	idleTimeoutFraction = 0.6
	// defaultIdleTimeout is the idle timeout of connections whose peer announces none.
	defaultIdleTimeout = 700 * time.Millisecond
	// maxInlineBody is the size in bytes of the largest body that is written before the
	// response is read. Such bodies fit into the socket buffer. Writing a larger one could
	// block on a peer that responds without reading.
	maxInlineBody  = 16 << 10
	readBufferSize = 4 << 10
	// receiveBuffer is the size in bytes of the kernel's buffer for responses. A response waits there
	// until there is room for it.
	receiveBuffer = 16 << 10
)

// Pool keeps idle connections by address.
type Pool struct {
	// Processor keeps the wait for the processor out of timeouts. It may be nil and must not
	// change after the first call.
	Processor *processor.Monitor
	// Clients is asked for a descriptor before a connection is opened for the request of a caller. It may
	// be nil and must not change after the first call.
	Clients *clientbudget.Budget

	hosts  *shard.Map[string, *host]
	dialed atomic.Int64
}

// NewPool returns an empty pool.
func NewPool() *Pool { return &Pool{hosts: shard.New[string, *host]()} }

// DialCount returns the number of connections opened so far.
func (p *Pool) DialCount() int64 { return p.dialed.Load() }

func (p *Pool) host(addr string) *host {
	h, _ := p.hosts.GetOrPut(addr, func() *host { return &host{} })
	return h
}

func (p *Pool) connect(ctx context.Context, addr string) (*conn, error) {
	c, generation := p.host(addr).takeIdle(time.Now())
	if c != nil {
		return c, nil
	}
	if !p.Clients.OpenServer(clientbudget.FromContext(ctx) != nil) {
		return nil, notSent(relay.ErrNoDescriptor)
	}
	c, err := p.dial(ctx, addr, generation)
	if err != nil {
		return nil, notSent(err)
	}
	return c, nil
}

// dial opens a connection that Clients has counted. generation is that of its host before the dial.
func (p *Pool) dial(ctx context.Context, addr string, generation int) (*conn, error) {
	d := net.Dialer{KeepAlive: -1, Control: tcp.LimitReceiveBuffer(receiveBuffer, tcp.UserTimeout(userTimeout))}
	dialing, cancel := p.Processor.WithTimeout(ctx, dialTimeout)
	defer cancel()
	nc, err := d.DialContext(dialing, "tcp", addr)
	if err != nil {
		p.Clients.CloseServer()
		return nil, err
	}
	p.dialed.Add(1)
	c := newConn(nc, generation)
	c.closed = sync.OnceFunc(p.Clients.CloseServer)
	return c, nil
}

// CheckListening checks whether a process accepts connections at an address. It returns
// relay.ErrRefused if none does. After any other error this is unknown. The connection is
// kept for the next request.
func (p *Pool) CheckListening(ctx context.Context, addr string) error {
	p.Clients.OpenServer(false)
	c, err := p.dial(ctx, addr, p.host(addr).currentGeneration())
	if errors.Is(err, syscall.ECONNREFUSED) {
		return relay.ErrRefused
	}
	if err != nil {
		return err
	}
	p.keep(c, addr)
	return nil
}

// keep keeps a connection that was not used for the next request.
func (p *Pool) keep(c *conn, addr string) {
	if c.idleDeadline.IsZero() {
		c.idleDeadline = time.Now().Add(defaultIdleTimeout)
	}
	p.host(addr).put(c)
}

// keepAliveInterval and keepAliveProbes close an idle connection that became
// unresponsive, because it would never show that its peer exited.
const (
	keepAliveInterval = 2 * time.Second
	keepAliveProbes   = 2
)

// DialIdle opens a connection that stays idle to detect the exit of its peer.
func DialIdle(ctx context.Context, addr string) (net.Conn, error) {
	d := net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveProbes},
	}
	return d.DialContext(ctx, "tcp", addr)
}

// notSent returns an error that wraps relay.ErrNotSent and the reason.
func notSent(reason error) error { return fmt.Errorf("%w: %w", relay.ErrNotSent, reason) }

// Do sends a request and reads the header of its response. The connection is closed as
// soon as ctx is done. If the error is relay.ErrNotSent, nothing was sent. After any other
// error the request may have run. The caller must close the body of the response.
func (p *Pool) Do(ctx context.Context, addr string, r *relay.Request) (*relay.Response, error) {
	for {
		if ctx.Err() != nil {
			return nil, notSent(context.Cause(ctx))
		}
		c, err := p.connect(ctx, addr)
		if err != nil {
			return nil, err
		}
		if r.Permitted != nil && !r.Permitted() {
			p.keep(c, addr)
			return nil, notSent(relay.ErrWithheld)
		}
		if err := caller.Check(ctx, caller.Sending); err != nil {
			p.keep(c, addr)
			return nil, notSent(err)
		}
		resp, err := p.exchange(ctx, c, addr, r)
		if c.reused && ctx.Err() == nil && errors.Is(err, relay.ErrNotSent) {
			// The peer closed the connection after the check in takeIdle. Nothing was
			// sent, so the request may use another connection.
			continue
		}
		return resp, err
	}
}

// exchange sends a request over a connection and reads the header of the response.
func (p *Pool) exchange(ctx context.Context, c *conn, addr string, r *relay.Request) (*relay.Response, error) {
	stop := c.closeWith(ctx)
	upload := response.NewUpload()
	c.reader.Begin(upload)
	sent := make(chan writeResult, 1)
	if r.Body.Len() > maxInlineBody {
		go func() {
			w := write(c, r)
			upload.End(w.err)
			sent <- w
		}()
	} else {
		w := write(c, r)
		if w.nothingSent() {
			stop()
			c.Close()
			return nil, w.notSent(ctx)
		}
		upload.End(w.err)
		sent <- w
	}
	resp, err := c.reader.ReadHead(c.br, r.Method)
	if err != nil {
		stop()
		c.Close()
		if w := <-sent; w.nothingSent() {
			return nil, w.notSent(ctx)
		}
		return nil, errors.Wrap(err, "read response from "+addr)
	}
	// The server may have responded before it read the whole body.
	reusable := upload.Written() && !resp.Close && resp.ProtoAtLeast(1, 1)
	b := &Body{pool: p, addr: addr, conn: c, resp: resp, stop: stop, reusable: reusable}
	unframed := resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
	return &relay.Response{Status: resp.StatusCode, Header: resp.Header, Body: b, Length: resp.ContentLength, EndsWithConnection: unframed}, nil
}

// writeResult is the result of a write. The context may be cancelled between its check and
// the write, so only the number of bytes that the kernel accepted shows whether anything
// was sent.
type writeResult struct {
	bytes int
	err   error
}

func (w writeResult) nothingSent() bool { return w.err != nil && w.bytes == 0 }

// notSent returns why nothing was written: the cause of the context that closed the
// connection, or the write error.
func (w writeResult) notSent(ctx context.Context) error {
	if ctx.Err() != nil {
		return notSent(context.Cause(ctx))
	}
	return notSent(w.err)
}

func write(c *conn, r *relay.Request) writeResult {
	var b []byte
	b = append(b, r.Method...)
	b = append(b, ' ')
	b = append(b, r.Target...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, r.Host...)
	b = append(b, "\r\n"...)
	for name, values := range r.Header {
		for _, v := range values {
			b = append(b, name...)
			b = append(b, ": "...)
			b = append(b, v...)
			b = append(b, "\r\n"...)
		}
	}
	length := r.Body.Len()
	if length > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, int64(length), 10)
		b = append(b, "\r\n"...)
	}
	b = append(b, "\r\n"...)
	if length > maxInlineBody {
		buffers := append(net.Buffers{b}, r.Body...)
		n, err := buffers.WriteTo(c.Conn)
		return writeResult{bytes: int(n), err: err}
	}
	for _, segment := range r.Body {
		b = append(b, segment...)
	}
	n, err := c.Write(b)
	return writeResult{bytes: n, err: err}
}
