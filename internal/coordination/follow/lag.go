package follow

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/skylarkwood/skylarkwood/internal/model"
)

// ObservePeerRevision records the revision that a peer advertised. If it stays ahead of
// this process, the query in progress is cancelled and a new one is sent.
func (f *Follower) ObservePeerRevision(revision model.Revision) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if revision == f.disproved && f.Clock() < f.disprovedUntil {
		return
	}
	f.peerRevision = max(f.peerRevision, revision)
	f.cancelIfLagging()
	wake(f.wakeLagCheck)
}

// cancelIfLagging cancels the query in progress if this process lags. The caller holds f.mu.
func (f *Follower) cancelIfLagging() {
	if !f.isLagging() || f.cancelQuery == nil {
		return
	}
	klog.InfoS("updates are behind a peer's; polling again", "source", f.source.Address, "revision", f.Revision(), "peer", f.knownRevisionLocked(),
		"acknowledged", model.Revision(f.acknowledged.Load()), "for", f.Clock()-f.laggingSince)
	f.cancelQuery()
	f.cancelQuery = nil
}

// checkLag cancels the query in progress when this process has lagged for too long, until
// ctx is done. Peers' heartbeats may be seconds apart in a large fleet, and none may follow
// an acknowledged revision.
func (f *Follower) checkLag(ctx context.Context) {
	f.mu.Lock()
	wakeup := f.wakeLagCheck
	f.mu.Unlock()
	for ctx.Err() == nil {
		f.mu.Lock()
		f.cancelIfLagging()
		f.cancelIfOutdated()
		remaining := f.untilLagging()
		if outdated := f.untilOutdated(); remaining == 0 || outdated > 0 && outdated < remaining {
			remaining = outdated
		}
		f.mu.Unlock()
		waitForWake(ctx, wakeup, remaining)
	}
}

// cancelIfOutdated cancels the poll in progress if it is unanswered although its source counts as
// outdated. The margin for its answer may be seconds. The caller holds f.mu.
func (f *Follower) cancelIfOutdated() {
	if !f.cancelOutdated || f.cancelQuery == nil || f.untilOutdated() > 0 {
		return
	}
	klog.InfoS("poll of an outdated source cancelled", "source", f.source.Address, "revision", f.Revision(), "anyContact", f.sinceAnyContact())
	f.cancelQuery()
	f.cancelQuery = nil
}

// untilOutdated returns the time until the poll in progress should have been answered if its source
// counts as outdated, or 0 if it is over or none is watched. The caller holds f.mu.
func (f *Follower) untilOutdated() time.Duration {
	if !f.cancelOutdated || f.cancelQuery == nil {
		return 0
	}
	return max(maxSourceAge+askTimeout-f.sinceAnyContact(), 0)
}

// untilLagging returns the time until this process lags unless updates arrive, or 0 if it lacks
// nothing or lags already. The caller holds f.mu.
func (f *Follower) untilLagging() time.Duration {
	remaining := f.laggingSince + f.allowedLag() - f.Clock()
	if f.laggingSince == 0 || remaining < 0 {
		return 0
	}
	return remaining + time.Millisecond // isLagging requires more than allowedLag
}

// ObserveEra records that the store answered some call of this process in an era.
func (f *Follower) ObserveEra(era int64) {
	if first, err := model.NewRevision(era, 0); err == nil && era > f.Revision().Era() {
		f.eraStart.Store(int64(first))
		f.ObservePeerRevision(first)
	}
}

// AdvertisedRevision returns the revision to advertise to peers. It is the one up to
// which the contents are complete, the highest one that the store acknowledged to this
// process, or the first of a newer era that this process has seen. A leader need not watch
// the store, and the watchers' connections may be unresponsive.
func (f *Follower) AdvertisedRevision() model.Revision {
	return max(f.Revision(), model.Revision(f.eraStart.Load()), model.Revision(f.acknowledged.Load()))
}

// eraOutdated reports whether the store is known to be in a newer era than the
// contents.
func (f *Follower) eraOutdated() bool { return f.knownRevision().Era() > f.Revision().Era() }

// isLagging reports whether this process has lacked a known revision for longer than updates
// take to propagate. While changes follow each other, some peer is always ahead, so the time
// counts from one revision until that revision is here. The caller holds f.mu.
func (f *Follower) isLagging() bool {
	now, known := f.Clock(), f.knownRevisionLocked()
	switch {
	case known <= f.Revision(), !f.source.IsStore() && known <= f.undelivered && now < f.undeliveredUntil:
		f.laggingSince = 0
		return false
	case f.source.IsStore() && known.Era() > f.Revision().Era():
		// The store counts anew after a restore, so the watch in progress would miss
		// its changes. A router that polls a watcher stays with it, as the watcher
		// notices soon.
		return true
	case f.laggingSince == 0 || f.missingRevision <= f.Revision():
		f.laggingSince = now
		f.missingRevision = known
		return false
	}
	return now-f.laggingSince > f.allowedLag()
}

// allowedLag returns how long the source may lack a revision that another process has.
func (f *Follower) allowedLag() time.Duration {
	if f.source.IsStore() {
		return lagTimeout
	}
	return lagTimeout + f.batchDelay()
}

// beginQuery records that a query begins, with the function that cancels it. The query is
// urgent if this process lags or another call failed. Urgent queries are short and are not
// cancelled.
func (f *Follower) beginQuery(cancel context.CancelFunc) (urgent, lagging bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	lagging = f.isLagging()
	if lagging || f.otherCallFailed || f.callDone {
		f.otherCallFailed = false
		return true, lagging
	}
	f.cancelQuery = cancel
	f.cancelOutdated = !f.source.IsStore() && f.hasContents && f.detour.outdatedSince == 0
	wake(f.wakeLagCheck)
	return false, false
}

// CallFailed reports that another call of this process to the store was not answered.
// The query in progress may be on an unresponsive connection while the store is
// restored from an older copy. A new, short query detects that.
func (f *Follower) CallFailed() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.source.IsStore() && f.cancelQuery != nil {
		f.otherCallFailed = true
		f.cancelQuery()
		f.cancelQuery = nil
	}
}

func (f *Follower) endQuery() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cancelQuery = nil
}

// isBehind reports whether a peer has a higher revision than this process.
func (f *Follower) isBehind() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.peerRevision > f.Revision()
}

// countStoreFailure counts a failed query to the store. It reports whether peers are
// ahead and a previous query failed too. The first failure may be that of an
// unresponsive connection. The next query uses a new connection and shows whether the
// store answers.
func (f *Follower) countStoreFailure() bool {
	f.storeFailures++
	if f.storeFailures > 1 {
		f.failing.set(true)
	}
	return f.storeFailures > 1 && f.isBehind()
}
