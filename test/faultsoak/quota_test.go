package faultsoak

import (
	"os"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// quota is the processor time that a process may use in each period. It runs at full speed until
// that is used up and then not at all until the next period.
type quota struct {
	time, period time.Duration
}

// limitedProcess stops and continues a process to keep it within its quota.
type limitedProcess struct {
	process *os.Process
	quota   quota
	done    chan struct{}
	wait    sync.WaitGroup
}

const quotaCheckInterval = 500 * time.Microsecond

// limit keeps the current process of a router within a quota until stop is called.
func (r *router) limit(q quota) *limitedProcess {
	l := &limitedProcess{process: r.current().cmd.Process, done: make(chan struct{}), quota: q}
	l.wait.Go(l.run)
	return l
}

func (l *limitedProcess) run() {
	defer l.signal(syscall.SIGCONT)
	debt := time.Duration(0) // processor time used beyond earlier quotas
	q := l.quota
	for began := time.Now(); ; {
		used, stopped := l.cpuTime(), false
		for end := began.Add(q.period); time.Now().Before(end); {
			if !stopped && l.cpuTime()-used+debt >= q.time {
				stopped = true
				l.signal(syscall.SIGSTOP)
			}
			pause := quotaCheckInterval
			if stopped {
				pause = time.Until(end)
			}
			select {
			case <-l.done:
				return
			case <-time.After(pause):
			}
		}
		// If this process lacks processor time itself, it stops the other one late. More than a
		// period without processor time would be no quota.
		debt = min(max(debt+l.cpuTime()-used-q.time, 0), q.time)
		if stopped {
			l.signal(syscall.SIGCONT)
		}
		began = began.Add(q.period)
		if late := time.Since(began); late > q.period {
			began = time.Now() // this process did not run
		}
	}
}

func (l *limitedProcess) signal(s syscall.Signal) { _ = l.process.Signal(s) } // it may have exited

// cpuTime returns the processor time that the process has used.
func (l *limitedProcess) cpuTime() time.Duration {
	const schedClock = 2 // CPUCLOCK_SCHED of the kernel's per-process clock IDs
	var ts unix.Timespec
	if err := unix.ClockGettime(int32(^l.process.Pid<<3|schedClock), &ts); err != nil {
		return 0
	}
	return time.Duration(ts.Nano())
}

func (l *limitedProcess) stop() {
	close(l.done)
	l.wait.Wait()
}
