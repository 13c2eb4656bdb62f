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

// resting is a kept connection of a caller that has had one answer.
type resting struct {
	net.Conn
	br *bufio.Reader
	id int
}

func rest(t *testing.T, addr string, id int) *resting {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	assert.NilError(t, err)
	r := &resting{Conn: c, br: bufio.NewReader(c), id: id}
	t.Cleanup(func() { r.Close() })
	assert.NilError(t, r.send(0))
	assert.NilError(t, r.answered(0))
	return r
}

func (r *resting) target(n int) string { return fmt.Sprintf("/%d/%d", r.id, n) }

func (r *resting) send(n int) error {
	_, err := fmt.Fprintf(r, "GET %s HTTP/1.1\r\nHost: h\r\n\r\n", r.target(n))
	return err
}

// answered reads the answer to the n-th request.
func (r *resting) answered(n int) error {
	resp, err := http.ReadResponse(r.br, nil)
	if err != nil {
		return err
	}
	body, err := io.ReadAll(resp.Body)
	if err == nil && string(body) != "GET "+r.target(n)+" " {
		err = fmt.Errorf("answered %q", body)
	}
	return err
}

// A caller sends on a kept connection and finds it closed without an answer, yet
// its request reached a backend server, which dropped it as its sender was gone.
// The caller had rested until the front's idle time ended: the timer fired, and its
// function closed the connection whatever had been read from it since, while the
// request had just been taken over. Shown by sending at the instant of the timer on
// many connections: each that is closed must not have been passed on.
func TestRequestAtTheEndOfTheIdleTime(t *testing.T) {
	const conns = 400
	const idle = 300 * time.Millisecond
	const rounds = 3
	var passed sync.Map
	_, addr := serve(t, func(ctx context.Context, r *relay.Request) (*relay.Response, error) {
		passed.Store(r.Target, true)
		return echo(ctx, r)
	})
	for round := range rounds {
		var all sync.WaitGroup
		var lost, closed atomic.Int64
		for i := range conns {
			c := rest(t, addr, round*conns+i)
			at := time.Now().Add(idle + keepalive.IdleMargin(idle) - 500*time.Microsecond + time.Duration(i)*5*time.Microsecond)
			all.Go(func() {
				time.Sleep(time.Until(at))
				if c.send(1) == nil && c.answered(1) == nil {
					return
				}
				closed.Add(1)
				if _, ok := passed.Load(c.target(1)); ok {
					lost.Add(1)
				}
			})
		}
		all.Wait()
		t.Logf("%d connections, %d closed", conns, closed.Load())
		assert.Equal(t, lost.Load(), int64(0), "requests passed on and not answered")
	}
}

// A caller keeps to the idle time that the operator has announced, and finds its
// connection closed all the same. The connection came to rest under a shorter time,
// which was kept although the configuration had been changed since.
func TestLongerIdleTimeHoldsForRestingConnections(t *testing.T) {
	const short = 50 * time.Millisecond
	s, addr := serve(t, echo)
	s.Config.Apply(config(2, short), nil)
	c := rest(t, addr, 1)
	s.Config.Apply(config(3, time.Minute), nil)
	time.Sleep(short + keepalive.IdleMargin(short) + 200*time.Millisecond)
	assert.NilError(t, c.send(1))
	assert.NilError(t, c.answered(1))
}

// A caller's request has arrived when the planned stop of its router begins, and its
// connection is closed without an answer. The connection counted as at rest until the
// request's head had been read whole, and what was read after that was dropped.
func TestRequestThatArrivedBeforeTheStopIsAnswered(t *testing.T) {
	const conns = 200
	s, addr := serve(t, echo)
	var callers []*resting
	for i := range conns {
		callers = append(callers, rest(t, addr, i))
	}
	for _, c := range callers {
		assert.NilError(t, c.send(1))
	}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	assert.NilError(t, s.Shutdown(ctx))
	unanswered := 0
	for _, c := range callers {
		if err := c.answered(1); err != nil {
			unanswered++
		}
	}
	assert.Equal(t, unanswered, 0)
}
