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

// The published figures of a mid-size site: 80 layers of 1,750 MB, three cards.
func service() *model.Service {
	return &model.Service{Name: "s", Engine: &model.EngineSpec{
		Slots: 192, Layers: 80, LayerMB: 1750, KVTokenBytes: 918000,
		StepTime: 1020 * time.Microsecond, PerRequest: 7140 * time.Nanosecond, Stride: 3,
		ReadRate: 105000, UsualPrompt: 774, UsualAnswer: 200, ActivationBytes: 45900, PipeMbps: 26000,
		Cards: []model.Card{{Name: "a100", MB: 72000, Pace: 2.4, ReadFactor: 3.2}, {Name: "l40s", MB: 43200, Pace: 5.6, ReadFactor: 2.7}, {Name: "l4", MB: 21600, Pace: 16, ReadFactor: 8.2}},
	}}
}

type world struct {
	now     time.Time
	svc     *model.Service
	catalog *catalog.Catalog
	health  *catalog.Health
	chooser *Chooser

	releases []release // in order, of streams that run
}

func newWorld() *world {
	w := &world{now: time.Unix(1000, 0), svc: service()}
	now := func() time.Time { return w.now }
	w.catalog = catalog.New(now)
	w.health = catalog.NewHealth(now)
	w.chooser = &Chooser{Catalog: w.catalog, Health: w.health, Usage: NewUsageTracker(now), Interconnect: NewInterconnect(now), RouterCount: func() int { return 4 }}
	return w
}

func inc(id string) model.Incarnation { return model.Incarnation{ID: id} }

func (w *world) add(id, domain, card string, from, to int) {
	w.catalog.Put(model.BackendServer{ID: id, Service: "s", Address: id + ":1", FailureDomain: domain, Card: card, Holds: model.LayerRange{From: from, To: to}})
}

// twoDomains has a chain of fast cards in each of two domains.
func twoDomains() *world {
	w := newWorld()
	for _, d := range []string{"a", "b"} {
		w.add(d+"1", d, "a100", 0, 40)
		w.add(d+"2", d, "l40s", 40, 60)
		w.add(d+"3", d, "l40s", 60, 80)
	}
	return w
}

func covers(t assert.TestingT, parts []Stage, need model.LayerRange) {
	at := need.From
	seen := map[string]bool{}
	for _, p := range parts {
		assert.Equal(t, p.Layers.From, at)
		assert.Assert(t, p.Layers.Len() > 0 && p.Server.Holds.Contains(p.Layers), "%s runs %s of %s", p.Server.ID, p.Layers, p.Server.Holds)
		assert.Assert(t, !seen[p.Server.ID], "%s comes twice", p.Server.ID)
		seen[p.Server.ID] = true
		at = p.Layers.To
	}
	assert.Equal(t, at, need.To)
}

func TestChainStaysInItsDomain(t *testing.T) {
	w := twoDomains()
	for _, d := range []string{"a", "b"} {
		parts, v := w.chooser.Choose(w.svc, Requirements{Domain: d, Tokens: 1000})
		assert.Equal(t, v, Found)
		for _, p := range parts {
			assert.Equal(t, p.Server.FailureDomain, d)
		}
	}
}

// A token must run each layer once and in order, and engines refuse a chain
// that names one of them twice. Whatever the ranges, cards, loads and
// suspicions are, a chain that is found obeys that.
func TestChainCoversEachLayerOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newWorld()
		n := rapid.IntRange(1, 30).Draw(rt, "engines")
		for i := range n {
			from := rapid.IntRange(0, 79).Draw(rt, "from")
			to := rapid.IntRange(from, min(from+24, 80)).Draw(rt, "to")
			card := rapid.SampledFrom([]string{"a100", "l40s", "l4", "unknown"}).Draw(rt, "card")
			w.add(fmt.Sprintf("e%d", i), rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "domain"), card, from, to)
			if rapid.IntRange(0, 9).Draw(rt, "suspected") == 0 {
				w.health.Suspect(inc(fmt.Sprintf("e%d", i)))
			}
		}
		parts, v := w.chooser.Choose(w.svc, Requirements{Domain: "a", Tokens: 1000})
		if v != Found {
			assert.Equal(rt, len(parts), 0)
			return
		}
		covers(rt, parts, model.LayerRange{To: 80})
		for _, p := range parts {
			assert.Assert(rt, !w.health.Suspected(p.Server.Incarnation()))
		}
	})
}

// One domain's chain loses an engine that nobody there stands in for. Its
// requests go through the other domain, not half through each: every prompt
// that crosses takes 11 ms of a pipe that all share.
func TestLostEngineSendsRequestsToOtherDomain(t *testing.T) {
	w := twoDomains()
	w.catalog.Remove("a2", 1, 0)
	parts, v := w.chooser.Choose(w.svc, Requirements{Domain: "a", Tokens: 1000})
	assert.Equal(t, v, Found)
	crossings := 0
	for i := 1; i < len(parts); i++ {
		if parts[i].Server.FailureDomain != parts[i-1].Server.FailureDomain {
			crossings++
		}
	}
	assert.Assert(t, crossings <= 1, "%d crossings", crossings)
}

// The pipe between the domains is used up, here and by other routers. A chain
// that needs it would only wait in it.
func TestFullPipeIsNotCrossed(t *testing.T) {
	w := newWorld()
	w.add("a1", "a", "a100", 0, 40)
	w.add("b1", "b", "a100", 40, 80)
	_, v := w.chooser.Choose(w.svc, Requirements{Domain: "a", Tokens: 1000})
	assert.Equal(t, v, Found, "an idle pipe is crossed")
	w.chooser.Interconnect.SetPeerRates("peer", map[DomainPair]float64{{A: "a", B: "b"}: 20000}, 2*time.Second)
	_, v = w.chooser.Choose(w.svc, Requirements{Domain: "a", Tokens: 1000})
	assert.Equal(t, v, NoChain)
	w.now = w.now.Add(2 * time.Second)
	_, v = w.chooser.Choose(w.svc, Requirements{Domain: "a", Tokens: 1000})
	assert.Equal(t, v, Found, "what the peer told is old")
}

// A domain loses an engine and two dozen routers turn to the pipe at the same
// moment, before they hear of each other. Together they must not fill it: a
// prompt of 800 tokens takes 46 ms there, one after another, and every stream
// that crosses waits behind it.
func TestRoutersTogetherDoNotFillAPipe(t *testing.T) {
	const routers, pipe, prompt = 24, 6400.0, 294.0
	now := time.Unix(1000, 0)
	crossed := 0
	for range routers {
		p := NewInterconnect(func() time.Time { return now })
		limit := maxUtilization(46*time.Millisecond, 0, 4)
		for p.Allows("a", "b", prompt, pipe*limit, routers) {
			p.AddTraffic("a", "b", prompt)
			crossed++
		}
	}
	assert.Assert(t, crossed <= 2*routers, "%d prompts cross at once", crossed)
}

// Streams fill one domain. The next ones go to the other while it has room;
// when both are full nothing is sent, as an engine that runs out of memory
// preempts the streams that it has.
func TestFullDomainIsLeftThenRefused(t *testing.T) {
	w := twoDomains()
	used := map[string]int{}
	for range 1000 {
		parts, v := w.chooser.Choose(w.svc, Requirements{Domain: "a", Tokens: 1000})
		if v == CapacityExhausted {
			break
		}
		covers(t, parts, model.LayerRange{To: 80})
		w.chooser.Usage.Reserve(parts, 1000)
		used[parts[0].Server.FailureDomain]++
	}
	assert.Assert(t, used["a"] > 0 && used["b"] > used["a"]/2, "%v", used)
	assert.Assert(t, used["a"]+used["b"] < 1000, "nothing was refused: %v", used)
	for _, b := range w.catalog.Load().Service("s") {
		card, _ := w.svc.Engine.Card(b.Card)
		most := Capacity(w.svc.Engine, card, b.Holds) * maxReservedShare
		assert.Assert(t, w.chooser.Usage.Used(b.Incarnation()).TokenLayers <= most, "%s is over its memory", b.ID)
	}
}

// Hundreds of streams begin in one domain. The slots of its first engine bound
// what begins there; beyond them a slow card that holds the first layers begins
// the chain, and the fast ones go on.
func TestSlotsOfTheFirstEngine(t *testing.T) {
	w := twoDomains()
	w.catalog.Remove("b1", 1, 0)
	w.add("front", "a", "l4", 0, 4)
	for id, slots := range map[string]int{"a1": 20, "front": 20} {
		b := *w.catalog.Load().ByID(id)
		b.Slots = slots
		w.catalog.Put(b)
	}
	firsts := map[string]int{}
	for {
		parts, v := w.chooser.Choose(w.svc, Requirements{Domain: "a", Tokens: 10})
		if v != Found {
			assert.Equal(t, v, CapacityExhausted)
			break
		}
		covers(t, parts, model.LayerRange{To: 80})
		w.chooser.Usage.Reserve(parts, 10)
		firsts[parts[0].Server.ID]++
		w.now = w.now.Add(5 * time.Second) // the peers have told since
	}
	assert.DeepEqual(t, firsts, map[string]int{"a1": 18, "front": 18})
}

// Eight routers of a failure domain start at the same moment, and the callers who
// waited for them come at once: 30 streams each, before any router hears of
// another. Three engines can begin a chain, with 100 slots each, one of them much
// faster. Its slots must not be overrun: what queues there waits for a whole answer.
func TestBurstAtAllRoutersIsSpread(t *testing.T) {
	const routers, each, slots = 8, 30, 100
	firsts := map[string]int{}
	for range routers {
		w := newWorld()
		w.chooser.RouterCount = func() int { return routers }
		for id, card := range map[string]string{"fast": "a100", "second": "l40s", "third": "l40s"} {
			w.catalog.Put(model.BackendServer{ID: id, Service: "s", Address: id + ":1", FailureDomain: "a", Card: card, Slots: slots, Holds: model.LayerRange{To: 10}})
		}
		w.add("rest", "a", "a100", 10, 40)
		w.add("end", "a", "a100", 40, 80)
		for range each {
			parts, v := w.chooser.Choose(w.svc, Requirements{Domain: "a", Tokens: 10})
			assert.Equal(t, v, Found)
			w.chooser.Usage.Reserve(parts, 10)
			firsts[parts[0].Server.ID]++
		}
	}
	for id, n := range firsts {
		assert.Assert(t, n <= slots, "%s begins %d: %v", id, n, firsts)
	}
}

// A stream has used up its attempts. It may only begin where it ran before.
func TestChainBeginsAmongTheGiven(t *testing.T) {
	w := twoDomains()
	parts, v := w.chooser.Choose(w.svc, Requirements{Domain: "a", Tokens: 10, FirstStageIn: map[model.Incarnation]bool{inc("b1"): true}})
	assert.Equal(t, v, Found)
	assert.Equal(t, parts[0].Server.ID, "b1")
	_, v = w.chooser.Choose(w.svc, Requirements{Domain: "a", Tokens: 10, FirstStageIn: map[model.Incarnation]bool{inc("gone"): true}})
	assert.Equal(t, v, NoChain)
}

// A running stream loses a part. Only that part is replaced: the others keep
// their memory and read nothing again, and the first part stays.
func TestReplaceKeepsTheOtherParts(t *testing.T) {
	w := twoDomains()
	w.add("spare", "a", "l4", 38, 62)
	parts, _ := w.chooser.Choose(w.svc, Requirements{Domain: "a", Tokens: 1000})
	covers(t, parts, model.LayerRange{To: 80})
	next := w.chooser.Replace(w.svc, parts, only("a2"), 1000, 0)
	covers(t, next, model.LayerRange{To: 80})
	assert.Equal(t, next[0], parts[0])
	assert.Equal(t, next[len(next)-1], parts[len(parts)-1])
	for _, p := range next {
		assert.Assert(t, p.Server.ID != "a2")
	}
	assert.Assert(t, w.chooser.Replace(w.svc, parts, only("a1"), 1000, 0) == nil, "the first part cannot be replaced")
}

// An engine's process ends, and nobody outside of the chain holds exactly its
// layers: two neighbours that the chain runs through could take them between
// them. The stream keeps its first engine and is moved, without a new send.
func TestStreamIsReroutedAfterItsFirstEngine(t *testing.T) {
	w := newWorld()
	w.add("first", "a", "a100", 0, 20)
	w.add("lost", "a", "l40s", 20, 40)
	w.add("left", "a", "l40s", 20, 30)
	w.add("right", "a", "l40s", 30, 50)
	w.add("last", "a", "a100", 40, 80)
	parts := []Stage{
		{Server: w.catalog.Load().ByID("first"), Layers: model.LayerRange{To: 20}},
		{Server: w.catalog.Load().ByID("lost"), Layers: model.LayerRange{From: 20, To: 40}},
		{Server: w.catalog.Load().ByID("right"), Layers: model.LayerRange{From: 40, To: 50}},
		{Server: w.catalog.Load().ByID("last"), Layers: model.LayerRange{From: 50, To: 80}},
	}
	next := w.chooser.Replace(w.svc, parts, only("lost"), 1000, 0)
	covers(t, next, model.LayerRange{To: 80})
	assert.Equal(t, next[0], parts[0])
	for _, p := range next {
		assert.Assert(t, p.Server.ID != "lost")
	}
}

// An engine that 240 streams of 24 routers run through dies; each router moves
// its ten at the same moment, before it hears of the others. A prompt of 1,000
// tokens takes a slow card 4 ms in these layers, a fast one 1.4 ms. Sent all to
// the engine that looks cheapest they would take 0.3 s and more; together the
// routers must use all holders.
func TestMovedStreamsAreSpread(t *testing.T) {
	const routers, each = 24, 10
	moved := map[string]int{}
	for range routers {
		w := newWorld()
		w.chooser.RouterCount = func() int { return routers }
		w.add("first", "a", "a100", 0, 36)
		w.add("lost", "a", "l40s", 36, 47)
		w.add("last", "a", "a100", 47, 80)
		for _, spare := range []string{"x", "y", "z"} {
			w.add(spare, "a", "l40s", 36, 47)
		}
		for range each {
			parts := []Stage{
				{Server: w.catalog.Load().ByID("first"), Layers: model.LayerRange{To: 36}},
				{Server: w.catalog.Load().ByID("lost"), Layers: model.LayerRange{From: 36, To: 47}},
				{Server: w.catalog.Load().ByID("last"), Layers: model.LayerRange{From: 47, To: 80}},
			}
			next := w.chooser.Replace(w.svc, parts, only("lost"), 1000, 0)
			assert.Equal(t, len(next), 3)
			moved[next[1].Server.ID]++
		}
	}
	for _, spare := range []string{"x", "y", "z"} {
		assert.Assert(t, moved[spare] >= routers*each/5, "%v", moved)
	}
}

// A stream of 1,000 tokens loses a part. Slow cards in its failure domain hold the
// layers, and a fast one in the next. A token would be faster there, but the move
// takes all tokens over the pipe first, 57 ms, while the slow cards read them in
// 10: the stream stays.
func TestMoveIsChosenForItsPause(t *testing.T) {
	w := newWorld()
	w.svc.Engine.PipeMbps = 6400
	w.add("first", "a", "a100", 0, 36)
	w.add("lost", "a", "l40s", 36, 47)
	w.add("last", "a", "a100", 47, 80)
	w.add("slow", "a", "l4", 36, 47)
	w.add("away", "b", "a100", 36, 47)
	parts := []Stage{
		{Server: w.catalog.Load().ByID("first"), Layers: model.LayerRange{To: 36}},
		{Server: w.catalog.Load().ByID("lost"), Layers: model.LayerRange{From: 36, To: 47}},
		{Server: w.catalog.Load().ByID("last"), Layers: model.LayerRange{From: 47, To: 80}},
	}
	next := w.chooser.Replace(w.svc, parts, only("lost"), 1000, 0)
	covers(t, next, model.LayerRange{To: 80})
	assert.Equal(t, next[1].Server.ID, "slow")
}

func TestSlowEngineIsAvoided(t *testing.T) {
	w := twoDomains()
	w.add("a4", "a", "l40s", 40, 60)
	w.chooser.Usage.SetSlowdown(inc("a2"), 3)
	parts, _ := w.chooser.Choose(w.svc, Requirements{Domain: "a", Tokens: 1000})
	for _, p := range parts {
		assert.Assert(t, p.Server.ID != "a2")
	}
}

func TestHoldIsGivenBackOnce(t *testing.T) {
	w := twoDomains()
	parts, _ := w.chooser.Choose(w.svc, Requirements{Domain: "a", Tokens: 1000})
	other, _ := w.chooser.Choose(w.svc, Requirements{Domain: "b", Tokens: 1000})
	h := w.chooser.Usage.Reserve(parts, 1000)
	assert.Equal(t, w.chooser.Usage.Used(inc("a1")).TokenLayers, 40000.0)
	h.Move(other)
	assert.Equal(t, w.chooser.Usage.Used(inc("a1")).TokenLayers, 0.0)
	assert.Equal(t, w.chooser.Usage.Used(inc("b1")).TokenLayers, 40000.0)
	h.Release()
	h.Release()
	h.Move(parts)
	assert.Equal(t, w.chooser.Usage.Used(inc("a1")), Usage{})
	assert.Equal(t, w.chooser.Usage.Used(inc("b1")), Usage{})
}

// Another router's streams count until it has been silent for a while: without
// them each router would fill an engine by itself.
func TestPeersCountUntilTheyAreSilent(t *testing.T) {
	w := twoDomains()
	w.chooser.Usage.SetPeerUsage("p", map[model.Incarnation]Usage{inc("a1"): {TokenLayers: 500, Streams: 2}}, 2*time.Second)
	assert.Equal(t, w.chooser.Usage.Used(inc("a1")).Streams, 2.0)
	w.now = w.now.Add(2 * time.Second)
	assert.Equal(t, w.chooser.Usage.Used(inc("a1")).Streams, 0.0)
}

// A peer's new count takes the place of its old one, peers add up, and one that
// falls silent takes only its own with it.
func TestPeersAddUp(t *testing.T) {
	w := twoDomains()
	m := w.chooser.Usage
	m.SetPeerUsage("p", map[model.Incarnation]Usage{inc("a1"): {Streams: 2}, inc("a2"): {Streams: 9}}, 2*time.Second)
	m.SetPeerUsage("q", map[model.Incarnation]Usage{inc("a1"): {Streams: 3}}, 4*time.Second)
	assert.Equal(t, m.Used(inc("a1")).Streams, 5.0)
	m.SetPeerUsage("p", map[model.Incarnation]Usage{inc("a1"): {Streams: 1}}, 2*time.Second)
	assert.Equal(t, m.Used(inc("a1")).Streams, 4.0)
	assert.Equal(t, m.Used(inc("a2")).Streams, 0.0)
	w.now = w.now.Add(3 * time.Second)
	assert.Equal(t, m.Used(inc("a1")).Streams, 3.0)
	m.ExpirePeers()
	assert.Equal(t, m.Used(inc("a1")).Streams, 3.0)
}

func BenchmarkUsedWithPeers(b *testing.B) {
	w := twoDomains()
	for i := range 300 {
		w.chooser.Usage.SetPeerUsage(fmt.Sprint(i), map[model.Incarnation]Usage{inc("a1"): {Streams: 1}}, time.Hour)
	}
	for b.Loop() {
		w.chooser.Usage.Used(inc("a1"))
	}
}

func TestReadingFades(t *testing.T) {
	w := twoDomains()
	w.chooser.Usage.AddPrefill(inc("a1"), 0.5)
	assert.Assert(t, w.chooser.Usage.Used(inc("a1")).PrefillLoad > 0.4)
	w.now = w.now.Add(5 * time.Second)
	assert.Assert(t, w.chooser.Usage.Used(inc("a1")).PrefillLoad < 0.01)
}

// An engine's word about its pace goes to the peers; what it told this router
// goes before what it told them, and an old word is forgotten.
func TestSlowdownIsBelievedForAWhile(t *testing.T) {
	w := twoDomains()
	m := w.chooser.Usage
	m.SetPeerSlowdown(inc("a1"), 4)
	assert.Equal(t, m.Slowdown(inc("a1")), 4.0)
	assert.Assert(t, m.SetSlowdown(inc("a1"), 2))
	m.SetPeerSlowdown(inc("a1"), 4)
	assert.Equal(t, m.Slowdown(inc("a1")), 2.0)
	assert.DeepEqual(t, m.OwnSlowdowns(), map[model.Incarnation]float64{inc("a1"): 2})
	w.now = w.now.Add(slowdownTTL)
	assert.Equal(t, m.Slowdown(inc("a1")), 1.0)
	assert.Assert(t, m.SetSlowdown(inc("a1"), 1), "healthy again is news")
}

// Thousands of engines hold the same few ranges. Each router looks at some
// holders of each, and finds a whole chain there; together the routers look at
// all, and none is looked at by most of them.
func TestRoutersLookAtDifferentEngines(t *testing.T) {
	const routers, twins = 100, 100
	w := newWorld()
	for _, d := range []string{"a", "b"} {
		for from := 0; from < 80; from += 20 {
			for i := range twins {
				w.add(fmt.Sprintf("%s%d-%d", d, from, i), d, "l40s", from, from+20)
			}
		}
	}
	lookers := map[string]int{}
	for i := range routers {
		w.chooser.Self = fmt.Sprintf("10.1.0.%d:1", i)
		w.chooser.subsets.snapshot = nil
		parts, v := w.chooser.Choose(w.svc, Requirements{Domain: "a", Tokens: 1000})
		assert.Equal(t, v, Found)
		covers(t, parts, model.LayerRange{To: 80})
		seen := w.chooser.engines("s")
		assert.Equal(t, len(seen), 2*4*maxHolders)
		for _, b := range seen {
			lookers[b.ID]++
		}
	}
	most := 0
	for _, n := range lookers {
		most = max(most, n)
	}
	assert.Assert(t, len(lookers) > 2*4*twins*9/10, "%d of %d engines are looked at", len(lookers), 2*4*twins)
	assert.Assert(t, most <= 5*routers*maxHolders/twins, "one engine is looked at by %d routers of %d", most, routers)
}

func BenchmarkChooseAmongThousands(b *testing.B) {
	w := newWorld()
	for i := range 3000 {
		from := i % 9 * 9
		w.add(fmt.Sprintf("e%d", i), string(rune('a'+i%3)), "l4", from, min(from+9, 80))
	}
	b.ReportAllocs()
	for b.Loop() {
		w.chooser.Choose(w.svc, Requirements{Domain: "a", Tokens: 1000})
	}
}

func BenchmarkChoose(b *testing.B) {
	w := newWorld()
	for i := range 52 {
		from := (i * 7) % 70
		w.add(fmt.Sprintf("e%d", i), string(rune('a'+i%4)), "l4", from, from+10)
	}
	b.ReportAllocs()
	for b.Loop() {
		w.chooser.Choose(w.svc, Requirements{Domain: "a", Tokens: 1000})
	}
}

// A caller's streams fail again and again: an engine answers half of what it
// receives with a failure of its own, at once, so it is always the one with the
// most room, and its part may be a single layer. Streams begin elsewhere after a few
// failures, while it still serves as a later part; once it is mended it is tried
// again.
func TestFailingEngineIsNotBegunWith(t *testing.T) {
	w := newWorld()
	w.add("grey", "a", "a100", 0, 1)
	w.add("a1", "a", "a100", 1, 40)
	w.add("other", "a", "l40s", 0, 20)
	w.add("a2", "a", "a100", 40, 80)
	first := func() string {
		parts, v := w.chooser.Choose(w.svc, Requirements{Domain: "a", Tokens: 1000})
		assert.Equal(t, v, Found)
		return parts[0].Server.ID
	}
	assert.Equal(t, first(), "grey", "it costs least")
	failures := 0
	for ; first() == "grey" && failures < 50; failures++ {
		w.health.RecordOutcome(inc("grey"), false)
		w.health.RecordOutcome(inc("grey"), true)
	}
	assert.Assert(t, failures <= 12, "%d failures", failures)
	w.now = w.now.Add(time.Minute)
	assert.Equal(t, first(), "grey")
	w.health.RecordOutcome(inc("a2"), false)
	w.health.RecordOutcome(inc("a2"), false)
	w.health.RecordOutcome(inc("a2"), false)
	parts, _ := w.chooser.Choose(w.svc, Requirements{Domain: "a", Tokens: 1000})
	assert.Equal(t, parts[len(parts)-1].Server.ID, "a2", "as a later part it fails nobody")
}

// only is the set of one engine.
func only(id string) map[model.Incarnation]bool { return map[model.Incarnation]bool{inc(id): true} }
