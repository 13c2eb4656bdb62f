package soak

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"golang.org/x/time/rate"
	"gotest.tools/v3/assert"

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

const (
	customer  = "skola-manus"
	sheets    = "planer-rundi"
	notices   = "dispecer"
	layers    = 9
	capacity  = 16
	heartbeat = 500 * time.Millisecond
	helloWait = 700 * time.Millisecond
)

// entry is one incarnation of an entry.
type entry struct {
	addr  string
	owner *owner.Owner
	store *requests.Store
	stop  context.CancelFunc
	dead  context.Context
}

// sidecarUnit is one backend server and the sidecar beside it.
type sidecarUnit struct {
	addr   string
	engine *standin.Engine
	plain  *standin.Plain
	gate   *gate.Gate
	stop   context.CancelFunc
}

// world is the whole system of one run.
type world struct {
	t        *testing.T
	net      *network
	kv       *standin.KV
	mu       sync.Mutex
	entries  []*entry
	sidecars []*sidecarUnit
	fence    int64
	ctx      context.Context
	wg       sync.WaitGroup
}

func newWorld(ctx context.Context, t *testing.T, seed uint64, entries, copies, plains int) *world {
	w := &world{t: t, net: newNetwork(seed), kv: standin.NewKV(), ctx: ctx}
	store := config.NewStore(w.kv, time.Now, daemon.NewID, func(int64) {})
	_, err := store.Set(ctx, config.Template{Customer: customer, Rules: []config.Rule{
		{Service: sheets, Priority: 3, DefaultTimeout: 20 * time.Second},
		{Service: notices, Priority: 7, DefaultTimeout: 20 * time.Second},
	}}, 0, "soak")
	assert.NilError(t, err)
	const per = 3
	for i := 0; i < copies*layers/per; i++ {
		from := i % (layers / per) * per
		w.sidecars = append(w.sidecars, &sidecarUnit{
			addr: fmt.Sprintf("sidecar-%d", len(w.sidecars)),
			engine: standin.NewEngine(standin.EngineConfig{
				Range:    model.LayerRange{From: from, To: from + per},
				Layers:   layers,
				StepTime: time.Millisecond,
				Batch:    64,
				Capacity: capacity,
			}),
		})
	}
	for i := 0; i < plains; i++ {
		w.sidecars = append(w.sidecars, &sidecarUnit{
			addr:  fmt.Sprintf("sidecar-%d", len(w.sidecars)),
			plain: standin.NewPlain(30 * time.Millisecond),
		})
	}
	for _, u := range w.sidecars {
		w.startSidecar(u)
	}
	for i := 0; i < entries; i++ {
		w.entries = append(w.entries, w.startEntry(fmt.Sprintf("entry-%d", i)))
	}
	return w
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

func (w *world) startSidecar(u *sidecarUnit) {
	ctx, stop := context.WithCancel(w.ctx)
	u.stop = stop
	inc := daemon.NewID()
	clock := hlc.New(time.Now)
	log := events.New(u.addr, model.RoleSidecar, inc, clock, 1000)
	u.gate = gate.New(inc, capacity, 32, time.Now)
	w.mu.Lock()
	w.fence++
	b := sidecar.Backend{Fence: w.fence}
	w.mu.Unlock()
	m := mortal{Engine: u.engine, Plain: u.plain, ctx: ctx}
	if u.engine != nil {
		b.Engine = m
		_, err := u.engine.EndAll(ctx, b.Fence)
		assert.Check(w.t, err)
	} else {
		b.Plain = m
	}
	s := sidecar.New(u.addr, u.gate, b, newPeers(ctx, w.net, u.addr), log, time.Now)
	g := u.gate
	w.net.join(u.addr, map[wire.Method]link.Handler{
		wire.MethodOpen:    link.Handle(s.Open),
		wire.MethodResume:  link.Handle(s.Resume),
		wire.MethodForward: link.Handle(s.Forward),
		wire.MethodClose:   link.Handle(s.Close),
		wire.MethodCall:    link.Handle(s.Call),
		wire.MethodCancel:  link.Handle(s.Cancel),
		wire.MethodHello: link.Handle(func(_ context.Context, from string, _ wire.Hello) (wire.HelloReply, error) {
			s.Heard(from)
			return u.hello(inc, g), nil
		}),
	})
	w.every(ctx, time.Second, s.Sweep)
}

func (u *sidecarUnit) hello(inc string, g *gate.Gate) wire.HelloReply {
	rep := wire.HelloReply{
		Instance:    model.Instance{ID: u.addr, Role: model.RoleSidecar, Address: u.addr},
		Incarnation: inc,
		Service:     notices,
		Kind:        model.KindPlain,
		Load:        g.Load(),
	}
	if u.engine != nil {
		rep.Service = sheets
		rep.Kind = model.KindPipeline
		rep.Range = u.engine.Range()
		rep.Layers = layers
		rep.StepMicros = 1000
	}
	return rep
}

func (w *world) startEntry(addr string) *entry {
	ctx, stop := context.WithCancel(w.ctx)
	e := &entry{addr: addr, stop: stop, dead: ctx}
	p := newPeers(ctx, w.net, addr)
	table := membership.New(addr, time.Now)
	clock := hlc.New(time.Now)
	log := events.New(addr, model.RoleEntry, daemon.NewID(), clock, 1000)
	cfg := config.NewStore(w.kv, time.Now, daemon.NewID, func(int64) {})
	for cfg.Refresh(ctx) != nil { // an outage: peers are asked in the real program
		time.Sleep(heartbeat)
	}
	led := ledger.New(w.kv, time.Now, rate.NewLimiter(50, 5))
	e.store = requests.NewStore(time.Now, time.Minute)
	e.owner = owner.New(owner.Deps{
		Instance: addr,
		Address:  addr,
		Peers:    p,
		Table:    table,
		Router:   routing.New(table, func(_, _ model.Instance) time.Duration { return time.Millisecond }, time.Now, nil),
		Config:   cfg,
		Rates:    limits.NewRates(func() int { return 1 }),
		Retries:  limits.NewRetryBudget(),
		Grant:    led.Record,
		Requests: e.store,
		Events:   log,
		Now:      time.Now,
		Refresh:  func(context.Context, string) error { return nil },
		Observe:  func(string, model.Outcome, time.Duration) {},
		Timing:   owner.DefaultTiming(),
	})
	w.net.join(addr, e.handlers())
	w.every(ctx, heartbeat, func() { w.heartbeats(ctx, e, p, table) })
	w.every(ctx, 5*time.Second, func() { e.store.Sweep(); led.Sweep(ctx) })
	return e
}

func (e *entry) handlers() map[wire.Method]link.Handler {
	return map[wire.Method]link.Handler{
		wire.MethodTokens: link.Handle(func(_ context.Context, _ string, t wire.Tokens) (struct{}, error) {
			e.owner.Tokens(t)
			return struct{}{}, nil
		}),
		wire.MethodStageFailed: link.Handle(func(_ context.Context, _ string, f wire.StageFailed) (struct{}, error) {
			e.owner.StageFailed(f)
			return struct{}{}, nil
		}),
		wire.MethodOutcome: link.Handle(func(_ context.Context, _ string, q wire.OutcomeQuery) (wire.OutcomeReply, error) {
			return e.owner.KnownOutcome(q.Key), nil
		}),
		wire.MethodOutcomeCopy: link.Handle(func(_ context.Context, _ string, c wire.OutcomeCopy) (struct{}, error) {
			e.store.KeepCopy(c.Key, c.Outcome)
			return struct{}{}, nil
		}),
		wire.MethodHello: link.Handle(func(context.Context, string, wire.Hello) (wire.HelloReply, error) {
			return wire.HelloReply{Instance: model.Instance{ID: e.addr, Role: model.RoleEntry, Address: e.addr}, Incarnation: e.addr}, nil
		}),
	}
}

func (w *world) heartbeats(ctx context.Context, e *entry, p *peers, table *membership.Table) {
	table.UpdateList(w.list())
	var wg sync.WaitGroup
	for _, addr := range w.addresses() {
		if addr == e.addr {
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
			table.Seen(rep.Instance, rep.Incarnation, membership.Backend{
				Service:  rep.Service,
				Kind:     rep.Kind,
				Range:    rep.Range,
				Layers:   rep.Layers,
				StepTime: time.Duration(rep.StepMicros) * time.Microsecond,
				Active:   rep.Load.Active,
				Queued:   rep.Load.Queued,
				Capacity: rep.Load.Capacity,
				Leaving:  rep.Load.Leaving,
			}, time.Since(began))
		})
	}
	wg.Wait()
}

// list is the platform's instance list.
func (w *world) list() []model.Instance {
	var out []model.Instance
	for _, addr := range w.addresses() {
		role := model.RoleSidecar
		if strings.HasPrefix(addr, "entry") {
			role = model.RoleEntry
		}
		out = append(out, model.Instance{ID: addr, Role: role, Address: addr})
	}
	return out
}

func (w *world) addresses() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []string
	for _, e := range w.entries {
		out = append(out, e.addr)
	}
	for _, u := range w.sidecars {
		out = append(out, u.addr)
	}
	return out
}

func (w *world) every(ctx context.Context, d time.Duration, f func()) {
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

func (w *world) entry(i int) *entry {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.entries[i%len(w.entries)]
}

// killEntry ends an entry and starts its replacement at another address, as a
// platform does.
func (w *world) killEntry(i int, name string) {
	old := w.entry(i)
	old.stop()
	w.net.leave(old.addr)
	next := w.startEntry(name)
	w.mu.Lock()
	defer w.mu.Unlock()
	for j, e := range w.entries {
		if e == old {
			w.entries[j] = next
		}
	}
}

// killSidecar ends a sidecar beside its living backend server and starts the
// next incarnation.
func (w *world) killSidecar(u *sidecarUnit) {
	u.stop()
	w.net.leave(u.addr)
	w.startSidecar(u)
}

func (w *world) close() {
	for _, u := range w.sidecars {
		u.stop()
		if u.engine != nil {
			u.engine.Close()
		}
	}
	for _, e := range w.entries {
		e.stop()
	}
}
