package daemon

import (
	"context"
	"net"
	"time"

	"k8s.io/klog/v2"

	"github.com/skylarkwood/skylarkwood/internal/boottime"
	"github.com/skylarkwood/skylarkwood/internal/coordination/admission"
	"github.com/skylarkwood/skylarkwood/internal/coordination/caller"
	"github.com/skylarkwood/skylarkwood/internal/coordination/catalog"
	"github.com/skylarkwood/skylarkwood/internal/coordination/chains"
	"github.com/skylarkwood/skylarkwood/internal/coordination/detector"
	"github.com/skylarkwood/skylarkwood/internal/coordination/follow"
	"github.com/skylarkwood/skylarkwood/internal/coordination/intake"
	"github.com/skylarkwood/skylarkwood/internal/coordination/leader"
	"github.com/skylarkwood/skylarkwood/internal/coordination/limits"
	"github.com/skylarkwood/skylarkwood/internal/coordination/liveness"
	"github.com/skylarkwood/skylarkwood/internal/coordination/pause"
	"github.com/skylarkwood/skylarkwood/internal/coordination/processor"
	"github.com/skylarkwood/skylarkwood/internal/coordination/quarantine"
	"github.com/skylarkwood/skylarkwood/internal/coordination/ratelimit"
	"github.com/skylarkwood/skylarkwood/internal/coordination/routes"
	"github.com/skylarkwood/skylarkwood/internal/coordination/transfer"
	"github.com/skylarkwood/skylarkwood/internal/hlc"
	"github.com/skylarkwood/skylarkwood/internal/model"
	external "github.com/skylarkwood/skylarkwood/internal/platform"
	"github.com/skylarkwood/skylarkwood/internal/protocol/relay"
	"github.com/skylarkwood/skylarkwood/internal/settings"
	"github.com/skylarkwood/skylarkwood/internal/state/replica"
	"github.com/skylarkwood/skylarkwood/internal/transport/backend"
	"github.com/skylarkwood/skylarkwood/internal/transport/front"
	"github.com/skylarkwood/skylarkwood/internal/transport/link"
	"github.com/skylarkwood/skylarkwood/internal/transport/peers"
	"github.com/skylarkwood/skylarkwood/platform"
)

// yieldDelay is the length of a pause while a configuration is decoded.
const yieldDelay = time.Millisecond

// NewRouter returns a router that serves once Run is called.
func NewRouter(s settings.Settings, store external.Store) *Router {
	m := newMetrics(s)
	r := &Router{
		settings:         s,
		store:            newCountedStore(store, m),
		config:           &routes.ActiveConfig{},
		catalog:          catalog.New(time.Now),
		health:           catalog.NewHealth(time.Now),
		usage:            chains.NewUsageTracker(time.Now),
		interconnect:     chains.NewInterconnect(time.Now),
		prober:           relay.NewProber(),
		backends:         backend.NewPool(),
		metrics:          m,
		roster:           leader.NewRoster(s.Router.Peers, time.Now),
		clients:          newClientBudget(s.Router.MemoryMB, s.Router.MaxDescriptors),
		malformed:        malformedEntries{},
		interconnectRows: map[interconnectRow]bool{},
		listen:           listenTCP,
	}
	r.catalog.SetServices(map[string]bool{}) // none is named yet
	r.decode = func(raw []byte) (*model.RouteConfig, error) { return platform.DecodeConfig(raw, r.yield) }
	r.configs = configQueue{apply: r.applyConfig, confirm: r.config.Confirm}
	r.backends.Clients = r.clients
	r.buildExchange()
	r.buildRelay()
	r.buildController()
	r.buildFollower()
	return r
}

// yield pauses the decoding of a configuration to let other work run. It does not pause while
// callers wait for the first configuration.
func (r *Router) yield() {
	if r.config.Load() != nil {
		time.Sleep(yieldDelay)
	}
}

// buildFollower builds the follower, which keeps this router's copy of the store up to date.
func (r *Router) buildFollower() {
	updates := &peers.Updates{Pool: r.exchange.Pool}
	r.follower = &follow.Follower{
		Store:            r.store,
		Prefix:           "",
		Sink:             (*routerSink)(r),
		Clock:            boottime.Now,
		Picker:           &follow.Picker{Self: r.settings.Router.Peers, Domain: r.settings.FailureDomain, LinkMbps: r.settings.Router.LinkMbps, Routers: r.reachableRouters, Clock: boottime.Now},
		PollPeer:         updates.Poll,
		FetchValue:       r.exchange.Values.Fetch,
		TransferSlot:     r.exchange.TransferSlot,
		Replica:          &replica.Replica{},
		PeersLastContact: r.config.LastConfirmed,
		Idle:             func() bool { return !r.hasTraffic() && r.elector.FencingToken() == 0 },
	}
	if !r.settings.Router.FirstStart { // then few backend servers are registered yet
		r.follower.ReadRouters = r.readRouters
	}
	r.store.onNoResponse = r.follower.CallFailed
	r.store.onAcknowledged = r.follower.ObserveAcknowledged
	if store, ok := r.store.Store.(interface{ OnNewEra(func(era int64)) }); ok {
		store.OnNewEra(r.follower.ObserveEra)
	}
	updates.WaitForUpdates = r.follower.WaitForUpdates
	updates.Register(r.links)
}

// readRouters reads the registered routers from the store and returns their number.
func (r *Router) readRouters(ctx context.Context) (int, error) {
	page, err := r.store.Range(ctx, leader.MemberPrefix)
	if err != nil {
		return 0, err
	}
	r.roster.Reset(page.Items)
	r.exchange.SetMembers(r.roster.Members())
	klog.InfoS("registered routers read", "revision", page.Revision, "routers", len(page.Items))
	return len(page.Items), nil
}

// reachableRouters returns the registered routers that are reachable.
func (r *Router) reachableRouters() []follow.Router {
	reachable := r.exchange.ReachablePeers()
	var out []follow.Router
	for _, m := range r.roster.Members() {
		if reachable[m.Address] {
			out = append(out, follow.Router{Address: m.Address, Domain: m.Domain, LinkMbps: m.LinkMbps, Heard: r.exchange.HasHeard(m.Address)})
		}
	}
	return out
}

// routersNear returns all routers and which of them are in the failure domain of a backend
// server.
func (r *Router) routersNear(server model.Incarnation) []ratelimit.Router {
	domain := ""
	if b := r.catalog.Load().Find(server); b != nil {
		domain = b.FailureDomain
	}
	domains := r.exchange.Domains()
	var out []ratelimit.Router
	for _, addr := range r.exchange.LiveRouters() {
		out = append(out, ratelimit.Router{Name: addr, Near: domain != "" && domains[addr] == domain})
	}
	return out
}

// hasTraffic reports whether this router or a peer has received requests since the first start
// of the system. It is true if this is not the first start.
func (r *Router) hasTraffic() bool {
	return !r.settings.Router.FirstStart || r.requestSeen.Load() || r.exchange.PeerHasTraffic()
}

func (r *Router) buildExchange() {
	r.linkMetadata = &link.Metadata{
		Clock:               hlc.New(time.Now),
		Revision:            r.config.Version,
		ObservePeerRevision: func(string, int64) {},
		Self:                r.settings.Router.Peers,
	}
	r.exchange = &peers.Exchange{
		Self:                r.settings.Router.Peers,
		Domain:              r.settings.FailureDomain,
		Seeds:               r.settings.Router.Seeds,
		Pool:                link.NewPool(r.linkMetadata),
		Config:              r.config,
		Decode:              r.decodeConfig,
		Catalog:             r.catalog,
		Usage:               r.usage,
		Interconnect:        r.interconnect,
		Revision:            func() model.Revision { return r.follower.AdvertisedRevision() },
		ObservePeerRevision: func(revision model.Revision) { r.follower.ObservePeerRevision(revision) },
		ObservePeerContact:  func(revision model.Revision, at time.Duration) { r.follower.ObservePeerContact(revision, at) },
		HandlePeerSuspicion: func(engine model.Incarnation) { r.prober.HandlePeerSuspicion(engine) },
		HandlePeerRefusal:   func(engine model.Incarnation, until time.Time) { r.prober.HandlePeerRefusal(engine, until) },
		HandlePeerLeaving:   func(engine model.Incarnation) { r.front.Relay.HandlePeerLeaving(engine) },
		HandleEngineExit:    func(engine model.Incarnation) { r.front.Relay.HandleEngineExit(engine) },
		Clock:               boottime.Now,
		Now:                 time.Now,
		HasTraffic:          r.requestSeen.Load,
	}
	rt := r.settings.Router
	r.pauses = pause.New(boottime.Now)
	r.limits = ratelimit.New(r.settings.Router.Peers, r.routersNear, boottime.Now)
	r.exchange.Limits = r.limits
	budget := limits.NewSharedRetryBudget(rt.RetryRatio, rt.RetrySlack, time.Duration(rt.RetryWindow), r.exchange.RouterCount, boottime.Now)
	r.exchange.RetryBorrower = &limits.RetryBorrower{Budget: budget, Borrow: r.exchange.Borrow, Now: time.Now}
	r.exchange.TransferSlot = transfer.NewSlot()
	r.exchange.Values = r.newValues()
	r.links = link.NewServer(r.linkMetadata)
	r.links.VerifySenderHost = true
	r.links.Clients = r.clients
	r.links.KnownPeer = r.isRouterHost
	r.exchange.Register(r.links)
	r.exchange.Values.Register(r.links)
	started := time.Now()
	r.processor = processor.New(func() time.Duration { return time.Since(started) })
	r.intake = intake.New[net.Conn](r.processor, r.processor.Now)
	tracker := quarantine.New(boottime.Now)
	tracker.Servers = r.serversInUse
	r.quarantine = &peers.Quarantine{Exchange: r.exchange, Tracker: tracker, Trials: quarantine.NewTrials(tracker)}
	r.quarantine.Register(r.links)
	r.persister = &quarantine.Persister{
		Tracker: tracker,
		Store:   r.store,
		Key:     leader.QuarantineKey,
		Rank:    r.quarantine.PersisterRank,
		Clock:   boottime.Now,
		Now:     time.Now,
	}
}

func (r *Router) newChooser() *chains.Chooser {
	return &chains.Chooser{
		Catalog:      r.catalog,
		Health:       r.health,
		Usage:        r.usage,
		Interconnect: r.interconnect,
		RouterCount:  r.exchange.RouterCount,
		Limits:       r.limits,
		Pauses:       r.pauses,
		Self:         r.settings.Router.Peers,
	}
}

func (r *Router) buildRelay() {
	rt := r.settings.Router
	rel := &relay.Relay{
		Config:          r.config,
		Catalog:         r.catalog,
		Health:          r.health,
		Chooser:         r.newChooser(),
		Usage:           r.usage,
		RetryBorrower:   r.exchange.RetryBorrower,
		WaitQueue:       admission.NewWaitQueue(),
		Processor:       r.processor,
		Limits:          r.limits,
		Pauses:          r.pauses,
		AnnounceLeaving: r.exchange.AnnounceLeaving,
		BackendClient:   r.backends,
		Observer:        r.metrics,
		OnPanic:         r.metrics.countPanic,
		ActiveRuns:      relay.NewActiveRuns(),
		Detector:        detector.New(time.Now),
		Suspects:        r.prober,
		Quarantine:      r.quarantine.Tracker,
		RequestTrial:    r.quarantine.RequestTrial,
		CheckListening:  r.backends.CheckListening,
		FailureDomain:   r.settings.FailureDomain,
		MaxConfigAge:    time.Duration(rt.ConfigApply),
		Clock:           boottime.Now,
		Now:             time.Now,
		Started:         time.Now(),
	}
	rel.WaitQueue.Processor = r.processor
	r.backends.Processor = r.processor
	r.prober.Processor = r.processor
	rel.SlowdownMonitor = relay.NewSlowdownMonitor()
	rel.SlowdownMonitor.Processor = r.processor
	rel.SlowdownMonitor.Usage = r.usage
	rel.SlowdownMonitor.Catalog = r.catalog
	rel.SlowdownMonitor.Report = rel.Report
	rel.SlowdownMonitor.Now = time.Now
	rel.SlowdownMonitor.Announce = r.exchange.AnnounceSlowdown
	r.prober.Health = r.health
	r.prober.Catalog = r.catalog
	r.prober.Report = rel.Report
	r.prober.Healthy = rel.Healthy
	r.prober.AnnounceSuspect = r.exchange.AnnounceSuspect
	r.prober.AnnounceRefusal = r.exchange.AnnounceRefusal
	r.prober.LastHolder = func(b *model.BackendServer) bool {
		svc := r.config.Load().Service(b.Service)
		return svc != nil && rel.Chooser.LastHolder(svc, b)
	}
	r.prober.RouterCount = r.exchange.RouterCount
	r.prober.Now = time.Now
	r.liveness = &liveness.Watcher{
		Self:    r.settings.Router.Peers,
		Routers: r.exchange.LiveRouters,
		Engines: r.enginesInUse,
		Dial:    backend.DialIdle,
		OnExit: func(b *model.BackendServer) {
			r.exchange.AnnounceEngineExit(b.Incarnation())
			rel.HandleEngineExit(b.Incarnation())
		},
	}
	r.front = &front.Server{Config: r.config, Relay: rel, Observer: r.metrics, Intake: r.intake, Budget: r.clients, Callers: &caller.Callers{Late: r.processor.Late}, OnRequest: func() { r.requestSeen.Store(true) }}
}

// serversInUse returns the number of servers of a service that may run requests: engines hold layers,
// servers of plain services have none to hold.
func (r *Router) serversInUse(service string) int {
	n := 0
	for _, s := range r.catalog.Load().Service(service) {
		if s.Card == "" || s.Holds.Len() > 0 {
			n++
		}
	}
	return n
}
