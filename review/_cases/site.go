// Command cases runs the cases of the review: it starts the stand-ins of a small
// deployment and the routers, as separate processes, and judges what callers, engines and
// the store have seen.
package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/skylarkwood/skylarkwood/platform/standin"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// site is the platform of one case: the store, the operator and the routers' processes.
type site struct {
	store   *standin.Store
	addr    string // address of the store as the routers know it
	dir     string // temporary folder of the settings files
	started time.Time

	mu      sync.Mutex
	record  *os.File
	routers []*router
	broken  int
}

// router is a process of the system.
type router struct {
	name, callers, ready string
	cmd                  *exec.Cmd
	exited               chan struct{}
}

func newSite(folder string) (*site, error) {
	f, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "case")
	if err != nil {
		return nil, err
	}
	s := &site{store: standin.NewStore(), dir: dir, started: time.Now(), record: f}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.addr = l.Addr().String()
	go func() { _ = http.Serve(l, &standin.StoreServer{Store: s.store}) }()
	return s, nil
}

// logf writes a line to the record.
func (s *site) logf(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(s.record, "%8.3f  %s\n", time.Since(s.started).Seconds(), fmt.Sprintf(format, args...))
}

// breach records that a rule was broken.
func (s *site) breach(format string, args ...any) {
	s.logf("BROKEN "+format, args...)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.broken++
}

func (s *site) breaches() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.broken
}

// close ends all processes and removes the temporary folder.
func (s *site) close() {
	for _, r := range s.routers {
		_ = r.cmd.Process.Signal(syscall.SIGCONT)
		_ = r.cmd.Process.Kill()
		<-r.exited
	}
	os.RemoveAll(s.dir)
	s.record.Close()
}

// freeAddress returns a loopback address on which no process listens.
func freeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// settings are those of deploy/node.toml.tmpl with the values of a small deployment.
const settings = `role = "router"
instance = %q
failure_domain = "zone-a"
region = "region-a"

[router]
callers = %q
ready = %q
peers = %q
metrics = %q
seeds = [%s]
store = %q
first_start = true
grace = "8s"
config_apply = "2000ms"
retry_ratio = 0.2
retry_slack = 200
retry_window = "10s"
memory_mb = 284
link_mbps = 1000.0
`

// startRouters starts router processes with the command of the deploy file.
func (s *site) startRouters(n int) error {
	var peers, quoted []string
	for range n {
		addr, err := freeAddress()
		if err != nil {
			return err
		}
		peers = append(peers, addr)
		quoted = append(quoted, fmt.Sprintf("%q", addr))
	}
	for i := range n {
		r := &router{name: fmt.Sprintf("edge-%d", i+1), exited: make(chan struct{})}
		var addrs [3]string
		for j := range addrs {
			var err error
			if addrs[j], err = freeAddress(); err != nil {
				return err
			}
		}
		r.callers, r.ready = addrs[0], addrs[1]
		file := filepath.Join(s.dir, r.name+".toml")
		text := fmt.Sprintf(settings, r.name, r.callers, r.ready, peers[i], addrs[2], strings.Join(quoted, ", "), s.addr)
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			return err
		}
		out, err := os.Create(filepath.Join(s.dir, r.name+".log"))
		if err != nil {
			return err
		}
		r.cmd = exec.Command("target/skylarkwoodd")
		r.cmd.Env = append(os.Environ(), "SKYLARKWOOD_NODE_FILE="+file)
		r.cmd.Stdout, r.cmd.Stderr = out, out
		if err := r.cmd.Start(); err != nil {
			return err
		}
		go func() {
			err := r.cmd.Wait()
			s.logf("%s has ended: %v", r.name, err)
			close(r.exited)
		}()
		s.routers = append(s.routers, r)
	}
	return nil
}

// waitReady waits until all routers answer the readiness check with 200.
func (s *site) waitReady(limit time.Duration) bool {
	end := time.Now().Add(limit)
	for _, r := range s.routers {
		for {
			resp, err := http.Get("http://" + r.ready + "/skylarkwood/ready")
			if err == nil {
				resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(end) {
				return false
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return true
}

// configure writes a configuration, as the operator does.
func (s *site) configure(cfg any) (size int) {
	raw, err := json.Marshal(cfg)
	if err != nil {
		panic(err) // all fields can be encoded
	}
	s.store.Put("op/config", raw)
	return len(raw)
}

var attempts atomic.Int64

// answer is what a caller received.
type answer struct {
	attempt   string
	status    int // 0 if there is no answer
	signature string
	body      string
	err       error // the answer is missing or incomplete
}

// call sends one request of a caller on a new connection.
func (s *site) call(r *router, method, path, key string, deadline time.Duration, header map[string]string) answer {
	a := answer{attempt: fmt.Sprintf("%016x", attempts.Add(1))}
	ctx, cancel := context.WithTimeout(context.Background(), deadline+time.Second)
	defer cancel()
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", r.callers)
	if err != nil {
		a.err = err
		return a
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(deadline + time.Second))
	req, err := http.NewRequest(method, "http://service.example"+path, nil)
	if err != nil {
		panic(err) // paths are constant
	}
	req.Header.Set("Attempt-Id", a.attempt)
	req.Header.Set("Credential", key)
	req.Header.Set("Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	for k, v := range header {
		req.Header.Set(k, v)
	}
	if a.err = req.Write(c); a.err != nil {
		return a
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), req)
	if err != nil {
		a.err = err
		return a
	}
	defer resp.Body.Close()
	var b strings.Builder
	_, a.err = bufio.NewReader(resp.Body).WriteTo(&b)
	a.status, a.signature, a.body = resp.StatusCode, resp.Header.Get("Response-Signature"), b.String()
	return a
}
