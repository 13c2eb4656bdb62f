// Package backend sends requests to backend servers over connections of its
// own. It never sends anything twice, never follows a redirect, and gives a
// connection to the next request only if nothing was left on it.
package backend

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/skylarkwood/skylarkwood/internal/protocol/relay"
	"github.com/skylarkwood/skylarkwood/internal/state/shard"
	"github.com/skylarkwood/skylarkwood/internal/tcp"
)

const (
	// dialTimeout bounds a new connection; engines are under a millisecond away
	// and accept within one more.
	dialTimeout = 400 * time.Millisecond
	// userTimeout drops a connection whose written data stays unacknowledged.
	userTimeout = 1500 * time.Millisecond
	// idleShare is the share of the announced idle time for which a connection
	// is used again: later the peer's close may cross the next request.
	idleShare = 0.6
	// unknownIdle is how long an idle connection is kept whose peer announces
	// no idle time.
	unknownIdle = 700 * time.Millisecond
	// inlineBody is the largest body that is written before the answer is read.
	// Smaller ones fit the socket's buffer; a larger one could wait for a peer
	// that answers without reading.
	inlineBody = 16 << 10
	readBuffer = 4 << 10
)

// Pool keeps idle connections by address.
type Pool struct {
	hosts  *shard.Map[string, *host]
	dialed atomic.Int64
}

type conn struct {
	net.Conn
	br    *bufio.Reader
	until time.Time // may be used again before
	kept  bool      // it has served a request before
	drops int       // its host's count when it was opened
}

// NewPool makes an empty pool.
func NewPool() *Pool { return &Pool{hosts: shard.New[string, *host]()} }

// DialCount counts the connections opened so far.
func (p *Pool) DialCount() int64 { return p.dialed.Load() }

func (p *Pool) host(addr string) *host {
	h, _ := p.hosts.GetOrPut(addr, func() *host { return &host{} })
	return h
}

func (p *Pool) connect(ctx context.Context, addr string) (*conn, error) {
	c, drops := p.host(addr).take(time.Now())
	if c != nil {
		return c, nil
	}
	c, err := p.dial(ctx, addr, drops)
	if err != nil {
		return nil, notSent(err)
	}
	return c, nil
}

// dial opens a connection; drops is its host's count of drops before.
func (p *Pool) dial(ctx context.Context, addr string, drops int) (*conn, error) {
	d := net.Dialer{Timeout: dialTimeout, KeepAlive: -1, Control: tcp.UserTimeout(userTimeout)}
	nc, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	p.dialed.Add(1)
	return &conn{Conn: nc, br: bufio.NewReaderSize(nc, readBuffer), drops: drops}, nil
}

// CheckListening asks whether a process takes connections at an address. relay.ErrRefused says
// that none does; any other error leaves it open. The connection is kept for the next
// request, which would open one itself.
func (p *Pool) CheckListening(ctx context.Context, addr string) error {
	h := p.host(addr)
	c, err := p.dial(ctx, addr, h.dropped())
	if errors.Is(err, syscall.ECONNREFUSED) {
		return relay.ErrRefused
	}
	if err != nil {
		return err
	}
	c.until = time.Now().Add(unknownIdle)
	h.put(c)
	return nil
}

// probeEvery and probeCount end a resting connection that has gone silent: its
// peer's end would never show on it.
const (
	probeEvery = 2 * time.Second
	probeCount = 2
)

// DialIdle opens a connection that is to rest and show its peer's end.
func DialIdle(ctx context.Context, addr string) (net.Conn, error) {
	d := net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeEvery, Interval: probeEvery, Count: probeCount},
	}
	return d.DialContext(ctx, "tcp", addr)
}

// Body reads an answer's body. Its Read gives io.EOF only where the answer is
// whole: a length reached, a last chunk, or a clean close where there is no
// length.
type Body struct {
	pool  *Pool
	addr  string
	conn  *conn
	resp  *http.Response
	whole bool
	reuse bool
	stop  func() bool
	done  atomic.Bool
}

// notSent gives the proof that no byte of a request went out, and why.
func notSent(why error) error { return fmt.Errorf("%w: %w", relay.ErrNotSent, why) }

// Do sends a request and reads the head of its answer. The connection is
// closed as soon as ctx ends. relay.ErrNotSent is proof that nothing was sent; after
// any other error the request may have been carried out.
func (p *Pool) Do(ctx context.Context, addr string, r *relay.Request) (*relay.Response, error) {
	for {
		// A request whose caller left while it waited would work for nobody.
		if ctx.Err() != nil {
			return nil, notSent(context.Cause(ctx))
		}
		c, err := p.connect(ctx, addr)
		if err != nil {
			return nil, err
		}
		ans, err := p.exchange(ctx, c, addr, r)
		if c.kept && ctx.Err() == nil && errors.Is(err, relay.ErrNotSent) {
			// The peer closed it after it was looked at. Nothing went out, so the
			// request may go over another connection.
			continue
		}
		return ans, err
	}
}

// exchange sends a request over a connection and reads the head of the answer.
func (p *Pool) exchange(ctx context.Context, c *conn, addr string, r *relay.Request) (*relay.Response, error) {
	stop := context.AfterFunc(ctx, func() { c.Close() })
	sent := make(chan written, 1)
	if len(r.Body) > inlineBody {
		go func() { sent <- write(c, r) }()
	} else {
		w := write(c, r)
		if w.nothing() {
			stop()
			c.Close()
			return nil, w.notSent(ctx)
		}
		sent <- w
	}
	resp, err := readHead(c.br, r.Method)
	if err != nil {
		stop()
		c.Close()
		if w := <-sent; w.nothing() {
			return nil, w.notSent(ctx)
		}
		return nil, errors.Wrap(err, "answer of "+addr)
	}
	b := &Body{pool: p, addr: addr, conn: c, resp: resp, stop: stop}
	select {
	case w := <-sent:
		b.reuse = w.err == nil && !resp.Close && resp.ProtoAtLeast(1, 1)
	default:
		// The server answered before it has read all of the body.
	}
	return &relay.Response{Status: resp.StatusCode, Header: resp.Header, Body: b}, nil
}

// readHead skips interim answers.
func readHead(br *bufio.Reader, method string) (*http.Response, error) {
	for {
		resp, err := http.ReadResponse(br, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= 200 {
			return resp, nil
		}
	}
}

// written is what became of a write. The context may end between the look at it
// and the write, so neither proves anything of the other; the count of bytes that
// the kernel took does. None is proof that the peer gets nothing.
type written struct {
	bytes int
	err   error
}

func (w written) nothing() bool { return w.err != nil && w.bytes == 0 }

// notSent tells why nothing was written: the context that closed the connection,
// where one did.
func (w written) notSent(ctx context.Context) error {
	if ctx.Err() != nil {
		return notSent(context.Cause(ctx))
	}
	return notSent(w.err)
}

func write(c net.Conn, r *relay.Request) written {
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
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, int64(len(r.Body)), 10)
		b = append(b, "\r\n"...)
	}
	b = append(b, "\r\n"...)
	b = append(b, r.Body...)
	n, err := c.Write(b)
	return written{bytes: n, err: err}
}

// Read implements io.Reader.
func (b *Body) Read(p []byte) (int, error) {
	n, err := b.resp.Body.Read(p)
	if err == io.EOF {
		b.whole = true
	}
	return n, err
}

// Close ends the use of the answer: the connection is kept where the answer was
// read to its end and nothing stands behind it, else closed. Only the first call
// counts: the connection may serve another request by the second one.
func (b *Body) Close() {
	if b.done.Swap(true) {
		return
	}
	intact := b.stop() && b.whole && b.reuse
	if !intact || b.conn.br.Buffered() > 0 {
		b.conn.Close()
		return
	}
	idle := idleTime(b.resp.Header)
	if idle <= 0 {
		b.conn.Close()
		return
	}
	b.conn.until = time.Now().Add(idle)
	b.pool.host(b.addr).put(b.conn)
}

// Discard marks the connection as unfit for another request.
func (b *Body) Discard() { b.reuse = false }
