package follow

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/skylarkwood/skylarkwood/internal/model"
	"github.com/skylarkwood/skylarkwood/internal/platform"
	"github.com/skylarkwood/skylarkwood/internal/state/replica"
	"github.com/skylarkwood/skylarkwood/platform/standin"
)

// picture keeps what a follower tells it, as a process does.
type picture struct {
	mu     sync.Mutex
	items  map[string]string
	grace  map[string]time.Duration // by removed key
	resets int
	heard  int
	eras   int
}

func newPicture() *picture {
	return &picture{items: map[string]string{}, grace: map[string]time.Duration{}}
}

func (p *picture) Reset(page platform.Page, grace time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.resets++
	for k := range p.items {
		p.grace[k] = grace
	}
	p.items = map[string]string{}
	for _, it := range page.Items {
		p.items[it.Key] = string(it.Value)
		delete(p.grace, it.Key)
	}
}

func (p *picture) Change(it platform.Item, grace time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if it.Removed {
		delete(p.items, it.Key)
		p.grace[it.Key] = grace
		return
	}
	p.items[it.Key] = string(it.Value)
}

func (p *picture) HandleStoreRestore() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.eras++
}

func (p *picture) Synced(time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.heard++
}

func (p *picture) has(key, value string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.items[key] == value
}

func (p *picture) graceOf(key string) (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	g, ok := p.grace[key]
	return g, ok
}

// follow runs a follower in virtual time.
func follow(t *testing.T, f func(store *standin.Store, p *picture, fl *Follower), setup ...func(*Follower)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(context.Background())
		began := time.Now()
		store := standin.NewStore()
		p := newPicture()
		fl := &Follower{Store: store, Sink: p, Clock: func() time.Duration { return time.Since(began) + time.Hour }}
		for _, set := range setup {
			set(fl)
		}
		done := make(chan struct{})
		go func() { fl.Run(ctx); close(done) }()
		defer func() { stop(); <-done }()
		time.Sleep(time.Second)
		f(store, p, fl)
	})
}

func TestFollowTellsChanges(t *testing.T) {
	follow(t, func(store *standin.Store, p *picture, _ *Follower) {
		store.Put("k", []byte("1"))
		time.Sleep(300 * time.Millisecond)
		assert.Assert(t, p.has("k", "1"))
		store.Remove("k")
		time.Sleep(300 * time.Millisecond)
		g, gone := p.graceOf("k")
		assert.Assert(t, gone)
		assert.Equal(t, g, time.Duration(0), "the store was there: what is removed is gone")
	})
}

// The store drops its history while the watch waits, and a key goes in the gap.
// Without a new read of everything the key would live on here for good.
func TestFollowReadsAllAfterCompaction(t *testing.T) {
	follow(t, func(store *standin.Store, p *picture, _ *Follower) {
		store.Put("goes", []byte("1"))
		store.Put("stays", []byte("1"))
		time.Sleep(300 * time.Millisecond)
		store.SetFaults(standin.StoreFaults{Refuse: true})
		time.Sleep(2 * time.Second)
		store.Remove("goes")
		store.Compact()
		store.SetFaults(standin.StoreFaults{})
		time.Sleep(2 * time.Second)
		assert.Assert(t, p.has("stays", "1"))
		assert.Assert(t, p.has("goes", ""))
		assert.Equal(t, p.resets, 2)
	})
}

// The store is silent for some seconds and leases lapse meanwhile. What is gone
// at its return gets time to register again.
func TestFollowGivesGraceAfterAnOutage(t *testing.T) {
	follow(t, func(store *standin.Store, p *picture, _ *Follower) {
		store.Put("server", []byte("1"))
		time.Sleep(300 * time.Millisecond)
		store.SetFaults(standin.StoreFaults{Silent: true})
		time.Sleep(5 * time.Second)
		store.Remove("server")
		store.SetFaults(standin.StoreFaults{})
		time.Sleep(3 * time.Second)
		g, gone := p.graceOf("server")
		assert.Assert(t, gone)
		assert.Assert(t, g > 0 && g <= comeBack, "%v", g)
	})
}

// Only this process was cut off; a peer heard from the store all the time. What
// was removed meanwhile has left, and must get no work for even a moment.
func TestFollowGivesNoGraceWhereAPeerWasConnected(t *testing.T) {
	connected := func(fl *Follower) {
		fl.PeersLastContact = func() time.Duration { return fl.Clock() - 200*time.Millisecond }
	}
	follow(t, func(store *standin.Store, p *picture, _ *Follower) {
		store.Put("server", []byte("1"))
		time.Sleep(300 * time.Millisecond)
		store.SetFaults(standin.StoreFaults{Refuse: true})
		time.Sleep(5 * time.Second)
		store.Remove("server")
		store.SetFaults(standin.StoreFaults{})
		time.Sleep(3 * time.Second)
		g, gone := p.graceOf("server")
		assert.Assert(t, gone)
		assert.Equal(t, g, time.Duration(0))
	}, connected)
}

// The connection of this router's watch is silent while a peer's is not. The
// peer's higher revision shows it, and the change is taken in without waiting
// for the watch's end. Peers that are merely a little ahead change nothing.
func TestFollowNoticesThatAPeerIsAhead(t *testing.T) {
	follow(t, func(store *standin.Store, p *picture, fl *Follower) {
		time.Sleep(2 * time.Second)
		revision := store.PutUnseen("k", []byte("1"))
		fl.ObservePeerRevision(revision)
		time.Sleep(behindTime / 2)
		fl.ObservePeerRevision(revision)
		assert.Assert(t, !p.has("k", "1"))
		time.Sleep(behindTime)
		fl.ObservePeerRevision(revision)
		time.Sleep(100 * time.Millisecond)
		assert.Assert(t, p.has("k", "1"))
	}, func(fl *Follower) {
		fl.Picker = othersWatch(fl, 20)
		fl.PollPeer = func(context.Context, string, model.Revision, time.Duration) (Updates, error) {
			return Updates{}, ErrNotWatching
		}
	})
}

// A peer claims a revision that the store does not have. It is asked once; it answers
// that there is none, and this router goes back to its long watches: each is priced.
func TestRevisionBeyondTheStoresIsNotBelieved(t *testing.T) {
	follow(t, func(store *standin.Store, _ *picture, fl *Follower) {
		time.Sleep(2 * time.Second)
		before := store.Calls().Watches
		fl.ObservePeerRevision(1 << 40)
		time.Sleep(2 * behindTime)
		fl.ObservePeerRevision(1 << 40)
		time.Sleep(30 * time.Second)
		assert.Assert(t, !fl.isBehind())
		assert.Assert(t, store.Calls().Watches-before <= 25, "%d watches", store.Calls().Watches-before)
	}, func(fl *Follower) {
		fl.Picker = othersWatch(fl, 20)
		fl.PollPeer = func(context.Context, string, model.Revision, time.Duration) (Updates, error) {
			return Updates{}, ErrNotWatching
		}
	})
}

// A watcher takes a while to decode what the store answered, as a configuration of many
// routes. Who asks it meanwhile is told what was known before, as old as that is: told
// that it is new, the asker would refuse for good what the configuration just added.
func TestNewsAreAsOldAsWhatWasTakenIn(t *testing.T) {
	const decoding = 500 * time.Millisecond
	var slow slowSink
	follow(t, func(store *standin.Store, _ *picture, fl *Follower) {
		slow.takes.Store(int64(decoding))
		time.Sleep(time.Second)
		store.Put("op/config", []byte("2"))
		time.Sleep(decoding / 2)
		news, err := fl.WaitForUpdates(t.Context(), fl.Revision()-1, 0)
		assert.NilError(t, err)
		assert.Equal(t, len(news.Items), 0)
		assert.Assert(t, news.Age > decoding, "the last answer that was taken in came before the change: %v", news.Age)
	}, func(fl *Follower) {
		slow.Sink = fl.Sink
		fl.Sink = &slow
		fl.Replica = &replica.Replica{}
	})
}

// slowSink takes its time for each change.
type slowSink struct {
	Sink
	takes atomic.Int64
}

func (s *slowSink) Change(item platform.Item, grace time.Duration) {
	time.Sleep(time.Duration(s.takes.Load()))
	s.Sink.Change(item, grace)
}

// othersWatch is the choice of a router that watches beside others, one a failure domain.
func othersWatch(fl *Follower, others int) *Picker {
	var all []Router
	for i := range others {
		all = append(all, Router{Address: fmt.Sprint("r", i), Domain: fmt.Sprint("d", i)})
	}
	return &Picker{Self: "self", Domain: "own", Routers: func() []Router { return all }, Clock: fl.Clock}
}

// A change ends the watches of all routers at once, and then they go silent
// together. The next ones end at different times, so that one of them notices.
func TestWaitsAreSpread(t *testing.T) {
	f := &Follower{}
	f.Picker = othersWatch(f, 20)
	f.watching.Store(true)
	shortest, longest := longestWait, time.Duration(0)
	for range 200 {
		w := f.wait()
		assert.Assert(t, w >= shortestWait && w <= longestWait)
		shortest = min(shortest, w)
		longest = max(longest, w)
	}
	assert.Assert(t, longest-shortest > time.Second)
}

// An idle store costs one call for each wait of a watch: each is priced.
func TestFollowIsCheapWhenNothingChanges(t *testing.T) {
	follow(t, func(store *standin.Store, _ *picture, _ *Follower) {
		before := store.Calls().Watches
		time.Sleep(30 * time.Second)
		assert.Assert(t, store.Calls().Watches-before <= 21)
	})
}

// The load: before callers come, fifty engines register and load, a change every
// 150 ms for eight seconds. A router that rests asks for them in bunches; once it
// serves, each change reaches it within the usual pause.
func TestChangesGatherWhileNobodyNeedsThem(t *testing.T) {
	var resting atomic.Bool
	resting.Store(true)
	follow(t, func(store *standin.Store, _ *picture, _ *Follower) {
		change := func(n int) int {
			before := store.Calls().Watches
			for i := range n {
				store.Put(fmt.Sprint("servers/", i), []byte("x"))
				time.Sleep(150 * time.Millisecond)
			}
			return store.Calls().Watches - before
		}
		const changes = 54
		const bunches = int(changes*150*time.Millisecond/restGather) + 1
		calls := change(changes)
		assert.Assert(t, calls <= bunches+1, "%d calls", calls)
		resting.Store(false)
		time.Sleep(2 * restGather)
		calls = change(changes)
		assert.Assert(t, calls >= changes*3/4, "%d calls", calls)
	}, func(fl *Follower) { fl.Idle = resting.Load })
}

// Configurations come in quick succession, and an engine registers between them.
// What came together is applied once a key, the last word of each, in its order.
func TestReplacedChangesAreNotApplied(t *testing.T) {
	item := func(key string, revision model.Revision) platform.Item {
		return platform.Item{Key: key, Revision: revision}
	}
	in := []platform.Item{item("config", 1), item("servers/a", 2), item("config", 3), item("servers/b", 4), item("config", 5)}
	assert.DeepEqual(t, newest(in), []platform.Item{item("servers/a", 2), item("servers/b", 4), item("config", 5)})
	assert.DeepEqual(t, newest(in[:2]), in[:2])
}
