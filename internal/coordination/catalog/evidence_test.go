package catalog

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Evidence must age out, and attempts stay limited after a suspicion expired without success.
func TestWeakEvidenceAgesOut(t *testing.T) {
	at, now := clock()
	h := NewHealth(now)
	until, _ := h.SuspectOn(inc("a"), Weak)
	assert.Equal(t, h.View(inc("a")).Evidence, Weak)
	*at = until
	assert.Equal(t, h.View(inc("a")).Evidence, None)
	h.RecordAttempt(inc("a"))
	assert.Equal(t, h.View(inc("a")).Evidence, Strong)
	*at = at.Add(attemptInterval)
	assert.Equal(t, h.View(inc("a")).Evidence, None)
	*at = at.Add(weakFailureRetention + time.Second)
	h.SuspectOn(inc("a"), Weak)
	assert.Equal(t, h.View(inc("a")).Evidence, Weak, "the failures are not consecutive")
}

// The streams that one fault breaks must count as one failure. Failures of later requests must
// not keep an engine in use.
func TestRepeatedWeakEvidenceBecomesStrong(t *testing.T) {
	at, now := clock()
	h := NewHealth(now)
	for range 20 {
		h.SuspectOn(inc("a"), Weak)
		h.RecordAttempt(inc("a"))
		*at = at.Add(attemptInterval / 30)
	}
	assert.Equal(t, h.View(inc("a")).Evidence, Weak)
	sentAt := *at
	*at = at.Add(attemptInterval)
	h.ClearSuspicion(inc("a"), sentAt)
	assert.Equal(t, h.View(inc("a")).Evidence, None)
	h.SuspectOn(inc("a"), Unanswered)
	*at = at.Add(attemptInterval)
	h.SuspectOn(inc("a"), Unanswered)
	h.RecordAnswer(inc("a"), *at)
	assert.Equal(t, h.View(inc("a")).Evidence, Weak, "a success came between, and no request was sent since")
	h.RecordAttempt(inc("a"))
	*at = at.Add(attemptInterval)
	h.SuspectOn(inc("a"), Unanswered)
	h.RecordAnswer(inc("a"), *at)
	assert.Equal(t, h.View(inc("a")).Evidence, Strong)
}

// An answer must not weaken an exit, a refusal with a known cause or a peer's refusal, nor
// one to an older probe any evidence.
func TestAnswerWeakensOnlyUnansweredEvidence(t *testing.T) {
	for name, c := range map[string]struct {
		raise func(h *Health, until time.Time)
		want  Evidence
	}{
		"no answer":          {func(h *Health, until time.Time) { h.SuspectOnUntil(inc("a"), Unanswered, until) }, Weak},
		"exit":               {func(h *Health, until time.Time) { h.Suspect(inc("a")) }, Strong},
		"exit after failure": {func(h *Health, until time.Time) { h.SuspectOn(inc("a"), Weak); h.Suspect(inc("a")) }, Strong},
		"refused, cause":     {func(h *Health, until time.Time) { h.RecordRefusal(inc("a"), until, true) }, Strong},
		"refused, no cause":  {func(h *Health, until time.Time) { h.RecordUnexplainedRefusal(inc("a"), until) }, Weak},
		"refused a peer":     {func(h *Health, until time.Time) { h.SuspectFromPeer(inc("a"), until) }, Strong},
		"refused a peer also": {func(h *Health, until time.Time) {
			h.RecordUnexplainedRefusal(inc("a"), until)
			h.SuspectFromPeer(inc("a"), until)
		}, Weak},
	} {
		at, now := clock()
		h := NewHealth(now)
		before := at.Add(-time.Millisecond)
		c.raise(h, at.Add(time.Second))
		kind := h.View(inc("a")).Evidence
		h.RecordAnswer(inc("a"), before)
		assert.Equal(t, h.View(inc("a")).Evidence, kind, name)
		h.RecordAnswer(inc("a"), *at)
		assert.Equal(t, h.View(inc("a")).Evidence, c.want, name)
		assert.Assert(t, h.Suspected(inc("a")), name)
	}
}

// A check after a peer's refusal must not weaken strong evidence of this router, whether it
// came before the refusal or between it and the check: layers that an engine does not hold show
// in neither its report nor its health check.
func TestOwnCheckWeakensOnlyAPeersRefusal(t *testing.T) {
	refusePeer := func(h *Health, now time.Time) { h.SuspectFromPeer(inc("a"), now.Add(2*time.Second)) }
	refusePeerAgain := func(h *Health, now time.Time) { h.SuspectFromPeer(inc("a"), now.Add(3*time.Second)) }
	wrongLayers := func(h *Health, _ time.Time) { h.Suspect(inc("a")) }
	failed := func(h *Health, _ time.Time) { h.SuspectOn(inc("a"), Unanswered) }
	for name, c := range map[string]struct {
		events []func(h *Health, now time.Time)
		want   Evidence
	}{
		"peer":                            {[]func(*Health, time.Time){refusePeer}, Weak},
		"two peers":                       {[]func(*Health, time.Time){refusePeer, refusePeerAgain}, Weak},
		"peer, failed":                    {[]func(*Health, time.Time){refusePeer, failed}, Weak},
		"peer, wrong layers":              {[]func(*Health, time.Time){refusePeer, wrongLayers}, Strong},
		"wrong layers, peer":              {[]func(*Health, time.Time){wrongLayers, refusePeer}, Strong},
		"peer, wrong layers, second peer": {[]func(*Health, time.Time){refusePeer, wrongLayers, refusePeerAgain}, Strong},
	} {
		at, now := clock()
		h := NewHealth(now)
		for _, event := range c.events {
			event(h, *at)
			*at = at.Add(10 * time.Millisecond)
		}
		h.RecordOwnCheck(inc("a"), *at)
		assert.Check(t, h.View(inc("a")).Evidence == c.want, "%s: %v", name, h.View(inc("a")).Evidence)
	}
}
