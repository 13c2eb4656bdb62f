package quarantine

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/skylarkwood/skylarkwood/internal/model"
	"github.com/skylarkwood/skylarkwood/internal/platform"
)

const (
	// takeoverDelay is the additional delay per rank before a router writes verdicts that
	// the routers ranked above it have not written.
	takeoverDelay = 2 * time.Second
	// minRetryDelay and maxRetryDelay bound the delay after a write that did not complete.
	// Each call to the store is billed.
	minRetryDelay = 500 * time.Millisecond
	maxRetryDelay = 8 * time.Second
	// storeTimeout bounds one call to the store.
	storeTimeout = 900 * time.Millisecond
)

// Persister writes verdicts to the store and loads them from there, so that they survive a
// restart of all routers. One key holds all verdicts. It is written only when a verdict is
// missing from it.
type Persister struct {
	Tracker *Tracker
	Store   platform.Store
	Key     string
	// Rank returns this router's position in the order of writers, 0 for the first.
	Rank func() int
	// Clock returns a monotonic time that includes suspension of the instance. Now returns
	// the time of day, which decides when stored verdicts expire.
	Clock func() time.Duration
	Now   func() time.Time

	mu           sync.Mutex
	loaded       bool // the key has been read from the store
	revision     model.Revision
	stored       map[model.Fingerprint]int64 // end of the term in Unix milliseconds
	missingSince time.Duration               // 0 while no verdict is missing
	nextRetryAt  time.Duration
	retryDelay   time.Duration
}

// record is the value of the key.
type record struct {
	Requests []storedVerdict `json:"requests"`
}

// storedVerdict is a verdict with the end of its term in Unix milliseconds, by the clock of
// the router that wrote it. Clocks differ by seconds and terms last minutes.
type storedVerdict struct {
	Fingerprint model.Fingerprint `json:"work"`
	TermMS      int64             `json:"term_ms"`
	UntilMS     int64             `json:"until_ms"`
	Exits       int               `json:"ends"`
	Traits      []Trait           `json:"traits,omitempty"`
}

// Observe applies the value of the key as read from the store. An empty value means that the
// key does not exist.
func (p *Persister) Observe(value []byte, revision model.Revision) {
	var rec record
	if len(value) > 0 {
		if err := json.Unmarshal(value, &rec); err != nil {
			klog.ErrorS(err, "stored verdicts cannot be decoded and will be overwritten", "revision", revision)
		}
	}
	now := p.Now().UnixMilli()
	stored := map[model.Fingerprint]int64{}
	var verdicts []Verdict
	for _, s := range rec.Requests[:min(len(rec.Requests), maxVerdicts)] {
		stored[s.Fingerprint] = s.UntilMS
		verdicts = append(verdicts, Verdict{Fingerprint: s.Fingerprint, TermMS: s.TermMS, AgeMS: s.TermMS - (s.UntilMS - now), Exits: s.Exits, Traits: s.Traits})
	}
	p.Tracker.ApplyVerdicts(verdicts, "store")
	p.mu.Lock()
	defer p.mu.Unlock()
	p.loaded, p.revision, p.stored = true, revision, stored
}

// Tick writes the verdicts to the store if one is missing there and it is this router's turn.
func (p *Persister) Tick(ctx context.Context) {
	verdicts := p.Tracker.Verdicts()
	if expected, due := p.writeDue(verdicts, p.Rank()); due {
		p.write(ctx, verdicts, expected)
	}
}

// writeDue reports whether this router must write the verdicts now, and returns the revision
// that the write replaces.
func (p *Persister) writeDue(verdicts []Verdict, rank int) (expected model.Revision, due bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Clock()
	if !p.loaded || !p.verdictMissing(verdicts) {
		p.missingSince = 0
		p.retryDelay = 0
		return 0, false
	}
	if p.missingSince == 0 {
		p.missingSince = now
	}
	if now < p.nextRetryAt || now-p.missingSince < time.Duration(rank)*takeoverDelay {
		return 0, false
	}
	p.retryDelay = min(max(2*p.retryDelay, minRetryDelay), maxRetryDelay)
	p.nextRetryAt = now + p.retryDelay
	return p.revision, true
}

// verdictMissing reports whether the store lacks a verdict or holds it with less than half of
// its remaining term. The caller must hold p.mu.
func (p *Persister) verdictMissing(verdicts []Verdict) bool {
	now := p.Now().UnixMilli()
	for _, v := range verdicts {
		until, ok := p.stored[v.Fingerprint]
		if !ok || until < now+(v.TermMS-v.AgeMS)/2 {
			return true
		}
	}
	return false
}

// write replaces the key if it still has the expected revision. If it has changed, Observe
// receives the new value, and a later Tick writes what is still missing.
func (p *Persister) write(ctx context.Context, verdicts []Verdict, expected model.Revision) {
	now := p.Now().UnixMilli()
	var rec record
	for _, v := range verdicts {
		rec.Requests = append(rec.Requests, storedVerdict{Fingerprint: v.Fingerprint, TermMS: v.TermMS, UntilMS: now + v.TermMS - v.AgeMS, Exits: v.Exits, Traits: v.Traits})
	}
	value, err := json.Marshal(rec)
	if err != nil {
		klog.ErrorS(err, "failed to encode verdicts")
		return
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	revision, err := p.Store.Commit(ctx, platform.Txn{
		If:  []platform.Condition{{Key: p.Key, Revision: expected}},
		Put: []platform.Item{{Key: p.Key, Value: value}},
	})
	klog.InfoS("write of verdicts to the store finished", "requests", len(rec.Requests), "revision", revision, "expected", expected, "err", err)
	if err == nil {
		p.Observe(value, revision)
	}
}
