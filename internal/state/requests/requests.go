// Package requests holds the requests that one entry owns: the answer so far,
// kept for callers that come back, and the one final outcome.
package requests

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/skylarkwood/skylarkwood/internal/model"
	"github.com/skylarkwood/skylarkwood/internal/state/shard"
)

// Request is one request and its answer.
type Request struct {
	Key      model.RequestKey
	Content  uint64 // hash of what was asked
	Deadline time.Time

	mu      sync.Mutex
	answer  [][]byte
	outcome model.Outcome
	changed chan struct{} // closed and replaced when answer or outcome change
}

// Append adds parts of the answer from a position on. Parts held already are
// dropped, a gap is refused: the caller sees each position once, in order. It
// tells how many parts were new.
func (r *Request) Append(position int64, parts [][]byte) (added int, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	have := int64(len(r.answer))
	if position > have || r.outcome.Final() {
		return 0, false
	}
	skip := min(have-position, int64(len(parts)))
	fresh := parts[skip:]
	if len(fresh) == 0 {
		return 0, true
	}
	r.answer = append(r.answer, fresh...)
	r.announce()
	return len(fresh), true
}

// Finish fixes the outcome. A request has exactly one; a second is a bug.
func (r *Request) Finish(o model.Outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !o.Final() {
		panic(fmt.Sprintf("request %s: %q is not a final outcome", r.Key, o.State))
	}
	if r.outcome.Final() {
		panic(fmt.Sprintf("request %s: second outcome %q after %q", r.Key, o.State, r.outcome.State))
	}
	r.outcome = o
	r.announce()
}

func (r *Request) announce() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// Outcome gives the state of the request now.
func (r *Request) Outcome() model.Outcome {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.outcome
}

// Len is how many parts of the answer there are.
func (r *Request) Len() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return int64(len(r.answer))
}

// Answer copies the parts so far.
func (r *Request) Answer() [][]byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([][]byte(nil), r.answer...)
}

// Next waits for parts from a position on, or for the outcome. The parts come
// before the outcome: a final outcome is given only with nothing left to read.
func (r *Request) Next(ctx context.Context, from int64) ([][]byte, model.Outcome, error) {
	for {
		r.mu.Lock()
		parts, o, changed := r.answer[min(from, int64(len(r.answer))):], r.outcome, r.changed
		r.mu.Unlock()
		if len(parts) > 0 {
			return parts, model.Outcome{State: model.InProgress}, nil
		}
		if o.Final() {
			return nil, o, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, o, ctx.Err()
		}
	}
}

// Store holds the requests of one entry.
type Store struct {
	now  func() time.Time
	keep time.Duration
	all  *shard.Map[string, *Request]
	// copies are final outcomes that other entries left here.
	copies *shard.Map[string, copied]
}

type copied struct {
	outcome model.Outcome
	at      time.Time
}

// NewStore makes a store that keeps finished requests for a while after their
// deadline.
func NewStore(now func() time.Time, keep time.Duration) *Store {
	return &Store{
		now:    now,
		keep:   keep,
		all:    shard.New[string, *Request](),
		copies: shard.New[string, copied](),
	}
}

// GetOrCreate finds the request under a key or makes a new one.
func (s *Store) GetOrCreate(key model.RequestKey, content uint64, deadline time.Time) (r *Request, joined bool) {
	return s.all.GetOrPut(key.String(), func() *Request {
		return &Request{
			Key:      key,
			Content:  content,
			Deadline: deadline,
			outcome:  model.Outcome{State: model.InProgress},
			changed:  make(chan struct{}),
		}
	})
}

// Get finds a request.
func (s *Store) Get(key model.RequestKey) (*Request, bool) {
	return s.all.Get(key.String())
}

// SetOutcomeCopy stores another entry's outcome.
func (s *Store) SetOutcomeCopy(key model.RequestKey, o model.Outcome) {
	s.copies.Put(key.String(), copied{o, s.now()})
}

// OutcomeCopy finds another entry's outcome.
func (s *Store) OutcomeCopy(key model.RequestKey) (model.Outcome, bool) {
	c, ok := s.copies.Get(key.String())
	return c.outcome, ok
}

// Sweep forgets what is past its time.
func (s *Store) Sweep() {
	old := s.now().Add(-s.keep)
	s.all.DeleteIf(func(_ string, r *Request) bool {
		return r.Outcome().Final() && r.Deadline.Before(old)
	})
	s.copies.DeleteIf(func(_ string, c copied) bool { return c.at.Before(old) })
}
