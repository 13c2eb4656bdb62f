package front

import (
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"
)

// writeTimeout is how long a caller may take to read one part of a response. A slow reader
// would otherwise hold the engine memory of its stream.
const writeTimeout = 5 * time.Second

// responseWriter writes a response to a caller. It implements relay.ResponseWriter.
type responseWriter struct {
	w          http.ResponseWriter
	rc         *http.ResponseController
	closing    func() bool
	stream     bool
	headerSent atomic.Bool
}

func (c *responseWriter) WriteHeader(status int, header http.Header, length int64) {
	h := c.w.Header()
	for name, values := range header {
		h[name] = values
	}
	if length >= 0 {
		h.Set("Content-Length", formatInt(length))
	}
	c.stream = length < 0
	if c.closing() {
		h.Set("Connection", "close")
	}
	c.w.WriteHeader(status)
	c.headerSent.Store(true)
}

// extendDeadline renews the write deadline for the last bytes, which are written after the
// handler has returned. If a stream pauses before its end, the deadline of the previous
// part has passed, and a complete response would be cut off.
func (c *responseWriter) extendDeadline() {
	if err := c.rc.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		klog.V(1).InfoS("setting write deadline failed", "err", err)
	}
}

func (c *responseWriter) Write(p []byte) error {
	if err := c.rc.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
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

// writeError responds to a request that could not be handled and closes the connection,
// because the remaining bytes cannot be separated from the next request. The deadlines
// bound how long net/http reads the rest of the body. Otherwise a caller that stalls would
// keep its connection open and block a planned stop.
func (c *responseWriter) writeError(status int, msg string) {
	h := c.w.Header()
	h.Set("Connection", "close")
	h.Set("Content-Type", "text/plain; charset=utf-8")
	h.Set("Content-Length", formatInt(int64(len(msg)+1)))
	c.w.WriteHeader(status)
	deadline := time.Now().Add(writeTimeout)
	_ = c.rc.SetReadDeadline(deadline) // net/http reads the rest of the body
	_ = c.rc.SetWriteDeadline(deadline)
	if _, err := io.WriteString(c.w, msg+"\n"); err != nil {
		klog.V(1).InfoS("writing error response failed", "err", err)
	}
}
