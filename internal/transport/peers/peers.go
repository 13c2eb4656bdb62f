// Package peers is what routers tell each other a few times a second: which
// configuration is in force, what memory their streams hold at the engines, and
// which engines they suspect. A router that cannot reach the store learns from
// those that can.
package peers

import (
	"context"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/skylarkwood/skylarkwood/internal/coordination/catalog"
	"github.com/skylarkwood/skylarkwood/internal/coordination/chains"
	"github.com/skylarkwood/skylarkwood/internal/coordination/leader"
	"github.com/skylarkwood/skylarkwood/internal/coordination/limits"
	"github.com/skylarkwood/skylarkwood/internal/coordination/routes"
	"github.com/skylarkwood/skylarkwood/internal/model"
	"github.com/skylarkwood/skylarkwood/internal/protocol/wire"
	"github.com/skylarkwood/skylarkwood/internal/transport/link"
)

const (
	// heartbeatInterval is between two messages to a peer, while they are few. A stream
	// holds memory for a second or more, so a count is a quarter of that old.
	heartbeatInterval = 250 * time.Millisecond
	// maxHeartbeats is how many messages a router sends a second at most, and hears on
	// average, however many there are: four a second to each would be 1,500 at 380.
	maxHeartbeats = 96
	// nearShare is the part of them that routers of the own failure domain may take.
	// They begin streams at the same engines as this one: where counts are a second old,
	// engines are sent more streams than they have places, and the rest queue there.
	nearShare = 0.5
	// trustedHeartbeats and trustSlack give how long a peer's counts are believed.
	trustedHeartbeats = 4
	trustSlack        = time.Second
	// sendTimeout bounds handing a message over; a silent peer costs no more.
	sendTimeout = 700 * time.Millisecond
	// fetchTimeout bounds fetching a configuration from a peer.
	fetchTimeout = time.Second
	// fetchAfter is how long the store is given to tell of a version that a peer
	// has in force, where this router has an older one. Watches tell within 0.3 s
	// when the store is there; fetched as well, each version of a quick succession
	// is sent and decoded twice, and reading it as JSON takes a small router longer
	// than the requests of that time. Routers that start together would all fetch
	// from the first one that has a configuration, with all entries of engines: at
	// hundreds of routers 200 MB there.
	fetchAfter = 600 * time.Millisecond
	// restingFetchAfter is that time before callers come, when watches pause for up
	// to 1.2 s.
	restingFetchAfter = 1800 * time.Millisecond
	// peerAlive is how long a peer is counted after its last message.
	peerAlive = 20 * time.Second
)

// Exchange keeps routers informed of each other.
type Exchange struct {
	Self         string // link address
	Domain       string // own failure domain
	Seeds        []string
	Pool         *link.Pool
	Config       *routes.ActiveConfig
	Decode       func([]byte) (*model.RouteConfig, error)
	Catalog      *catalog.Catalog
	Usage        *chains.UsageTracker
	Interconnect *chains.Interconnect
	// Revision is that of the store up to which this router's picture is
	// complete; PeerAt is told a peer's.
	Revision            func() model.Revision
	ObservePeerRevision func(revision model.Revision)
	// HandlePeerSuspicion is told of engines that a peer suspects.
	HandlePeerSuspicion func(engine model.Incarnation)
	Clock               func() time.Duration
	Now                 func() time.Time
	// RetryBorrower holds this router's part of the budget for repeated sends, and what
	// it borrows.
	RetryBorrower *limits.RetryBorrower
	// HandlePeerRefusal is told of engines that refused work of a peer, until when they
	// should get none.
	HandlePeerRefusal func(engine model.Incarnation, until time.Time)
	// HandleEngineExit is told of engines whose process a peer saw end.
	HandleEngineExit func(engine model.Incarnation)
	// HasTraffic tells whether this router saw callers' requests.
	HasTraffic func() bool

	mu       sync.Mutex
	members  map[string]leader.Member // by the store's key
	near     map[string]bool          // addresses of those in the own failure domain
	seen     map[string]time.Time
	busy     map[string]bool // a message to the peer is under way
	traffic  bool            // a peer saw callers' requests
	fetching bool
	running  running
	suspects map[model.Incarnation]time.Time // own suspicions to pass on
	refusing map[model.Incarnation]time.Time // engines that refused this router's work
}

// Register adds the methods that peers call.
func (x *Exchange) Register(s *link.Server) {
	x.members = map[string]leader.Member{}
	x.seen = map[string]time.Time{}
	x.busy = map[string]bool{}
	x.suspects = map[model.Incarnation]time.Time{}
	x.refusing = map[model.Incarnation]time.Time{}
	s.RegisterNotification(wire.MethodRouterHeartbeat, x.heartbeat)
	s.Register(wire.MethodRouterConfig, link.Handle(x.config))
	s.Register(wire.MethodRouterBorrow, link.Handle(x.lend))
	s.Register(wire.MethodRouterEngineExit, link.Handle(x.gone))
}

// SetMembers takes in the routers that are registered in the store, by its keys.
func (x *Exchange) SetMembers(members map[string]leader.Member) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.members = members
	x.near = map[string]bool{}
	for _, m := range members {
		if m.Domain == x.Domain {
			x.near[m.Address] = true
		}
	}
}

// AnnounceSuspect passes a suspicion on to the peers.
func (x *Exchange) AnnounceSuspect(engine model.Incarnation, until time.Time) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.suspects[engine] = until
}

// AnnounceRefusal tells the peers that an engine refuses work.
func (x *Exchange) AnnounceRefusal(engine model.Incarnation, until time.Time) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.refusing[engine] = until
}

// AnnounceEngineExit tells the peers at once that an engine's process ended: their streams
// wait for it, and the next exchange would come too late for them.
func (x *Exchange) AnnounceEngineExit(engine model.Incarnation) {
	for _, addr := range x.peers() {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), sendTimeout)
			defer cancel()
			if err := x.Pool.Notify(ctx, addr, wire.MethodRouterEngineExit, wire.RouterEngineExit{Server: engine}); err != nil {
				klog.V(1).InfoS("peer not told of an engine's end", "peer", addr, "server", engine, "err", err)
			}
		}()
	}
}

// gone takes in a peer's TellGone.
func (x *Exchange) gone(_ context.Context, from string, g wire.RouterEngineExit) (struct{}, error) {
	klog.InfoS("engine's process ended", "server", g.Server, "evidence", "a peer saw it", "peer", from)
	x.HandleEngineExit(g.Server)
	return struct{}{}, nil
}

// Borrow asks a peer to lend repeated sends.
func (x *Exchange) Borrow(ctx context.Context, peer, service string, want int) (int, error) {
	var rep wire.RouterBorrowReply
	err := x.Pool.Call(ctx, peer, wire.MethodRouterBorrow, wire.RouterBorrowRequest{Service: service, Want: want}, &rep)
	return rep.Granted, err
}

// lend answers a peer's Borrow.
func (x *Exchange) lend(_ context.Context, from string, l wire.RouterBorrowRequest) (wire.RouterBorrowReply, error) {
	n := x.RetryBorrower.Budget.Lend(l.Service, l.Want)
	klog.InfoS("repeated sends lent", "service", l.Service, "peer", from, "wanted", l.Want, "lent", n)
	return wire.RouterBorrowReply{Granted: n}, nil
}

// RouterCount counts the routers that share budgets, this one included: whoever is
// registered, was heard lately, or is named as a seed.
func (x *Exchange) RouterCount() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	all := map[string]bool{x.Self: true}
	for _, m := range x.members {
		all[m.Address] = true
	}
	for addr, at := range x.seen {
		if x.Now().Sub(at) < peerAlive {
			all[addr] = true
		}
	}
	return max(len(all), len(x.Seeds))
}

// ReachablePeers lists the routers whose word still counts, by their link addresses.
func (x *Exchange) ReachablePeers() map[string]bool {
	p := x.pace()
	x.mu.Lock()
	defer x.mu.Unlock()
	heard := map[string]bool{}
	for addr, at := range x.seen {
		if x.Now().Sub(at) < trustedHeartbeats*p.of(x.near[addr])+trustSlack {
			heard[addr] = true
		}
	}
	return heard
}

// PeerHasTraffic tells whether a peer saw callers' requests.
func (x *Exchange) PeerHasTraffic() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.traffic
}

// LiveRouters lists the routers by their link addresses, this one included.
func (x *Exchange) LiveRouters() []string { return append(x.peers(), x.Self) }

// peers lists the other routers: without the store, the seeds.
func (x *Exchange) peers() []string {
	x.mu.Lock()
	defer x.mu.Unlock()
	all := map[string]bool{}
	for _, m := range x.members {
		all[m.Address] = true
	}
	for addr, at := range x.seen {
		if x.Now().Sub(at) < peerAlive {
			all[addr] = true
		}
	}
	if len(all) <= 1 {
		for _, addr := range x.Seeds {
			all[addr] = true
		}
	}
	delete(all, x.Self)
	out := make([]string, 0, len(all)+1)
	for addr := range all {
		out = append(out, addr)
	}
	return out
}
