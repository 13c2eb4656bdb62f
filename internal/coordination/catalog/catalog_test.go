package catalog

import (
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/skylarkwood/skylarkwood/internal/model"
)

func server(id, addr string, revision model.Revision) model.BackendServer {
	return model.BackendServer{ID: id, Service: "s", Address: addr, Revision: revision}
}

func inc(id string) model.Incarnation { return model.Incarnation{ID: id} }

func clock() (*time.Time, func() time.Time) {
	now := time.Unix(1000, 0)
	return &now, func() time.Time { return now }
}

// An engine says that it is leaving. It must get no more work, while those who
// look up its address still find it.
func TestLeavingServerGetsNoWork(t *testing.T) {
	_, now := clock()
	c := New(now)
	c.Put(server("a", "1:1", 1))
	leaving := server("a", "1:1", 2)
	leaving.Draining = true
	c.Put(leaving)
	assert.Equal(t, len(c.Load().Service("s")), 0)
	assert.Equal(t, len(c.Load().All("s")), 1)
	assert.Assert(t, c.Load().ByAddress("1:1") != nil)
}

// The whole range is read after the watch broke. What was removed meanwhile is
// not in it and must not survive: requests would go to an engine that left.
func TestReplaceDropsWhatIsMissing(t *testing.T) {
	_, now := clock()
	c := New(now)
	c.Put(server("a", "1:1", 1))
	c.Put(server("b", "2:1", 2))
	c.Replace([]model.BackendServer{server("b", "2:1", 2)}, nil, 0)
	assert.Equal(t, len(c.Load().Service("s")), 1)
	assert.Assert(t, c.Load().ByID("a") == nil)
}

// Entries lapse while the store is away and are written again after its return.
// A router that dropped them at once would refuse all requests for two seconds;
// one that kept them for good would send work to dead engines.
func TestLapsedEntriesAreKeptForAMoment(t *testing.T) {
	at, now := clock()
	c := New(now)
	c.Put(server("back", "1:1", 1))
	c.Put(server("dead", "2:1", 2))
	c.Replace(nil, nil, 2*time.Second)
	assert.Equal(t, len(c.Load().Service("s")), 2)
	*at = at.Add(time.Second)
	c.Put(server("back", "1:1", 9))
	*at = at.Add(time.Second)
	assert.DeepEqual(t, c.Expire(), []string{"dead"})
	assert.Equal(t, len(c.Load().Service("s")), 1)
	assert.Equal(t, len(c.Expire()), 0)
}

// A leaving engine's entry is gone: it said that it would go, so there is
// nothing to wait for, whatever happened to the store.
func TestLeavingServerGetsNoGrace(t *testing.T) {
	_, now := clock()
	c := New(now)
	b := server("a", "1:1", 1)
	b.Draining = true
	c.Put(b)
	c.Remove("a", 2, time.Minute)
	assert.Assert(t, c.Load().ByID("a") == nil)
}

// An address is used again by another backend server; the newer entry has it.
func TestAddressBelongsToTheNewest(t *testing.T) {
	_, now := clock()
	c := New(now)
	c.Put(server("new", "1:1", 7))
	c.Put(server("old", "1:1", 3))
	assert.Equal(t, c.Load().ByAddress("1:1").ID, "new")
}

// Pages and watch overlap, so that an older state of an entry may come after a
// newer one. The catalogue keeps the newest, in whatever order they come.
func TestPutKeepsTheNewest(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		_, now := clock()
		c := New(now)
		newest := model.Revision(0)
		for _, n := range rapid.SliceOfN(rapid.Int64Range(1, 50), 1, 20).Draw(rt, "revisions") {
			rev := model.Revision(n)
			c.Put(server("a", "1:1", rev))
			newest = max(newest, rev)
			assert.Equal(rt, c.Load().ByID("a").Revision, newest)
		}
	})
}

func TestSuspicionGrowsAndEnds(t *testing.T) {
	at, now := clock()
	h := NewHealth(now)
	until, news := h.Suspect(inc("a"))
	assert.Assert(t, news)
	assert.Equal(t, until.Sub(*at), firstSuspicion)
	_, news = h.Suspect(inc("a"))
	assert.Assert(t, !news, "the same suspicion is not news")
	*at = until
	assert.Assert(t, !h.Suspected(inc("a")))
	until, _ = h.Suspect(inc("a"))
	assert.Equal(t, until.Sub(*at), 2*firstSuspicion)
	h.ClearSuspicion(inc("a"), *at)
	assert.Assert(t, !h.Suspected(inc("a")))
	until, _ = h.Suspect(inc("a"))
	assert.Equal(t, until.Sub(*at), firstSuspicion, "proof of work clears the failure count")
}

func TestHealthCounts(t *testing.T) {
	_, now := clock()
	h := NewHealth(now)
	h.Begin(inc("a"))
	h.Begin(inc("a"))
	assert.Equal(t, h.View(inc("a")).Active, 2)
	h.End(inc("a"), false, 0)
	h.End(inc("a"), true, 40*time.Millisecond)
	v := h.View(inc("a"))
	assert.Equal(t, v.Active, 0)
	assert.Equal(t, v.Latency, 40*time.Millisecond)
	assert.Assert(t, v.FailureRate > 0 && v.FailureRate < failureWeight)
}

// An engine drains while the store is away, so that no entry says so. A stream
// that it had before ends well there: that proves nothing about new ones.
func TestOldWorkDoesNotClearASuspicion(t *testing.T) {
	at, now := clock()
	h := NewHealth(now)
	given := *at
	*at = at.Add(time.Second)
	h.RecordRefusal(inc("a"), at.Add(4*time.Second), true)
	*at = at.Add(time.Second)
	h.ClearSuspicion(inc("a"), given)
	assert.Assert(t, h.Suspected(inc("a")))
	h.ClearSuspicion(inc("a"), *at)
	assert.Assert(t, !h.Suspected(inc("a")))
}

// A suspicion runs out while dozens of streams look for a chain. One of them
// tries the engine; the others go elsewhere until it has shown that it works.
func TestOneStreamTriesAfterASuspicion(t *testing.T) {
	at, now := clock()
	h := NewHealth(now)
	until, _ := h.Suspect(inc("a"))
	*at = until
	tried := 0
	for range 50 {
		if !h.View(inc("a")).Suspected {
			h.RecordAttempt(inc("a"))
			tried++
		}
	}
	assert.Equal(t, tried, 1)
	h.ClearSuspicion(inc("a"), *at)
	assert.Assert(t, !h.View(inc("a")).Suspected)
	h.RecordAttempt(inc("a"))
	assert.Assert(t, !h.View(inc("a")).Suspected, "an engine without failures is not rationed")
}

// Another router tells of a refusal every quarter of a second, as the time that
// is left of it. That is one suspicion here, not many.
func TestPeersWordIsOneStrike(t *testing.T) {
	at, now := clock()
	h := NewHealth(now)
	until := at.Add(time.Second)
	for range 4 {
		h.SuspectFromPeer(inc("a"), until)
		*at = at.Add(250 * time.Millisecond)
	}
	assert.Assert(t, !h.Suspected(inc("a")))
	assert.Equal(t, h.NextSuspicionPeriod(inc("a")), 2*firstSuspicion)
}

// Three thousand engines register in a bunch. What is known of them is complete
// whenever somebody asks; nobody asked in between.
func BenchmarkRegistrations(b *testing.B) {
	_, now := clock()
	for b.Loop() {
		c := New(now)
		for i := range 3000 {
			c.Put(server(strconv.Itoa(i), strconv.Itoa(i), model.Revision(i)))
		}
		c.Load()
	}
}
