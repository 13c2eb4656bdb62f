package front

import (
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"
)

// writeTime is how long a caller may take to read one part of an answer.
// One that reads a byte a second would hold its stream's engine memory.
const writeTime = 5 * time.Second

// caller writes an answer. It implements relay.ResponseWriter.
type caller struct {
	w        http.ResponseWriter
	rc       *http.ResponseController
	draining *atomic.Bool
	stream   bool
	began    atomic.Bool
}

func (c *caller) WriteHeader(status int, header http.Header, length int64) {
	h := c.w.Header()
	for name, values := range header {
		h[name] = values
	}
	if length >= 0 {
		h.Set("Content-Length", formatInt(length))
	}
	c.stream = length < 0
	if c.draining.Load() {
		h.Set("Connection", "close")
	}
	c.w.WriteHeader(status)
	c.began.Store(true)
}

// ends gives the last bytes of an answer, which are written when its handler has
// returned, their own time. The time of the part before has passed where a stream
// paused longer before its end, and a whole answer would look broken off.
func (c *caller) ends() {
	if err := c.rc.SetWriteDeadline(time.Now().Add(writeTime)); err != nil {
		klog.V(1).InfoS("time for the end of an answer not set", "err", err)
	}
}

func (c *caller) Write(p []byte) error {
	if err := c.rc.SetWriteDeadline(time.Now().Add(writeTime)); err != nil {
		return err
	}
	if _, err := c.w.Write(p); err != nil {
		return err
	}
	if !c.stream {
		return nil
	}
	return c.rc.Flush()
}

// fail answers a request that could not be read; the connection is closed, as
// what follows on it cannot be told from the rest of the request. The standard server
// first reads on in a body that did not come to its end: without a bound a caller that
// stalls would keep its connection for ever, and a planned stop would wait for it.
func (c *caller) fail(status int, msg string) {
	h := c.w.Header()
	h.Set("Connection", "close")
	h.Set("Content-Type", "text/plain; charset=utf-8")
	h.Set("Content-Length", formatInt(int64(len(msg)+1)))
	c.w.WriteHeader(status)
	until := time.Now().Add(writeTime)
	_ = c.rc.SetReadDeadline(until) // the standard server reads what is left of a body
	_ = c.rc.SetWriteDeadline(until)
	if _, err := io.WriteString(c.w, msg+"\n"); err != nil {
		klog.V(1).InfoS("failure not delivered", "err", err)
	}
}
