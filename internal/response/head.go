package response

import (
	"bytes"
	"fmt"
	"strings"

	"github.com/pkg/errors"
)

// MaxHeadBytes bounds the head of a response in bytes, with the interim responses before it.
const MaxHeadBytes = 64 << 10

var (
	// ErrMalformed means that a server sent something that is not an HTTP/1 response. Whether it ran the
	// request is unknown.
	ErrMalformed = errors.New("malformed response")
	// ErrHeadTooLarge means that a server sent more than MaxHeadBytes without the end of a head. Whether it
	// ran the request is unknown.
	ErrHeadTooLarge = malformed("head exceeds %d bytes", MaxHeadBytes)
)

func malformed(format string, args ...any) error {
	return fmt.Errorf("%w: %s", ErrMalformed, fmt.Sprintf(format, args...))
}

// headPart is the part of a response that the next byte belongs to.
type headPart int

const (
	outsideHead headPart = iota // a body, or no response at all
	statusLine
	fieldLines
)

// headChecker checks the heads of a response and of the interim ones before it, line by line. The rules are
// those of RFC 9112, sections 4 and 5, except that a line may end without a carriage return.
type headChecker struct {
	part headPart
	size int // of the lines so far in bytes
	// interim is set if another head follows, http10 if the response is of HTTP/1.0.
	interim, http10 bool
	line            []byte // beginning of a line whose end has not arrived
}

// begin expects the head of a response.
func (h *headChecker) begin() { *h = headChecker{part: statusLine} }

// check checks the next bytes that arrived. It returns how many of them may be passed on. After an error
// these do not include the end of the head.
func (h *headChecker) check(b []byte) (passed int, err error) {
	for passed < len(b) && h.part != outsideHead {
		rest := b[passed:]
		end := bytes.IndexByte(rest, '\n') + 1
		complete := end > 0
		if !complete {
			end = len(rest)
		}
		if h.size += end; h.size > MaxHeadBytes {
			return passed, ErrHeadTooLarge
		}
		line := rest[:end]
		if !complete || len(h.line) > 0 {
			h.line = append(h.line, line...)
			line = h.line
		}
		if complete {
			if err := h.checkLine(bytes.TrimSuffix(line[:len(line)-1], []byte("\r"))); err != nil {
				return passed, err
			}
			h.line = h.line[:0]
		}
		passed += end
	}
	if h.part == outsideHead {
		h.line = nil
	}
	return len(b), nil
}

// checkLine checks a line without its end.
func (h *headChecker) checkLine(line []byte) error {
	switch {
	case h.part == statusLine:
		h.part = fieldLines
		return h.checkStatusLine(line)
	case len(line) > 0:
		return h.checkField(line)
	case h.interim:
		h.part = statusLine
	default:
		h.part = outsideHead
	}
	return nil
}

// checkStatusLine checks the version and the status. The reason after them has no meaning.
func (h *headChecker) checkStatusLine(line []byte) error {
	const form = "HTTP/1.x 200"
	if len(line) < len(form) || !bytes.HasPrefix(line, []byte("HTTP/1.")) || !isDigit(line[7]) || line[8] != ' ' {
		return malformed("status line %.40q", line)
	}
	status, reason := line[9:len(form)], line[len(form):]
	if !isDigit(status[1]) || !isDigit(status[2]) || len(reason) > 0 && reason[0] != ' ' {
		return malformed("status line %.40q", line)
	}
	if status[0] < '1' || status[0] > '5' {
		return malformed("status %s is not between 100 and 599", status)
	}
	if string(status) == "101" {
		return malformed("status 101 without a request to switch protocols")
	}
	h.interim, h.http10 = status[0] == '1', line[7] == '0'
	return nil
}

// checkField checks the name of a field. net/http checks its value.
func (h *headChecker) checkField(line []byte) error {
	if line[0] == ' ' || line[0] == '\t' {
		// RFC 9112, section 5.2 allows a proxy to refuse a folded line. It can't be told from a field whose
		// name begins with a blank, and may hide one that delimits the body.
		return malformed("field line begins with a blank: %.40q", line)
	}
	name, _, ok := bytes.Cut(line, []byte(":"))
	if !ok {
		return malformed("field line without a colon: %.40q", line)
	}
	if err := checkFieldName(name); err != nil {
		return err
	}
	if h.http10 && bytes.EqualFold(name, []byte("Transfer-Encoding")) {
		return malformed("HTTP/1.0 response with a transfer encoding")
	}
	return nil
}

func checkFieldName[T string | []byte](name T) error {
	if len(name) == 0 {
		return malformed("empty field name")
	}
	for i := range len(name) {
		if !isTokenByte(name[i]) {
			return malformed("field name %.40q contains %q", name, name[i])
		}
	}
	return nil
}

func isDigit(c byte) bool { return '0' <= c && c <= '9' }

// isTokenByte reports whether a byte may occur in a token of RFC 9110, section 5.6.2.
func isTokenByte(c byte) bool {
	return isDigit(c) || 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || c < 0x80 && strings.IndexByte("!#$%&'*+-.^_`|~", c) >= 0
}
