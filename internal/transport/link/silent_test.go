package link

import (
	"context"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// waitTimeout bounds the wait for what must happen at once.
const waitTimeout = 10 * time.Second

// A peer has lost power, and another sender is connecting to it. Guards against calls, and resets
// after them, that outlast their own cancellation because they wait for that attempt.
func TestCallEndsWithItsContextWhileAnotherSenderConnects(t *testing.T) {
	p := NewPool(newMetadata("me:1"))
	defer p.Close()
	connecting, release := make(chan struct{}, 2), make(chan struct{})
	p.dial = func(context.Context, string) (net.Conn, error) {
		connecting <- struct{}{}
		<-release
		return nil, net.ErrClosed
	}
	other := make(chan error, 1)
	go func() { other <- p.Notify(context.Background(), "peer", "n", echo{}) }()
	<-connecting

	ended := make(chan error, 1)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	go func() {
		err := p.Call(ctx, "peer", "echo", echo{"x"}, nil)
		p.Reset("peer")
		ended <- err
	}()
	select {
	case err := <-ended:
		assert.Check(t, err != nil)
	case <-time.After(waitTimeout):
		t.Error("the call waits for the attempt of another sender to connect")
	}
	close(release)
	assert.Assert(t, <-other != nil)
}
