// Package replica holds a process's copy of the store and a bounded history of
// removals, from which other processes get the changes since a revision.
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

const (
	// maxRemoved is the maximum number of removed keys that are kept. A query for changes
	// since an older removal gets the full contents.
	maxRemoved = 2048
	// maxGaps is the maximum number of gaps that are kept. A query for changes since an
	// older gap gets the full contents.
	maxGaps = 16
)

// Item is an item of the store. Omitted is set if the value is not known here because
// it was too large for an update. Unchanged is set, instead of a value, in full contents
// for a process that has the item already.
type Item struct {
	platform.Item
	Omitted   bool
	Unchanged bool
}

// ItemsWithValues returns items that include their values.
func ItemsWithValues(items []platform.Item) []Item {
	out := make([]Item, len(items))
	for i, it := range items {
		out[i] = Item{Item: it}
	}
	return out
}

// Changes are the changes since a revision, or the full contents if Full is set.
type Changes struct {
	Items []Item
	// Revision is the store revision up to which the changes are complete.
	Revision model.Revision
	Full     bool
}

// WithoutKnown returns full contents for a process that is complete up to a revision: items
// that it has are Unchanged. With hundreds of processes, their values would be most of what
// is sent after a start of all.
func (c Changes) WithoutKnown(after model.Revision) Changes {
	if !c.Full || after == 0 || after.Era() != c.Revision.Era() {
		return c
	}
	items := make([]Item, len(c.Items))
	for i, it := range c.Items {
		if it.Revision <= after {
			it = Item{Item: platform.Item{Key: it.Key, Revision: it.Revision}, Unchanged: true}
		}
		items[i] = it
	}
	c.Items = items
	return c
}

// Replica holds the newest item of each key. The zero value is empty and ready to use.
// It is safe for concurrent use.
type Replica struct {
	mu       sync.Mutex
	items    map[string]Item // including removed ones
	removed  int
	revision model.Revision
	newest   model.Revision // highest revision of an item
	since    model.Revision // removals up to this revision may be missing
	gaps     []gap          // after since, oldest first
	changed  chan struct{}  // closed when the revision increases
}

// gap is a range of revisions of which only the outcome is known: a key that was created
// and removed in it is missing. Its bounds are complete.
type gap struct{ from, to model.Revision }

// Reset replaces the contents with the full range. Keys that it lacks are recorded as
// removed, so that processes with contents up to the previous revision get only the
// differences. After a restore of the store the revisions cannot be compared, and all
// processes get the full contents.
func (r *Replica) Reset(items []Item, revision model.Revision) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.items == nil || revision.Era() != r.revision.Era() || revision < r.revision {
		r.items = make(map[string]Item, len(items))
		r.removed = 0
		r.since = revision
		r.gaps = nil
		r.newest = 0
	} else {
		r.removeMissing(items, revision)
		r.addGap(gap{from: r.revision, to: revision})
	}
	for _, it := range items {
		r.put(it)
	}
	r.advance(revision)
}

// removeMissing records the keys that the full range at a revision lacks as removed. The
// caller holds r.mu.
func (r *Replica) removeMissing(items []Item, revision model.Revision) {
	present := make(map[string]bool, len(items))
	for _, it := range items {
		present[it.Key] = true
	}
	for key, it := range r.items {
		switch {
		case it.Removed || present[key]:
		case it.Revision < revision:
			r.put(removal(key, revision))
		default:
			// The key was removed after the range began to be read. The next changes
			// contain that.
			delete(r.items, key)
		}
	}
}

func (r *Replica) addGap(g gap) {
	if g.from == g.to {
		return
	}
	r.gaps = append(r.gaps, g)
	if len(r.gaps) > maxGaps {
		r.since = max(r.since, r.gaps[0].to)
		r.gaps = r.gaps[1:]
	}
}

func removal(key string, revision model.Revision) Item {
	return Item{Item: platform.Item{Key: key, Revision: revision, Removed: true}}
}

// Apply applies changes that are complete up to a revision. It does nothing before the
// first Reset. It returns the removals that the changes leave out: keys that were created
// since the last revision, but are not among the changes, were removed in a gap of the
// process that reports these.
func (r *Replica) Apply(items []Item, revision model.Revision) []Item {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.items == nil {
		return nil // changes need a base
	}
	unreported := r.unreportedRemovals(items, revision)
	for _, it := range items {
		r.put(it)
	}
	for _, it := range unreported {
		r.put(it)
	}
	r.advance(revision)
	return unreported
}

// unreportedRemovals returns removals of the keys that are newer than the contents' last
// complete revision, older than the next one, and not among the changes between the
// two. Such keys come from the later pages of a range, which is no snapshot. The caller
// holds r.mu.
func (r *Replica) unreportedRemovals(items []Item, revision model.Revision) []Item {
	if r.newest <= r.revision || revision <= r.revision {
		return nil
	}
	changed := make(map[string]bool, len(items))
	for _, it := range items {
		changed[it.Key] = true
	}
	var out []Item
	for key, it := range r.items {
		if !it.Removed && !changed[key] && it.Revision > r.revision && it.Revision < revision {
			out = append(out, removal(key, revision))
		}
	}
	return out
}

// put stores an item unless a newer one of its key is present. The pages of a range are
// not a snapshot, and changes may repeat their items. The caller holds r.mu.
func (r *Replica) put(it Item) {
	old, known := r.items[it.Key]
	if known && (old.Revision > it.Revision || old.Revision == it.Revision && (it.Omitted || !old.Omitted)) {
		return
	}
	r.items[it.Key] = it
	r.newest = max(r.newest, it.Revision)
	if known && old.Removed {
		r.removed--
	}
	if it.Removed {
		r.removed++
	}
}

// advance raises the revision and wakes the waiters. The caller holds r.mu.
func (r *Replica) advance(revision model.Revision) {
	r.pruneRemoved()
	if revision <= r.revision {
		return
	}
	r.revision = revision
	if r.changed != nil {
		close(r.changed)
		r.changed = nil
	}
}

// pruneRemoved drops the older half of the removals if there are more than maxRemoved.
// The caller holds r.mu.
func (r *Replica) pruneRemoved() {
	if r.removed <= maxRemoved {
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
	r.gaps = slices.DeleteFunc(r.gaps, func(g gap) bool { return g.to <= r.since })
	for key, it := range r.items {
		if it.Removed && it.Revision <= r.since {
			delete(r.items, key)
			r.removed--
		}
	}
}

// Get returns the item of a key and whether its value is known.
func (r *Replica) Get(key string) (platform.Item, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	it, ok := r.items[key]
	return it.Item, ok && !it.Omitted && !it.Removed
}

// FillUnchanged replaces the items that are Unchanged by those of this replica. The value
// of one that it lacks has to be fetched.
func (r *Replica) FillUnchanged(items []Item) []Item {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]Item, len(items))
	for i, it := range items {
		if it.Unchanged {
			known, ok := r.items[it.Key]
			if it.Unchanged = false; ok && known.Revision == it.Revision && !known.Removed {
				it = known
			} else {
				it.Omitted = true
			}
		}
		out[i] = it
	}
	return out
}

// Since returns the changes after a revision, ordered by revision.
func (r *Replica) Since(after model.Revision) Changes {
	r.mu.Lock()
	defer r.mu.Unlock()
	full := after < r.since || r.inGap(after)
	var items []Item
	for _, it := range r.items {
		if full && !it.Removed || !full && it.Revision > after {
			items = append(items, it)
		}
	}
	slices.SortFunc(items, func(a, b Item) int { return cmp.Compare(a.Revision, b.Revision) })
	return Changes{Items: items, Revision: r.revision, Full: full}
}

// inGap reports whether the changes after a revision are not all known because it lies in
// a gap. The caller holds r.mu.
func (r *Replica) inGap(after model.Revision) bool {
	return slices.ContainsFunc(r.gaps, func(g gap) bool { return g.from < after && after < g.to })
}

// Wait returns when the replica's revision is higher than after, the timeout has passed
// or ctx is done.
func (r *Replica) Wait(ctx context.Context, after model.Revision, timeout time.Duration) {
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
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
	}
}
