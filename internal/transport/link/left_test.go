package link

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/skylarkwood/skylarkwood/internal/fault"
)

// A caller cancels its call while another call waits on the same connection. Guards
// against closing the connection under the other call.
func TestCancelledCallDoesNotFailItsConnection(t *testing.T) {
	reached, release := make(chan struct{}, 2), make(chan struct{})
	addr := serve(t, func(s *Server) {
		s.Register("slow", Handle(func(_ context.Context, _ string, e echo) (echo, error) {
			reached <- struct{}{}
			<-release
			return e, nil
		}))
	})
	p := NewPool(newMetadata("me:1"))
	defer p.Close()
	var got echo
	other, cancelled := make(chan error, 1), make(chan error, 1)
	go func() { other <- p.Call(context.Background(), addr, "slow", echo{"1"}, &got) }()
	<-reached
	ctx, cancel := context.WithCancel(context.Background())
	go func() { cancelled <- p.Call(ctx, addr, "slow", echo{"2"}, nil) }()
	<-reached
	cancel()
	assert.Assert(t, fault.Is(<-cancelled, fault.Unreachable))
	p.Reset(addr)
	close(release)
	assert.NilError(t, <-other)
	assert.Equal(t, got.Text, "1")
}
