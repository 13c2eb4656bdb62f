package response

import (
	"io"
	"net"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// endedConn is a connection that has received a response and its end.
type endedConn struct {
	net.Conn
	unread string
}

func (c *endedConn) Read(p []byte) (int, error) {
	if c.unread == "" {
		return 0, io.EOF
	}
	n := copy(p, c.unread)
	c.unread = c.unread[n:]
	return n, nil
}

const untilClose = "HTTP/1.1 200 OK\r\n\r\nbody"

// The upload ends before or after the response, or not at all. Guards against taking the end of a connection for
// that of a response though the kernel has reported the connection's error to the writer, and against a wait
// without an end.
func TestEndOfConnectionCountsOnlyAfterTheUpload(t *testing.T) {
	for name, c := range map[string]struct {
		end   error
		after time.Duration
		never bool
		whole bool
	}{
		"written before":        {whole: true},
		"written after":         {after: 300 * time.Millisecond, whole: true},
		"reset":                 {end: syscall.ECONNRESET},
		"reset, recorded after": {end: syscall.ECONNRESET, after: time.Millisecond},
		"broken pipe":           {end: syscall.EPIPE, after: time.Millisecond},
		"timed out":             {end: syscall.ETIMEDOUT, after: 900 * time.Millisecond},
		"closed by this side":   {end: net.ErrClosed, after: 900 * time.Millisecond},
		"stalled":               {never: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				u := NewUpload()
				switch {
				case c.never:
				case c.after == 0:
					u.End(c.end)
				default:
					time.AfterFunc(c.after, func() { u.End(c.end) })
				}
				r := NewReader(&endedConn{unread: untilClose})
				r.Begin(u)
				raw, err := io.ReadAll(r)
				assert.Equal(t, string(raw), untilClose)
				if c.whole {
					assert.NilError(t, err)
					return
				}
				assert.ErrorIs(t, err, ErrIncomplete)
				if c.end != nil {
					assert.ErrorIs(t, err, c.end)
				}
			})
		})
	}
}

// A peer that has ended its response reads the rest of the upload slowly, and then no more. Guards against giving
// up an upload that makes progress.
func TestUploadThatMakesProgressIsWaitedFor(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	for _, whole := range []bool{true, false} {
		c, err := net.Dial("tcp", l.Addr().String())
		assert.NilError(t, err)
		s, err := l.Accept()
		assert.NilError(t, err)
		u := NewUpload()
		r := NewReader(c)
		r.Begin(u)
		go func() {
			_, err := c.Write(make([]byte, 24<<20))
			u.End(err)
		}()
		go func() {
			_, _ = io.WriteString(s, untilClose)
			_ = s.(*net.TCPConn).CloseWrite()
			for range 5 {
				_, _ = io.CopyN(io.Discard, s, 2<<20)
				time.Sleep(uploadStallTimeout / 2)
			}
			if whole {
				_, _ = io.Copy(io.Discard, s)
			}
		}()
		_, err = io.ReadAll(r)
		assert.Equal(t, err == nil, whole, "%v", err)
		c.Close()
		s.Close()
	}
}
