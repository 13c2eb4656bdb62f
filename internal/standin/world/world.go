// Package world is a small whole system in one process for long randomised runs
// and experiments in virtual time: the real decisions of entries and sidecars
// over stand-ins for engines, the key-value service and the links, without
// sockets.
package world

import (
	"context"
	"fmt"
	"math"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/skylarkwood/skylarkwood/internal/coordination/admission"
	"github.com/skylarkwood/skylarkwood/internal/coordination/config"
	"github.com/skylarkwood/skylarkwood/internal/coordination/ledger"
	"github.com/skylarkwood/skylarkwood/internal/coordination/limits"
	"github.com/skylarkwood/skylarkwood/internal/coordination/membership"
	"github.com/skylarkwood/skylarkwood/internal/coordination/routing"
	"github.com/skylarkwood/skylarkwood/internal/daemon"
	"github.com/skylarkwood/skylarkwood/internal/hlc"
	"github.com/skylarkwood/skylarkwood/internal/model"
	"github.com/skylarkwood/skylarkwood/internal/platform"
	"github.com/skylarkwood/skylarkwood/internal/protocol/gate"
	"github.com/skylarkwood/skylarkwood/internal/protocol/owner"
	"github.com/skylarkwood/skylarkwood/internal/protocol/sidecar"
	"github.com/skylarkwood/skylarkwood/internal/protocol/wire"
	"github.com/skylarkwood/skylarkwood/internal/standin"
	"github.com/skylarkwood/skylarkwood/internal/state/events"
	"github.com/skylarkwood/skylarkwood/internal/state/requests"
	"github.com/skylarkwood/skylarkwood/internal/transport/link"
)

// The one customer of a world and its services.
const (
	Customer = "skola-manus"
	Sheets   = "planer-rundi"
	Notices  = "dispecer"
)

const (
	// Heartbeat is how often entries ask everybody for their state.
	Heartbeat = 500 * time.Millisecond
	helloWait = 700 * time.Millisecond
	queueSize = 32
	timeout   = 20 * time.Second
)

// EngineSpec is one engine with its sidecar.
type EngineSpec struct {
	Domain       string
	Range        model.LayerRange
	StepTime     time.Duration
	PositionTime time.Duration
	Batch        int
	Sessions     int // places at the gate
}

// PlainSpec is one plain service with its sidecar.
type PlainSpec struct {
	Domain string
	Time   time.Duration
	Places int
}

// Config lays a world out.
type Config struct {
	Seed    uint64
	Layers  int
	Entries []string // failure domain of each
	Engines []EngineSpec
	Plains  []PlainSpec
	Link    func(from, to string) Link
	// Customers are given the same template as Customer.
	Customers []string
	// Router makes an entry's router; nil takes the product's.
	Router func(*membership.Table, routing.Links) owner.Router
}

// Entry is one incarnation of an entry.
type Entry struct {
	Addr  string
	Owner *owner.Owner
	Store *requests.Store
	// Dead ends with the entry.
	Dead   context.Context
	domain string
	stop   context.CancelFunc
}

// Sidecar is one backend server and the sidecar beside it.
type Sidecar struct {
	Addr   string
	Engine *standin.Engine
	Plain  *standin.Plain
	Domain string
	places int
	spec   EngineSpec
	gate   *gate.Gate
	stop   context.CancelFunc
}

func (u *Sidecar) batchTime() time.Duration {
	return time.Duration(float64(u.spec.Batch) / u.Engine.Rate() * float64(time.Second))
}

// Gate gives the gate of the sidecar's present incarnation.
func (u *Sidecar) Gate() *gate.Gate { return u.gate }

// World is the whole system.
type World struct {
	Net      *Network
	KV       *standin.KV
	Sidecars []*Sidecar
	cfg      Config
	mu       sync.Mutex
	entries  []*Entry
	fence    int64
	ctx      context.Context
	wg       sync.WaitGroup
}

// New starts a world that ends with ctx and Close.
func New(ctx context.Context, cfg Config) (*World, error) {
	w := &World{cfg: cfg, Net: newNetwork(cfg.Seed, cfg.Link), KV: standin.NewKV(), ctx: ctx}
	store := config.NewStore(w.KV, time.Now, daemon.NewID, func(int64) {})
	for _, customer := range append([]string{Customer}, cfg.Customers...) {
		_, err := store.Set(ctx, config.Template{Customer: customer, Rules: []config.Rule{
			{Service: Sheets, Priority: 3, DefaultTimeout: timeout},
			{Service: Notices, Priority: 7, DefaultTimeout: timeout},
		}}, 0, "world")
		if err != nil {
			return nil, err
		}
	}
	for _, spec := range cfg.Engines {
		w.addSidecar(&Sidecar{
			Domain: spec.Domain,
			places: spec.Sessions,
			spec:   spec,
			Engine: standin.NewEngine(standin.EngineConfig{
				Range:        spec.Range,
				Layers:       cfg.Layers,
				StepTime:     spec.StepTime,
				PositionTime: spec.PositionTime,
				Batch:        spec.Batch,
				Capacity:     spec.Sessions,
			}),
		})
	}
	for _, spec := range cfg.Plains {
		w.addSidecar(&Sidecar{Domain: spec.Domain, places: spec.Places, Plain: standin.NewPlain(spec.Time)})
	}
	for i, domain := range cfg.Entries {
		w.entries = append(w.entries, w.startEntry(fmt.Sprintf("entry-%d", i), domain))
	}
	return w, nil
}

func (w *World) addSidecar(u *Sidecar) {
	u.Addr = fmt.Sprintf("sidecar-%d", len(w.Sidecars))
	w.Sidecars = append(w.Sidecars, u)
	w.startSidecar(u)
}

// mortal keeps a dead sidecar from reaching the backend server; what it began
// goes on there.
type mortal struct {
	platform.Engine
	platform.Plain
	ctx context.Context
}

func (m mortal) Step(ctx context.Context, s platform.Step) ([][]byte, error) {
	if m.ctx.Err() != nil {
		return nil, errGone
	}
	return m.Engine.Step(ctx, s)
}

func (m mortal) Call(ctx context.Context, id string, body []byte) ([]byte, error) {
	if m.ctx.Err() != nil {
		return nil, errGone
	}
	return m.Plain.Call(ctx, id, body)
}

func (w *World) startSidecar(u *Sidecar) {
	ctx, stop := context.WithCancel(w.ctx)
	u.stop = stop
	inc := daemon.NewID()
	clock := hlc.New(time.Now)
	log := events.New(u.Addr, model.RoleSidecar, inc, clock, 1000)
	u.gate = gate.New(inc, u.places, queueSize, time.Now)
	w.mu.Lock()
	w.fence++
	b := sidecar.Backend{Fence: w.fence}
	w.mu.Unlock()
	m := mortal{Engine: u.Engine, Plain: u.Plain, ctx: ctx}
	if u.Engine != nil {
		b.Engine = m
		b.Pace = limits.NewPace(u.spec.Batch, u.places, u.batchTime(), time.Now)
		u.gate.SetPace(b.Pace)
		if _, err := u.Engine.EndAll(ctx, b.Fence); err != nil {
			panic(err) // the stand-in honours the number just taken
		}
	} else {
		b.Plain = m
	}
	s := sidecar.New(u.Addr, u.gate, b, newPeers(ctx, w.Net, u.Addr, u.spec.Range.To == w.cfg.Layers), log, time.Now)
	g := u.gate
	w.Net.join(u.Addr, u.Domain, map[wire.Method]link.Handler{
		wire.MethodOpen:   link.Handle(s.Open),
		wire.MethodResume: link.Handle(s.Resume),
		methodForward: link.Handle(func(ctx context.Context, from string, f wire.Forward) (struct{}, error) {
			s.Forward(ctx, from, f)
			return struct{}{}, nil
		}),
		wire.MethodNoStage: link.Handle(s.NoStage),
		wire.MethodClose:   link.Handle(s.Close),
		wire.MethodCall:    link.Handle(s.Call),
		wire.MethodCancel:  link.Handle(s.Cancel),
		wire.MethodHello: link.Handle(func(_ context.Context, from string, _ wire.Hello) (wire.HelloReply, error) {
			s.Heard(from)
			return u.hello(w.cfg.Layers, inc, g), nil
		}),
	})
	w.every(ctx, time.Second, s.Sweep)
}

func (u *Sidecar) hello(layers int, inc string, g *gate.Gate) wire.HelloReply {
	rep := wire.HelloReply{
		Instance:    told(u.Addr, u.Domain, model.RoleSidecar),
		Incarnation: inc,
		Service:     Notices,
		Kind:        model.KindPlain,
		Load:        g.Load(),
	}
	if u.Engine != nil {
		rep.Rate = u.Engine.Rate()
		rep.Service = Sheets
		rep.Kind = model.KindPipeline
		rep.Range = u.Engine.Range()
		rep.Layers = layers
		rep.StepMicros = u.spec.StepTime.Microseconds()
	}
	return rep
}

func (w *World) startEntry(addr, domain string) *Entry {
	ctx, stop := context.WithCancel(w.ctx)
	e := &Entry{Addr: addr, domain: domain, stop: stop, Dead: ctx}
	p := newPeers(ctx, w.Net, addr, true)
	table := membership.New(addr, time.Now)
	clock := hlc.New(time.Now)
	log := events.New(addr, model.RoleEntry, daemon.NewID(), clock, 1000)
	cfg := config.NewStore(w.KV, time.Now, daemon.NewID, func(int64) {})
	for cfg.Refresh(ctx) != nil { // an outage: peers are asked in the real program
		time.Sleep(Heartbeat)
	}
	led := ledger.New(w.KV, time.Now, rate.NewLimiter(50, 5))
	e.Store = requests.NewStore(time.Now, time.Minute)
	e.Owner = owner.New(owner.Deps{
		Instance: addr,
		Address:  addr,
		Peers:    p,
		Feeder:   p,
		Table:    table,
		Router:   w.router(table),
		Config:   cfg,
		Rates:    limits.NewRates(func() int { return 1 }),
		Retries:  limits.NewRetryBudget(),
		Room:     admission.New(time.Now),
		Grant:    led.Record,
		Requests: e.Store,
		Events:   log,
		Now:      time.Now,
		Refresh:  func(context.Context, string) error { return nil },
		Observe:  func(string, model.Outcome, time.Duration) {},
		Timing:   owner.DefaultTiming(),
	})
	w.Net.join(addr, domain, e.handlers())
	w.every(ctx, Heartbeat, func() { w.heartbeats(ctx, e, p, table) })
	w.every(ctx, 5*time.Second, func() { e.Store.Sweep(); led.Sweep(ctx) })
	return e
}

func (e *Entry) handlers() map[wire.Method]link.Handler {
	return map[wire.Method]link.Handler{
		methodTokens: link.Handle(func(_ context.Context, _ string, t wire.Tokens) (struct{}, error) {
			e.Owner.Tokens(t)
			return struct{}{}, nil
		}),
		wire.MethodStageFailed: link.Handle(func(_ context.Context, _ string, f wire.StageFailed) (struct{}, error) {
			e.Owner.StageFailed(f)
			return struct{}{}, nil
		}),
		wire.MethodNoStage: link.Handle(func(_ context.Context, from string, n wire.NoStage) (struct{}, error) {
			e.Owner.NoStage(from, n)
			return struct{}{}, nil
		}),
		wire.MethodOutcome: link.Handle(func(_ context.Context, _ string, q wire.OutcomeQuery) (wire.OutcomeReply, error) {
			return e.Owner.KnownOutcome(q.Key), nil
		}),
		wire.MethodOutcomeCopy: link.Handle(func(_ context.Context, _ string, c wire.OutcomeCopy) (struct{}, error) {
			e.Store.KeepCopy(c.Key, c.Outcome)
			return struct{}{}, nil
		}),
		wire.MethodHello: link.Handle(func(context.Context, string, wire.Hello) (wire.HelloReply, error) {
			return wire.HelloReply{Instance: told(e.Addr, e.domain, model.RoleEntry), Incarnation: e.Addr}, nil
		}),
	}
}

func (w *World) heartbeats(ctx context.Context, e *Entry, p *peers, table *membership.Table) {
	table.UpdateList(w.list())
	var wg sync.WaitGroup
	for _, addr := range w.Addresses() {
		if addr == e.Addr {
			continue
		}
		wg.Go(func() {
			call, cancel := context.WithTimeout(ctx, helloWait)
			defer cancel()
			began := time.Now()
			var rep wire.HelloReply
			if err := p.Call(call, addr, wire.MethodHello, wire.Hello{}, &rep); err != nil {
				table.Missed(addr)
				return
			}
			table.Seen(*rep.Instance, rep.Incarnation, membership.Backend{
				Service:  rep.Service,
				Kind:     rep.Kind,
				Range:    rep.Range,
				Layers:   rep.Layers,
				StepTime: time.Duration(rep.StepMicros) * time.Microsecond,
				Rate:     rep.Rate,
				Active:   rep.Load.Active,
				Queued:   rep.Load.Queued,
				Capacity: rep.Load.Capacity,
				Leaving:  rep.Load.Leaving,
			}, time.Since(began))
		})
	}
	wg.Wait()
}

func instance(addr, domain string, role model.Role) model.Instance {
	return model.Instance{ID: addr, Role: role, Address: addr, FailureDomain: domain}
}

func told(addr, domain string, role model.Role) *model.Instance {
	in := instance(addr, domain, role)
	return &in
}

// LinkTime is what routers go by.
func (w *World) LinkTime(a, b model.Instance) time.Duration {
	return w.cfg.Link(a.FailureDomain, b.FailureDomain).Delay
}

// LinkRate is what plans go by.
func (w *World) LinkRate(from, to string) float64 {
	if r := w.cfg.Link(from, to).Rate; r > 0 {
		return r
	}
	return math.Inf(1)
}

func (w *World) router(table *membership.Table) owner.Router {
	links := routing.Links{
		Time:    w.LinkTime,
		Rate:    w.LinkRate,
		Sharers: func() int { return len(w.cfg.Entries) },
	}
	if w.cfg.Router != nil {
		return w.cfg.Router(table, links)
	}
	return routing.New(table, links, time.Now, nil)
}

// list is the platform's instance list.
func (w *World) list() []model.Instance {
	var out []model.Instance
	for _, addr := range w.Addresses() {
		role := model.RoleSidecar
		if strings.HasPrefix(addr, "entry") {
			role = model.RoleEntry
		}
		out = append(out, instance(addr, w.Net.domainOf(addr), role))
	}
	return out
}

// Addresses lists the living processes.
func (w *World) Addresses() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []string
	for _, e := range w.entries {
		out = append(out, e.Addr)
	}
	for _, u := range w.Sidecars {
		out = append(out, u.Addr)
	}
	return out
}

func (w *World) every(ctx context.Context, d time.Duration, f func()) {
	w.wg.Go(func() {
		for ctx.Err() == nil {
			f()
			select {
			case <-time.After(d):
			case <-ctx.Done():
			}
		}
	})
}

// Entry gives one of the living entries.
func (w *World) Entry(i int) *Entry {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.entries[i%len(w.entries)]
}

// KillEntry ends an entry and starts its replacement at another address, as a
// platform does.
func (w *World) KillEntry(i int, name string) {
	old := w.Entry(i)
	old.stop()
	w.Net.leave(old.Addr)
	next := w.startEntry(name, old.domain)
	w.mu.Lock()
	defer w.mu.Unlock()
	for j, e := range w.entries {
		if e == old {
			w.entries[j] = next
		}
	}
}

// KillSidecar ends a sidecar beside its living backend server and starts the
// next incarnation.
func (w *World) KillSidecar(u *Sidecar) {
	u.stop()
	w.Net.leave(u.Addr)
	w.startSidecar(u)
}

// Close ends every process; goroutines that wait for deadlines end by them.
func (w *World) Close() {
	defer w.wg.Wait()
	for _, u := range w.Sidecars {
		u.stop()
		if u.Engine != nil {
			u.Engine.Close()
		}
	}
	for _, e := range w.entries {
		e.stop()
	}
}
