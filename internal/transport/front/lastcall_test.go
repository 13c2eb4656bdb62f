package front

import (
	"context"
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/skylarkwood/skylarkwood/internal/protocol/relay"
)

// A request's head ends after the last call of a stop. Passed on it would be cut at once,
// and its caller told that it may have run (502). It is not passed on, and its caller is
// told so, which is a promise that it may come back on.
func TestRequestAfterTheLastCallIsNotPassedOn(t *testing.T) {
	passed := 0
	s, addr := serve(t, func(ctx context.Context, r *relay.Request) (*relay.Response, error) {
		if ctx.Err() != nil {
			return nil, relay.ErrNotSent
		}
		passed++
		<-ctx.Done()
		return nil, ctx.Err()
	})
	s.Drain()
	_ = talk(t, addr, "GET /x HTTP/1.1\r\nHost: other\r\n\r\n") // serving has begun
	s.endNow()
	for i := range 100 {
		got := talk(t, addr, fmt.Sprintf("GET /%d HTTP/1.1\r\nHost: h\r\n\r\n", i))
		assert.Check(t, strings.HasPrefix(got, "HTTP/1.1 503"), "%.40q", got)
	}
	assert.Equal(t, passed, 0)
}

// A router is paused during a planned stop. When it goes on its last call and the end of
// its time are due together, and the process ended before any answer was written: callers
// whose requests it had passed on saw their connections close.
func TestStopWhoseTimeIsOverStillAnswers(t *testing.T) {
	began := make(chan struct{})
	s, addr := serve(t, func(ctx context.Context, _ *relay.Request) (*relay.Response, error) {
		close(began)
		<-ctx.Done()
		return nil, ctx.Err()
	})
	answered := make(chan string)
	go func() { answered <- talk(t, addr, "GET /x HTTP/1.1\r\nHost: h\r\n\r\n") }()
	<-began
	over, cancel := context.WithCancel(context.Background())
	cancel()
	assert.NilError(t, s.Shutdown(over))
	got := <-answered
	assert.Assert(t, strings.HasPrefix(got, "HTTP/1.1 502"), got)
}
