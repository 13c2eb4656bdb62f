package admission

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/skylarkwood/skylarkwood/internal/coordination/fair"
	"github.com/skylarkwood/skylarkwood/internal/coordination/processor"
)

// pollInterval is how often the front of the queue tries again, for capacity that was released at
// other routers. Notify makes it try at once.
const pollInterval = 40 * time.Millisecond

// WaitQueue lets requests wait for capacity. Each prioritized service has a Line, in which its
// requests wait. Those of all other services wait in one queue ordered by priority, in which only
// the request at the front tries to get capacity. It is safe for concurrent use.
type WaitQueue struct {
	// Processor keeps the wait for the processor out of timeouts. It may be nil and must not
	// change after the first call.
	Processor *processor.Monitor

	mu    sync.Mutex
	queue *fair.Queue[*queuedRequest]
	lines map[string]*Line
}

type queuedRequest struct {
	wake chan struct{}
}

// NewWaitQueue returns an empty queue.
func NewWaitQueue() *WaitQueue {
	return &WaitQueue{queue: fair.New[*queuedRequest](), lines: map[string]*Line{}}
}

// Len returns the number of waiting requests.
func (q *WaitQueue) Len() int {
	q.mu.Lock()
	n := q.queue.Len()
	lines := slices.Collect(maps.Values(q.lines))
	q.mu.Unlock()
	for _, l := range lines {
		n += l.Len()
	}
	return n
}

// Line returns the line of a prioritized service.
func (q *WaitQueue) Line(service string) *Line {
	q.mu.Lock()
	defer q.mu.Unlock()
	l, ok := q.lines[service]
	if !ok {
		l = NewLine(time.Now)
		l.Processor = q.Processor
		q.lines[service] = l
	}
	return l
}

// Wait calls try each time it may succeed, until it does or the timeout passes or ctx ends. It
// reports whether try succeeded. A request does not overtake one that waits already unless its
// priority is higher. Wait does not call try after ctx has ended, because the caller would not use
// what try acquires.
func (q *WaitQueue) Wait(ctx context.Context, r Request, timeout time.Duration, try func() bool) bool {
	if ctx.Err() != nil {
		return false
	}
	if q.lenOutsideLines() == 0 && try() {
		return true
	}
	w := &queuedRequest{wake: make(chan struct{}, 1)}
	q.mu.Lock()
	q.queue.Push(w, r.Customer, r.Priority)
	q.mu.Unlock()
	defer q.remove(w)
	started := q.Processor.Start()
	expired := time.NewTimer(timeout)
	defer expired.Stop()
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for {
		if ctx.Err() == nil && q.isFront(w) && try() {
			return true
		}
		select {
		case <-w.wake:
		case <-tick.C:
		case <-expired.C:
			if left := started.Remaining(timeout); left > 0 {
				expired.Reset(left)
				continue
			}
			// Capacity may have been released since the last try.
			return ctx.Err() == nil && q.isFront(w) && try()
		case <-ctx.Done():
			return false
		}
	}
}

// lenOutsideLines returns the number of requests that wait outside of the lines.
func (q *WaitQueue) lenOutsideLines() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.queue.Len()
}

// Notify makes the requests at the front try again, because capacity may have been released.
func (q *WaitQueue) Notify() {
	q.mu.Lock()
	q.notifyLocked()
	lines := slices.Collect(maps.Values(q.lines))
	q.mu.Unlock()
	for _, l := range lines {
		l.Notify()
	}
}

func (q *WaitQueue) notifyLocked() {
	if w, ok := q.queue.Peek(); ok {
		select {
		case w.wake <- struct{}{}:
		default:
		}
	}
}

func (q *WaitQueue) isFront(w *queuedRequest) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	front, ok := q.queue.Peek()
	return ok && front == w
}

func (q *WaitQueue) remove(w *queuedRequest) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.queue.Remove(w)
	q.notifyLocked()
}
