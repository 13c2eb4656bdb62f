// Package ledger grants the one hand-over of each request that is not
// repeatable, over all entries.
//
// Intents are kept in the key-value service, in pages by shard and by the time
// in the request id. An entry that acts for a shard collects intents and stores
// them in one compare-and-swap. Which entry acts is found by rendezvous hashing
// and needs no lease: two entries that both believe they act for a shard, or
// one thawed after a freeze, swap against each other's version, and only one
// swap takes effect. The swap is the truth; the choice of entry is for speed.
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
	// Shards is over how many entries the intents spread at most.
	Shards = 64
	// pageSpan is the span of id times that share a page. A page is rewritten
	// with each group, so it must stay small; short spans keep it so.
	pageSpan = 5 * time.Second
	// Window is how old an id may be. Older ones are refused, so that pages
	// past it can be deleted without an intent being granted a second time.
	Window = 3 * time.Minute
	// MaxAhead is how far a caller's clock may be ahead of an entry's.
	MaxAhead = 2 * time.Second
	// pageKept is how much longer than Window a page stays, for entries whose
	// clock is behind.
	pageKept = 30 * time.Second
	maxTries = 8
)

// Intent is the grant of one hand-over.
type Intent struct {
	Key     string `json:"k"` // customer/id
	Content uint64 `json:"h"` // hash of the request
	Grant   string `json:"g"` // write id of the asker
	Owner   string `json:"o"` // link address of the asking entry
	Gates   []Gate `json:"a"` // the only gates that may hand it over
}

// Gate names one incarnation of a gate.
type Gate struct {
	Address     string `json:"a"`
	Incarnation string `json:"i"`
}

// CheckID refuses an id whose time the ledger cannot vouch for.
func CheckID(id string, now time.Time) (time.Time, error) {
	u, err := ulid.ParseStrict(id)
	if err != nil {
		return time.Time{}, fault.New(fault.InvalidRequest, "a request that is not repeatable needs a ULID as its id")
	}
	at := ulid.Time(u.Time())
	if now.Sub(at) > Window {
		return at, fault.New(fault.ExpiredID, "id is %v old, older than %v: whether it ran before cannot be told here", now.Sub(at).Round(time.Second), Window)
	}
	if at.Sub(now) > MaxAhead {
		return at, fault.New(fault.InvalidRequest, "id is %v in the future", at.Sub(now).Round(time.Second))
	}
	return at, nil
}

// ShardOf gives the shard of a key.
func ShardOf(key string) int {
	return int(xxhash.Sum64String(key) % Shards)
}

// Ledger stores intents for the shards that this process acts for.
type Ledger struct {
	kv    platform.KV
	now   func() time.Time
	limit *rate.Limiter

	mu    sync.Mutex
	pages map[string]*page
}

// New makes a ledger that writes to the key-value service at most at the given
// rate; what waits for its turn is stored together.
func New(kv platform.KV, now func() time.Time, limit *rate.Limiter) *Ledger {
	return &Ledger{kv: kv, now: now, limit: limit, pages: map[string]*page{}}
}

// page is one value of the service as this process last saw it.
type page struct {
	key     string
	until   time.Time // when it may be deleted
	loaded  bool
	version int64
	intents map[string]Intent

	mu      sync.Mutex
	pending []*waiter
	busy    bool
}

type waiter struct {
	intent Intent
	done   chan struct{}
	stored Intent
	err    error
}

// Record stores an intent unless its key has one, and gives the stored one: the
// asker may hand over if and only if the stored grant is its own. After an
// error the asker must not hand over.
func (l *Ledger) Record(ctx context.Context, in Intent, id string) (Intent, error) {
	at, err := CheckID(id, l.now())
	if err != nil {
		return Intent{}, err
	}
	p := l.page(in.Key, at)
	w := &waiter{intent: in, done: make(chan struct{})}
	p.mu.Lock()
	p.pending = append(p.pending, w)
	start := !p.busy
	p.busy = true
	p.mu.Unlock()
	if start {
		go l.work(p)
	}
	select {
	case <-w.done:
		return w.stored, w.err
	case <-ctx.Done():
		return Intent{}, fault.New(fault.StoreUnavailable, "intent was not stored in time")
	}
}

func (l *Ledger) page(key string, at time.Time) *page {
	span := at.Truncate(pageSpan)
	name := fmt.Sprintf("ledger/%d/%d", ShardOf(key), span.Unix())
	l.mu.Lock()
	defer l.mu.Unlock()
	p, ok := l.pages[name]
	if !ok {
		p = &page{key: name, until: span.Add(pageSpan + Window + MaxAhead + pageKept)}
		l.pages[name] = p
	}
	return p
}

// work stores groups until nothing is pending. One goroutine works on a page.
func (l *Ledger) work(p *page) {
	for {
		p.mu.Lock()
		if len(p.pending) == 0 {
			p.busy = false
			p.mu.Unlock()
			return
		}
		p.mu.Unlock()
		l.group(p)
	}
}

// groupTimeout bounds one group, so that an outage is answered soon.
const groupTimeout = 2 * time.Second

func (l *Ledger) group(p *page) {
	ctx, cancel := context.WithTimeout(context.Background(), groupTimeout)
	defer cancel()
	err := l.limit.Wait(ctx)
	p.mu.Lock()
	group := p.pending
	p.pending = nil
	p.mu.Unlock()
	for try := 0; err == nil && try < maxTries; try++ {
		var settled bool
		if settled, err = l.attempt(ctx, p, group); settled {
			break
		}
		if errors.Is(err, platform.ErrUnknown) && try < maxTries/2 {
			err = nil // read back and see
		}
	}
	for _, w := range group {
		l.answer(p, w, err)
	}
}

// attempt makes one swap of the page with the group's intents in it.
func (l *Ledger) attempt(ctx context.Context, p *page, group []*waiter) (settled bool, err error) {
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
		return false, errors.Wrap(err, "encode page")
	}
	if len(data) > platform.MaxValueBytes {
		return false, fault.New(fault.Overloaded, "ledger page is full")
	}
	version, err := l.kv.CompareAndSwap(ctx, p.key, data, p.version)
	if err != nil {
		// Another entry was first, or the answer was lost. What is stored
		// decides: it is read again, and a swap of ours that took effect is
		// found by its grants.
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
			return errors.Wrap(err, "ledger page")
		}
	}
	p.intents = intents
	p.version = v.Version
	p.loaded = true
	return nil
}

// merge gives the page with the group's new intents, nil if none is new.
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

func (l *Ledger) answer(p *page, w *waiter, err error) {
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
	for _, p := range l.expired() {
		_ = l.kv.Delete(ctx, p.key)
	}
}

func (l *Ledger) expired() []*page {
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
