// Package ledger grants the single handover of each request that is not repeatable,
// across all entries.
//
// Intents are stored in the key-value service, in pages by shard and by the time in the
// request id. The entry responsible for a shard collects intents and stores them in one
// compare-and-swap. Rendezvous hashing selects that entry without a lease. If two
// entries both act for a shard, their swaps are made against the same version and only
// one takes effect. Correctness depends on the swap only. The choice of the entry only
// reduces conflicts.
package ledger

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/oklog/ulid/v2"
	"github.com/pkg/errors"
	"golang.org/x/time/rate"

	"github.com/skylarkwood/skylarkwood/internal/fault"
	"github.com/skylarkwood/skylarkwood/internal/platform"
)

const (
	// ShardCount is the maximum number of entries that share the intents.
	ShardCount = 64
	// pageSpan is the range of id times in one page. Each group rewrites its page, so a
	// page must stay small.
	pageSpan = 5 * time.Second
	// MaxIDAge is the maximum age of an id. Older ids are refused, so that their pages
	// can be deleted without a second grant.
	MaxIDAge = 3 * time.Minute
	// MaxClockAhead is how far a caller's clock may be ahead of an entry's.
	MaxClockAhead = 2 * time.Second
	// pageRetention is how long a page is kept beyond MaxIDAge, for entries whose clock
	// is behind.
	pageRetention = 30 * time.Second
	maxTries      = 8
)

// Intent is the grant of one handover.
type Intent struct {
	Key     string `json:"k"` // customer/id
	Content uint64 `json:"h"` // hash of the request
	Grant   string `json:"g"` // write id of the requester
	Owner   string `json:"o"` // link address of the requesting entry
	Gates   []Gate `json:"a"` // the only gates that may hand the request over
}

// Gate identifies one incarnation of a gate.
type Gate struct {
	Address     string `json:"a"`
	Incarnation string `json:"i"`
}

// CheckID returns the time in an id. It returns an error if the id is no ULID, older
// than MaxIDAge or too far in the future.
func CheckID(id string, now time.Time) (time.Time, error) {
	u, err := ulid.ParseStrict(id)
	if err != nil {
		return time.Time{}, fault.New(fault.InvalidRequest, "a request that is not repeatable needs a ULID as its id")
	}
	at := ulid.Time(u.Time())
	if now.Sub(at) > MaxIDAge {
		return at, fault.New(fault.ExpiredID, "id is %v old, older than the limit of %v: whether it ran before is unknown", now.Sub(at).Round(time.Second), MaxIDAge)
	}
	if at.Sub(now) > MaxClockAhead {
		return at, fault.New(fault.InvalidRequest, "time of the id is %v in the future", at.Sub(now).Round(time.Second))
	}
	return at, nil
}

// ShardOf returns the shard of a key.
func ShardOf(key string) int {
	return int(xxhash.Sum64String(key) % ShardCount)
}

// Ledger stores the intents of the shards that this process acts for.
type Ledger struct {
	kv    platform.KV
	now   func() time.Time
	limit *rate.Limiter

	mu    sync.Mutex
	pages map[string]*page
}

// New returns a ledger. limit bounds the rate of its writes to the key-value service;
// intents that wait are stored together.
func New(kv platform.KV, now func() time.Time, limit *rate.Limiter) *Ledger {
	return &Ledger{kv: kv, now: now, limit: limit, pages: map[string]*page{}}
}

// page is one value of the key-value service as this process last read or wrote it.
type page struct {
	key     string
	until   time.Time // when it may be deleted
	loaded  bool
	version int64
	intents map[string]Intent

	mu      sync.Mutex
	pending []*waiter
	working bool
}

type waiter struct {
	intent Intent
	done   chan struct{}
	stored Intent
	err    error
}

// Record stores an intent unless there is one for its key, and returns the stored one.
// The caller may hand the request over only if the stored grant is its own. After an
// error it must not.
func (l *Ledger) Record(ctx context.Context, in Intent, id string) (Intent, error) {
	at, err := CheckID(id, l.now())
	if err != nil {
		return Intent{}, err
	}
	p := l.page(in.Key, at)
	w := &waiter{intent: in, done: make(chan struct{})}
	p.mu.Lock()
	p.pending = append(p.pending, w)
	start := !p.working
	p.working = true
	p.mu.Unlock()
	if start {
		go l.storePending(p)
	}
	select {
	case <-w.done:
		return w.stored, w.err
	case <-ctx.Done():
		return Intent{}, fault.New(fault.StoreUnavailable, "intent was not stored before the deadline")
	}
}

func (l *Ledger) page(key string, at time.Time) *page {
	span := at.Truncate(pageSpan)
	name := fmt.Sprintf("ledger/%d/%d", ShardOf(key), span.Unix())
	l.mu.Lock()
	defer l.mu.Unlock()
	p, ok := l.pages[name]
	if !ok {
		p = &page{key: name, until: span.Add(pageSpan + MaxIDAge + MaxClockAhead + pageRetention)}
		l.pages[name] = p
	}
	return p
}

// storePending stores groups until no intent is pending. Each page has at most one such
// goroutine.
func (l *Ledger) storePending(p *page) {
	for {
		p.mu.Lock()
		if len(p.pending) == 0 {
			p.working = false
			p.mu.Unlock()
			return
		}
		p.mu.Unlock()
		l.storeGroup(p)
	}
}

// groupTimeout is the timeout for one group, so that requesters get a quick error
// during an outage.
const groupTimeout = 2 * time.Second

func (l *Ledger) storeGroup(p *page) {
	ctx, cancel := context.WithTimeout(context.Background(), groupTimeout)
	defer cancel()
	err := l.limit.Wait(ctx)
	p.mu.Lock()
	group := p.pending
	p.pending = nil
	p.mu.Unlock()
	for try := 0; err == nil && try < maxTries; try++ {
		var done bool
		if done, err = l.attempt(ctx, p, group); done {
			break
		}
		if errors.Is(err, platform.ErrUnknown) && try < maxTries/2 {
			err = nil // read the page again to see what was stored
		}
	}
	for _, w := range group {
		l.complete(p, w, err)
	}
}

// attempt makes one swap that adds the group's intents to the page. It reports whether
// all intents of the group are stored.
func (l *Ledger) attempt(ctx context.Context, p *page, group []*waiter) (done bool, err error) {
	if !p.loaded {
		if err := l.load(ctx, p); err != nil {
			return false, err
		}
	}
	next := p.merge(group)
	if next == nil {
		return true, nil
	}
	data, err := json.Marshal(next)
	if err != nil {
		return false, errors.Wrap(err, "encode ledger page")
	}
	if len(data) > platform.MaxValueBytes {
		return false, fault.New(fault.Overloaded, "ledger page is full")
	}
	version, err := l.kv.CompareAndSwap(ctx, p.key, data, p.version)
	if err != nil {
		// Another entry wrote first, or the answer was lost. The page is read again. If
		// this swap took effect, its grants are found there.
		p.loaded = false
		if errors.Is(err, platform.ErrSwapFailed) {
			err = nil
		}
		return false, err
	}
	p.version = version
	p.intents = next
	return true, nil
}

func (l *Ledger) load(ctx context.Context, p *page) error {
	v, err := l.kv.Get(ctx, p.key)
	if errors.Is(err, platform.ErrNotFound) {
		v, err = platform.Value{}, nil
	}
	if err != nil {
		return err
	}
	intents := map[string]Intent{}
	if len(v.Data) > 0 {
		if err := json.Unmarshal(v.Data, &intents); err != nil {
			return errors.Wrap(err, "decode ledger page")
		}
	}
	p.intents = intents
	p.version = v.Version
	p.loaded = true
	return nil
}

// merge returns the page with the group's new intents added, or nil if none is new.
func (p *page) merge(group []*waiter) map[string]Intent {
	next := make(map[string]Intent, len(p.intents)+len(group))
	for k, in := range p.intents {
		next[k] = in
	}
	for _, w := range group {
		if _, ok := next[w.intent.Key]; !ok {
			next[w.intent.Key] = w.intent
		}
	}
	if len(next) == len(p.intents) {
		return nil
	}
	return next
}

func (l *Ledger) complete(p *page, w *waiter, err error) {
	defer close(w.done)
	stored, ok := p.intents[w.intent.Key]
	if err == nil && p.loaded && ok {
		w.stored = stored
		return
	}
	w.err = fault.New(fault.StoreUnavailable, "intent could not be stored: %v", err)
}

// Sweep deletes pages whose ids are too old to be accepted.
func (l *Ledger) Sweep(ctx context.Context) {
	for _, p := range l.takeExpired() {
		_ = l.kv.Delete(ctx, p.key)
	}
}

func (l *Ledger) takeExpired() []*page {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []*page
	for name, p := range l.pages {
		if l.now().After(p.until) {
			out = append(out, p)
			delete(l.pages, name)
		}
	}
	return out
}
