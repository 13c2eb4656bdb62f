// Package link carries calls and notifications between processes of the
// system: jsonrpc2 over long-lived TCP connections. It never resends by itself;
// whether a message may be sent twice is for the layers above to decide.
package link

import (
	"context"
	"encoding/json"
	"net"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/jsonrpc2"
	"k8s.io/klog/v2"

	"github.com/skylarkwood/skylarkwood/internal/fault"
	"github.com/skylarkwood/skylarkwood/internal/hlc"
	"github.com/skylarkwood/skylarkwood/internal/protocol/wire"
	"github.com/skylarkwood/skylarkwood/internal/tcp"
)

// faultCode marks a jsonrpc2 error whose data is a wire.Fault.
const faultCode = 1000

// Handler answers one method. The body is the JSON of the method's message; the
// result is its reply, ignored for notifications.
type Handler func(ctx context.Context, from string, body json.RawMessage) (any, error)

// Handle makes a Handler of a function on typed messages.
func Handle[Req, Rep any](f func(ctx context.Context, from string, req Req) (Rep, error)) Handler {
	return func(ctx context.Context, from string, body json.RawMessage) (any, error) {
		var req Req
		if err := json.Unmarshal(body, &req); err != nil {
			return nil, fault.New(fault.InvalidRequest, "message cannot be read: %v", err)
		}
		return f(ctx, from, req)
	}
}

// Metadata supplies and takes in what rides on every message.
type Metadata struct {
	Clock *hlc.Clock
	// Revision reads the process's configuration revision.
	Revision func() int64
	// ObservePeerRevision is told a peer's revision; it must not block.
	ObservePeerRevision func(from string, revision int64)
	// Self is this process's link address.
	Self string

	bytes atomic.Int64
}

// Bytes is how much went over the process's links so far, both ways.
func (s *Metadata) Bytes() int64 { return s.bytes.Load() }

// countedConn counts what passes.
type countedConn struct {
	net.Conn
	total *atomic.Int64
}

func (s *Metadata) counted(c net.Conn) net.Conn { return countedConn{c, &s.bytes} }

func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.total.Add(int64(n))
	return n, err
}

func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.total.Add(int64(n))
	return n, err
}

func (s *Metadata) wrap(v any) (*wire.Envelope, error) {
	body, err := json.Marshal(v)
	if err != nil {
		return nil, errors.Wrap(err, "encode message")
	}
	return &wire.Envelope{
		Clock:    s.Clock.Now(),
		Revision: s.Revision(),
		From:     s.Self,
		Body:     body,
	}, nil
}

func (s *Metadata) take(raw *json.RawMessage) (wire.Envelope, error) {
	var env wire.Envelope
	if raw == nil {
		return env, fault.New(fault.InvalidRequest, "message has no body")
	}
	if err := json.Unmarshal(*raw, &env); err != nil {
		return env, fault.New(fault.InvalidRequest, "envelope cannot be read: %v", err)
	}
	s.Clock.Observe(env.Clock)
	s.ObservePeerRevision(env.From, env.Revision)
	return env, nil
}

// Server answers the methods of one process. Handlers are registered before
// Serve. Calls run each on its own goroutine; notifications run in the order
// of arrival on the connection's reader and must not block.
type Server struct {
	// VerifySenderHost refuses messages whose sender names another host than the one
	// that it connects from. Without it any instance could speak for a router,
	// and a configuration or an engine's end would be believed from it.
	VerifySenderHost bool

	stamp    *Metadata
	handlers map[wire.Method]Handler
	notices  map[wire.Method]NotificationHandler
}

// NewServer makes a server without methods.
func NewServer(stamp *Metadata) *Server {
	return &Server{stamp: stamp, handlers: map[wire.Method]Handler{}, notices: map[wire.Method]NotificationHandler{}}
}

// Register sets the handler of a method.
func (s *Server) Register(m wire.Method, h Handler) {
	s.handlers[m] = h
}

// Serve answers connections until the listener closes or ctx ends.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	l = tcp.RetryAccept(l)
	stop := context.AfterFunc(ctx, func() { l.Close() })
	defer stop()
	for {
		c, err := l.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return errors.Wrap(err, "accept link")
		}
		from := host(c.RemoteAddr().String())
		f := newFrames(s.stamp.counted(c), func(raw []byte) { s.noticed(raw, from) })
		// It closes itself when ctx ends. Anything else that waited for ctx would keep
		// connections that ended long ago.
		jsonrpc2.NewConn(ctx, f, &connection{Server: s, host: from})
	}
}

// connection answers what comes over one accepted connection.
type connection struct {
	*Server
	host string // where it comes from
}

// host is the host of an address; empty if that cannot be read.
func host(addr string) string {
	h, _, err := net.SplitHostPort(addr)
	if err != nil {
		return ""
	}
	return h
}

// Handle implements jsonrpc2.Handler.
func (c *connection) Handle(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	c.serve(ctx, conn, req, c.host)
}

// Handle implements jsonrpc2.Handler for calls of a peer over a connection that
// was opened here.
func (s *Server) Handle(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	s.serve(ctx, conn, req, "")
}

func (s *Server) serve(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request, from string) {
	env, err := s.stamp.take(req.Params)
	if err == nil {
		err = s.admit(env.From, from, wire.Method(req.Method))
	}
	if err != nil {
		s.reply(ctx, conn, req, nil, err)
		return
	}
	h, ok := s.handlers[wire.Method(req.Method)]
	h = contained(wire.Method(req.Method), h)
	if !ok {
		s.reply(ctx, conn, req, nil, fault.New(fault.NotFound, "no method %q", req.Method))
		return
	}
	if req.Notif {
		_, _ = h(ctx, env.From, env.Body)
		return
	}
	go func() {
		v, err := h(ctx, env.From, env.Body)
		s.reply(ctx, conn, req, v, err)
	}()
}

// admit refuses a message whose sender names another host than the one that it
// connects from, where that is checked.
func (s *Server) admit(sender, from string, m wire.Method) error {
	if !s.VerifySenderHost || host(sender) == from {
		return nil
	}
	klog.InfoS("message refused: its sender names another host", "sender", sender, "host", from, "method", m)
	return fault.New(fault.InvalidRequest, "sender %s connects from host %s", sender, from)
}

func (s *Server) reply(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request, v any, err error) {
	if req.Notif {
		return
	}
	if err != nil {
		_ = conn.ReplyWithError(ctx, req.ID, encodeFault(err))
		return
	}
	env, err := s.stamp.wrap(v)
	if err != nil {
		_ = conn.ReplyWithError(ctx, req.ID, encodeFault(err))
		return
	}
	_ = conn.Reply(ctx, req.ID, env)
}

func encodeFault(err error) *jsonrpc2.Error {
	f := fault.From(err)
	out := &jsonrpc2.Error{Code: faultCode, Message: f.Msg}
	out.SetError(wire.Fault{Kind: string(f.Kind), Msg: f.Msg, RetryAfter: f.RetryAfter})
	return out
}

func decodeFault(err error) error {
	var rpc *jsonrpc2.Error
	if !errors.As(err, &rpc) || rpc.Code != faultCode || rpc.Data == nil {
		return fault.New(fault.Unreachable, "link: %v", err)
	}
	var f wire.Fault
	if json.Unmarshal(*rpc.Data, &f) != nil {
		return fault.New(fault.Internal, "link: %v", err)
	}
	return &fault.Error{Kind: fault.Kind(f.Kind), Msg: f.Msg, RetryAfter: f.RetryAfter}
}

// dialTimeout bounds a new connection; peers are one region's round trip away.
const dialTimeout = 500 * time.Millisecond
