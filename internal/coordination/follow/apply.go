package follow

import (
	"k8s.io/klog/v2"

	"github.com/skylarkwood/skylarkwood/internal/model"
	"github.com/skylarkwood/skylarkwood/internal/platform"
	"github.com/skylarkwood/skylarkwood/internal/state/replica"
)

// reset replaces the contents. The caller holds f.applying.
func (f *Follower) reset(items []replica.Item, revision model.Revision) {
	f.hasContents = true
	f.transfers.Clear()
	f.checkEra(revision)
	f.Sink.Reset(platform.Page{Items: f.withValues(items), Revision: revision}, f.grace())
	if f.Replica != nil {
		f.Replica.Reset(items, revision)
	}
	f.revision.Store(int64(revision))
}

// checkEra detects that the store was restored from an older copy. Servers that still
// run may write missing entries again, so removals get removalGrace.
func (f *Follower) checkEra(revision model.Revision) {
	previous := f.Revision()
	if previous == 0 || revision.Era() <= previous.Era() {
		return
	}
	f.graceUntil.Store(int64(f.Clock() + removalGrace))
	klog.InfoS("store was restored from an older copy", "revision", revision, "before", previous, "source", f.source.Address, "graceForRemoved", f.grace())
	f.Sink.HandleStoreRestore()
}

// apply applies changes that are complete up to a revision. The caller holds f.applying.
func (f *Follower) apply(items []replica.Item, revision model.Revision) {
	for _, it := range latestPerKey(f.withValues(items)) {
		f.Sink.Change(it, f.grace())
	}
	revision = max(revision, f.Revision())
	if f.Replica != nil {
		for _, it := range f.Replica.Apply(items, revision) {
			klog.InfoS("key removed in a gap of the store's history", "key", it.Key, "revision", revision, "source", f.source.Address)
			f.Sink.Change(it.Item, f.grace())
		}
	}
	f.revision.Store(int64(revision))
}

// withValues returns the items that have values and schedules the others to be fetched.
func (f *Follower) withValues(items []replica.Item) []platform.Item {
	out := make([]platform.Item, 0, len(items))
	for _, it := range items {
		if it.Omitted {
			f.transfers.Want(it.Key, it.Revision, f.holder())
			wake(f.wakeFetcher)
			continue
		}
		f.transfers.Drop(it.Key, it.Revision)
		out = append(out, it.Item)
	}
	return out
}

// holder returns the router whose updates are applied, or an empty string if values cannot be
// fetched from routers.
func (f *Follower) holder() string {
	if f.FetchValue == nil {
		return ""
	}
	return f.source.Address
}

// latestPerKey returns the last change of each key. Decoding a large configuration is
// slow, so earlier changes of a key are skipped.
func latestPerKey(items []platform.Item) []platform.Item {
	last := make(map[string]int, len(items))
	for i, it := range items {
		last[it.Key] = i
	}
	if len(last) == len(items) {
		return items
	}
	out := make([]platform.Item, 0, len(last))
	for i, it := range items {
		if last[it.Key] == i {
			out = append(out, it)
		}
	}
	return out
}
