package daemon

import (
	"context"
	"time"

	"golang.org/x/sys/unix"
	"k8s.io/klog/v2"

	"github.com/skylarkwood/skylarkwood/internal/transport/selfprobe"
)

// minLoggedWait is the least time in a second for which the process waited for the processor that
// is logged.
const minLoggedWait = 100 * time.Millisecond

// processorLog is what was known of the processor at the last log line.
type processorLog struct {
	at           time.Duration
	waited, used time.Duration
}

// runProbes measures how long this process waits for the processor, until ctx ends.
func (r *Router) runProbes(ctx context.Context) {
	if err := selfprobe.Run(ctx, r.processor, r.front.Advance); err != nil {
		klog.ErrorS(err, "measuring the wait for the processor failed")
	}
}

// logProcessor logs a wait for the processor since the last call, and sets the metrics.
func (r *Router) logProcessor() {
	last := r.processorLogged
	now := processorLog{at: r.processor.Now(), waited: r.processor.Waited(), used: processorTime()}
	r.processorLogged = now
	longest := r.processor.TakeLongest()
	r.metrics.setProcessor(now.waited, now.used, longest)
	if now.waited-last.waited < minLoggedWait {
		return
	}
	klog.InfoS("process waited for the processor", "waitedMs", (now.waited - last.waited).Milliseconds(), "longestMs", longest.Milliseconds(),
		"usedMs", (now.used - last.used).Milliseconds(), "inMs", (now.at - last.at).Milliseconds(), "active", r.front.ActiveRequests(), "waiting", r.front.Relay.WaitQueue.Len())
}

// processorTime returns the processor time that this process has used.
func processorTime() time.Duration {
	var u unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
