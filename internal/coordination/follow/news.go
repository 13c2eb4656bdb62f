package follow

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/skylarkwood/skylarkwood/internal/platform"
	"github.com/skylarkwood/skylarkwood/internal/state/replica"
)

// News is a router's answer to one that asks it instead of the store.
type News struct {
	replica.Answer
	// Age is how long ago, when it answered, the router last heard from the store, and
	// Held how long it had the question by then.
	Age, Held time.Duration
	// Grace is for how long removed entries may still be believed in.
	Grace time.Duration
}

// Question is what one router asks another.
type Question struct {
	// After is the revision up to which the asker's picture is complete.
	After int64
	// Wait is how long the question may be held until there are news.
	Wait time.Duration
	// Whole asks for the whole picture where changes since then are not all known.
	Whole bool
}

// ErrForgotten says that changes since the revision asked for are not all known.
var ErrForgotten = errors.New("changes since that revision are not all known here")

// ErrNotWatching says that a router cannot answer for the store.
var ErrNotWatching = errors.New("this router does not watch the store")

// errOlder says that a peer knows less than this process, or no more though others do.
var errOlder = errors.New("the peer knows less than others")

// Tell answers a peer: at once if something is known beyond a revision, else as soon as
// something is, or with nothing after a time. Only who asks the store itself answers:
// two that ask each other would find each other up to date, whatever the store says.
func (f *Follower) Tell(ctx context.Context, q Question) (News, error) {
	if !f.Watching() {
		return News{}, ErrNotWatching
	}
	began := f.Clock()
	f.Replica.Wait(ctx, q.After, min(q.Wait, peerWait))
	if !f.Watching() {
		return News{}, ErrNotWatching
	}
	if !q.Whole && f.Replica.Forgot(q.After) {
		return News{}, ErrForgotten
	}
	// The age is taken first, and is that of what has been taken in: an answer of the
	// store whose changes are still being decoded makes nothing younger.
	news := News{Age: f.Clock() - time.Duration(f.completeAt.Load()), Grace: f.grace()}
	news.Answer = f.Replica.Since(q.After)
	news.Held = f.Clock() - began
	return news, nil
}

// askPeer asks a router for news and takes them in.
func (f *Follower) askPeer(ctx context.Context, addr string) error {
	asking, cancel := context.WithCancel(ctx)
	defer cancel()
	q := Question{After: f.Revision(), Wait: peerWait, Whole: !f.synced || f.wantWhole}
	urgent := f.ask(cancel)
	if urgent {
		q.Wait = 0
	}
	asked := f.Clock()
	news, err := f.askWithin(asking, addr, q)
	f.asked()
	switch {
	case err != nil && asking.Err() != nil && ctx.Err() == nil:
		return errCut
	case errors.Is(err, ErrForgotten):
		f.catchUp(ctx)
		return nil
	case err != nil:
		return err
	case news.Revision < q.After || urgent && news.Revision == q.After || news.Age < 0 || news.Held < 0:
		return errors.WithMessagef(errOlder, "revision %d, %d here", news.Revision, q.After)
	}
	f.wantWhole = false
	if news.Grace > f.grace() {
		f.graceUntil.Store(int64(f.Clock() + min(news.Grace, comeBack)))
	}
	f.takeNews(news)
	f.noteWord(asked, news)
	return nil
}

func (f *Follower) askWithin(ctx context.Context, addr string, q Question) (News, error) {
	ctx, cancel := context.WithTimeout(ctx, q.Wait+peerSlack)
	defer cancel()
	return f.Ask(ctx, addr, q)
}

// catchUp asks the store once for what no watcher remembers. After a start of all
// routers each has read the range at a revision of its own, and a watcher remembers
// changes from its own reading on only: the whole picture for each of its askers would
// be some hundred megabytes from one small instance at hundreds of routers, while the
// store tells each the few changes it lacks. Where it does not, the whole picture is
// asked for next.
func (f *Follower) catchUp(ctx context.Context) {
	page, err := f.Store.Watch(ctx, f.Prefix, f.Revision(), firstWait)
	if err != nil {
		klog.InfoS("not caught up from the store", "revision", f.Revision(), "err", err)
		f.wantWhole = true
		return
	}
	now := f.Clock()
	f.noteHeard(now)
	f.change(replica.Full(page.Items), page.Revision)
	f.heard = now
}

func (f *Follower) takeNews(news News) {
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
func (f *Follower) noteWord(asked time.Duration, news News) {
	heard := min(asked+news.Held, f.Clock()) - news.Age
	f.lastHeard.Store(max(f.lastHeard.Load(), int64(heard)))
	if f.lost {
		klog.InfoS("store regained", "through", f.source.Address, "age", news.Age, "graceForRemoved", f.grace())
	}
	f.lost = false
	f.heard = heard
}

// owe notes that a value is to be read from the store.
func (f *Follower) owe(key string, revision int64) {
	if f.owed == nil {
		f.owed = map[string]int64{}
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
