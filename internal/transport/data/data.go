// Package data carries positions and tokens between processes, in order, over one
// long-lived Connect stream per peer. It never resends a message. Streams need far less
// processor time than jsonrpc2 notifications (docs/design/transport.md).
package data

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"

	meshv1 "github.com/skylarkwood/skylarkwood/api/mesh/v1"
	"github.com/skylarkwood/skylarkwood/api/mesh/v1/meshv1connect"
	"github.com/skylarkwood/skylarkwood/internal/fault"
	"github.com/skylarkwood/skylarkwood/internal/hlc"
	"github.com/skylarkwood/skylarkwood/internal/model"
	"github.com/skylarkwood/skylarkwood/internal/protocol/wire"
	"github.com/skylarkwood/skylarkwood/internal/state/shard"
	"github.com/skylarkwood/skylarkwood/internal/tcp"
	"github.com/skylarkwood/skylarkwood/internal/transport/guard"
	"github.com/skylarkwood/skylarkwood/internal/transport/link"
)

const (
	dialTimeout = 500 * time.Millisecond
	// maxParcel is the size in bytes of the largest parcel. A body of the largest size takes up to four
	// times as much if each of its parts has one byte.
	maxParcel = 4 << 20
)

// Pool keeps one stream per peer and opens it on first use.
type Pool struct {
	metadata *link.Metadata
	client   *http.Client
	streams  *shard.Map[string, *stream]
}

type stream struct {
	mu     sync.Mutex
	open   *connect.ClientStreamForClient[meshv1.Parcel, meshv1.CarryResponse]
	cancel context.CancelFunc
}

// NewPool returns an empty pool.
func NewPool(metadata *link.Metadata) *Pool {
	d := net.Dialer{Timeout: dialTimeout, Control: tcp.UserTimeout(link.UserTimeout)}
	return &Pool{
		metadata: metadata,
		client:   &http.Client{Transport: &http.Transport{DialContext: d.DialContext}},
		streams:  shard.New[string, *stream](),
	}
}

// Forward sends inputs to the process at a data address.
func (p *Pool) Forward(addr string, f wire.Forward) error {
	return p.send(addr, p.newParcel(f.Key, f.Epoch, f.Position, f.Data, false))
}

// SendTokens sends generated tokens to the entry at a data address.
func (p *Pool) SendTokens(addr string, t wire.Tokens) error {
	return p.send(addr, p.newParcel(t.Key, t.Epoch, t.Position, t.Data, true))
}

func (p *Pool) newParcel(k wire.RunKey, epoch, position int64, data [][]byte, tokens bool) *meshv1.Parcel {
	now := p.metadata.Clock.Now()
	return &meshv1.Parcel{
		From:      p.metadata.Self,
		Wall:      now.Wall,
		Logical:   now.Logical,
		Revision:  p.metadata.Revision(),
		Customer:  k.Customer,
		RequestId: k.ID,
		Run:       k.Run,
		Epoch:     epoch,
		Position:  position,
		Data:      data,
		Tokens:    tokens,
	}
}

// send writes a parcel to the stream of a peer. Success means only that the kernel
// accepted it. After an error the stream is closed, and the next parcel opens a new one.
func (p *Pool) send(addr string, m *meshv1.Parcel) error {
	s, _ := p.streams.GetOrPut(addr, func() *stream { return &stream{} })
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.open == nil {
		ctx, cancel := context.WithCancel(context.Background())
		c := meshv1connect.NewDataServiceClient(p.client, "http://"+addr)
		s.open, s.cancel = c.Carry(ctx), cancel
	}
	if err := s.open.Send(m); err != nil {
		s.close()
		return fault.New(fault.Unreachable, "data stream to %s: %v", addr, err)
	}
	return nil
}

func (s *stream) close() {
	if s.open != nil {
		s.cancel()
		s.open = nil
	}
}

// Close closes every stream.
func (p *Pool) Close() {
	for _, s := range p.streams.Values() {
		s.mu.Lock()
		s.close()
		s.mu.Unlock()
	}
	p.client.CloseIdleConnections()
}

// Server receives parcels. Its functions are called in the order in which a peer sent the
// parcels and must not block. Parcels for a function that is nil are dropped.
type Server struct {
	Metadata *link.Metadata
	Forward  func(ctx context.Context, from string, f wire.Forward)
	Tokens   func(t wire.Tokens)
}

// Handler returns the path and the handler of the service.
func (s *Server) Handler() (string, http.Handler) {
	path, h := meshv1connect.NewDataServiceHandler(s, connect.WithReadMaxBytes(maxParcel))
	return path, guard.WithMessages(h, maxParcel)
}

// Carry implements the DataService.
func (s *Server) Carry(ctx context.Context, in *connect.ClientStream[meshv1.Parcel]) (*connect.Response[meshv1.CarryResponse], error) {
	for in.Receive() {
		if err := link.CheckSender(in.Msg().From); err != nil {
			return nil, connect.NewError(connect.CodeInvalidArgument, err)
		}
		s.handle(ctx, in.Msg())
	}
	return connect.NewResponse(&meshv1.CarryResponse{}), in.Err()
}

func (s *Server) handle(ctx context.Context, m *meshv1.Parcel) {
	s.Metadata.Clock.Observe(hlc.Timestamp{Wall: m.Wall, Logical: m.Logical})
	s.Metadata.ObservePeerRevision(m.From, m.Revision)
	key := wire.RunKey{RequestKey: model.RequestKey{Customer: m.Customer, ID: m.RequestId}, Run: m.Run}
	switch {
	case m.Tokens && s.Tokens != nil:
		s.Tokens(wire.Tokens{Key: key, Epoch: m.Epoch, Position: m.Position, Data: m.Data})
	case !m.Tokens && s.Forward != nil:
		s.Forward(ctx, m.From, wire.Forward{Key: key, Epoch: m.Epoch, Position: m.Position, Data: m.Data})
	}
}
