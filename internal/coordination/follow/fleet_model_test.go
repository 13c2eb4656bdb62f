package follow

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/skylarkwood/skylarkwood/internal/coordination/gossip"
	"github.com/skylarkwood/skylarkwood/internal/model"
	"github.com/skylarkwood/skylarkwood/internal/platform"
	"github.com/skylarkwood/skylarkwood/internal/state/replica"
	"github.com/skylarkwood/skylarkwood/platform/standin"
)

const (
	linkDelay             = time.Millisecond
	testHeartbeatInterval = 250 * time.Millisecond // between two messages of a router to all others
	testHeartbeatTimeout  = 1500 * time.Millisecond
	smallFleet            = 100      // routers that send each heartbeat to all others
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

	byAddress map[string]*node
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
	schedule      gossip.Schedule
	refused       bool // the store rejects its calls
	// turnedAway is how the store treats its calls: "" (served) or one of turnedAwayHow. cut is
	// closed when that changes, which ends the calls in progress.
	turnedAway string
	cut        chan struct{}
	frozen     bool // its messages and calls get no answer, in both directions
	// readsFail makes reads of single keys fail.
	readsFail bool
	link      *slowLink // delays reads of single keys, unless nil
	// fullUpdates is the number of times that this router got the full contents from a peer.
	fullUpdates int
	// cancelledPolls is the number of polls that this router gave up because peers were ahead.
	cancelledPolls int
	idle           bool // no callers have come
	// knowsRouters is set if the router reads who is registered before its first contents. It
	// counts these as reachable until a heartbeat is due, from startedAt on.
	knowsRouters bool
	startedAt    time.Duration
	registered   int // routers, as the store says
	reads        int // of the whole range
	storeCalls   int // reads of the range and watches, failed ones included
	polls        int // of peers
	readTime     time.Duration
}

func newFleet(domains, each int) *fleet {
	f := &fleet{store: standin.NewStore(), started: time.Now(), cut: map[[2]string]bool{}}
	for d := range domains {
		for i := range each {
			n := &node{Store: f.store, fleet: f, Router: Router{Address: fmt.Sprintf("r%d.%d", d, i), Domain: fmt.Sprint("d", d)}, cut: make(chan struct{})}
			f.nodes = append(f.nodes, n)
		}
	}
	f.byAddress = map[string]*node{}
	for _, n := range f.nodes {
		f.byAddress[n.Address] = n
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
	return f.byAddress[addr]
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
	fl.Picker = &Picker{Self: n.Address, Domain: n.Domain, LinkMbps: n.LinkMbps, Routers: n.routers, Clock: n.fleet.clock}
	n.mu.Lock()
	if n.knowsRouters {
		fl.ReadRouters = func(ctx context.Context) (int, error) { return n.registered, n.checkReachable(ctx) }
	}
	_, _, n.schedule = n.fleet.peersOf(n)
	n.fl, n.sink, n.stop, n.done, n.lastHeartbeat = fl, sink, stop, make(chan struct{}), map[string]time.Duration{}
	n.startedAt = n.fleet.clock()
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

// sendHeartbeats sends this router's revision to all others, as often as routers do.
func (n *node) sendHeartbeats(ctx context.Context) {
	near, far, schedule := n.fleet.peersOf(n)
	for round := 0; ctx.Err() == nil; round++ {
		time.Sleep(gossip.RoundInterval)
		fl, _ := n.running()
		if fl == nil || n.isFrozen() {
			continue
		}
		revision, contact := fl.AdvertisedRevision(), n.fleet.clock()-fl.SinceLastContact()
		for _, addr := range append(gossip.Due(near, round, schedule.Near), gossip.Due(far, round, schedule.Far)...) {
			other := n.fleet.node(addr)
			if !n.fleet.isCut(n.Address, addr) && !other.isFrozen() {
				other.receiveHeartbeat(n.Address, revision, contact)
			}
		}
	}
}

// peersOf returns the other routers of a router's failure domain and of the other ones, and how
// often they get a heartbeat: in small fleets, with each round.
func (f *fleet) peersOf(n *node) (near, far []string, s gossip.Schedule) {
	for _, other := range f.nodes {
		switch {
		case other == n:
		case other.Domain == n.Domain:
			near = append(near, other.Address)
		default:
			far = append(far, other.Address)
		}
	}
	if len(f.nodes) <= smallFleet {
		return near, far, gossip.Schedule{Near: 1, Far: 1}
	}
	return near, far, gossip.NewSchedule(len(near), len(far))
}

func (n *node) receiveHeartbeat(from string, revision model.Revision, contact time.Duration) {
	n.mu.Lock()
	n.lastHeartbeat[from] = n.fleet.clock()
	fl := n.fl
	n.mu.Unlock()
	if fl != nil {
		fl.ObservePeerContact(revision, contact)
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
		sign, heard := n.lastHeartbeat[other.Address]
		known := heard
		if !heard && n.knowsRouters && other != n {
			sign, known = n.startedAt, true
		}
		if known && n.fleet.clock()-sign < max(testHeartbeatTimeout, n.schedule.Validity(other.Domain == n.Domain)) {
			r := other.Router
			r.Heard = heard
			out = append(out, r)
		}
	}
	return out
}

func (n *node) pollPeer(ctx context.Context, addr string, after model.Revision, timeout time.Duration) (Updates, error) {
	n.set(func() { n.polls++ })
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

func inFleet(t *testing.T, domains, each int, test func(t *testing.T, f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(domains, each)
		defer f.stop()
		time.Sleep(5 * time.Second)
		test(t, f)
	})
}
