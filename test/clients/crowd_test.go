//go:build clients

package clients

import (
	"bufio"
	"errors"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/skylarkwood/skylarkwood/internal/daemon"
)

// scale multiplies the number of clients of each crowd. The bounds stay.
var scale = flag.Float64("scale", 1, "size of the crowds, as a multiple of the usual")

// crowd is a number of clients that connect at once, send something and stay.
type crowd struct {
	addr    string
	clients int
	// send writes what a client sends. It ends early if the connection is closed.
	send func(c *conn) error
	// incomplete means that no client completes a request.
	incomplete bool
	// ethernet means that clients send segments as on a network. On loopback they are larger than the receive
	// buffers, and a sender may wait for its timer before each.
	ethernet bool

	mu      sync.Mutex
	conns   []*conn
	answers []answer
}

// conn is the connection of one client of a crowd.
type conn struct {
	net.Conn
	attempt string
}

// run connects all clients and returns once each has sent what it sends, or can't send any more.
func (c *crowd) run(t *testing.T) {
	t.Helper()
	deadline := time.Now().Add(crowdTimeout)
	var wg sync.WaitGroup
	for range int(*scale * float64(c.clients)) {
		wg.Go(func() {
			nc, err := c.dial()
			if err != nil {
				return // the queue of the listener is full or the process has ended
			}
			cc := &conn{Conn: nc, attempt: daemon.NewID()}
			c.mu.Lock()
			c.conns = append(c.conns, cc)
			c.mu.Unlock()
			_ = nc.SetDeadline(deadline)
			_ = c.send(cc) // fails once the process has refused the client
		})
	}
	wg.Wait()
	assert.Assert(t, time.Now().Before(deadline), "the process neither read nor closed the connections of the crowd")
}

func (c *crowd) dial() (net.Conn, error) {
	const segment = 1448 // bytes
	d := net.Dialer{Timeout: crowdTimeout}
	if c.ethernet {
		d.Control = func(_, _ string, raw syscall.RawConn) (err error) {
			ctlErr := raw.Control(func(fd uintptr) {
				err = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, segment)
			})
			return errors.Join(ctlErr, err)
		}
	}
	return d.Dial("tcp", c.addr)
}

// leave reads what the clients were answered and closes their connections.
func (c *crowd) leave() {
	var wg sync.WaitGroup
	for _, cc := range c.conns {
		wg.Go(func() {
			a := answer{attempt: cc.attempt, status: readStatus(cc)}
			cc.Close()
			c.mu.Lock()
			c.answers = append(c.answers, a)
			c.mu.Unlock()
		})
	}
	wg.Wait()
}

// readStatus returns the status of a response that has arrived; 0 if there is none.
func readStatus(cc *conn) int {
	_ = cc.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
	resp, err := http.ReadResponse(bufio.NewReader(cc), nil)
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

func (c *crowd) attempts() []answer { return c.answers }

func (c *crowd) statuses() map[int]int {
	out := map[int]int{}
	for _, a := range c.answers {
		out[a.status]++
	}
	return out
}

// head returns the head of a request with further header lines.
func (c *conn) head(path string, lines ...string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nAttempt-Id: %s\r\n%s\r\n", path, c.attempt, strings.Join(append(lines, ""), "\r\n"))
}

func (c *conn) write(text string) error {
	_, err := c.Write([]byte(text))
	return err
}

// sharedBytes is what bodies consist of. Clients write from it, so that a crowd needs no memory.
var sharedBytes = []byte(strings.Repeat("b", 4<<20))

// writeBytes writes n bytes, a piece at a time.
func (c *conn) writeBytes(n, piece int, pause time.Duration) error {
	for n > 0 {
		p := min(n, piece)
		if _, err := c.Write(sharedBytes[:p]); err != nil {
			return err
		}
		n -= p
		time.Sleep(pause)
	}
	return nil
}

// writeChunks writes n bytes in chunks, without the last byte of the last one.
func (c *conn) writeChunks(n, chunk int) error {
	var b []byte
	for n > 0 {
		p := min(n, chunk)
		n -= p
		b = fmt.Appendf(b, "%x\r\n", p)
		if n == 0 {
			p--
		}
		b = append(b, sharedBytes[:p]...)
		if n > 0 {
			b = append(b, '\r', '\n')
		}
		if const64KB := 64 << 10; len(b) >= const64KB || n == 0 {
			if _, err := c.Write(b); err != nil {
				return err
			}
			b = b[:0]
		}
	}
	return nil
}

// fields returns header lines of a size, with names as short as possible.
func fields(size int) string {
	const digits = "abcdefghijklmnopqrstuvwxyz"
	var b strings.Builder
	for i := 0; b.Len() < size; i++ {
		b.WriteByte(digits[i%26])
		b.WriteByte(digits[i/26%26])
		b.WriteByte(digits[i/26/26%26])
		b.WriteString(":\r\n")
	}
	return b.String()
}

// ReadByte implements io.ByteReader.
func (c *conn) ReadByte() (byte, error) {
	var b [1]byte
	_, err := io.ReadFull(c, b[:])
	return b[0], err
}

// skip reads and discards n bytes.
func (c *conn) skip(n int) error {
	_, err := io.CopyN(io.Discard, c, int64(n))
	return err
}
