package follow

import (
	"context"
	"errors"
	"time"

	"k8s.io/klog/v2"

	"github.com/skylarkwood/skylarkwood/internal/coordination/transfer"
	"github.com/skylarkwood/skylarkwood/internal/platform"
	"github.com/skylarkwood/skylarkwood/internal/state/replica"
)

// ErrValueRefused is returned by FetchValue if the peer does not send the value now.
var ErrValueRefused = errors.New("peer does not send the value")

// errValueOutdated reports that a source has an older value than the one announced.
var errValueOutdated = errors.New("value is older than the one announced")

// fetchValues fetches the values that peers omitted, one at a time, until ctx is done. It
// runs beside the polling, so that other updates do not wait for large values.
func (f *Follower) fetchValues(ctx context.Context) {
	for ctx.Err() == nil {
		attempt, due, wait := f.transfers.Next()
		if !due {
			waitForWake(ctx, f.wakeFetcher, wait)
			continue
		}
		if !f.TransferSlot.Acquire(ctx) {
			return
		}
		f.fetchValue(ctx, attempt)
		f.TransferSlot.Release()
	}
}

// waitForWake waits for a token in wake, until ctx is done or, if d is not 0, for d.
func waitForWake(ctx context.Context, wake <-chan struct{}, d time.Duration) {
	var expired <-chan time.Time
	if d > 0 {
		timer := time.NewTimer(d)
		defer timer.Stop()
		expired = timer.C
	}
	select {
	case <-wake:
	case <-expired:
	case <-ctx.Done():
	}
}

func wake(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

func (f *Follower) fetchValue(ctx context.Context, a transfer.Attempt) {
	start := f.Clock()
	it, err := f.fetchFrom(ctx, a)
	switch {
	case errors.Is(err, platform.ErrNotFound):
		// It was removed since, which the next updates contain.
		f.transfers.Drop(a.Key, a.Revision)
		f.transfers.Failed(a, transfer.Refused)
	case err != nil:
		f.transfers.Failed(a, failureOf(err))
		klog.InfoS("fetching large value failed", "key", a.Key, "revision", a.Revision, "source", a.Holder,
			"patience", a.Patience, "after", f.Clock()-start, "err", err)
	default:
		f.applyFetched(a, it, f.Clock()-start)
	}
}

func (f *Follower) fetchFrom(ctx context.Context, a transfer.Attempt) (platform.Item, error) {
	var it platform.Item
	var err error
	if a.Holder == "" {
		it, err = f.readValue(ctx, a)
	} else {
		it, err = f.FetchValue(ctx, a.Holder, a.Key, a.Patience)
	}
	if err == nil && it.Revision < a.Revision {
		err = errValueOutdated
	}
	return it, err
}

// readValue reads a value from the store. Peek reads an older copy for a tenth of the cost
// of a call. Its revision shows whether it is new enough.
func (f *Follower) readValue(ctx context.Context, a transfer.Attempt) (platform.Item, error) {
	peekCtx, cancel := context.WithTimeout(ctx, a.Patience)
	defer cancel()
	it, err := f.Store.Peek(peekCtx, a.Key)
	if err == nil && it.Revision < a.Revision || errors.Is(err, platform.ErrNotFound) {
		getCtx, cancel := context.WithTimeout(ctx, a.Patience)
		defer cancel()
		it, err = f.Store.Get(getCtx, a.Key)
	}
	return it, err
}

func failureOf(err error) transfer.Failure {
	if errors.Is(err, ErrValueRefused) || errors.Is(err, errValueOutdated) {
		return transfer.Refused
	}
	return transfer.TimedOut
}

// applyFetched applies a fetched value unless a newer one arrived otherwise.
func (f *Follower) applyFetched(a transfer.Attempt, it platform.Item, took time.Duration) {
	f.applying.Lock()
	defer f.applying.Unlock()
	if !f.transfers.Fetched(a, it.Revision) {
		klog.InfoS("fetched value is no longer wanted", "key", a.Key, "revision", it.Revision, "source", a.Holder)
		return
	}
	klog.InfoS("large value fetched", "key", a.Key, "revision", it.Revision, "source", a.Holder, "bytes", len(it.Value), "took", took)
	f.apply(replica.ItemsWithValues([]platform.Item{it}), f.Revision())
	f.reportSynced()
}
