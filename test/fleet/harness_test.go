// Package fleet runs routers in one process against stand-ins for the users' platform
// and tests how they handle failures.
package fleet

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/skylarkwood/skylarkwood/internal/daemon"
	"github.com/skylarkwood/skylarkwood/internal/model"
	"github.com/skylarkwood/skylarkwood/internal/settings"
	"github.com/skylarkwood/skylarkwood/platform"
	"github.com/skylarkwood/skylarkwood/platform/standin"
)

const (
	sheets      = "sheets"  // service with engines
	notices     = "notices" // service with plain servers
	waitTimeout = 20 * time.Second
	layers      = 12
)

// site is a test deployment: engines and one plain server in each of two failure
// domains, and routers. Callers request sheets, which engines generate as streams, and send
// notices (at most once) and lookups (repeatable) to the plain servers.
type site struct {
	t       *testing.T
	store   *standin.Store
	http    *http.Server
	addr    string // address of the store
	fleet   *standin.Fleet
	engines []*standin.Engine
	plain   []*standin.Engine
	routers []*router
	version int64
	config  map[string]any
	gated   bool             // each router has its own way to the store
	gates   map[string]*gate // by router
	// proxy, if not nil, maps the address of each backend server to the one that it registers.
	proxy func(addr string) string
}

type router struct {
	settings settings.Settings
	r        *daemon.Router
	stop     context.CancelFunc
	done     chan error
}

func spec() *model.EngineSpec {
	return &model.EngineSpec{
		Slots: 64, Layers: layers, LayerMB: 1000, KVTokenBytes: 1e6, StepTime: time.Millisecond, StepsPerPass: 3, PrefillRate: 1e5,
		MeanPromptTokens: 100, MeanAnswerTokens: 60, LoadTime: time.Second, ConcurrentLoads: 4,
		Cards: []model.Card{{Name: "fast", MB: 8000, StepTimeFactor: 2, PrefillFactor: 2}, {Name: "slow", MB: 8000, StepTimeFactor: 9, PrefillFactor: 9}},
	}
}

func newSite(t *testing.T, routers int) *site { return newSiteWith(t, routers, nil) }

// newSiteWith starts a site. setup, which may be nil, changes it before that.
func newSiteWith(t *testing.T, routers int, setup func(*site)) *site {
	t.Parallel()
	s := &site{t: t, store: standin.NewStore()}
	if setup != nil {
		setup(s)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s.addr = l.Addr().String()
	s.http = &http.Server{Handler: &standin.StoreServer{Store: s.store}}
	go func() { _ = s.http.Serve(l) }()
	s.fleet = standin.NewFleet(s.store, spec())
	t.Cleanup(func() {
		s.stopAll()
		s.fleet.Close()
		s.http.Close()
		for _, v := range s.fleet.Violations() {
			t.Errorf("violation: %s", v)
		}
	})
	s.configure(nil)
	for _, domain := range []string{"a", "b"} {
		for _, card := range []string{"fast", "fast", "slow", "slow"} {
			s.engines = append(s.engines, s.addServer(sheets, domain, card))
		}
		s.plain = append(s.plain, s.addServer(notices, domain, ""))
	}
	for i := range routers {
		s.startRouter(fmt.Sprintf("r%d", i), []string{"a", "b"}[i%2])
	}
	s.waitServing()
	return s
}

func (s *site) addServer(service, domain, card string) *standin.Engine {
	e, err := s.fleet.Add(service, domain, card, s.proxy)
	assert.NilError(s.t, err)
	return e
}

// Ports of routers, below the ephemeral ones and above those of package faultsoak.
const (
	firstPort = 18000
	lastPort  = 32000
	portCount = 500
)

var ports *standin.Ports

func TestMain(m *testing.M) {
	var err error
	if ports, err = standin.ReservePorts(firstPort, lastPort, portCount); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	os.Exit(m.Run())
}

func freeAddress(t *testing.T) string {
	addr, err := ports.Address()
	assert.NilError(t, err)
	return addr
}

// configure publishes a new version of the configuration, modified by f if f is not
// nil.
func (s *site) configure(f func(cfg map[string]any)) {
	s.version += 2
	route := func(name, prefix, kind, service string) map[string]any {
		return map[string]any{"name": name, "host": "h.example", "prefix": prefix, "type": kind, "service": service, "timeout_ms": 8000,
			"target_latency_ms": 500, "target_gap_ms": 200, "max_attempts": 2, "resume_streams": kind == "streaming"}
	}
	cfg := map[string]any{
		"version": s.version,
		"routes": []any{
			route("sheet", "/sheet/", "streaming", sheets),
			route("notice", "/notice/", "non_idempotent", notices),
			route("lookup", "/lookup/", "idempotent", notices),
		},
		"services": []any{
			map[string]any{"name": sheets, "engine": map[string]any{"slots": 64, "kv_token_bytes": 1e6, "stride": 3, "models": []any{map[string]any{"load_s": 1}},
				"step_ms": 1, "read_per_s": 1e5, "loads_at_once": 4, "usual": map[string]any{"prompt": 100, "answer": 60}, "layers": layers, "layer_mb": 1000,
				"kinds": []any{map[string]any{"name": "fast", "mb": 8000, "pace": 2, "read_factor": 2}, map[string]any{"name": "slow", "mb": 8000, "pace": 9, "read_factor": 9}}}},
			map[string]any{"name": notices},
		},
		"limits":  map[string]any{"max_header_bytes": 8192, "max_body_bytes": 65536, "header_timeout_ms": 400, "idle_timeout_ms": 4000},
		"tenants": []any{map[string]any{"name": "school", "api_keys": []any{"key-1"}}, map[string]any{"name": "clinic", "api_keys": []any{"key-2"}}},
	}
	if f != nil {
		f(cfg)
	}
	raw, err := json.Marshal(cfg)
	assert.NilError(s.t, err)
	s.config = cfg
	s.store.Put(platform.ConfigKey, raw)
}

func (s *site) startRouter(name, domain string) *router {
	set := settings.Default()
	set.Role = model.RoleRouter
	set.Instance = name
	set.FailureDomain = domain
	set.Router.Callers = freeAddress(s.t)
	set.Router.Ready = freeAddress(s.t)
	set.Router.Peers = freeAddress(s.t)
	set.Router.Store = s.addr
	if s.gated {
		set.Router.Store = s.openGate(name)
	}
	set.Router.FirstStart = true
	set.Router.RetrySlack = 200
	set.Router.Grace = settings.Duration(3 * time.Second)
	for _, r := range s.routers {
		set.Router.Seeds = append(set.Router.Seeds, r.settings.Router.Peers)
	}
	assert.NilError(s.t, set.Validate())
	r := &router{settings: set}
	s.run(r)
	s.routers = append(s.routers, r)
	return r
}

func (s *site) run(r *router) {
	ctx, stop := context.WithCancel(context.Background())
	r.stop = stop
	r.done = make(chan error, 1)
	r.r = daemon.NewRouter(r.settings, platform.NewStoreClient(r.settings.Router.Store))
	go func() { r.done <- r.r.Run(ctx) }()
}

func (s *site) stopAll() {
	for _, r := range s.routers {
		r.stop()
	}
	for _, r := range s.routers {
		select {
		case <-r.done:
		case <-time.After(waitTimeout):
			s.t.Error("router did not stop in time")
		}
	}
	s.routers = nil
}

// eventually waits until ok returns true, and fails the test after waitTimeout.
func (s *site) eventually(what string, ok func() bool) {
	s.t.Helper()
	end := time.Now().Add(waitTimeout)
	for !ok() {
		if time.Now().After(end) {
			s.t.Fatalf("condition not met in time: %s", what)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// waitServing waits until every router serves a sheet and a lookup.
func (s *site) waitServing() {
	for _, r := range s.routers {
		s.eventually("router serves", func() bool {
			return s.call(r, requestSpec{path: "/sheet/x"}).status == http.StatusOK && s.call(r, requestSpec{path: "/lookup/x", method: http.MethodGet}).status == http.StatusOK
		})
	}
}

var attempts atomic.Int64

func newAttempt() string { return fmt.Sprintf("at-%d", attempts.Add(1)) }

// requestSpec describes a caller's request. The attempt is generated if empty, the
// method defaults to POST and the key to the school's key.
type requestSpec struct {
	path, method, key, attempt string
	deadline                   time.Duration
	body                       string
	header                     http.Header
}

// response is what a caller received.
type response struct {
	attempt    string
	status     int
	body       string
	signature  string
	retryAfter string
	err        error // the response is missing or incomplete
}

func (s *site) call(r *router, a requestSpec) response {
	return s.callCtx(context.Background(), r, a)
}

func (s *site) callCtx(ctx context.Context, r *router, a requestSpec) response {
	if a.attempt == "" {
		a.attempt = newAttempt()
	}
	if a.method == "" {
		a.method = http.MethodPost
	}
	if a.key == "" {
		a.key = "key-1"
	}
	req := a.request(ctx, r.settings.Router.Callers)
	c, err := net.Dial("tcp", r.settings.Router.Callers)
	if err != nil {
		return response{attempt: a.attempt, err: err}
	}
	defer c.Close()
	stop := context.AfterFunc(ctx, func() { c.Close() })
	defer stop()
	_ = c.SetDeadline(time.Now().Add(waitTimeout))
	if err := req.Write(c); err != nil {
		return response{attempt: a.attempt, err: err}
	}
	return readResponse(a.attempt, bufio.NewReader(c), req)
}

func (a requestSpec) request(ctx context.Context, addr string) *http.Request {
	var body io.Reader
	if a.body != "" {
		body = io.NopCloser(newReader(a.body))
	}
	req, err := http.NewRequestWithContext(ctx, a.method, "http://"+addr+a.path, body)
	if err != nil {
		panic(err)
	}
	req.ContentLength = int64(len(a.body))
	req.Host = "h.example"
	for k, v := range a.header {
		req.Header[k] = v
	}
	req.Header.Set("Attempt-Id", a.attempt)
	req.Header.Set("Credential", a.key)
	req.Header.Set("Token-Usage", "100,60")
	if a.deadline > 0 {
		req.Header.Set("Deadline-Ms", fmt.Sprint(a.deadline.Milliseconds()))
	}
	return req
}

func newReader(s string) io.Reader { return &stringReader{s} }

type stringReader struct{ s string }

func (r *stringReader) Read(p []byte) (int, error) {
	if r.s == "" {
		return 0, io.EOF
	}
	n := copy(p, r.s)
	r.s = r.s[n:]
	return n, nil
}

func readResponse(attempt string, br *bufio.Reader, req *http.Request) response {
	resp, err := http.ReadResponse(br, req)
	if err != nil {
		return response{attempt: attempt, err: err}
	}
	body, err := io.ReadAll(resp.Body)
	return response{
		attempt:    attempt,
		status:     resp.StatusCode,
		body:       string(body),
		signature:  resp.Header.Get("Response-Signature"),
		retryAfter: resp.Header.Get("Retry-After"),
		err:        err,
	}
}

// assertComplete asserts that the response holds each event of a sheet once and in
// order.
func (s *site) assertComplete(rep response) {
	s.t.Helper()
	assert.NilError(s.t, rep.err)
	assert.Equal(s.t, rep.status, http.StatusOK)
	assert.Equal(s.t, rep.body, standin.ResponseBody(rep.attempt, s.fleet.Events))
	assert.Equal(s.t, rep.signature, "sig-"+rep.attempt)
}
