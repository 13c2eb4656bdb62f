package world

import (
	"context"
	"fmt"
	"time"

	"github.com/skylarkwood/skylarkwood/internal/coordination/limits"
	"github.com/skylarkwood/skylarkwood/internal/daemon"
	"github.com/skylarkwood/skylarkwood/internal/hlc"
	"github.com/skylarkwood/skylarkwood/internal/model"
	"github.com/skylarkwood/skylarkwood/internal/platform"
	"github.com/skylarkwood/skylarkwood/internal/protocol/gate"
	"github.com/skylarkwood/skylarkwood/internal/protocol/sidecar"
	"github.com/skylarkwood/skylarkwood/internal/protocol/wire"
	"github.com/skylarkwood/skylarkwood/internal/standin"
	"github.com/skylarkwood/skylarkwood/internal/state/events"
	"github.com/skylarkwood/skylarkwood/internal/transport/link"
)

// Sidecar is a sidecar with its backend server.
type Sidecar struct {
	Addr   string
	Engine *standin.Engine
	Plain  *standin.Plain
	Domain string
	slots  int
	spec   EngineSpec
	gate   *gate.Gate
	stop   context.CancelFunc
}

func (u *Sidecar) batchTime() time.Duration {
	return time.Duration(float64(u.spec.MaxBatch) / u.Engine.Rate() * float64(time.Second))
}

// Gate returns the gate of the sidecar's current incarnation.
func (u *Sidecar) Gate() *gate.Gate { return u.gate }

func (w *World) addSidecar(u *Sidecar) {
	u.Addr = fmt.Sprintf("sidecar-%d", len(w.Sidecars))
	w.Sidecars = append(w.Sidecars, u)
	w.startSidecar(u)
}

// backendClient connects a sidecar to its backend server. After the sidecar exits, new calls
// fail and calls in progress continue at the backend server.
type backendClient struct {
	platform.Engine
	platform.Plain
	ctx context.Context
}

func (m backendClient) Step(ctx context.Context, s platform.Step) ([][]byte, error) {
	if m.ctx.Err() != nil {
		return nil, errExited
	}
	return m.Engine.Step(ctx, s)
}

func (m backendClient) Call(ctx context.Context, id string, body []byte) ([]byte, error) {
	if m.ctx.Err() != nil {
		return nil, errExited
	}
	return m.Plain.Call(ctx, id, body)
}

func (w *World) startSidecar(u *Sidecar) {
	ctx, stop := context.WithCancel(w.ctx)
	u.stop = stop
	inc := daemon.NewID()
	clock := hlc.New(time.Now)
	log := events.New(u.Addr, model.RoleSidecar, inc, clock, 1000)
	u.gate = gate.New(inc, u.slots, queueSize, time.Now)
	w.mu.Lock()
	w.fence++
	b := sidecar.Backend{Fence: w.fence}
	w.mu.Unlock()
	m := backendClient{Engine: u.Engine, Plain: u.Plain, ctx: ctx}
	if u.Engine != nil {
		b.Engine = m
		b.Limiter = limits.NewConcurrencyLimiter(u.spec.MaxBatch, u.slots, u.batchTime(), time.Now)
		u.gate.SetConcurrencyLimiter(b.Limiter)
		if _, err := u.Engine.EndAll(ctx, b.Fence); err != nil {
			panic(err) // the engine accepts the newest fencing token
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
			s.RecordContact(from)
			return u.hello(w.cfg.Layers, inc, g), nil
		}),
	})
	w.every(ctx, time.Second, s.Sweep)
}

func (u *Sidecar) hello(layers int, inc string, g *gate.Gate) wire.HelloReply {
	rep := wire.HelloReply{
		Instance:    instancePointer(u.Addr, u.Domain, model.RoleSidecar),
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

// KillSidecar terminates a sidecar, but not its backend server, and starts the next
// incarnation of the sidecar.
func (w *World) KillSidecar(u *Sidecar) {
	u.stop()
	w.Net.leave(u.Addr)
	w.startSidecar(u)
}
