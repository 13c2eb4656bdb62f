// Package link carries calls and notifications between the processes of the system with
// jsonrpc2 over long-lived TCP connections. It never resends a message. The layers above
// decide whether a message may be sent twice.
package link

import (
	"context"
	"encoding/json"
	"net"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/jsonrpc2"
	"k8s.io/klog/v2"

	"github.com/skylarkwood/skylarkwood/internal/coordination/clientbudget"
	"github.com/skylarkwood/skylarkwood/internal/fault"
	"github.com/skylarkwood/skylarkwood/internal/hlc"
	"github.com/skylarkwood/skylarkwood/internal/protocol/wire"
	"github.com/skylarkwood/skylarkwood/internal/tcp"
	"github.com/skylarkwood/skylarkwood/internal/transport/guard"
)

// writeTimeout is how long whoever connected may take to read a part of a response. Its connection is
// useless after that, as a part of the message was written.
const writeTimeout = 5 * time.Second

// faultCode is the code of a jsonrpc2 error whose data is a wire.Fault.
const faultCode = 1000

// Handler handles the messages of one method. body is the JSON of the message. The result
// is the reply and is ignored for notifications.
type Handler func(ctx context.Context, from string, body json.RawMessage) (any, error)

// Handle returns a Handler that calls a function on typed messages.
func Handle[Req, Rep any](f func(ctx context.Context, from string, req Req) (Rep, error)) Handler {
	return func(ctx context.Context, from string, body json.RawMessage) (any, error) {
		var req Req
		if err := json.Unmarshal(body, &req); err != nil {
			return nil, fault.New(fault.InvalidRequest, "decode message: %v", err)
		}
		return f(ctx, from, req)
	}
}

// Metadata supplies and receives the metadata of each message.
type Metadata struct {
	Clock *hlc.Clock
	// Revision returns the configuration revision of this process.
	Revision func() int64
	// ObservePeerRevision is called with the revision of a peer. It must not block.
	ObservePeerRevision func(from string, revision int64)
	// Self is the link address of this process.
	Self string

	bytes atomic.Int64
}

// Bytes returns the bytes read and written on the links of the process so far.
func (s *Metadata) Bytes() int64 { return s.bytes.Load() }

// countingConn counts the bytes read and written.
type countingConn struct {
	net.Conn
	total *atomic.Int64
}

func (s *Metadata) countBytes(c net.Conn) net.Conn { return countingConn{c, &s.bytes} }

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.total.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.total.Add(int64(n))
	return n, err
}

func (s *Metadata) newEnvelope(v any) (*wire.Envelope, error) {
	body, err := json.Marshal(v)
	if err != nil {
		return nil, errors.Wrap(err, "encode message")
	}
	env := s.header()
	env.Body = body
	return &env, nil
}

// header returns an envelope without a body.
func (s *Metadata) header() wire.Envelope {
	return wire.Envelope{Clock: s.Clock.Now(), Revision: s.Revision(), From: s.Self}
}

func (s *Metadata) openEnvelope(raw *json.RawMessage) (wire.Envelope, error) {
	var env wire.Envelope
	if raw == nil {
		return env, fault.New(fault.InvalidRequest, "message has no envelope")
	}
	if err := json.Unmarshal(*raw, &env); err != nil {
		return env, fault.New(fault.InvalidRequest, "decode envelope: %v", err)
	}
	if err := CheckSender(env.From); err != nil {
		return env, err
	}
	s.Clock.Observe(env.Clock)
	s.ObservePeerRevision(env.From, env.Revision)
	return env, nil
}

// maxSender is the size in bytes of the longest address of a sender: a host name and a port.
const maxSender = 253 + 6

// CheckSender returns an error if the address of a sender is none, as receivers keep what they know of
// senders by address. A sender that takes no messages has an empty one.
func CheckSender(from string) error {
	if from == "" {
		return nil
	}
	_, port, err := net.SplitHostPort(from)
	if err == nil {
		_, err = strconv.ParseUint(port, 10, 16)
	}
	if err != nil || len(from) > maxSender {
		return fault.New(fault.InvalidRequest, "sender %.64q is no address of a process", from)
	}
	return nil
}

// Server serves the methods of one process. Handlers are registered before Serve. Each
// call runs on its own goroutine. Notifications run in the order of arrival on the
// connection's reader and must not block.
type Server struct {
	// VerifySenderHost rejects messages whose sender names another host than the one it
	// connects from. Otherwise any instance could impersonate a router and send a
	// configuration or report an engine exit.
	VerifySenderHost bool
	// Clients is what the process holds for whoever connects. It may be nil.
	Clients *clientbudget.Budget
	// KnownPeer reports whether a host is that of another process of the system. It may be nil.
	KnownPeer func(host string) bool

	metadata      *Metadata
	handlers      map[wire.Method]Handler
	notifications map[wire.Method]NotificationHandler
}

// NewServer returns a server without methods.
func NewServer(metadata *Metadata) *Server {
	return &Server{metadata: metadata, handlers: map[wire.Method]Handler{}, notifications: map[wire.Method]NotificationHandler{}}
}

// Register sets the handler of a method.
func (s *Server) Register(m wire.Method, h Handler) {
	s.handlers[m] = h
}

// Serve accepts connections until the listener closes or ctx is done.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	l = tcp.RetryAccept(l)
	if s.Clients != nil {
		l = guard.Wrap(l, guard.Options{Budget: s.Clients, Listener: clientbudget.Peers, KnownPeer: s.KnownPeer, WriteTimeout: writeTimeout, NotHTTP: true})
	}
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
		from := hostOf(c.RemoteAddr().String())
		f := newFrames(s.metadata.countBytes(c), func(raw []byte) { s.handleNotification(raw, from) })
		if g, ok := c.(*guard.Conn); ok {
			f.account = g.Account()
			f.account.Enter(clientbudget.Reading)
		}
		// The connection closes itself when ctx is done. Anything else that waits for ctx
		// would keep closed connections in memory.
		jsonrpc2.NewConn(ctx, f, &serverConn{Server: s, host: from, frames: f})
	}
}

// serverConn serves the messages of one connection.
type serverConn struct {
	*Server
	host   string // host of the peer; empty if this process opened the connection
	frames *frames
}

// hostOf returns the host of an address, or an empty string if the address is malformed.
func hostOf(addr string) string {
	h, _, err := net.SplitHostPort(addr)
	if err != nil {
		return ""
	}
	return h
}

// Handle implements jsonrpc2.Handler. What was taken for a message is given back once it was handled and,
// if it is a call, its reply was written.
func (c *serverConn) Handle(ctx context.Context, _ *jsonrpc2.Conn, req *jsonrpc2.Request) {
	done := c.frames.handOver()
	env, err := c.metadata.openEnvelope(req.Params)
	if err == nil {
		err = c.verifySender(env.From, c.host, wire.Method(req.Method))
	}
	h, ok := c.handlers[wire.Method(req.Method)]
	if err == nil && !ok {
		err = fault.New(fault.NotFound, "no method %q", req.Method)
	}
	if err != nil {
		defer done()
		c.reply(req, nil, err)
		return
	}
	h = recoverCall(wire.Method(req.Method), h)
	if req.Notif {
		defer done()
		_, _ = h(ctx, env.From, env.Body)
		return
	}
	go func() {
		defer done()
		v, err := h(ctx, env.From, env.Body)
		c.reply(req, v, err)
	}()
}

// verifySender returns an error if VerifySenderHost is set and the sender names another
// host than the one it connects from.
func (s *Server) verifySender(sender, from string, m wire.Method) error {
	if !s.VerifySenderHost || hostOf(sender) == from {
		return nil
	}
	klog.InfoS("message rejected: sender names another host", "sender", sender, "host", from, "method", m)
	return fault.New(fault.InvalidRequest, "sender %s connects from host %s", sender, from)
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

// dialTimeout is the timeout for opening a connection. Peers are in the same region.
const dialTimeout = 500 * time.Millisecond
