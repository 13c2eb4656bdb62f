package backend

import (
	"io"

	"github.com/pkg/errors"
)

// maxHeaderBytes bounds the header of a response, with the interim responses before it.
const maxHeaderBytes = 64 << 10

// ErrHeaderTooLarge means that a server sent more than maxHeaderBytes without the end of a header.
// Whether it ran the request is unknown.
var ErrHeaderTooLarge = errors.Errorf("response header exceeds %d bytes", maxHeaderBytes)

// headerLimiter passes on what a connection receives. While a header is read it fails after
// maxHeaderBytes.
type headerLimiter struct {
	r         io.Reader
	limited   bool
	remaining int
	failed    bool // a read was refused
}

// begin applies the limit to the bytes that are read from now on.
func (l *headerLimiter) begin() { l.limited, l.remaining = true, maxHeaderBytes }

// end lifts the limit.
func (l *headerLimiter) end() { l.limited = false }

// exceeded reports whether the limit was reached. The parser of the header hides the error.
func (l *headerLimiter) exceeded() bool { return l.failed }

// Read implements io.Reader.
func (l *headerLimiter) Read(p []byte) (int, error) {
	if !l.limited {
		return l.r.Read(p)
	}
	if l.remaining <= 0 {
		l.failed = true
		return 0, ErrHeaderTooLarge
	}
	n, err := l.r.Read(p[:min(len(p), l.remaining)])
	l.remaining -= n
	return n, err
}
