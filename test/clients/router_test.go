//go:build clients

package clients

import (
	"bytes"
	"encoding/json"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pelletier/go-toml/v2"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/skylarkwood/skylarkwood/internal/daemon"
	"github.com/skylarkwood/skylarkwood/internal/model"
	"github.com/skylarkwood/skylarkwood/internal/settings"
	"github.com/skylarkwood/skylarkwood/platform"
	"github.com/skylarkwood/skylarkwood/platform/standin"
)

// Limits of the router under test and of its callers. The bound of its memory is the stated limit.
const (
	routerMemoryMB  = 96
	maxBodyBytes    = 1 << 20
	maxHeaderBytes  = 16 << 10
	headerTimeoutMS = 5000
	idleTimeoutMS   = 15000
	// largeResponse is the size of the responses on the route large.
	largeResponse = 1 << 20
	waitTimeout   = 30 * time.Second
	crowdTimeout  = 60 * time.Second
)

// server is a backend server that records what it runs.
type server struct {
	mu   sync.Mutex
	runs map[string]int // by attempt
	held chan struct{}  // closed when requests on the route held are answered
}

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	attempt := r.Header.Get("Attempt-Id")
	if attempt != "" {
		s.mu.Lock()
		s.runs[attempt]++
		s.mu.Unlock()
	}
	body := []byte("answer to " + attempt)
	switch {
	case strings.HasPrefix(r.URL.Path, "/held/"):
		select {
		case <-s.held:
		case <-r.Context().Done():
			return
		}
	case strings.HasPrefix(r.URL.Path, "/large/"):
		body = bytes.Repeat([]byte("x"), largeResponse)
	}
	w.Header().Set("Attempt-Id", attempt)
	w.Header().Set("Response-Signature", "sig-"+attempt)
	_, _ = w.Write(body) // fails if the router has left
}

func (s *server) ran(attempt string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[attempt]
}

// router is a router process with the platform's stand-ins and a backend server.
type router struct {
	*process
	settings settings.Settings
	server   *server
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { l.Close() })
	return l
}

func freeAddress(t *testing.T) string {
	t.Helper()
	a, err := daemon.FreeAddress()
	assert.NilError(t, err)
	return a
}

// startRouter starts a router. descriptors limits its open descriptors; 0 keeps the limit of the test.
func startRouter(t *testing.T, descriptors int) *router {
	t.Helper()
	return startRouterLoggingTo(t, descriptors, nil)
}

// startRouterLoggingTo is startRouter with a file for the log; nil keeps it for the report of a failure.
func startRouterLoggingTo(t *testing.T, descriptors int, log *os.File) *router {
	t.Helper()
	return startRouterConfigured(t, descriptors, log, configuration(t))
}

// startRouterConfigured is startRouterLoggingTo with a configuration.
func startRouterConfigured(t *testing.T, descriptors int, log *os.File, config []byte) *router {
	t.Helper()
	r := &router{server: &server{runs: map[string]int{}, held: make(chan struct{})}}
	store := standin.NewStore()
	storeListener, serverListener := listen(t), listen(t)
	go func() { _ = http.Serve(storeListener, &standin.StoreServer{Store: store}) }()
	go func() { _ = http.Serve(serverListener, r.server) }()
	store.Put(platform.ConfigKey, config)
	entry, err := json.Marshal(map[string]any{"service": "notices", "address": serverListener.Addr().String(), "zone": "a", "slots": 1000, "state": "ready", "born": 1})
	assert.NilError(t, err)
	store.Put("servers/i-1", entry)
	s := settings.Default()
	s.Role = model.RoleRouter
	s.Instance, s.FailureDomain, s.Region = "r", "a", "r"
	s.Router.Callers, s.Router.Ready, s.Router.Peers, s.Router.Metrics = freeAddress(t), freeAddress(t), freeAddress(t), freeAddress(t)
	s.Router.Store = storeListener.Addr().String()
	s.Router.MemoryMB = routerMemoryMB
	r.settings = s
	raw, err := toml.Marshal(s)
	assert.NilError(t, err)
	file := filepath.Join(t.TempDir(), "router.toml")
	assert.NilError(t, os.WriteFile(file, raw, 0o600))
	r.process = startLoggingTo(t, descriptors, log, "skylarkwoodd", "--settings", file)
	waitFor(t, "router serves", func() bool { return r.request("/notices/", nil).status == http.StatusOK })
	return r
}

func configuration(t *testing.T) []byte {
	var routes []any
	for _, name := range []string{"notices", "held", "large"} {
		routes = append(routes, map[string]any{"name": name, "host": "h", "prefix": "/" + name + "/", "type": "non_idempotent", "service": "notices",
			"timeout_ms": 60_000, "target_latency_ms": 500, "max_attempts": 1})
	}
	raw, err := json.Marshal(map[string]any{
		"version": 1, "routes": routes, "services": []any{map[string]any{"name": "notices", "max_connections": 2000}},
		"limits": map[string]any{"max_header_bytes": maxHeaderBytes, "max_body_bytes": maxBodyBytes, "header_timeout_ms": headerTimeoutMS, "idle_timeout_ms": idleTimeoutMS},
	})
	assert.NilError(t, err)
	return raw
}

func waitFor(t *testing.T, what string, ok func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if ok() {
			return poll.Success()
		}
		return poll.Continue("%s", what)
	}, poll.WithTimeout(waitTimeout), poll.WithDelay(50*time.Millisecond))
}

// answer is what an ordinary caller got. The status is 0 if the connection was closed.
type answer struct {
	attempt    string
	status     int
	retryAfter string
}

// request sends one request on a connection of its own.
func (r *router) request(path string, body []byte) answer {
	a := answer{attempt: daemon.NewID()}
	req, err := http.NewRequest(http.MethodPost, "http://"+r.settings.Router.Callers+path, bytes.NewReader(body))
	if err != nil {
		return a
	}
	req.Host = "h"
	req.Close = true
	req.Header.Set("Attempt-Id", a.attempt)
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: waitTimeout}
	resp, err := client.Do(req)
	if err != nil {
		return a
	}
	defer resp.Body.Close()
	a.status, a.retryAfter = resp.StatusCode, resp.Header.Get("Retry-After")
	return a
}

// maxTries is how often an ordinary caller sends a request.
const maxTries = 8

// requireServed sends an ordinary request as a caller does: once more after a refusal, when the
// refusal says so. A request that was refused, or whose connection was closed, must not have run.
func (r *router) requireServed(path string, body []byte) {
	r.t.Helper()
	var all []answer
	for range maxTries {
		a := r.request(path, body)
		all = append(all, a)
		if a.status == http.StatusOK {
			return
		}
		assert.Assert(r.t, promisesNotRun(a.status), "an ordinary request got %d", a.status)
		assert.Equal(r.t, r.server.ran(a.attempt), 0, "request answered with %d has run", a.status)
		wait, err := time.ParseDuration(a.retryAfter + "s")
		if err != nil {
			wait = 200 * time.Millisecond
		}
		time.Sleep(wait)
	}
	r.t.Errorf("ordinary request on %s not served in %d tries: %v", path, maxTries, all)
}

// promisesNotRun reports whether a status, or 0 for a connection closed unread, lets a caller of a
// request that may not be repeated send it again.
func promisesNotRun(status int) bool {
	switch status {
	case 0, http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// largestBody is the body of the largest request inside the limits.
func largestBody() []byte { return bytes.Repeat([]byte("b"), maxBodyBytes) }

// withstand lets a crowd act on a router and checks its bounds, and what ordinary callers get: beside
// the crowd, and before and after it also with the largest body.
func (r *router) withstand(c *crowd) {
	t := r.t
	t.Helper()
	r.requireServed("/notices/", largestBody())
	end := r.observe()
	c.run(t)
	r.requireServed("/notices/", []byte("beside the crowd"))
	c.leave()
	r.requireServed("/notices/", []byte("after the crowd"))
	r.requireServed("/notices/", largestBody())
	peak := end()
	t.Logf("peak %.0f MB of %d, %d sockets; statuses %v", peak.memoryMB, routerMemoryMB, peak.sockets, c.statuses())
	assert.Assert(t, r.alive(), "the router has ended")
	assert.Assert(t, peak.memoryMB <= routerMemoryMB, "peak of memory %.0f MB, limit %d MB", peak.memoryMB, routerMemoryMB)
	for _, a := range c.attempts() {
		if promisesNotRun(a.status) && c.incomplete {
			assert.Equal(t, r.server.ran(a.attempt), 0, "incomplete request %s has run", a.attempt)
		}
		if a.status != 0 && promisesNotRun(a.status) {
			assert.Equal(t, r.server.ran(a.attempt), 0, "request answered with %d has run", a.status)
		}
	}
}
