package follow

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/skylarkwood/skylarkwood/internal/model"
	"github.com/skylarkwood/skylarkwood/internal/state/replica"
)

// Updates is the answer of a router that watches the store to one that polls it.
type Updates struct {
	replica.Changes
	// Age is the time from the router's last contact with the store to the answer.
	// Elapsed is the time from the arrival of the query to the answer.
	Age, Elapsed time.Duration
	// Grace is how long removed entries remain valid.
	Grace time.Duration
	// Failing is set if the router's calls to the store fail, so that it learns of no changes.
	Failing bool
	// Starting is set if the router reads the store for the first time and has no contents.
	Starting bool
}

// ErrNotWatching is returned by a router that does not watch the store.
var ErrNotWatching = errors.New("this router does not watch the store")

// errPeerStarting reports that a peer reads the store for the first time.
var errPeerStarting = errors.New("peer has no contents yet")

// errPeerStale reports that a peer's revision is lower than that of this process.
var errPeerStale = errors.New("peer's revision is outdated")

// errPeerLags reports that a peer lacks a revision that is known to be in force.
var errPeerLags = errors.New("peer lacks a known revision")

// WaitForUpdates returns the updates after a revision. If there are none, it waits for
// some until timeout or peerPollTimeout, and returns an answer without items. It
// returns ErrNotWatching if this process does not watch the store: two routers that
// poll each other would each find the other up to date. A process that starts waits for its
// own first contents.
func (f *Follower) WaitForUpdates(ctx context.Context, after model.Revision, timeout time.Duration) (Updates, error) {
	if !f.Watching() && !f.starting.Load() {
		return Updates{}, ErrNotWatching
	}
	start := f.Clock()
	if timeout > 0 {
		waiting, cancel := f.failing.cancelOnBegin(ctx)
		f.Replica.Wait(waiting, after, min(timeout, peerPollTimeout))
		cancel()
	}
	if f.starting.Load() {
		return Updates{Starting: true}, nil
	}
	if !f.Watching() {
		return Updates{}, ErrNotWatching
	}
	// The age is read before the items and is that of the applied contents. An answer
	// of the store whose changes are still being decoded does not count.
	updates := Updates{Age: f.Clock() - time.Duration(f.syncedAt.Load()), Grace: f.grace(), Failing: f.failing.get()}
	updates.Changes = f.Replica.Since(after)
	updates.Elapsed = f.Clock() - start
	return updates, nil
}

// queryPeer long-polls a router and applies its updates.
func (f *Follower) queryPeer(ctx context.Context, addr string) error {
	after := f.Revision()
	queryCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	timeout := f.pollTimeout()
	if !f.hasContents && f.startUntil > 0 {
		timeout = min(timeout, max(f.startUntil-f.Clock(), 0))
	}
	urgent, _ := f.beginQuery(cancel)
	// A watcher without contents would answer an urgent poll at once, again and again.
	if urgent && f.hasContents {
		timeout = 0
		if f.awaitsPeer {
			timeout = lagPollTimeout
		}
	}
	sentAt := f.Clock()
	updates, err := f.pollWithTimeout(queryCtx, addr, after, timeout)
	f.endQuery()
	switch {
	case err != nil && queryCtx.Err() != nil && ctx.Err() == nil && f.isCallDone():
		return errCallDone
	case err != nil && queryCtx.Err() != nil && ctx.Err() == nil:
		return errCancelled
	case err != nil:
		return err
	case updates.Starting:
		return errPeerStarting
	case updates.Revision < after && !urgent && f.toleratesStale(sentAt):
		return nil
	case updates.Revision < after || updates.Age < 0 || updates.Elapsed < 0:
		return errors.WithMessagef(errPeerStale, "peer at revision %d, this process at %d", updates.Revision, after)
	case urgent && updates.Revision == after && !f.keepsAwaitingPeer():
		return errors.WithMessagef(errPeerLags, "peer at revision %d, known %d", updates.Revision, f.knownRevision())
	}
	f.applying.Lock()
	defer f.applying.Unlock()
	if updates.Grace > f.grace() {
		f.graceUntil.Store(int64(f.Clock() + min(updates.Grace, removalGrace)))
	}
	f.staleSince = 0
	f.awaitsPeer = f.awaitsPeer && updates.Revision == after
	f.applyUpdates(updates)
	f.recordPeerContact(sentAt, updates)
	f.sourceFailing = updates.Failing
	if f.detour.active && updates.Failing {
		return errSourceOutdated
	}
	return nil
}

// toleratesStale reports whether the peer that is polled may still lack what this process
// has. A process that got its contents elsewhere is ahead of a watcher that collects changes.
func (f *Follower) toleratesStale(sentAt time.Duration) bool {
	if f.staleSince == 0 {
		f.staleSince = sentAt
	}
	return f.Clock()-f.staleSince <= f.allowedLag()
}

func (f *Follower) pollWithTimeout(ctx context.Context, addr string, after model.Revision, timeout time.Duration) (Updates, error) {
	f.pollMargin = min(max(f.pollMargin, minPollMargin), maxPollMargin)
	margin := f.pollMargin
	if f.detour.outdatedSince > 0 {
		margin = min(margin, askTimeout) // the poll only shows whether the source is back
	}
	pollCtx, cancel := context.WithTimeout(ctx, timeout+margin)
	defer cancel()
	updates, err := f.PollPeer(pollCtx, addr, after, timeout)
	switch {
	case err == nil:
		f.pollMargin /= 2
	case ctx.Err() == nil && pollCtx.Err() != nil:
		f.pollMargin *= 2
	}
	return updates, err
}

func (f *Follower) applyUpdates(updates Updates) {
	if !updates.Full {
		f.apply(updates.Items, updates.Revision)
		return
	}
	klog.InfoS("store contents replaced by a peer's copy", "peer", f.source.Address, "revision", updates.Revision, "items", len(updates.Items))
	items := updates.Items
	if f.Replica != nil {
		items = f.Replica.FillUnchanged(items)
	}
	f.reset(items, updates.Revision)
	f.synced = true
}

// recordPeerContact records when the peer's answer was true. The answer was made at
// least updates.Elapsed after the query was sent. Counted from its arrival, an answer
// that waited in a suspended process would seem new.
func (f *Follower) recordPeerContact(sentAt time.Duration, updates Updates) {
	answeredAt := min(sentAt+updates.Elapsed, f.Clock()) - updates.Age
	f.lastContact.Store(max(f.lastContact.Load(), int64(answeredAt)))
	if f.disconnected {
		klog.InfoS("store available again", "through", f.source.Address, "age", updates.Age, "graceForRemoved", f.grace())
	}
	f.disconnected = false
	f.answerTime = answeredAt
}
