// Package response decides which responses of servers are well-formed and complete. net/http parses them,
// but accepts more than HTTP/1.1 allows, and takes each end of a connection for that of a response.
package response

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
)

// Reader passes on what a connection receives, up to the first line that may not be in the head of a
// response. It returns io.EOF only if the connection has ended after the server has received the request.
type Reader struct {
	conn net.Conn

	mu     sync.Mutex
	head   headChecker
	upload *Upload
	err    error // ends all further reads
	ended  bool  // the connection has ended
}

// NewReader returns a reader of a connection without a request.
func NewReader(c net.Conn) *Reader { return &Reader{conn: c} }

// Begin expects the response to a request. It must be called before the request is written.
func (r *Reader) Begin(u *Upload) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.head.begin()
	r.upload = u
}

// ReadHead reads the head of the final response to a request with a method from br, which reads from r, and
// skips interim responses.
func (r *Reader) ReadHead(br *bufio.Reader, method string) (*http.Response, error) {
	for {
		resp, err := http.ReadResponse(br, &http.Request{Method: method})
		refused, ended := r.state()
		switch {
		case refused != nil:
			return nil, refused // the parser may hide it
		case err != nil && !ended:
			return nil, malformed("%v", err)
		case err != nil && r.begun():
			return nil, incomplete(err)
		case err != nil:
			return nil, err
		case resp.StatusCode >= http.StatusOK:
			return resp, nil
		}
	}
}

// state returns the error that ended the reading, and whether the connection has ended.
func (r *Reader) state() (refused error, ended bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.err, r.ended
}

// begun reports whether a part of the response has arrived.
func (r *Reader) begun() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.head.size > 0
}

// Read implements io.Reader.
func (r *Reader) Read(p []byte) (int, error) {
	if refused, _ := r.state(); refused != nil {
		return 0, refused
	}
	n, err := r.conn.Read(p)
	passed, upload, malformed := r.received(p[:n], err)
	switch {
	case malformed != nil && passed > 0:
		// net/http would send some requests again if the first read failed.
		return passed, nil
	case malformed != nil:
		return 0, malformed
	case err == io.EOF && upload != nil:
		err = r.confirmEnd(upload)
	}
	return n, err
}

// received checks the result of a read of the connection and returns how many bytes may be passed on. upload
// is that of the response whose body is read; nil if there is none.
func (r *Reader) received(b []byte, end error) (passed int, upload *Upload, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ended = end != nil
	passed, err = r.head.check(b)
	if err != nil {
		r.err = err
	}
	if r.head.part == outsideHead {
		upload = r.upload
	}
	return passed, upload, err
}

// confirmEnd returns io.EOF if the connection ended after an upload was received.
func (r *Reader) confirmEnd(u *Upload) error {
	err := u.confirm(r.conn)
	if err == nil {
		return io.EOF
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.err = err
	return err
}

// EndOfBody returns the error of a read of a response's body, given that of the parser. It is io.EOF only if
// the response is complete, with well-formed trailers, and else ErrIncomplete or ErrMalformed.
func (r *Reader) EndOfBody(resp *http.Response, err error) error {
	if err == nil || errors.Is(err, ErrIncomplete) {
		return err
	}
	if err == io.EOF {
		return checkTrailers(resp)
	}
	if _, ended := r.state(); !ended {
		return malformed("%v", err)
	}
	return incomplete(err)
}

// checkTrailers returns io.EOF, or an error if the trailers of a response, whose body was read, are malformed.
func checkTrailers(resp *http.Response) error {
	for name := range resp.Trailer {
		if err := checkFieldName(name); err != nil {
			return err
		}
	}
	return io.EOF
}
