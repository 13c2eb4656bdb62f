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

// recordingSink records what a follower passes to it.
type recordingSink struct {
	mu       sync.Mutex
	items    map[string]string
	grace    map[string]time.Duration // by removed key
	resets   int
	synced   int
	restores int
}

func newRecordingSink() *recordingSink {
	return &recordingSink{items: map[string]string{}, grace: map[string]time.Duration{}}
}

func (s *recordingSink) Reset(page platform.Page, grace time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.resets++
	for k := range s.items {
		s.grace[k] = grace
	}
	s.items = map[string]string{}
	for _, it := range page.Items {
		s.items[it.Key] = string(it.Value)
		delete(s.grace, it.Key)
	}
}

func (s *recordingSink) Change(it platform.Item, grace time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if it.Removed {
		delete(s.items, it.Key)
		s.grace[it.Key] = grace
		return
	}
	s.items[it.Key] = string(it.Value)
}

func (s *recordingSink) HandleStoreRestore() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.restores++
}

func (s *recordingSink) Synced(time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.synced++
}

func (s *recordingSink) has(key, value string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.items[key] == value
}

func (s *recordingSink) graceOf(key string) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	g, ok := s.grace[key]
	return g, ok
}

// runFollower runs a follower in virtual time.
func runFollower(t *testing.T, f func(store *standin.Store, sink *recordingSink, fl *Follower), setup ...func(*Follower)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(context.Background())
		start := time.Now()
		store := standin.NewStore()
		sink := newRecordingSink()
		// The clock begins at one hour, because 0 means never.
		fl := &Follower{Store: store, Sink: sink, Clock: func() time.Duration { return time.Since(start) + time.Hour }}
		for _, set := range setup {
			set(fl)
		}
		done := make(chan struct{})
		go func() { fl.Run(ctx); close(done) }()
		defer func() { stop(); <-done }()
		time.Sleep(time.Second)
		f(store, sink, fl)
	})
}

func TestFollowerAppliesChanges(t *testing.T) {
	runFollower(t, func(store *standin.Store, sink *recordingSink, _ *Follower) {
		store.Put("k", []byte("1"))
		time.Sleep(300 * time.Millisecond)
		assert.Assert(t, sink.has("k", "1"))
		store.Remove("k")
		time.Sleep(300 * time.Millisecond)
		g, removed := sink.graceOf("k")
		assert.Assert(t, removed)
		assert.Equal(t, g, time.Duration(0), "without an outage there is no grace")
	})
}

// The store compacts its history while a key is removed during an outage. Without a
// read of the whole range the key would stay forever.
func TestFollowerReadsWholeRangeAfterCompaction(t *testing.T) {
	runFollower(t, func(store *standin.Store, sink *recordingSink, _ *Follower) {
		store.Put("goes", []byte("1"))
		store.Put("stays", []byte("1"))
		time.Sleep(300 * time.Millisecond)
		store.SetFaults(standin.StoreFaults{Refuse: true})
		time.Sleep(2 * time.Second)
		store.Remove("goes")
		store.Compact()
		store.SetFaults(standin.StoreFaults{})
		time.Sleep(2 * time.Second)
		assert.Assert(t, sink.has("stays", "1"))
		assert.Assert(t, sink.has("goes", ""))
		assert.Equal(t, sink.resets, 2)
	})
}

// Leases expire while the store is unavailable. Entries that are missing afterwards get
// time to register again.
func TestRemovalsAfterAnOutageGetGrace(t *testing.T) {
	runFollower(t, func(store *standin.Store, sink *recordingSink, _ *Follower) {
		store.Put("server", []byte("1"))
		time.Sleep(300 * time.Millisecond)
		store.SetFaults(standin.StoreFaults{Unresponsive: true})
		time.Sleep(5 * time.Second)
		store.Remove("server")
		store.SetFaults(standin.StoreFaults{})
		time.Sleep(3 * time.Second)
		g, removed := sink.graceOf("server")
		assert.Assert(t, removed)
		assert.Assert(t, g > 0 && g <= removalGrace, "%v", g)
	})
}

// Only this process was cut off and a peer stayed connected. What was removed meanwhile
// has exited and must get no requests.
func TestRemovalsGetNoGraceIfAPeerStayedConnected(t *testing.T) {
	connected := func(fl *Follower) {
		fl.PeersLastContact = func() time.Duration { return fl.Clock() - 200*time.Millisecond }
	}
	runFollower(t, func(store *standin.Store, sink *recordingSink, _ *Follower) {
		store.Put("server", []byte("1"))
		time.Sleep(300 * time.Millisecond)
		store.SetFaults(standin.StoreFaults{Refuse: true})
		time.Sleep(5 * time.Second)
		store.Remove("server")
		store.SetFaults(standin.StoreFaults{})
		time.Sleep(3 * time.Second)
		g, removed := sink.graceOf("server")
		assert.Assert(t, removed)
		assert.Equal(t, g, time.Duration(0))
	}, connected)
}

// A watch on an unresponsive connection must end before its timeout if a peer stays ahead, but
// not if the peer is ahead only briefly.
func TestFollowerReconnectsWhenAPeerStaysAhead(t *testing.T) {
	runFollower(t, func(store *standin.Store, sink *recordingSink, fl *Follower) {
		time.Sleep(2 * time.Second)
		revision := store.PutWithoutNotify("k", []byte("1"))
		fl.ObservePeerRevision(revision)
		time.Sleep(lagTimeout / 2)
		fl.ObservePeerRevision(revision)
		assert.Assert(t, !sink.has("k", "1"))
		time.Sleep(lagTimeout)
		fl.ObservePeerRevision(revision)
		time.Sleep(100 * time.Millisecond)
		assert.Assert(t, sink.has("k", "1"))
	}, func(fl *Follower) {
		fl.Picker = pickerWithPeers(fl, 20)
		fl.PollPeer = func(context.Context, string, model.Revision, time.Duration) (Updates, error) {
			return Updates{}, ErrNotWatching
		}
	})
}

// A peer advertises a revision that the store does not have. One urgent query finds
// that, and the router must return to long watches.
func TestPeerRevisionBeyondTheStoresIsCorrected(t *testing.T) {
	runFollower(t, func(store *standin.Store, _ *recordingSink, fl *Follower) {
		time.Sleep(2 * time.Second)
		before := store.Calls().Watches
		fl.ObservePeerRevision(1 << 40)
		time.Sleep(2 * lagTimeout)
		fl.ObservePeerRevision(1 << 40)
		time.Sleep(30 * time.Second)
		assert.Assert(t, !fl.isBehind())
		assert.Assert(t, store.Calls().Watches-before <= 25, "%d watches", store.Calls().Watches-before)
	}, func(fl *Follower) {
		fl.Picker = pickerWithPeers(fl, 20)
		fl.PollPeer = func(context.Context, string, model.Revision, time.Duration) (Updates, error) {
			return Updates{}, ErrNotWatching
		}
	})
}

// A watcher that still decodes an answer must not tell a polling router its age, or an old
// configuration would count as the newest.
func TestAgeOfUpdatesIsThatOfAppliedChanges(t *testing.T) {
	const decoding = 500 * time.Millisecond
	var slow slowSink
	runFollower(t, func(store *standin.Store, _ *recordingSink, fl *Follower) {
		slow.delay.Store(int64(decoding))
		time.Sleep(time.Second)
		store.Put("op/config", []byte("2"))
		time.Sleep(decoding / 2)
		updates, err := fl.WaitForUpdates(t.Context(), fl.Revision()-1, 0)
		assert.NilError(t, err)
		assert.Equal(t, len(updates.Items), 0)
		assert.Assert(t, updates.Age > decoding, "the last applied answer came before the change: %v", updates.Age)
	}, func(fl *Follower) {
		slow.Sink = fl.Sink
		fl.Sink = &slow
		fl.Replica = &replica.Replica{}
	})
}

// slowSink delays each change.
type slowSink struct {
	Sink
	delay atomic.Int64
}

func (s *slowSink) Change(item platform.Item, grace time.Duration) {
	time.Sleep(time.Duration(s.delay.Load()))
	s.Sink.Change(item, grace)
}

// pickerWithPeers returns the picker of a router that watches, with peers that watch
// too, each in a failure domain of its own.
func pickerWithPeers(fl *Follower, peers int) *Picker {
	var all []Router
	for i := range peers {
		all = append(all, Router{Address: fmt.Sprint("r", i), Domain: fmt.Sprint("d", i)})
	}
	return &Picker{Self: "self", Domain: "own", Routers: func() []Router { return all }, Clock: fl.Clock}
}

// A change ends the watches of all routers at once. The next ones must end at different
// times, so that one of them detects an unresponsive connection.
func TestWatchTimeoutsAreRandomized(t *testing.T) {
	f := &Follower{Clock: func() time.Duration { return time.Hour }}
	f.Picker = pickerWithPeers(f, 20)
	f.watching.Store(true)
	shortest, longest := maxWatchTimeout, time.Duration(0)
	for range 200 {
		w := f.watchTimeout()
		assert.Assert(t, w >= minWatchTimeout && w <= maxWatchTimeout)
		shortest = min(shortest, w)
		longest = max(longest, w)
	}
	assert.Assert(t, longest-shortest > time.Second)
}

// Guards against calls beyond one per watch timeout.
func TestIdleStoreCostsOneCallPerWatchTimeout(t *testing.T) {
	runFollower(t, func(store *standin.Store, _ *recordingSink, _ *Follower) {
		before := store.Calls().Watches
		time.Sleep(30 * time.Second)
		assert.Assert(t, store.Calls().Watches-before <= 21)
	})
}

// Fifty engines register one after the other. An idle router must not end a watch for each, and
// one that serves callers must not wait.
func TestChangesAreBatchedLongerWhileIdle(t *testing.T) {
	var idle atomic.Bool
	idle.Store(true)
	runFollower(t, func(store *standin.Store, _ *recordingSink, _ *Follower) {
		change := func(n int) int {
			before := store.Calls().Watches
			for i := range n {
				store.Put(fmt.Sprint("servers/", i), []byte("x"))
				time.Sleep(150 * time.Millisecond)
			}
			return store.Calls().Watches - before
		}
		const changes = 54
		const batches = int(changes*150*time.Millisecond/idleBatchDelay) + 1
		calls := change(changes)
		assert.Assert(t, calls <= batches+1, "%d calls", calls)
		idle.Store(false)
		time.Sleep(2 * idleBatchDelay)
		calls = change(changes)
		assert.Assert(t, calls >= changes*3/4, "%d calls", calls)
	}, func(fl *Follower) { fl.Idle = idle.Load })
}

// Several changes of one key arrive in one answer. Only the last of each key must be
// applied, in the order of the last ones.
func TestLatestPerKeyDropsOverwrittenChanges(t *testing.T) {
	item := func(key string, revision model.Revision) platform.Item {
		return platform.Item{Key: key, Revision: revision}
	}
	in := []platform.Item{item("config", 1), item("servers/a", 2), item("config", 3), item("servers/b", 4), item("config", 5)}
	assert.DeepEqual(t, latestPerKey(in), []platform.Item{item("servers/a", 2), item("servers/b", 4), item("config", 5)})
	assert.DeepEqual(t, latestPerKey(in[:2]), in[:2])
}
