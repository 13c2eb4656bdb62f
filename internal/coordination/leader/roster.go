package leader

import (
	"context"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/skylarkwood/skylarkwood/internal/model"
	"github.com/skylarkwood/skylarkwood/internal/platform"
)

const (
	// maxRemovals is how many entries are removed with one call. A transaction has a limited
	// number of conditions and deletions.
	maxRemovals = 16
	// isolatedFactor is how much longer routers must be silent if nobody is heard of.
	isolatedFactor = 10
)

// Roster holds the routers that are registered in the store. It is safe for concurrent use.
type Roster struct {
	self string
	now  func() time.Time

	mu      sync.Mutex
	entries map[string]rosterEntry // by store key
}

type rosterEntry struct {
	Member
	revision model.Revision
	observed time.Time // when this process observed the revision
}

// NewRoster returns an empty roster for the router with link address self.
func NewRoster(self string, now func() time.Time) *Roster {
	return &Roster{self: self, now: now, entries: map[string]rosterEntry{}}
}

// Reset replaces the contents with the routers' entries among items.
func (r *Roster) Reset(items []platform.Item) {
	r.mu.Lock()
	defer r.mu.Unlock()
	previous := r.entries
	r.entries = make(map[string]rosterEntry, len(items))
	for _, it := range items {
		r.apply(it)
		if e, ok := r.entries[it.Key]; ok && previous[it.Key].revision == e.revision {
			r.entries[it.Key] = previous[it.Key]
		}
	}
}

// Apply applies a change of a router's entry.
func (r *Roster) Apply(it platform.Item) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.apply(it)
}

// apply is Apply for callers that hold r.mu.
func (r *Roster) apply(it platform.Item) {
	if it.Removed {
		delete(r.entries, it.Key)
		return
	}
	m, err := DecodeMember(it.Value)
	if err != nil {
		klog.InfoS("member entry skipped: it cannot be decoded", "key", it.Key, "err", err)
		return
	}
	r.entries[it.Key] = rosterEntry{Member: m, revision: it.Revision, observed: r.now()}
}

// Members returns the registered routers, by store key.
func (r *Roster) Members() map[string]Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make(map[string]Member, len(r.entries))
	for key, e := range r.entries {
		out[key] = e.Member
	}
	return out
}

// gone returns the entries of the routers that have been silent for longer than limit. If all
// others are silent, this process is probably cut off, and the limit is isolatedFactor times
// as long. An entry that was written lately is a sign of its router too.
func (r *Roster) gone(silence func(addr string) time.Duration, limit time.Duration) []platform.Condition {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	silent := func(e rosterEntry, limit time.Duration) bool {
		return min(silence(e.Address), now.Sub(e.observed)) > limit
	}
	isolated := true
	for _, e := range r.entries {
		isolated = isolated && (e.Address == r.self || silent(e, limit))
	}
	if isolated {
		limit *= isolatedFactor
	}
	var out []platform.Condition
	for key, e := range r.entries {
		if e.Address != r.self && silent(e, limit) {
			out = append(out, platform.Condition{Key: key, Revision: e.revision})
		}
	}
	return out
}

// RemoveGone removes the entries of the other routers that have been silent for longer than
// limit from the store. Only the leader calls it. If an entry was written again meanwhile,
// its whole batch stays and is tried again by the next call.
func (r *Roster) RemoveGone(ctx context.Context, store platform.Store, silence func(addr string) time.Duration, limit time.Duration) {
	for gone := r.gone(silence, limit); len(gone) > 0; {
		batch := gone[:min(len(gone), maxRemovals)]
		gone = gone[len(batch):]
		txn := platform.Txn{If: batch}
		for _, c := range batch {
			txn.Delete = append(txn.Delete, c.Key)
		}
		_, err := store.Commit(ctx, txn)
		klog.InfoS("removal of the entries of silent routers finished", "keys", txn.Delete, "err", err)
	}
}
