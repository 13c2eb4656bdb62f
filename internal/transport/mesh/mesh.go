// Package mesh connects a process to the others. It serves the methods that every process
// has, keeps the membership table up to date and distributes the configuration.
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

	"github.com/skylarkwood/skylarkwood/internal/coordination/clientbudget"
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
	listInterval = time.Second
	// heartbeatTick is the interval at which due heartbeats are sent. minHeartbeatInterval
	// is the interval between two heartbeats to a member in a small fleet.
	heartbeatTick        = 100 * time.Millisecond
	minHeartbeatInterval = 500 * time.Millisecond
	// heartbeatBytes is the size of a heartbeat and its reply on the link
	// (docs/CAPACITY.md). maxHeartbeatRate limits the heartbeats of an entry, in bytes per
	// second.
	heartbeatBytes   = 380
	maxHeartbeatRate = 3000
	// maxStaleEntries is the slack before the times of removed members are discarded.
	maxStaleEntries = 64
	// heartbeatTimeout is the timeout of one heartbeat. Two consecutive failures, the
	// second over a new connection, are detected within about two seconds.
	heartbeatTimeout = 700 * time.Millisecond
	// maxContactAge is how long a process may be without contact to a peer or the
	// key-value service before it stops relying on its configuration.
	maxContactAge = 3 * time.Second
	// maxConcurrentHeartbeats limits the heartbeats in flight.
	maxConcurrentHeartbeats = 32
)

// Node connects one process to the others.
type Node struct {
	Self        model.Instance
	Incarnation string
	Clock       *hlc.Clock
	Events      *events.Log
	Table       *membership.Table
	Config      *config.Store
	Server      *link.Server
	Pool        *link.Pool

	instances   platform.Instances
	now         func() time.Time
	backend     wire.HelloReply
	load        func() wire.Load
	onHeartbeat func(from string)
	metadata    *link.Metadata

	revision        atomic.Int64
	lastContact     atomic.Int64         // unix nanoseconds of the last contact
	configLoaded    atomic.Bool          // a configuration has been read
	maxSeenRevision atomic.Int64         // highest revision seen on any message
	newerPeers      chan string          // peers that have a newer configuration
	lastHeartbeat   map[string]time.Time // by address; used by the heartbeat loop only
}

// Options configures a Node.
type Options struct {
	Self        model.Instance
	Incarnation string
	KV          platform.KV
	Instances   platform.Instances
	Now         func() time.Time
	NewID       func() string
	EventLimit  int
}

// SetBackend sets what the node reports in its heartbeat replies, the backend server of a
// sidecar and its load, and a function that is called with the sender of each heartbeat.
// It must be called before Run.
func (n *Node) SetBackend(backend wire.HelloReply, load func() wire.Load, onHeartbeat func(from string)) {
	n.backend = backend
	n.load = load
	n.onHeartbeat = onHeartbeat
}

// LimitClients takes what this process holds for whoever connects, and of replies to its own calls, from
// a budget. It must be called before Run.
func (n *Node) LimitClients(b *clientbudget.Budget) {
	n.Pool.Clients = b
	n.Server.Clients = b
	n.Server.KnownPeer = n.IsMemberHost
}

// IsMemberHost reports whether a host is that of another process of the system.
func (n *Node) IsMemberHost(host string) bool {
	for _, m := range n.Table.All() {
		if h, _, err := net.SplitHostPort(m.Instance.Address); err == nil && h == host && m.Confirmed() {
			return true
		}
	}
	return false
}

// Bytes returns the bytes read and written on the links of the node so far.
func (n *Node) Bytes() int64 { return n.metadata.Bytes() }

// Metadata returns the source of the metadata of this node's messages.
func (n *Node) Metadata() *link.Metadata { return n.metadata }

// New returns a node. Run starts it.
func New(o Options) *Node {
	n := &Node{
		Self:          o.Self,
		Incarnation:   o.Incarnation,
		Clock:         hlc.New(o.Now),
		Table:         membership.New(o.Self.Address, o.Now),
		instances:     o.Instances,
		now:           o.Now,
		load:          func() wire.Load { return wire.Load{} },
		onHeartbeat:   func(string) {},
		newerPeers:    make(chan string, 16),
		lastHeartbeat: map[string]time.Time{},
	}
	n.Events = events.New(o.Self.ID, o.Self.Role, o.Incarnation, n.Clock, o.EventLimit)
	n.Config = config.NewStore(o.KV, o.Now, o.NewID, n.handleConfigApplied)
	n.metadata = &link.Metadata{Clock: n.Clock, Revision: n.revision.Load, ObservePeerRevision: n.observeRevision, Self: o.Self.Address}
	n.Server = link.NewServer(n.metadata)
	n.Pool = link.NewPool(n.metadata)
	n.register()
	return n
}

func (n *Node) register() {
	n.Server.Register(wire.MethodHello, link.Handle(n.handleHello))
	n.Server.Register(wire.MethodEvents, link.Handle(n.handleEventsQuery))
	n.Server.Register(wire.MethodConfigFetch, link.Handle(n.handleConfigFetch))
	n.Server.Register(wire.MethodConfigPush, link.Handle(n.handleConfigPush))
}

// Run connects the node until ctx is done. It serves calls on l.
func (n *Node) Run(ctx context.Context, l net.Listener) error {
	n.Events.Add(model.RequestKey{}, events.ProcessStart, n.Incarnation)
	var g errgroup.Group
	g.Go(func() error { return n.Server.Serve(ctx, l) })
	g.Go(func() error { n.every(ctx, listInterval, n.readList); return nil })
	if n.Self.Role == model.RoleEntry {
		g.Go(func() error { n.every(ctx, heartbeatTick, n.sendHeartbeats); return nil })
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

func (n *Node) handleHello(_ context.Context, from string, h wire.Hello) (wire.HelloReply, error) {
	n.onHeartbeat(from)
	reply := wire.HelloReply{}
	if h.Known != n.Incarnation {
		reply = n.backend
		reply.Instance = &n.Self
	}
	reply.Incarnation = n.Incarnation
	reply.Load = n.load()
	return reply, nil
}

func (n *Node) handleEventsQuery(_ context.Context, _ string, q wire.EventsQuery) (wire.EventsReply, error) {
	return wire.EventsReply{Events: n.Events.ForRequest(q.Key)}, nil
}

func (n *Node) readList(ctx context.Context) {
	list, err := n.instances.List(ctx)
	if err != nil {
		klog.V(1).InfoS("reading the instance list failed", "err", err)
		return
	}
	n.Table.UpdateList(n.inRegion(list))
}

// inRegion removes instances of other regions. Each member costs a connection and its
// memory, and chains across regions would be too slow.
func (n *Node) inRegion(list []model.Instance) []model.Instance {
	return slices.DeleteFunc(list, func(in model.Instance) bool { return in.Region != n.Self.Region })
}

// sendHeartbeats sends a heartbeat to the members that are due. Only entries send
// heartbeats. Sidecars learn of newer configurations from the messages of entries.
func (n *Node) sendHeartbeats(ctx context.Context) {
	var g errgroup.Group
	g.SetLimit(maxConcurrentHeartbeats)
	for _, addr := range n.due(n.Table.All()) {
		g.Go(func() error { n.Probe(ctx, addr); return nil })
	}
	_ = g.Wait()
}

// due returns the addresses of the members that are due. New members and members whose
// last heartbeat failed are due soon, the others as often as the byte rate allows.
// Failures of members that carry requests of this entry are detected by those requests.
func (n *Node) due(all []membership.Member) []string {
	var out []string
	interval := heartbeatInterval(len(all))
	now := n.now()
	for _, m := range all {
		elapsed := now.Sub(n.lastHeartbeat[m.Instance.Address])
		urgent := m.LastContact.IsZero() || m.Failures > 0
		if elapsed >= interval || (urgent && elapsed >= minHeartbeatInterval) {
			out = append(out, m.Instance.Address)
			n.lastHeartbeat[m.Instance.Address] = now
		}
	}
	if len(n.lastHeartbeat) > 2*len(all)+maxStaleEntries {
		clear(n.lastHeartbeat)
	}
	return out
}

// heartbeatInterval returns the interval between two heartbeats to a member.
func heartbeatInterval(members int) time.Duration {
	spread := time.Duration(float64(members) * heartbeatBytes / maxHeartbeatRate * float64(time.Second))
	return max(minHeartbeatInterval, spread)
}

// Probe sends a heartbeat to a member, records the result in the membership table and
// reports whether the member replied or sent something else meanwhile. After a failure the
// next message uses a new connection.
func (n *Node) Probe(ctx context.Context, addr string) bool {
	start := n.now()
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	var hello wire.Hello
	if m, ok := n.Table.Get(addr); ok && !m.LastContact.IsZero() {
		hello.Known = m.Incarnation
	}
	var reply wire.HelloReply
	received := n.Pool.Received(addr)
	if err := n.Pool.Call(ctx, addr, wire.MethodHello, hello, &reply); err != nil {
		// The reply waits behind larger ones, which would be lost with the connection.
		if n.Pool.Received(addr) > received {
			return true
		}
		n.Pool.Reset(addr)
		if n.Table.RecordFailure(addr) {
			klog.V(1).InfoS("member did not respond to a heartbeat", "address", addr, "err", err)
		}
		return false
	}
	if reply.Instance == nil {
		n.Table.ObserveLoad(addr, membership.Load(reply.Load))
		return true
	}
	n.Table.Observe(*reply.Instance, reply.Incarnation, reply.Backend(), n.now().Sub(start))
	return true
}

// pick returns up to k random members.
func pick(all []membership.Member, k int) []membership.Member {
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(k, len(all))]
}
