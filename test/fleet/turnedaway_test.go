package fleet

import (
	"context"
	"net"
	"net/http"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/skylarkwood/skylarkwood/platform/standin"
)

// gate is one router's way to the store.
type gate struct {
	store *standin.StoreServer

	mu  sync.Mutex
	how string        // "" serves the router; otherwise one of turnedAwayHow
	cut chan struct{} // closed when how changes
}

// turnedAwayHow are the ways in which the store turns a router away.
var turnedAwayHow = []string{"rejected", "reset", "silent"}

// openGate starts a way to the store and returns its address.
func (s *site) openGate(name string) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(s.t, err)
	g := &gate{store: &standin.StoreServer{Store: s.store}, cut: make(chan struct{})}
	server := &http.Server{Handler: g}
	go func() { _ = server.Serve(l) }()
	s.t.Cleanup(func() { server.Close() })
	if s.gates == nil {
		s.gates = map[string]*gate{}
	}
	s.gates[name] = g
	return l.Addr().String()
}

func (g *gate) turnAway(how string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.how = how
	close(g.cut)
	g.cut = make(chan struct{})
}

func (g *gate) state() (how string, cut <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.how, g.cut
}

// ServeHTTP implements http.Handler. A watch that waits when the router is turned away ends as new
// calls do.
func (g *gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	how, cut := g.state()
	if how == "" {
		g.serve(w, r, cut)
		return
	}
	g.refuse(w, r, how)
}

func (g *gate) serve(w http.ResponseWriter, r *http.Request, cut <-chan struct{}) {
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		select {
		case <-cut:
			cancel()
		case <-stop:
		}
	}()
	answer := &heldAnswer{ResponseWriter: w}
	g.store.ServeHTTP(answer, r.WithContext(ctx))
	if how, _ := g.state(); how != "" && ctx.Err() != nil {
		g.refuse(w, r, how)
		return
	}
	answer.send()
}

// heldAnswer holds an answer back until it is known whether the router still gets it.
type heldAnswer struct {
	http.ResponseWriter
	status int
	body   []byte
}

func (a *heldAnswer) WriteHeader(status int) { a.status = status }

func (a *heldAnswer) Write(p []byte) (int, error) {
	a.body = append(a.body, p...)
	return len(p), nil
}

func (a *heldAnswer) send() {
	if a.status != 0 {
		a.ResponseWriter.WriteHeader(a.status)
	}
	_, _ = a.ResponseWriter.Write(a.body)
}

func (g *gate) refuse(w http.ResponseWriter, r *http.Request, how string) {
	switch how {
	case "rejected":
		w.WriteHeader(http.StatusServiceUnavailable)
	case "reset":
		if c, _, err := http.NewResponseController(w).Hijack(); err == nil {
			_ = c.(*net.TCPConn).SetLinger(0)
			c.Close()
		}
	default:
		<-r.Context().Done()
	}
}

// The store turns away the routers that watch it and serves the others. Guards against routers
// that stay with an old configuration, as their sources no longer learn of changes, until the
// store serves the watchers again.
func TestConfigurationReachesRoutersWhoseWatchersAreTurnedAway(t *testing.T) {
	for _, how := range turnedAwayHow {
		t.Run(how, func(t *testing.T) {
			s := newSiteWith(t, 8, func(s *site) { s.gated = true })
			s.eventually("two routers of each domain watch the store", func() bool { return s.watchingCount() == 4 })
			for _, r := range s.routers {
				if r.r.Watching() {
					s.gates[r.settings.Instance].turnAway(how)
				}
			}
			s.replaceKey("key-1", "key-3", 0)
		})
	}
}
