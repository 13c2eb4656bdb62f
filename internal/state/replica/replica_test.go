package replica

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/skylarkwood/skylarkwood/internal/model"
	"github.com/skylarkwood/skylarkwood/internal/platform"
)

// take brings what a process knows up to an answer, as a follower does.
func take(known map[string]model.Revision, a Changes) {
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

// A process that was told some time ago asks what changed since. Whatever was written,
// removed, forgotten or read anew meanwhile: it then knows what the store holds. A
// removal that is left out would keep it sending work to a server that left.
func TestAnswersBringEachAskerUpToDate(t *testing.T) {
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
			case 3: // changes that nobody told of, then the whole range
				revision += 2
				delete(store, key)
				var items []Item
				for k, rev := range store {
					items = append(items, Item{Item: platform.Item{Key: k, Revision: rev}})
				}
				r.Reset(items, revision)
			case 4: // late news of something older
				r.Apply(ItemsWithValues([]platform.Item{{Key: key, Revision: store[key] - 1}}), revision)
			case 5:
				a := r.Since(at)
				take(known, a)
				at = a.Revision
				assert.DeepEqual(rt, known, store)
			}
		}
		take(known, r.Since(at))
		assert.DeepEqual(rt, known, store)
	})
}

// A watcher is turned away while a server comes and goes; another router hears of its
// coming elsewhere. The watcher reads the whole range, in which the server never was, and
// is asked by that router: told what is new only, it would go on sending work there.
func TestRemovalThatTheWatcherDidNotSee(t *testing.T) {
	var watcher Replica
	watcher.Reset(nil, 1)
	known := map[string]model.Revision{"server": 2}
	watcher.Reset(ItemsWithValues([]platform.Item{{Key: "other", Revision: 4}}), 5) // it was removed at 3
	take(known, watcher.Since(2))
	assert.DeepEqual(t, known, map[string]model.Revision{"other": 4})
}

// Servers come and go for days. What is remembered of those that left stays bounded,
// and whoever asks from before it is told everything instead of too little.
func TestRemovalsAreForgottenInTime(t *testing.T) {
	var r Replica
	r.Reset(nil, 1)
	for rev := model.Revision(2); rev < 10*mostRemoved; rev += 2 {
		key := fmt.Sprint(rev)
		r.Apply(ItemsWithValues([]platform.Item{{Key: key, Revision: rev}, {Key: key, Revision: rev + 1, Removed: true}}), rev+1)
		assert.Assert(t, len(r.items) <= mostRemoved+1)
	}
	assert.Assert(t, r.Since(2).Full)
	assert.Assert(t, !r.Since(10*mostRemoved-20).Full)
}

// A value that was not passed on is told as such, until it was read: then it is there.
func TestValuesThatAreReadLater(t *testing.T) {
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
