package daemon

import (
	"context"
	"math"
	"net"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/skylarkwood/skylarkwood/internal/coordination/catalog"
	"github.com/skylarkwood/skylarkwood/internal/coordination/chains"
	"github.com/skylarkwood/skylarkwood/internal/coordination/clientbudget"
	"github.com/skylarkwood/skylarkwood/internal/coordination/follow"
	"github.com/skylarkwood/skylarkwood/internal/coordination/intake"
	"github.com/skylarkwood/skylarkwood/internal/coordination/leader"
	"github.com/skylarkwood/skylarkwood/internal/coordination/liveness"
	"github.com/skylarkwood/skylarkwood/internal/coordination/pause"
	"github.com/skylarkwood/skylarkwood/internal/coordination/placement"
	"github.com/skylarkwood/skylarkwood/internal/coordination/processor"
	"github.com/skylarkwood/skylarkwood/internal/coordination/quarantine"
	"github.com/skylarkwood/skylarkwood/internal/coordination/ratelimit"
	"github.com/skylarkwood/skylarkwood/internal/coordination/routes"
	"github.com/skylarkwood/skylarkwood/internal/model"
	"github.com/skylarkwood/skylarkwood/internal/protocol/relay"
	"github.com/skylarkwood/skylarkwood/internal/settings"
	"github.com/skylarkwood/skylarkwood/internal/transport/backend"
	"github.com/skylarkwood/skylarkwood/internal/transport/front"
	"github.com/skylarkwood/skylarkwood/internal/transport/link"
	"github.com/skylarkwood/skylarkwood/internal/transport/peers"
)

const (
	// controlInterval is the time between two comparisons of the plan with the engines.
	controlInterval = 200 * time.Millisecond
	// evaluateInterval is the time between two evaluations of suspected requests.
	evaluateInterval = 50 * time.Millisecond
	// persistInterval is the time between two checks whether the store has the verdicts.
	persistInterval = 200 * time.Millisecond
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
	pauses       *pause.Tracker
	elector      *leader.Elector
	controller   *placement.Controller
	exchange     *peers.Exchange
	follower     *follow.Follower
	prober       *relay.Prober
	liveness     *liveness.Watcher
	quarantine   *peers.Quarantine
	persister    *quarantine.Persister
	intake       *intake.Gate[net.Conn]
	clients      *clientbudget.Budget
	processor    *processor.Monitor
	links        *link.Server
	linkMetadata *link.Metadata
	backends     *backend.Pool
	front        *front.Server
	metrics      *metrics

	listen func(addr string) (net.Listener, error)      // replaced in tests
	decode func(raw []byte) (*model.RouteConfig, error) // replaced in tests

	requestSeen atomic.Bool
	draining    atomic.Bool

	linkBytesLogged  int64                    // used by logControl only
	interconnectRows map[interconnectRow]bool // rows in the metrics; used by cleanUp only
	processorLogged  processorLog             // used by cleanUp only
	malformed        malformedEntries         // used by the follower only
	configs          configQueue

	roster *leader.Roster
}

// memoryLimit returns the limit for the garbage collector in bytes. It caps values that would
// overflow.
func memoryLimit(megabytes float64) int64 {
	return int64(min(megabytes*memoryLimitShare*(1<<20), math.MaxInt64/2))
}

// Run serves until ctx ends or callers can no longer connect. It then fails the readiness
// check, serves until the balancer stops sending callers, and finishes the requests in
// progress. It returns an error if it cannot listen or if callers can no longer connect.
func (r *Router) Run(ctx context.Context) error {
	rt := r.settings.Router
	limitMemory(rt.MemoryMB)
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
	go r.runProbes(background)
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
	r.metrics.setIntake(r.intake.Limited())
	r.metrics.setClients(r.clients.Usage())
	r.logProcessor()
	r.metrics.setQuarantine(r.quarantine.Tracker.Counts())
	r.usage.ExpirePeers()
	r.catalog.PruneExited()
	servers := r.catalog.Load()
	registered := func(inc model.Incarnation) bool { return servers.Find(inc) != nil }
	r.health.Retain(registered)
	r.usage.Retain(registered)
	r.limits.Retain(registered)
	r.metrics.setLimits(r.limits.Rates())
	r.pauses.Retain(registered)
	r.metrics.setPauses(r.pauses.Count())
	r.metrics.setInterconnect(r.interconnectRows, r.interconnect.Shares())
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
