// Package answers bounds the memory of the answers that a process keeps for whoever asks for them again.
package answers

import "sync"

// Answer is the answer of one request.
type Answer interface {
	// Size returns its memory in bytes; 0 if there is none or it was dropped. That of a finished request
	// changes only by Drop. It must not call a method of Kept.
	Size() int64
	// Drop ends the answer of a finished request.
	Drop()
}

// Kept bounds the memory of answers. Beyond the limit, the answers of the requests that finished first are
// dropped. It is safe for concurrent use.
type Kept[A Answer] struct {
	mu       sync.Mutex
	limit    int64 // in bytes; 0 means none
	held     int64
	finished []A // with an answer, the earliest first
}

// Limit sets the limit in bytes; 0 means none. It must be called before the other methods.
func (k *Kept[A]) Limit(bytes int64) { k.limit = bytes }

// Held returns the memory of all answers in bytes.
func (k *Kept[A]) Held() int64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.held
}

// Grow records that an answer has become larger by n bytes.
func (k *Kept[A]) Grow(n int64) {
	if n == 0 {
		return
	}
	k.mu.Lock()
	k.held += n
	victims := k.excess()
	k.mu.Unlock()
	drop(victims)
}

// Finish records that an answer is complete and may be dropped.
func (k *Kept[A]) Finish(a A) {
	if a.Size() == 0 {
		return
	}
	k.mu.Lock()
	k.finished = append(k.finished, a)
	victims := k.excess()
	k.mu.Unlock()
	drop(victims)
}

// excess removes the answers that must be dropped. The caller must hold k.mu and drop them without it.
func (k *Kept[A]) excess() []A {
	n := 0
	for k.limit > 0 && k.held > k.limit && n < len(k.finished) {
		k.held -= k.finished[n].Size()
		n++
	}
	victims := k.finished[:n:n]
	k.finished = k.finished[n:]
	return victims
}

func drop[A Answer](victims []A) {
	for _, a := range victims {
		a.Drop()
	}
}

// Forget ends the account of finished answers whose requests are no longer stored.
func (k *Kept[A]) Forget(gone func(A) bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	kept := make([]A, 0, len(k.finished))
	for _, a := range k.finished {
		if gone(a) {
			k.held -= a.Size()
		} else {
			kept = append(kept, a)
		}
	}
	k.finished = kept
}
