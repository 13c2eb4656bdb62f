// Package follow keeps a process's copy of the store up to date. A Follower reads the
// whole key range once and then either watches the store or long-polls a router that
// does. Each call counts against the store's call quota, and every change ends a call of
// each watcher. So only a few routers of each failure domain watch the store.
package follow

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/skylarkwood/skylarkwood/internal/coordination/transfer"
	"github.com/skylarkwood/skylarkwood/internal/model"
	"github.com/skylarkwood/skylarkwood/internal/platform"
	"github.com/skylarkwood/skylarkwood/internal/state/replica"
	pause "github.com/skylarkwood/skylarkwood/internal/wait"
)

const (
	// minWatchTimeout and maxWatchTimeout bound how long a watch waits for a change.
	// Each watch is one call, and its end detects a connection that no longer delivers
	// changes. The timeouts of all watchers are spread so that some watch ends several times
	// within maxSourceAge: the others learn from its heartbeat that the store answers. Its
	// revision, advertised to the peers, shows them what they missed.
	minWatchTimeout        = 700 * time.Millisecond
	maxWatchTimeout        = 4 * time.Second
	watchTimeoutPerWatcher = 350 * time.Millisecond
	// soloWatchTimeout is the same for a process without peers.
	soloWatchTimeout = 1500 * time.Millisecond
	// shortWatchTimeout applies while the state of the store is in doubt and before the
	// first answer. A peer's poll is refused until then.
	shortWatchTimeout = 200 * time.Millisecond
	// lagTimeout is how long this process may lack a known revision before the source is
	// considered unresponsive. Changes reach the routers at different times. A router
	// that polls a peer also allows for that peer's batch delay.
	lagTimeout = 400 * time.Millisecond
	// peerPollTimeout is how long a polled peer waits for updates. minPollMargin is added
	// for its answer. Their sum is half the time for which an engine accepts requests after
	// it began to drain. The margin doubles after a timeout, up to maxPollMargin, because a
	// large answer takes long on a slow link.
	peerPollTimeout = time.Second
	minPollMargin   = 500 * time.Millisecond
	maxPollMargin   = 4 * time.Second
	// minWatchMargin and maxWatchMargin bound how long after the end of its wait a watch may
	// still be answered. The margin doubles when a watch is not answered.
	minWatchMargin = 800 * time.Millisecond
	maxWatchMargin = 2 * time.Second
	// batchDelayPerWatcher and maxBatchDelay bound the delay after changes, in which
	// further changes collect. Engines register and load in groups, and every change
	// ends every watch.
	batchDelayPerWatcher = 25 * time.Millisecond
	maxBatchDelay        = 300 * time.Millisecond
	// idleBatchDelay replaces the batch delay while no callers have come and this process
	// is not the leader. Engines register one after the other for some ten seconds then.
	// Half of the store calls of a calm day were watches that reported them.
	idleBatchDelay = 1200 * time.Millisecond
	// minRetryDelay and maxRetryDelay bound the delay between attempts while the store
	// is unavailable. Failed calls count against the quota too.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 500 * time.Millisecond
	// minOutage is how long the store must have been unavailable before removed entries
	// get removalGrace.
	minOutage = time.Second
	// removalGrace is how long a removed entry remains valid after an outage.
	// Registrations whose lease expired during the outage are back within about two
	// seconds.
	removalGrace = 2 * time.Second
	// minRangeTimeout and maxRangeTimeout bound a read of the whole range. Calls during
	// an outage are never answered, so the first timeouts are short to detect its end
	// early.
	minRangeTimeout = 500 * time.Millisecond
	maxRangeTimeout = 2 * time.Second
)

// Sink receives the contents of the store.
type Sink interface {
	// HandleStoreRestore reports that the store was restored from an older copy: what
	// this process wrote may be lost, and its leases may belong to others. A Reset
	// follows.
	HandleStoreRestore()
	// Reset replaces the whole contents. Entries that page lacks are removed, but
	// remain valid for grace.
	Reset(page platform.Page, grace time.Duration)
	// Change applies one change. A removed entry remains valid for grace.
	Change(item platform.Item, grace time.Duration)
	// Synced reports that the contents were complete at a time of Follower.Clock.
	Synced(at time.Duration)
}

// Follower applies the keys with one prefix to one sink.
type Follower struct {
	Store  platform.Store
	Prefix string
	Sink   Sink
	// Clock is monotonic and includes the time for which the instance was suspended.
	Clock func() time.Duration
	// Picker chooses between the store and the routers that watch it. If it is nil, the
	// store is always used. PollPeer long-polls one of these routers.
	Picker   *Picker
	PollPeer func(ctx context.Context, addr string, after model.Revision, wait time.Duration) (Updates, error)
	// ReadRouters reads the registered routers from the store, for the Picker, and returns
	// their number. With it, a router that starts may get the contents from a watcher: of
	// hundreds that start together, the store would send all contents to each. It may be nil.
	ReadRouters func(ctx context.Context) (int, error)
	// FetchValue fetches a value from a router that announced it. silence limits the time
	// without data. It may be nil.
	FetchValue func(ctx context.Context, addr, key string, silence time.Duration) (platform.Item, error)
	// TransferSlot is shared with the other large transfers of this process. If it is nil,
	// there are none.
	TransferSlot *transfer.Slot
	// Replica holds the contents for peers that poll this process. It is nil if none
	// do.
	Replica *replica.Replica
	// PeersLastContact returns the last known contact of any peer with the store. It is
	// nil if there are no peers.
	PeersLastContact func() time.Duration
	// Idle reports whether changes may be applied late. If it is nil, they never may.
	Idle func() bool

	revision        atomic.Int64 // the contents are complete up to it
	eraStart        atomic.Int64 // first revision of the newest era seen in an answer of the store
	acknowledged    atomic.Int64 // highest revision that the store returned to another call of this process
	mu              sync.Mutex
	cancelQuery     context.CancelFunc // cancels the query in progress
	cancelOutdated  bool               // cancel it if the source that it polls becomes outdated
	callDone        bool               // the call in place of the watchers has an outcome
	laggingSince    time.Duration      // since when missingRevision is known; 0 if none is
	missingRevision model.Revision     // known revision that this process lacks
	peerRevision    model.Revision     // highest revision of any peer
	otherCallFailed bool               // another call to the store was not answered
	disproved       model.Revision     // advertised by a peer, but a read of the range showed that it did not exist
	disprovedUntil  time.Duration      // until when disproved is ignored
	// undelivered is a known revision that no watcher has. Until undeliveredUntil, a polled
	// watcher may lack it.
	undelivered      model.Revision
	undeliveredUntil time.Duration
	wakeLagCheck     chan struct{}

	background sync.WaitGroup // of the calls to the store that run beside the polling

	// applying is held while updates are applied. Large values arrive beside the polling.
	applying    sync.Mutex
	transfers   *transfer.Schedule
	wakeFetcher chan struct{}

	source         Source
	startedAt      time.Duration // when the routers were read
	startUntil     time.Duration // until when the first contents may come from a peer; 0 if the routers were not read
	starting       atomic.Bool   // there are no contents, and no peer was asked for them
	watching       atomic.Bool   // the store answered and no peer was polled since
	hasContents    bool          // since the first reset
	synced         bool          // the whole range was read
	lastContact    atomic.Int64
	peerContact    atomic.Int64 // last known contact of a peer with the store
	syncedAt       atomic.Int64 // the applied contents were complete then
	graceUntil     atomic.Int64
	disconnected   bool
	storeFailures  int          // consecutive
	failing        failingState // of the calls to the store
	sourceFailing  bool         // the polled peer said that its calls to the store fail
	sourceLeft     bool         // the last query failed; the next source may be silent too
	detour         detour
	call           *storeCall    // in place of the watchers; nil if there is none
	answerTime     time.Duration // the last answer was complete then
	changesApplied bool          // the last answer came from the store and had changes
	rangeTimeout   time.Duration // of the next read of the whole range
	watchMargin    time.Duration
	pollMargin     time.Duration
	reread         reread
	// awaitsPeer is set while the peer that is polled lacks a known revision and may still get
	// it.
	awaitsPeer bool
	// staleSince is when the peer that is polled was first asked without having all that
	// this process has; 0 if it was up to date.
	staleSince time.Duration
}

// SinceLastContact returns the time since the store last answered.
func (f *Follower) SinceLastContact() time.Duration {
	return f.Clock() - time.Duration(f.lastContact.Load())
}

// Revision returns the revision up to which the contents are complete.
func (f *Follower) Revision() model.Revision { return model.Revision(f.revision.Load()) }

// Watching reports whether this process gets its updates from the store itself.
func (f *Follower) Watching() bool { return f.watching.Load() }

func (f *Follower) batchDelay() time.Duration {
	switch {
	case f.Idle != nil && f.Idle():
		return idleBatchDelay
	case f.Picker == nil:
		return batchDelayPerWatcher
	}
	return min(time.Duration(f.Picker.WatcherCount())*batchDelayPerWatcher, maxBatchDelay)
}

// Run follows the store until ctx is done.
func (f *Follower) Run(ctx context.Context) {
	f.lastContact.Store(int64(f.Clock()))
	f.transfers = transfer.NewSchedule(f.Clock)
	f.wakeFetcher = make(chan struct{}, 1)
	if f.TransferSlot == nil {
		f.TransferSlot = transfer.NewSlot()
	}
	var fetching sync.WaitGroup
	defer fetching.Wait()
	defer f.background.Wait()
	fetching.Go(func() { f.fetchValues(ctx) })
	f.mu.Lock()
	f.wakeLagCheck = make(chan struct{}, 1)
	f.mu.Unlock()
	fetching.Go(func() { f.checkLag(ctx) })
	f.starting.Store(true)
	f.waitForRegistrations(ctx)
	f.readRouters(ctx)
	retryDelay := minRetryDelay
	for ctx.Err() == nil {
		f.pickSource(ctx)
		start := f.Clock()
		err := f.pollSource(ctx)
		if ctx.Err() != nil {
			return
		}
		switch {
		case err == nil:
			f.finishQuery(ctx)
			retryDelay = minRetryDelay
			continue
		case errors.Is(err, errPeerStarting):
			f.startUntil = min(f.Clock()+startPatience, f.startedAt+maxStartPatience)
			continue
		case errors.Is(err, errUnconfirmed), errors.Is(err, errCallDone):
			continue
		case errors.Is(err, errPeerLags) && f.confirmUndelivered(ctx):
			continue
		case !f.source.IsStore():
			klog.InfoS("polling peer for store updates failed", "peer", f.source.Address, "err", err, "revision", f.Revision(),
				"took", f.Clock()-start, "age", f.SinceLastContact())
			f.endDetour()
			f.leaveSource()
			continue
		case errors.Is(err, platform.ErrCompacted):
			klog.InfoS("store history compacted; reading the whole range", "prefix", f.Prefix, "revision", f.Revision())
			f.synced = false
			continue
		}
		if f.detour.active && !errors.Is(err, errCancelled) {
			f.endDetour()
			continue
		}
		if f.Picker != nil && f.countStoreFailure() && f.isPeerAhead(ctx, f.Picker.PeersAndSubstitutes()) {
			// Peers hear from the store, so only this process is cut off. During an
			// outage for all, the source stays: the routers that poll this one would
			// otherwise all turn to the store.
			f.leaveSource()
		}
		if errors.Is(err, errCancelled) {
			continue
		}
		f.markDisconnected(err)
		pause.For(ctx, retryDelay)
		retryDelay = min(2*retryDelay, maxRetryDelay)
	}
}

// finishQuery reports that the contents are complete. After changes it waits so that
// further changes collect.
func (f *Follower) finishQuery(ctx context.Context) {
	f.applying.Lock()
	f.reportSynced()
	f.applying.Unlock()
	if f.changesApplied {
		f.changesApplied = false
		pause.For(ctx, f.batchDelay())
	}
}

// reportSynced reports to the sink that its contents are complete, unless large values are
// still to be fetched. The caller holds f.applying.
func (f *Follower) reportSynced() {
	if f.transfers.Len() > 0 {
		return
	}
	f.Sink.Synced(f.answerTime)
	f.syncedAt.Store(int64(f.answerTime))
}
