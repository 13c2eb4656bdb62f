package follow

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/skylarkwood/skylarkwood/internal/coordination/limits"
	"github.com/skylarkwood/skylarkwood/internal/model"
)

const (
	// disprovedRetention is how long a revision that a read of the range disproved is ignored if
	// peers still advertise it. Otherwise each of their heartbeats would cause another read.
	disprovedRetention = 10 * time.Second
	// undeliveredRetention is how long a polled watcher may lack a revision that no watcher has.
	// Then the watchers are asked again.
	undeliveredRetention = 3 * time.Second
)

// ObserveAcknowledged records a revision that the store returned to another call of this
// process. It is in force, so the contents must reach it even if no watch delivers it.
func (f *Follower) ObserveAcknowledged(revision model.Revision) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if revision <= model.Revision(f.acknowledged.Load()) {
		return
	}
	f.acknowledged.Store(int64(revision))
	f.cancelIfLagging()
	wake(f.wakeLagCheck)
}

// knownRevision returns the highest revision that is known to be in force: one that a peer
// advertised or that the store acknowledged to this process.
func (f *Follower) knownRevision() model.Revision {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.knownRevisionLocked()
}

// knownRevisionLocked is knownRevision for callers that hold f.mu.
func (f *Follower) knownRevisionLocked() model.Revision {
	return max(f.peerRevision, model.Revision(f.acknowledged.Load()))
}

// correctKnownRevision lowers the revisions advertised by peers and acknowledged by the store to
// that of a read of the whole range that began after they were recorded. The read is
// linearizable, so higher revisions do not exist. The answer of a watch does not prove that,
// because watches may be silent while the store discards its history.
func (f *Follower) correctKnownRevision(advertised, acknowledged, revision model.Revision) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if acknowledged > revision {
		klog.InfoS("store lacks a revision that it acknowledged", "acknowledged", acknowledged, "store", revision)
		f.acknowledged.CompareAndSwap(int64(acknowledged), int64(revision))
	}
	if advertised <= revision || f.peerRevision > advertised {
		return
	}
	klog.InfoS("peer advertised a higher revision than the store's", "peer", advertised, "store", revision)
	f.peerRevision = revision
	f.disproved, f.disprovedUntil = advertised, f.Clock()+disprovedRetention
}

// confirmUndelivered asks the watchers whether none has newer contents than this process. If so,
// this process stays with the watcher that it polls although that one lacks a known revision: if
// all routers turned to the store, they would use up its call quota.
func (f *Follower) confirmUndelivered(ctx context.Context) bool {
	known := f.knownRevision()
	if f.isPeerAhead(ctx, f.Picker.Watchers()) {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	klog.InfoS("no watcher has a known revision", "source", f.source.Address, "revision", f.Revision(), "known", known)
	f.undelivered, f.undeliveredUntil = known, f.Clock()+limits.Jitter(undeliveredRetention)
	return true
}

// isPeerAhead asks routers whether one has newer contents. A router that advertises an
// acknowledged revision need not have its contents: if the store fails right after a commit, all
// routers may lack them. It returns true if none of them answers, because a large answer may be
// slow.
func (f *Follower) isPeerAhead(ctx context.Context, addrs []string) bool {
	addr, answered := f.askAll(ctx, addrs, minPollMargin, f.isAhead)
	return addr != "" || !answered
}
