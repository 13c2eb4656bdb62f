package front

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/skylarkwood/skylarkwood/internal/protocol/relay"
)

// Each cause of an ended connection is reported with its own reason.
func TestConnectionEndReportsItsReason(t *testing.T) {
	const request = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n"
	began := make(chan struct{})
	for name, c := range map[string]struct {
		u    upstream
		play func(net.Conn)
		// panics makes the handler panic before it knows the request.
		panics bool
		want   ended
	}{
		"caller disconnects during its request": {
			u: func(ctx context.Context, _ *relay.Request) (*relay.Response, error) {
				close(began)
				<-ctx.Done()
				return nil, ctx.Err()
			},
			play: func(c net.Conn) { <-began; c.Close() },
			want: ended{EndCallerClosed, true},
		},
		"handler panics":              {u: echo, panics: true, want: ended{EndPanic, false}},
		"connection is idle too long": {u: echo, want: ended{EndIdleTimeout, false}},
		"caller disconnects while idle": {
			u: echo,
			play: func(c net.Conn) {
				_, err := io.ReadFull(c, make([]byte, 15)) // the response has arrived
				assert.Check(t, err)
				c.Close()
			},
			want: ended{EndCallerClosed, false},
		},
	} {
		t.Run(name, func(t *testing.T) {
			s, addr := serve(t, c.u)
			if c.panics {
				s.OnRequest = func() { panic("handler fails") }
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

// An incomplete header gets status 408 and is reported as a header timeout.
func TestSlowHeaderIsRejected(t *testing.T) {
	s, addr := serve(t, echo)
	got := talk(t, addr, "GET / HTTP/1.1\r\nHost: h\r\nX: ")
	assert.Assert(t, strings.HasPrefix(got, "HTTP/1.1 408"), got)
	assert.Equal(t, <-s.Observer.(ends), ended{EndHeaderTimeout, false})
}

// A handler panics before a response was started. The caller gets status 500, not only a
// closed connection.
func TestPanicGetsAnErrorResponse(t *testing.T) {
	s, addr := serve(t, echo)
	s.OnRequest = func() { panic("handler fails") }
	got := talk(t, addr, "GET /x HTTP/1.1\r\n"+finalHeader+"\r\n")
	assert.Assert(t, strings.HasPrefix(got, "HTTP/1.1 500"), got)
}

// deadlineWriter records the write deadline.
type deadlineWriter struct {
	http.ResponseWriter
	deadline time.Time
}

func (w *deadlineWriter) SetWriteDeadline(t time.Time) error {
	w.deadline = t
	return nil
}

func (w *deadlineWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// A stream ends after the write deadline of its last event has passed. Guards against
// cutting off a complete response.
func TestEndOfAResponseGetsANewDeadline(t *testing.T) {
	w := &deadlineWriter{ResponseWriter: httptest.NewRecorder()}
	out := &responseWriter{w: w, rc: http.NewResponseController(w), closing: func() bool { return false }}
	out.WriteHeader(http.StatusOK, nil, -1)
	assert.NilError(t, out.Write([]byte("id: 1\n\n")))
	w.deadline = time.Now().Add(-time.Second)
	out.extendDeadline()
	assert.Assert(t, w.deadline.After(time.Now()))
}
