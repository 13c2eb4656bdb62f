// Package front takes callers' requests over HTTP/1.1, within the operator's
// limits, and gives them their answers whole or visibly broken off.
package front

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/skylarkwood/skylarkwood/internal/coordination/routes"
	"github.com/skylarkwood/skylarkwood/internal/fault"
	"github.com/skylarkwood/skylarkwood/internal/model"
	"github.com/skylarkwood/skylarkwood/internal/protocol/relay"
	"github.com/skylarkwood/skylarkwood/platform"
)

const (
	// headerCeiling is the most that a head may have before a configuration
	// says less, in bytes.
	headerCeiling = 64 << 10
	// defaultHeaderTime and defaultBody hold until a configuration says more.
	defaultHeaderTime = 5 * time.Second
	defaultIdle       = 15 * time.Second
	defaultBody       = 4 << 20
	// bodyTime is how long a body may take, beyond the header's time.
	bodyTime = 10 * time.Second
)

// Server serves callers.
type Server struct {
	Config *routes.ActiveConfig
	Relay  *relay.Relay
	// OnRequest is told of each request; nil for nobody.
	OnRequest func()
	// Observer counts the ends of connections; nil for nobody.
	Observer Observer

	http     http.Server
	conns    conns
	ending   context.Context // ends at the last call of a planned stop
	endNow   context.CancelFunc
	draining atomic.Bool
	active   atomic.Int64
}

// Serve answers connections until Shutdown.
func (s *Server) Serve(callers net.Listener) error {
	l := &timedListener{Listener: callers, limits: s.limits}
	// Before the listener is known: a stop that finds it may need this at once.
	s.ending, s.endNow = context.WithCancel(context.Background())
	if !s.conns.listen(l) {
		return nil
	}
	s.http.Handler = http.HandlerFunc(s.handle)
	s.http.DisableGeneralOptionsHandler = true // it would give a success of its own
	s.http.MaxHeaderBytes = headerCeiling
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
			t.take()
		case http.StateIdle:
			t.rest()
		case http.StateClosed, http.StateHijacked:
			s.conns.remove(t)
			s.ended(t)
		}
	}
	err := s.http.Serve(l)
	if s.conns.listened() {
		return nil
	}
	return errors.Wrap(err, "serve callers")
}

func (s *Server) limits() model.CallerLimits {
	l := model.CallerLimits{HeaderBytes: headerCeiling, BodyBytes: defaultBody, HeaderTime: defaultHeaderTime, IdleTime: defaultIdle}
	table := s.Config.Load()
	if table == nil {
		return l
	}
	c := table.Config.Limits
	if c.HeaderBytes > 0 {
		l.HeaderBytes = c.HeaderBytes
	}
	if c.BodyBytes > 0 {
		l.BodyBytes = c.BodyBytes
	}
	if c.HeaderTime > 0 {
		l.HeaderTime = c.HeaderTime
	}
	if c.IdleTime > 0 {
		l.IdleTime = c.IdleTime
	}
	return l
}

// Active counts the requests in progress.
func (s *Server) Active() int64 { return s.active.Load() }

func (s *Server) handle(w http.ResponseWriter, r *http.Request) {
	s.active.Add(1)
	defer s.active.Add(-1)
	conn, ok := r.Context().Value(connKey{}).(*timedConn)
	if !ok {
		klog.ErrorS(nil, "request on a connection that is not the front's", "caller", r.RemoteAddr)
		panic(http.ErrAbortHandler)
	}
	rc := http.NewResponseController(w)
	out := &caller{w: w, rc: rc, draining: &s.draining}
	defer recovered(conn, out)
	if s.OnRequest != nil {
		s.OnRequest()
	}
	limits := s.limits()
	if headSize(r) > limits.HeaderBytes {
		out.fail(http.StatusRequestHeaderFieldsTooLarge, "head of the request is too large")
		return
	}
	body, status, err := readBody(w, r, rc, limits)
	if err != nil {
		klog.InfoS("body not read", "caller", r.RemoteAddr, "status", status, "err", err)
		out.fail(status, err.Error())
		return
	}
	call, err := platform.DecodeCall(r, body, time.Now())
	if err != nil {
		klog.InfoS("request malformed", "caller", r.RemoteAddr, "err", err)
		f := fault.New(fault.InvalidRequest, "%v", err)
		out.fail(f.Kind.Response().Status, f.Error())
		return
	}
	conn.serving(call)
	ctx, done := s.until(r, out)
	defer done()
	if whole := s.Relay.Serve(ctx, call, out); !whole {
		// Breaks the connection off, so that the caller sees that the answer
		// is not whole.
		panic(http.ErrAbortHandler)
	}
	out.ends()
	if r.Context().Err() == nil {
		conn.serving(nil)
	}
}

func headSize(r *http.Request) int {
	n := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + 4
		}
	}
	return n
}

// readBody reads a request's body whole. Nothing is sent on before: a body that
// stops half-way reaches no backend server.
func readBody(w http.ResponseWriter, r *http.Request, rc *http.ResponseController, l model.CallerLimits) ([]byte, int, error) {
	if r.ContentLength == 0 {
		return nil, 0, nil
	}
	if r.ContentLength > l.BodyBytes {
		return nil, http.StatusRequestEntityTooLarge, errors.New("body is too large")
	}
	_ = rc.SetReadDeadline(time.Now().Add(l.HeaderTime + bodyTime))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, l.BodyBytes))
	_ = rc.SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		return body, 0, nil
	case errors.As(err, &tooLarge):
		return nil, http.StatusRequestEntityTooLarge, errors.New("body is too large")
	case isTimeout(err):
		return nil, http.StatusRequestTimeout, errors.New("body took too long")
	}
	return nil, http.StatusBadRequest, errors.Wrap(err, "body cannot be read")
}
