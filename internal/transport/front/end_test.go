package front

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/skylarkwood/skylarkwood/internal/protocol/relay"
)

// A connection ends while a request is in progress on it, or while it rests. Its
// caller sees the same in each case, no whole answer; whoever looks into it later
// must be able to tell the causes apart.
func TestWhyAConnectionEnded(t *testing.T) {
	const request = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n"
	began := make(chan struct{})
	for name, c := range map[string]struct {
		u    upstream
		play func(net.Conn)
		// panics has the handler panic before it knows the request.
		panics bool
		want   ended
	}{
		"caller leaves under its request": {
			u: func(ctx context.Context, _ *relay.Request) (*relay.Response, error) {
				close(began)
				<-ctx.Done()
				return nil, ctx.Err()
			},
			play: func(c net.Conn) { <-began; c.Close() },
			want: ended{EndCallerClosed, true},
		},
		"handler panics": {u: echo, panics: true, want: ended{EndPanic, false}},
		"rests too long": {u: echo, want: ended{EndIdleTimeout, false}},
		"caller leaves at rest": {
			u: echo,
			play: func(c net.Conn) {
				_, err := io.ReadFull(c, make([]byte, 15)) // the answer has come
				assert.Check(t, err)
				c.Close()
			},
			want: ended{EndCallerClosed, false},
		},
	} {
		t.Run(name, func(t *testing.T) {
			s, addr := serve(t, c.u)
			if c.panics {
				s.OnRequest = func() { panic("a fault of ours") }
			}
			conn, err := net.Dial("tcp", addr)
			assert.NilError(t, err)
			defer conn.Close()
			_, err = io.WriteString(conn, request)
			assert.NilError(t, err)
			if c.play != nil {
				c.play(conn)
			}
			assert.Equal(t, <-s.Observer.(ends), c.want)
		})
	}
}

// A head that does not end is the caller's fault, and told as such.
func TestSlowHeadIsTold(t *testing.T) {
	s, addr := serve(t, echo)
	got := talk(t, addr, "GET / HTTP/1.1\r\nHost: h\r\nX: ")
	assert.Assert(t, strings.HasPrefix(got, "HTTP/1.1 408"), got)
	assert.Equal(t, <-s.Observer.(ends), ended{EndHeaderTimeout, false})
}

// The handler of a request panics, and its caller's connection is closed without an
// answer: the caller cannot tell whether to come back. Nothing of an answer had been
// sent, so there is room for one that promises nothing.
func TestPanicIsAnswered(t *testing.T) {
	s, addr := serve(t, echo)
	s.OnRequest = func() { panic("a fault of ours") }
	got := talk(t, addr, "GET /x HTTP/1.1\r\n"+lastHead+"\r\n")
	assert.Assert(t, strings.HasPrefix(got, "HTTP/1.1 500"), got)
}

// clockedWriter keeps the deadline of what is written.
type clockedWriter struct {
	http.ResponseWriter
	deadline time.Time
}

func (w *clockedWriter) SetWriteDeadline(t time.Time) error {
	w.deadline = t
	return nil
}

func (w *clockedWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// A stream's last event is written, and its end comes later than the time that a caller
// has to read one part. The answer is whole, yet its last bytes find the deadline of
// the last event passed, and the caller sees it broken off.
func TestEndOfAnAnswerHasItsOwnTime(t *testing.T) {
	w := &clockedWriter{ResponseWriter: httptest.NewRecorder()}
	out := &caller{w: w, rc: http.NewResponseController(w), draining: &atomic.Bool{}}
	out.WriteHeader(http.StatusOK, nil, -1)
	assert.NilError(t, out.Write([]byte("id: 1\n\n")))
	w.deadline = time.Now().Add(-time.Second)
	out.ends()
	assert.Assert(t, w.deadline.After(time.Now()))
}
