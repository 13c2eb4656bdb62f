package intake

import (
	"time"

	"k8s.io/klog/v2"
)

// logInterval is the time between two log lines while connections are refused.
const logInterval = time.Second

// limitLog logs that the limit begins or ends and, while it holds, what it refused.
type limitLog struct {
	at      time.Duration // of the last line
	refused int           // since then
	// total is what was refused before the last line. A line may be dropped in a process that logs
	// too much.
	total int
}

type limitState struct {
	limited           bool
	standing          time.Duration
	limit             float64
	inFlight, waiting int
}

// write writes a line if the limit has begun or ended, or connections were refused.
func (l *limitLog) write(now time.Duration, changed bool, s limitState) {
	if !changed && (l.refused == 0 || now-l.at < logInterval) {
		return
	}
	klog.InfoS("new connections limited: they wait for the processor", "limited", s.limited, "standingMs", s.standing.Milliseconds(),
		"limit", s.limit, "inProgress", s.inFlight, "waiting", s.waiting, "refused", l.refused, "refusedTotal", l.total+l.refused)
	l.total += l.refused
	l.at, l.refused = now, 0
}
