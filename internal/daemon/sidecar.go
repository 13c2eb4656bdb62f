package daemon

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/skylarkwood/skylarkwood/internal/coordination/clientbudget"
	"github.com/skylarkwood/skylarkwood/internal/coordination/limits"
	"github.com/skylarkwood/skylarkwood/internal/fault"
	"github.com/skylarkwood/skylarkwood/internal/model"
	"github.com/skylarkwood/skylarkwood/internal/platform"
	"github.com/skylarkwood/skylarkwood/internal/protocol/gate"
	"github.com/skylarkwood/skylarkwood/internal/protocol/sidecar"
	"github.com/skylarkwood/skylarkwood/internal/protocol/wire"
	"github.com/skylarkwood/skylarkwood/internal/settings"
	"github.com/skylarkwood/skylarkwood/internal/state/events"
	"github.com/skylarkwood/skylarkwood/internal/transport/data"
	"github.com/skylarkwood/skylarkwood/internal/transport/guard"
	"github.com/skylarkwood/skylarkwood/internal/transport/link"
	"github.com/skylarkwood/skylarkwood/internal/transport/mesh"
)

const (
	fencingTokenTimeout  = time.Second
	prepareRetryInterval = 200 * time.Millisecond
	engineTimeout        = 2 * time.Second
	// leaveDelay is the time in which heartbeats notify the entries that the sidecar is
	// leaving.
	leaveDelay = time.Second
)

// Sidecar is a sidecar process.
type Sidecar struct {
	settings settings.Settings
	deps     Dependencies
	node     *mesh.Node
	data     *data.Pool
	sidecar  *sidecar.Sidecar
	gate     *gate.Gate
	clients  *clientbudget.Budget
	metrics  *metrics
	load     platform.EngineLoad
}

// NewSidecar returns a sidecar that serves once Run is called.
func NewSidecar(s settings.Settings, out Dependencies) *Sidecar {
	d := &Sidecar{settings: s, deps: out, metrics: newMetrics(s)}
	incarnation := NewID()
	d.gate = gate.New(incarnation, s.Sidecar.Capacity, s.Sidecar.Queue, time.Now)
	d.gate.LimitAnswers(keptAnswers(s.Limits.MemoryMB))
	d.node = mesh.New(mesh.Options{
		Self:        instanceOf(s),
		Incarnation: incarnation,
		KV:          out.KV,
		Instances:   out.Instances,
		Now:         time.Now,
		NewID:       NewID,
		EventLimit:  s.Events.Keep,
	})
	d.clients = newClientBudget(s.Limits.MemoryMB, s.Limits.MaxDescriptors)
	d.node.LimitClients(d.clients)
	d.data = data.NewPool(d.node.Metadata())
	return d
}

// helloReply returns the description of the backend server that entries receive.
func (d *Sidecar) helloReply() wire.HelloReply {
	return wire.HelloReply{
		Data:       d.settings.Listen.HTTP,
		Service:    d.settings.Sidecar.Service,
		Kind:       d.settings.Sidecar.Kind,
		Range:      d.load.Range,
		Layers:     d.settings.Sidecar.Layers,
		StepMicros: d.load.StepTime.Microseconds(),
		Rate:       d.load.Rate,
	}
}

// prepare ends the sessions that an earlier sidecar left at the engine and reads which layers
// the engine holds. No request is accepted before it returns.
func (d *Sidecar) prepare(ctx context.Context) error {
	b := sidecar.Backend{Engine: d.deps.Engine, Plain: d.deps.Plain, Clients: d.clients}
	for b.Engine != nil {
		err := d.takeOverEngine(ctx, &b)
		if err == nil {
			break
		}
		klog.InfoS("taking over engine failed; retrying", "instance", d.settings.Instance, "err", err)
		select {
		case <-time.After(prepareRetryInterval):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	b.Limiter = limits.NewConcurrencyLimiter(d.load.MaxBatch, d.settings.Sidecar.Capacity, d.load.BatchTime(), time.Now)
	if b.Engine != nil {
		d.gate.SetConcurrencyLimiter(b.Limiter)
	}
	d.sidecar = sidecar.New(d.settings.Listen.Link, d.gate, b, sender{d.node, d.data}, d.node.Events, time.Now)
	d.node.SetBackend(d.helloReply(), d.gate.Load, d.sidecar.RecordContact)
	d.register()
	return nil
}

func (d *Sidecar) takeOverEngine(ctx context.Context, b *sidecar.Backend) error {
	b.Fence = nextFencingToken(ctx, d.deps.KV, d.settings.Sidecar.Backend)
	ctx, cancel := context.WithTimeout(ctx, engineTimeout)
	defer cancel()
	endedSessions, err := b.Engine.EndAll(ctx, b.Fence)
	if err != nil {
		return err
	}
	if d.load, err = b.Engine.Load(ctx); err != nil {
		return err
	}
	klog.InfoS("engine taken over", "instance", d.settings.Instance, "fence", b.Fence, "ended", endedSessions, "layers", d.load.Range)
	return nil
}

// nextFencingToken returns the next fencing token for an engine. The token is at least the time
// in milliseconds. While the key-value service is unavailable the time is the token. That is
// safe unless the clock goes back by more than a restart takes.
func nextFencingToken(ctx context.Context, kv platform.KV, backend string) int64 {
	ctx, cancel := context.WithTimeout(ctx, fencingTokenTimeout)
	defer cancel()
	now := time.Now().UnixMilli()
	for ctx.Err() == nil {
		v, err := kv.Get(ctx, "fence/"+backend)
		if err != nil && !errors.Is(err, platform.ErrNotFound) {
			break
		}
		last, _ := strconv.ParseInt(string(v.Data), 10, 64)
		next := max(last+1, now)
		if _, err = kv.CompareAndSwap(ctx, "fence/"+backend, strconv.AppendInt(nil, next, 10), v.Version); err == nil {
			return next
		}
	}
	return now
}

// register registers the handlers of requests. Until then every message is refused as unknown,
// and entries treat the instance as not started.
func (d *Sidecar) register() {
	srv, s := d.node.Server, d.sidecar
	srv.Register(wire.MethodOpen, link.Handle(checkRevision(d, s.Open)))
	srv.Register(wire.MethodCall, link.Handle(checkRevision(d, s.Call)))
	srv.Register(wire.MethodResume, link.Handle(s.Resume))
	srv.Register(wire.MethodNoStage, link.Handle(s.NoStage))
	srv.Register(wire.MethodClose, link.Handle(s.Close))
	srv.Register(wire.MethodCancel, link.Handle(s.Cancel))
}

// checkRevision wraps a handler to refuse requests of an entry whose configuration is older.
func checkRevision[Req, Rep any](d *Sidecar, f func(context.Context, string, Req) (Rep, error)) func(context.Context, string, Req) (Rep, error) {
	return func(ctx context.Context, from string, req Req) (Rep, error) {
		admitted := int64(0)
		if a, ok := any(req).(interface{ AdmittedBy() int64 }); ok {
			admitted = a.AdmittedBy()
		}
		if err := d.node.CheckSenderRevision(from, admitted); err != nil {
			var zero Rep
			return zero, err
		}
		return f(ctx, from, req)
	}
}

// sender sends the results of a stage: activations and tokens over data streams, other messages
// over links.
type sender struct {
	node *mesh.Node
	data *data.Pool
}

func (s sender) Forward(_ context.Context, to wire.Stage, f wire.Forward) error {
	return s.data.Forward(to.Data, f)
}

func (s sender) Tokens(_ context.Context, owner wire.Stage, t wire.Tokens) error {
	return s.data.SendTokens(owner.Data, t)
}

// NoStage notifies a member only: anybody can name an address as the sender of positions.
func (s sender) NoStage(ctx context.Context, addr string, n wire.NoStage) error {
	if _, known := s.node.Table.Get(addr); !known {
		return fault.New(fault.NotFound, "%s is no member", addr)
	}
	return s.node.Pool.Notify(ctx, addr, wire.MethodNoStage, n)
}

func (s sender) StageFailed(ctx context.Context, addr string, f wire.StageFailed) error {
	return s.node.Pool.Notify(ctx, addr, wire.MethodStageFailed, f)
}

// Run serves until ctx ends. The gate then refuses new requests, and Run returns when the
// requests in progress have finished.
func (d *Sidecar) Run(ctx context.Context) error {
	limitMemory(d.settings.Limits.MemoryMB)
	linkListener, httpListener, err := listen(d.settings.Listen)
	if err != nil {
		return err
	}
	running, stop := context.WithCancel(context.Background())
	defer stop()
	if err := d.prepare(ctx); err != nil {
		return nil // stopped before it started
	}
	done := make(chan error, 2)
	go func() { done <- d.node.Run(running, linkListener) }()
	srv := guard.NewServer(d.handler())
	go func() { done <- guard.Serve(srv, httpListener, httpOptions(d.node, d.clients)) }()
	go runPeriodically(running, sweepInterval/5, func() {
		d.sidecar.Sweep()
		d.metrics.setLinkBytes(d.node.Bytes())
		d.metrics.setGate(d.gate.Load())
		d.metrics.setClients(d.clients.Usage())
	})
	klog.InfoS("sidecar started", "instance", d.settings.Instance, "incarnation", d.node.Incarnation,
		"service", d.settings.Sidecar.Service, "link", d.settings.Listen.Link)
	select {
	case err := <-done:
		return errors.Wrap(err, "sidecar stopped")
	case <-ctx.Done():
	}
	d.node.Events.Add(model.RequestKey{}, events.DrainStarted, "")
	klog.InfoS("sidecar draining", "instance", d.settings.Instance, "active", d.gate.Load().Active)
	<-d.gate.Drain()
	time.Sleep(leaveDelay)
	d.data.Close()
	return srv.Close()
}

func (d *Sidecar) handler() http.Handler {
	mux := http.NewServeMux()
	dataServer := &data.Server{Metadata: d.node.Metadata(), Forward: d.sidecar.Forward}
	mux.Handle(dataServer.Handler())
	handlePages(mux, d.metrics, func() error {
		if d.gate.Load().Leaving {
			return fault.New(fault.Leaving, "sidecar is leaving")
		}
		return nil
	})
	return mux
}
