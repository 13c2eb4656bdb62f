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

// service returns a model of 80 layers of 1,750 MB and three accelerator types.
func service() *model.Service {
	return &model.Service{Name: "s", Engine: &model.EngineSpec{
		Slots: 192, Layers: 80, LayerMB: 1750, KVTokenBytes: 918000,
		StepTime: 1020 * time.Microsecond, StepTimePerRequest: 7140 * time.Nanosecond, StepsPerPass: 3,
		PrefillRate: 105000, MeanPromptTokens: 774, MeanAnswerTokens: 200, ActivationBytes: 45900, InterconnectMbps: 26000,
		Cards: []model.Card{{Name: "a100", MB: 72000, StepTimeFactor: 2.4, PrefillFactor: 3.2}, {Name: "l40s", MB: 43200, StepTimeFactor: 5.6, PrefillFactor: 2.7}, {Name: "l4", MB: 21600, StepTimeFactor: 16, PrefillFactor: 8.2}},
	}}
}

type fixture struct {
	now     time.Time
	svc     *model.Service
	catalog *catalog.Catalog
	health  *catalog.Health
	chooser *Chooser

	releases []release // of active streams, in order of time
}

func newFixture() *fixture {
	f := &fixture{now: time.Unix(1000, 0), svc: service()}
	now := func() time.Time { return f.now }
	f.catalog = catalog.New(now)
	f.health = catalog.NewHealth(now)
	f.chooser = &Chooser{Catalog: f.catalog, Health: f.health, Usage: NewUsageTracker(now), Interconnect: NewInterconnect(now), RouterCount: func() int { return 4 }}
	return f
}

func inc(id string) model.Incarnation { return model.Incarnation{ID: id} }

func (f *fixture) add(id, domain, card string, from, to int) {
	f.catalog.Put(model.BackendServer{ID: id, Service: "s", Address: id + ":1", FailureDomain: domain, Card: card, Holds: model.LayerRange{From: from, To: to}})
}

// twoDomains returns a fixture with one chain of fast accelerators in each of two failure
// domains.
func twoDomains() *fixture {
	f := newFixture()
	for _, d := range []string{"a", "b"} {
		f.add(d+"1", d, "a100", 0, 40)
		f.add(d+"2", d, "l40s", 40, 60)
		f.add(d+"3", d, "l40s", 60, 80)
	}
	return f
}

func covers(t assert.TestingT, stages []Stage, need model.LayerRange) {
	at := need.From
	seen := map[string]bool{}
	for _, s := range stages {
		assert.Equal(t, s.Layers.From, at)
		assert.Assert(t, s.Layers.Len() > 0 && s.Server.Holds.Contains(s.Layers), "%s runs %s of %s", s.Server.ID, s.Layers, s.Server.Holds)
		assert.Assert(t, !seen[s.Server.ID], "%s occurs twice", s.Server.ID)
		seen[s.Server.ID] = true
		at = s.Layers.To
	}
	assert.Equal(t, at, need.To)
}

func TestChooseStaysInRequestingDomain(t *testing.T) {
	f := twoDomains()
	for _, d := range []string{"a", "b"} {
		stages, v := f.chooser.Choose(f.svc, Requirements{Domain: d, Tokens: 1000})
		assert.Equal(t, v, Found)
		for _, s := range stages {
			assert.Equal(t, s.Server.FailureDomain, d)
		}
	}
}

// A chain must run each layer once and in order, and must not contain an engine twice.
func TestChainCoversEachLayerOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := newFixture()
		n := rapid.IntRange(1, 30).Draw(rt, "engines")
		for i := range n {
			from := rapid.IntRange(0, 79).Draw(rt, "from")
			to := rapid.IntRange(from, min(from+24, 80)).Draw(rt, "to")
			card := rapid.SampledFrom([]string{"a100", "l40s", "l4", "unknown"}).Draw(rt, "card")
			f.add(fmt.Sprintf("e%d", i), rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "domain"), card, from, to)
			if rapid.IntRange(0, 9).Draw(rt, "suspected") == 0 {
				f.health.Suspect(inc(fmt.Sprintf("e%d", i)))
			}
		}
		stages, v := f.chooser.Choose(f.svc, Requirements{Domain: "a", Tokens: 1000})
		if v != Found {
			assert.Equal(rt, len(stages), 0)
			return
		}
		covers(rt, stages, model.LayerRange{To: 80})
		for _, s := range stages {
			assert.Assert(rt, !f.health.Suspected(s.Server.Incarnation()))
		}
	})
}

// An engine without a substitute in its domain is lost. Chains must move to the other
// domain as a whole rather than cross the interconnect twice.
func TestLostEngineMovesChainsToOtherDomain(t *testing.T) {
	f := twoDomains()
	f.catalog.Remove("a2", 1, 0)
	stages, v := f.chooser.Choose(f.svc, Requirements{Domain: "a", Tokens: 1000})
	assert.Equal(t, v, Found)
	crossings := 0
	for i := 1; i < len(stages); i++ {
		if stages[i].Server.FailureDomain != stages[i-1].Server.FailureDomain {
			crossings++
		}
	}
	assert.Assert(t, crossings <= 1, "%d crossings", crossings)
}

// The interconnect is at its limit through traffic of other routers. Chains must not use
// it.
func TestChooseAvoidsSaturatedInterconnect(t *testing.T) {
	f := newFixture()
	f.add("a1", "a", "a100", 0, 40)
	f.add("b1", "b", "a100", 40, 80)
	_, v := f.chooser.Choose(f.svc, Requirements{Domain: "a", Tokens: 1000})
	assert.Equal(t, v, Found, "an idle interconnect is used")
	f.chooser.Interconnect.SetPeerRates("peer", map[DomainPair]float64{{A: "a", B: "b"}: 20000}, 2*time.Second)
	_, v = f.chooser.Choose(f.svc, Requirements{Domain: "a", Tokens: 1000})
	assert.Equal(t, v, InterconnectExhausted)
	f.now = f.now.Add(2 * time.Second)
	_, v = f.chooser.Choose(f.svc, Requirements{Domain: "a", Tokens: 1000})
	assert.Equal(t, v, Found, "the rates of the peer have expired")
}

// All routers of a domain turn to the interconnect before they receive each other's usage.
// Together they must not overload it.
func TestRoutersTogetherStayBelowInterconnectLimit(t *testing.T) {
	const routers, rate, prompt = 24, 6400.0, 294.0
	now := time.Unix(1000, 0)
	crossed := 0
	for range routers {
		ic := NewInterconnect(func() time.Time { return now })
		limit := maxUtilization(46*time.Millisecond, 0, 4)
		for ic.Allows("a", "b", prompt, rate*limit, routers) {
			ic.AddTraffic("a", "b", prompt)
			crossed++
		}
	}
	assert.Assert(t, crossed <= 2*routers, "%d prompts use the interconnect at once", crossed)
}

// When one domain is full, streams must start in the other. When both are full they must be
// refused, because engines that run out of memory preempt streams.
func TestFullDomainOverflowsThenRefuses(t *testing.T) {
	f := twoDomains()
	used := map[string]int{}
	for range 1000 {
		stages, v := f.chooser.Choose(f.svc, Requirements{Domain: "a", Tokens: 1000})
		if v == CapacityExhausted {
			break
		}
		covers(t, stages, model.LayerRange{To: 80})
		f.chooser.Usage.Reserve(stages, 1000)
		used[stages[0].Server.FailureDomain]++
	}
	assert.Assert(t, used["a"] > 0 && used["b"] > used["a"]/2, "%v", used)
	assert.Assert(t, used["a"]+used["b"] < 1000, "nothing was refused: %v", used)
	for _, b := range f.catalog.Load().Service("s") {
		card, _ := f.svc.Engine.Card(b.Card)
		limit := Capacity(f.svc.Engine, card, b.Holds) * maxReservedShare
		assert.Assert(t, f.chooser.Usage.Used(b.Incarnation()).TokenLayers <= limit, "%s exceeds its memory", b.ID)
	}
}

// The number of streams that start at an engine must not exceed its slots. Further chains
// must start at a slower engine.
func TestFirstStagesStayWithinSlots(t *testing.T) {
	f := twoDomains()
	f.catalog.Remove("b1", 1, 0)
	f.add("front", "a", "l4", 0, 4)
	for id, slots := range map[string]int{"a1": 20, "front": 20} {
		b := *f.catalog.Load().ByID(id)
		b.Slots = slots
		f.catalog.Put(b)
	}
	firsts := map[string]int{}
	for {
		stages, v := f.chooser.Choose(f.svc, Requirements{Domain: "a", Tokens: 10})
		if v != Found {
			assert.Equal(t, v, CapacityExhausted)
			break
		}
		covers(t, stages, model.LayerRange{To: 80})
		f.chooser.Usage.Reserve(stages, 10)
		firsts[stages[0].Server.ID]++
		f.now = f.now.Add(5 * time.Second) // peers have reported their usage by now
	}
	assert.DeepEqual(t, firsts, map[string]int{"a1": 18, "front": 18})
}

// Routers that start together receive a burst before they receive each other's usage.
// Together they must not exceed the slots of the fastest engine.
func TestBurstAtAllRoutersStaysWithinSlots(t *testing.T) {
	const routers, each, slots = 8, 30, 100
	firsts := map[string]int{}
	for range routers {
		f := newFixture()
		f.chooser.RouterCount = func() int { return routers }
		for id, card := range map[string]string{"fast": "a100", "second": "l40s", "third": "l40s"} {
			f.catalog.Put(model.BackendServer{ID: id, Service: "s", Address: id + ":1", FailureDomain: "a", Card: card, Slots: slots, Holds: model.LayerRange{To: 10}})
		}
		f.add("rest", "a", "a100", 10, 40)
		f.add("end", "a", "a100", 40, 80)
		for range each {
			stages, v := f.chooser.Choose(f.svc, Requirements{Domain: "a", Tokens: 10})
			assert.Equal(t, v, Found)
			f.chooser.Usage.Reserve(stages, 10)
			firsts[stages[0].Server.ID]++
		}
	}
	for id, n := range firsts {
		assert.Assert(t, n <= slots, "%s is the first stage of %d chains: %v", id, n, firsts)
	}
}

// A stream without attempts left may start only at the given engines.
func TestChooseRespectsAllowedFirstStages(t *testing.T) {
	f := twoDomains()
	stages, v := f.chooser.Choose(f.svc, Requirements{Domain: "a", Tokens: 10, FirstStageIn: map[model.Incarnation]bool{inc("b1"): true}})
	assert.Equal(t, v, Found)
	assert.Equal(t, stages[0].Server.ID, "b1")
	_, v = f.chooser.Choose(f.svc, Requirements{Domain: "a", Tokens: 10, FirstStageIn: map[model.Incarnation]bool{inc("gone"): true}})
	assert.Equal(t, v, NoChain)
}

// Replace must change only the lost stage. The other stages keep their memory and need no
// new prefill.
func TestReplaceKeepsRemainingStages(t *testing.T) {
	f := twoDomains()
	f.add("spare", "a", "l4", 38, 62)
	stages, _ := f.chooser.Choose(f.svc, Requirements{Domain: "a", Tokens: 1000})
	covers(t, stages, model.LayerRange{To: 80})
	next := f.chooser.Replace(f.svc, stages, setOf("a2"), 1000, 0)
	covers(t, next, model.LayerRange{To: 80})
	assert.Equal(t, next[0], stages[0])
	assert.Equal(t, next[len(next)-1], stages[len(stages)-1])
	for _, s := range next {
		assert.Assert(t, s.Server.ID != "a2")
	}
	assert.Assert(t, f.chooser.Replace(f.svc, stages, setOf("a1"), 1000, 0) == nil, "the first stage cannot be replaced")
}

// A lost stage has no single substitute, but a different chain after the first stage
// exists. The stream must be moved to it.
func TestReplaceReroutesAfterFirstStage(t *testing.T) {
	f := newFixture()
	f.add("first", "a", "a100", 0, 20)
	f.add("lost", "a", "l40s", 20, 40)
	f.add("left", "a", "l40s", 20, 30)
	f.add("right", "a", "l40s", 30, 50)
	f.add("last", "a", "a100", 40, 80)
	stages := []Stage{
		{Server: f.catalog.Load().ByID("first"), Layers: model.LayerRange{To: 20}},
		{Server: f.catalog.Load().ByID("lost"), Layers: model.LayerRange{From: 20, To: 40}},
		{Server: f.catalog.Load().ByID("right"), Layers: model.LayerRange{From: 40, To: 50}},
		{Server: f.catalog.Load().ByID("last"), Layers: model.LayerRange{From: 50, To: 80}},
	}
	next := f.chooser.Replace(f.svc, stages, setOf("lost"), 1000, 0)
	covers(t, next, model.LayerRange{To: 80})
	assert.Equal(t, next[0], stages[0])
	for _, s := range next {
		assert.Assert(t, s.Server.ID != "lost")
	}
}

// Routers move their streams off a lost engine at the same time, before they receive each
// other's usage. Together they must use all substitutes.
func TestMovedStreamsUseAllSubstitutes(t *testing.T) {
	const routers, each = 24, 10
	moved := map[string]int{}
	for range routers {
		f := newFixture()
		f.chooser.RouterCount = func() int { return routers }
		f.add("first", "a", "a100", 0, 36)
		f.add("lost", "a", "l40s", 36, 47)
		f.add("last", "a", "a100", 47, 80)
		for _, substitute := range []string{"x", "y", "z"} {
			f.add(substitute, "a", "l40s", 36, 47)
		}
		for range each {
			stages := []Stage{
				{Server: f.catalog.Load().ByID("first"), Layers: model.LayerRange{To: 36}},
				{Server: f.catalog.Load().ByID("lost"), Layers: model.LayerRange{From: 36, To: 47}},
				{Server: f.catalog.Load().ByID("last"), Layers: model.LayerRange{From: 47, To: 80}},
			}
			next := f.chooser.Replace(f.svc, stages, setOf("lost"), 1000, 0)
			assert.Equal(t, len(next), 3)
			moved[next[1].Server.ID]++
		}
	}
	for _, substitute := range []string{"x", "y", "z"} {
		assert.Assert(t, moved[substitute] >= routers*each/5, "%v", moved)
	}
}

// A substitute in the same domain pauses the stream for less time than a faster one that
// needs a transfer of all tokens between domains.
func TestReplaceMinimizesPause(t *testing.T) {
	f := newFixture()
	f.svc.Engine.InterconnectMbps = 6400
	f.add("first", "a", "a100", 0, 36)
	f.add("lost", "a", "l40s", 36, 47)
	f.add("last", "a", "a100", 47, 80)
	f.add("slow", "a", "l4", 36, 47)
	f.add("away", "b", "a100", 36, 47)
	stages := []Stage{
		{Server: f.catalog.Load().ByID("first"), Layers: model.LayerRange{To: 36}},
		{Server: f.catalog.Load().ByID("lost"), Layers: model.LayerRange{From: 36, To: 47}},
		{Server: f.catalog.Load().ByID("last"), Layers: model.LayerRange{From: 47, To: 80}},
	}
	next := f.chooser.Replace(f.svc, stages, setOf("lost"), 1000, 0)
	covers(t, next, model.LayerRange{To: 80})
	assert.Equal(t, next[1].Server.ID, "slow")
}

func TestSlowEngineIsAvoided(t *testing.T) {
	f := twoDomains()
	f.add("a4", "a", "l40s", 40, 60)
	f.chooser.Usage.SetSlowdown(inc("a2"), 3)
	stages, _ := f.chooser.Choose(f.svc, Requirements{Domain: "a", Tokens: 1000})
	for _, s := range stages {
		assert.Assert(t, s.Server.ID != "a2")
	}
}

func TestReservationIsReleasedOnce(t *testing.T) {
	f := twoDomains()
	stages, _ := f.chooser.Choose(f.svc, Requirements{Domain: "a", Tokens: 1000})
	other, _ := f.chooser.Choose(f.svc, Requirements{Domain: "b", Tokens: 1000})
	h := f.chooser.Usage.Reserve(stages, 1000)
	assert.Equal(t, f.chooser.Usage.Used(inc("a1")).TokenLayers, 40000.0)
	h.Move(other)
	assert.Equal(t, f.chooser.Usage.Used(inc("a1")).TokenLayers, 0.0)
	assert.Equal(t, f.chooser.Usage.Used(inc("b1")).TokenLayers, 40000.0)
	h.Release()
	h.Release()
	h.Move(stages)
	assert.Equal(t, f.chooser.Usage.Used(inc("a1")), Usage{})
	assert.Equal(t, f.chooser.Usage.Used(inc("b1")), Usage{})
}

// A peer's usage must expire when the peer stops reporting.
func TestPeerUsageExpires(t *testing.T) {
	f := twoDomains()
	f.chooser.Usage.SetPeerUsage("p", map[model.Incarnation]Usage{inc("a1"): {TokenLayers: 500, Streams: 2}}, 2*time.Second)
	assert.Equal(t, f.chooser.Usage.Used(inc("a1")).Streams, 2.0)
	f.now = f.now.Add(2 * time.Second)
	assert.Equal(t, f.chooser.Usage.Used(inc("a1")).Streams, 0.0)
}

// A new report of a peer must replace its previous one, and an expired peer must not affect
// the others.
func TestPeerUsageAddsUp(t *testing.T) {
	f := twoDomains()
	m := f.chooser.Usage
	m.SetPeerUsage("p", map[model.Incarnation]Usage{inc("a1"): {Streams: 2}, inc("a2"): {Streams: 9}}, 2*time.Second)
	m.SetPeerUsage("q", map[model.Incarnation]Usage{inc("a1"): {Streams: 3}}, 4*time.Second)
	assert.Equal(t, m.Used(inc("a1")).Streams, 5.0)
	m.SetPeerUsage("p", map[model.Incarnation]Usage{inc("a1"): {Streams: 1}}, 2*time.Second)
	assert.Equal(t, m.Used(inc("a1")).Streams, 4.0)
	assert.Equal(t, m.Used(inc("a2")).Streams, 0.0)
	f.now = f.now.Add(3 * time.Second)
	assert.Equal(t, m.Used(inc("a1")).Streams, 3.0)
	m.ExpirePeers()
	assert.Equal(t, m.Used(inc("a1")).Streams, 3.0)
}

func BenchmarkUsedWithPeers(b *testing.B) {
	f := twoDomains()
	for i := range 300 {
		f.chooser.Usage.SetPeerUsage(fmt.Sprint(i), map[model.Incarnation]Usage{inc("a1"): {Streams: 1}}, time.Hour)
	}
	for b.Loop() {
		f.chooser.Usage.Used(inc("a1"))
	}
}

func TestPrefillLoadDecays(t *testing.T) {
	f := twoDomains()
	f.chooser.Usage.AddPrefill(inc("a1"), 0.5)
	assert.Assert(t, f.chooser.Usage.Used(inc("a1")).PrefillLoad > 0.4)
	f.now = f.now.Add(5 * time.Second)
	assert.Assert(t, f.chooser.Usage.Used(inc("a1")).PrefillLoad < 0.01)
}

// A slowdown that the engine reported to this router takes precedence over one that a peer
// forwarded. Both expire.
func TestSlowdownExpires(t *testing.T) {
	f := twoDomains()
	m := f.chooser.Usage
	m.SetPeerSlowdown(inc("a1"), 4)
	assert.Equal(t, m.Slowdown(inc("a1")), 4.0)
	assert.Assert(t, m.SetSlowdown(inc("a1"), 2))
	m.SetPeerSlowdown(inc("a1"), 4)
	assert.Equal(t, m.Slowdown(inc("a1")), 2.0)
	assert.DeepEqual(t, m.OwnSlowdowns(), map[model.Incarnation]float64{inc("a1"): 2})
	f.now = f.now.Add(SlowdownTTL)
	assert.Equal(t, m.Slowdown(inc("a1")), 1.0)
	assert.Assert(t, m.SetSlowdown(inc("a1"), 1), "a recovery is a change")
}

// With thousands of engines each router must consider a subset that forms a chain. The
// subsets must differ and together cover nearly all engines.
func TestRoutersConsiderDifferentEngines(t *testing.T) {
	const routers, holders = 100, 100
	f := newFixture()
	for _, d := range []string{"a", "b"} {
		for from := 0; from < 80; from += 20 {
			for i := range holders {
				f.add(fmt.Sprintf("%s%d-%d", d, from, i), d, "l40s", from, from+20)
			}
		}
	}
	routersByEngine := map[string]int{}
	for i := range routers {
		f.chooser.Self = fmt.Sprintf("10.1.0.%d:1", i)
		f.chooser.subsets.snapshot = nil
		stages, v := f.chooser.Choose(f.svc, Requirements{Domain: "a", Tokens: 1000})
		assert.Equal(t, v, Found)
		covers(t, stages, model.LayerRange{To: 80})
		seen := f.chooser.engines("s")
		assert.Equal(t, len(seen), 2*4*maxHolders)
		for _, b := range seen {
			routersByEngine[b.ID]++
		}
	}
	highest := 0
	for _, n := range routersByEngine {
		highest = max(highest, n)
	}
	assert.Assert(t, len(routersByEngine) > 2*4*holders*9/10, "%d of %d engines are considered", len(routersByEngine), 2*4*holders)
	assert.Assert(t, highest <= 5*routers*maxHolders/holders, "one engine is considered by %d routers of %d", highest, routers)
}

func BenchmarkChooseAmongThousands(b *testing.B) {
	f := newFixture()
	for i := range 3000 {
		from := i % 9 * 9
		f.add(fmt.Sprintf("e%d", i), string(rune('a'+i%3)), "l4", from, min(from+9, 80))
	}
	b.ReportAllocs()
	for b.Loop() {
		f.chooser.Choose(f.svc, Requirements{Domain: "a", Tokens: 1000})
	}
}

func BenchmarkChoose(b *testing.B) {
	f := newFixture()
	for i := range 52 {
		from := (i * 7) % 70
		f.add(fmt.Sprintf("e%d", i), string(rune('a'+i%4)), "l4", from, from+10)
	}
	b.ReportAllocs()
	for b.Loop() {
		f.chooser.Choose(f.svc, Requirements{Domain: "a", Tokens: 1000})
	}
}

// An engine that fails half of its streams at once looks idle and would attract all of them as
// the first stage.
func TestFailingEngineIsNotFirstStage(t *testing.T) {
	f := newFixture()
	f.add("grey", "a", "a100", 0, 1)
	f.add("a1", "a", "a100", 1, 40)
	f.add("other", "a", "l40s", 0, 20)
	f.add("a2", "a", "a100", 40, 80)
	first := func() string {
		stages, v := f.chooser.Choose(f.svc, Requirements{Domain: "a", Tokens: 1000})
		assert.Equal(t, v, Found)
		return stages[0].Server.ID
	}
	assert.Equal(t, first(), "grey", "it has the lowest cost")
	failures := 0
	for ; first() == "grey" && failures < 50; failures++ {
		f.health.RecordOutcome(inc("grey"), false)
		f.health.RecordOutcome(inc("grey"), true)
	}
	assert.Assert(t, failures <= 12, "%d failures", failures)
	f.now = f.now.Add(time.Minute)
	assert.Equal(t, first(), "grey")
	f.health.RecordOutcome(inc("a2"), false)
	f.health.RecordOutcome(inc("a2"), false)
	f.health.RecordOutcome(inc("a2"), false)
	stages, _ := f.chooser.Choose(f.svc, Requirements{Domain: "a", Tokens: 1000})
	assert.Equal(t, stages[len(stages)-1].Server.ID, "a2", "failures do not exclude it as a later stage")
}

func setOf(id string) map[model.Incarnation]bool { return map[model.Incarnation]bool{inc(id): true} }
