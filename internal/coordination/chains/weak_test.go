package chains

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/skylarkwood/skylarkwood/internal/coordination/catalog"
	"github.com/skylarkwood/skylarkwood/internal/model"
)

// lastHolders returns a fixture in which a2 is the last holder of [40,60) in domain a, and c2
// the only other one.
func lastHolders() *fixture {
	f := newFixture()
	f.add("a1", "a", "a100", 0, 40)
	f.add("a2", "a", "l40s", 40, 60)
	f.add("a3", "a", "l40s", 60, 80)
	f.add("c2", "c", "l40s", 40, 60)
	return f
}

func (f *fixture) fillInterconnect() {
	f.chooser.Interconnect.SetPeerRates("peer", map[DomainPair]float64{{A: "a", B: "c"}: 26000}, time.Minute)
}

// choose returns the engine that runs layer 40, empty if there is no chain.
func (f *fixture) choose(t *testing.T) (string, Result) {
	stages, v := f.chooser.Choose(f.svc, Requirements{Domain: "a", Tokens: 1000})
	if v != Found {
		return "", v
	}
	covers(t, stages, model.LayerRange{To: 80})
	for _, s := range stages {
		if s.Layers.From <= 40 && 40 < s.Layers.To {
			return s.Server.ID, v
		}
	}
	return "", v
}

// Weak evidence must not exclude a last holder, and all other evidence must exclude it. With
// another holder in the domain, any evidence excludes it.
func TestOnlyWeakEvidenceKeepsLastHolder(t *testing.T) {
	const alsoA = "a2-other"
	for _, c := range []struct {
		kind        catalog.Evidence
		other, full bool
		want        string
		result      Result
	}{
		{catalog.Weak, false, false, "a2", Found},
		{catalog.Weak, false, true, "a2", Found},
		{catalog.Weak, true, false, alsoA, Found},
		{catalog.Weak, true, true, alsoA, Found},
		{catalog.Unanswered, false, false, "c2", Found},
		{catalog.Unanswered, false, true, "", InterconnectExhausted},
		{catalog.Unanswered, true, true, alsoA, Found},
		{catalog.Strong, false, false, "c2", Found},
		{catalog.Strong, false, true, "", InterconnectExhausted},
		{catalog.Strong, true, true, alsoA, Found},
	} {
		f := lastHolders()
		if c.other {
			f.add(alsoA, "a", "l40s", 40, 50)
			f.add(alsoA+"2", "a", "l40s", 50, 60)
		}
		if c.full {
			f.fillInterconnect()
		}
		f.health.SuspectOn(inc("a2"), c.kind)
		id, v := f.choose(t)
		assert.Equal(t, v, c.result, "%+v", c)
		assert.Equal(t, id, c.want, "%+v", c)
	}
}

// Holders that are full or paused cannot take requests, so they must not exclude a weakly
// suspected one. Of several suspects, none excludes the other.
func TestUnusableHoldersDoNotExcludeSuspect(t *testing.T) {
	f := lastHolders()
	f.fillInterconnect()
	f.add("a2-other", "a", "a100", 40, 60)
	f.health.SuspectOn(inc("a2"), catalog.Weak)
	pauses := withPauses(f)
	pauses.Request(inc("a2-other"), time.Second)
	id, _ := f.choose(t)
	assert.Equal(t, id, "a2")
	f = lastHolders()
	f.fillInterconnect()
	f.add("a2-other", "a", "l4", 40, 60)
	f.health.SuspectOn(inc("a2"), catalog.Weak)
	f.health.SuspectOn(inc("a2-other"), catalog.Weak)
	id, _ = f.choose(t)
	assert.Equal(t, id, "a2")
	assert.Assert(t, f.chooser.LastHolder(f.svc, f.catalog.Load().ByID("a2")))
}

// Deployments without several failure domains or without an interconnect limit must be served
// as before.
func TestWeakEvidenceExcludesWithoutInterconnectLimit(t *testing.T) {
	f := lastHolders()
	f.svc.Engine.InterconnectMbps = 0
	f.health.SuspectOn(inc("a2"), catalog.Weak)
	id, _ := f.choose(t)
	assert.Equal(t, id, "c2")
	f = lastHolders()
	f.catalog.Remove("c2", 1, 0)
	f.health.SuspectOn(inc("a2"), catalog.Weak)
	_, v := f.choose(t)
	assert.Equal(t, v, NoChain)
	assert.Assert(t, !f.chooser.LastHolder(f.svc, f.catalog.Load().ByID("a2")))
}

// A weakly suspected last holder is left while another domain serves the whole chain at
// less than the expected loss, and used if that domain is busy.
func TestCostDecidesBetweenSuspectAndOtherDomain(t *testing.T) {
	f := twoDomains()
	f.health.SuspectOn(inc("a2"), catalog.Weak)
	id, _ := f.choose(t)
	assert.Equal(t, id, "b2")
	var busy []Stage
	for _, id := range []string{"b1", "b2", "b3"} {
		b := f.catalog.Load().ByID(id)
		busy = append(busy, Stage{Server: b, Layers: b.Holds})
	}
	for range 60 {
		f.chooser.Usage.Reserve(busy, 200)
	}
	id, _ = f.choose(t)
	assert.Equal(t, id, "a2")
}

// An engine that fails every request is the last holder. It must be left after few attempts,
// with and without another chain, so that it does not use up the retry budget.
func TestFailingLastHolderGetsFewRequests(t *testing.T) {
	for _, full := range []bool{false, true} {
		f := lastHolders()
		attempts := 0
		for step := 0; step < 1000; step++ { // 10 s with 100 requests per second
			if full && step%100 == 0 {
				f.fillInterconnect()
			}
			f.now = f.now.Add(10 * time.Millisecond)
			stages, v := f.chooser.Choose(f.svc, Requirements{Domain: "a", Tokens: 1000})
			if v != Found || stages[1].Server.ID != "a2" {
				continue
			}
			attempts++
			f.chooser.RecordStart(f.svc.Engine, stages, 800, Requirements{})
			f.health.SuspectOn(inc("a2"), catalog.Unanswered)
			f.health.RecordAnswer(inc("a2"), f.now)
		}
		assert.Check(t, attempts >= 2 && attempts <= 45, "full %t: %d attempts", full, attempts)
	}
}

// Suspects may be in a chain only on weak evidence, and only if some layer of theirs has no
// other usable holder in their domain.
func TestChainsContainSuspectsOnlyAsLastHolders(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := newFixture()
		for i := range rapid.IntRange(1, 24).Draw(rt, "engines") {
			from := 10 * rapid.IntRange(0, 7).Draw(rt, "from")
			to := min(from+10*rapid.IntRange(1, 3).Draw(rt, "tens"), 80)
			id := fmt.Sprintf("e%02d", i)
			f.add(id, rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "domain"), "a100", from, to)
			if kind := rapid.SampledFrom([]catalog.Evidence{catalog.None, catalog.None, catalog.Weak, catalog.Unanswered, catalog.Strong}).Draw(rt, "kind"); kind != catalog.None {
				f.health.SuspectOn(inc(id), kind)
			}
		}
		stages, v := f.chooser.Choose(f.svc, Requirements{Domain: "a", Tokens: 100})
		if v != Found {
			return
		}
		covers(rt, stages, model.LayerRange{To: 80})
		for _, s := range stages {
			if view := f.health.View(s.Server.Incarnation()); view.Suspected {
				assert.Equal(rt, view.Evidence, catalog.Weak)
				assert.Assert(rt, f.chooser.LastHolder(f.svc, s.Server))
			}
		}
	})
}

// A move or resumption may take a slower engine of the domain while the interconnect is busy, so
// that new requests can use it. The pause must not grow by more than the cost of the crossings.
func TestMovesLeaveBusyInterconnect(t *testing.T) {
	for _, resumed := range []bool{false, true} {
		testMoves(t, resumed)
	}
}

func testMoves(t *testing.T, resumed bool) {
	move := func(rate, extraPrefill float64) string {
		f := lastHolders()
		f.add("a2-slow", "a", "l40s", 40, 60)
		f.chooser.Interconnect.SetPeerRates("peer", map[DomainPair]float64{{A: "a", B: "c"}: rate}, time.Minute)
		f.chooser.Usage.AddPendingPrefill(inc("a2-slow"), extraPrefill)
		var stages []Stage
		for _, id := range []string{"a1", "a2", "a3"} {
			b := f.catalog.Load().ByID(id)
			stages = append(stages, Stage{Server: b, Layers: b.Holds})
		}
		var next []Stage
		if !resumed {
			next = f.chooser.Replace(f.svc, stages, setOf("a2"), 1000, time.Second)
		} else {
			next, _ = f.chooser.Choose(f.svc, Requirements{Domain: "a", Tokens: 1000, MaxEventGap: time.Second, Resumed: true, Avoid: setOf("a2")})
		}
		covers(t, next, model.LayerRange{To: 80})
		return next[1].Server.ID
	}
	assert.Equal(t, move(0, 0.06), "c2", "an idle interconnect is used for a shorter pause")
	assert.Equal(t, move(15000, 0.06), "a2-slow")
	assert.Equal(t, move(15000, 0.2), "c2", "the extra pause is bounded")
}

// The traffic between two replaced stages was counted twice.
func TestMoveCountsTrafficOnce(t *testing.T) {
	f := newFixture()
	var stages []Stage
	for i, id := range []string{"a1", "x2", "x3"} {
		f.add(id, "a", "a100", 20*i, 20*i+20)
		stages = append(stages, Stage{Server: f.catalog.Load().ByID(id), Layers: model.LayerRange{From: 20 * i, To: 20*i + 20}})
	}
	f.svc.Engine.Layers = 60
	f.add("b2", "b", "a100", 20, 40)
	f.add("c3", "c", "a100", 40, 60)
	next := f.chooser.Replace(f.svc, stages, map[model.Incarnation]bool{inc("x2"): true, inc("x3"): true}, 1000, time.Second)
	covers(t, next, model.LayerRange{To: 60})
	rates := f.chooser.Interconnect.OwnRates()
	mbit := CrossDomainMbit(f.svc.Engine, 1000)
	assert.DeepEqual(t, rates, map[DomainPair]float64{{A: "a", B: "b"}: mbit, {A: "b", B: "c"}: mbit})
}

// All routers resume the streams of a lost engine before they know of each other's choices. The
// streams must spread over the engines that are left, and not cross a busy interconnect.
func TestResumptionsSpreadWithinDomain(t *testing.T) {
	const routers, streams = 4, 30
	runs := map[string]int{}
	for range routers {
		f := newFixture()
		f.svc.Engine.LayerMB = 500
		for _, n := range []string{"1", "2", "3"} {
			f.add("head"+n, "a", "a100", 0, 40)
			f.add("tail"+n, "a", "a100", 40, 80)
		}
		f.add("remote", "c", "a100", 40, 80)
		f.chooser.Interconnect.SetPeerRates("peer", map[DomainPair]float64{{A: "a", B: "c"}: 15000}, time.Minute)
		for range streams {
			stages, v := f.chooser.Choose(f.svc, Requirements{Domain: "a", Tokens: 1000, Resumed: true, Avoid: setOf("tail1")})
			assert.Equal(t, v, Found)
			f.chooser.Usage.Reserve(stages, 1000)
			f.chooser.RecordStart(f.svc.Engine, stages, 1000, Requirements{})
			f.chooser.RecordResume(f.svc.Engine, stages, 1000)
			for _, s := range stages {
				runs[s.Server.ID]++
			}
		}
	}
	for _, id := range []string{"head1", "head2", "head3"} {
		assert.Check(t, runs[id] >= routers*streams/6, "%v", runs)
	}
	for _, id := range []string{"tail2", "tail3"} {
		assert.Check(t, runs[id] >= routers*streams/4, "%v", runs)
	}
	assert.Check(t, runs["remote"] <= routers*streams/3, "%v", runs)
}

// Selecting the candidates must take less than 1 us more than without kinds of evidence if no
// engine of 58 is suspected.
func BenchmarkCandidates(b *testing.B) {
	for name, suspects := range map[string]int{"no suspects": 0, "suspects": 3} {
		b.Run(name, func(b *testing.B) {
			f := newFixture()
			for i := range 58 {
				from := (i / 3 % 8) * 10
				f.add(fmt.Sprintf("e%d", i), string(rune('a'+i%3)), "l4", from, from+10)
			}
			for i := range suspects {
				f.health.SuspectOnUntil(inc(fmt.Sprintf("e%d", i)), catalog.Weak, f.now.Add(time.Hour))
			}
			engines := f.chooser.engines("s")
			for b.Loop() {
				f.chooser.candidates(engines, f.svc, Requirements{Domain: "a", Tokens: 1000})
			}
		})
	}
}
