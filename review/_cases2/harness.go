// Command cases2 runs the cases 4 to 6 of the review. It starts routers as separate processes
// with the command of the deploy file, and is the platform, the clients and the servers.
//
//	cases2 CASE RECORD
package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"regexp"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/skylarkwood/skylarkwood/platform/standin"
)

// Exit statuses.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2 // the case could not run
)

// record is the file with what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	f     *os.File
	start time.Time
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.f, "%8.3f ", time.Since(r.start).Seconds())
	fmt.Fprintf(r.f, format+"\n", args...)
}

// world is one run of a case.
type world struct {
	rec     *record
	dir     string // temporary
	trouble bool
	store   *standin.Store

	given map[string]bool // addresses that freeAddress returned

	mu       sync.Mutex
	routers  []*router
	stopping bool
	runs     map[string][]string // ids of the servers that began to run an attempt
	listened []net.Listener
}

// fail ends the run because the case could not run.
func (w *world) fail(format string, args ...any) {
	w.rec.printf("CANNOT RUN: "+format, args...)
	w.close()
	os.Exit(exitFailed)
}

func (w *world) close() {
	w.mu.Lock()
	w.stopping = true
	routers := w.routers
	listened := w.listened
	w.mu.Unlock()
	for _, r := range routers {
		r.kill()
	}
	for _, l := range listened {
		l.Close()
	}
	os.RemoveAll(w.dir)
}

// ran records that a server began to run an attempt.
func (w *world) ran(server, attempt string) {
	w.mu.Lock()
	w.runs[attempt] = append(w.runs[attempt], server)
	w.mu.Unlock()
	w.rec.printf("server %s runs %s", server, attempt)
}

func (w *world) runsOf(attempt string) []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]string(nil), w.runs[attempt]...)
}

func (w *world) listen() net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		w.fail("listen: %v", err)
	}
	w.mu.Lock()
	w.listened = append(w.listened, l)
	w.mu.Unlock()
	return l
}

// startStore starts the platform's store and writes the operator's configuration.
func (w *world) startStore(config map[string]any) {
	w.store = standin.NewStore()
	w.put("op/config", config)
}

// gate is one machine's path to the store.
type gate struct {
	addr string

	mu      sync.Mutex
	away    bool          // the store turns the machine away
	cut     chan struct{} // closed when it does, to end watches that wait
	watches int           // calls of kv-watch so far
}

// openGate opens a path to the store.
func (w *world) openGate() *gate {
	l := w.listen()
	g := &gate{addr: l.Addr().String(), cut: make(chan struct{})}
	store := &standin.StoreServer{Store: w.store}
	go http.Serve(l, http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		g.mu.Lock()
		away, cut := g.away, g.cut
		if strings.HasSuffix(r.URL.Path, "/kv-watch") {
			g.watches++
		}
		g.mu.Unlock()
		if away {
			rw.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		ctx, cancel := context.WithCancel(r.Context())
		defer cancel()
		go func() {
			select {
			case <-cut:
				cancel()
			case <-ctx.Done():
			}
		}()
		store.ServeHTTP(rw, r.WithContext(ctx))
	}))
	return g
}

func (g *gate) turnAway(away bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if away && !g.away {
		close(g.cut)
		g.cut = make(chan struct{})
	}
	g.away = away
}

func (g *gate) watchCount() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.watches
}

func (w *world) put(key string, value any) {
	raw, err := json.Marshal(value)
	if err != nil {
		w.fail("encode %s: %v", key, err)
	}
	w.store.Put(key, raw)
}

// Settings of a router that the pages' example sets; the figures are those of the site file
// sites/dobrescu-jurnal.toml.
const (
	memoryMB = 284
	graceS   = 8
)

// router is a machine that runs the role of the deploy file.
type router struct {
	w        *world
	name     string
	settings string
	callers  string
	ready    string
	store    *gate

	mu      sync.Mutex
	cmd     *exec.Cmd
	restart bool
	peakMB  float64
	// memoryKills counts the ends of the process for exceeding memory_mb.
	memoryKills int
}

// deployed returns the command of the role in the deploy file and its template.
func deployed(w *world) (command []string, template string) {
	raw, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		w.fail("%v", err)
	}
	run := regexp.MustCompile(`(?m)^run = "(.*)"$`).FindSubmatch(raw)
	tmpl := regexp.MustCompile(`(?m)^template = "(.*)"$`).FindSubmatch(raw)
	if run == nil || tmpl == nil {
		w.fail("deploy/system.toml has no run or no template")
	}
	text, err := os.ReadFile(string(tmpl[1]))
	if err != nil {
		w.fail("%v", err)
	}
	return strings.Fields(string(run[1])), string(text)
}

// fill fills the placeholders of a template. It knows values only, no sections.
func fill(template string, fields map[string]any) string {
	return regexp.MustCompile(`\{\{([a-z_.]+)(\|json)?\}\}`).ReplaceAllStringFunc(template, func(p string) string {
		name, isJSON := strings.CutSuffix(strings.Trim(p, "{}"), "|json")
		v, ok := fields[name]
		if !ok {
			return ""
		}
		if !isJSON {
			return fmt.Sprint(v)
		}
		raw, _ := json.Marshal(v)
		return string(raw)
	})
}

// freeAddress returns a free address for a process that is started later. Its port is below those
// that the system gives to outgoing connections.
func (w *world) freeAddress() string {
	const first, last = 20000, 32000
	for range 1000 {
		addr := fmt.Sprintf("127.0.0.1:%d", first+rand.N(last-first))
		if w.given[addr] {
			continue
		}
		l, err := net.Listen("tcp", addr)
		if err != nil {
			continue
		}
		l.Close()
		w.given[addr] = true
		return addr
	}
	w.fail("no free port")
	return ""
}

// startRouters starts routers that know each other as seeds, and waits until they are ready.
func (w *world) startRouters(n int) {
	control := make([]string, n)
	for i := range control {
		control[i] = w.freeAddress()
	}
	command, template := deployed(w)
	for i := range n {
		r := &router{w: w, name: fmt.Sprintf("edge-zone-a-%d", i+1), callers: w.freeAddress(), ready: w.freeAddress(), store: w.openGate(), restart: true}
		// The metrics port of the template is the same on each machine, so each router has
		// an address of its own.
		fields := map[string]any{
			"node": r.name, "zone": "zone-a", "region": "region-a", "ip": fmt.Sprintf("127.0.0.%d", 11+i),
			"listen.front": r.callers, "listen.ready": r.ready, "listen.control": control[i],
			"seeds": control, "platform.address": r.store.addr, "bootstrap": true,
			"bounds.grace_s": graceS, "bounds.config_apply_ms": 2000, "bounds.retry_budget_ratio": 0.2,
			"bounds.budget_slack": 200, "bounds.budget_window_s": 10,
			"limits.memory_mb": memoryMB, "limits.link_mbps": 1000.0,
		}
		r.settings = filepath.Join(w.dir, r.name+".toml")
		if err := os.WriteFile(r.settings, []byte(fill(template, fields)), 0o600); err != nil {
			w.fail("%v", err)
		}
		w.routers = append(w.routers, r)
		go r.run(command)
	}
	for _, r := range w.routers {
		r.awaitReady()
	}
}

// run keeps the process running as the platform does: it ends it when it exceeds memory_mb, and
// starts a process that ended again after a short delay.
func (r *router) run(command []string) {
	runtime.LockOSThread() // the child's Pdeathsig is bound to this thread
	for {
		log, err := os.OpenFile(filepath.Join(r.w.dir, r.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			r.w.fail("%v", err)
		}
		cmd := exec.Command(command[0], command[1:]...)
		cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + r.w.dir, "LANG=C", "SKYLARKWOOD_NODE_FILE=" + r.settings}
		cmd.Stdout, cmd.Stderr = log, log
		cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		r.mu.Lock()
		if !r.restart {
			r.mu.Unlock()
			return
		}
		err = cmd.Start()
		r.cmd = cmd
		r.mu.Unlock()
		if err != nil {
			r.w.fail("start %v: %v", command, err)
		}
		r.w.rec.printf("router %s started", r.name)
		done := make(chan struct{})
		go r.watchMemory(cmd.Process.Pid, done)
		err = cmd.Wait()
		close(done)
		log.Close()
		r.w.rec.printf("router %s ended: %v", r.name, err)
		time.Sleep(time.Second)
	}
}

// watchMemory ends the process once its resident memory exceeds memory_mb.
func (r *router) watchMemory(pid int, done chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-time.After(5 * time.Millisecond):
		}
		raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
		words := strings.Fields(string(raw))
		if err != nil || len(words) < 2 {
			continue
		}
		pages, _ := strconv.Atoi(words[1])
		mb := float64(pages) * float64(os.Getpagesize()) / (1 << 20)
		r.mu.Lock()
		r.peakMB = max(r.peakMB, mb)
		over := mb > memoryMB
		if over {
			r.memoryKills++
			_ = syscall.Kill(pid, syscall.SIGKILL)
		}
		r.mu.Unlock()
		if over {
			r.w.rec.printf("router %s uses %.0f MB, memory_mb is %d: the platform ends it", r.name, mb, memoryMB)
			return
		}
	}
}

func (r *router) kill() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.restart = false
	if r.cmd != nil && r.cmd.Process != nil {
		_ = r.cmd.Process.Kill()
	}
}

func (r *router) memory() (peakMB float64, kills int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.peakMB, r.memoryKills
}

// isReady asks as the balancer does.
func (r *router) isReady() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + r.ready + "/skylarkwood/ready")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (r *router) awaitReady() {
	for until := time.Now().Add(20 * time.Second); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		if r.isReady() {
			return
		}
	}
	r.w.fail("router %s is not ready", r.name)
}

// answer is what a client received.
type answer struct {
	status  int
	header  http.Header
	body    []byte
	elapsed time.Duration
	// sent is set if the whole request was written; err if no complete answer came.
	sent bool
	err  error
}

// client is a caller with one connection that it keeps.
type client struct {
	router *router
	conn   net.Conn
	br     *bufio.Reader
	used   int // requests that were answered on the connection
}

func (c *client) close() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// send sends a request with its headers in the order given and reads the answer.
func (c *client) send(method, target string, deadline time.Duration, header []string, body []byte) answer {
	began := time.Now()
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.router.callers, time.Second)
		if err != nil {
			return answer{err: err}
		}
		c.conn, c.br, c.used = conn, bufio.NewReader(conn), 0
	}
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: shop.example\r\nDeadline-Ms: %d\r\n", method, target, deadline.Milliseconds())
	for _, h := range header {
		b.WriteString(h + "\r\n")
	}
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n", len(body))
	_ = c.conn.SetDeadline(time.Now().Add(deadline))
	if _, err := c.conn.Write(append(b.Bytes(), body...)); err != nil {
		c.close()
		return answer{err: err, elapsed: time.Since(began)}
	}
	a := answer{sent: true}
	resp, err := http.ReadResponse(c.br, &http.Request{Method: method})
	if err == nil {
		a.status, a.header = resp.StatusCode, resp.Header
		a.body, err = io.ReadAll(resp.Body)
		resp.Body.Close()
	}
	a.err, a.elapsed = err, time.Since(began)
	if err != nil || resp.Close {
		c.close()
	} else {
		c.used++
	}
	return a
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: cases2 CASE RECORD")
		os.Exit(exitFailed)
	}
	cases := map[string]func(*world) bool{"endless-answer": endlessAnswer, "foreign-entry": foreignEntry, "turned-away": turnedAway}
	run := cases[os.Args[1]]
	f, err := os.Create(os.Args[2])
	if err != nil || run == nil {
		fmt.Fprintln(os.Stderr, "unknown case or record", err)
		os.Exit(exitFailed)
	}
	dir, err := os.MkdirTemp("", "cases2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFailed)
	}
	w := &world{rec: &record{f: f, start: time.Now()}, dir: dir, trouble: os.Getenv("TROUBLE") != "0", runs: map[string][]string{}, given: map[string]bool{}}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		<-stop
		w.fail("stopped by a signal")
	}()
	time.AfterFunc(115*time.Second, func() { w.fail("the case took too long") })
	w.rec.printf("case %s, disruption: %v", os.Args[1], w.trouble)
	broken := run(w)
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		for _, r := range w.routers {
			if raw, err := os.ReadFile(filepath.Join(dir, r.name+".log")); err == nil {
				_ = os.WriteFile(filepath.Join(keep, r.name+".log"), raw, 0o600)
			}
		}
	}
	w.close()
	if broken {
		w.rec.printf("RULE BROKEN")
		os.Exit(exitBroken)
	}
	w.rec.printf("rule held")
	os.Exit(exitHeld)
}
