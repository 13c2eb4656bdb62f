package link

import (
	"bytes"
	"context"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/skylarkwood/skylarkwood/internal/coordination/clientbudget"
	"github.com/skylarkwood/skylarkwood/internal/fault"
	"github.com/skylarkwood/skylarkwood/internal/protocol/wire"
)

// serveWithin serves a method within a memory for clients in bytes. Hosts are known peers.
func serveWithin(t *testing.T, memory int64, reply func() any) (addr string, b *clientbudget.Budget) {
	t.Helper()
	started := time.Now()
	limits := clientbudget.Limits{Memory: memory, Connections: map[clientbudget.Listener]int{clientbudget.Peers: 10, clientbudget.Callers: 10}}
	b = clientbudget.New(limits, func() time.Duration { return time.Since(started) })
	addr = serve(t, func(s *Server) {
		s.Clients = b
		s.KnownPeer = func(string) bool { return true }
		s.Register("reply", Handle(func(context.Context, string, echo) (any, error) { return reply(), nil }))
	})
	return addr, b
}

// Guards against a reply that is encoded without room for it, whose caller waits for ever.
func TestReplyWithoutRoomEndsItsConnection(t *testing.T) {
	addr, b := serveWithin(t, 1<<20, func() any { return wire.CancelReply{Body: make([]byte, 1<<20)} })
	p := NewPool(newMetadata("127.0.0.1:1"))
	defer p.Close()
	err := p.Call(t.Context(), addr, "reply", echo{}, nil)
	assert.Assert(t, fault.Is(err, fault.Unreachable), "%v", err)
	waitForConnections(t, b, 0)
	assert.Equal(t, b.Usage().Bytes, int64(0))
}

// Guards against a reply whose memory is not given back, because its connection ended while it was written.
func TestReplyGivesItsMemoryBackOnce(t *testing.T) {
	var calls, released atomic.Int64
	body := bytes.Repeat([]byte("b"), 4<<20)
	addr, b := serveWithin(t, 64<<20, func() any {
		calls.Add(1)
		return wire.CallReply{Body: body, Release: func() { released.Add(1) }}
	})
	p := NewPool(newMetadata("127.0.0.1:1"))
	p.Clients = b
	var reply wire.CallReply
	assert.NilError(t, p.Call(t.Context(), addr, "reply", echo{}, &reply))
	assert.Assert(t, bytes.Equal(reply.Body, body))
	ctx, cancel := context.WithCancel(t.Context())
	go func() { _ = p.Call(ctx, addr, "reply", echo{}, &reply) }()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if calls.Load() < 2 {
			return poll.Continue("%d calls", calls.Load())
		}
		return poll.Success()
	})
	cancel()
	p.Close()
	waitForConnections(t, b, 0)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if held, n := b.Usage().Bytes, released.Load(); held != 0 || n != 2 {
			return poll.Continue("%d bytes held, released %d times", held, n)
		}
		return poll.Success()
	})
}

func waitForConnections(t *testing.T, b *clientbudget.Budget, n int) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if open := b.Usage().Connections[clientbudget.Peers]; open != n {
			return poll.Continue("%d connections", open)
		}
		return poll.Success()
	})
}

// Guards against a reply that cannot be encoded, whose caller waits for ever.
func TestReplyThatCannotBeEncodedIsAnError(t *testing.T) {
	addr, _ := serveWithin(t, 1<<20, func() any { return func() {} })
	p := NewPool(newMetadata("127.0.0.1:1"))
	defer p.Close()
	err := p.Call(t.Context(), addr, "reply", echo{}, nil)
	assert.Assert(t, fault.Is(err, fault.Internal), "%v", err)
}
