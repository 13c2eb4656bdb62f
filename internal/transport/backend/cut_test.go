package backend

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/skylarkwood/skylarkwood/internal/coordination/processor"
	"github.com/skylarkwood/skylarkwood/internal/transport/selfprobe"
)

// untilClose is the framing of a response without a length, which ends with its connection.
const untilClose = "until the close"

// wholeResponses are complete responses, by their framing.
var wholeResponses = map[string]string{
	"length":        "HTTP/1.1 200 OK\r\nResponse-Signature: s\r\nContent-Length: 4\r\n\r\nbody",
	"length zero":   "HTTP/1.1 200 OK\r\nResponse-Signature: s\r\nContent-Length: 0\r\n\r\n",
	"chunks":        "HTTP/1.1 200 OK\r\nResponse-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nbo\r\n2\r\ndy\r\n0\r\n\r\n",
	"trailers":      "HTTP/1.1 200 OK\r\nResponse-Signature: s\r\nTrailer: T\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nT: 1\r\n\r\n",
	"bare newlines": "HTTP/1.1 200 OK\nResponse-Signature: s\nContent-Length: 4\n\nbody",
	"interim":       "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\nResponse-Signature: s\r\nContent-Length: 4\r\n\r\nbody",
	"old protocol":  "HTTP/1.0 200 OK\r\nResponse-Signature: s\r\nContent-Length: 4\r\n\r\nbody",
	untilClose:      "HTTP/1.1 200 OK\r\nResponse-Signature: s\r\n\r\nbody",
}

// A server stops at any byte of a response and closes or resets its connection, which is new or was
// used before. Guards against responses that look complete to the caller.
func TestResponsesCutAtAnyByteAreErrors(t *testing.T) {
	waits := monitorProcessor(t)
	for form, whole := range wholeResponses {
		for _, reset := range []bool{false, true} {
			for _, kept := range []bool{false, true} {
				name := form + map[bool]string{true: ", reset", false: ", closed"}[reset] + map[bool]string{true: ", kept connection", false: ""}[kept]
				t.Run(name, func(t *testing.T) {
					t.Parallel()
					for cut := range len(whole) {
						status, body, err := getCut(t, waits, whole[:cut], reset, kept)
						// A clean close ends a response without a length once its head is complete.
						if form == untilClose && !reset && strings.Contains(whole[:cut], "\r\n\r\n") {
							continue
						}
						assert.Check(t, err != nil, "cut after %d of %d bytes, %q: status %d, body %q", cut, len(whole), whole[max(cut-12, 0):cut], status, body)
					}
					_, _, err := getCut(t, waits, whole, false, kept)
					assert.Check(t, err == nil, "whole: %v", err)
				})
			}
		}
	}
}

// monitorProcessor keeps the wait for the processor out of the timeouts of pools, as in a router.
func monitorProcessor(t *testing.T) *processor.Monitor {
	began := time.Now()
	m := processor.New(func() time.Duration { return time.Since(began) })
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = selfprobe.Run(ctx, m, func() bool { return false }) }()
	return m
}

// getCut sends a request to a server whose response to it is text, at which its connection ends.
func getCut(t *testing.T, waits *processor.Monitor, text string, reset, kept bool) (status int, body string, err error) {
	first := true
	s := newServer(t, func(c net.Conn, _ *http.Request, _ int) bool {
		if kept && first {
			first = false
			_, _ = io.WriteString(c, ok)
			return true
		}
		_, _ = io.WriteString(c, text)
		if reset {
			time.Sleep(2 * time.Millisecond) // the response arrives before the reset
			_ = c.(*net.TCPConn).SetLinger(0)
		}
		return false
	})
	defer s.l.Close()
	p := NewPool()
	p.Processor = waits
	if kept {
		_, _, err := get(t, p, s)
		assert.NilError(t, err)
	}
	return get(t, p, s)
}
