package data

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/skylarkwood/skylarkwood/internal/fault"
	"github.com/skylarkwood/skylarkwood/internal/hlc"
	"github.com/skylarkwood/skylarkwood/internal/model"
	"github.com/skylarkwood/skylarkwood/internal/protocol/wire"
	"github.com/skylarkwood/skylarkwood/internal/transport/link"
)

func newMetadata(self string, observe func(string, int64)) *link.Metadata {
	return &link.Metadata{Clock: hlc.New(time.Now), Revision: func() int64 { return 7 }, ObservePeerRevision: observe, Self: self}
}

var key = wire.RunKey{RequestKey: model.RequestKey{Customer: "c", ID: "r"}, Run: "run"}

// Parcels arrive complete, in order, and with the sender's address and configuration
// revision.
func TestParcelsArriveInOrder(t *testing.T) {
	const sent = 100
	forwards := make(chan wire.Forward, sent)
	tokens := make(chan wire.Tokens, sent)
	revisions := make(chan int64, 2*sent)
	in := &Server{
		Metadata: newMetadata("server:1", func(_ string, r int64) { revisions <- r }),
		Forward: func(_ context.Context, from string, f wire.Forward) {
			assert.Check(t, from == "client:1")
			forwards <- f
		},
		Tokens: func(tk wire.Tokens) { tokens <- tk },
	}
	mux := http.NewServeMux()
	mux.Handle(in.Handler())
	srv := httptest.NewServer(mux)
	p := NewPool(newMetadata("client:1", func(string, int64) {}))
	t.Cleanup(func() { p.Close(); srv.Close() })
	addr := strings.TrimPrefix(srv.URL, "http://")
	for i := int64(0); i < sent; i++ {
		assert.NilError(t, p.Forward(addr, wire.Forward{Key: key, Epoch: 2, Position: i, Data: [][]byte{{byte(i)}}}))
		assert.NilError(t, p.SendTokens(addr, wire.Tokens{Key: key, Epoch: 2, Position: i, Data: [][]byte{{byte(i)}}}))
	}
	for i := int64(0); i < sent; i++ {
		assert.DeepEqual(t, <-forwards, wire.Forward{Key: key, Epoch: 2, Position: i, Data: [][]byte{{byte(i)}}})
		assert.Equal(t, (<-tokens).Position, i)
	}
	assert.Equal(t, <-revisions, int64(7))
}

// The sender gets an error, so that the owner learns that the next stage is lost.
func TestForwardFailsIfNothingListens(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	addr := l.Addr().String()
	l.Close()
	p := NewPool(newMetadata("client:1", func(string, int64) {}))
	defer p.Close()
	for err == nil {
		err = p.Forward(addr, wire.Forward{Key: key})
	}
	assert.Assert(t, fault.Is(err, fault.Unreachable))
}

// A peer accepts a stream and closes it. The sender gets an error, and nothing is sent
// again over another connection.
func TestBrokenStreamIsNotResent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	var conns atomic.Int64
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			conns.Add(1)
			_, _ = c.Read(make([]byte, 4096))
			c.Close()
		}
	}()
	p := NewPool(newMetadata("client:1", func(string, int64) {}))
	defer p.Close()
	for err == nil {
		err = p.Forward(l.Addr().String(), wire.Forward{Key: key, Data: [][]byte{make([]byte, 1024)}})
	}
	assert.Assert(t, fault.Is(err, fault.Unreachable))
	assert.Equal(t, conns.Load(), int64(1))
}
