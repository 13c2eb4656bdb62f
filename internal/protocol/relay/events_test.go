package relay

import (
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func readAll(r io.Reader) (events []string, ids []int64, err error) {
	er := eventReader{src: r}
	for {
		ev, err := er.next()
		if err != nil {
			return events, ids, err
		}
		events = append(events, string(ev.raw))
		if ev.hasID {
			ids = append(ids, ev.id)
		}
	}
}

func TestEventsAreSplitAtBlankLines(t *testing.T) {
	const stream = "id: 1\ndata: a\n\nweight-versions: 3\nid: 2\ndata: b\n\nid:3\r\ndata: c\r\n\r\n"
	events, ids, err := readAll(iotest.OneByteReader(strings.NewReader(stream)))
	assert.Equal(t, err, io.EOF)
	assert.Equal(t, strings.Join(events, ""), stream)
	assert.DeepEqual(t, ids, []int64{1, 2, 3})
}

// Guards against forwarding a partial event when an engine crashes. The next engine sends
// that event again.
func TestPartialEventIsNotReturned(t *testing.T) {
	events, _, err := readAll(strings.NewReader("id: 1\ndata: a\n\nid: 2\nda"))
	assert.Equal(t, err, errTruncatedEvent)
	assert.Equal(t, len(events), 1)
	reset := errors.New("connection reset")
	events, _, err = readAll(io.MultiReader(strings.NewReader("id: 1\ndata: a\n\nid: 2\n"), iotest.ErrReader(reset)))
	assert.Equal(t, err, reset)
	assert.Equal(t, len(events), 1)
}

func TestEndlessEventReturnsError(t *testing.T) {
	_, _, err := readAll(io.LimitReader(endlessReader{}, 3*maxEventBytes))
	assert.Equal(t, err, errEventTooLong)
}

// Guards against a search for the end of an event that begins anew with every read or event: a
// faulty engine that sends an event without an end in small pieces would take a whole processor.
func TestEachByteOfAStreamIsSearchedOnce(t *testing.T) {
	long := "data: " + strings.Repeat("x", 4096)
	for name, src := range map[string]io.Reader{
		"event without an end": iotest.OneByteReader(strings.NewReader(long)),
		"many short events":    strings.NewReader(long + strings.Repeat("\n\n", 2048)),
	} {
		r := eventReader{src: src}
		_, err := r.next()
		for ; err == nil; _, err = r.next() {
			assert.Equal(t, r.scanned, r.pos, "%s: bytes after an event were searched", name)
		}
		assert.Equal(t, r.scanned, len(r.buf), "%s: bytes are left to search", name)
	}
}

type endlessReader struct{}

func (endlessReader) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = 'x'
	}
	return len(p), nil
}

// The events do not depend on how the stream is split into reads.
func TestEventsDoNotDependOnReadSizes(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		lines := rapid.SliceOfN(rapid.StringMatching(`[a-z: ]{0,12}`), 0, 30).Draw(rt, "lines")
		stream := strings.Join(lines, "\n") + "\n\n"
		complete, _, err := readAll(strings.NewReader(stream))
		assert.Equal(rt, err, io.EOF)
		assert.Equal(rt, strings.TrimRight(strings.Join(complete, ""), "\n"), strings.TrimRight(stream, "\n"))
		pieces, _, err := readAll(iotest.OneByteReader(strings.NewReader(stream)))
		assert.Equal(rt, err, io.EOF)
		assert.DeepEqual(rt, pieces, complete)
	})
}

func FuzzEventID(f *testing.F) {
	f.Add([]byte("id: 12\ndata: x\n\n"))
	f.Fuzz(func(_ *testing.T, raw []byte) { eventID(raw) })
}
