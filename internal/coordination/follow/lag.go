package follow

import (
	"context"

	"k8s.io/klog/v2"

	"github.com/skylarkwood/skylarkwood/internal/model"
)

// ObservePeerRevision takes in the revision of a peer's picture. Where it stays ahead, whoever is
// asked here is silent or behind: the question is cut, and another one is asked.
func (f *Follower) ObservePeerRevision(revision model.Revision) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ahead = max(f.ahead, revision)
	if f.lagging() && f.cut != nil {
		klog.InfoS("news are behind a peer's and are asked for anew", "source", f.source.Address, "revision", f.Revision(), "peer", f.ahead,
			"for", f.Clock()-f.behindSince)
		f.cut()
		f.cut = nil
	}
}

// ObserveEra takes in that some call to the store was answered in an era.
func (f *Follower) ObserveEra(era int64) {
	if first, err := model.NewRevision(era, 0); err == nil && era > f.Revision().Era() {
		f.eraSeen.Store(int64(first))
		f.ObservePeerRevision(first)
	}
}

// AdvertisedRevision is what peers are told: up to where this picture is complete, or the beginning of
// an era that this process has heard of from the store and has no picture of yet. A leader
// need not watch the store, and those who do may be waiting on a silent connection.
func (f *Follower) AdvertisedRevision() model.Revision {
	return max(f.Revision(), model.Revision(f.eraSeen.Load()))
}

// inOldEra tells whether somebody knows the store to be in a newer era than this process.
func (f *Follower) inOldEra() bool { return f.highest().Era() > f.Revision().Era() }

// lagging tells whether this process has been behind some peer for longer than news
// take to get around. Others that are as far behind say nothing about that. The caller
// holds the lock.
func (f *Follower) lagging() bool {
	now := f.Clock()
	switch {
	case f.ahead <= f.Revision():
		f.behindSince = 0
		return false
	case f.source.IsStore() && f.ahead.Era() > f.Revision().Era():
		// What is waited for will not come: the store counts anew. Those who ask a watcher
		// stay with it, as it will know in a moment.
		return true
	case f.behindSince == 0:
		f.behindSince = now
		return false
	}
	allowed := behindTime
	if !f.source.IsStore() {
		allowed += f.gather()
	}
	return now-f.behindSince > allowed
}

// ask notes that a question begins, which cut ends. One that is urgent, as others know
// more, is not cut: it is short by itself.
func (f *Follower) ask(cut context.CancelFunc) (urgent bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lagging() || f.doubted {
		f.doubted = false
		return true
	}
	f.cut = cut
	return false
}

// CallFailed takes in that another call of this process to the store got no answer. The
// question that waits may be as silent, for seconds, while the store comes back from an
// older copy; a new and short one shows it.
func (f *Follower) CallFailed() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.source.IsStore() && f.cut != nil {
		f.doubted = true
		f.cut()
		f.cut = nil
	}
}

// asked notes that a question has ended.
func (f *Follower) asked() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cut = nil
}

// isBehind tells whether some peer knows more than this process.
func (f *Follower) isBehind() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ahead > f.Revision()
}

// failedAgain notes that a question to the store failed and tells whether others are
// ahead and this was not the first. One that was cut may have waited on a silent
// connection: the next one goes over a new one, and shows whether the store answers.
func (f *Follower) failedAgain() bool {
	f.failures++
	return f.failures > 1 && f.isBehind()
}

// highest is the highest revision that a peer told of so far.
func (f *Follower) highest() model.Revision {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ahead
}

// disprove takes in the store's own revision, asked for after a peer had claimed one. A
// peer that claimed a higher one is wrong, and would else keep this process asking.
func (f *Follower) disprove(claimed, revision model.Revision) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if claimed <= revision || f.ahead > claimed {
		return
	}
	klog.InfoS("a peer's revision is beyond the store's", "peer", claimed, "store", revision)
	f.ahead = revision
}
