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
	// writeTime is how long a caller may take to read one part of an answer.
	// One that reads a byte a second would hold its stream's engine memory.
	writeTime = 5 * time.Second
	// lastCall is kept of a planned stop's time to answer requests that have no
	// answer yet. An answer of the router's own takes a millisecond to make and a few
	// to its caller; the rest is for a router that is short of processor time.
	lastCall = 200 * time.Millisecond
)

// Server serves callers.
type Server struct {
	Config *routes.Current
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

// Drain begins a planned stop: callers are still served, and each is asked to
// use another connection next time.
func (s *Server) Drain() { s.draining.Store(true) }

// Shutdown takes no more connections and waits for what runs. A request that has
// arrived on a resting connection is still served. Shortly before ctx ends, requests
// without an answer get one of the router's own, which says whether they may have run:
// cut off by the process's end, their callers would know nothing.
func (s *Server) Shutdown(ctx context.Context) error {
	s.Drain()
	s.conns.retire()
	running, cancel := earlier(ctx, lastCall)
	defer cancel()
	if s.conns.wait(running) == nil {
		return nil
	}
	klog.InfoS("last call: requests without an answer are ended", "active", s.Active())
	s.endNow()
	return s.conns.wait(ctx)
}

// earlier ends before ctx does.
func earlier(ctx context.Context, by time.Duration) (context.Context, context.CancelFunc) {
	until, ok := ctx.Deadline()
	if !ok {
		return context.WithCancel(ctx)
	}
	return context.WithDeadline(ctx, until.Add(-by))
}

// until gives the context of a request, which ends with its connection, or at the last
// call where it has no answer by then. One that comes after the last call begins with a
// context that has ended, so that nothing of it is sent: what ends contexts at the call
// runs beside the request, and would come after the send.
func (s *Server) until(r *http.Request, out *caller) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(r.Context())
	stop := context.AfterFunc(s.ending, func() {
		if !out.began.Load() {
			cancel(relay.ErrStopping)
		}
	})
	if s.ending.Err() != nil {
		cancel(relay.ErrStopping)
	}
	return ctx, func() {
		stop()
		cancel(nil)
	}
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
		out.fail(f.Kind.Answer().Status, f.Error())
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
	var timeout net.Error
	switch {
	case err == nil:
		return body, 0, nil
	case errors.As(err, &tooLarge):
		return nil, http.StatusRequestEntityTooLarge, errors.New("body is too large")
	case errors.As(err, &timeout) && timeout.Timeout():
		return nil, http.StatusRequestTimeout, errors.New("body took too long")
	}
	return nil, http.StatusBadRequest, errors.Wrap(err, "body cannot be read")
}

// caller writes an answer. It implements relay.Caller.
type caller struct {
	w        http.ResponseWriter
	rc       *http.ResponseController
	draining *atomic.Bool
	stream   bool
	began    atomic.Bool
}

func (c *caller) Begin(status int, header http.Header, length int64) {
	h := c.w.Header()
	for name, values := range header {
		h[name] = values
	}
	if length >= 0 {
		h.Set("Content-Length", formatInt(length))
	}
	c.stream = length < 0
	if c.draining.Load() {
		h.Set("Connection", "close")
	}
	c.w.WriteHeader(status)
	c.began.Store(true)
}

// ends gives the last bytes of an answer, which are written when its handler has
// returned, their own time. The time of the part before has passed where a stream
// paused longer before its end, and a whole answer would look broken off.
func (c *caller) ends() {
	if err := c.rc.SetWriteDeadline(time.Now().Add(writeTime)); err != nil {
		klog.V(1).InfoS("time for the end of an answer not set", "err", err)
	}
}

func (c *caller) Write(p []byte) error {
	if err := c.rc.SetWriteDeadline(time.Now().Add(writeTime)); err != nil {
		return err
	}
	if _, err := c.w.Write(p); err != nil {
		return err
	}
	if !c.stream {
		return nil
	}
	return c.rc.Flush()
}

// fail answers a request that could not be read; the connection is closed, as
// what follows on it cannot be told from the rest of the request. The standard server
// first reads on in a body that did not come to its end: without a bound a caller that
// stalls would keep its connection for ever, and a planned stop would wait for it.
func (c *caller) fail(status int, msg string) {
	h := c.w.Header()
	h.Set("Connection", "close")
	h.Set("Content-Type", "text/plain; charset=utf-8")
	h.Set("Content-Length", formatInt(int64(len(msg)+1)))
	c.w.WriteHeader(status)
	until := time.Now().Add(writeTime)
	_ = c.rc.SetReadDeadline(until) // the standard server reads what is left of a body
	_ = c.rc.SetWriteDeadline(until)
	if _, err := io.WriteString(c.w, msg+"\n"); err != nil {
		klog.V(1).InfoS("failure not delivered", "err", err)
	}
}
