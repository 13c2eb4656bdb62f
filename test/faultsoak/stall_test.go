package faultsoak

import (
	"fmt"
	"sync"
	"time"
)

const (
	stallCheckInterval = 10 * time.Millisecond
	// minStall is the shortest pause of this process that is recorded. Callers measure how
	// long their connections rest, and a paused process measures too late.
	minStall = 100 * time.Millisecond
)

// stallRecorder records when this process did not run.
type stallRecorder struct {
	done chan struct{}

	mu     sync.Mutex
	stalls []string
	total  time.Duration
}

// recordStalls records the pauses of this process until stop is called.
func recordStalls() *stallRecorder {
	r := &stallRecorder{done: make(chan struct{})}
	go func() {
		last := time.Now()
		for {
			select {
			case <-r.done:
				return
			case <-time.After(stallCheckInterval):
			}
			now := time.Now()
			if pause := now.Sub(last); pause >= minStall {
				r.mu.Lock()
				r.total += pause
				r.stalls = append(r.stalls, fmt.Sprintf("%s for %v", last.Format("15:04:05.000"), pause.Round(time.Millisecond)))
				r.mu.Unlock()
			}
			last = now
		}
	}()
	return r
}

// sum returns the duration of all pauses so far.
func (r *stallRecorder) sum() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.total
}

// stop ends the recording and returns the pauses.
func (r *stallRecorder) stop() []string {
	close(r.done)
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stalls
}
