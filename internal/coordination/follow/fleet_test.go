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
	linkDelay  = time.Millisecond
	modelBeats = 250 * time.Millisecond // between two messages of a router to all others
	modelHeard = 1500 * time.Millisecond
	modelLarge = 16 << 10 // bytes that a link does not pass on
)

var errCutOff = errors.New("cut off")

// fleet is routers before one store, in virtual time: their followers are real, the
// links between them and what goes wrong with them are modelled.
type fleet struct {
	store *standin.Store
	began time.Time
	nodes []*node

	mu  sync.Mutex
	cut map[[2]string]bool // one way, from and to
}

// node is one router of a fleet.
type node struct {
	platform.Store
	fleet *fleet
	Router

	mu     sync.Mutex
	fl     *Follower
	p      *picture
	stop   context.CancelFunc
	done   chan struct{}
	heard  map[string]time.Duration
	denied bool // the store turns it away
	silent bool // it neither says nor hears anything, and does not know
	// noReads makes the store answer no read of a single key.
	noReads bool
}

func newFleet(domains, each int) *fleet {
	f := &fleet{store: standin.NewStore(), began: time.Now(), cut: map[[2]string]bool{}}
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

func (f *fleet) clock() time.Duration { return time.Since(f.began) + time.Hour }

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

// start runs the router with an empty picture.
func (n *node) start() {
	ctx, stop := context.WithCancel(context.Background())
	p := newPicture()
	fl := &Follower{Store: n, Sink: p, Clock: n.fleet.clock, Replica: &replica.Replica{}, PollPeer: n.ask}
	fl.Picker = &Picker{Self: n.Address, Domain: n.Domain, Routers: n.routers, Clock: n.fleet.clock}
	n.mu.Lock()
	n.fl, n.p, n.stop, n.done, n.heard = fl, p, stop, make(chan struct{}), map[string]time.Duration{}
	n.mu.Unlock()
	var running sync.WaitGroup
	running.Go(func() { fl.Run(ctx) })
	running.Go(func() { n.beat(ctx) })
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

func (n *node) running() (*Follower, *picture) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.fl, n.p
}

func (n *node) set(f func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	f()
}

// beat tells all others up to where this router's picture is complete.
func (n *node) beat(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(modelBeats)
		fl, _ := n.running()
		if fl == nil || n.isSilent() {
			continue
		}
		for _, other := range n.fleet.nodes {
			if other != n && !n.fleet.isCut(n.Address, other.Address) && !other.isSilent() {
				other.hear(n.Address, fl.AdvertisedRevision())
			}
		}
	}
}

func (n *node) hear(from string, revision model.Revision) {
	n.mu.Lock()
	n.heard[from] = n.fleet.clock()
	fl := n.fl
	n.mu.Unlock()
	if fl != nil {
		fl.ObservePeerRevision(revision)
	}
}

func (n *node) isSilent() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.silent
}

func (n *node) routers() []Router {
	n.mu.Lock()
	defer n.mu.Unlock()
	var out []Router
	for _, other := range n.fleet.nodes {
		if at, ok := n.heard[other.Address]; ok && n.fleet.clock()-at < modelHeard {
			out = append(out, other.Router)
		}
	}
	return out
}

func (n *node) ask(ctx context.Context, addr string, after model.Revision, most time.Duration) (Updates, error) {
	to := n.fleet.node(addr)
	time.Sleep(linkDelay)
	fl, _ := to.running()
	switch {
	case fl == nil:
		return Updates{}, errCutOff
	case to.isSilent() || n.isSilent() || n.fleet.isCut(n.Address, addr) || n.fleet.isCut(addr, n.Address):
		<-ctx.Done()
		return Updates{}, ctx.Err()
	}
	news, err := fl.WaitForUpdates(ctx, after, most)
	for i, it := range news.Items {
		if len(it.Value) > modelLarge {
			news.Items[i].Value, news.Items[i].Omitted = nil, true
		}
	}
	time.Sleep(linkDelay)
	if n.fleet.isCut(addr, n.Address) || to.isSilent() {
		<-ctx.Done()
		return Updates{}, ctx.Err()
	}
	return news, err
}

// reach tells whether the store answers this router, and waits where it is silent.
func (n *node) reach(ctx context.Context) error {
	n.mu.Lock()
	denied, silent := n.denied, n.silent
	n.mu.Unlock()
	if silent {
		<-ctx.Done()
		return platform.ErrUnavailable
	}
	if denied {
		return platform.ErrUnavailable
	}
	return nil
}

func (n *node) Range(ctx context.Context, prefix string) (platform.Page, error) {
	if err := n.reach(ctx); err != nil {
		return platform.Page{}, err
	}
	return n.Store.Range(ctx, prefix)
}

func (n *node) Watch(ctx context.Context, prefix string, after model.Revision, most time.Duration) (platform.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, most+time.Second)
	defer cancel()
	if err := n.reach(ctx); err != nil {
		return platform.Page{}, err
	}
	page, err := n.Store.Watch(ctx, prefix, after, most)
	if n.isSilent() {
		<-ctx.Done()
		return platform.Page{}, platform.ErrUnavailable
	}
	return page, err
}

func (n *node) Get(ctx context.Context, key string) (platform.Item, error) {
	if !n.reads() {
		return platform.Item{}, platform.ErrUnavailable
	}
	return n.Store.Get(ctx, key)
}

func (n *node) Peek(ctx context.Context, key string) (platform.Item, error) {
	if !n.reads() {
		return platform.Item{}, platform.ErrUnavailable
	}
	return n.Store.Peek(ctx, key)
}

func (n *node) reads() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.noReads && !n.denied && !n.silent
}

// late lists the routers that lack a key's value.
func (f *fleet) late(key, value string) []string {
	var out []string
	for _, n := range f.nodes {
		if _, p := n.running(); !p.has(key, value) {
			out = append(out, n.Address)
		}
	}
	return out
}

// same tells how a router's picture differs from the store; empty if not.
func (f *fleet) differs(n *node) string {
	fl, p := n.running()
	p.mu.Lock()
	defer p.mu.Unlock()
	there := f.store.Keys("")
	at := fmt.Sprintf("%s, complete up to %d, watching %t,", n.Address, fl.Revision(), fl.Watching())
	for _, key := range there {
		it, err := f.store.Peek(context.Background(), key)
		if err != nil || p.items[key] != string(it.Value) {
			return fmt.Sprintf("%s has %.40q for %s, the store %.40q (%v)", at, p.items[key], key, it.Value, err)
		}
	}
	if len(p.items) != len(there) {
		return fmt.Sprintf("%s has %d keys, the store %d", at, len(p.items), len(there))
	}
	return ""
}

func inFleet(t *testing.T, domains, each int, play func(t *testing.T, f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(domains, each)
		defer f.stop()
		time.Sleep(5 * time.Second)
		play(t, f)
	})
}

// The load: a hundred routers in five domains while engines are replaced, a change each
// 400 ms. Asked by each router, the store would answer a hundred calls a change; it
// answers ten, and everybody knows within the time in which changes gather.
func TestChangesReachAHundredRouters(t *testing.T) {
	inFleet(t, 5, 20, func(t *testing.T, f *fleet) {
		const changes = 50
		before := f.store.Calls()
		for i := range changes {
			value := fmt.Sprint(i)
			f.store.Put("servers/x", []byte(value))
			time.Sleep(mostGather + 20*time.Millisecond)
			assert.Equal(t, len(f.late("servers/x", value)), 0, "change %d: %v", i, f.late("servers/x", value))
			time.Sleep(80 * time.Millisecond)
		}
		calls := f.store.Calls()
		assert.Assert(t, calls.Watches-before.Watches <= 10*(changes+5), "%d watches", calls.Watches-before.Watches)
		assert.Equal(t, calls.Reads, before.Reads)
	})
}

// Nothing changes. The calls are those of the watchers' waits, a hundredth of a call a
// second and router beyond them at most.
func TestAHundredRoutersAtRest(t *testing.T) {
	inFleet(t, 5, 20, func(t *testing.T, f *fleet) {
		before := f.store.Calls().Watches
		time.Sleep(30 * time.Second)
		calls := f.store.Calls().Watches - before
		assert.Assert(t, calls <= 10*30*2/3+30, "%d watches", calls)
	})
}

// Both watchers of a domain go silent at one moment, as when they freeze, and nobody is
// told. An engine begins to drain right then: every other router must know of it well
// before the engine may end, and the store must not be asked by all of the domain.
func TestWatchersOfADomainGoSilent(t *testing.T) {
	inFleet(t, 5, 20, func(t *testing.T, f *fleet) {
		var gone []string
		for _, n := range f.nodes {
			fl, _ := n.running()
			if n.Domain == "d0" && fl.Watching() {
				n.set(func() { n.silent = true })
				gone = append(gone, n.Address)
			}
		}
		assert.Equal(t, len(gone), watchersPerDomain)
		before := f.store.Calls()
		f.store.Put("servers/x", []byte("draining"))
		time.Sleep(2 * time.Second)
		assert.DeepEqual(t, f.late("servers/x", "draining"), gone)
		assert.Assert(t, f.store.Calls().Watches-before.Watches < 60, "%d watches", f.store.Calls().Watches-before.Watches)
		time.Sleep(3 * time.Second)
		watching := 0
		for _, n := range f.nodes {
			fl, _ := n.running()
			if n.Domain == "d0" && !n.isSilent() && fl.Watching() {
				watching++
			}
		}
		assert.Equal(t, watching, watchersPerDomain, "others took over")
	})
}

// The store turns away some routers, watchers among them, and serves the rest. Those that
// it turns away hear of changes all the same: they would else send work to engines that
// left, for as long as it lasts.
func TestRoutersThatTheStoreTurnsAway(t *testing.T) {
	inFleet(t, 3, 7, func(t *testing.T, f *fleet) {
		for i, n := range f.nodes {
			fl, _ := n.running()
			n.set(func() { n.denied = i%3 == 0 || n.Domain == "d0" && fl.Watching() })
		}
		time.Sleep(2 * time.Second)
		for i := range 10 {
			value := fmt.Sprint(i)
			f.store.Put("servers/x", []byte(value))
			time.Sleep(2 * time.Second)
			assert.Equal(t, len(f.late("servers/x", value)), 0, "change %d: %v", i, f.late("servers/x", value))
		}
	})
}

// The store is away for all. Calls into an outage are priced too: those who ask a watcher
// stay with it, and only watchers look whether the store is back.
func TestAnOutageIsWatchedByFew(t *testing.T) {
	inFleet(t, 5, 20, func(t *testing.T, f *fleet) {
		f.store.SetFaults(standin.StoreFaults{Refuse: true})
		time.Sleep(10 * time.Second)
		asking := 0
		for _, n := range f.nodes {
			fl, _ := n.running()
			if fl.Watching() {
				asking++
			}
		}
		assert.Equal(t, asking, 10)
		f.store.Put("servers/x", []byte("back"))
		f.store.SetFaults(standin.StoreFaults{})
		time.Sleep(longestPause + mostGather + 100*time.Millisecond)
		assert.Equal(t, len(f.late("servers/x", "back")), 0, "%v", f.late("servers/x", "back"))
	})
}

// A router is told of an entry's removal after an outage by a watcher. The entry may be
// written again within two seconds, and its server must get work meanwhile, also from a
// router that has not asked the store itself.
func TestGraceIsPassedOn(t *testing.T) {
	inFleet(t, 2, 5, func(t *testing.T, f *fleet) {
		f.store.Put("servers/x", []byte("1"))
		time.Sleep(time.Second)
		f.store.SetFaults(standin.StoreFaults{Silent: true})
		time.Sleep(4 * time.Second)
		f.store.Remove("servers/x")
		f.store.SetFaults(standin.StoreFaults{})
		time.Sleep(3 * time.Second)
		for _, n := range f.nodes {
			_, p := n.running()
			g, gone := p.graceOf("servers/x")
			assert.Assert(t, gone, n.Address)
			assert.Assert(t, g > 0 && g <= comeBack, "%s: %v", n.Address, g)
		}
	})
}

// A configuration of many routes is not passed on; whoever hears of it reads it from the
// store, from a copy first and, where that is old, from the store itself.
func TestLargeValuesAreReadFromTheStore(t *testing.T) {
	for _, stale := range []bool{false, true} {
		inFleet(t, 3, 7, func(t *testing.T, f *fleet) {
			f.store.SetFaults(standin.StoreFaults{StalePeeks: stale})
			before := f.store.Calls()
			large := string(make([]byte, 64<<10))
			f.store.Put("op/config", []byte(large))
			time.Sleep(time.Second)
			assert.Equal(t, len(f.late("op/config", large)), 0, "%v", f.late("op/config", large))
			calls := f.store.Calls()
			assert.Equal(t, calls.Peeks-before.Peeks, 21-6)
			assert.Equal(t, calls.Reads-before.Reads, map[bool]int{false: 0, true: 21 - 6}[stale])
		})
	}
}

// While a router cannot read a large value that it was told of, it takes in the rest and
// does not claim that its configuration is the newest.
func TestNewsWithoutALargeValueConfirmNothing(t *testing.T) {
	inFleet(t, 1, 5, func(t *testing.T, f *fleet) {
		i := slices.IndexFunc(f.nodes, func(n *node) bool { fl, _ := n.running(); return !fl.Watching() })
		n := f.nodes[i]
		_, p := n.running()
		n.set(func() { n.noReads = true })
		f.store.Put("op/config", make([]byte, 64<<10))
		time.Sleep(time.Second)
		p.mu.Lock()
		heard := p.heard
		p.mu.Unlock()
		f.store.Put("servers/x", []byte("1"))
		time.Sleep(3 * time.Second)
		assert.Assert(t, p.has("servers/x", "1"))
		p.mu.Lock()
		defer p.mu.Unlock()
		assert.Equal(t, p.heard, heard)
	})
}

// Whatever happens in whatever order (routers killed and started, cut off one way, gone
// silent, turned away; the store away, slow, without its history): once it is over, every
// router's picture is the store's within seconds, and nothing is believed that was
// removed.
func TestPicturesAgreeAfterAnything(t *testing.T) {
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

// heal ends all that goes wrong.
func (f *fleet) heal() {
	f.store.SetFaults(standin.StoreFaults{})
	f.mu.Lock()
	clear(f.cut)
	f.mu.Unlock()
	for _, n := range f.nodes {
		n.set(func() { n.denied, n.silent = false, false })
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
			n.set(func() { n.silent = on })
		case 7:
			n.set(func() { n.denied = on })
		case 8:
			f.store.Compact()
		case 9:
			f.store.SetFaults(standin.StoreFaults{Refuse: on && a%2 == 0, Silent: on && a%2 == 1, StalePeeks: b%2 == 0})
		}
		time.Sleep(pause)
	}
}
