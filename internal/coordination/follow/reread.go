package follow

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"k8s.io/klog/v2"

	pause "github.com/skylarkwood/skylarkwood/internal/wait"
)

const (
	// confirmTimeout is how long the watch waits that shows whether the store's watches
	// deliver a known revision. The store has the changes, so it answers at once if they do.
	confirmTimeout = 50 * time.Millisecond
	// minConfirmMargin is the shortest time for the answer of that watch. The margin of other
	// watches would delay updates by up to two seconds if watches are not answered at all.
	minConfirmMargin = 150 * time.Millisecond
	// confirmMarginFactor is the ratio of that time to the time that a quiet watch took beyond
	// its wait, so that the watch of a slow store is not taken for a silent one.
	confirmMarginFactor = 4
	// rereadInterval is the minimum time between two reads of the whole range because watches
	// are silent. Each one loads the store with all contents.
	rereadInterval = time.Second
	// rereadSpread is the time over which the reads of all watchers are spread. They learn of
	// the missing revision at about the same time.
	rereadSpread = 100 * time.Millisecond
	// lagPollTimeout is how long a polled peer waits for updates that another router has.
	lagPollTimeout = 100 * time.Millisecond
	// catchUpTime is how long a polled watcher that answers may lack a revision beyond the
	// time allowed for batching: it may hear of the revision later than this process, and a
	// watch and a read precede its updates.
	catchUpTime = 700 * time.Millisecond
)

// errUnconfirmed reports that a short watch for a known revision was not answered.
var errUnconfirmed = errors.New("watch for a known revision not answered")

// reread is the state of the reads of the whole range that replace silent watches. Only the
// goroutine of Run uses it.
type reread struct {
	due       bool
	notBefore time.Duration // if due
	lastStart time.Duration // 0 before the first one
	// failed is set if the last one failed and the store has not answered since.
	failed bool
	// answerDelay is the time that the last quiet watch took beyond its wait.
	answerDelay time.Duration
}

// schedule makes a read due. A heartbeat may bring a known revision 250 ms late or more, so
// lagTimeout, the short watch and the spread together must leave room within a second.
func (r *reread) schedule(now time.Duration) {
	if r.due {
		return
	}
	r.due = true
	r.notBefore = now + rand.N(rereadSpread)
	if r.lastStart > 0 {
		r.notBefore = max(r.notBefore, r.lastStart+rereadInterval) // the last ones were spread too
	}
}

// confirmMargin returns the time for the answer of a watch for a known revision, where
// otherwise margin applies.
func (r *reread) confirmMargin(margin time.Duration) time.Duration {
	return min(max(confirmMarginFactor*r.answerDelay, minConfirmMargin), margin)
}

// waitForReread reports whether the range must be read again now. It waits for up to
// rereadSpread until the read may begin. If it may begin only later, the next watch ends in time
// for it.
func (f *Follower) waitForReread(ctx context.Context) bool {
	if !f.reread.due {
		return false
	}
	remaining := f.reread.notBefore - f.Clock()
	if remaining > rereadSpread {
		return false
	}
	pause.For(ctx, max(remaining, 0))
	return true
}

// rereadRange reads the whole range because the store's watches do not deliver a known
// revision. If the read finds changes, the watches are silent, and another read follows, which
// finds the changes that no router advertises. If it finds none, or a watch delivers changes,
// the reads end.
func (f *Follower) rereadRange(ctx context.Context) error {
	start, before, known := f.Clock(), f.Revision(), f.knownRevision()
	f.reread.due = false
	f.reread.lastStart = start
	if err := f.readRange(ctx); err != nil {
		f.reread.failed = true
		return err
	}
	klog.InfoS("watches do not deliver updates; whole range read", "revision", f.Revision(), "before", before, "known", known, "took", f.Clock()-start)
	if f.Revision() > before {
		f.reread.schedule(f.Clock())
	}
	return nil
}

// keepsAwaitingPeer decides whether to wait until the polled peer gets the revision that both it
// and this process lack, and records the decision for the next poll.
func (f *Follower) keepsAwaitingPeer() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.awaitsPeer = f.laggingSince == 0 || f.Clock()-f.laggingSince <= f.allowedLag()+catchUpTime
	return f.awaitsPeer
}
