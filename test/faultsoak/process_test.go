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

// process is one router, started again whenever it ends.
type router struct {
	name     string
	settings settings.Settings
	file     string
	log      *os.File
	store    *proxy

	mu          sync.Mutex
	incarnation *incarnation // the present process; nil before the first
	shutDown    bool
}

// life is one process of a router, from its start to its end, with what was done
// to it from outside. The lock of its router guards it.
type incarnation struct {
	router  *router
	cmd     *exec.Cmd
	killed  time.Time // zero: was not
	stopped time.Time // zero: was not asked to stop
	pauses  []span
	applied []appliedVersion
}

// span is a time that has ended, or still lasts if its end is zero.
type span struct{ from, to time.Time }

func (p span) overlaps(from, to time.Time) bool {
	return p.from.Before(to) && (p.to.IsZero() || p.to.After(from))
}

// known tells from when on a process certainly holds a version.
type appliedVersion struct {
	version int64
	at      time.Time
}

// keepRunning starts a router again whenever its process ends, as the platform
// does. A process that ends without having been told to is a fault.
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
		l := &incarnation{router: r, cmd: cmd}
		r.incarnation = l
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
			s.t.Errorf("router %s ended by itself: %v", r.name, err)
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// ended tells whether no process of it will follow.
func (r *router) isShutDown() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.shutDown
}

// present is its process now, or the last one.
func (r *router) current() *incarnation {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.incarnation
}

// signal sends a signal to the present process and notes it, before it can act.
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
	_ = l.cmd.Process.Signal(sig) // it may have ended by itself
	if sig == syscall.SIGCONT {
		for i := range l.pauses {
			if l.pauses[i].to.IsZero() {
				l.pauses[i].to = time.Now()
			}
		}
	}
}

// learnt notes that a process holds a version by now.
func (l *incarnation) recordVersion(version int64) {
	l.router.mu.Lock()
	defer l.router.mu.Unlock()
	l.applied = append(l.applied, appliedVersion{version, time.Now()})
}

// left gives the time from which on a process certainly holds a later version;
// false if it may hold this one still.
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

// stoppedBefore tells whether a planned stop had begun at a time.
func (l *incarnation) stoppedBefore(t time.Time) bool {
	l.router.mu.Lock()
	defer l.router.mu.Unlock()
	return !l.stopped.IsZero() && !l.stopped.After(t)
}

// busyEnv makes the test's binary a process that only uses up processor time.
const busyEnv = "FAULTSOAK_BUSY"

// burn ends with the process that started it, whose end closes the pipe.
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

// beside starts busy processes and gives what ends them.
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
