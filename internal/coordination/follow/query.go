package follow

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/skylarkwood/skylarkwood/internal/model"
	"github.com/skylarkwood/skylarkwood/internal/platform"
	"github.com/skylarkwood/skylarkwood/internal/state/replica"
)

// watchTimeout returns the timeout of the next watch. It is random because a change
// ends the watches of all routers at once. With equal timeouts, no router would detect
// an unresponsive connection before the others.
func (f *Follower) watchTimeout() time.Duration {
	if f.Picker == nil {
		return soloWatchTimeout
	}
	if !f.Watching() {
		return shortWatchTimeout
	}
	longest := min(time.Duration(f.Picker.WatcherCount())*watchTimeoutPerWatcher, maxWatchTimeout)
	if longest <= minWatchTimeout {
		return minWatchTimeout
	}
	return minWatchTimeout + rand.N(longest-minWatchTimeout)
}

func (f *Follower) readRange(ctx context.Context) error {
	f.rangeTimeout = min(max(f.rangeTimeout, minRangeTimeout), maxRangeTimeout)
	ctx, cancel := context.WithTimeout(ctx, f.rangeTimeout)
	defer cancel()
	start := f.Clock()
	f.mu.Lock()
	advertised, acknowledged := f.peerRevision, model.Revision(f.acknowledged.Load())
	f.mu.Unlock()
	page, err := f.Store.Range(ctx, f.Prefix)
	if err != nil {
		f.rangeTimeout *= 2
		return err
	}
	f.rangeTimeout = minRangeTimeout
	f.applying.Lock()
	defer f.applying.Unlock()
	f.recordStoreContact(start)
	f.correctKnownRevision(advertised, acknowledged, page.Revision)
	f.reset(replica.ItemsWithValues(page.Items), page.Revision)
	f.answerTime = start
	f.synced = true
	f.watching.Store(true)
	f.starting.Store(false)
	return nil
}

// errCancelled reports that a newer revision or a failed call ended the query early.
var errCancelled = errors.New("query cancelled")

// beginWatch records that a watch begins, with the function that cancels it. It returns how long
// the watch waits for changes and the margin for its answer. confirming is set if the watch shows
// whether the store's watches deliver a known revision.
func (f *Follower) beginWatch(cancel context.CancelFunc) (wait, margin time.Duration, confirming bool) {
	f.watchMargin = min(max(f.watchMargin, minWatchMargin), maxWatchMargin)
	wait, margin = f.watchTimeout(), f.watchMargin
	if f.disconnected {
		wait = shortWatchTimeout // the store may have been restored, which its answer shows
	}
	urgent, lagging := f.beginQuery(cancel)
	// After a failed read, the store is unavailable or slow rather than its watches silent.
	confirming = (lagging || f.reread.due) && !f.reread.failed
	switch {
	case f.reread.due:
		wait = min(wait, max(f.reread.notBefore-f.Clock(), confirmTimeout))
	case confirming:
		wait = confirmTimeout
	case urgent:
		wait = shortWatchTimeout
	}
	if confirming {
		margin = f.reread.confirmMargin(margin)
	}
	return wait, margin, confirming
}

// watch waits for changes in the store and applies them. If the watch does not deliver a known
// revision, it schedules a read of the whole range.
func (f *Follower) watch(ctx context.Context) error {
	queryCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	wait, margin, confirming := f.beginWatch(cancel)
	known, start := f.knownRevision(), f.Clock()
	startCtx, stop := context.WithTimeout(queryCtx, wait+margin)
	page, err := f.Store.Watch(startCtx, f.Prefix, f.Revision(), wait)
	unanswered := startCtx.Err() != nil
	stop()
	f.endQuery()
	switch {
	case err != nil && queryCtx.Err() != nil && ctx.Err() == nil:
		return errCancelled
	case err != nil && confirming && unanswered && ctx.Err() == nil:
		f.reread.schedule(f.Clock())
		return errUnconfirmed
	case err != nil:
		f.watchMargin *= 2
		return err
	}
	f.watchMargin /= 2
	f.applyWatch(page, known, f.Clock()-start-wait)
	if confirming && page.Revision < known {
		f.reread.schedule(f.Clock())
	}
	return nil
}

// applyWatch applies the answer of a watch. known was the highest known revision when the watch
// began, and overrun is the time that it took beyond its wait.
func (f *Follower) applyWatch(page platform.Page, known model.Revision, overrun time.Duration) {
	f.applying.Lock()
	defer f.applying.Unlock()
	now := f.Clock()
	f.recordStoreContact(now)
	f.apply(replica.ItemsWithValues(page.Items), page.Revision)
	if page.Revision >= known {
		f.answerTime = now // otherwise the contents are known to be incomplete
	}
	f.watching.Store(true)
	f.changesApplied = len(page.Items) > 0
	if f.changesApplied {
		f.reread.due = false
	} else {
		f.reread.answerDelay = max(overrun, 0)
	}
}
