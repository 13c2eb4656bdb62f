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
	mu      sync.Mutex
	entries map[string]rosterEntry // by store key
}

type rosterEntry struct {
	Member
	revision model.Revision
}

// NewRoster returns an empty roster.
func NewRoster() *Roster { return &Roster{entries: map[string]rosterEntry{}} }

// Reset replaces the contents with the routers' entries among items.
func (r *Roster) Reset(items []platform.Item) {
	r.mu.Lock()
	defer r.mu.Unlock()
	clear(r.entries)
	for _, it := range items {
		r.apply(it)
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
	r.entries[it.Key] = rosterEntry{Member: m, revision: it.Revision}
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
// as long.
func (r *Roster) gone(self string, silence func(addr string) time.Duration, limit time.Duration) []platform.Condition {
	r.mu.Lock()
	defer r.mu.Unlock()
	isolated := true
	for _, e := range r.entries {
		isolated = isolated && (e.Address == self || silence(e.Address) > limit)
	}
	if isolated {
		limit *= isolatedFactor
	}
	var out []platform.Condition
	for key, e := range r.entries {
		if e.Address != self && silence(e.Address) > limit {
			out = append(out, platform.Condition{Key: key, Revision: e.revision})
		}
	}
	return out
}

// RemoveGone removes the entries of the other routers that have been silent for longer than
// limit from the store. Only the leader calls it. Entries that were written anew meanwhile
// stay, as do those in the same call; they are removed with the next one.
func (r *Roster) RemoveGone(ctx context.Context, store platform.Store, self string, silence func(addr string) time.Duration, limit time.Duration) {
	for gone := r.gone(self, silence, limit); len(gone) > 0; {
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
