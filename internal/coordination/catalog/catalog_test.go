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

// A draining engine must get no new requests, but lookups by its address still find it.
func TestDrainingServerGetsNoRequests(t *testing.T) {
	_, now := clock()
	c := New(now)
	c.Put(server("a", "1:1", 1))
	draining := server("a", "1:1", 2)
	draining.Draining = true
	c.Put(draining)
	assert.Equal(t, len(c.Load().Service("s")), 0)
	assert.Equal(t, len(c.Load().All("s")), 1)
	assert.Assert(t, c.Load().ByAddress("1:1") != nil)
}

// Entries removed while the watch was broken are missing from the next read of the
// whole range. They must not survive it.
func TestReplaceRemovesMissingEntries(t *testing.T) {
	_, now := clock()
	c := New(now)
	c.Put(server("a", "1:1", 1))
	c.Put(server("b", "2:1", 2))
	c.Replace([]model.BackendServer{server("b", "2:1", 2)}, nil, 0)
	assert.Equal(t, len(c.Load().Service("s")), 1)
	assert.Assert(t, c.Load().ByID("a") == nil)
}

// Entries that expire during an outage of the store must not leave requests without servers,
// nor keep exited ones.
func TestExpiredEntriesStayForTheGracePeriod(t *testing.T) {
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

// A draining server's entry is removed without grace, as the server announced its exit.
func TestDrainingServerGetsNoGrace(t *testing.T) {
	_, now := clock()
	c := New(now)
	b := server("a", "1:1", 1)
	b.Draining = true
	c.Put(b)
	c.Remove("a", 2, time.Minute)
	assert.Assert(t, c.Load().ByID("a") == nil)
}

// An address is reused by another backend server. The newer entry must win, in any
// order.
func TestAddressResolvesToNewestEntry(t *testing.T) {
	_, now := clock()
	c := New(now)
	c.Put(server("new", "1:1", 7))
	c.Put(server("old", "1:1", 3))
	assert.Equal(t, c.Load().ByAddress("1:1").ID, "new")
}

// Pages and the watch overlap, so an older revision of an entry may arrive late.
func TestPutKeepsNewestRevision(t *testing.T) {
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

func TestSuspicionDoublesUntilCleared(t *testing.T) {
	at, now := clock()
	h := NewHealth(now)
	until, isNew := h.Suspect(inc("a"))
	assert.Assert(t, isNew)
	assert.Equal(t, until.Sub(*at), minSuspicion)
	_, isNew = h.Suspect(inc("a"))
	assert.Assert(t, !isNew, "a repeated suspicion is not new")
	*at = until
	assert.Assert(t, !h.Suspected(inc("a")))
	until, _ = h.Suspect(inc("a"))
	assert.Equal(t, until.Sub(*at), 2*minSuspicion)
	h.ClearSuspicion(inc("a"), *at)
	assert.Assert(t, !h.Suspected(inc("a")))
	until, _ = h.Suspect(inc("a"))
	assert.Equal(t, until.Sub(*at), minSuspicion, "a successful request clears the failure count")
}

func TestHealthRecordsRequests(t *testing.T) {
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
	assert.Assert(t, v.FailureRate > 0 && v.FailureRate < failureRateWeight)
}

// A backend server that was slow once gets no requests while others are faster. Its latency
// must not stay as measured then.
func TestLatencyDecaysWithoutResponses(t *testing.T) {
	at, now := clock()
	h := NewHealth(now)
	record := func(latency time.Duration) {
		h.Begin(inc("a"))
		h.End(inc("a"), true, latency)
	}
	record(time.Second)
	*at = at.Add(10 * latencyDecay)
	assert.Assert(t, h.View(inc("a")).DecayedLatency < time.Millisecond)
	assert.Equal(t, h.View(inc("a")).Latency, time.Second)
	record(2 * time.Millisecond)
	assert.Assert(t, h.View(inc("a")).Latency < 3*time.Millisecond, "the old latency has no weight any more")
	record(time.Second)
	assert.Assert(t, h.View(inc("a")).Latency < 200*time.Millisecond, "one response among recent ones has little weight")
}

// A stream that started before an engine refused requests ends well there. That must
// not lift the refusal.
func TestOlderRequestDoesNotClearSuspicion(t *testing.T) {
	at, now := clock()
	h := NewHealth(now)
	sentAt := *at
	*at = at.Add(time.Second)
	h.RecordRefusal(inc("a"), at.Add(4*time.Second), true)
	*at = at.Add(time.Second)
	h.ClearSuspicion(inc("a"), sentAt)
	assert.Assert(t, h.Suspected(inc("a")))
	h.ClearSuspicion(inc("a"), *at)
	assert.Assert(t, !h.Suspected(inc("a")))
}

// A suspicion expires while many streams look for a chain. Only one may try the engine
// until it succeeds.
func TestOneStreamRetriesAfterSuspicion(t *testing.T) {
	at, now := clock()
	h := NewHealth(now)
	until, _ := h.Suspect(inc("a"))
	*at = until
	attempts := 0
	for range 50 {
		if !h.View(inc("a")).Suspected {
			h.RecordAttempt(inc("a"))
			attempts++
		}
	}
	assert.Equal(t, attempts, 1)
	h.ClearSuspicion(inc("a"), *at)
	assert.Assert(t, !h.View(inc("a")).Suspected)
	h.RecordAttempt(inc("a"))
	assert.Assert(t, !h.View(inc("a")).Suspected, "an engine without failures is not limited to one attempt")
}

// A peer repeats a refusal every 250 ms with the time that is left. It must count as
// one failure.
func TestRepeatedPeerSuspicionCountsOnce(t *testing.T) {
	at, now := clock()
	h := NewHealth(now)
	until := at.Add(time.Second)
	for range 4 {
		h.SuspectFromPeer(inc("a"), until)
		*at = at.Add(250 * time.Millisecond)
	}
	assert.Assert(t, !h.Suspected(inc("a")))
	assert.Equal(t, h.NextSuspicionPeriod(inc("a")), 2*minSuspicion)
}

// Registrations of many engines must not each build a snapshot.
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
