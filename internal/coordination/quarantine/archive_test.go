package quarantine

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/skylarkwood/skylarkwood/internal/model"
	"github.com/skylarkwood/skylarkwood/internal/platform"
)

// fakeStore is a store of one key.
type fakeStore struct {
	platform.Store
	value       []byte
	revision    model.Revision
	calls       int
	unavailable bool
}

func (s *fakeStore) Commit(_ context.Context, txn platform.Txn) (model.Revision, error) {
	s.calls++
	switch {
	case s.unavailable:
		return 0, platform.ErrUnavailable
	case txn.If[0].Revision != s.revision:
		return 0, platform.ErrConflict
	}
	s.value = txn.Put[0].Value
	s.revision += 7
	return s.revision, nil
}

func (b *testTracker) persister(s *fakeStore, rank int) *Persister {
	begin := time.Unix(1_700_000_000, 0)
	return &Persister{Tracker: b.Tracker, Store: s, Key: "k", Rank: func() int { return rank },
		Clock: func() time.Duration { return b.now }, Now: func() time.Time { return begin.Add(b.now) }}
}

// All routers end, and those that start know what the others learnt, for what is left of
// its term.
func TestVerdictsOutliveTheRouters(t *testing.T) {
	s := &fakeStore{}
	b := newTestTracker()
	a := b.persister(s, 0)
	a.Tick(t.Context())
	assert.Equal(t, s.calls, 0)
	b.exitUnder(crashing, 1, 2, 3)
	b.EvaluateSuspects()
	a.Tick(t.Context())
	assert.Equal(t, s.calls, 0, "what the store holds is not known yet")
	a.Observe(nil, 0)
	a.Tick(t.Context())
	a.Tick(t.Context())
	assert.Equal(t, s.calls, 1)

	fresh := newTestTracker()
	fresh.now = b.now + minTerm - time.Minute
	fresh.persister(s, 0).Observe(s.value, s.revision)
	assert.Equal(t, fresh.Assess(crashing).Restriction, Quarantined)
	fresh.now += time.Minute + time.Second
	assert.Equal(t, fresh.Assess(crashing).Restriction, TrialOnly)
	late := newTestTracker()
	late.now = b.now + 2*minTerm
	late.persister(s, 0).Observe(s.value, s.revision)
	assert.Equal(t, late.Assess(crashing).Restriction, Unrestricted, "what is over is not taken in again")
}

// One router writes; the next one stands in when it does not, and where both write one of
// them finds that it need not. The store's loss of the key has it written again.
func TestOneRouterStoresVerdicts(t *testing.T) {
	s := &fakeStore{}
	first, second := newTestTracker(), newTestTracker()
	a, b := first.persister(s, 0), second.persister(s, 1)
	a.Observe(nil, 0)
	b.Observe(nil, 0)
	for _, r := range []*testTracker{first, second} {
		r.exitUnder(crashing, 1, 2, 3)
		r.EvaluateSuspects()
	}
	b.Tick(t.Context())
	assert.Equal(t, s.calls, 0)
	second.now += takeoverDelay
	b.Tick(t.Context())
	assert.Equal(t, s.calls, 1)
	a.Tick(t.Context())
	assert.Equal(t, s.calls, 2, "it had not heard of the other's write")
	assert.Equal(t, s.revision, model.Revision(7), "and did not replace it")
	a.Observe(s.value, s.revision)
	first.now += time.Minute
	a.Tick(t.Context())
	assert.Equal(t, s.calls, 2)
	s.revision = 0
	a.Observe(nil, 0)
	a.Tick(t.Context())
	assert.Equal(t, s.calls, 3)
}

// While the store is away tries are few, as each is priced.
func TestFewTriesWhileTheStoreIsAway(t *testing.T) {
	s := &fakeStore{unavailable: true}
	b := newTestTracker()
	a := b.persister(s, 0)
	a.Observe(nil, 0)
	b.exitUnder(crashing, 1, 2, 3)
	b.EvaluateSuspects()
	for range 150 {
		a.Tick(t.Context())
		b.now += 200 * time.Millisecond
	}
	assert.Assert(t, s.calls <= 8, "%d calls in 30 s", s.calls)
	s.unavailable = false
	b.now += maxRetryDelay
	a.Tick(t.Context())
	assert.Assert(t, s.revision > 0)
}

// Another writer's bytes under the key are replaced, and harm nobody.
func TestOddRecord(t *testing.T) {
	s := &fakeStore{revision: 3}
	b := newTestTracker()
	a := b.persister(s, 0)
	for _, odd := range []string{"x", `{"requests":7}`, `{"requests":[{"work":"00"}]}`, `{"requests":[{"term_ms":1e300}]}`} {
		a.Observe([]byte(odd), 3)
	}
	b.exitUnder(crashing, 1, 2, 3)
	b.EvaluateSuspects()
	a.Tick(t.Context())
	assert.Equal(t, s.revision, model.Revision(10))
	assert.Equal(t, b.Assess(model.Fingerprint{}).Restriction, Unrestricted)
}
