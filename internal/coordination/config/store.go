package config

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/skylarkwood/skylarkwood/internal/fault"
	"github.com/skylarkwood/skylarkwood/internal/platform"
	"github.com/skylarkwood/skylarkwood/internal/wait"
)

const (
	headKey      = "config/head"
	maxSwapTries = 16
	swapPause    = 20 * time.Millisecond
	maxPause     = 500 * time.Millisecond
)

// Store reads and changes the configuration, and holds the newest one that this
// process has applied.
type Store struct {
	kv    platform.KV
	now   func() time.Time
	newID func() string

	mu        sync.Mutex // serialises applying
	current   atomic.Pointer[Snapshot]
	onApplied func(revision int64)
}

// NewStore makes a store that holds an empty configuration of revision 0.
// onApplied is told of each newer revision.
func NewStore(kv platform.KV, now func() time.Time, newID func() string, onApplied func(int64)) *Store {
	s := &Store{kv: kv, now: now, newID: newID, onApplied: onApplied}
	s.current.Store(&Snapshot{Head: Head{Keys: map[int]string{}}, Buckets: map[int]Bucket{}})
	return s
}

// Current gives the configuration in force here.
func (s *Store) Current() *Snapshot { return s.current.Load() }

// Revision gives its revision.
func (s *Store) Revision() int64 { return s.Current().Head.Revision }

// Apply takes in a newer head with the buckets that changed. An older or equal
// one is left out: a late message would otherwise bring back what an operator
// has replaced.
func (s *Store) Apply(head Head, changed map[int]Bucket) (bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.Current()
	if head.Revision <= old.Head.Revision {
		return false, nil
	}
	next := &Snapshot{Head: head, Buckets: make(map[int]Bucket, len(head.Keys))}
	for i, key := range head.Keys {
		b, ok := changed[i]
		if !ok && old.Head.Keys[i] == key {
			b, ok = old.Buckets[i]
		}
		if !ok {
			return false, fault.New(fault.Internal, "bucket %d of revision %d is missing", i, head.Revision)
		}
		next.Buckets[i] = b
	}
	s.current.Store(next)
	s.onApplied(head.Revision)
	return true, nil
}

// Refresh reads the head and what changed from the key-value service.
func (s *Store) Refresh(ctx context.Context) error {
	head, _, err := s.readHead(ctx)
	if err != nil {
		return err
	}
	return s.load(ctx, head)
}

// Watch waits for a head newer than version and applies it; it returns the
// version to wait for next.
func (s *Store) Watch(ctx context.Context, version int64, wait time.Duration) (int64, error) {
	v, err := s.kv.Watch(ctx, headKey, version, wait)
	if err != nil {
		return version, err
	}
	if v.Version <= version {
		return version, nil
	}
	head, err := decodeHead(v)
	if err != nil {
		return version, err
	}
	return v.Version, s.load(ctx, head)
}

func (s *Store) load(ctx context.Context, head Head) error {
	old := s.Current()
	if head.Revision <= old.Head.Revision {
		return nil
	}
	changed := map[int]Bucket{}
	for i, key := range head.Keys {
		if old.Head.Keys[i] == key {
			continue
		}
		b, err := s.readBucket(ctx, key)
		if err != nil {
			return err
		}
		changed[i] = b
	}
	_, err := s.Apply(head, changed)
	return err
}

// Set replaces one template if its revision is still the expected one. The
// error is of kind RevisionConflict where another operator was first; of kind
// StoreUnavailable where it is not known whether the change was accepted.
func (s *Store) Set(ctx context.Context, t Template, expected int64, author string) (Change, error) {
	id := s.newID()
	pause := swapPause
	maybe := false
	for try := 0; try < maxSwapTries; try++ {
		c, err := s.trySet(ctx, t, expected, author, id)
		if err == nil || fault.Is(err, fault.RevisionConflict) {
			return c, err
		}
		maybe = maybe || errors.Is(err, platform.ErrUnknown)
		if !wait.For(ctx, pause) {
			break
		}
		pause = min(2*pause, maxPause)
	}
	if maybe {
		return Change{}, fault.New(fault.StoreUnavailable, "key-value service gives no answer; whether the change was accepted is not known: read the template back")
	}
	return Change{}, fault.New(fault.Overloaded, "too many changes at once; nothing was changed")
}

// trySet makes one attempt. It first looks for its own write id: an earlier
// attempt may have taken effect though its answer was lost, and writing again
// would overwrite what another operator based on it.
func (s *Store) trySet(ctx context.Context, t Template, expected int64, author, id string) (Change, error) {
	head, version, err := s.readHead(ctx)
	if err != nil {
		return Change{}, err
	}
	i := bucketOf(t.Customer)
	bucket := Bucket{}
	if key, ok := head.Keys[i]; ok {
		if bucket, err = s.readBucket(ctx, key); err != nil {
			return Change{}, err
		}
	}
	rec := bucket[t.Customer]
	if c, ok := rec.wrote(id); ok {
		return c, s.load(ctx, head)
	}
	if rec.Current.Revision != expected {
		return rec.Current, fault.New(fault.RevisionConflict,
			"template %s is at revision %d, changed by %s; the change was based on %d",
			t.Customer, rec.Current.Revision, rec.Current.Author, expected)
	}
	c := Change{
		Template:       t,
		Revision:       expected + 1,
		Author:         author,
		At:             s.now(),
		ConfigRevision: head.Revision + 1,
		WriteID:        id,
	}
	return c, s.write(ctx, head, version, i, bucket, c)
}

func (s *Store) write(ctx context.Context, head Head, version int64, i int, bucket Bucket, c Change) error {
	next := bucket.with(c)
	data, err := json.Marshal(next)
	if err != nil {
		return errors.Wrap(err, "encode bucket")
	}
	if len(data) > platform.MaxValue {
		return fault.New(fault.TooLarge, "bucket %d would exceed the key-value service's value limit", i)
	}
	key := fmt.Sprintf("config/bucket/%d/%s", i, s.newID())
	if _, err := s.kv.Swap(ctx, key, data, 0); err != nil {
		return err
	}
	replaced := head.Keys[i]
	newHead := head.with(i, key)
	raw, err := json.Marshal(newHead)
	if err != nil {
		return errors.Wrap(err, "encode head")
	}
	if _, err := s.kv.Swap(ctx, headKey, raw, version); err != nil {
		if errors.Is(err, platform.ErrSwapFailed) {
			_ = s.kv.Delete(ctx, key)
		}
		return err
	}
	if replaced != "" {
		_ = s.kv.Delete(ctx, replaced)
	}
	_, err = s.Apply(newHead, map[int]Bucket{i: next})
	if err != nil {
		// A head between ours and the applied one is missing here; the accepted
		// change is in the service and is loaded from there.
		return s.Refresh(ctx)
	}
	return nil
}

func (b Bucket) with(c Change) Bucket {
	next := make(Bucket, len(b)+1)
	for k, v := range b {
		next[k] = v
	}
	rec := next[c.Template.Customer]
	if rec.Current.Revision > 0 {
		earlier := append([]Change{rec.Current}, rec.Earlier...)
		rec.Earlier = earlier[:min(len(earlier), historyLimit)]
	}
	rec.Current = c
	next[c.Template.Customer] = rec
	return next
}

func (h Head) with(i int, key string) Head {
	next := Head{Revision: h.Revision + 1, Keys: make(map[int]string, len(h.Keys)+1)}
	for k, v := range h.Keys {
		next.Keys[k] = v
	}
	next.Keys[i] = key
	return next
}

func (s *Store) readHead(ctx context.Context) (Head, int64, error) {
	v, err := s.kv.Get(ctx, headKey)
	if errors.Is(err, platform.ErrNotFound) {
		return Head{Keys: map[int]string{}}, 0, nil
	}
	if err != nil {
		return Head{}, 0, err
	}
	h, err := decodeHead(v)
	return h, v.Version, err
}

func decodeHead(v platform.Value) (Head, error) {
	h := Head{Keys: map[int]string{}}
	err := json.Unmarshal(v.Data, &h)
	return h, errors.Wrap(err, "configuration head")
}

func (s *Store) readBucket(ctx context.Context, key string) (Bucket, error) {
	v, err := s.kv.Get(ctx, key)
	if err != nil {
		return nil, err
	}
	var b Bucket
	err = json.Unmarshal(v.Data, &b)
	return b, errors.Wrapf(err, "bucket %s", key)
}
