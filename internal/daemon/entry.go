// Package daemon assembles the processes of the system: a router, an entry, a sidecar,
// or a small system in one process for development.
package daemon

import (
	"context"
	"crypto/rand"
	"fmt"
	"math"
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/oklog/ulid/v2"
	"github.com/pkg/errors"
	"golang.org/x/time/rate"
	"k8s.io/klog/v2"

	"github.com/skylarkwood/skylarkwood/api/skylarkwood/v1/skylarkwoodv1connect"
	"github.com/skylarkwood/skylarkwood/internal/coordination/admission"
	"github.com/skylarkwood/skylarkwood/internal/coordination/clientbudget"
	"github.com/skylarkwood/skylarkwood/internal/coordination/ledger"
	"github.com/skylarkwood/skylarkwood/internal/coordination/limits"
	"github.com/skylarkwood/skylarkwood/internal/coordination/membership"
	"github.com/skylarkwood/skylarkwood/internal/coordination/routing"
	"github.com/skylarkwood/skylarkwood/internal/fault"
	"github.com/skylarkwood/skylarkwood/internal/model"
	"github.com/skylarkwood/skylarkwood/internal/platform"
	"github.com/skylarkwood/skylarkwood/internal/protocol/owner"
	"github.com/skylarkwood/skylarkwood/internal/protocol/wire"
	"github.com/skylarkwood/skylarkwood/internal/settings"
	"github.com/skylarkwood/skylarkwood/internal/state/events"
	"github.com/skylarkwood/skylarkwood/internal/state/requests"
	"github.com/skylarkwood/skylarkwood/internal/transport/api"
	"github.com/skylarkwood/skylarkwood/internal/transport/data"
	"github.com/skylarkwood/skylarkwood/internal/transport/guard"
	"github.com/skylarkwood/skylarkwood/internal/transport/link"
	"github.com/skylarkwood/skylarkwood/internal/transport/mesh"
)

const (
	sweepInterval = 5 * time.Second
	intentTimeout = 3 * time.Second
	ledgerBurst   = 5
	// readyPollInterval is the time between two checks of dev mode whether its processes
	// are connected.
	readyPollInterval = 20 * time.Millisecond
	// minCompressBytes is the size of the smallest response that is compressed.
	minCompressBytes = 4096
)

// Dependencies holds the clients of the external services that a process uses.
type Dependencies struct {
	KV        platform.KV
	Instances platform.Instances
	Engine    platform.Engine
	Plain     platform.Plain
}

// Dial returns clients of the external services that the settings name.
func Dial(s settings.Settings) Dependencies {
	const idle = 64
	hc := platform.NewHTTPClient(idle)
	out := Dependencies{
		KV:        platform.DialKV(hc, s.Platform.KeyValue),
		Instances: platform.DialInstances(hc, s.Platform.Instances),
	}
	if s.Role == model.RoleSidecar && s.Sidecar.Kind == model.KindPipeline {
		out.Engine = platform.DialEngine(hc, s.Sidecar.Backend)
	}
	if s.Role == model.RoleSidecar && s.Sidecar.Kind == model.KindPlain {
		out.Plain = platform.DialPlain(hc, s.Sidecar.Backend)
	}
	return out
}

// NewID returns a new ULID. ULIDs sort by time.
func NewID() string {
	return ulid.MustNew(ulid.Now(), rand.Reader).String()
}

// Entry is an entry process.
type Entry struct {
	settings settings.Settings
	node     *mesh.Node
	data     *data.Pool
	owner    *owner.Owner
	store    *requests.Store
	ledger   *ledger.Ledger
	clients  *clientbudget.Budget
	metrics  *metrics
	draining chan struct{}
}

// NewEntry returns an entry that serves once Run is called.
func NewEntry(s settings.Settings, out Dependencies) *Entry {
	e := &Entry{
		settings: s,
		metrics:  newMetrics(s),
		store:    requests.NewStore(time.Now, time.Duration(s.Entry.KeepOutcomes)),
		draining: make(chan struct{}),
	}
	e.ledger = ledger.New(out.KV, time.Now, rate.NewLimiter(rate.Limit(s.Entry.LedgerWrites), ledgerBurst))
	e.node = mesh.New(mesh.Options{
		Self:        instanceOf(s),
		Incarnation: NewID(),
		KV:          out.KV,
		Instances:   out.Instances,
		Now:         time.Now,
		NewID:       NewID,
		EventLimit:  s.Events.Keep,
	})
	e.store.LimitAnswers(keptAnswers(s.Limits.MemoryMB))
	e.clients = newClientBudget(s.Limits.MemoryMB, s.Limits.MaxDescriptors)
	e.node.LimitClients(e.clients)
	e.data = data.NewPool(e.node.Metadata())
	e.owner = owner.New(owner.Deps{
		Instance:         s.Instance,
		Incarnation:      e.node.Incarnation,
		Address:          s.Listen.Link,
		Data:             s.Listen.HTTP,
		Peers:            e.node.Pool,
		Feeder:           sender{e.node, e.data},
		Table:            e.node.Table,
		Router:           routing.New(e.node.Table, e.links(), time.Now, nil),
		Config:           e.node.Config,
		RateLimiter:      limits.NewRateLimiter(e.entryCount),
		RetryBudget:      limits.NewRetryBudget(),
		AdmissionLimiter: admission.NewLimiter(time.Now),
		RecordIntent:     e.recordIntent,
		Requests:         e.store,
		Events:           e.node.Events,
		Now:              time.Now,
		Refresh:          e.node.FetchConfig,
		Observe:          e.metrics.recordOutcome,
		Timing:           owner.DefaultTiming(),
	})
	e.register()
	return e
}

// entryCount returns the number of entries, this one included. They share limits that have
// no common counter.
func (e *Entry) entryCount() int { return 1 + len(e.node.Table.Entries()) }

func instanceOf(s settings.Settings) model.Instance {
	return model.Instance{
		ID:            s.Instance,
		Role:          s.Role,
		Address:       s.Listen.Link,
		FailureDomain: s.FailureDomain,
		Region:        s.Region,
	}
}

func (e *Entry) register() {
	srv := e.node.Server
	srv.Register(wire.MethodStageFailed, link.Handle(func(_ context.Context, _ string, f wire.StageFailed) (struct{}, error) {
		e.owner.StageFailed(f)
		return struct{}{}, nil
	}))
	srv.Register(wire.MethodNoStage, link.Handle(func(_ context.Context, from string, n wire.NoStage) (struct{}, error) {
		e.owner.NoStage(from, n)
		return struct{}{}, nil
	}))
	srv.Register(wire.MethodOutcome, link.Handle(func(_ context.Context, _ string, q wire.OutcomeQuery) (wire.OutcomeReply, error) {
		return e.owner.KnownOutcome(q.Key), nil
	}))
	srv.Register(wire.MethodOutcomeCopy, link.Handle(func(_ context.Context, _ string, c wire.OutcomeCopy) (struct{}, error) {
		e.store.SetOutcomeCopy(c.Key, c.Outcome)
		return struct{}{}, nil
	}))
	srv.Register(wire.MethodIntent, link.Handle(e.handleIntent))
}

// intentMessage carries an intent to the entry that owns its shard.
type intentMessage struct {
	Intent ledger.Intent `json:"intent"`
	ID     string        `json:"id"`
}

func (e *Entry) handleIntent(ctx context.Context, _ string, m intentMessage) (ledger.Intent, error) {
	ctx, cancel := context.WithTimeout(ctx, intentTimeout)
	defer cancel()
	return e.ledger.Record(ctx, m.Intent, m.ID)
}

// recordIntent records an intent at the entry that owns its shard. If that entry is
// unreachable, this entry records the intent itself. The compare-and-swap of the key-value
// service admits only one of the two, and id shows whether the first attempt took effect.
func (e *Entry) recordIntent(ctx context.Context, in ledger.Intent, id string) (ledger.Intent, error) {
	ctx, cancel := context.WithTimeout(ctx, intentTimeout)
	defer cancel()
	addrs := []string{e.node.Self.Address}
	for _, m := range e.node.Table.Entries() {
		addrs = append(addrs, m.Instance.Address)
	}
	shard := fmt.Sprintf("ledger-%d", ledger.ShardOf(in.Key))
	actor := membership.Rendezvous(shard, addrs)[0]
	if actor == e.node.Self.Address {
		return e.ledger.Record(ctx, in, id)
	}
	var stored ledger.Intent
	call, stop := context.WithTimeout(ctx, intentTimeout/2)
	defer stop()
	err := e.node.Pool.Call(call, actor, wire.MethodIntent, intentMessage{in, id}, &stored)
	if fault.Is(err, fault.Unreachable) {
		return e.ledger.Record(ctx, in, id)
	}
	return stored, err
}

// Run serves until ctx ends. It then fails the readiness check, waits for the balancer to
// stop sending callers, and finishes the requests in progress.
func (e *Entry) Run(ctx context.Context) error {
	limitMemory(e.settings.Limits.MemoryMB)
	linkListener, httpListener, err := listen(e.settings.Listen)
	if err != nil {
		return err
	}
	running, stop := context.WithCancel(context.Background())
	defer stop()
	done := make(chan error, 2)
	go func() { done <- e.node.Run(running, linkListener) }()
	srv := guard.NewServer(e.handler())
	go func() { done <- guard.Serve(srv, httpListener, httpOptions(e.node, e.clients)) }()
	go runPeriodically(running, sweepInterval, func() {
		e.store.Sweep()
		e.ledger.Sweep(running)
		e.metrics.setLinkBytes(e.node.Bytes())
		e.metrics.setClients(e.clients.Usage())
	})
	klog.InfoS("entry started", "instance", e.settings.Instance, "incarnation", e.node.Incarnation,
		"http", e.settings.Listen.HTTP, "link", e.settings.Listen.Link)
	select {
	case err := <-done:
		return errors.Wrap(err, "entry stopped")
	case <-ctx.Done():
	}
	e.drain()
	return e.closeHTTP(srv)
}

// closeHTTP waits for callers to read their responses. The data streams of sidecars stay
// open, so the wait is bounded. They carry no request any more.
func (e *Entry) closeHTTP(srv *http.Server) error {
	const shutdownTimeout = 2 * time.Second
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if err := srv.Shutdown(ctx); err != nil {
		return srv.Close()
	}
	return nil
}

func (e *Entry) drain() {
	close(e.draining)
	e.node.Events.Add(model.RequestKey{}, events.DrainStarted, "")
	klog.InfoS("entry draining", "instance", e.settings.Instance, "running", e.owner.ActiveRequests())
	time.Sleep(time.Duration(e.settings.Entry.DrainDelay))
	<-e.owner.Drain()
}

func (e *Entry) handler() http.Handler {
	mux := http.NewServeMux()
	// Compressing the message of one token costs processor time and makes it longer.
	compression := connect.WithCompressMinBytes(minCompressBytes)
	limit := connect.WithReadMaxBytes(api.MaxMessage)
	handleMessages := func(path string, h http.Handler) { mux.Handle(path, guard.WithMessage(h, api.MaxMessage, api.Refuse)) }
	handleMessages(skylarkwoodv1connect.NewRequestServiceHandler(&api.Requests{Node: e.node, Owner: e.owner}, compression, limit))
	handleMessages(skylarkwoodv1connect.NewOperatorServiceHandler(&api.Operators{Node: e.node}, compression, limit))
	dataServer := &data.Server{Metadata: e.node.Metadata(), Tokens: e.owner.Tokens}
	mux.Handle(dataServer.Handler())
	handlePages(mux, e.metrics, e.ready)
	return mux
}

func (e *Entry) ready() error {
	select {
	case <-e.draining:
		return fault.New(fault.Leaving, "entry is leaving")
	default:
		return e.node.CheckReady()
	}
}

func listen(l settings.Listen) (linkListener, httpListener net.Listener, err error) {
	if linkListener, err = listenTCP(l.Link); err != nil {
		return nil, nil, errors.Wrap(err, "listen.link")
	}
	if httpListener, err = listenTCP(l.HTTP); err != nil {
		linkListener.Close()
		return nil, nil, errors.Wrap(err, "listen.http")
	}
	return linkListener, httpListener, nil
}

func runPeriodically(ctx context.Context, d time.Duration, f func()) {
	t := time.NewTicker(d)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			f()
		}
	}
}

// defaultLinkDelay is the one-way time between failure domains without a configured link.
const defaultLinkDelay = 500 * time.Microsecond

// links returns the links of the settings.
func (e *Entry) links() routing.Links {
	links := e.settings.Links
	byDomains := map[[2]string]settings.Link{}
	for _, l := range links {
		a, b := l.Between[0], l.Between[1]
		byDomains[[2]string{a, b}] = l
		byDomains[[2]string{b, a}] = l
	}
	return routing.Links{
		RouterCount: e.entryCount,
		Time: func(a, b model.Instance) time.Duration {
			if l, ok := byDomains[[2]string{a.FailureDomain, b.FailureDomain}]; ok {
				return time.Duration(l.OneWay)
			}
			if a.FailureDomain == b.FailureDomain {
				return defaultLinkDelay / 5
			}
			return defaultLinkDelay
		},
		Rate: func(from, to string) float64 {
			if l, ok := byDomains[[2]string{from, to}]; ok && l.Positions > 0 {
				return l.Positions
			}
			return math.Inf(1)
		},
	}
}
