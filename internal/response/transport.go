package response

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"

	"github.com/pkg/errors"
)

// errUnknownLength means that a request cannot be sent, as the end of its body could not be told from its
// bytes on the connection.
var errUnknownLength = errors.New("request has a body of unknown length")

// NewTransport returns a transport that sends requests over t without TLS and returns only responses that
// are well-formed. Their bodies end with io.EOF only if they are complete. It changes t, which must have a
// DialContext. Requests must have bodies of known length.
func NewTransport(t *http.Transport) http.RoundTripper {
	dial := t.DialContext
	t.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &checkedConn{Conn: c, reader: NewReader(c)}, nil
	}
	return transport{t}
}

type transport struct{ next *http.Transport }

// RoundTrip implements http.RoundTripper.
func (t transport) RoundTrip(r *http.Request) (*http.Response, error) {
	length := r.ContentLength
	if r.Body == nil || r.Body == http.NoBody {
		length = 0
	} else if length <= 0 {
		r.Body.Close()
		return nil, errUnknownLength
	}
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(*checkedConn); ok {
			c.begin(length)
		}
	}}
	resp, err := t.next.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	if err != nil {
		return nil, err
	}
	resp.Body = &checkedBody{ReadCloser: resp.Body, resp: resp}
	return resp, nil
}

// checkedBody is the body of a response.
type checkedBody struct {
	io.ReadCloser
	resp *http.Response
}

// Read implements io.Reader.
func (b *checkedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		err = checkTrailers(b.resp)
	}
	return n, err
}

// checkedConn is a connection of an http.Transport, which neither tells when it has written a request nor
// which of its errors came first.
type checkedConn struct {
	net.Conn
	reader *Reader

	mu      sync.Mutex
	request requestProgress
	upload  *Upload // nil before the first request
}

// begin expects a request with a body of some length in bytes, and its response.
func (c *checkedConn) begin(length int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.request = requestProgress{bodyLeft: length}
	c.upload = NewUpload()
	c.reader.Begin(c.upload)
}

// Read implements net.Conn.
func (c *checkedConn) Read(p []byte) (int, error) { return c.reader.Read(p) }

// Write implements net.Conn.
func (c *checkedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.upload != nil {
		c.request.add(p[:n])
		if err != nil || c.request.complete() {
			c.upload.End(err)
		}
	}
	return n, err
}

// Close implements net.Conn.
func (c *checkedConn) Close() error {
	err := c.Conn.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.upload != nil {
		c.upload.End(net.ErrClosed)
	}
	return err
}

// requestProgress finds the end of a request in the bytes that are written.
type requestProgress struct {
	bodyLeft int64 // in bytes
	matched  int   // bytes of headEnd that the head ends with so far
}

const headEnd = "\r\n\r\n"

func (p *requestProgress) add(b []byte) {
	i := 0
	for ; i < len(b) && p.matched < len(headEnd); i++ {
		switch b[i] {
		case headEnd[p.matched]:
			p.matched++
		case headEnd[0]:
			p.matched = 1
		default:
			p.matched = 0
		}
	}
	p.bodyLeft -= int64(len(b) - i)
}

func (p *requestProgress) complete() bool { return p.matched == len(headEnd) && p.bodyLeft <= 0 }
