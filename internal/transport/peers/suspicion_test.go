package peers

import (
	"context"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/skylarkwood/skylarkwood/internal/coordination/chains"
	"github.com/skylarkwood/skylarkwood/internal/coordination/limits"
	"github.com/skylarkwood/skylarkwood/internal/model"
	"github.com/skylarkwood/skylarkwood/internal/transport/link"
)

// Peers whose streams use a silent engine learned of the suspicion with the next heartbeat,
// after they had moved their streams to it.
func TestSuspicionReachesUsersOfTheEngineAtOnce(t *testing.T) {
	engine := model.Incarnation{ID: "i-1"}
	heard := make(chan string, 10)
	newPeer := func() string {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		addr := l.Addr().String()
		srv := link.NewServer(metadataOf(addr))
		x := &Exchange{Self: addr, HandlePeerSuspicion: func(inc model.Incarnation) {
			if inc == engine {
				heard <- addr
			}
		}}
		x.Register(srv)
		ctx, stop := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() { done <- srv.Serve(ctx, l) }()
		t.Cleanup(func() { stop(); assert.NilError(t, <-done) })
		return addr
	}
	user, other := newPeer(), newPeer()
	x := &Exchange{
		Self: "self:1", Pool: link.NewPool(metadataOf("self:1")), Now: time.Now, Usage: chains.NewUsageTracker(time.Now),
		RetryBorrower: &limits.RetryBorrower{Now: time.Now},
	}
	x.Register(link.NewServer(metadataOf("self:1")))
	t.Cleanup(x.Pool.Close)
	x.Usage.SetPeerUsage(user, map[model.Incarnation]chains.Usage{engine: {Streams: 2}}, time.Minute)
	x.Usage.SetPeerUsage(other, map[model.Incarnation]chains.Usage{{ID: "i-2"}: {Streams: 2}}, time.Minute)
	x.AnnounceSuspect(engine, time.Now().Add(time.Minute))
	assert.Equal(t, <-heard, user)
	x.AnnounceSuspect(engine, time.Now().Add(2*time.Minute)) // extended, no news
	x.AnnounceSuspect(model.Incarnation{ID: "i-2"}, time.Now().Add(time.Minute))
	select {
	case addr := <-heard:
		t.Fatalf("%s was told again or without streams there", addr)
	case <-time.After(200 * time.Millisecond):
	}
}
