package guard

import (
	"io"
	"net/http"

	"github.com/pkg/errors"

	"github.com/skylarkwood/skylarkwood/internal/coordination/clientbudget"
	"github.com/skylarkwood/skylarkwood/internal/model"
)

const (
	// firstSegment and maxSegment are sizes in bytes of the segments of a body. Each is twice as large
	// as the one before.
	firstSegment = 2 << 10
	maxSegment   = 64 << 10
)

// Errors of ReadBody.
var (
	ErrBodyTooLarge = errors.New("body is too large")
	ErrNoBodyRoom   = errors.New("no room for the body")
)

// ReadBody reads the body of a request on a connection, which may be nil. At most
// limit bytes are read.
func (c *Conn) ReadBody(r *http.Request, limit int64) (model.Body, error) {
	if c != nil && r.ContentLength >= minBodyForBuffer {
		c.setReadBuffer(bodyBuffer)
		defer c.setReadBuffer(receiveBuffer)
	}
	return ReadBody(r.Body, r.ContentLength, limit, c.Account())
}

// setReadBuffer sets the size of the kernel's receive buffer. Where that is not possible, it stays.
func (c *Conn) setReadBuffer(size int) {
	if b, ok := c.Conn.(interface{ SetReadBuffer(int) error }); ok {
		_ = b.SetReadBuffer(size)
	}
}

// ReadBody reads a body of the announced length, -1 if there is none, and at most limit bytes. What it
// returns is taken from the account: an announced length before anything is read, so that bodies that
// are read do not wait for each other's room, and otherwise twice as much each time.
func ReadBody(r io.Reader, length, limit int64, a *clientbudget.Account) (model.Body, error) {
	if length > limit {
		return nil, ErrBodyTooLarge
	}
	b := bodyReader{account: a, announced: length >= 0, limit: limit}
	if b.announced && !b.take(length) {
		return nil, ErrNoBodyRoom
	}
	for done := false; !done; {
		var err error
		if done, err = b.readSegment(r); err != nil {
			a.Give(b.taken)
			return nil, err
		}
	}
	a.Give(b.taken - b.body.Held())
	return b.body, nil
}

type bodyReader struct {
	account   *clientbudget.Account
	announced bool
	limit     int64
	body      model.Body
	size      int64 // of the body so far
	taken     int64 // from the account
}

func (b *bodyReader) take(n int64) bool {
	if !b.account.Take(n) {
		return false
	}
	b.taken += n
	return true
}

// readSegment reads one segment and reports whether it was the last.
func (b *bodyReader) readSegment(r io.Reader) (done bool, err error) {
	size := min(int64(maxSegment), firstSegment<<min(len(b.body), 16))
	if b.announced {
		size = min(size, b.taken-b.size)
	} else if more := b.body.Held() + size - b.taken; more > 0 && !b.take(max(b.taken, more)) {
		return false, ErrNoBodyRoom
	}
	if size == 0 {
		return true, expectEnd(r)
	}
	segment := make([]byte, size)
	n, err := fill(r, segment)
	b.size += int64(n)
	if n > 0 {
		b.body = append(b.body, segment[:n])
	}
	switch {
	case b.size > b.limit:
		return false, ErrBodyTooLarge
	case err == io.EOF && b.announced && b.size < b.taken:
		return false, io.ErrUnexpectedEOF
	case err == io.EOF:
		return true, nil
	}
	return false, err
}

// fill reads until p is full. Unlike io.ReadFull it returns the reader's own error, as an end of the
// connection inside a chunk must not look like the end of the body.
func fill(r io.Reader, p []byte) (n int, err error) {
	for n < len(p) && err == nil {
		var k int
		k, err = r.Read(p[n:])
		n += k
	}
	return n, err
}

// expectEnd reads the end of a body whose announced length was read.
func expectEnd(r io.Reader) error {
	n, err := r.Read(make([]byte, 1))
	if n > 0 {
		return ErrBodyTooLarge
	}
	if err == io.EOF {
		return nil
	}
	return err
}
