package admission

import (
	"context"
	"sync"
	"time"

	"github.com/skylarkwood/skylarkwood/internal/coordination/fair"
)

// pollInterval is how often the front of a line looks for room that other routers'
// streams gave back; room given back here wakes it at once.
const pollInterval = 40 * time.Millisecond

// WaitQueue lets requests wait a moment for token memory, the most urgent first and
// fairly among customers. Only who is at the front may try.
type WaitQueue struct {
	mu    sync.Mutex
	queue *fair.Queue[*queuedRequest]
}

type queuedRequest struct {
	wake chan struct{}
}

// NewWaitQueue makes an empty line.
func NewWaitQueue() *WaitQueue { return &WaitQueue{queue: fair.New[*queuedRequest]()} }

// Len counts who waits.
func (l *WaitQueue) Len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.queue.Len()
}

// Wait calls try whenever it may succeed, until it does, at most for the given
// time. It tells whether try succeeded. Nobody overtakes who waits already,
// unless more urgent. After the end of ctx it tries no more: a wake may come in the
// same moment, and what try takes would be taken for nobody.
func (l *WaitQueue) Wait(ctx context.Context, q Request, most time.Duration, try func() bool) bool {
	if ctx.Err() != nil {
		return false
	}
	if l.Len() == 0 && try() {
		return true
	}
	w := &queuedRequest{wake: make(chan struct{}, 1)}
	l.mu.Lock()
	l.queue.Push(w, q.Customer, q.Priority)
	l.mu.Unlock()
	defer l.remove(w)
	patience := time.NewTimer(most)
	defer patience.Stop()
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for {
		if ctx.Err() == nil && l.isFront(w) && try() {
			return true
		}
		select {
		case <-w.wake:
		case <-tick.C:
		case <-patience.C:
			// Room may have come free since the last look, here or elsewhere.
			return ctx.Err() == nil && l.isFront(w) && try()
		case <-ctx.Done():
			return false
		}
	}
}

// Notify tells the front of the line that there may be room.
func (l *WaitQueue) Notify() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.notifyLocked()
}

func (l *WaitQueue) notifyLocked() {
	if w, ok := l.queue.Peek(); ok {
		select {
		case w.wake <- struct{}{}:
		default:
		}
	}
}

func (l *WaitQueue) isFront(w *queuedRequest) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	front, ok := l.queue.Peek()
	return ok && front == w
}

func (l *WaitQueue) remove(w *queuedRequest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.queue.Remove(w)
	l.notifyLocked()
}
