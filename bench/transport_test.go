package bench

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"

	platformv1 "github.com/skylarkwood/skylarkwood/api/platform/v1"
	"github.com/skylarkwood/skylarkwood/internal/hlc"
	"github.com/skylarkwood/skylarkwood/internal/model"
	"github.com/skylarkwood/skylarkwood/internal/protocol/wire"
	"github.com/skylarkwood/skylarkwood/internal/transport/link"
)

func newMetadata(self string) *link.Metadata {
	return &link.Metadata{
		Clock:               hlc.New(time.Now),
		Revision:            func() int64 { return 1 },
		ObservePeerRevision: func(string, int64) {},
		Self:                self,
	}
}

func newForward() wire.Forward {
	key := wire.RunKey{RequestKey: model.RequestKey{Customer: "skola-manus", ID: "01M8VY6QR820EVP4AZJGZMYMWQ"}, Run: "01M8VY6QR820EVP4AZJGZMYMWR"}
	return wire.Forward{Key: key, Epoch: 1, Position: 100, Data: [][]byte{make([]byte, 8)}}
}

// BenchmarkForwardByLink measures one position sent between stages as a jsonrpc2
// notification, with both ends in this process.
func BenchmarkForwardByLink(b *testing.B) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(b, err)
	ctx, stop := context.WithCancel(context.Background())
	received := make(chan struct{}, 1024)
	srv := link.NewServer(newMetadata(l.Addr().String()))
	srv.Register("bench.forward", link.Handle(func(context.Context, string, wire.Forward) (struct{}, error) {
		received <- struct{}{}
		return struct{}{}, nil
	}))
	done := make(chan error, 1)
	go func() { done <- srv.Serve(ctx, l) }()
	pool := link.NewPool(newMetadata("me:1"))
	b.Cleanup(func() { pool.Close(); stop(); <-done })
	msg := newForward()
	go func() {
		for i := 0; i < b.N; i++ {
			_ = pool.Notify(ctx, l.Addr().String(), "bench.forward", msg)
		}
	}()
	for i := 0; i < b.N; i++ {
		<-received
	}
}

// BenchmarkForwardByStream measures a message of the same content on a Connect stream.
func BenchmarkForwardByStream(b *testing.B) {
	const path = "/bench/Forward"
	received := make(chan struct{}, 1024)
	mux := http.NewServeMux()
	mux.Handle(path, connect.NewClientStreamHandler(path,
		func(_ context.Context, s *connect.ClientStream[platformv1.StepRequest]) (*connect.Response[platformv1.StepResponse], error) {
			for s.Receive() {
				received <- struct{}{}
			}
			return connect.NewResponse(&platformv1.StepResponse{}), s.Err()
		}))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(b, err)
	srv := &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}
	go func() { _ = srv.Serve(l) }()
	b.Cleanup(func() { _ = srv.Close() })
	c := connect.NewClient[platformv1.StepRequest, platformv1.StepResponse](http.DefaultClient, "http://"+l.Addr().String()+path)
	stream := c.CallClientStream(context.Background())
	f := newForward()
	msg := &platformv1.StepRequest{Session: f.Key.String(), Position: f.Position, Fence: f.Epoch, Inputs: f.Data}
	go func() {
		for i := 0; i < b.N; i++ {
			_ = stream.Send(msg)
		}
	}()
	for i := 0; i < b.N; i++ {
		<-received
	}
	_, _ = stream.CloseAndReceive()
}
