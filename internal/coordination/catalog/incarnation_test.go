package catalog

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/skylarkwood/skylarkwood/internal/model"
)

// start returns the engine "a" as started at a time, with a number of layers.
func start(born int64, revision model.Revision, layers int) model.BackendServer {
	b := server("a", "1:1", revision)
	b.Born = born
	b.Holds.To = layers
	return b
}

// An engine restarts with the same id and without layers. The suspicion and the layers
// of the old process must not apply to the new one.
func TestRestartUnderSameIDIsNewIncarnation(t *testing.T) {
	_, now := clock()
	c := New(now)
	h := NewHealth(now)
	before, after := start(100, 1, 9), start(200, 2, 0)
	c.Put(before)
	h.Suspect(before.Incarnation())
	conflicts := c.Put(after)
	assert.DeepEqual(t, conflicts.Exited, []model.BackendServer{before})
	assert.Assert(t, c.Load().Find(before.Incarnation()) == nil)
	assert.Equal(t, c.Load().Find(after.Incarnation()).Holds.Len(), 0)
	assert.Assert(t, !h.Suspected(after.Incarnation()))
}

// An engine restarts twice between two heartbeats: its report shows the first restart,
// its entry the second. Each shows that the incarnation before exited.
func TestTwoRestartsWithinOneHeartbeat(t *testing.T) {
	_, now := clock()
	c := New(now)
	c.Put(start(100, 1, 9))
	conflicts := c.ResolveIncarnation(model.Incarnation{ID: "a", Born: 100}, 200, model.LayerRange{})
	assert.Equal(t, conflicts.Exited[0].Born, int64(100))
	assert.Equal(t, c.Load().ByID("a").Holds.Len(), 0)
	conflicts = c.Put(start(300, 2, 0))
	assert.Equal(t, conflicts.Exited[0].Born, int64(200))
	assert.Equal(t, c.Load().ByID("a").Born, int64(300))
}

// The last write of a process arrives after its successor registered, with layers that
// the successor does not hold. It must not be applied.
func TestLateEntryOfOlderIncarnationIsIgnored(t *testing.T) {
	_, now := clock()
	c := New(now)
	c.Put(start(100, 1, 9))
	c.Put(start(200, 2, 0))
	conflicts := c.Put(start(100, 3, 9))
	assert.Equal(t, len(conflicts.Exited)+len(conflicts.Disputed), 0)
	assert.Equal(t, c.Load().ByID("a").Born, int64(200))
	c.Remove("a", 4, 0)
	c.Put(start(100, 5, 9))
	assert.Assert(t, c.Load().ByID("a") == nil, "also after the running one's entry was removed")
	c.Put(start(200, 6, 0))
	assert.Equal(t, c.Load().ByID("a").Born, int64(200))
}

// A report is requested, the engine restarts, and the old report arrives after the new
// entry. It must not bring the old incarnation back.
func TestReportOlderThanEntryIsIgnored(t *testing.T) {
	_, now := clock()
	c := New(now)
	c.Put(start(50, 1, 9))
	expected := c.Load().ByID("a").Incarnation()
	c.Put(start(200, 2, 0))
	c.SetHolds(expected, model.LayerRange{To: 9})
	conflicts := c.ResolveIncarnation(expected, 100, model.LayerRange{To: 9})
	assert.Equal(t, len(conflicts.Exited), 0)
	assert.Equal(t, c.Load().ByID("a").Born, int64(200))
	assert.Equal(t, c.Load().ByID("a").Holds.Len(), 0)
}

// An entry with an earlier start time may be late or that of a process whose clock was set
// back. The answer of the engine must decide.
func TestEarlierStartTimeIsDisputed(t *testing.T) {
	for name, c := range map[string]struct{ answers, stays int64 }{
		"the new process answers":   {answers: 100, stays: 100},
		"the known process answers": {answers: 200, stays: 200},
	} {
		t.Run(name, func(t *testing.T) {
			_, now := clock()
			cat := New(now)
			cat.Put(start(200, 1, 9))
			conflicts := cat.Put(start(100, 2, 0))
			assert.Equal(t, len(conflicts.Disputed), 1)
			assert.Equal(t, cat.Load().ByID("a").Born, int64(200), "until the engine is asked")
			cat.ResolveIncarnation(model.Incarnation{ID: "a", Born: 200}, c.answers, model.LayerRange{})
			assert.Equal(t, cat.Load().ByID("a").Born, c.stays)
			cat.Put(start(c.answers, 3, 0))
			assert.Equal(t, cat.Load().ByID("a").Born, c.stays, "its next entry is applied")
			assert.Equal(t, cat.Load().ByID("a").Revision, model.Revision(3))
		})
	}
}

// A watch returns only the last of a removal and a new registration. A different start
// time shows a new process, the same one an expired entry.
func TestRemovalAndRegistrationInOneBatch(t *testing.T) {
	_, now := clock()
	c := New(now)
	c.Put(start(100, 1, 9))
	assert.Equal(t, len(c.Put(start(100, 3, 9)).Exited), 0)
	assert.Equal(t, len(c.Put(start(200, 5, 0)).Exited), 1)
}

// An engine crashed while cut off and restarted with another id at its address. The
// late write of the old process must not make two servers of one engine.
func TestLateEntryDoesNotTakeAddressOfSuccessor(t *testing.T) {
	_, now := clock()
	c := New(now)
	old, newer := server("old", "1:1", 1), server("new", "1:1", 5)
	c.Put(old)
	c.Remove("old", 2, 0)
	c.Put(newer)
	old.Revision = 6
	conflicts := c.Put(old)
	assert.Equal(t, len(conflicts.Exited), 0)
	assert.Equal(t, len(c.Load().Service("s")), 1)
	assert.Equal(t, c.Load().Service("s")[0].ID, "new")
	assert.Assert(t, c.Load().ByID("old") == nil)
	c.Remove("old", 7, 0)
	assert.Equal(t, len(c.Load().Service("s")), 1)
}

// A successor's entry must report the exit of the server before at its address, as
// nothing else may.
func TestSuccessorAtAddressReportsExit(t *testing.T) {
	_, now := clock()
	c := New(now)
	c.Put(server("old", "1:1", 1))
	c.Put(server("other", "2:1", 2))
	conflicts := c.Put(server("new", "1:1", 3))
	assert.Equal(t, len(conflicts.Exited), 1)
	assert.Equal(t, conflicts.Exited[0].ID, "old")
}

// A starting router reads two entries of one address at once, without start times. The
// one with fewer heartbeats is the newer process.
func TestFirstReadOrdersStartsByHeartbeats(t *testing.T) {
	_, now := clock()
	c := New(now)
	old, newer := server("old", "1:1", 9), server("new", "1:1", 5)
	old.HeartbeatCount, newer.HeartbeatCount = 15, 3
	c.Replace([]model.BackendServer{old, newer}, nil, 0)
	assert.Equal(t, c.Load().ByAddress("1:1").ID, "new")
	c.Remove("new", 10, 0)
	assert.Equal(t, c.Load().ByAddress("1:1").ID, "old", "the other entry is used once this one is removed")
}

// Another writer overwrote an engine's entry. The engine gets no new requests until its
// next heartbeat restores the entry.
func TestMalformedEntryStopsNewRequests(t *testing.T) {
	_, now := clock()
	c := New(now)
	c.Put(start(100, 1, 9))
	c.Put(server("b", "2:1", 2))
	assert.Assert(t, c.MarkMalformed("a", 3))
	assert.Assert(t, !c.MarkMalformed("a", 4), "only the first is new")
	assert.Assert(t, !c.MarkMalformed("nobody", 4))
	assert.Equal(t, len(c.Load().Service("s")), 1)
	assert.Assert(t, c.Load().ByID("a") != nil, "running requests continue")
	c.Put(start(100, 5, 9))
	assert.Equal(t, len(c.Load().Service("s")), 2)
	c.Replace([]model.BackendServer{server("b", "2:1", 2)}, map[string]model.Revision{"a": 6}, time.Minute)
	assert.Equal(t, len(c.Load().Service("s")), 1, "a read of the whole list has the same effect")
	c.Remove("a", 7, time.Minute)
	assert.Assert(t, c.Load().ByID("a") == nil, "a malformed entry gets no grace")
}

// An engine that writes its start time always does. An entry without it is another
// writer's.
func TestEntryWithoutStartTimeIsMalformed(t *testing.T) {
	_, now := clock()
	c := New(now)
	c.Put(start(100, 1, 9))
	conflicts := c.Put(start(0, 2, 9))
	assert.Equal(t, len(conflicts.Exited), 0)
	assert.Equal(t, len(c.Load().Service("s")), 0)
	c.Put(start(100, 3, 9))
	assert.Equal(t, len(c.Load().Service("s")), 1)
}

// Late entries of older incarnations must never replace the newest one.
func TestNewestIncarnationWins(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		at, now := clock()
		c := New(now)
		revision, newest := model.Revision(0), int64(0)
		for range rapid.IntRange(1, 40).Draw(rt, "steps") {
			revision++
			*at = at.Add(time.Duration(rapid.IntRange(0, 900).Draw(rt, "ms")) * time.Millisecond)
			if newest == 0 || rapid.IntRange(0, 3).Draw(rt, "restart") == 0 {
				newest += rapid.Int64Range(1, 5).Draw(rt, "later")
				c.Put(start(newest, revision, 0))
			} else if born := rapid.Int64Range(1, newest).Draw(rt, "late"); c.history.firstSeen[model.Incarnation{ID: "a", Born: born}].revision > 0 {
				c.Put(start(born, revision, 9))
			}
			c.PruneExited()
			assert.Equal(rt, c.Load().ByID("a").Born, newest)
		}
	})
}

// Guards against unbounded growth of the history of exited incarnations.
func TestExitedIncarnationsAreForgotten(t *testing.T) {
	at, now := clock()
	c := New(now)
	h := NewHealth(now)
	for i := range int64(100) {
		b := start(i+1, model.Revision(i+1), 0)
		c.Put(b)
		h.Suspect(b.Incarnation())
	}
	c.Remove("a", 101, 0)
	*at = at.Add(2 * historyRetention)
	c.PruneExited()
	h.Retain(func(inc model.Incarnation) bool { return c.Load().Find(inc) != nil })
	assert.Equal(t, len(c.history.firstSeen)+len(c.history.lastSeen)+len(c.history.newest)+len(c.newestByAddr), 0)
	assert.Equal(t, h.records.Len(), 0)
}

// A server says in its responses that it leaves, and its entry, written late or by a store that
// is behind, still says that it is ready. It got new requests.
func TestLeavingServerStaysOutOfUse(t *testing.T) {
	now := time.Unix(1000, 0)
	c := New(func() time.Time { return now })
	b := model.BackendServer{ID: "i-1", Born: 5, Service: "s", Address: "1:1", Revision: 1}
	c.Put(b)
	assert.Assert(t, c.MarkLeaving(b.Incarnation()))
	assert.Assert(t, !c.MarkLeaving(b.Incarnation()), "known already")
	usable := func() int { return len(c.Load().Service("s")) }
	assert.Equal(t, usable(), 0)
	b.Revision = 2
	c.Put(b)
	assert.Equal(t, usable(), 0, "a heartbeat")
	c.Replace([]model.BackendServer{b}, nil, 0)
	assert.Equal(t, usable(), 0, "a read of the whole list")
	c.Remove(b.ID, 3, time.Minute)
	b.Revision = 4
	c.Put(b)
	assert.Equal(t, usable(), 0, "an entry that returned")
	b.Born, b.Revision = 6, 5
	c.Put(b)
	assert.Equal(t, usable(), 1, "a new incarnation")
	assert.Assert(t, c.MarkLeaving(model.Incarnation{ID: "i-2", Born: 1}), "not registered yet")
	c.Put(model.BackendServer{ID: "i-2", Born: 1, Service: "s", Address: "1:2", Revision: 6})
	assert.Equal(t, usable(), 1)
	now = now.Add(2 * historyRetention)
	c.Remove("i-2", 7, 0)
	c.PruneExited()
	assert.Equal(t, len(c.history.leaving), 0)
}
