// Package requests stores the requests that an entry owns: the parts of the answer
// received so far, for callers that reconnect, and the final outcome.
package requests

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/skylarkwood/skylarkwood/internal/model"
	"github.com/skylarkwood/skylarkwood/internal/state/answers"
	"github.com/skylarkwood/skylarkwood/internal/state/shard"
)

// Request is one request and its answer. It is safe for concurrent use.
type Request struct {
	Key      model.RequestKey
	Content  uint64 // hash of the request's contents
	Deadline time.Time

	kept *answers.Kept[*Request]

	mu      sync.Mutex
	answer  [][]byte
	bytes   int64 // of the answer
	dropped bool  // the answer is no longer kept
	parts   int64 // of the dropped answer
	outcome model.Outcome
	changed chan struct{} // closed and replaced when answer or outcome changes
}

// Append adds parts of the answer that start at position and returns the number of new
// parts. Parts that are already held are dropped. It returns false if there is a gap
// before position or the request is finished.
func (r *Request) Append(position int64, parts [][]byte) (added int, ok bool) {
	fresh, ok := r.append(position, parts)
	r.kept.Grow(sizeOf(fresh))
	return len(fresh), ok
}

func (r *Request) append(position int64, parts [][]byte) (fresh [][]byte, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	have := int64(len(r.answer))
	if position > have || r.outcome.Final() {
		return nil, false
	}
	skip := min(have-position, int64(len(parts)))
	fresh = parts[skip:]
	if len(fresh) == 0 {
		return nil, true
	}
	r.answer = append(r.answer, fresh...)
	r.bytes += sizeOf(fresh)
	r.notifyWaiters()
	return fresh, true
}

// Finish sets the final outcome. It panics if o is not final or the request is already
// finished.
func (r *Request) Finish(o model.Outcome) {
	r.finish(o)
	r.kept.Finish(r)
}

func (r *Request) finish(o model.Outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !o.Final() {
		panic(fmt.Sprintf("request %s: %q is not a final outcome", r.Key, o.State))
	}
	if r.outcome.Final() {
		panic(fmt.Sprintf("request %s: second outcome %q after %q", r.Key, o.State, r.outcome.State))
	}
	r.outcome = o
	r.notifyWaiters()
}

func (r *Request) notifyWaiters() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// Outcome returns the current outcome.
func (r *Request) Outcome() model.Outcome {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.outcome
}

// Len returns the number of parts of the answer.
func (r *Request) Len() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return int64(len(r.answer))
}

// Answer returns the parts of the answer received so far.
func (r *Request) Answer() [][]byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([][]byte(nil), r.answer...)
}

// ErrAnswerDropped reports that a request ran and that its answer is no longer kept.
var ErrAnswerDropped = errors.New("the request ran; its answer is no longer kept")

// Next waits for parts from a position on or for the final outcome. It returns a final
// outcome only if no parts are left. It returns ctx.Err() if ctx is done first, and ErrAnswerDropped if
// parts from that position on are no longer kept.
func (r *Request) Next(ctx context.Context, from int64) ([][]byte, model.Outcome, error) {
	for {
		r.mu.Lock()
		parts, o, changed := r.answer[min(from, int64(len(r.answer))):], r.outcome, r.changed
		dropped := r.dropped && from < r.parts
		r.mu.Unlock()
		if dropped {
			return nil, o, ErrAnswerDropped
		}
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

// Store holds the requests of one entry. It is safe for concurrent use.
type Store struct {
	now       func() time.Time
	retention time.Duration
	all       *shard.Map[string, *Request]
	kept      *answers.Kept[*Request]
	// copies are final outcomes received from other entries.
	copies *shard.Map[string, outcomeCopy]
}

type outcomeCopy struct {
	outcome model.Outcome
	at      time.Time
}

// NewStore returns a store that keeps finished requests until retention after their
// deadline.
func NewStore(now func() time.Time, retention time.Duration) *Store {
	return &Store{
		now:       now,
		retention: retention,
		all:       shard.New[string, *Request](),
		kept:      &answers.Kept[*Request]{},
		copies:    shard.New[string, outcomeCopy](),
	}
}

// GetOrCreate returns the request with a key or creates it. joined reports whether it
// existed.
func (s *Store) GetOrCreate(key model.RequestKey, content uint64, deadline time.Time) (r *Request, joined bool) {
	return s.all.GetOrPut(key.String(), func() *Request {
		return &Request{
			Key:      key,
			Content:  content,
			Deadline: deadline,
			outcome:  model.Outcome{State: model.InProgress},
			changed:  make(chan struct{}),
			kept:     s.kept,
		}
	})
}

// Get returns the request with a key.
func (s *Store) Get(key model.RequestKey) (*Request, bool) {
	return s.all.Get(key.String())
}

// SetOutcomeCopy stores a copy of another entry's outcome.
func (s *Store) SetOutcomeCopy(key model.RequestKey, o model.Outcome) {
	s.copies.Put(key.String(), outcomeCopy{o, s.now()})
}

// OutcomeCopy returns a stored copy of another entry's outcome.
func (s *Store) OutcomeCopy(key model.RequestKey) (model.Outcome, bool) {
	c, ok := s.copies.Get(key.String())
	return c.outcome, ok
}

// Sweep deletes finished requests and outcome copies past their retention.
func (s *Store) Sweep() {
	old := s.now().Add(-s.retention)
	s.all.DeleteIf(func(_ string, r *Request) bool {
		return r.Outcome().Final() && r.Deadline.Before(old)
	})
	s.kept.Forget(func(r *Request) bool { return r.Deadline.Before(old) })
	s.copies.DeleteIf(func(_ string, c outcomeCopy) bool { return c.at.Before(old) })
}
