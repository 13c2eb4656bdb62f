package catalog

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/skylarkwood/skylarkwood/internal/model"
)

// start is one start of the engine "a" at its address, holding layers or none.
func start(born int64, revision model.Revision, layers int) model.BackendServer {
	b := server("a", "1:1", revision)
	b.Born = born
	b.Holds.To = layers
	return b
}

// An engine crashes and starts again under its id, empty. Streams sent to it as it
// was would be refused, and what it was suspected of, or had reserved, is of a
// process that is gone: nothing of it may hold for the new one.
func TestReturnUnderTheSameIDIsAnotherIncarnation(t *testing.T) {
	_, now := clock()
	c := New(now)
	h := NewHealth(now)
	before, after := start(100, 1, 9), start(200, 2, 0)
	c.Put(before)
	h.Suspect(before.Incarnation())
	news := c.Put(after)
	assert.DeepEqual(t, news.Exited, []model.BackendServer{before})
	assert.Assert(t, c.Load().Find(before.Incarnation()) == nil)
	assert.Equal(t, c.Load().Find(after.Incarnation()).Holds.Len(), 0)
	assert.Assert(t, !h.Suspected(after.Incarnation()))
}

// An engine starts twice between two heartbeats: its report tells of the second
// start, its entry of the third. Each is taken in, and each ends the one before.
func TestTwoStartsWithinOneHeartbeat(t *testing.T) {
	_, now := clock()
	c := New(now)
	c.Put(start(100, 1, 9))
	news := c.ResolveIncarnation(model.Incarnation{ID: "a", Born: 100}, 200, model.LayerRange{})
	assert.Equal(t, news.Exited[0].Born, int64(100))
	assert.Equal(t, c.Load().ByID("a").Holds.Len(), 0)
	news = c.Put(start(300, 2, 0))
	assert.Equal(t, news.Exited[0].Born, int64(200))
	assert.Equal(t, c.Load().ByID("a").Born, int64(300))
}

// The last write of a process that was cut off is carried out after its successor
// registered. It says that layers are held which are not: streams would be sent
// into refusals until the next heartbeat.
func TestLateEntryOfAnOlderIncarnationChangesNothing(t *testing.T) {
	_, now := clock()
	c := New(now)
	c.Put(start(100, 1, 9))
	c.Put(start(200, 2, 0))
	news := c.Put(start(100, 3, 9))
	assert.Equal(t, len(news.Exited)+len(news.Disputed), 0)
	assert.Equal(t, c.Load().ByID("a").Born, int64(200))
	c.Remove("a", 4, 0)
	c.Put(start(100, 5, 9))
	assert.Assert(t, c.Load().ByID("a") == nil, "also where the living one's entry lapsed")
	c.Put(start(200, 6, 0))
	assert.Equal(t, c.Load().ByID("a").Born, int64(200))
}

// A report is asked of an engine, which starts again; the report comes after the
// entry of the new start. Taken in, it would bring the old one back.
func TestReportOfBeforeTheEntryIsTooOld(t *testing.T) {
	_, now := clock()
	c := New(now)
	c.Put(start(50, 1, 9))
	asked := c.Load().ByID("a").Incarnation()
	c.Put(start(200, 2, 0))
	c.SetHolds(asked, model.LayerRange{To: 9})
	news := c.ResolveIncarnation(asked, 100, model.LayerRange{To: 9})
	assert.Equal(t, len(news.Exited), 0)
	assert.Equal(t, c.Load().ByID("a").Born, int64(200))
	assert.Equal(t, c.Load().ByID("a").Holds.Len(), 0)
}

// A clock that was set back puts the new start before the old one. The entry alone
// may as well be a late one of a process that nobody here ever saw, so the engine
// is asked; either answer is final.
func TestClockThatWasSetBack(t *testing.T) {
	for name, c := range map[string]struct{ answers, stays int64 }{
		"the new one answers":          {answers: 100, stays: 100},
		"the one that lives all along": {answers: 200, stays: 200},
	} {
		t.Run(name, func(t *testing.T) {
			_, now := clock()
			cat := New(now)
			cat.Put(start(200, 1, 9))
			news := cat.Put(start(100, 2, 0))
			assert.Equal(t, len(news.Disputed), 1)
			assert.Equal(t, cat.Load().ByID("a").Born, int64(200), "until the engine is asked")
			cat.ResolveIncarnation(model.Incarnation{ID: "a", Born: 200}, c.answers, model.LayerRange{})
			assert.Equal(t, cat.Load().ByID("a").Born, c.stays)
			cat.Put(start(c.answers, 3, 0))
			assert.Equal(t, cat.Load().ByID("a").Born, c.stays, "and its next entry is taken in")
			assert.Equal(t, cat.Load().ByID("a").Revision, model.Revision(3))
		})
	}
}

// Entries are removed and written again in one batch, and the watch tells only the
// last of it. The start that the entry names shows that it is another process; the
// same start shows that the entry only lapsed.
func TestRemovalAndReturnInOneBatch(t *testing.T) {
	_, now := clock()
	c := New(now)
	c.Put(start(100, 1, 9))
	assert.Equal(t, len(c.Put(start(100, 3, 9)).Exited), 0)
	assert.Equal(t, len(c.Put(start(200, 5, 0)).Exited), 1)
}

// A cut heals: the engine crashed behind it and came back under another id at its
// address, and then the last write of the dead one is carried out. Its entry says
// it is ready and holds layers; both would be given streams, at one engine.
func TestAddressHasOneProcess(t *testing.T) {
	_, now := clock()
	c := New(now)
	old, young := server("old", "1:1", 1), server("new", "1:1", 5)
	c.Put(old)
	c.Remove("old", 2, 0)
	c.Put(young)
	old.Revision = 6
	news := c.Put(old)
	assert.Equal(t, len(news.Exited), 0)
	assert.Equal(t, len(c.Load().Service("s")), 1)
	assert.Equal(t, c.Load().Service("s")[0].ID, "new")
	assert.Assert(t, c.Load().ByID("old") == nil)
	c.Remove("old", 7, 0)
	assert.Equal(t, len(c.Load().Service("s")), 1)
}

// The successor's entry comes while that of the dead process still stands. Its
// streams are moved at once: nobody else may ever tell of a silent death.
func TestSuccessorAtAnAddressEndsTheOneBefore(t *testing.T) {
	_, now := clock()
	c := New(now)
	c.Put(server("old", "1:1", 1))
	c.Put(server("other", "2:1", 2))
	news := c.Put(server("new", "1:1", 3))
	assert.Equal(t, len(news.Exited), 1)
	assert.Equal(t, news.Exited[0].ID, "old")
}

// A router that starts reads both entries of one address at once. Their revisions
// tell only which was written last; the process that has written fewer heartbeats
// began later.
func TestFirstReadTellsStartsByTheirHeartbeats(t *testing.T) {
	_, now := clock()
	c := New(now)
	old, young := server("old", "1:1", 9), server("new", "1:1", 5)
	old.Beats, young.Beats = 15, 3
	c.Replace([]model.BackendServer{old, young}, nil, 0)
	assert.Equal(t, c.Load().ByAddress("1:1").ID, "new")
	c.Remove("new", 10, 0)
	assert.Equal(t, c.Load().ByAddress("1:1").ID, "old", "a wrong guess ends with the entry")
}

// Another writer puts something unreadable in an engine's place. The engine gets
// nothing new, the others go on, and its next heartbeat brings it back.
func TestOverwrittenEntryNamesNoEngine(t *testing.T) {
	_, now := clock()
	c := New(now)
	c.Put(start(100, 1, 9))
	c.Put(server("b", "2:1", 2))
	assert.Assert(t, c.MarkMalformed("a", 3))
	assert.Assert(t, !c.MarkMalformed("a", 4), "once is news")
	assert.Assert(t, !c.MarkMalformed("nobody", 4))
	assert.Equal(t, len(c.Load().Service("s")), 1)
	assert.Assert(t, c.Load().ByID("a") != nil, "work that runs there goes on")
	c.Put(start(100, 5, 9))
	assert.Equal(t, len(c.Load().Service("s")), 2)
	c.Replace([]model.BackendServer{server("b", "2:1", 2)}, map[string]model.Revision{"a": 6}, time.Minute)
	assert.Equal(t, len(c.Load().Service("s")), 1, "a read of the whole list tells the same")
	c.Remove("a", 7, time.Minute)
	assert.Assert(t, c.Load().ByID("a") == nil, "nobody vouches for it")
}

// An engine that tells its start always tells it: an entry without it is another
// writer's.
func TestEntryWithoutItsStartIsAnotherWriters(t *testing.T) {
	_, now := clock()
	c := New(now)
	c.Put(start(100, 1, 9))
	news := c.Put(start(0, 2, 9))
	assert.Equal(t, len(news.Exited), 0)
	assert.Equal(t, len(c.Load().Service("s")), 0)
	c.Put(start(100, 3, 9))
	assert.Equal(t, len(c.Load().Service("s")), 1)
}

// Whatever late entries of ended starts come between, and however often the list is
// read anew: the start that was heard of last stays the one that is believed in.
func TestNewestIncarnationStays(t *testing.T) {
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
			} else if born := rapid.Int64Range(1, newest).Draw(rt, "late"); c.sightings.first[model.Incarnation{ID: "a", Born: born}].revision > 0 {
				c.Put(start(born, revision, 9))
			}
			c.PruneExited()
			assert.Equal(rt, c.Load().ByID("a").Born, newest)
		}
	})
}

// Incarnations come and go for good; what is remembered of them does not grow.
func TestEndedIncarnationsAreForgotten(t *testing.T) {
	at, now := clock()
	c := New(now)
	h := NewHealth(now)
	for i := range int64(100) {
		b := start(i+1, model.Revision(i+1), 0)
		c.Put(b)
		h.Suspect(b.Incarnation())
	}
	c.Remove("a", 101, 0)
	*at = at.Add(2 * rememberFor)
	c.PruneExited()
	h.Retain(func(inc model.Incarnation) bool { return c.Load().Find(inc) != nil })
	assert.Equal(t, len(c.sightings.first)+len(c.sightings.last)+len(c.sightings.newest)+len(c.newest), 0)
	assert.Equal(t, h.records.Len(), 0)
}
