// Package transfer decides how a router fetches values that are too large for the updates
// between routers: which value next, from where, and how long to wait. It does no I/O.
package transfer

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/skylarkwood/skylarkwood/internal/model"
)

const (
	// minPatience and maxPatience bound how long a source may stay silent. After a timeout
	// the patience doubles, so that a transfer succeeds however slow the source or the
	// link is.
	minPatience = 500 * time.Millisecond
	maxPatience = 4 * time.Second
	// holderTries is how many holders of a value are asked before the store.
	holderTries = 2
	// minRetryDelay and maxRetryDelay bound the delay after all sources of a value failed.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = time.Second
)

// Failure is why an attempt failed.
type Failure int

const (
	// TimedOut means that the source was silent for longer than the patience.
	TimedOut Failure = iota
	// Refused means that the source answered but does not send the value now.
	Refused
)

// Attempt is one attempt to fetch a value.
type Attempt struct {
	Key string
	// Revision is the lowest one that is wanted.
	Revision model.Revision
	// Holder is the address of a router that has the value, or empty for the store.
	Holder string
	// Patience is how long the source may be silent.
	Patience time.Duration
}

// wanted is a value to fetch.
type wanted struct {
	revision model.Revision // newest known
	// oldest is the lowest revision that is newer than what this process has. A transfer
	// that began before the newest revision was written still brings progress.
	oldest    model.Revision
	since     time.Duration
	holders   []string // newest last
	tries     int      // since the last delay
	delay     time.Duration
	notBefore time.Duration
}

// Schedule orders the transfers of one router. It is safe for concurrent use.
type Schedule struct {
	clock func() time.Duration

	mu     sync.Mutex
	wanted map[string]*wanted
	// patience is for the store, peerPatience for holders. A store that does not answer
	// must not make an unresponsive peer wait longer.
	patience, peerPatience time.Duration
}

// NewSchedule returns an empty schedule. clock is monotonic.
func NewSchedule(clock func() time.Duration) *Schedule {
	return &Schedule{clock: clock, wanted: map[string]*wanted{}, patience: minPatience, peerPatience: minPatience}
}

// Want records that a value changed. holder is the router that announced the change, or
// empty if the store did.
func (s *Schedule) Want(key string, revision model.Revision, holder string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.wanted[key]
	if w == nil {
		w = &wanted{oldest: revision, since: s.clock()}
		s.wanted[key] = w
	}
	if revision > w.revision {
		w.revision = revision
		w.holders, w.tries, w.delay, w.notBefore = nil, 0, 0, 0
	}
	if holder != "" && !slices.Contains(w.holders, holder) {
		w.holders = append(w.holders, holder)
	}
}

// Fetched records that an attempt returned a value and reports whether the value is newer
// than what this process has. A value that is older than the newest one known counts too,
// and the newest stays wanted.
func (s *Schedule) Fetched(a Attempt, revision model.Revision) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.patienceOf(a)
	*p = max(*p/2, minPatience)
	w := s.wanted[a.Key]
	if w == nil || revision < w.oldest {
		return false
	}
	w.oldest = revision + 1
	if revision >= w.revision {
		delete(s.wanted, a.Key)
	}
	return true
}

// patienceOf returns the patience with the source of an attempt. The caller holds s.mu.
func (s *Schedule) patienceOf(a Attempt) *time.Duration {
	if a.Holder == "" {
		return &s.patience
	}
	return &s.peerPatience
}

// Drop records that a value arrived otherwise, or that the key was removed, at a revision.
func (s *Schedule) Drop(key string, revision model.Revision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if w := s.wanted[key]; w != nil && w.revision <= revision {
		delete(s.wanted, key)
	}
}

// Clear drops all values.
func (s *Schedule) Clear() {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.wanted)
}

// Len returns the number of values to fetch.
func (s *Schedule) Len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.wanted)
}

// Next returns the next attempt. If none is due, it returns how long to wait for one, or 0
// if nothing is wanted.
func (s *Schedule) Next() (a Attempt, due bool, wait time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	key, w := s.earliest()
	if w == nil {
		return Attempt{}, false, 0
	}
	if wait = w.notBefore - s.clock(); wait > 0 {
		return Attempt{}, false, wait
	}
	a = Attempt{Key: key, Revision: w.oldest}
	if w.tries < min(len(w.holders), holderTries) {
		a.Holder = w.holders[len(w.holders)-1-w.tries]
	}
	a.Patience = *s.patienceOf(a)
	return a, true, 0
}

// earliest returns the value that may be fetched first. Among those that are due, it is the
// one that has been wanted for longest. The caller holds s.mu.
func (s *Schedule) earliest() (key string, first *wanted) {
	now := s.clock()
	for k, w := range s.wanted {
		if first == nil || cmp.Or(cmp.Compare(max(w.notBefore, now), max(first.notBefore, now)), cmp.Compare(w.since, first.since), cmp.Compare(k, key)) < 0 {
			key, first = k, w
		}
	}
	return key, first
}

// Failed records that an attempt failed. The next one uses another source. After the store,
// which is last, the value is delayed.
func (s *Schedule) Failed(a Attempt, why Failure) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if why == TimedOut {
		p := s.patienceOf(a)
		*p = min(2**p, maxPatience)
	}
	w := s.wanted[a.Key]
	if w == nil || w.oldest > a.Revision {
		return
	}
	if a.Holder != "" {
		w.tries++
		return
	}
	w.tries = 0
	w.delay = min(max(2*w.delay, minRetryDelay), maxRetryDelay)
	w.notBefore = s.clock() + w.delay
}
