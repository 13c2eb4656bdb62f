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
	headKey         = "config/head"
	maxSwapAttempts = 16
	minSwapDelay    = 20 * time.Millisecond
	maxSwapDelay    = 500 * time.Millisecond
)

// Store reads and changes the configuration, and holds the newest one applied by this
// process. It is safe for concurrent use.
type Store struct {
	kv    platform.KV
	now   func() time.Time
	newID func() string

	mu        sync.Mutex // serializes Apply
	current   atomic.Pointer[Snapshot]
	onApplied func(revision int64)
}

// NewStore returns a store with an empty configuration of revision 0. onApplied is
// called with each newer revision.
func NewStore(kv platform.KV, now func() time.Time, newID func() string, onApplied func(int64)) *Store {
	s := &Store{kv: kv, now: now, newID: newID, onApplied: onApplied}
	s.current.Store(&Snapshot{Head: Head{Keys: map[int]string{}}, Buckets: map[int]Bucket{}})
	return s
}

// Current returns the newest configuration applied by this process.
func (s *Store) Current() *Snapshot { return s.current.Load() }

// Revision returns the revision of the current configuration.
func (s *Store) Revision() int64 { return s.Current().Head.Revision }

// Apply applies a head with the buckets that changed and reports whether it was newer
// than the current one. A late, older head would undo a newer change.
func (s *Store) Apply(head Head, changed map[int]Bucket) (bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.Current()
	if head.Revision <= current.Head.Revision {
		return false, nil
	}
	next := &Snapshot{Head: head, Buckets: make(map[int]Bucket, len(head.Keys))}
	for i, key := range head.Keys {
		b, ok := changed[i]
		if !ok && current.Head.Keys[i] == key {
			b, ok = current.Buckets[i]
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

// Refresh reads the head and the changed buckets from the key-value service and applies
// them.
func (s *Store) Refresh(ctx context.Context) error {
	head, _, err := s.readHead(ctx)
	if err != nil {
		return err
	}
	return s.loadBuckets(ctx, head)
}

// Watch waits for a head newer than version and applies it. It returns the version to
// wait for next.
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
	return v.Version, s.loadBuckets(ctx, head)
}

func (s *Store) loadBuckets(ctx context.Context, head Head) error {
	current := s.Current()
	if head.Revision <= current.Head.Revision {
		return nil
	}
	changed := map[int]Bucket{}
	for i, key := range head.Keys {
		if current.Head.Keys[i] == key {
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

// Set replaces a template if its revision is the expected one, and returns the accepted
// change. The error is of kind RevisionConflict if another operator changed the
// template first, and of kind StoreUnavailable if it is not known whether the change
// was accepted.
func (s *Store) Set(ctx context.Context, t Template, expected int64, author string) (Change, error) {
	id := s.newID()
	delay := minSwapDelay
	unconfirmed := false
	for attempt := 0; attempt < maxSwapAttempts; attempt++ {
		c, err := s.attemptSet(ctx, t, expected, author, id)
		if err == nil || fault.Is(err, fault.RevisionConflict) {
			return c, err
		}
		unconfirmed = unconfirmed || errors.Is(err, platform.ErrUnknown)
		if !wait.For(ctx, delay) {
			break
		}
		delay = min(2*delay, maxSwapDelay)
	}
	if unconfirmed {
		return Change{}, fault.New(fault.StoreUnavailable, "key-value service did not confirm the change; read the template back to see whether it was accepted")
	}
	return Change{}, fault.New(fault.Overloaded, "too many concurrent changes; nothing was changed")
}

// attemptSet makes one attempt. It first looks for the write id: an earlier attempt may
// have succeeded without an answer, and a second write would overwrite changes based on
// it.
func (s *Store) attemptSet(ctx context.Context, t Template, expected int64, author, id string) (Change, error) {
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
	if c, ok := rec.findWrite(id); ok {
		return c, s.loadBuckets(ctx, head)
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
	if len(data) > platform.MaxValueBytes {
		return fault.New(fault.TooLarge, "bucket %d would exceed the key-value service's value limit", i)
	}
	key := fmt.Sprintf("config/bucket/%d/%s", i, s.newID())
	if _, err := s.kv.CompareAndSwap(ctx, key, data, 0); err != nil {
		return err
	}
	replaced := head.Keys[i]
	newHead := head.with(i, key)
	raw, err := json.Marshal(newHead)
	if err != nil {
		return errors.Wrap(err, "encode head")
	}
	if _, err := s.kv.CompareAndSwap(ctx, headKey, raw, version); err != nil {
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
		// A bucket of a head between the current one and this one is missing. Refresh
		// loads it.
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
		rec.Earlier = earlier[:min(len(earlier), maxEarlierChanges)]
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
	return h, errors.Wrap(err, "decode configuration head")
}

func (s *Store) readBucket(ctx context.Context, key string) (Bucket, error) {
	v, err := s.kv.Get(ctx, key)
	if err != nil {
		return nil, err
	}
	var b Bucket
	err = json.Unmarshal(v.Data, &b)
	return b, errors.Wrapf(err, "decode bucket %s", key)
}
