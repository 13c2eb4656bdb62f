package follow

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/skylarkwood/skylarkwood/internal/coordination/limits"
	"github.com/skylarkwood/skylarkwood/internal/model"
	"github.com/skylarkwood/skylarkwood/internal/platform"
	"github.com/skylarkwood/skylarkwood/internal/state/replica"
)

// storeCall is a call to the store in place of the watchers. It runs beside the polling: a store
// that does not answer must not delay what a watcher learns meanwhile.
type storeCall struct {
	after   model.Revision
	failing bool // the source had said that its calls to the store fail

	// The outcome is set before Follower.callDone.
	page       platform.Page
	err        error
	answeredAt time.Duration
}

// errCallDone reports that a poll ended early because the call in place of the watchers has an outcome.
var errCallDone = errors.New("call to the store ended")

// startCall calls the store in place of the watchers, unless a call is in progress.
func (f *Follower) startCall(ctx context.Context) {
	if f.call != nil {
		return
	}
	c := &storeCall{after: f.Revision(), failing: f.sourceFailing}
	f.call = c
	f.background.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, substituteTimeout)
		defer cancel()
		c.page, c.err = f.Store.Watch(ctx, f.Prefix, c.after, 0)
		c.answeredAt = f.Clock()
		f.endCall()
	})
}

// endCall records that the call to the store has an outcome, and cancels the poll in progress so
// that it is used at once.
func (f *Follower) endCall() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.callDone = true
	if f.cancelQuery != nil && !f.source.IsStore() {
		f.cancelQuery()
		f.cancelQuery = nil
	}
}

func (f *Follower) isCallDone() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.callDone
}

// finishCall uses the outcome of a call to the store, if there is one. It reports whether this
// router should go on to use the store: the sources missed changes, or the store turns them away.
func (f *Follower) finishCall() bool {
	f.mu.Lock()
	done := f.callDone
	f.callDone = false
	f.mu.Unlock()
	if !done {
		return false
	}
	c := f.call
	f.call = nil
	klog.InfoS("store called in place of its watchers", "err", c.err, "items", len(c.page.Items), "revision", c.page.Revision,
		"before", c.after, "known", f.Revision(), "age", f.SinceLastContact())
	if c.err != nil {
		return f.recordCallFailure(c)
	}
	return f.applyCall(c)
}

// recordCallFailure schedules the next call. It reports whether the range must be read instead.
func (f *Follower) recordCallFailure(c *storeCall) bool {
	d := &f.detour
	switch {
	case !errors.Is(c.err, platform.ErrCompacted):
		d.callDelay = min(max(2*d.callDelay, minCallDelay), maxCallDelay)
		d.nextCall = f.Clock() + limits.Jitter(d.callDelay)
	case f.Revision() > c.after || d.outdatedSince == 0: // the sources have learned meanwhile
	case !d.compacted:
		// To read everything is expensive, and the watchers may just be about to.
		d.compacted, d.nextCall = true, f.Clock()+compactedDelay+d.turn-d.outdatedSince
	default:
		f.synced = false
		return true
	}
	return false
}

// applyCall applies what the store answered. What a polled router delivered meanwhile is left out.
func (f *Follower) applyCall(c *storeCall) bool {
	f.applying.Lock()
	defer f.applying.Unlock()
	if f.outage(c.answeredAt) > minOutage {
		f.graceUntil.Store(int64(f.Clock() + removalGrace))
	}
	f.storeFailures = 0
	f.failing.set(false)
	f.lastContact.Store(max(f.lastContact.Load(), int64(c.answeredAt)))
	if c.page.Revision < f.Revision() {
		return false
	}
	items := slices.DeleteFunc(c.page.Items, func(it platform.Item) bool { return it.Revision <= f.Revision() })
	f.apply(replica.ItemsWithValues(items), c.page.Revision)
	f.answerTime = max(f.answerTime, c.answeredAt)
	f.reportSynced()
	return c.failing || len(items) > 0
}
