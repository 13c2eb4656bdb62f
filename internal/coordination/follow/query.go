package follow

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/skylarkwood/skylarkwood/internal/state/replica"
)

// watchTimeout returns the timeout of the next watch. It is random because a change
// ends the watches of all routers at once. With equal timeouts, no router would detect
// an unresponsive connection before the others.
func (f *Follower) watchTimeout() time.Duration {
	if f.Picker == nil {
		return minWatchTimeout
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
	advertised := f.highestPeerRevision()
	page, err := f.Store.Range(ctx, f.Prefix)
	if err != nil {
		f.rangeTimeout *= 2
		return err
	}
	f.rangeTimeout = minRangeTimeout
	f.applying.Lock()
	defer f.applying.Unlock()
	f.recordStoreContact(start)
	f.correctPeerRevision(advertised, page.Revision)
	f.reset(replica.ItemsWithValues(page.Items), page.Revision)
	f.answerTime = start
	f.synced = true
	f.watching.Store(true)
	f.starting.Store(false)
	return nil
}

// errCancelled reports that a newer revision or a failed call ended the query early.
var errCancelled = errors.New("query cancelled")

func (f *Follower) watch(ctx context.Context) error {
	queryCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	wait := f.watchTimeout()
	if f.disconnected {
		wait = shortWatchTimeout // the store may have been restored, which its answer shows
	}
	if f.beginQuery(cancel) {
		wait = shortWatchTimeout
	}
	advertised := f.highestPeerRevision()
	f.watchMargin = min(max(f.watchMargin, minWatchMargin), maxWatchMargin)
	startCtx, stop := context.WithTimeout(queryCtx, wait+f.watchMargin)
	page, err := f.Store.Watch(startCtx, f.Prefix, f.Revision(), wait)
	stop()
	f.endQuery()
	if err != nil && queryCtx.Err() != nil && ctx.Err() == nil {
		return errCancelled
	}
	if err != nil {
		f.watchMargin *= 2
		return err
	}
	f.watchMargin /= 2
	f.applying.Lock()
	defer f.applying.Unlock()
	now := f.Clock()
	f.recordStoreContact(now)
	f.correctPeerRevision(advertised, page.Revision)
	f.apply(replica.ItemsWithValues(page.Items), page.Revision)
	f.answerTime = now
	f.watching.Store(true)
	f.changesApplied = len(page.Items) > 0
	return nil
}
