package faultsoak

import (
	"crypto/sha256"
	"fmt"
	"io"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"

	"gotest.tools/v3/assert"

	"github.com/skylarkwood/skylarkwood/internal/settings"
)

// router is a router that is restarted whenever its process exits.
type router struct {
	name     string
	settings settings.Settings
	file     string
	log      *os.File
	store    *proxy

	mu          sync.Mutex
	incarnation *incarnation // current process; nil before the first start
	past        []*incarnation
	crowds      []span // in which the router had little processor time
	shutDown    bool
}

// incarnation is one process of a router, from start to exit, with the signals sent to
// it. The mutex of its router guards it.
type incarnation struct {
	router  *router
	cmd     *exec.Cmd
	started time.Time
	killed  time.Time // zero if not killed
	stopped time.Time // zero if not asked to stop
	pauses  []span
	applied []appliedVersion
}

// id identifies the process. It must have been started.
func (l *incarnation) id() string { return fmt.Sprintf("%s/%d", l.router.name, l.cmd.Process.Pid) }

// span is a period of time. A zero end means that it has not ended.
type span struct{ from, to time.Time }

func (p span) overlaps(from, to time.Time) bool {
	return p.from.Before(to) && (p.to.IsZero() || p.to.After(from))
}

// appliedVersion holds a time from which on a process certainly serves by a version of
// the configuration.
type appliedVersion struct {
	version int64
	at      time.Time
}

// keepRunning restarts a router whenever its process exits. An exit that no signal
// caused fails the test.
func (s *site) keepRunning(r *router) {
	for {
		cmd := exec.Command(binary, "--settings", r.file)
		cmd.Stdout = r.log
		cmd.Stderr = r.log
		if *procs > 0 {
			cmd.Env = append(os.Environ(), fmt.Sprintf("GOMAXPROCS=%d", *procs))
		}
		r.mu.Lock()
		if r.shutDown {
			r.mu.Unlock()
			return
		}
		err := cmd.Start()
		l := &incarnation{router: r, cmd: cmd, started: time.Now()}
		r.incarnation = l
		r.past = append(r.past, l)
		r.mu.Unlock()
		if err != nil {
			s.t.Errorf("router %s: %v", r.name, err)
			return
		}
		err = cmd.Wait()
		r.mu.Lock()
		expected := !l.killed.IsZero() || !l.stopped.IsZero()
		r.mu.Unlock()
		if !expected {
			s.t.Errorf("router %s exited unexpectedly: %v", r.name, err)
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// isShutDown reports whether no further process of the router will be started.
func (r *router) isShutDown() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.shutDown
}

// current returns the current process, or the last one.
func (r *router) current() *incarnation {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.incarnation
}

// signal sends a signal to the current process. It records the signal before sending
// it, and the end of a pause after it.
func (r *router) signal(sig syscall.Signal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := r.incarnation
	if l == nil || l.cmd.Process == nil {
		return
	}
	now := time.Now()
	switch {
	case sig == syscall.SIGKILL && l.killed.IsZero():
		l.killed = now
	case sig == syscall.SIGTERM && l.stopped.IsZero():
		l.stopped = now
	case sig == syscall.SIGSTOP:
		l.pauses = append(l.pauses, span{from: now})
	}
	_ = l.cmd.Process.Signal(sig) // the process may have exited
	if sig == syscall.SIGCONT {
		for i := range l.pauses {
			if l.pauses[i].to.IsZero() {
				l.pauses[i].to = time.Now()
			}
		}
	}
}

// recordVersion records that the process has applied a version.
func (l *incarnation) recordVersion(version int64) {
	l.router.mu.Lock()
	defer l.router.mu.Unlock()
	l.applied = append(l.applied, appliedVersion{version, time.Now()})
}

// supersededAt returns the time from which on the process certainly serves by a later
// version. It returns false if the process may still serve by this one.
func (l *incarnation) supersededAt(version int64) (time.Time, bool) {
	l.router.mu.Lock()
	defer l.router.mu.Unlock()
	for _, k := range l.applied {
		if k.version > version {
			return k.at, true
		}
	}
	return time.Time{}, false
}

// undisturbedBetween reports whether the process ran all the time without a signal.
func (l *incarnation) undisturbedBetween(from, to time.Time) bool {
	if l.pausedBetween(from, to) || l.killedBefore(to) || l.stoppedBefore(to) {
		return false
	}
	l.router.mu.Lock()
	defer l.router.mu.Unlock()
	return l.started.Before(from)
}

// process returns the router process with an id; nil if there is none.
func (s *site) process(id string) *incarnation {
	for _, r := range s.routers {
		r.mu.Lock()
		all := append([]*incarnation{r.incarnation}, r.past...)
		r.mu.Unlock()
		for _, l := range all {
			if l != nil && l.id() == id {
				return l
			}
		}
	}
	return nil
}

func (l *incarnation) hasVersion(version int64) bool {
	_, ok := l.supersededAt(version - 1)
	return ok
}

func (l *incarnation) pausedBetween(from, to time.Time) bool {
	l.router.mu.Lock()
	defer l.router.mu.Unlock()
	for _, p := range l.pauses {
		if p.overlaps(from, to) {
			return true
		}
	}
	return false
}

func (l *incarnation) killedBefore(t time.Time) bool {
	l.router.mu.Lock()
	defer l.router.mu.Unlock()
	return !l.killed.IsZero() && l.killed.Before(t)
}

// stoppedBefore reports whether a planned stop had begun at t.
func (l *incarnation) stoppedBefore(t time.Time) bool {
	l.router.mu.Lock()
	defer l.router.mu.Unlock()
	return !l.stopped.IsZero() && !l.stopped.After(t)
}

// busyEnv makes the test binary run burnCPU instead of the tests.
const busyEnv = "FAULTSOAK_BUSY"

// burnCPU uses processor time until the parent process exits, which closes the pipe.
func burnCPU() {
	go func() {
		_, _ = io.Copy(io.Discard, os.Stdin)
		os.Exit(0)
	}()
	var sum [sha256.Size]byte
	for {
		sum = sha256.Sum256(sum[:])
	}
}

// startBusyProcesses starts n processes that use processor time. It returns a function
// that stops them.
func (s *site) startBusyProcesses(n int) (end func()) {
	var stopFuncs []func()
	for range n {
		cmd := exec.Command(os.Args[0])
		cmd.Env = append(os.Environ(), busyEnv+"=1")
		in, err := cmd.StdinPipe()
		assert.NilError(s.t, err)
		assert.NilError(s.t, cmd.Start())
		stopFuncs = append(stopFuncs, func() {
			in.Close()
			_ = cmd.Wait()
		})
	}
	return func() {
		for _, f := range stopFuncs {
			f()
		}
	}
}
