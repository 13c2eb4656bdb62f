package owner

import "sync"

// intake counts the requests that an owner has accepted and not yet finished.
//
// Accepting a request and detecting that none is left use the same lock. With a
// separate check of the counter, a request could be accepted after the count was read
// as zero and then be lost when the process exits.
type intake struct {
	mu            sync.Mutex
	running       int64
	leaving       bool
	drainedClosed bool          // whether drained is closed
	drained       chan struct{} // closed when no accepted request is left
}

func newIntake() *intake { return &intake{drained: make(chan struct{})} }

// enter accepts a request unless the owner is draining. After true, the caller must
// call leave.
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
	i.closeIfDrained()
}

func (i *intake) drain() <-chan struct{} {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.leaving = true
	i.closeIfDrained()
	return i.drained
}

// closeIfDrained closes drained if the owner is draining and no request is left. The
// caller holds i.mu.
func (i *intake) closeIfDrained() {
	if i.leaving && i.running == 0 && !i.drainedClosed {
		i.drainedClosed = true
		close(i.drained)
	}
}

// ActiveRequests returns the number of accepted requests whose outcome has not been
// determined and copied to other entries.
func (o *Owner) ActiveRequests() int64 {
	o.intake.mu.Lock()
	defer o.intake.mu.Unlock()
	return o.intake.running
}

// Drain refuses further requests. The returned channel is closed when every accepted
// request has its outcome and copies of it have been sent. Callers can still join
// earlier requests.
func (o *Owner) Drain() <-chan struct{} { return o.intake.drain() }
