package front

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/skylarkwood/skylarkwood/internal/coordination/keepalive"
	"github.com/skylarkwood/skylarkwood/internal/protocol/relay"
)

// idleConn is a caller's connection that has served one request.
type idleConn struct {
	net.Conn
	br *bufio.Reader
	id int
}

func newIdleConn(t *testing.T, addr string, id int) *idleConn {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	assert.NilError(t, err)
	r := &idleConn{Conn: c, br: bufio.NewReader(c), id: id}
	t.Cleanup(func() { r.Close() })
	assert.NilError(t, r.send(0))
	assert.NilError(t, r.readResponse(0))
	return r
}

func (r *idleConn) target(n int) string { return fmt.Sprintf("/%d/%d", r.id, n) }

func (r *idleConn) send(n int) error {
	_, err := fmt.Fprintf(r, "GET %s HTTP/1.1\r\nHost: h\r\n\r\n", r.target(n))
	return err
}

// readResponse reads the response to the n-th request.
func (r *idleConn) readResponse(n int) error {
	resp, err := http.ReadResponse(r.br, nil)
	if err != nil {
		return err
	}
	body, err := io.ReadAll(resp.Body)
	if err == nil && string(body) != "GET "+r.target(n)+" " {
		err = fmt.Errorf("got response %q", body)
	}
	return err
}

// Requests are sent at the instant of the idle timeout. Guards against closing a
// connection whose request was forwarded.
func TestForwardedRequestAtTheIdleTimeoutGetsAResponse(t *testing.T) {
	const conns = 400
	const idle = 300 * time.Millisecond
	const rounds = 3
	var forwarded sync.Map
	_, addr := serve(t, func(ctx context.Context, r *relay.Request) (*relay.Response, error) {
		forwarded.Store(r.Target, true)
		return echo(ctx, r)
	})
	for round := range rounds {
		var all sync.WaitGroup
		var lost, closed atomic.Int64
		for i := range conns {
			c := newIdleConn(t, addr, round*conns+i)
			at := time.Now().Add(idle + keepalive.IdleMargin(idle) - 500*time.Microsecond + time.Duration(i)*5*time.Microsecond)
			all.Go(func() {
				time.Sleep(time.Until(at))
				if c.send(1) == nil && c.readResponse(1) == nil {
					return
				}
				closed.Add(1)
				if _, ok := forwarded.Load(c.target(1)); ok {
					lost.Add(1)
				}
			})
		}
		all.Wait()
		t.Logf("%d connections, %d closed", conns, closed.Load())
		assert.Equal(t, lost.Load(), int64(0), "requests forwarded without a response")
	}
}

// A new configuration extends the idle timeout. Connections that became idle before it
// stay open.
func TestLongerIdleTimeoutAppliesToIdleConnections(t *testing.T) {
	const short = 50 * time.Millisecond
	s, addr := serve(t, echo)
	s.Config.Apply(config(2, short), nil, "")
	c := newIdleConn(t, addr, 1)
	s.Config.Apply(config(3, time.Minute), nil, "")
	time.Sleep(short + keepalive.IdleMargin(short) + 200*time.Millisecond)
	assert.NilError(t, c.send(1))
	assert.NilError(t, c.readResponse(1))
}

// Guards against treating a connection with an unread request as idle.
func TestRequestsThatArrivedBeforeShutdownGetAResponse(t *testing.T) {
	const conns = 200
	s, addr := serve(t, echo)
	var callers []*idleConn
	for i := range conns {
		callers = append(callers, newIdleConn(t, addr, i))
	}
	for _, c := range callers {
		assert.NilError(t, c.send(1))
	}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	assert.NilError(t, s.Shutdown(ctx))
	unanswered := 0
	for _, c := range callers {
		if err := c.readResponse(1); err != nil {
			unanswered++
		}
	}
	assert.Equal(t, unanswered, 0)
}
