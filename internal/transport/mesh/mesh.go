// Package mesh joins one process to the others: it answers the methods that
// every process has, keeps the membership table fresh and spreads the
// configuration.
package mesh

import (
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"github.com/skylarkwood/skylarkwood/internal/coordination/config"
	"github.com/skylarkwood/skylarkwood/internal/coordination/membership"
	"github.com/skylarkwood/skylarkwood/internal/hlc"
	"github.com/skylarkwood/skylarkwood/internal/model"
	"github.com/skylarkwood/skylarkwood/internal/platform"
	"github.com/skylarkwood/skylarkwood/internal/protocol/wire"
	"github.com/skylarkwood/skylarkwood/internal/state/events"
	"github.com/skylarkwood/skylarkwood/internal/transport/link"
)

const (
	listEvery = time.Second
	// heartbeatTick is how often it is looked who is due; heartbeatEvery is how
	// often a member is asked in a small fleet.
	heartbeatTick  = 100 * time.Millisecond
	heartbeatEvery = 500 * time.Millisecond
	// helloBytes is what one heartbeat costs on the link, both ways, as measured
	// (docs/CAPACITY.md); controlBudget is what an entry may spend on them, in
	// bytes a second.
	helloBytes    = 380
	controlBudget = 3000
	askedSlack    = 64
	// heartbeatWait bounds one heartbeat. Two misses in a row, the second over
	// a new connection, are found within about two seconds.
	heartbeatWait = 700 * time.Millisecond
	// confirmWithin is how long a process may go without hearing a peer or the
	// key-value service before it doubts that its configuration is in force.
	confirmWithin = 3 * time.Second
	// helloParallel bounds heartbeats under way at once.
	helloParallel = 32
)

// Node is one process among the others.
type Node struct {
	Self        model.Instance
	Incarnation string
	Clock       *hlc.Clock
	Events      *events.Log
	Table       *membership.Table
	Config      *config.Store
	Server      *link.Server
	Pool        *link.Pool

	instances platform.Instances
	now       func() time.Time
	backend   wire.HelloReply
	load      func() wire.Load
	heard     func(from string)
	stamp     *link.Metadata

	revision  atomic.Int64
	confirmed atomic.Int64         // unix nanoseconds of the last contact
	loaded    atomic.Bool          // a configuration was read
	seenMax   atomic.Int64         // highest revision seen on any message
	newer     chan string          // peers that have a newer configuration
	asked     map[string]time.Time // by the heartbeat loop only
}

// Options is what a node is made of.
type Options struct {
	Self        model.Instance
	Incarnation string
	KV          platform.KV
	Instances   platform.Instances
	Now         func() time.Time
	NewID       func() string
	EventLimit  int
}

// SetBackend tells the node what it offers to the others: a sidecar's backend server,
// its load, and who is to be told of a heartbeat. It is called before Run.
func (n *Node) SetBackend(backend wire.HelloReply, load func() wire.Load, heard func(from string)) {
	n.backend = backend
	n.load = load
	n.heard = heard
}

// Bytes is how much went over the node's links so far, both ways.
func (n *Node) Bytes() int64 { return n.stamp.Bytes() }

// Metadata is what rides on every message of this node.
func (n *Node) Metadata() *link.Metadata { return n.stamp }

// New makes a node; Run starts it.
func New(o Options) *Node {
	n := &Node{
		Self:        o.Self,
		Incarnation: o.Incarnation,
		Clock:       hlc.New(o.Now),
		Table:       membership.New(o.Self.Address, o.Now),
		instances:   o.Instances,
		now:         o.Now,
		load:        func() wire.Load { return wire.Load{} },
		heard:       func(string) {},
		newer:       make(chan string, 16),
		asked:       map[string]time.Time{},
	}
	n.Events = events.New(o.Self.ID, o.Self.Role, o.Incarnation, n.Clock, o.EventLimit)
	n.Config = config.NewStore(o.KV, o.Now, o.NewID, n.applied)
	n.stamp = &link.Metadata{Clock: n.Clock, Revision: n.revision.Load, ObservePeerRevision: n.seen, Self: o.Self.Address}
	n.Server = link.NewServer(n.stamp)
	n.Pool = link.NewPool(n.stamp)
	n.register()
	return n
}

func (n *Node) register() {
	n.Server.Register(wire.MethodHello, link.Handle(n.hello))
	n.Server.Register(wire.MethodEvents, link.Handle(n.eventsOf))
	n.Server.Register(wire.MethodConfigFetch, link.Handle(n.configFetch))
	n.Server.Register(wire.MethodConfigPush, link.Handle(n.configPush))
}

// Run joins the others until ctx ends.
func (n *Node) Run(ctx context.Context, l net.Listener) error {
	n.Events.Add(model.RequestKey{}, events.ProcessStart, n.Incarnation)
	var g errgroup.Group
	g.Go(func() error { return n.Server.Serve(ctx, l) })
	g.Go(func() error { n.every(ctx, listEvery, n.readList); return nil })
	if n.Self.Role == model.RoleEntry {
		g.Go(func() error { n.every(ctx, heartbeatTick, n.heartbeats); return nil })
	}
	g.Go(func() error { n.loadConfig(ctx); n.fetchLoop(ctx); return nil })
	g.Go(func() error { n.watchLoop(ctx); return nil })
	err := g.Wait()
	n.Pool.Close()
	return err
}

func (n *Node) every(ctx context.Context, d time.Duration, f func(context.Context)) {
	t := time.NewTicker(d)
	defer t.Stop()
	for {
		f(ctx)
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

func (n *Node) hello(_ context.Context, from string, h wire.Hello) (wire.HelloReply, error) {
	n.heard(from)
	rep := wire.HelloReply{}
	if h.Known != n.Incarnation {
		rep = n.backend
		rep.Instance = &n.Self
	}
	rep.Incarnation = n.Incarnation
	rep.Load = n.load()
	return rep, nil
}

func (n *Node) eventsOf(_ context.Context, _ string, q wire.EventsQuery) (wire.EventsReply, error) {
	return wire.EventsReply{Events: n.Events.ForRequest(q.Key)}, nil
}

func (n *Node) readList(ctx context.Context) {
	list, err := n.instances.List(ctx)
	if err != nil {
		klog.V(1).InfoS("Instance list gives no answer", "err", err)
		return
	}
	n.Table.UpdateList(n.inRegion(list))
}

// inRegion leaves out what lies in other regions. Each member that is met costs
// a connection and some 80 KB; the whole target fleet would not fit into an
// instance, and a chain across regions would be too slow.
func (n *Node) inRegion(list []model.Instance) []model.Instance {
	return slices.DeleteFunc(list, func(in model.Instance) bool { return in.Region != n.Self.Region })
}

// heartbeats asks the members that are due. Only entries ask: a sidecar hears
// of newer configurations by what entries send it.
func (n *Node) heartbeats(ctx context.Context) {
	var g errgroup.Group
	g.SetLimit(helloParallel)
	for _, addr := range n.due(n.Table.All()) {
		g.Go(func() error { n.Probe(ctx, addr); return nil })
	}
	_ = g.Wait()
}

// due picks whom to ask in this tick: at once who was never met or missed the
// last time, the others in turn, each as often as the byte budget allows. What
// a member carries for this entry shows much sooner whether it lives.
func (n *Node) due(all []membership.Member) []string {
	var out []string
	interval := heartbeatInterval(len(all))
	now := n.now()
	for _, m := range all {
		since := now.Sub(n.asked[m.Instance.Address])
		urgent := m.LastContact.IsZero() || m.Failures > 0
		if since >= interval || (urgent && since >= heartbeatEvery) {
			out = append(out, m.Instance.Address)
			n.asked[m.Instance.Address] = now
		}
	}
	if len(n.asked) > 2*len(all)+askedSlack {
		clear(n.asked)
	}
	return out
}

// heartbeatInterval is how often each of so many members is asked.
func heartbeatInterval(members int) time.Duration {
	spread := time.Duration(float64(members) * helloBytes / controlBudget * float64(time.Second))
	return max(heartbeatEvery, spread)
}

// Probe asks one member for its state and takes the answer, or its lack, as
// evidence. The next contact after a miss goes over a new connection.
func (n *Node) Probe(ctx context.Context, addr string) bool {
	began := n.now()
	ctx, cancel := context.WithTimeout(ctx, heartbeatWait)
	defer cancel()
	var hello wire.Hello
	if m, ok := n.Table.Get(addr); ok && !m.LastContact.IsZero() {
		hello.Known = m.Incarnation
	}
	var rep wire.HelloReply
	if err := n.Pool.Call(ctx, addr, wire.MethodHello, hello, &rep); err != nil {
		n.Pool.Reset(addr)
		if n.Table.RecordFailure(addr) {
			klog.V(1).InfoS("Member does not answer", "address", addr, "err", err)
		}
		return false
	}
	if rep.Instance == nil {
		n.Table.ObserveLoad(addr, membership.Load(rep.Load))
		return true
	}
	n.Table.Observe(*rep.Instance, rep.Incarnation, rep.Backend(), n.now().Sub(began))
	return true
}

// pick gives up to k members at random.
func pick(all []membership.Member, k int) []membership.Member {
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(k, len(all))]
}
