package transfer

import "context"

// Slot admits one large transfer of a router at a time. Concurrent transfers over one link
// slow each other down until each exceeds its timeout.
type Slot struct{ token chan struct{} }

// NewSlot returns a free slot.
func NewSlot() *Slot {
	s := &Slot{token: make(chan struct{}, 1)}
	s.token <- struct{}{}
	return s
}

// Acquire waits for the slot and reports whether it was acquired before ctx was done. The
// caller must call Release.
func (s *Slot) Acquire(ctx context.Context) bool {
	select {
	case <-s.token:
		return true
	case <-ctx.Done():
		return false
	}
}

// Release frees the slot.
func (s *Slot) Release() { s.token <- struct{}{} }
