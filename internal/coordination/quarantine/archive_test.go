package quarantine

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/skylarkwood/skylarkwood/internal/model"
	"github.com/skylarkwood/skylarkwood/internal/platform"
)

// shelf is a store of one key.
type shelf struct {
	platform.Store
	value    []byte
	revision model.Revision
	calls    int
	away     bool
}

func (s *shelf) Commit(_ context.Context, txn platform.Txn) (model.Revision, error) {
	s.calls++
	switch {
	case s.away:
		return 0, platform.ErrUnavailable
	case txn.If[0].Revision != s.revision:
		return 0, platform.ErrConflict
	}
	s.value = txn.Put[0].Value
	s.revision += 7
	return s.revision, nil
}

func (b *bench) archive(s *shelf, rank int) *Persister {
	begin := time.Unix(1_700_000_000, 0)
	return &Persister{Tracker: b.Tracker, Store: s, Key: "k", Rank: func() int { return rank },
		Clock: func() time.Duration { return b.now }, Now: func() time.Time { return begin.Add(b.now) }}
}

// All routers end, and those that start know what the others learnt, for what is left of
// its term.
func TestVerdictsOutliveTheRouters(t *testing.T) {
	s := &shelf{}
	b := newBench()
	a := b.archive(s, 0)
	a.Tick(t.Context())
	assert.Equal(t, s.calls, 0)
	b.ends(guilty, 1, 2, 3)
	b.EvaluateSuspects()
	a.Tick(t.Context())
	assert.Equal(t, s.calls, 0, "what the store holds is not known yet")
	a.Observe(nil, 0)
	a.Tick(t.Context())
	a.Tick(t.Context())
	assert.Equal(t, s.calls, 1)

	fresh := newBench()
	fresh.now = b.now + firstTerm - time.Minute
	fresh.archive(s, 0).Observe(s.value, s.revision)
	assert.Equal(t, fresh.Assess(guilty).Restriction, Quarantined)
	fresh.now += time.Minute + time.Second
	assert.Equal(t, fresh.Assess(guilty).Restriction, TrialOnly)
	late := newBench()
	late.now = b.now + 2*firstTerm
	late.archive(s, 0).Observe(s.value, s.revision)
	assert.Equal(t, late.Assess(guilty).Restriction, Unrestricted, "what is over is not taken in again")
}

// One router writes; the next one stands in when it does not, and where both write one of
// them finds that it need not. The store's loss of the key has it written again.
func TestOneRouterStoresVerdicts(t *testing.T) {
	s := &shelf{}
	first, second := newBench(), newBench()
	a, b := first.archive(s, 0), second.archive(s, 1)
	a.Observe(nil, 0)
	b.Observe(nil, 0)
	for _, r := range []*bench{first, second} {
		r.ends(guilty, 1, 2, 3)
		r.EvaluateSuspects()
	}
	b.Tick(t.Context())
	assert.Equal(t, s.calls, 0)
	second.now += standInAfter
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
	s := &shelf{away: true}
	b := newBench()
	a := b.archive(s, 0)
	a.Observe(nil, 0)
	b.ends(guilty, 1, 2, 3)
	b.EvaluateSuspects()
	for range 150 {
		a.Tick(t.Context())
		b.now += 200 * time.Millisecond
	}
	assert.Assert(t, s.calls <= 8, "%d calls in 30 s", s.calls)
	s.away = false
	b.now += longestRetry
	a.Tick(t.Context())
	assert.Assert(t, s.revision > 0)
}

// Another writer's bytes under the key are replaced, and harm nobody.
func TestOddRecord(t *testing.T) {
	s := &shelf{revision: 3}
	b := newBench()
	a := b.archive(s, 0)
	for _, odd := range []string{"x", `{"requests":7}`, `{"requests":[{"work":"00"}]}`, `{"requests":[{"term_ms":1e300}]}`} {
		a.Observe([]byte(odd), 3)
	}
	b.ends(guilty, 1, 2, 3)
	b.EvaluateSuspects()
	a.Tick(t.Context())
	assert.Equal(t, s.revision, model.Revision(10))
	assert.Equal(t, b.Assess(model.Fingerprint{}).Restriction, Unrestricted)
}
