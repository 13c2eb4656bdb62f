package relay

import (
	"bytes"
	"io"
	"strconv"

	"github.com/pkg/errors"
)

// maxEventBytes bounds the size of one event.
const maxEventBytes = 1 << 20

// event is one complete event of a stream, as the engine sent it.
type event struct {
	raw []byte
	// id is valid only if hasID is set.
	id    int64
	hasID bool
}

// eventReader splits a stream into complete events. It never returns a partial event.
type eventReader struct {
	src     io.Reader
	buf     []byte
	pos     int // start of the unread events
	scanned int // up to here, buf holds no end of the event at pos
	eof     bool
}

var (
	errTruncatedEvent = errors.New("stream truncated within an event")
	errEventTooLong   = errors.New("event exceeds the size limit")
)

// next returns the next complete event, or io.EOF if the stream ends after one. The
// event is valid until the next call.
func (r *eventReader) next() (event, error) {
	for {
		if end := r.eventEnd(); end > 0 {
			raw := r.buf[r.pos:end]
			r.pos = end
			ev := event{raw: raw}
			ev.id, ev.hasID = eventID(raw)
			return ev, nil
		}
		if r.eof {
			if len(bytes.TrimSpace(r.buf[r.pos:])) > 0 {
				return event{}, errTruncatedEvent
			}
			return event{}, io.EOF
		}
		if err := r.fill(); err != nil {
			return event{}, err
		}
	}
}

func (r *eventReader) fill() error {
	if r.pos > 0 {
		r.buf = append(r.buf[:0], r.buf[r.pos:]...)
		r.scanned -= r.pos
		r.pos = 0
	}
	if len(r.buf) > maxEventBytes {
		return errEventTooLong
	}
	if cap(r.buf)-len(r.buf) < 2048 {
		r.buf = append(make([]byte, 0, 2*cap(r.buf)+4096), r.buf...)
	}
	n, err := r.src.Read(r.buf[len(r.buf):cap(r.buf)])
	r.buf = r.buf[:len(r.buf)+n]
	if err == io.EOF {
		r.eof = true
		return nil
	}
	return err
}

// eventEnd returns the end in buf of the event at pos, including its blank line; 0 if it is
// incomplete. It examines each byte once, however many reads and events the bytes come in.
func (r *eventReader) eventEnd() int {
	for {
		i := bytes.IndexByte(r.buf[r.scanned:], '\n')
		if i < 0 {
			r.scanned = len(r.buf)
			return 0
		}
		r.scanned += i + 1
		line := r.buf[r.pos:r.scanned]
		if bytes.HasSuffix(line, []byte("\n\n")) || bytes.HasSuffix(line, []byte("\r\n\r\n")) {
			return r.scanned
		}
	}
}

func eventID(raw []byte) (int64, bool) {
	for len(raw) > 0 {
		line, rest, _ := bytes.Cut(raw, []byte("\n"))
		raw = rest
		value, ok := bytes.CutPrefix(line, []byte("id:"))
		if !ok {
			continue
		}
		n, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
		return n, err == nil
	}
	return 0, false
}

// errNoEvents reports that an engine closed the connection of a response without a length before
// the first event. A process that exits does so too, so that the stream is not known to be complete.
var errNoEvents = errors.New("connection closed before the first event")

// errOutOfOrder reports that an engine skipped an event.
var errOutOfOrder = errors.New("event id out of sequence")
