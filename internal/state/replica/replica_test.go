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
