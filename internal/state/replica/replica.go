// Package replica holds what a process knows of the store, with enough of its
// history that others can be told what changed since a revision.
package replica

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/skylarkwood/skylarkwood/internal/model"
	"github.com/skylarkwood/skylarkwood/internal/platform"
)

// mostRemoved is how many removed keys are remembered. Engines and routers that
// left in some minutes are fewer; whoever asks from before the oldest is told
// everything.
const mostRemoved = 2048

// Item is an item of the store. Omitted says that its value is not known here, as it
// was too large to be passed on.
type Item struct {
	platform.Item
	Omitted bool
}

// ItemsWithValues makes items of those whose values are all there.
func ItemsWithValues(items []platform.Item) []Item {
	out := make([]Item, len(items))
	for i, it := range items {
		out[i] = Item{Item: it}
	}
	return out
}

// Changes is what changed since a revision: everything that is there if Whole.
type Changes struct {
	Items []Item
	// Revision is that of the store up to which the answer is complete.
	Revision model.Revision
	Full     bool
}

// Replica holds the newest item of each key. The zero value is empty and complete up
// to nothing; it is safe for concurrent use.
type Replica struct {
	mu       sync.Mutex
	items    map[string]Item // removed ones too
	removed  int
	revision model.Revision
	since    model.Revision // removals up to it may have been forgotten
	changed  chan struct{}  // closed when the revision grows
}

// Reset takes in the whole range. What was created and removed since the last change is
// not known from it, so whoever asks from before is told everything: told what is new
// only, one that had heard of the creation elsewhere would believe in it for good.
func (r *Replica) Reset(items []Item, revision model.Revision) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.items = make(map[string]Item, len(items))
	r.removed = 0
	r.since = revision
	for _, it := range items {
		r.put(it)
	}
	r.advance(revision)
}

// Apply takes in changes that are complete up to a revision.
func (r *Replica) Apply(items []Item, revision model.Revision) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.items == nil {
		return // nothing is known that it could be a change of
	}
	for _, it := range items {
		r.put(it)
	}
	r.advance(revision)
}

// put keeps an item unless a newer one of its key is there: the pages of a range are
// no snapshot, and changes repeat what they held. The caller holds the lock.
func (r *Replica) put(it Item) {
	old, known := r.items[it.Key]
	if known && (old.Revision > it.Revision || old.Revision == it.Revision && (it.Omitted || !old.Omitted)) {
		return
	}
	r.items[it.Key] = it
	if known && old.Removed {
		r.removed--
	}
	if it.Removed {
		r.removed++
	}
}

// advance moves the revision on and wakes who waits. The caller holds the lock.
func (r *Replica) advance(revision model.Revision) {
	r.forget()
	if revision <= r.revision {
		return
	}
	r.revision = revision
	if r.changed != nil {
		close(r.changed)
		r.changed = nil
	}
}

// forget drops the older half of the removals once they are too many. The caller
// holds the lock.
func (r *Replica) forget() {
	if r.removed <= mostRemoved {
		return
	}
	var revisions []model.Revision
	for _, it := range r.items {
		if it.Removed {
			revisions = append(revisions, it.Revision)
		}
	}
	slices.Sort(revisions)
	r.since = max(r.since, revisions[len(revisions)/2])
	for key, it := range r.items {
		if it.Removed && it.Revision <= r.since {
			delete(r.items, key)
			r.removed--
		}
	}
}

// Since gives what changed after a revision, in the order of the changes.
func (r *Replica) Since(after model.Revision) Changes {
	r.mu.Lock()
	defer r.mu.Unlock()
	whole := after < r.since
	var items []Item
	for _, it := range r.items {
		if whole && !it.Removed || !whole && it.Revision > after {
			items = append(items, it)
		}
	}
	slices.SortFunc(items, func(a, b Item) int { return cmp.Compare(a.Revision, b.Revision) })
	return Changes{Items: items, Revision: r.revision, Full: whole}
}

// Wait waits until something is known beyond a revision, at most for a time.
func (r *Replica) Wait(ctx context.Context, after model.Revision, most time.Duration) {
	r.mu.Lock()
	if r.revision > after {
		r.mu.Unlock()
		return
	}
	if r.changed == nil {
		r.changed = make(chan struct{})
	}
	changed := r.changed
	r.mu.Unlock()
	timer := time.NewTimer(most)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
	}
}
