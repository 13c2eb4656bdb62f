package follow

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/skylarkwood/skylarkwood/internal/model"
	"github.com/skylarkwood/skylarkwood/internal/platform"
	"github.com/skylarkwood/skylarkwood/internal/state/replica"
)

// Updates is a router's answer to one that asks it instead of the store.
type Updates struct {
	replica.Answer
	// Age is how long ago, when it answered, the router last heard from the store, and
	// Elapsed how long it had the question by then.
	Age, Elapsed time.Duration
	// Grace is for how long removed entries may still be believed in.
	Grace time.Duration
}

// ErrNotWatching says that a router cannot answer for the store.
var ErrNotWatching = errors.New("this router does not watch the store")

// errOlder says that a peer knows less than this process, or no more though others do.
var errOlder = errors.New("the peer knows less than others")

// WaitForUpdates answers a peer: at once if something is known beyond a revision, else as soon as
// something is, or with nothing after a time. Only who asks the store itself answers:
// two that ask each other would find each other up to date, whatever the store says.
func (f *Follower) WaitForUpdates(ctx context.Context, after model.Revision, most time.Duration) (Updates, error) {
	if !f.Watching() {
		return Updates{}, ErrNotWatching
	}
	began := f.Clock()
	f.Replica.Wait(ctx, after, min(most, peerWait))
	if !f.Watching() {
		return Updates{}, ErrNotWatching
	}
	// The age is taken first, and is that of what has been taken in: an answer of the
	// store whose changes are still being decoded makes nothing younger.
	news := Updates{Age: f.Clock() - time.Duration(f.completeAt.Load()), Grace: f.grace()}
	news.Answer = f.Replica.Since(after)
	news.Elapsed = f.Clock() - began
	return news, nil
}

// askPeer asks a router for news and takes them in.
func (f *Follower) askPeer(ctx context.Context, addr string) error {
	after := f.Revision()
	asking, cancel := context.WithCancel(ctx)
	defer cancel()
	most := peerWait
	urgent := f.ask(cancel)
	if urgent {
		most = 0
	}
	asked := f.Clock()
	news, err := f.askWithin(asking, addr, after, most)
	f.asked()
	switch {
	case err != nil && asking.Err() != nil && ctx.Err() == nil:
		return errCut
	case err != nil:
		return err
	case news.Revision < after || urgent && news.Revision == after || news.Age < 0 || news.Elapsed < 0:
		return errors.WithMessagef(errOlder, "revision %d, %d here", news.Revision, after)
	}
	if news.Grace > f.grace() {
		f.graceUntil.Store(int64(f.Clock() + min(news.Grace, comeBack)))
	}
	f.takeNews(news)
	f.noteWord(asked, news)
	return nil
}

func (f *Follower) askWithin(ctx context.Context, addr string, after model.Revision, most time.Duration) (Updates, error) {
	ctx, cancel := context.WithTimeout(ctx, most+peerSlack)
	defer cancel()
	return f.PollPeer(ctx, addr, after, most)
}

func (f *Follower) takeNews(news Updates) {
	if !news.Whole {
		f.change(news.Items, news.Revision)
		return
	}
	klog.InfoS("the whole picture of the store is taken from a peer", "peer", f.source.Address, "revision", news.Revision, "items", len(news.Items))
	f.reset(news.Items, news.Revision)
	f.synced = true
}

// noteWord takes in when the peer's word was true. It was given after the question had
// been held, so it is at least that much younger than the question; counted from when it
// arrived, news that waited in a paused process would pass for new.
func (f *Follower) noteWord(asked time.Duration, news Updates) {
	heard := min(asked+news.Elapsed, f.Clock()) - news.Age
	f.lastHeard.Store(max(f.lastHeard.Load(), int64(heard)))
	if f.lost {
		klog.InfoS("store regained", "through", f.source.Address, "age", news.Age, "graceForRemoved", f.grace())
	}
	f.lost = false
	f.heard = heard
}

// owe notes that a value is to be read from the store.
func (f *Follower) owe(key string, revision model.Revision) {
	if f.owed == nil {
		f.owed = map[string]model.Revision{}
	}
	f.owed[key] = max(f.owed[key], revision)
	f.owedAfter = 0
}

// readOwed reads the values that peers do not pass on. An older copy of the store costs
// a tenth of a call and is usually new enough, which its revision shows.
func (f *Follower) readOwed(ctx context.Context) {
	if len(f.owed) == 0 || f.Clock() < f.owedAfter {
		return
	}
	f.owedAfter = f.Clock() + owedPause
	ctx, cancel := context.WithTimeout(ctx, firstRead)
	defer cancel()
	for key, revision := range f.owed {
		it, err := f.Store.Peek(ctx, key)
		if err == nil && it.Revision < revision || errors.Is(err, platform.ErrNotFound) {
			it, err = f.Store.Get(ctx, key)
		}
		if errors.Is(err, platform.ErrNotFound) {
			delete(f.owed, key) // removed meanwhile, which the next news tell
			continue
		}
		if err != nil {
			klog.InfoS("large value not read from the store", "key", key, "revision", revision, "err", err)
			continue
		}
		delete(f.owed, key)
		f.change(replica.Full([]platform.Item{it}), f.Revision())
	}
}
