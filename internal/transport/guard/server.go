package guard

import (
	"context"
	"log"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/skylarkwood/skylarkwood/internal/coordination/clientbudget"
)

// Limits of the servers that are not for requests of a router's callers.
const (
	serverHeaderBytes   = 16 << 10
	serverHeaderTimeout = 5 * time.Second
	serverIdleTimeout   = time.Minute
	serverWriteTimeout  = 5 * time.Second
	serverBodyTimeout   = 15 * time.Second
)

type connKey struct{}

// ConnOf returns the connection of a request; nil if its server is not one of NewServer.
func ConnOf(ctx context.Context) *Conn {
	c, _ := ctx.Value(connKey{}).(*Conn)
	return c
}

// NewServer returns a server for listeners of Wrap.
func NewServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: serverHeaderTimeout,
		IdleTimeout:       serverIdleTimeout,
		MaxHeaderBytes:    serverHeaderBytes,
		ErrorLog:          log.New(errorLog{}, "", 0),
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, c)
		},
		ConnState: func(c net.Conn, state http.ConnState) {
			if g, ok := c.(*Conn); ok && state == http.StateIdle {
				g.StartIdle()
			}
		},
	}
}

// Serve serves the connections of a listener within a budget.
func Serve(srv *http.Server, l net.Listener, o Options) error {
	o.WriteTimeout = serverWriteTimeout
	return srv.Serve(Wrap(l, o))
}

type errorLog struct{}

func (errorLog) Write(p []byte) (int, error) {
	klog.V(1).InfoS("net/http reported an error on a connection", "msg", strings.TrimSpace(string(p)))
	return len(p), nil
}

// ErrNoRequestRoom means that there is no room for a request of which nothing was handed on.
var ErrNoRequestRoom = errors.New("no room for the request")

// Refuse responds to a request for which there is no room, or whose body is too large.
type Refuse func(w http.ResponseWriter, r *http.Request, why error, retryAfter time.Duration)

// refuseWith ends the connection of a request after the response.
func refuseWith(refuse Refuse, w http.ResponseWriter, r *http.Request, why error) {
	c := ConnOf(r.Context())
	account := c.Account()
	klog.InfoS("request refused", "client", r.RemoteAddr, "path", r.URL.Path, "length", r.ContentLength, "why", why)
	if c != nil {
		c.AllowLastResponse()
	}
	deadline := time.Now().Add(serverWriteTimeout)
	rc := http.NewResponseController(w)
	_ = rc.SetWriteDeadline(deadline) // fails if the connection is closed, as the response does
	w.Header().Set("Connection", "close")
	refuse(w, r, why, account.RetryAfter())
	_ = rc.SetReadDeadline(time.Unix(1, 0)) // net/http reads nothing more
}

// Account returns the account of the connection; nil if the connection is nil.
func (c *Conn) Account() *clientbudget.Account {
	if c == nil {
		return nil
	}
	return c.account
}

// headerRead is HeaderRead; a nil connection has room for each header.
func (c *Conn) headerRead(r *http.Request) bool { return c == nil || c.HeaderRead(r) }

// WithoutBody serves requests that have no body. One with a body is refused.
func WithoutBody(h http.Handler) http.Handler {
	refuse := func(w http.ResponseWriter, _ *http.Request, why error, _ time.Duration) {
		status := http.StatusServiceUnavailable
		if errors.Is(why, ErrBodyTooLarge) {
			status = http.StatusRequestEntityTooLarge
		}
		w.WriteHeader(status)
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := ConnOf(r.Context())
		switch {
		case r.ContentLength != 0:
			refuseWith(refuse, w, r, ErrBodyTooLarge)
		case !c.headerRead(r), !c.Account().Enter(clientbudget.Working):
			refuseWith(refuse, w, r, ErrNoRequestRoom)
		default:
			h.ServeHTTP(w, r)
		}
	})
}
