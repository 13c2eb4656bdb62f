package quarantine

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/skylarkwood/skylarkwood/internal/model"
)

// testTracker is a tracker with a clock of its own.
type testTracker struct {
	*Tracker
	now time.Duration
}

func newTestTracker() *testTracker {
	b := &testTracker{}
	b.Tracker = New(func() time.Duration { return b.now })
	return b
}

func server(n int) model.Incarnation { return model.Incarnation{ID: fmt.Sprintf("s%d", n)} }

func (b *testTracker) begin(w model.Fingerprint, n int, domain string) *Run {
	return b.Begin(func() model.Fingerprint { return w }, false, Location{Server: server(n), Domain: domain})
}

// exitUnder has servers end under a request, each in a domain of its own.
func (b *testTracker) exitUnder(w model.Fingerprint, servers ...int) {
	for _, n := range servers {
		domain := fmt.Sprintf("d%d", n)
		run := b.begin(w, n, domain)
		b.now += 100 * time.Millisecond
		b.ServerExited(server(n), domain)
		run.End(ConnectionLost)
	}
	b.now += evidenceDelay
}

func TestStandingGrowsWithTheEnds(t *testing.T) {
	b := newTestTracker()
	assert.Equal(t, b.Assess(crashing).Restriction, Unrestricted)
	for n, want := range []Restriction{Separated, TrialOnly, Quarantined} {
		b.exitUnder(crashing, n)
		v := b.Assess(crashing)
		assert.Equal(t, v.Restriction, want)
		assert.Equal(t, v.Exits, n+1)
	}
}

// A request breaks off at a server, and is sent on at once: two milliseconds before anybody
// has found the server's port closed. It counts as an end all the same until that is known,
// or else the request would be at three servers while it is known of one.
func TestBreakOffCountsBeforeTheEndIsKnown(t *testing.T) {
	b := newTestTracker()
	b.exitUnder(crashing, 1)
	assert.Equal(t, len(b.begin(crashing, 2, "d2").End(ConnectionLost)), 1, "the server should be asked")
	assert.Equal(t, b.Assess(crashing).Restriction, TrialOnly)
	b.begin(crashing, 3, "d3").End(ConnectionLost)
	assert.Equal(t, b.Assess(crashing).Restriction, Undecided)
	b.ServerAlive(server(2))
	b.ServerAlive(server(3))
	assert.Equal(t, b.Assess(crashing).Restriction, Separated, "links failed, no server ended")
}

// A caller that leaves, a refusal and a silent server say nothing of a request.
func TestOnlyBrokenConnectionsCount(t *testing.T) {
	b := newTestTracker()
	for n := range 5 {
		b.begin(crashing, n, "d").End(Inconclusive)
		b.ServerExited(server(n), "d")
	}
	assert.Equal(t, b.Assess(crashing).Restriction, Unrestricted)
}

// An answer, be it the server's own failure, clears a request of all that was held against
// it, and the other routers are told.
func TestAnswerClears(t *testing.T) {
	b := newTestTracker()
	b.exitUnder(crashing, 1, 2)
	for _, ok := b.TakeReport(); ok; _, ok = b.TakeReport() {
	}
	b.begin(crashing, 7, "d").End(Completed)
	assert.Equal(t, b.Assess(crashing).Restriction, Unrestricted)
	r, _ := b.TakeReport()
	assert.DeepEqual(t, r.Cleared, []model.Fingerprint{crashing})
}

// Two requests are at the same three servers. Neither is blamed; the next end is under one
// of them alone and tells them apart.
func TestTwoAtTheSameEndsAreToldApart(t *testing.T) {
	b := newTestTracker()
	other := testFingerprint(1)
	for n := range 3 {
		domain := fmt.Sprintf("d%d", n)
		b.begin(crashing, n, domain)
		b.begin(other, n, domain)
		b.ServerExited(server(n), domain)
	}
	b.now += commonCauseWindow
	assert.Equal(t, b.Assess(crashing).Restriction, TrialOnly)
	assert.Equal(t, b.Assess(other).Restriction, TrialOnly)
	b.exitUnder(crashing, 4)
	assert.Equal(t, b.Assess(crashing).Restriction, Quarantined)
	assert.Equal(t, b.Assess(other).Restriction, Unrestricted, "its ends are explained")
}

// Servers end under streams that had begun to come. That is how streams are lost that are
// innocent, so it takes twice as many ends.
func TestEndsUnderAnAnswerWeighLess(t *testing.T) {
	b := newTestTracker()
	for n := range 2*minExits - 1 {
		run := b.begin(crashing, n, "d")
		run.AnswerStarted()
		b.ServerExited(server(n), "d")
		b.now += 2 * commonCauseWindow
		assert.Assert(t, b.Assess(crashing).Restriction < Quarantined, "after %d ends", n+1)
	}
	b.exitUnder(crashing, 99)
	assert.Equal(t, b.Assess(crashing).Restriction, Quarantined)
}

// A later part of the chain ends each time: the request is to run alone at all of them.
func TestLaterPartsOfChainsCount(t *testing.T) {
	b := newTestTracker()
	for n := range 2 {
		b.Begin(func() model.Fingerprint { return crashing }, false, Location{server(90 + n), "a"}, Location{server(n), "b"})
		b.ServerExited(server(n), fmt.Sprintf("d%d", n))
	}
	v := b.Assess(crashing)
	assert.Equal(t, v.Restriction, TrialOnly)
	assert.Assert(t, v.LaterStage)
}

// An engine in the middle of a chain ends, and the first one, which lives, cuts the answer
// off; the router hears of both, in either order. That is one end, and the first engine is
// not held against the request: taken for two, all streams of a lost engine ran alone.
func TestOneEndOfAChainCountsOnce(t *testing.T) {
	chain := []Location{{server(1), "a"}, {server(2), "b"}}
	for _, endFirst := range []bool{true, false} {
		b := newTestTracker()
		run := b.Begin(func() model.Fingerprint { return crashing }, false, chain...)
		if endFirst {
			b.ServerExited(server(2), "b")
		}
		assert.Equal(t, len(run.End(ConnectionLost)), 0)
		assert.Equal(t, b.Assess(crashing).Exits, 1)
		if !endFirst {
			b.ServerExited(server(2), "b")
		}
		assert.DeepEqual(t, b.Assess(crashing), Assessment{Restriction: Separated, Exits: 1, LaterStage: true})
	}
}

// A failure domain loses half of its engines at one moment. A stream that runs through two
// of them has met one end, also where it was moved off the first before the second was
// told; one that ends an engine after each move has met as many as moves.
func TestEnginesThatDropOutTogetherCountOnce(t *testing.T) {
	b := newTestTracker()
	run := b.Begin(func() model.Fingerprint { return crashing }, false, Location{server(1), "a"}, Location{server(2), "a"}, Location{server(3), "a"})
	b.ServerExited(server(2), "a")
	b.now += 10 * time.Millisecond
	run.Move([]Location{{server(1), "a"}, {server(4), "b"}, {server(3), "a"}})
	b.ServerExited(server(3), "a")
	assert.Equal(t, b.Assess(crashing).Exits, 1)
	for n := range 2 {
		b.now += 100 * time.Millisecond
		run.Move([]Location{{server(1), "a"}, {server(10 + n), "b"}})
		b.ServerExited(server(10+n), "b")
	}
	assert.Equal(t, b.Assess(crashing).Exits, 3)
}

// After its term a request runs alone. An answer frees it; an end brings it back at once,
// for twice as long.
func TestTermsEndAndDouble(t *testing.T) {
	b := newTestTracker()
	b.exitUnder(crashing, 1, 2, 3)
	b.EvaluateSuspects()
	b.now += minTerm
	b.Expire()
	assert.Equal(t, b.Assess(crashing).Restriction, TrialOnly)
	b.exitUnder(crashing, 4)
	assert.Equal(t, b.Assess(crashing).Restriction, Quarantined)
	b.now += minTerm + time.Second
	assert.Equal(t, b.Assess(crashing).Restriction, Quarantined, "twice as long")
	b.now += minTerm
	assert.Equal(t, b.Assess(crashing).Restriction, TrialOnly)
	b.begin(crashing, 5, "d").End(Completed)
	assert.Equal(t, b.Assess(crashing).Restriction, Unrestricted)
}

// Forgotten requests leave nothing behind, and much that comes at once is bounded.
func TestMemoryIsBounded(t *testing.T) {
	b := newTestTracker()
	for n := range maxExits + 50 {
		b.begin(testFingerprint(n), n, "d")
		b.ServerExited(server(n), "d")
	}
	assert.Assert(t, len(b.Tracker.exits) <= maxExits)
	crowd := newTestTracker()
	for n := range maxRequestsPerExit + 50 {
		crowd.begin(testFingerprint(n), 1, "d")
	}
	crowd.ServerExited(server(1), "d")
	assert.Equal(t, len(crowd.Tracker.exits[server(1)].requests), maxRequestsPerExit)
	assert.Equal(t, crowd.Assess(testFingerprint(1)).Restriction, Unrestricted, "a crowded end is no evidence")
	for n := range 5 * maxExitsPerRequest {
		run := b.begin(testFingerprint(-1), 5000+n, "d")
		run.AnswerStarted()
		b.ServerExited(server(5000+n), "d")
	}
	assert.Equal(t, len(b.suspects[testFingerprint(-1)].exits), maxExitsPerRequest)
	for n := range maxVerdicts + 50 {
		b.ApplyVerdicts([]Verdict{{Fingerprint: testFingerprint(n), TermMS: int64(1000 + n)}}, "peer")
	}
	assert.Equal(t, len(b.Verdicts()), maxVerdicts)
	b.now += evidenceRetention + maxTerm
	b.Expire()
	assert.Equal(t, len(b.Tracker.exits)+len(b.suspects)+len(b.verdicts)+b.participations, 0)
}

// Whatever peers tell, in any order and again, adds up to the same: who has heard all
// reports gives each request the same standing, and counts stay right.
func TestReportsInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var reports []Report
		for range rapid.IntRange(1, 12).Draw(t, "reports") {
			end := ExitReport{Server: server(rapid.IntRange(0, 5).Draw(t, "server")), Domain: "d"}
			for range rapid.IntRange(0, 4).Draw(t, "present") {
				end.Requests = append(end.Requests, RequestAtExit{Fingerprint: testFingerprint(rapid.IntRange(0, 4).Draw(t, "work")), ResponseStarted: rapid.Bool().Draw(t, "answered")})
			}
			reports = append(reports, Report{Exits: []ExitReport{end}})
		}
		a, b := newTestTracker(), newTestTracker()
		for _, r := range reports {
			a.ApplyReport(r, "peer")
		}
		for _, r := range rapid.Permutation(append(reports, reports...)).Draw(t, "again") {
			b.ApplyReport(r, "peer")
		}
		a.now, b.now = time.Minute, time.Minute
		for n := range 5 {
			assert.DeepEqual(t, a.Assess(testFingerprint(n)), b.Assess(testFingerprint(n)))
		}
		assert.Equal(t, a.participations, b.participations)
	})
}

func TestTrialsAreOneAtATime(t *testing.T) {
	b := newTestTracker()
	trials := NewTrials(b.Tracker)
	assert.Assert(t, trials.Request(crashing, []model.Incarnation{server(1), server(2)}).Granted)
	assert.Equal(t, trials.Request(crashing, []model.Incarnation{server(3)}), Grant{WaitMS: 1000}, "it runs already")
	assert.Equal(t, trials.Request(testFingerprint(1), []model.Incarnation{server(2)}).BusyServer, server(2))
	assert.Assert(t, trials.Request(testFingerprint(1), []model.Incarnation{server(3)}).Granted)
	b.now += trialDuration
	assert.Assert(t, trials.Request(crashing, []model.Incarnation{server(2)}).Granted)
	b.exitUnder(crashing, 4, 5, 6)
	b.now += trialDuration
	assert.Assert(t, !trials.Request(crashing, []model.Incarnation{server(7)}).Granted, "the keeper knows more than who asks")
}
