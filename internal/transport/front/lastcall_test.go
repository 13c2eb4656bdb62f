package front

import (
	"context"
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/skylarkwood/skylarkwood/internal/protocol/relay"
)

// A request whose header arrives after cancelPending is not forwarded and gets status 503,
// so that its caller may retry it.
func TestRequestAfterCancelPendingIsNotForwarded(t *testing.T) {
	forwarded := 0
	s, addr := serve(t, func(ctx context.Context, r *relay.Request) (*relay.Response, error) {
		if ctx.Err() != nil {
			return nil, relay.ErrNotSent
		}
		forwarded++
		<-ctx.Done()
		return nil, ctx.Err()
	})
	s.Drain()
	_ = talk(t, addr, "GET /x HTTP/1.1\r\nHost: other\r\n\r\n") // Serve has started
	s.cancelPending()
	for i := range 100 {
		got := talk(t, addr, fmt.Sprintf("GET /%d HTTP/1.1\r\nHost: h\r\n\r\n", i))
		assert.Check(t, strings.HasPrefix(got, "HTTP/1.1 503"), "%.40q", got)
	}
	assert.Equal(t, forwarded, 0)
}

// A router is suspended until the end of its planned stop. Requests in progress still get
// a response.
func TestShutdownAfterItsDeadlineStillResponds(t *testing.T) {
	began := make(chan struct{})
	s, addr := serve(t, func(ctx context.Context, _ *relay.Request) (*relay.Response, error) {
		close(began)
		<-ctx.Done()
		return nil, ctx.Err()
	})
	response := make(chan string)
	go func() { response <- talk(t, addr, "GET /x HTTP/1.1\r\nHost: h\r\n\r\n") }()
	<-began
	done, cancel := context.WithCancel(context.Background())
	cancel()
	assert.NilError(t, s.Shutdown(done))
	got := <-response
	assert.Assert(t, strings.HasPrefix(got, "HTTP/1.1 502"), got)
}
