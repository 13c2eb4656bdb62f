// Package peers exchanges state between routers several times a second: the version of the
// configuration in force, the memory that their streams hold at the engines, and the
// engines that they suspect. A router that cannot reach the store learns from those that
// can.
package peers

import (
	"context"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/skylarkwood/skylarkwood/internal/coordination/catalog"
	"github.com/skylarkwood/skylarkwood/internal/coordination/chains"
	"github.com/skylarkwood/skylarkwood/internal/coordination/gossip"
	"github.com/skylarkwood/skylarkwood/internal/coordination/leader"
	"github.com/skylarkwood/skylarkwood/internal/coordination/limits"
	"github.com/skylarkwood/skylarkwood/internal/coordination/presence"
	"github.com/skylarkwood/skylarkwood/internal/coordination/ratelimit"
	"github.com/skylarkwood/skylarkwood/internal/coordination/routes"
	"github.com/skylarkwood/skylarkwood/internal/coordination/transfer"
	"github.com/skylarkwood/skylarkwood/internal/model"
	"github.com/skylarkwood/skylarkwood/internal/protocol/wire"
	"github.com/skylarkwood/skylarkwood/internal/transport/link"
)

const (
	// sendTimeout is the timeout for sending one message.
	sendTimeout = 700 * time.Millisecond
	// minGone is the shortest silence after which a router counts as gone for good. Until its
	// entry is removed, it counts towards the shared budgets.
	minGone = 27 * time.Second
	// fetchTimeout is the timeout for a peer's answer while a configuration is fetched.
	fetchTimeout = time.Second
	// fetchDelay is how long a router waits for the store to deliver a version that a peer
	// has in force already. Without the delay, each version would be sent and decoded
	// twice. Routers that start together would also all fetch from the first one that has a
	// configuration; with all entries of engines, 200 MB at that router for hundreds of others.
	fetchDelay = 600 * time.Millisecond
	// idleFetchDelay replaces fetchDelay until callers' requests arrive. Changes are
	// applied in larger batches then. Watchers wait up to 1.2 s between changes then.
	idleFetchDelay = 1800 * time.Millisecond
)

// Exchange exchanges state with the other routers. The exported fields are set before
// Register.
type Exchange struct {
	Self         string // link address
	Domain       string // failure domain of this router
	Seeds        []string
	Pool         *link.Pool
	Config       *routes.ActiveConfig
	Decode       func([]byte) (*model.RouteConfig, error)
	Catalog      *catalog.Catalog
	Usage        *chains.UsageTracker
	Interconnect *chains.Interconnect
	// Revision returns the store revision up to which this router's contents are complete.
	// ObservePeerRevision is called with the revision of a peer.
	Revision            func() model.Revision
	ObservePeerRevision func(revision model.Revision)
	// ObservePeerContact is called with the time of Clock at which a peer with contents up to a
	// revision was last known to have heard from the store. It may be nil.
	ObservePeerContact func(revision model.Revision, at time.Duration)
	// HandlePeerSuspicion is called with engines that a peer suspects.
	HandlePeerSuspicion func(engine model.Incarnation)
	Clock               func() time.Duration
	Now                 func() time.Time
	// RetryBorrower holds this router's share of the retry budget and borrows retry tokens
	// from peers.
	RetryBorrower *limits.RetryBorrower
	// Limits holds the rate limits that backend servers advertise. It may be nil.
	Limits *ratelimit.Tracker
	// HandlePeerRefusal is called with engines that refused requests of a peer and the
	// time until which they should get none.
	HandlePeerRefusal func(engine model.Incarnation, until time.Time)
	// HandlePeerLeaving is called with engines that said to a peer that they leave.
	HandlePeerLeaving func(engine model.Incarnation)
	// HandleEngineExit is called with engines whose process exited according to a peer.
	HandleEngineExit func(engine model.Incarnation)
	// HasTraffic reports whether this router received requests from callers.
	HasTraffic func() bool
	// Values fetches large configurations. TransferSlot is shared with the other large
	// transfers of this process.
	Values       *Values
	TransferSlot *transfer.Slot

	presence *presence.Table
	rumors   *gossip.Board

	mu             sync.Mutex
	sending        map[string]bool // a message to the peer is in flight
	peerHasTraffic bool            // a peer received requests from callers
	fetching       bool
	versionQuery   versionQuery
	suspects       map[model.Incarnation]time.Time // until when this router suspects them
	refusing       map[model.Incarnation]time.Time // until when they refuse this router's requests
	demandsLogged  time.Time                       // last log line on invalid demands
}

// Register registers the methods that peers call.
func (x *Exchange) Register(s *link.Server) {
	x.presence = presence.New(x.Self, x.Domain, x.Seeds, x.Now)
	x.rumors = gossip.NewBoard(x.Now)
	x.sending = map[string]bool{}
	x.suspects = map[model.Incarnation]time.Time{}
	x.refusing = map[model.Incarnation]time.Time{}
	if x.TransferSlot == nil {
		x.TransferSlot = transfer.NewSlot()
	}
	if x.Values == nil {
		x.Values = &Values{Pool: x.Pool}
	}
	s.RegisterNotification(wire.MethodRouterHeartbeat, x.handleHeartbeat)
	s.Register(wire.MethodRouterConfig, link.Handle(x.handleConfigRequest))
	s.Register(wire.MethodRouterBorrow, link.Handle(x.handleBorrow))
	s.Register(wire.MethodRouterEngineExit, link.Handle(x.handleEngineExit))
	s.Register(wire.MethodRouterSuspicion, link.Handle(x.handleSuspicion))
}

// SetMembers sets the routers that are registered in the store, by store key.
func (x *Exchange) SetMembers(members map[string]leader.Member) { x.presence.SetMembers(members) }

// AnnounceSuspect announces that this router suspects an engine: at once to the peers whose
// streams use it, because these look for other engines at the same moment, and to all with the
// next heartbeats.
func (x *Exchange) AnnounceSuspect(engine model.Incarnation, until time.Time) {
	x.mu.Lock()
	known := x.Now().Before(x.suspects[engine])
	x.suspects[engine] = until
	x.mu.Unlock()
	if known {
		return
	}
	for _, addr := range x.Usage.PeersUsing(engine) {
		go x.notify(addr, wire.MethodRouterSuspicion, wire.RouterSuspicion{Server: engine})
	}
}

// notify sends a message that only saves time. The heartbeats repeat its contents, or the
// peer finds out itself.
func (x *Exchange) notify(addr string, m wire.Method, message any) {
	ctx, cancel := context.WithTimeout(context.Background(), sendTimeout)
	defer cancel()
	if err := x.Pool.Notify(ctx, addr, m, message); err != nil {
		klog.V(1).InfoS("notifying peer failed", "peer", addr, "method", m, "err", err)
	}
}

// handleSuspicion handles a peer's AnnounceSuspect.
func (x *Exchange) handleSuspicion(_ context.Context, _ string, s wire.RouterSuspicion) (struct{}, error) {
	x.HandlePeerSuspicion(s.Server)
	return struct{}{}, nil
}

// AnnounceRefusal announces that an engine refuses requests: to all routers within a few
// rounds of heartbeats, and with each heartbeat of this router until then.
func (x *Exchange) AnnounceRefusal(engine model.Incarnation, until time.Time) {
	x.mu.Lock()
	x.refusing[engine] = until
	x.mu.Unlock()
	x.rumors.Add(gossip.Rumor{Engine: engine, Kind: gossip.Refusal, At: x.Pool.Timestamp(), Until: until})
}

// leavingTTL is how long a rumor that an engine leaves is valid. An engine exits seconds after it
// says so, and routers that start later hear it from the engine itself.
const leavingTTL = 30 * time.Second

// AnnounceLeaving announces that an engine said to this router that it leaves.
func (x *Exchange) AnnounceLeaving(engine model.Incarnation) {
	x.rumors.Add(gossip.Rumor{Engine: engine, Kind: gossip.Leaving, At: x.Pool.Timestamp(), Until: x.Now().Add(leavingTTL)})
}

// AnnounceSlowdown announces what an engine reported to this router: the factor by which it is
// slower than its accelerator type, or 1.
func (x *Exchange) AnnounceSlowdown(engine model.Incarnation, factor float64) {
	until := x.Now().Add(chains.SlowdownTTL)
	x.rumors.Add(gossip.Rumor{Engine: engine, Kind: gossip.Slowdown, At: x.Pool.Timestamp(), Until: until, Factor: max(factor, 1)})
}

// AnnounceEngineExit notifies the peers at once that an engine process exited, because
// their streams wait for it. It does not wait for the peers.
func (x *Exchange) AnnounceEngineExit(engine model.Incarnation) {
	for _, addr := range x.peers() {
		go x.notify(addr, wire.MethodRouterEngineExit, wire.RouterEngineExit{Server: engine})
	}
}

// handleEngineExit handles a peer's AnnounceEngineExit.
func (x *Exchange) handleEngineExit(_ context.Context, from string, exit wire.RouterEngineExit) (struct{}, error) {
	klog.InfoS("engine process exited", "server", exit.Server, "evidence", "reported by a peer", "peer", from)
	x.HandleEngineExit(exit.Server)
	return struct{}{}, nil
}

// Borrow asks a peer for retry tokens and returns how many it granted.
func (x *Exchange) Borrow(ctx context.Context, peer, service string, want int) (int, error) {
	var reply wire.RouterBorrowReply
	err := x.Pool.Call(ctx, peer, wire.MethodRouterBorrow, wire.RouterBorrowRequest{Service: service, Want: want}, &reply)
	return reply.Granted, err
}

// handleBorrow answers a peer's Borrow.
func (x *Exchange) handleBorrow(_ context.Context, from string, req wire.RouterBorrowRequest) (wire.RouterBorrowReply, error) {
	granted := x.RetryBorrower.Budget.Lend(req.Service, req.Want)
	klog.InfoS("retry tokens lent to a peer", "service", req.Service, "peer", from, "wanted", req.Want, "lent", granted)
	return wire.RouterBorrowReply{Granted: granted}, nil
}

// RouterCount returns the number of routers that share budgets, including this one:
// registered routers and those that sent a heartbeat recently, but at least the number of
// seeds.
func (x *Exchange) RouterCount() int { return x.presence.Count() }

// ReachablePeers returns the link addresses of the peers of which something was heard
// within the time that a heartbeat is valid.
func (x *Exchange) ReachablePeers() map[string]bool {
	return x.presence.Reachable(x.schedule().Validity)
}

// HasHeard reports whether a peer sent a heartbeat to this process.
func (x *Exchange) HasHeard(addr string) bool { return x.presence.HasHeard(addr) }

// Silence returns how long nothing was heard of a registered router.
func (x *Exchange) Silence(addr string) time.Duration { return x.presence.Silence(addr) }

// GoneAfter returns the silence after which a router's entry may be removed.
func (x *Exchange) GoneAfter() time.Duration { return max(minGone, x.schedule().Validity(false)) }

// PeerHasTraffic reports whether a peer received requests from callers.
func (x *Exchange) PeerHasTraffic() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.peerHasTraffic
}

// Domains returns the failure domains of the registered routers and of this one, by link
// address.
func (x *Exchange) Domains() map[string]string { return x.presence.Domains() }

// LiveRouters returns the link addresses of the routers, including this one.
func (x *Exchange) LiveRouters() []string { return append(x.peers(), x.Self) }

// peers returns the link addresses of the other routers.
func (x *Exchange) peers() []string { return x.presence.Others() }
