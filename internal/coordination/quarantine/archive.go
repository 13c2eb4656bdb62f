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
	// takeoverDelay is how long each router further down the order waits before it stores
	// verdicts in place of those above it, which may have ended or be cut off.
	takeoverDelay = 2 * time.Second
	// minRetryDelay and longestRetry are between tries to store that failed; each is a priced
	// call.
	minRetryDelay = 500 * time.Millisecond
	maxRetryDelay = 8 * time.Second
	// storeTimeout bounds one call.
	storeTimeout = 900 * time.Millisecond
)

// Persister keeps the verdicts in the store, so that routers which all start anew know them.
// One key holds all of them; it is written only when one is missing there.
type Persister struct {
	Tracker *Tracker
	Store   platform.Store
	Key     string
	// Rank is this router's place in the order of those who may write, 0 for the first.
	Rank func() int
	// Clock goes on while the instance is suspended; Now is the time of day, by which
	// stored verdicts age.
	Clock func() time.Duration
	Now   func() time.Time

	mu           sync.Mutex
	loaded       bool // the store was read
	revision     model.Revision
	stored       map[model.Fingerprint]int64 // until when, in Unix milliseconds
	missingSince time.Duration               // since when one is missing; 0 for none
	nextRetryAt  time.Duration
	retryDelay   time.Duration
}

// record is what the key holds.
type record struct {
	Requests []storedVerdict `json:"requests"`
}

// storedVerdict is a verdict with the time of day at which its term ends, in Unix
// milliseconds, by the clock of who wrote it. Clocks differ by seconds, terms last minutes.
type storedVerdict struct {
	Fingerprint model.Fingerprint `json:"work"`
	TermMS      int64             `json:"term_ms"`
	UntilMS     int64             `json:"until_ms"`
	Exits       int               `json:"ends"`
}

// Observe takes in the key as the store holds it; an empty value says that it does not exist.
func (a *Persister) Observe(value []byte, revision model.Revision) {
	var rec record
	if len(value) > 0 {
		if err := json.Unmarshal(value, &rec); err != nil {
			klog.ErrorS(err, "stored verdicts cannot be read and are written anew", "revision", revision)
		}
	}
	now := a.Now().UnixMilli()
	stored := map[model.Fingerprint]int64{}
	var sentences []Verdict
	for _, s := range rec.Requests[:min(len(rec.Requests), maxVerdicts)] {
		stored[s.Fingerprint] = s.UntilMS
		sentences = append(sentences, Verdict{Fingerprint: s.Fingerprint, TermMS: s.TermMS, AgeMS: s.TermMS - (s.UntilMS - now), Exits: s.Exits})
	}
	a.Tracker.ApplyVerdicts(sentences, "store")
	a.mu.Lock()
	defer a.mu.Unlock()
	a.loaded, a.revision, a.stored = true, revision, stored
}

// Tick stores verdicts that are missing in the store, if that is this router's turn.
func (a *Persister) Tick(ctx context.Context) {
	sentences := a.Tracker.Verdicts()
	if expected, due := a.writeDue(sentences, a.Rank()); due {
		a.write(ctx, sentences, expected)
	}
}

// writeDue tells whether this router is to store verdicts now, in place of which revision.
func (a *Persister) writeDue(sentences []Verdict, rank int) (expected model.Revision, due bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.Clock()
	if !a.loaded || !a.verdictMissing(sentences) {
		a.missingSince = 0
		a.retryDelay = 0
		return 0, false
	}
	if a.missingSince == 0 {
		a.missingSince = now
	}
	if now < a.nextRetryAt || now-a.missingSince < time.Duration(rank)*takeoverDelay {
		return 0, false
	}
	a.retryDelay = min(max(2*a.retryDelay, minRetryDelay), maxRetryDelay)
	a.nextRetryAt = now + a.retryDelay
	return a.revision, true
}

// verdictMissing tells whether a verdict is not in the store, or for a shorter term than a new one.
// The caller holds the lock.
func (a *Persister) verdictMissing(sentences []Verdict) bool {
	now := a.Now().UnixMilli()
	for _, s := range sentences {
		until, ok := a.stored[s.Fingerprint]
		if !ok || until < now+(s.TermMS-s.AgeMS)/2 {
			return true
		}
	}
	return false
}

// write replaces the key. Where it changed meanwhile nothing is written: the change comes
// in with the store's news, and what is still missing is written after that.
func (a *Persister) write(ctx context.Context, sentences []Verdict, expected model.Revision) {
	now := a.Now().UnixMilli()
	var rec record
	for _, s := range sentences {
		rec.Requests = append(rec.Requests, storedVerdict{Fingerprint: s.Fingerprint, TermMS: s.TermMS, UntilMS: now + s.TermMS - s.AgeMS, Exits: s.Exits})
	}
	value, err := json.Marshal(rec)
	if err != nil {
		klog.ErrorS(err, "verdicts not encoded")
		return
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	revision, err := a.Store.Commit(ctx, platform.Txn{
		If:  []platform.Condition{{Key: a.Key, Revision: expected}},
		Put: []platform.Item{{Key: a.Key, Value: value}},
	})
	klog.InfoS("verdicts stored", "requests", len(rec.Requests), "revision", revision, "expected", expected, "err", err)
	if err == nil {
		a.Observe(value, revision)
	}
}
