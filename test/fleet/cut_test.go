package fleet

import (
	"bytes"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/skylarkwood/skylarkwood/platform/standin"
)

// cutter stands between routers and backend servers. It ends connections inside responses.
type cutter struct {
	t     *testing.T
	after atomic.Int64 // bytes of each response that pass; negative for all of them
	reset atomic.Bool
	cuts  atomic.Int64 // responses that were cut
	// bodyCuts is how many of these were cut after their head.
	bodyCuts atomic.Int64
}

// open starts a proxy of a server and returns its address.
func (c *cutter) open(server string) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(c.t, err)
	c.t.Cleanup(func() { l.Close() })
	go func() {
		for {
			router, err := l.Accept()
			if err != nil {
				return
			}
			go c.forward(router, server)
		}
	}()
	return l.Addr().String()
}

func (c *cutter) forward(router net.Conn, server string) {
	defer router.Close()
	backend, err := net.Dial("tcp", server)
	if err != nil {
		return
	}
	defer backend.Close()
	var passed atomic.Int64    // bytes of the current response
	var headPassed atomic.Bool // of the current response
	go func() {
		defer backend.Close()
		buf := make([]byte, 32<<10)
		for {
			n, err := router.Read(buf)
			if n > 0 {
				passed.Store(0)
				headPassed.Store(false)
				_, _ = backend.Write(buf[:n])
			}
			if err != nil {
				return
			}
		}
	}()
	buf := make([]byte, 32<<10)
	for {
		n, err := backend.Read(buf)
		remaining := c.after.Load() - passed.Load()
		if c.after.Load() >= 0 && int64(n) > remaining {
			_, _ = router.Write(buf[:max(remaining, 0)])
			c.end(router, headPassed.Load() || bytes.Contains(buf[:max(remaining, 0)], []byte("\r\n\r\n")))
			return
		}
		passed.Add(int64(n))
		if bytes.Contains(buf[:n], []byte("\r\n\r\n")) {
			headPassed.Store(true)
		}
		if _, werr := router.Write(buf[:n]); err != nil || werr != nil {
			return
		}
	}
}

func (c *cutter) end(router net.Conn, afterHead bool) {
	c.cuts.Add(1)
	if afterHead {
		c.bodyCuts.Add(1)
	}
	if c.reset.Load() {
		time.Sleep(2 * time.Millisecond) // the response arrives before the reset
		_ = router.(*net.TCPConn).SetLinger(0)
	}
}

// Servers stop inside the head or the body of their responses and close or reset the connection.
// Guards against incomplete responses that look complete to the caller.
func TestCutResponsesDoNotLookCompleteToTheCaller(t *testing.T) {
	const largest, step = 600, 7 // bytes; beyond the heads and into the bodies
	for _, unframed := range []bool{false, true} {
		for _, reset := range []bool{false, true} {
			t.Run(strings.Join([]string{map[bool]string{false: "framed", true: "unframed"}[unframed], map[bool]string{false: "closed", true: "reset"}[reset]}, " "), func(t *testing.T) {
				c := &cutter{t: t}
				c.after.Store(-1)
				c.reset.Store(reset)
				s := newSiteWith(t, 1, func(s *site) { s.proxy = c.open })
				for _, e := range append(s.engines, s.plain...) {
					e.SetFaults(standin.EngineFaults{Unframed: unframed})
				}
				for cut := range largest / step {
					c.after.Store(int64(cut * step))
					for _, path := range []string{"/lookup/1", "/notice/1", "/sheet/1"} {
						bodyCuts := c.bodyCuts.Load()
						rep := s.call(s.routers[0], requestSpec{path: path, body: "draft", deadline: 300 * time.Millisecond})
						if rep.err != nil || rep.status != http.StatusOK {
							continue
						}
						want, end := standin.PlainBody(rep.attempt), ""
						if path == "/sheet/1" {
							want, end = standin.ResponseBody(rep.attempt, s.fleet.Events), "\n\n"
						}
						// A clean close after the head completes a response without a length, and a stream of
						// events where an event ends.
						mayEnd := unframed && !reset && c.bodyCuts.Load() > bodyCuts && strings.HasPrefix(want, rep.body) && strings.HasSuffix(rep.body, end)
						assert.Check(t, rep.body == want || mayEnd, "%s cut after %d bytes: %d of %d bytes, status %d, end %q", path, cut*step, len(rep.body), len(want), rep.status, rep.body[max(0, len(rep.body)-80):])
					}
				}
				t.Logf("%d responses were cut", c.cuts.Load())
				assert.Check(t, c.cuts.Load() > largest/step, "%d responses were cut", c.cuts.Load())
			})
		}
	}
}
