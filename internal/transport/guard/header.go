package guard

import (
	"bytes"
	"net/http"
)

const (
	// fieldCost is the memory in bytes that a header field takes besides its text: entries of the
	// header as decoded, as kept for the server, and as sent to it.
	fieldCost = 400
	// headerByteCost is the memory in bytes for each byte of a header, which is kept in several forms.
	headerByteCost = 4
	// bufferedBytes is the size in bytes of the buffer through which net/http reads.
	bufferedBytes = 4 << 10
)

// HeaderCost returns the memory in bytes that the header of a request takes.
func HeaderCost(r *http.Request) int64 {
	size := len(r.RequestURI) + len(r.Host)
	fields := 0
	for name, values := range r.Header {
		for _, v := range values {
			size += len(name) + len(v)
			fields++
		}
	}
	return cost(size, fields)
}

func cost(size, lines int) int64 { return int64(size)*headerByteCost + int64(lines)*fieldCost }

// headerMeter computes what the header of a request takes while it is read. Before it has ended,
// nothing is known but the bytes and the line ends.
type headerMeter struct {
	active bool
	// carried is set if bytes of the header may have been read with the request before.
	carried   bool
	total     int64 // bytes read of the request
	headerLen int64 // up to the empty line; 0 if that was not read
	bodyLen   int64 // -1 if unknown
	// lineLen is the length of the line that is read, without its line end.
	lineLen int
	// newest and before are what was read last, together at least what net/http may still have in its
	// buffer. It also reads single bytes past its buffer while a request is in progress.
	newest, before span
}

// span is a part of what was read.
type span struct{ size, lines int }

// begin starts a header.
func (m *headerMeter) begin() { m.active = true }

// read returns the cost of bytes that were read, if they may be of a header.
func (m *headerMeter) read(p []byte) int64 {
	m.remember(p[max(0, len(p)-bufferedBytes):])
	if !m.active {
		m.total += int64(len(p))
		return 0
	}
	if m.headerLen == 0 && !m.carried {
		m.findEnd(p)
	}
	m.total += int64(len(p))
	return cost(len(p), bytes.Count(p, []byte{'\n'}))
}

func (m *headerMeter) remember(p []byte) {
	m.newest.size += len(p)
	m.newest.lines += bytes.Count(p, []byte{'\n'})
	if m.newest.size >= bufferedBytes {
		m.before, m.newest = m.newest, span{}
	}
}

// findEnd looks for the empty line that ends the header.
func (m *headerMeter) findEnd(p []byte) {
	for i, b := range p {
		switch b {
		case '\n':
			if m.lineLen == 0 && m.total+int64(i) > 1 { // empty lines before the request do not count
				m.headerLen = m.total + int64(i) + 1
				return
			}
			m.lineLen = 0
		case '\r':
		default:
			m.lineLen++
		}
	}
}

// end ends the header of a request whose body has a length; -1 if that is not known.
func (m *headerMeter) end(bodyLen int64) {
	m.active = false
	m.bodyLen = bodyLen
}

// buffered ends the request and returns the cost of what may have been read of the next one.
func (m *headerMeter) buffered() int64 {
	if m.headerLen > 0 && m.bodyLen >= 0 && m.total == m.headerLen+m.bodyLen {
		*m = headerMeter{}
		return 0
	}
	size, lines := min(m.before.size+m.newest.size, bufferedBytes), m.before.lines+m.newest.lines
	*m = headerMeter{carried: true, before: m.before, newest: m.newest}
	return cost(size, lines)
}
