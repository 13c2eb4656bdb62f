package follow

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/skylarkwood/skylarkwood/internal/model"
	"github.com/skylarkwood/skylarkwood/internal/platform"
	"github.com/skylarkwood/skylarkwood/internal/state/replica"
	"github.com/skylarkwood/skylarkwood/platform/standin"
)

const (
	linkDelay             = time.Millisecond
	testHeartbeatInterval = 250 * time.Millisecond // between two messages of a router to all others
	testHeartbeatTimeout  = 1500 * time.Millisecond
	testMaxValue          = 16 << 10 // bytes; links omit larger values
)

var errUnreachable = errors.New("peer unreachable")

// fleet is a set of routers with one store in virtual time. Their followers are real.
// The links between them and all faults are simulated.
type fleet struct {
	store   *standin.Store
	started time.Time
	nodes   []*node

	mu  sync.Mutex
	cut map[[2]string]bool // from, to
}

// node is one router of a fleet.
type node struct {
	platform.Store
	fleet *fleet
	Router

	mu            sync.Mutex
	fl            *Follower
	sink          *recordingSink
	stop          context.CancelFunc
	done          chan struct{}
	lastHeartbeat map[string]time.Duration
	refused       bool // the store rejects its calls
	frozen        bool // its messages and calls get no answer, in both directions
	// readsFail makes reads of single keys fail.
	readsFail bool
	link      *slowLink // delays reads of single keys, unless nil
	// fullUpdates is the number of times that this router got the full contents from a peer.
	fullUpdates int
	// cancelledPolls is the number of polls that this router gave up because peers were ahead.
	cancelledPolls int
	idle           bool // no callers have come
}

func newFleet(domains, each int) *fleet {
	f := &fleet{store: standin.NewStore(), started: time.Now(), cut: map[[2]string]bool{}}
	for d := range domains {
		for i := range each {
			n := &node{Store: f.store, fleet: f, Router: Router{Address: fmt.Sprintf("r%d.%d", d, i), Domain: fmt.Sprint("d", d)}}
			f.nodes = append(f.nodes, n)
		}
	}
	for _, n := range f.nodes {
		n.start()
	}
	return f
}

// clock begins at one hour, because 0 means never.
func (f *fleet) clock() time.Duration { return time.Since(f.started) + time.Hour }

func (f *fleet) isCut(from, to string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cut[[2]string{from, to}]
}

func (f *fleet) setCut(from, to string, cut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cut[[2]string{from, to}] = cut
}

func (f *fleet) node(addr string) *node {
	return f.nodes[slices.IndexFunc(f.nodes, func(n *node) bool { return n.Address == addr })]
}

func (f *fleet) stop() {
	for _, n := range f.nodes {
		n.kill()
	}
}

// start runs the router with empty contents.
func (n *node) start() {
	ctx, stop := context.WithCancel(context.Background())
	sink := newRecordingSink()
	fl := &Follower{Store: n, Sink: sink, Clock: n.fleet.clock, Replica: &replica.Replica{}, PollPeer: n.pollPeer, Idle: n.isIdle}
	fl.Picker = &Picker{Self: n.Address, Domain: n.Domain, Routers: n.routers, Clock: n.fleet.clock}
	n.mu.Lock()
	n.fl, n.sink, n.stop, n.done, n.lastHeartbeat = fl, sink, stop, make(chan struct{}), map[string]time.Duration{}
	n.mu.Unlock()
	var running sync.WaitGroup
	running.Go(func() { fl.Run(ctx) })
	running.Go(func() { n.sendHeartbeats(ctx) })
	done := n.done
	go func() { running.Wait(); close(done) }()
}

func (n *node) kill() {
	if fl, _ := n.running(); fl == nil {
		return
	}
	n.stop()
	<-n.done
	n.mu.Lock()
	defer n.mu.Unlock()
	n.fl = nil
}

func (n *node) running() (*Follower, *recordingSink) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.fl, n.sink
}

func (n *node) set(f func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	f()
}

// sendHeartbeats sends this router's revision to all others.
func (n *node) sendHeartbeats(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(testHeartbeatInterval)
		fl, _ := n.running()
		if fl == nil || n.isFrozen() {
			continue
		}
		for _, other := range n.fleet.nodes {
			if other != n && !n.fleet.isCut(n.Address, other.Address) && !other.isFrozen() {
				other.receiveHeartbeat(n.Address, fl.AdvertisedRevision())
			}
		}
	}
}

func (n *node) receiveHeartbeat(from string, revision model.Revision) {
	n.mu.Lock()
	n.lastHeartbeat[from] = n.fleet.clock()
	fl := n.fl
	n.mu.Unlock()
	if fl != nil {
		fl.ObservePeerRevision(revision)
	}
}

func (n *node) isIdle() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.idle
}

func (n *node) isFrozen() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.frozen
}

func (n *node) routers() []Router {
	n.mu.Lock()
	defer n.mu.Unlock()
	var out []Router
	for _, other := range n.fleet.nodes {
		if at, ok := n.lastHeartbeat[other.Address]; ok && n.fleet.clock()-at < testHeartbeatTimeout {
			out = append(out, other.Router)
		}
	}
	return out
}

func (n *node) pollPeer(ctx context.Context, addr string, after model.Revision, timeout time.Duration) (Updates, error) {
	to := n.fleet.node(addr)
	time.Sleep(linkDelay)
	fl, _ := to.running()
	switch {
	case fl == nil:
		return Updates{}, errUnreachable
	case to.isFrozen() || n.isFrozen() || n.fleet.isCut(n.Address, addr) || n.fleet.isCut(addr, n.Address):
		<-ctx.Done()
		return Updates{}, ctx.Err()
	}
	updates, err := fl.WaitForUpdates(ctx, after, timeout)
	if errors.Is(ctx.Err(), context.Canceled) {
		n.set(func() { n.cancelledPolls++ })
	}
	if updates.Full {
		n.set(func() { n.fullUpdates++ })
	}
	for i, it := range updates.Items {
		if len(it.Value) > testMaxValue {
			updates.Items[i].Value, updates.Items[i].Omitted = nil, true
		}
	}
	time.Sleep(linkDelay)
	if n.fleet.isCut(addr, n.Address) || to.isFrozen() {
		<-ctx.Done()
		return Updates{}, ctx.Err()
	}
	return updates, err
}

// checkReachable returns an error if the store rejects this router's calls, and blocks
// while the router is frozen.
func (n *node) checkReachable(ctx context.Context) error {
	n.mu.Lock()
	refused, frozen := n.refused, n.frozen
	n.mu.Unlock()
	if frozen {
		<-ctx.Done()
		return platform.ErrUnavailable
	}
	if refused {
		return platform.ErrUnavailable
	}
	return nil
}

func (n *node) Range(ctx context.Context, prefix string) (platform.Page, error) {
	if err := n.checkReachable(ctx); err != nil {
		return platform.Page{}, err
	}
	return n.Store.Range(ctx, prefix)
}

func (n *node) Watch(ctx context.Context, prefix string, after model.Revision, timeout time.Duration) (platform.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout+time.Second)
	defer cancel()
	if err := n.checkReachable(ctx); err != nil {
		return platform.Page{}, err
	}
	page, err := n.Store.Watch(ctx, prefix, after, timeout)
	if n.isFrozen() {
		<-ctx.Done()
		return platform.Page{}, platform.ErrUnavailable
	}
	return page, err
}

func (n *node) Get(ctx context.Context, key string) (platform.Item, error) {
	if !n.readsSucceed() {
		return platform.Item{}, platform.ErrUnavailable
	}
	return n.receive(ctx, n.Store.Get, key)
}

func (n *node) Peek(ctx context.Context, key string) (platform.Item, error) {
	if !n.readsSucceed() {
		return platform.Item{}, platform.ErrUnavailable
	}
	return n.receive(ctx, n.Store.Peek, key)
}

// receive reads a key and returns its item once it has crossed this router's link.
func (n *node) receive(ctx context.Context, read func(ctx context.Context, key string) (platform.Item, error), key string) (platform.Item, error) {
	n.mu.Lock()
	link := n.link
	n.mu.Unlock()
	it, err := read(ctx, key)
	if err == nil && link != nil {
		err = link.receive(ctx, len(it.Value))
	}
	return it, err
}

func (n *node) readsSucceed() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.readsFail && !n.refused && !n.frozen
}

// without returns the routers whose contents lack a key's value.
func (f *fleet) without(key, value string) []string {
	var out []string
	for _, n := range f.nodes {
		if _, sink := n.running(); !sink.has(key, value) {
			out = append(out, n.Address)
		}
	}
	return out
}

// differs describes the difference between a router's contents and the store; it is
// empty if there is none.
func (f *fleet) differs(n *node) string {
	fl, sink := n.running()
	sink.mu.Lock()
	defer sink.mu.Unlock()
	keys := f.store.Keys("")
	state := fmt.Sprintf("%s, complete up to %d, watching %t,", n.Address, fl.Revision(), fl.Watching())
	for _, key := range keys {
		it, err := f.store.Peek(context.Background(), key)
		if err != nil || sink.items[key] != string(it.Value) {
			return fmt.Sprintf("%s has %.40q for %s, the store %.40q (%v)", state, sink.items[key], key, it.Value, err)
		}
	}
	if len(sink.items) != len(keys) {
		return fmt.Sprintf("%s has %d keys, the store %d", state, len(sink.items), len(keys))
	}
	return ""
}

func inFleet(t *testing.T, domains, each int, test func(t *testing.T, f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(domains, each)
		defer f.stop()
		time.Sleep(5 * time.Second)
		test(t, f)
	})
}

// A hundred routers in five domains while an entry changes every 400 ms. Ten watches
// per change reach all routers within the batch delay.
func TestChangesReachAHundredRouters(t *testing.T) {
	inFleet(t, 5, 20, func(t *testing.T, f *fleet) {
		const changes = 50
		before := f.store.Calls()
		for i := range changes {
			value := fmt.Sprint(i)
			f.store.Put("servers/x", []byte(value))
			time.Sleep(maxBatchDelay + 20*time.Millisecond)
			assert.Equal(t, len(f.without("servers/x", value)), 0, "change %d: %v", i, f.without("servers/x", value))
			time.Sleep(80 * time.Millisecond)
		}
		calls := f.store.Calls()
		assert.Assert(t, calls.Watches-before.Watches <= 10*(changes+5), "%d watches", calls.Watches-before.Watches)
		assert.Equal(t, calls.Reads, before.Reads)
	})
}

// The history of the store is compacted while entries change, again and again. Each watcher
// reads the range, and the others must get only what changed: the full contents for all of them
// at once keep the links of the watchers busy for seconds.
func TestCompactionsReachAHundredRoutersAsDifferences(t *testing.T) {
	inFleet(t, 5, 20, func(t *testing.T, f *fleet) {
		for i := range 300 {
			f.store.Put(fmt.Sprint("servers/", i), []byte("ready"))
		}
		time.Sleep(2 * time.Second)
		full := func() (n int) {
			for _, node := range f.nodes {
				node.set(func() { n += node.fullUpdates })
			}
			return n
		}
		before, calls := full(), f.store.Calls()
		const compactions = 5
		for i := range compactions {
			f.store.Put("servers/0", []byte(fmt.Sprint("draining", i)))
			time.Sleep(10 * time.Millisecond)
			// The watchers wait for further changes now.
			f.store.Put("servers/0", []byte(fmt.Sprint("ready", i)))
			f.store.Remove(fmt.Sprint("servers/", i+1))
			f.store.Compact()
			time.Sleep(time.Second)
			for _, n := range f.nodes {
				assert.Equal(t, f.differs(n), "", "compaction %d", i)
			}
		}
		assert.Equal(t, full()-before, 0)
		assert.Equal(t, f.store.Calls().Reads-calls.Reads, compactions*5*watchersPerDomain, "only watchers read the range")
	})
}

// Entries change all the time, so that at any moment some watcher is ahead of the others. Routers
// must stay with their watcher as long as it keeps up, or they all turn to other domains and to
// the store.
func TestContinuousChangesMoveNoRouterFromItsWatcher(t *testing.T) {
	for _, idle := range []bool{false, true} {
		inFleet(t, 5, 8, func(t *testing.T, f *fleet) {
			for _, n := range f.nodes {
				n.set(func() { n.idle = idle; n.cancelledPolls = 0 })
			}
			before := f.store.Calls().Watches
			const duration, interval = 8 * time.Second, 50 * time.Millisecond
			for i := range int(duration / interval) {
				f.store.Put(fmt.Sprint("servers/", i%100), []byte(fmt.Sprint(i)))
				time.Sleep(interval)
			}
			watches, cancelled := f.store.Calls().Watches-before, 0
			for _, n := range f.nodes {
				n.set(func() { cancelled += n.cancelledPolls })
			}
			assert.Equal(t, cancelled, 0, "idle: %t", idle)
			delay := maxBatchDelay - 50*time.Millisecond
			if idle {
				delay = idleBatchDelay
			}
			watchers := 5 * watchersPerDomain
			assert.Assert(t, watches <= watchers*(int(duration/delay)+5), "%d watches by %d watchers, idle: %t", watches, watchers, idle)
		})
	}
}

// Guards against calls to an idle store beyond the watchers' timeouts.
func TestIdleStoreIsPolledOnlyByWatchers(t *testing.T) {
	inFleet(t, 5, 20, func(t *testing.T, f *fleet) {
		before := f.store.Calls().Watches
		time.Sleep(30 * time.Second)
		calls := f.store.Calls().Watches - before
		assert.Assert(t, calls <= 10*30*2/3+30, "%d watches", calls)
	})
}

// Both watchers of a domain freeze as an engine begins to drain. All other routers must
// know of it well before the engine exits, without all of the domain calling the store.
func TestChangesReachRoutersWhenWatchersOfADomainFreeze(t *testing.T) {
	inFleet(t, 5, 20, func(t *testing.T, f *fleet) {
		var frozen []string
		for _, n := range f.nodes {
			fl, _ := n.running()
			if n.Domain == "d0" && fl.Watching() {
				n.set(func() { n.frozen = true })
				frozen = append(frozen, n.Address)
			}
		}
		assert.Equal(t, len(frozen), watchersPerDomain)
		before := f.store.Calls()
		f.store.Put("servers/x", []byte("draining"))
		time.Sleep(2 * time.Second)
		assert.DeepEqual(t, f.without("servers/x", "draining"), frozen)
		assert.Assert(t, f.store.Calls().Watches-before.Watches < 60, "%d watches", f.store.Calls().Watches-before.Watches)
		time.Sleep(3 * time.Second)
		watching := 0
		for _, n := range f.nodes {
			fl, _ := n.running()
			if n.Domain == "d0" && !n.isFrozen() && fl.Watching() {
				watching++
			}
		}
		assert.Equal(t, watching, watchersPerDomain, "others took over")
	})
}

// The store rejects the calls of some routers, watchers among them. These routers must
// still learn of changes, or they would send requests to engines that exited.
func TestChangesReachRoutersThatTheStoreRefuses(t *testing.T) {
	inFleet(t, 3, 7, func(t *testing.T, f *fleet) {
		for i, n := range f.nodes {
			fl, _ := n.running()
			n.set(func() { n.refused = i%3 == 0 || n.Domain == "d0" && fl.Watching() })
		}
		time.Sleep(2 * time.Second)
		for i := range 10 {
			value := fmt.Sprint(i)
			f.store.Put("servers/x", []byte(value))
			time.Sleep(2 * time.Second)
			assert.Equal(t, len(f.without("servers/x", value)), 0, "change %d: %v", i, f.without("servers/x", value))
		}
	})
}

// During an outage for all, only watchers call the store.
func TestOnlyWatchersRetryDuringAnOutage(t *testing.T) {
	inFleet(t, 5, 20, func(t *testing.T, f *fleet) {
		f.store.SetFaults(standin.StoreFaults{Refuse: true})
		time.Sleep(10 * time.Second)
		watching := 0
		for _, n := range f.nodes {
			fl, _ := n.running()
			if fl.Watching() {
				watching++
			}
		}
		assert.Equal(t, watching, 10)
		f.store.Put("servers/x", []byte("back"))
		f.store.SetFaults(standin.StoreFaults{})
		time.Sleep(maxRetryDelay + maxBatchDelay + 100*time.Millisecond)
		assert.Equal(t, len(f.without("servers/x", "back")), 0, "%v", f.without("servers/x", "back"))
	})
}

// A router that polls a watcher must give a removed entry the same grace after an
// outage.
func TestRemovalGraceReachesPolledRouters(t *testing.T) {
	inFleet(t, 2, 5, func(t *testing.T, f *fleet) {
		f.store.Put("servers/x", []byte("1"))
		time.Sleep(time.Second)
		f.store.SetFaults(standin.StoreFaults{Unresponsive: true})
		time.Sleep(4 * time.Second)
		f.store.Remove("servers/x")
		f.store.SetFaults(standin.StoreFaults{})
		time.Sleep(3 * time.Second)
		for _, n := range f.nodes {
			_, sink := n.running()
			g, removed := sink.graceOf("servers/x")
			assert.Assert(t, removed, n.Address)
			assert.Assert(t, g > 0 && g <= removalGrace, "%s: %v", n.Address, g)
		}
	})
}

// Values too large for a link are read from the store, with a Peek first and a Get if
// that copy is old.
func TestLargeValuesAreReadFromTheStore(t *testing.T) {
	for _, stale := range []bool{false, true} {
		inFleet(t, 3, 7, func(t *testing.T, f *fleet) {
			f.store.SetFaults(standin.StoreFaults{StalePeeks: stale})
			before := f.store.Calls()
			large := string(make([]byte, 64<<10))
			f.store.Put("op/config", []byte(large))
			time.Sleep(time.Second)
			assert.Equal(t, len(f.without("op/config", large)), 0, "%v", f.without("op/config", large))
			calls := f.store.Calls()
			assert.Equal(t, calls.Peeks-before.Peeks, 21-6)
			assert.Equal(t, calls.Reads-before.Reads, map[bool]int{false: 0, true: 21 - 6}[stale])
		})
	}
}

// While a router cannot read a large value, it applies other changes but does not
// report its contents as complete.
func TestUpdatesWithAnUnreadValueDoNotReportSynced(t *testing.T) {
	inFleet(t, 1, 5, func(t *testing.T, f *fleet) {
		i := slices.IndexFunc(f.nodes, func(n *node) bool { fl, _ := n.running(); return !fl.Watching() })
		n := f.nodes[i]
		_, sink := n.running()
		n.set(func() { n.readsFail = true })
		f.store.Put("op/config", make([]byte, 64<<10))
		time.Sleep(time.Second)
		sink.mu.Lock()
		before := sink.synced
		sink.mu.Unlock()
		f.store.Put("servers/x", []byte("1"))
		time.Sleep(3 * time.Second)
		assert.Assert(t, sink.has("servers/x", "1"))
		sink.mu.Lock()
		defer sink.mu.Unlock()
		assert.Equal(t, sink.synced, before)
	})
}

// After random faults of routers, links and the store, every router must have the contents of
// the store within seconds.
func TestRoutersConvergeAfterRandomFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		domains, each := rapid.IntRange(1, 3).Draw(rt, "domains"), rapid.IntRange(1, 4).Draw(rt, "each")
		var steps []func(f *fleet)
		for range rapid.IntRange(5, 40).Draw(rt, "steps") {
			steps = append(steps, drawStep(rt, domains*each))
		}
		synctest.Test(t, func(*testing.T) {
			f := newFleet(domains, each)
			defer f.stop()
			for _, step := range steps {
				step(f)
			}
			f.heal()
			f.store.Put("last", []byte("1"))
			time.Sleep(8 * time.Second)
			for _, n := range f.nodes {
				if d := f.differs(n); d != "" {
					t.Error(d)
					rt.Error(d)
				}
			}
		})
	})
}

// heal ends all faults.
func (f *fleet) heal() {
	f.store.SetFaults(standin.StoreFaults{})
	f.mu.Lock()
	clear(f.cut)
	f.mu.Unlock()
	for _, n := range f.nodes {
		n.set(func() { n.refused, n.frozen = false, false })
		if fl, _ := n.running(); fl == nil {
			n.start()
		}
	}
}

func drawStep(rt *rapid.T, nodes int) func(f *fleet) {
	key := fmt.Sprint("k", rapid.IntRange(0, 5).Draw(rt, "key"))
	a, b := rapid.IntRange(0, nodes-1).Draw(rt, "a"), rapid.IntRange(0, nodes-1).Draw(rt, "b")
	on := rapid.Bool().Draw(rt, "on")
	pause := time.Duration(rapid.IntRange(0, 1500).Draw(rt, "ms")) * time.Millisecond
	size := rapid.SampledFrom([]int{1, 1, 1, 20 << 10}).Draw(rt, "size")
	what := rapid.IntRange(0, 9).Draw(rt, "what")
	return func(f *fleet) {
		n := f.nodes[a]
		switch what {
		case 0, 1, 2:
			f.store.Put(key, append([]byte(fmt.Sprint(pause)), make([]byte, size)...))
		case 3:
			f.store.Remove(key)
		case 4:
			n.kill()
			time.Sleep(pause / 2)
			n.start()
		case 5:
			f.setCut(n.Address, f.nodes[b].Address, on)
		case 6:
			n.set(func() { n.frozen = on })
		case 7:
			n.set(func() { n.refused = on })
		case 8:
			f.store.Compact()
		case 9:
			f.store.SetFaults(standin.StoreFaults{Refuse: on && a%2 == 0, Unresponsive: on && a%2 == 1, StalePeeks: b%2 == 0})
		}
		time.Sleep(pause)
	}
}
