// Package front serves callers' requests over HTTP/1.1 within the operator's limits. A
// response that cannot be completed is visibly aborted.
package front

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/skylarkwood/skylarkwood/internal/coordination/caller"
	"github.com/skylarkwood/skylarkwood/internal/coordination/clientbudget"
	"github.com/skylarkwood/skylarkwood/internal/coordination/intake"
	"github.com/skylarkwood/skylarkwood/internal/coordination/routes"
	"github.com/skylarkwood/skylarkwood/internal/fault"
	"github.com/skylarkwood/skylarkwood/internal/model"
	"github.com/skylarkwood/skylarkwood/internal/protocol/relay"
	"github.com/skylarkwood/skylarkwood/internal/transport/guard"
	"github.com/skylarkwood/skylarkwood/platform"
)

const (
	// maxHeaderBytes is the maximum size of a header, in bytes. A configuration may set
	// less.
	maxHeaderBytes = 64 << 10
	// The defaults apply until a configuration sets other values.
	defaultHeaderTimeout = 5 * time.Second
	defaultIdleTimeout   = 15 * time.Second
	defaultMaxBodyBytes  = 4 << 20
	// bodyTimeout is the time for reading a body, in addition to the header timeout.
	bodyTimeout = 10 * time.Second
)

// Server serves callers. The exported fields are set before Serve.
type Server struct {
	Config *routes.ActiveConfig
	Relay  *relay.Relay
	// Intake limits new connections. It may be nil. Advance must be called after each probe of
	// its processor.
	Intake *intake.Gate[net.Conn]
	// Budget is what the process holds for its clients. It may be nil.
	Budget *clientbudget.Budget
	// Callers are the callers of the requests in progress. It may be nil.
	Callers *caller.Callers
	// OnRequest is called for each request. It may be nil.
	OnRequest func()
	// Observer counts the ends of connections. It may be nil.
	Observer Observer

	http          http.Server
	conns         conns
	stopContext   context.Context // cancelled shortly before the end of a planned stop
	cancelPending context.CancelFunc
	draining      atomic.Bool
	active        atomic.Int64
	listener      atomic.Pointer[timedListener]
}

// Serve serves connections until Shutdown.
func (s *Server) Serve(callers net.Listener) error {
	if s.Budget != nil {
		callers = guard.Wrap(callers, guard.Options{Budget: s.Budget, Listener: clientbudget.Callers})
	}
	l := newTimedListener(callers, s.limits, s.Intake)
	l.callers = s.Callers
	s.listener.Store(l)
	// Set before the listener, as a stop that finds the listener may use them at once.
	s.stopContext, s.cancelPending = context.WithCancel(context.Background())
	if !s.conns.setListener(l) {
		return nil
	}
	s.http.Handler = http.HandlerFunc(s.handle)
	s.http.DisableGeneralOptionsHandler = true // it would respond with success
	s.http.MaxHeaderBytes = maxHeaderBytes
	s.http.ErrorLog = klogLogger()
	s.http.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, c)
	}
	s.http.ConnState = func(c net.Conn, state http.ConnState) {
		t, ok := c.(*timedConn)
		if !ok {
			return
		}
		switch state {
		case http.StateNew:
			s.conns.add(t)
		case http.StateActive:
			s.Callers.CheckIfLate()
			t.startRequest()
			l.beginRequest(t)
		case http.StateIdle:
			t.startIdle()
			if t.guarded != nil {
				t.guarded.StartIdle()
			}
			l.endRequest(t)
		case http.StateClosed, http.StateHijacked:
			l.endRequest(t)
			s.conns.remove(t)
			s.recordConnectionEnd(t)
		}
	}
	err := s.http.Serve(l)
	if s.conns.listenerClosed() {
		return nil
	}
	return errors.Wrap(err, "serve callers")
}

func (s *Server) limits() model.CallerLimits {
	l := model.CallerLimits{HeaderBytes: maxHeaderBytes, BodyBytes: defaultMaxBodyBytes, HeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout}
	active := s.Config.Load()
	if active == nil {
		return l
	}
	c := active.Config.Limits
	if c.HeaderBytes > 0 {
		l.HeaderBytes = c.HeaderBytes
	}
	if c.BodyBytes > 0 {
		l.BodyBytes = c.BodyBytes
	}
	if s.Budget != nil {
		l.BodyBytes = min(l.BodyBytes, s.Budget.Limits().LargestBody())
	}
	if c.HeaderTimeout > 0 {
		l.HeaderTimeout = c.HeaderTimeout
	}
	if c.IdleTimeout > 0 {
		l.IdleTimeout = c.IdleTimeout
	}
	return l
}

// Advance lets the intake decide again about connections that wait. again is that of Gate.Advance.
func (s *Server) Advance() (again bool) {
	l := s.listener.Load()
	return l != nil && s.Intake != nil && l.advance()
}

// closing reports whether callers should send their next request on another connection.
func (s *Server) closing() bool {
	return s.draining.Load() || s.Intake != nil && s.Intake.Exceeded()
}

// ActiveRequests returns the number of requests in progress.
func (s *Server) ActiveRequests() int64 { return s.active.Load() }

func (s *Server) handle(w http.ResponseWriter, r *http.Request) {
	s.active.Add(1)
	defer s.active.Add(-1)
	conn, ok := r.Context().Value(connKey{}).(*timedConn)
	if !ok {
		klog.ErrorS(nil, "request arrived on a connection of another listener", "caller", r.RemoteAddr)
		panic(http.ErrAbortHandler)
	}
	rc := http.NewResponseController(w)
	out := &responseWriter{w: w, rc: rc, closing: s.closing}
	defer recoverHandler(conn, out)
	if s.OnRequest != nil {
		s.OnRequest()
	}
	limits := s.limits()
	if conn.guarded != nil && !conn.guarded.HeaderRead(r) {
		s.refuseWithoutRoom(conn, out, r, "header")
		return
	}
	if headerSize(r) > limits.HeaderBytes {
		out.writeError(http.StatusRequestHeaderFieldsTooLarge, "request header is too large")
		return
	}
	body, status, err := readBody(r, rc, limits, conn.guarded)
	r.Trailer = nil
	if errors.Is(err, guard.ErrNoBodyRoom) || hasNoRoom(err) {
		s.refuseWithoutRoom(conn, out, r, "body")
		return
	}
	if err != nil {
		klog.InfoS("reading request body failed", "caller", r.RemoteAddr, "status", status, "err", err)
		out.writeError(status, err.Error())
		return
	}
	call, err := platform.DecodeCall(r, body, conn.requestReceived())
	if err != nil {
		klog.InfoS("malformed request", "caller", r.RemoteAddr, "err", err)
		f := fault.New(fault.InvalidRequest, "%v", err)
		out.writeError(f.Kind.Response().Status, f.Error())
		return
	}
	if !conn.account().Enter(clientbudget.Working) {
		s.refuseWithoutRoom(conn, out, r, "request")
		return
	}
	conn.setRequest(call)
	requester, ctx := caller.New(r.Context(), caller.Options{Request: call.Attempt, Received: call.Received, Peer: conn.peerState, NoPendingRead: conn.hasNoPendingRead, Callers: s.Callers, Observe: s.recordCallerLeft})
	defer requester.Close()
	conn.setCaller(requester)
	defer conn.setCaller(nil)
	ctx, done := s.requestContext(ctx, out)
	defer done()
	out.closing = func() bool { return s.closing() || requester.Left() }
	ctx = clientbudget.NewContext(ctx, conn.account())
	if complete := s.Relay.Serve(ctx, call, out); !complete {
		// Aborts the connection, so that the caller detects the incomplete response.
		panic(http.ErrAbortHandler)
	}
	out.extendDeadline()
	if requester.Left() {
		conn.setEndReason(EndCallerClosed, caller.ErrLeft)
	} else if r.Context().Err() == nil {
		conn.setRequest(nil)
	}
}

func headerSize(r *http.Request) int {
	n := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + 4
		}
	}
	return n
}

// readBody reads the complete body of a request. Nothing is forwarded before, so an
// incomplete body reaches no backend server.
func readBody(r *http.Request, rc *http.ResponseController, l model.CallerLimits, c *guard.Conn) (model.Body, int, error) {
	if r.ContentLength == 0 {
		return nil, 0, nil
	}
	_ = rc.SetReadDeadline(time.Now().Add(l.HeaderTimeout + bodyTimeout))
	body, err := c.ReadBody(r, l.BodyBytes)
	_ = rc.SetReadDeadline(time.Time{})
	switch {
	case err == nil:
		return body, 0, nil
	case errors.Is(err, guard.ErrBodyTooLarge):
		return nil, http.StatusRequestEntityTooLarge, errors.New("request body is too large")
	case isTimeout(err):
		return nil, http.StatusRequestTimeout, errors.New("request body not received in time")
	}
	return nil, http.StatusBadRequest, errors.Wrap(err, "read request body")
}
