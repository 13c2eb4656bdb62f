package guard

import (
	"encoding/binary"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/skylarkwood/skylarkwood/internal/coordination/clientbudget"
	"github.com/skylarkwood/skylarkwood/internal/model"
)

// decodedFactor times the size of a message is the memory that it takes once it is decoded, besides its
// bytes as received.
const decodedFactor = 2

// WithMessage serves requests with one message of at most limit bytes. It is read before the handler
// runs; a request for whose message there is no room is refused and nothing of it runs.
func WithMessage(h http.Handler, limit int64, refuse Refuse) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := ConnOf(r.Context())
		if !c.headerRead(r) {
			refuseWith(refuse, w, r, ErrNoRequestRoom)
			return
		}
		rc := http.NewResponseController(w)
		_ = rc.SetReadDeadline(time.Now().Add(serverBodyTimeout)) // fails if the connection is closed
		body, err := c.ReadBody(r, limit)
		_ = rc.SetReadDeadline(time.Time{})
		if err == nil && (!c.Account().Take(decodedFactor*body.Held()) || !c.Account().Enter(clientbudget.Working)) {
			err = ErrNoRequestRoom
		}
		if err != nil {
			refuseWith(refuse, w, r, err)
			return
		}
		r.Trailer = nil
		r.Body = &bodyContent{rest: body}
		h.ServeHTTP(w, r)
	})
}

// bodyContent reads a body.
type bodyContent struct{ rest model.Body }

// Read implements io.Reader.
func (b *bodyContent) Read(p []byte) (n int, err error) {
	for len(b.rest) > 0 && n < len(p) {
		k := copy(p[n:], b.rest[0])
		n += k
		if b.rest[0] = b.rest[0][k:]; len(b.rest[0]) == 0 {
			b.rest = b.rest[1:]
		}
	}
	if n == 0 && len(p) > 0 {
		return 0, io.EOF
	}
	return n, nil
}

// Close implements io.Closer.
func (b *bodyContent) Close() error { return nil }

// WithMessages serves requests with a stream of messages of at most limit bytes each, in the envelopes
// of Connect. A message is taken from the account before it is read, until the next one is asked for.
func WithMessages(h http.Handler, limit int64) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := ConnOf(r.Context())
		if !c.headerRead(r) {
			refuse := func(w http.ResponseWriter, _ *http.Request, _ error, _ time.Duration) {
				w.WriteHeader(http.StatusServiceUnavailable)
			}
			refuseWith(refuse, w, r, ErrNoRequestRoom)
			return
		}
		r.Body = &envelopes{ReadCloser: r.Body, account: c.Account(), limit: limit}
		h.ServeHTTP(w, r)
	})
}

// Parts of the envelope of a message: a byte with flags and the length of the message in four bytes.
const (
	envelopeLength = 5
	flagCompressed = 1
)

// errNoMessageRoom ends a stream whose next message finds no room.
var errNoMessageRoom = errors.New("no room for a message")

// envelopes reads a stream of messages.
type envelopes struct {
	io.ReadCloser
	account *clientbudget.Account
	limit   int64

	header  [envelopeLength]byte
	pending []byte // part of the header that was not returned yet
	left    int64  // rest of the current message
	taken   int64
}

// Read implements io.Reader.
func (e *envelopes) Read(p []byte) (int, error) {
	if len(e.pending) == 0 && e.left == 0 {
		if err := e.next(); err != nil {
			return 0, err
		}
	}
	if len(e.pending) > 0 {
		n := copy(p, e.pending)
		e.pending = e.pending[n:]
		return n, nil
	}
	n, err := e.ReadCloser.Read(p[:min(int64(len(p)), e.left)])
	e.left -= int64(n)
	if err == io.EOF && e.left > 0 {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// next reads the header of the next message and takes the message from the account.
func (e *envelopes) next() error {
	e.account.Give(e.taken)
	e.taken = 0
	if _, err := io.ReadFull(e.ReadCloser, e.header[:]); err != nil {
		return err
	}
	length := int64(binary.BigEndian.Uint32(e.header[1:]))
	if length > e.limit {
		return ErrBodyTooLarge
	}
	cost := (1 + decodedFactor) * length
	if e.header[0]&flagCompressed != 0 {
		cost += decodedFactor * e.limit
	}
	if !e.account.Take(cost) {
		return errNoMessageRoom
	}
	e.taken, e.left, e.pending = cost, length, e.header[:]
	return nil
}
