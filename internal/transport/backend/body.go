package backend

import (
	"io"
	"net/http"
	"sync/atomic"
	"time"
)

// Body reads the body of a response. Read returns io.EOF only if the response is complete:
// after its full length, its last chunk, or, if there is neither, a clean close after the
// server has received the request. Other errors are response.ErrIncomplete or response.ErrMalformed.
type Body struct {
	pool     *Pool
	addr     string
	conn     *conn
	resp     *http.Response
	complete bool
	reusable bool
	stop     func() bool
	closed   atomic.Bool
}

// Read implements io.Reader.
func (b *Body) Read(p []byte) (int, error) {
	n, err := b.resp.Body.Read(p)
	err = b.conn.reader.EndOfBody(b.resp, err)
	b.complete = b.complete || err == io.EOF
	return n, err
}

// Close ends the use of the response. The connection is kept if the response was read
// completely and no bytes follow it, and closed otherwise. Only the first call has an
// effect, because the connection may serve another request by the second one.
func (b *Body) Close() {
	if b.closed.Swap(true) {
		return
	}
	intact := b.stop() && b.complete && b.reusable
	if !intact || b.conn.br.Buffered() > 0 {
		b.conn.Close()
		return
	}
	idle := idleTimeout(b.resp.Header)
	if idle <= 0 {
		b.conn.Close()
		return
	}
	b.conn.idleDeadline = time.Now().Add(idle)
	b.pool.host(b.addr).put(b.conn)
}

// Discard marks the connection as not reusable.
func (b *Body) Discard() { b.reusable = false }
