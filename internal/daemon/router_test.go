package daemon

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/skylarkwood/skylarkwood/internal/model"
	external "github.com/skylarkwood/skylarkwood/internal/platform"
	"github.com/skylarkwood/skylarkwood/internal/settings"
	"github.com/skylarkwood/skylarkwood/platform"
)

// emptyStore responds to the first read once open is closed, with a configuration without
// routes. All other calls fail.
type emptyStore struct {
	external.Store
	open chan struct{}
}

func (s *emptyStore) Range(ctx context.Context, _ string) (external.Page, error) {
	select {
	case <-s.open:
		return external.Page{Items: []external.Item{{Key: platform.ConfigKey, Value: []byte(`{"version":1}`), Revision: 1}}, Revision: 1}, nil
	case <-ctx.Done():
		return external.Page{}, external.ErrUnavailable
	}
}

func (s *emptyStore) Watch(ctx context.Context, _ string, _ model.Revision, _ time.Duration) (external.Page, error) {
	<-ctx.Done()
	return external.Page{}, external.ErrUnavailable
}

func (s *emptyStore) Grant(context.Context, time.Duration) (external.LeaseID, time.Duration, error) {
	return 0, 0, external.ErrUnavailable
}

func (s *emptyStore) Commit(context.Context, external.Txn) (model.Revision, error) {
	return 0, external.ErrUnavailable
}

// failingListener is a listener whose socket fails once broken is closed.
type failingListener struct {
	net.Listener
	broken chan struct{}
}

func (l *failingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	select {
	case <-l.broken:
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: syscall.EBADF}
	default:
		return c, err
	}
}

func testRouter(t *testing.T, store external.Store) *Router {
	s := settings.Default()
	s.Role = model.RoleRouter
	s.Instance = "r"
	s.FailureDomain = "a"
	s.Router.Grace = settings.Duration(time.Second)
	for _, addr := range []*string{&s.Router.Callers, &s.Router.Ready, &s.Router.Peers} {
		var err error
		*addr, err = FreeAddress()
		assert.NilError(t, err)
	}
	return NewRouter(s, store)
}

// Guards against a process that exits at once when its listener for callers fails: requests in
// progress must get their responses first.
func TestRequestsFinishAfterCallerListenerFails(t *testing.T) {
	store := &emptyStore{open: make(chan struct{})}
	r := testRouter(t, store)
	callers := &failingListener{broken: make(chan struct{})}
	r.listen = func(addr string) (net.Listener, error) {
		l, err := listenTCP(addr)
		if err == nil && addr == r.settings.Router.Callers {
			callers.Listener = l
			return callers, nil
		}
		return l, err
	}
	ended := make(chan error, 1)
	go func() { ended <- r.Run(t.Context()) }()
	c := dial(t, r.settings.Router.Callers)
	_, err := c.Write([]byte("GET /x HTTP/1.1\r\nHost: h\r\nAttempt-Id: a1\r\n\r\n"))
	assert.NilError(t, err)
	for r.front.ActiveRequests() == 0 {
		runtime.Gosched()
	}
	close(callers.broken)
	dial(t, r.settings.Router.Callers) // wakes Accept
	for !r.draining.Load() {
		select {
		case err := <-ended:
			t.Fatalf("process exits with a request in progress: %v", err)
		default:
			runtime.Gosched()
		}
	}
	close(store.open)
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	assert.NilError(t, err)
	_, err = io.ReadAll(response.Body)
	assert.NilError(t, err, "response is truncated")
	assert.ErrorIs(t, <-ended, syscall.EBADF)
}

// dial connects to a process that is starting.
func dial(t *testing.T, addr string) net.Conn {
	for {
		c, err := net.Dial("tcp", addr)
		if err == nil {
			t.Cleanup(func() { c.Close() })
			return c
		}
		runtime.Gosched()
	}
}

// Where a router's memory goes could not be seen on a running one.
func TestProfilesAreServedBesideTheMetrics(t *testing.T) {
	h := testRouter(t, &emptyStore{}).metricsHandler()
	for path, status := range map[string]int{"/metrics": 200, "/debug/pprof/heap": 200, "/debug/pprof/cmdline": 404, "/debug/pprof/goroutine": 404} {
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest(http.MethodGet, path, nil))
		assert.Equal(t, w.Code, status, path)
	}
}
