package follow

import (
	"context"

	"k8s.io/klog/v2"
)

// pickSource chooses the source of the next query. A change of source ends what is known only
// of the previous one.
func (f *Follower) pickSource(ctx context.Context) {
	next := f.confirmSource(ctx, f.nextSource(ctx))
	if f.Picker != nil {
		next = f.replaceOutdated(ctx, next)
	}
	if !next.IsStore() {
		f.starting.Store(false)
	}
	if next == f.source {
		return
	}
	f.mu.Lock()
	previous := f.source
	f.source = next
	f.mu.Unlock()
	if previous.Address != next.Address {
		// The store has just answered a router that calls it in place of the watchers.
		f.watching.Store(next.IsStore() && f.detour.active && f.synced)
		f.staleSince = 0
		f.awaitsPeer = false
		f.reread.due = false
		klog.InfoS("source of store updates changed", "source", next.Address, "before", previous.Address, "why", next.Reason,
			"revision", f.Revision(), "age", f.SinceLastContact())
	}
}

// pollSource sends one query to the source.
func (f *Follower) pollSource(ctx context.Context) error {
	switch {
	case !f.source.IsStore():
		return f.queryPeer(ctx, f.source.Address)
	case f.synced && !f.eraOutdated():
		if f.waitForReread(ctx) {
			return f.rereadRange(ctx)
		}
		return f.watch(ctx)
	default:
		return f.readRange(ctx)
	}
}

// leaveSource makes the Picker choose another source for a while.
func (f *Follower) leaveSource() {
	f.Picker.MarkFailed(f.source)
	f.sourceLeft = true
}

// Origin returns from where the last updates came, for the log: a router's link address, or
// "store".
func (f *Follower) Origin() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.source.IsStore() {
		return "store"
	}
	return f.source.Address
}
