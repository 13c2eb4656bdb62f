package owner

import "sync"

// intake counts the requests that an owner has accepted and not yet finished.
//
// Accepting one and finding that none is left are decided under one lock. With a
// counter that is only read, a request may be accepted between the look that finds
// it at zero and the end of the process: it is handed over, and its caller's stream
// breaks off without an outcome. What is refused here was not accepted, and its
// caller sends it to another entry.
type intake struct {
	mu      sync.Mutex
	running int64
	leaving bool
	settled bool          // drained is closed
	drained chan struct{} // closed when nothing is left of what was accepted
}

func newIntake() *intake { return &intake{drained: make(chan struct{})} }

// enter accepts a request, unless the owner drains. After true, leave must be
// called.
func (i *intake) enter() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.leaving {
		return false
	}
	i.running++
	return true
}

func (i *intake) leave() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.running--
	i.settle()
}

func (i *intake) drain() <-chan struct{} {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.leaving = true
	i.settle()
	return i.drained
}

// settle closes drained when it is time. The caller holds the lock.
func (i *intake) settle() {
	if i.leaving && i.running == 0 && !i.settled {
		i.settled = true
		close(i.drained)
	}
}

// ActiveRequests counts the requests whose outcome, and the copies of it, are not yet
// out.
func (o *Owner) ActiveRequests() int64 {
	o.intake.mu.Lock()
	defer o.intake.mu.Unlock()
	return o.intake.running
}

// Drain accepts nothing more from now on. The channel closes when every request
// that was accepted has its outcome, and the copies of it are out. Callers that
// come back for a request of before still get its answer.
func (o *Owner) Drain() <-chan struct{} { return o.intake.drain() }
