package daemon

import (
	"context"
	"math"
	"net"
	"runtime/debug"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/skylarkwood/skylarkwood/internal/boottime"
	"github.com/skylarkwood/skylarkwood/internal/coordination/admission"
	"github.com/skylarkwood/skylarkwood/internal/coordination/catalog"
	"github.com/skylarkwood/skylarkwood/internal/coordination/chains"
	"github.com/skylarkwood/skylarkwood/internal/coordination/detector"
	"github.com/skylarkwood/skylarkwood/internal/coordination/follow"
	"github.com/skylarkwood/skylarkwood/internal/coordination/leader"
	"github.com/skylarkwood/skylarkwood/internal/coordination/limits"
	"github.com/skylarkwood/skylarkwood/internal/coordination/liveness"
	"github.com/skylarkwood/skylarkwood/internal/coordination/placement"
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

const (
	// controlInterval is the time between two comparisons of the plan with the engines.
	controlInterval = 200 * time.Millisecond
	// evaluateInterval is the time between two evaluations of suspected requests.
	evaluateInterval = 50 * time.Millisecond
	// persistInterval is the time between two checks whether the store has the verdicts.
	persistInterval = 200 * time.Millisecond
	// yieldDelay is the length of a pause while a configuration is decoded.
	yieldDelay = time.Millisecond
	// rosterInterval is the time between two checks of the leader for entries of routers that
	// are gone.
	rosterInterval = 5 * time.Second
	// cleanUpInterval is the time between two removals of idle connections and expired state.
	cleanUpInterval = time.Second
	// callLogInterval is the time between two log lines on what a router spends on control:
	// calls to the store, and traffic with other routers.
	callLogInterval = 10 * time.Second
	// balancerDelay is how long the balancer may still send new callers after the readiness
	// check failed. It checks twice, one second apart.
	balancerDelay = 2500 * time.Millisecond
	// graceMargin is the part of the grace time that is reserved for exiting.
	graceMargin = 500 * time.Millisecond
	// memoryLimitShare is the share of the memory limit that the garbage collector aims for.
	// Kernel buffers count against the limit too.
	memoryLimitShare = 0.6
)

// Router is a router process.
type Router struct {
	settings     settings.Settings
	store        *countedStore
	config       *routes.ActiveConfig
	catalog      *catalog.Catalog
	health       *catalog.Health
	usage        *chains.UsageTracker
	interconnect *chains.Interconnect
	limits       *ratelimit.Tracker
	elector      *leader.Elector
	controller   *placement.Controller
	exchange     *peers.Exchange
	follower     *follow.Follower
	prober       *relay.Prober
	liveness     *liveness.Watcher
	quarantine   *peers.Quarantine
	persister    *quarantine.Persister
	links        *link.Server
	linkMetadata *link.Metadata
	backends     *backend.Pool
	front        *front.Server
	metrics      *metrics

	listen func(addr string) (net.Listener, error)      // replaced in tests
	decode func(raw []byte) (*model.RouteConfig, error) // replaced in tests

	requestSeen atomic.Bool
	draining    atomic.Bool

	linkBytesLogged int64            // used by logControl only
	malformed       malformedEntries // used by the follower only
	configs         configQueue

	roster *leader.Roster
}

// memoryLimit returns the limit for the garbage collector in bytes. It caps values that would
// overflow.
func memoryLimit(megabytes float64) int64 {
	return int64(min(megabytes*memoryLimitShare*(1<<20), math.MaxInt64/2))
}

// NewRouter returns a router that serves once Run is called.
func NewRouter(s settings.Settings, store external.Store) *Router {
	m := newMetrics(s)
	r := &Router{
		settings:     s,
		store:        newCountedStore(store, m),
		config:       &routes.ActiveConfig{},
		catalog:      catalog.New(time.Now),
		health:       catalog.NewHealth(time.Now),
		usage:        chains.NewUsageTracker(time.Now),
		interconnect: chains.NewInterconnect(time.Now),
		prober:       relay.NewProber(),
		backends:     backend.NewPool(),
		metrics:      m,
		roster:       leader.NewRoster(s.Router.Peers, time.Now),
		malformed:    malformedEntries{},
		listen:       listenTCP,
	}
	r.decode = func(raw []byte) (*model.RouteConfig, error) { return platform.DecodeConfig(raw, r.yield) }
	r.configs = configQueue{apply: r.applyConfig, confirm: r.config.Confirm}
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
	r.store.onNoResponse = r.follower.CallFailed
	if store, ok := r.store.Store.(interface{ OnNewEra(func(era int64)) }); ok {
		store.OnNewEra(r.follower.ObserveEra)
	}
	updates.WaitForUpdates = r.follower.WaitForUpdates
	updates.Register(r.links)
}

// reachableRouters returns the registered routers that are reachable.
func (r *Router) reachableRouters() []follow.Router {
	reachable := r.exchange.ReachablePeers()
	var out []follow.Router
	for _, m := range r.roster.Members() {
		if reachable[m.Address] {
			out = append(out, follow.Router{Address: m.Address, Domain: m.Domain, LinkMbps: m.LinkMbps})
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
		HandlePeerSuspicion: func(engine model.Incarnation) { r.prober.HandlePeerSuspicion(engine) },
		HandlePeerRefusal:   r.health.SuspectFromPeer,
		HandleEngineExit:    func(engine model.Incarnation) { r.front.Relay.HandleEngineExit(engine) },
		Clock:               boottime.Now,
		Now:                 time.Now,
		HasTraffic:          r.requestSeen.Load,
	}
	rt := r.settings.Router
	r.limits = ratelimit.New(r.settings.Router.Peers, r.routersNear, boottime.Now)
	r.exchange.Limits = r.limits
	budget := limits.NewSharedRetryBudget(rt.RetryRatio, rt.RetrySlack, time.Duration(rt.RetryWindow), r.exchange.RouterCount, time.Now)
	r.exchange.RetryBorrower = &limits.RetryBorrower{Budget: budget, Borrow: r.exchange.Borrow, Now: time.Now}
	r.exchange.TransferSlot = transfer.NewSlot()
	r.exchange.Values = r.newValues()
	r.links = link.NewServer(r.linkMetadata)
	r.links.VerifySenderHost = true
	r.exchange.Register(r.links)
	r.exchange.Values.Register(r.links)
	tracker := quarantine.New(boottime.Now)
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

func (r *Router) buildRelay() {
	rt := r.settings.Router
	rel := &relay.Relay{
		Config:         r.config,
		Catalog:        r.catalog,
		Health:         r.health,
		Chooser:        &chains.Chooser{Catalog: r.catalog, Health: r.health, Usage: r.usage, Interconnect: r.interconnect, RouterCount: r.exchange.RouterCount, Limits: r.limits, Self: r.settings.Router.Peers},
		Usage:          r.usage,
		RetryBorrower:  r.exchange.RetryBorrower,
		WaitQueue:      admission.NewWaitQueue(),
		Limits:         r.limits,
		BackendClient:  r.backends,
		Observer:       r.metrics,
		OnPanic:        r.metrics.countPanic,
		ActiveRuns:     relay.NewActiveRuns(),
		Detector:       detector.New(time.Now),
		Suspects:       r.prober,
		Quarantine:     r.quarantine.Tracker,
		RequestTrial:   r.quarantine.RequestTrial,
		CheckListening: r.backends.CheckListening,
		FailureDomain:  r.settings.FailureDomain,
		MaxConfigAge:   time.Duration(rt.ConfigApply),
		Clock:          boottime.Now,
		Now:            time.Now,
		Started:        time.Now(),
	}
	rel.SlowdownMonitor = relay.NewSlowdownMonitor()
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
	r.front = &front.Server{Config: r.config, Relay: rel, Observer: r.metrics, OnRequest: func() { r.requestSeen.Store(true) }}
}

// engines returns the engines of all engine services, draining ones included.
func (r *Router) engines() []*model.BackendServer {
	table := r.config.Load()
	if table == nil {
		return nil
	}
	var out []*model.BackendServer
	for i := range table.Config.Services {
		if svc := &table.Config.Services[i]; svc.Engine != nil {
			out = append(out, r.catalog.Load().All(svc.Name)...)
		}
	}
	return out
}

// enginesInUse returns the engines that may run requests. Before callers come, none does.
func (r *Router) enginesInUse() []*model.BackendServer {
	if !r.hasTraffic() {
		return nil
	}
	return r.engines()
}

func (r *Router) buildController() {
	r.elector = &leader.Elector{
		Store:       r.store,
		Self:        leader.Member{Instance: r.settings.Instance, Address: r.settings.Router.Peers, Domain: r.settings.FailureDomain, LinkMbps: r.settings.Router.LinkMbps},
		Incarnation: NewID(),
		Clock:       boottime.Now,
		// Routers that watch the store learn first that there is no leader. If all routers
		// were candidates, each election would cost two store calls a router.
		Eligible: func() bool { return !r.draining.Load() && r.follower.Watching() },
	}
	r.controller = &placement.Controller{
		Config:       r.config,
		Catalog:      r.catalog,
		Store:        r.store,
		Engines:      relay.EngineClient{Relay: r.front.Relay},
		FencingToken: r.elector.FencingToken,
		OnFenced:     r.elector.TokenRejected,
		HasTraffic:   r.hasTraffic,
		Suspected:    r.health.Suspected,
		Unreachable:  r.prober.Lost,
		RateLimits:   r.limits.Rates,
		StreamCount:  func(engine model.Incarnation) float64 { return r.usage.Used(engine).Streams },
		Now:          time.Now,
	}
}

// Run serves until ctx ends or callers can no longer connect. It then fails the readiness
// check, serves until the balancer stops sending callers, and finishes the requests in
// progress. It returns an error if it cannot listen or if callers can no longer connect.
func (r *Router) Run(ctx context.Context) error {
	rt := r.settings.Router
	if rt.MemoryMB > 0 {
		debug.SetMemoryLimit(memoryLimit(rt.MemoryMB))
	}
	var listeners [3]net.Listener
	for i, addr := range []string{rt.Callers, rt.Ready, rt.Peers} {
		l, err := r.listen(addr)
		if err != nil {
			return err
		}
		defer l.Close()
		listeners[i] = l
	}
	callers, ready, links := listeners[0], listeners[1], listeners[2]
	klog.InfoS("started", "instance", r.settings.Instance, "failureDomain", r.settings.FailureDomain, "callers", rt.Callers,
		"store", rt.Store, "firstStart", rt.FirstStart)
	background, stop := context.WithCancel(context.Background())
	defer stop()
	go r.serveReady(ready)
	if rt.Metrics != "" {
		go r.serveMetrics(rt.Metrics)
	}
	go func() {
		if err := r.links.Serve(background, links); err != nil {
			klog.ErrorS(err, "serving links to peers failed")
		}
	}()
	r.exchange.QueryPeerVersions()
	go r.follower.Run(background)
	electing, resign := context.WithCancel(background)
	defer resign()
	go r.elector.Run(electing)
	go r.exchange.Run(background)
	go r.prober.Run(background)
	go r.liveness.Run(background)
	go r.runPeriodically(background, controlInterval, func() {
		r.expireServers()
		r.front.Relay.SlowdownMonitor.Recheck()
		r.controller.Tick(background)
	})
	go r.quarantine.Run(background)
	go r.runPeriodically(background, evaluateInterval, r.quarantine.Tracker.EvaluateSuspects)
	go r.runPeriodically(background, persistInterval, func() { r.persister.Tick(background) })
	go r.runPeriodically(background, rosterInterval, func() { r.removeGoneRouters(background) })
	go r.runPeriodically(background, cleanUpInterval, r.cleanUp)
	go r.runPeriodically(background, callLogInterval, r.logControl)
	served := make(chan error, 1)
	go func() { served <- r.front.Serve(callers) }()
	var failure error
	select {
	case failure = <-served:
		// Callers that are connected get their responses before the process exits.
		klog.ErrorS(failure, "accepting callers failed")
	case <-ctx.Done():
		klog.InfoS("stop requested", "by", context.Cause(ctx))
	}
	resign()
	r.drain(time.Duration(rt.Grace))
	return failure
}

func (r *Router) drain(grace time.Duration) {
	startedAt := time.Now()
	r.draining.Store(true)
	r.front.Drain()
	klog.InfoS("stopping", "active", r.front.ActiveRequests(), "grace", grace)
	time.Sleep(min(balancerDelay, grace/2))
	ctx, cancel := context.WithDeadline(context.Background(), startedAt.Add(grace-graceMargin))
	defer cancel()
	err := r.front.Shutdown(ctx)
	r.store.logCounts()
	klog.InfoS("stopped", "active", r.front.ActiveRequests(), "took", time.Since(startedAt), "err", err)
}

func (r *Router) runPeriodically(ctx context.Context, d time.Duration, f func()) {
	tick := time.NewTicker(d)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			f()
		case <-ctx.Done():
			return
		}
	}
}

func (r *Router) cleanUp() {
	r.backends.CloseExpired()
	r.quarantine.Tracker.Expire()
	r.metrics.setQuarantine(r.quarantine.Tracker.Counts())
	r.usage.ExpirePeers()
	r.catalog.PruneExited()
	servers := r.catalog.Load()
	registered := func(inc model.Incarnation) bool { return servers.Find(inc) != nil }
	r.health.Retain(registered)
	r.usage.Retain(registered)
	r.limits.Retain(registered)
	r.metrics.setLimits(r.limits.Rates())
	for _, b := range r.engines() {
		r.usage.Observe(b.Incarnation(), b.Holds)
	}
	r.metrics.setRouter(r.front.ActiveRequests(), r.front.Relay.WaitQueue.Len(), r.backends.DialCount(), r.config.Version())
	r.metrics.setStoreContact(r.follower.Watching(), r.follower.SinceLastContact())
	r.metrics.setLinkBytes(r.linkMetadata.Bytes())
}

// logControl logs what this router spent on control since the last line.
func (r *Router) logControl() {
	r.store.logCounts()
	total := r.linkMetadata.Bytes()
	klog.InfoS("traffic with other routers", "bytes", total-r.linkBytesLogged, "routers", r.exchange.RouterCount()-1,
		"reachable", len(r.exchange.ReachablePeers()), "watching", r.follower.Watching())
	r.linkBytesLogged = total
}

// removeGoneRouters removes the entries of routers that are gone while this router leads.
func (r *Router) removeGoneRouters(ctx context.Context) {
	if r.elector.FencingToken() != 0 {
		r.roster.RemoveGone(ctx, r.store, r.exchange.Silence, r.exchange.GoneAfter())
	}
}

// expireServers drops backend servers whose removed entries were not written again in time.
func (r *Router) expireServers() {
	for _, id := range r.catalog.Expire() {
		klog.InfoS("backend server expired", "server", id, "why", "entry not written again in time")
	}
}

// Ready reports whether the balancer may send callers to this router.
func (r *Router) Ready() bool {
	return !r.draining.Load() && r.config.Load() != nil
}

// Watching reports whether this router watches the store itself instead of polling a peer.
func (r *Router) Watching() bool { return r.follower.Watching() }
