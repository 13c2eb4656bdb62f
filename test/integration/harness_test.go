// Package integration runs the system as separate processes and tests how it handles
// failures.
package integration

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	v1 "github.com/skylarkwood/skylarkwood/api/skylarkwood/v1"
	"github.com/skylarkwood/skylarkwood/internal/ctl"
	"github.com/skylarkwood/skylarkwood/internal/daemon"
	"github.com/skylarkwood/skylarkwood/internal/model"
	"github.com/skylarkwood/skylarkwood/internal/standin"
)

const (
	customer    = "skola-manus"
	sheets      = "planer-rundi"
	notices     = "dispecer"
	layers      = 12
	waitTimeout = 30 * time.Second
)

var bin string

func TestMain(m *testing.M) {
	os.Exit(run(m))
}

func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "skylarkwood")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	bin = dir
	build := exec.Command("go", "build", "-o", dir, "github.com/skylarkwood/skylarkwood/cmd/...")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "build:", err)
		return 1
	}
	return m.Run()
}

type process struct {
	cmd  *exec.Cmd
	log  *lockedBuffer
	done chan struct{}
	code int
}

type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

func start(t *testing.T, program string, args ...string) *process {
	t.Helper()
	p := &process{cmd: exec.Command(filepath.Join(bin, program), args...), log: &lockedBuffer{}, done: make(chan struct{})}
	p.cmd.Stdout = p.log
	p.cmd.Stderr = p.log
	assert.NilError(t, p.cmd.Start())
	go func() {
		_ = p.cmd.Wait()
		p.code = p.cmd.ProcessState.ExitCode()
		close(p.done)
	}()
	t.Cleanup(func() {
		p.kill()
		if t.Failed() {
			t.Logf("%s %s:\n%s", program, strings.Join(args, " "), tail(p.log.String()))
		}
	})
	return p
}

func tail(s string) string {
	const maxBytes = 4000
	return s[max(0, len(s)-maxBytes):]
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

// instance is one daemon with its settings.
type instance struct {
	*process
	name, link, http, file string
}

// cluster is the system under test.
type cluster struct {
	t                 *testing.T
	dir               string
	kv, instancesAddr string
	instances         []model.Instance
	entries           []*instance
	sidecars          []*instance
	engines           []string // addresses of the engines' stand-ins
	plainServers      []string
}

func freeAddress(t *testing.T) string {
	t.Helper()
	a, err := daemon.FreeAddress()
	assert.NilError(t, err)
	return a
}

// newCluster starts the platform, the entries, one engine with its sidecar per range,
// and plain services with their sidecars.
func newCluster(t *testing.T, entries int, layerRanges []model.LayerRange, plainServers int) *cluster {
	t.Helper()
	c := &cluster{t: t, dir: t.TempDir(), kv: freeAddress(t), instancesAddr: freeAddress(t)}
	start(t, "skylark-standin", "--listen", c.kv, "kv")
	start(t, "skylark-standin", "--listen", c.instancesAddr, "instances")
	for _, r := range layerRanges {
		c.addEngine(r)
	}
	for i := 0; i < plainServers; i++ {
		c.addPlain()
	}
	for i := 0; i < entries; i++ {
		c.addEntry()
	}
	c.publish()
	c.waitReady()
	c.putTemplate()
	if plainServers > 0 {
		c.waitNonRepeatable()
	}
	return c
}

// waitNonRepeatable waits until a notice runs: gates refuse non-repeatable requests
// for a while after their start.
func (c *cluster) waitNonRepeatable() {
	c.t.Helper()
	c.eventually("gates accept notices", func() bool {
		res, err := c.client(0).Submit(context.Background(), notice(newID()), io.Discard)
		return err == nil && res.Outcome.State == v1.OutcomeState_OUTCOME_STATE_RAN
	})
}

func stages(copies int) []model.LayerRange {
	var out []model.LayerRange
	for i := 0; i < copies; i++ {
		for from := 0; from < layers; from += 4 {
			out = append(out, model.LayerRange{From: from, To: from + 4})
		}
	}
	return out
}

func (c *cluster) addEngine(r model.LayerRange) *instance {
	addr := freeAddress(c.t)
	start(c.t, "skylark-standin", "--listen", addr, "engine", "--layers", fmt.Sprint(layers),
		"--from", fmt.Sprint(r.From), "--to", fmt.Sprint(r.To), "--step", "300us", "--capacity", "32")
	c.engines = append(c.engines, addr)
	u := c.addSidecar(fmt.Sprintf("service = %q\nkind = \"pipeline\"\nlayers = %d\ncapacity = 32", sheets, layers), addr)
	return u
}

func (c *cluster) addPlain() *instance {
	addr := freeAddress(c.t)
	start(c.t, "skylark-standin", "--listen", addr, "plain", "--time", "5ms")
	c.plainServers = append(c.plainServers, addr)
	return c.addSidecar(fmt.Sprintf("service = %q\nkind = \"plain\"", notices), addr)
}

func (c *cluster) addSidecar(section, backend string) *instance {
	name := fmt.Sprintf("sidecar-%d", len(c.sidecars)+1)
	u := c.daemon(name, model.RoleSidecar, "[sidecar]\n"+section+"\nbackend = \"http://"+backend+"\"\n")
	c.sidecars = append(c.sidecars, u)
	return u
}

func (c *cluster) addEntry() *instance {
	name := fmt.Sprintf("entry-%d", len(c.entries)+1)
	u := c.daemon(name, model.RoleEntry, "[entry]\ndrain_delay = \"100ms\"\n")
	c.entries = append(c.entries, u)
	return u
}

func (c *cluster) daemon(name string, role model.Role, section string) *instance {
	u := &instance{name: name, link: freeAddress(c.t), http: freeAddress(c.t)}
	text := fmt.Sprintf("role = %q\ninstance = %q\nfailure_domain = \"hala-luka\"\nregion = \"juzna-regija\"\n"+
		"[listen]\nlink = %q\nhttp = %q\n[platform]\nkey_value = \"http://%s\"\ninstances = \"http://%s\"\n%s",
		role, name, u.link, u.http, c.kv, c.instancesAddr, section)
	u.file = filepath.Join(c.dir, name+".toml")
	assert.NilError(c.t, os.WriteFile(u.file, []byte(text), 0o600))
	c.instances = append(c.instances, model.Instance{ID: name, Role: role, Address: u.link, FailureDomain: "hala-luka", Region: "juzna-regija"})
	c.launch(u)
	return u
}

// launch starts an instance, or restarts it after its process exited.
func (c *cluster) launch(u *instance) {
	u.process = start(c.t, "skylarkwoodd", "--settings", u.file)
}

func (c *cluster) publish() {
	c.postControl(c.instancesAddr, c.instances)
}

func (c *cluster) postControl(addr string, v any) {
	raw, err := json.Marshal(v)
	assert.NilError(c.t, err)
	c.eventually("control request to "+addr, func() bool {
		rep, err := http.Post("http://"+addr+"/control", "application/json", bytes.NewReader(raw))
		if err != nil {
			return false
		}
		rep.Body.Close()
		return rep.StatusCode == http.StatusOK
	})
}

func (c *cluster) setStoreFaults(f standin.KVFaults) { c.postControl(c.kv, f) }

// getControl reads what a stand-in recorded.
func (c *cluster) getControl(addr, query string, v any) {
	rep, err := http.Get("http://" + addr + "/control" + query)
	assert.NilError(c.t, err)
	defer rep.Body.Close()
	assert.NilError(c.t, json.NewDecoder(rep.Body).Decode(v))
}

func (c *cluster) eventually(what string, ok func() bool) {
	c.t.Helper()
	poll.WaitOn(c.t, func(poll.LogT) poll.Result {
		if ok() {
			return poll.Success()
		}
		return poll.Continue("%s", what)
	}, poll.WithTimeout(waitTimeout), poll.WithDelay(20*time.Millisecond))
}

func (c *cluster) client(entry int) *ctl.Client {
	return ctl.NewClient("http://" + c.entries[entry].http)
}

func (c *cluster) waitReady() {
	c.t.Helper()
	for i := range c.entries {
		c.eventually("entry reaches all instances", func() bool {
			return c.client(i).ReachableInstances(context.Background()) == len(c.instances)
		})
	}
}

func (c *cluster) putTemplate() {
	c.t.Helper()
	c.set(&v1.SetTemplateRequest{
		Template: &v1.Template{Customer: customer, Rules: []*v1.ServiceRule{
			{Service: sheets, Priority: 5, DefaultTimeoutMs: waitTimeout.Milliseconds()},
			{Service: notices, Priority: 7, DefaultTimeoutMs: waitTimeout.Milliseconds()},
		}},
		Author: "test",
	})
}

func (c *cluster) set(m *v1.SetTemplateRequest) *v1.SetTemplateResponse {
	c.t.Helper()
	m.WaitMs = waitTimeout.Milliseconds()
	rep, err := c.client(0).Operators.SetTemplate(context.Background(), connect.NewRequest(m))
	assert.NilError(c.t, err)
	return rep.Msg
}

// referenceAnswer returns the answer of a model that runs each layer once, in order.
func referenceAnswer(prompt string, tokens int) string {
	words := strings.SplitAfter(prompt, " ")
	in := make([][]byte, 0, len(words))
	for _, w := range words {
		in = append(in, []byte(w))
	}
	return string(bytes.Join(standin.ReferenceOutput(in, layers, tokens), nil))
}

// onWrite calls do once, when the remaining bytes of the answer have been written.
type onWrite struct {
	remaining int
	do        func()
}

func (o *onWrite) Write(p []byte) (int, error) {
	o.remaining -= len(p)
	if o.remaining <= 0 && o.do != nil {
		o.do()
		o.do = nil
	}
	return len(p), nil
}

func newID() string { return daemon.NewID() }
