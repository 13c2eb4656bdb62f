package replica

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/skylarkwood/skylarkwood/internal/model"
	"github.com/skylarkwood/skylarkwood/internal/platform"
)

// apply applies changes as a follower does.
func apply(known map[string]model.Revision, a Changes) {
	if a.Full {
		clear(known)
	}
	for _, it := range a.Items {
		switch {
		case it.Revision < known[it.Key]:
		case it.Removed:
			delete(known, it.Key)
		default:
			known[it.Key] = it.Revision
		}
	}
}

// A process that applies the changes since its revision must miss no removal, or requests would
// go to a server that left.
func TestChangesBringAnyRevisionUpToDate(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		store := map[string]model.Revision{}
		var r Replica
		revision := model.Revision(1)
		r.Reset(nil, revision)
		known, at := map[string]model.Revision{}, model.Revision(0)
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			key := fmt.Sprint(rapid.IntRange(0, 9).Draw(rt, "key"))
			switch rapid.IntRange(0, 5).Draw(rt, "what") {
			case 0, 1:
				revision++
				store[key] = revision
				r.Apply(ItemsWithValues([]platform.Item{{Key: key, Revision: revision}}), revision)
			case 2:
				revision++
				delete(store, key)
				r.Apply(ItemsWithValues([]platform.Item{{Key: key, Revision: revision, Removed: true}}), revision)
			case 3: // changes that the watch missed, followed by a read of the full range
				revision += 2
				delete(store, key)
				var items []Item
				for k, rev := range store {
					items = append(items, Item{Item: platform.Item{Key: k, Revision: rev}})
				}
				r.Reset(items, revision)
			case 4: // a late update with an older revision
				r.Apply(ItemsWithValues([]platform.Item{{Key: key, Revision: store[key] - 1}}), revision)
			case 5:
				a := r.Since(at)
				apply(known, a)
				at = a.Revision
				assert.DeepEqual(rt, known, store)
			}
		}
		apply(known, r.Since(at))
		assert.DeepEqual(rt, known, store)
	})
}

// A server is created and removed while the watch is interrupted, so the next full
// range never shows it. A process that learned of it elsewhere must still drop it.
func TestResetReportsRemovalsMissedByTheWatch(t *testing.T) {
	var watcher Replica
	watcher.Reset(nil, 1)
	known := map[string]model.Revision{"server": 2}
	watcher.Reset(ItemsWithValues([]platform.Item{{Key: "other", Revision: 4}}), 5) // removed at revision 3
	apply(known, watcher.Since(2))
	assert.DeepEqual(t, known, map[string]model.Revision{"other": 4})
}

// After the history of the store was compacted, a process with contents up to the last
// revision before must get the differences. With the full contents for hundreds of
// processes at once, a watcher's link is busy for seconds.
func TestResetKeepsTheChangesForProcessesThatWereUpToDate(t *testing.T) {
	var watcher Replica
	var items []platform.Item
	known := map[string]model.Revision{}
	for i := range 1000 {
		items = append(items, platform.Item{Key: fmt.Sprint("server", i), Revision: model.Revision(i + 1)})
		known[fmt.Sprint("server", i)] = model.Revision(i + 1)
	}
	watcher.Reset(ItemsWithValues(items), 1000)
	compacted := append(items[1:], platform.Item{Key: "server1", Revision: 1003})
	watcher.Reset(ItemsWithValues(compacted[1:]), 1003)
	changes := watcher.Since(1000)
	assert.Assert(t, !changes.Full)
	assert.Equal(t, len(changes.Items), 2, "one entry was removed and one changed")
	apply(known, changes)
	assert.Equal(t, len(known), 999)
	assert.Equal(t, known["server1"], model.Revision(1003))
	assert.Assert(t, watcher.Since(1001).Full, "a key that was created and removed meanwhile is not known here")
}

// A router that reads the range while a server registers has an entry that is newer than its
// contents' revision. A watcher never learns of it if the server leaves during a compaction, so
// the router itself must drop it, or requests would go to a server that left.
func TestEntryThatAWatcherNeverKnewIsDropped(t *testing.T) {
	var router, watcher Replica
	router.Reset(ItemsWithValues([]platform.Item{{Key: "server", Revision: 2}}), 1) // from a later page
	watcher.Reset(nil, 1)
	watcher.Reset(nil, 5) // the server left at revision 3, and the history is compacted
	changes := watcher.Since(1)
	assert.Assert(t, !changes.Full)
	dropped := router.Apply(changes.Items, changes.Revision)
	assert.Equal(t, len(dropped), 1)
	assert.Equal(t, dropped[0].Key, "server")
	_, known := router.Get("server")
	assert.Assert(t, !known)
}

// Compactions without end must not let the list of gaps grow.
func TestGapsAreBounded(t *testing.T) {
	var r Replica
	for i := range 10 * maxGaps {
		r.Reset(nil, model.Revision(2*i+1))
	}
	assert.Assert(t, len(r.gaps) <= maxGaps)
	assert.Assert(t, r.Since(3).Full)
}

// Revisions of a restored store cannot be compared with those before.
func TestRestoreOfTheStoreNeedsTheFullContents(t *testing.T) {
	var r Replica
	r.Reset(ItemsWithValues([]platform.Item{{Key: "lost", Revision: 7}}), 7)
	restored, err := model.NewRevision(1, 3)
	assert.NilError(t, err)
	r.Reset(nil, restored)
	changes := r.Since(7)
	assert.Assert(t, changes.Full)
	assert.Equal(t, len(changes.Items), 0)
}

// The history of removals must stay bounded. A query from before it must get the full
// contents.
func TestRemovalHistoryIsBounded(t *testing.T) {
	var r Replica
	r.Reset(nil, 1)
	for rev := model.Revision(2); rev < 10*maxRemoved; rev += 2 {
		key := fmt.Sprint(rev)
		r.Apply(ItemsWithValues([]platform.Item{{Key: key, Revision: rev}, {Key: key, Revision: rev + 1, Removed: true}}), rev+1)
		assert.Assert(t, len(r.items) <= maxRemoved+1)
	}
	assert.Assert(t, r.Since(2).Full)
	assert.Assert(t, !r.Since(10*maxRemoved-20).Full)
}

// An omitted value must be reported as omitted until it has been read.
func TestOmittedValueIsReplacedWhenRead(t *testing.T) {
	var r Replica
	r.Reset([]Item{{Item: platform.Item{Key: "large", Revision: 3}, Omitted: true}}, 3)
	assert.Assert(t, r.Since(0).Items[0].Omitted)
	r.Apply(ItemsWithValues([]platform.Item{{Key: "large", Value: []byte("x"), Revision: 3}}), 3)
	a := r.Since(0)
	assert.Assert(t, !a.Items[0].Omitted)
	assert.Equal(t, string(a.Items[0].Value), "x")
	r.Apply([]Item{{Item: platform.Item{Key: "large", Revision: 3}, Omitted: true}}, 4)
	assert.Assert(t, !r.Since(0).Items[0].Omitted)
}
