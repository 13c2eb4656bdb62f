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

func (tr *testTracker) persister(s *fakeStore, rank int) *Persister {
	begin := time.Unix(1_700_000_000, 0)
	return &Persister{Tracker: tr.Tracker, Store: s, Key: "k", Rank: func() int { return rank },
		Clock: func() time.Duration { return tr.now }, Now: func() time.Time { return begin.Add(tr.now) }}
}

// Guards against losing verdicts when all routers restart, and against extending their terms.
func TestVerdictsSurviveRestartOfAllRouters(t *testing.T) {
	s := &fakeStore{}
	tr := newTestTracker()
	p := tr.persister(s, 0)
	p.Tick(t.Context())
	assert.Equal(t, s.calls, 0)
	tr.exitUnder(crashing, 1, 2, 3)
	tr.EvaluateSuspects()
	p.Tick(t.Context())
	assert.Equal(t, s.calls, 0, "the key has not been read yet")
	p.Observe(nil, 0)
	p.Tick(t.Context())
	p.Tick(t.Context())
	assert.Equal(t, s.calls, 1)

	fresh := newTestTracker()
	fresh.now = tr.now + minTerm - time.Minute
	fresh.persister(s, 0).Observe(s.value, s.revision)
	assert.Equal(t, fresh.Assess(crashing).Restriction, Quarantined)
	fresh.now += time.Minute + time.Second
	assert.Equal(t, fresh.Assess(crashing).Restriction, TrialOnly)
	late := newTestTracker()
	late.now = tr.now + 2*minTerm
	late.persister(s, 0).Observe(s.value, s.revision)
	assert.Equal(t, late.Assess(crashing).Restriction, Unrestricted, "a verdict whose term has ended is not loaded")
}

// The second router writes only if the first does not. A write with an old revision must not
// replace the key, and a key that is missing from the store is written again.
func TestOneRouterWritesVerdicts(t *testing.T) {
	s := &fakeStore{}
	first, second := newTestTracker(), newTestTracker()
	primary, standby := first.persister(s, 0), second.persister(s, 1)
	primary.Observe(nil, 0)
	standby.Observe(nil, 0)
	for _, r := range []*testTracker{first, second} {
		r.exitUnder(crashing, 1, 2, 3)
		r.EvaluateSuspects()
	}
	standby.Tick(t.Context())
	assert.Equal(t, s.calls, 0)
	second.now += takeoverDelay
	standby.Tick(t.Context())
	assert.Equal(t, s.calls, 1)
	primary.Tick(t.Context())
	assert.Equal(t, s.calls, 2, "it had not observed the other write")
	assert.Equal(t, s.revision, model.Revision(7), "and must not replace it")
	primary.Observe(s.value, s.revision)
	first.now += time.Minute
	primary.Tick(t.Context())
	assert.Equal(t, s.calls, 2)
	s.revision = 0
	primary.Observe(nil, 0)
	primary.Tick(t.Context())
	assert.Equal(t, s.calls, 3)
}

// Guards against frequent writes while the store is unavailable, since each call is billed.
func TestFewWritesWhileStoreIsUnavailable(t *testing.T) {
	s := &fakeStore{unavailable: true}
	tr := newTestTracker()
	p := tr.persister(s, 0)
	p.Observe(nil, 0)
	tr.exitUnder(crashing, 1, 2, 3)
	tr.EvaluateSuspects()
	for range 150 {
		p.Tick(t.Context())
		tr.now += 200 * time.Millisecond
	}
	assert.Assert(t, s.calls <= 8, "%d calls in 30 s", s.calls)
	s.unavailable = false
	tr.now += maxRetryDelay
	p.Tick(t.Context())
	assert.Assert(t, s.revision > 0)
}

// A malformed value of the key must not quarantine any request and is replaced.
func TestMalformedRecordIsReplaced(t *testing.T) {
	s := &fakeStore{revision: 3}
	tr := newTestTracker()
	p := tr.persister(s, 0)
	for _, malformed := range []string{"x", `{"requests":7}`, `{"requests":[{"work":"00"}]}`, `{"requests":[{"term_ms":1e300}]}`} {
		p.Observe([]byte(malformed), 3)
	}
	tr.exitUnder(crashing, 1, 2, 3)
	tr.EvaluateSuspects()
	p.Tick(t.Context())
	assert.Equal(t, s.revision, model.Revision(10))
	assert.Equal(t, tr.Assess(model.Fingerprint{}).Restriction, Unrestricted)
}
