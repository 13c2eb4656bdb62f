package link

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/skylarkwood/skylarkwood/internal/fault"
)

// A request's caller leaves while its call to a peer is under way. The connection has
// not failed: nobody waited for the answer any more. When another sender, whose own
// connection went silent before, drops "the connection", the calls of others that are
// being answered on it must not be cut off.
func TestCallThatWasLeftIsNoFailureOfItsConnection(t *testing.T) {
	reached, answer := make(chan struct{}, 2), make(chan struct{})
	addr := serve(t, func(s *Server) {
		s.Register("slow", Handle(func(_ context.Context, _ string, e echo) (echo, error) {
			reached <- struct{}{}
			<-answer
			return e, nil
		}))
	})
	p := NewPool(newStamp("me"))
	defer p.Close()
	var got echo
	stays, leaves := make(chan error, 1), make(chan error, 1)
	go func() { stays <- p.Call(context.Background(), addr, "slow", echo{"1"}, &got) }()
	<-reached
	ctx, leave := context.WithCancel(context.Background())
	go func() { leaves <- p.Call(ctx, addr, "slow", echo{"2"}, nil) }()
	<-reached
	leave()
	assert.Assert(t, fault.Is(<-leaves, fault.Unreachable))
	p.Reset(addr)
	close(answer)
	assert.NilError(t, <-stays)
	assert.Equal(t, got.Text, "1")
}
