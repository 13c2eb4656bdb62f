package world

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/skylarkwood/skylarkwood/internal/coordination/admission"
	"github.com/skylarkwood/skylarkwood/internal/coordination/config"
	"github.com/skylarkwood/skylarkwood/internal/coordination/ledger"
	"github.com/skylarkwood/skylarkwood/internal/coordination/limits"
	"github.com/skylarkwood/skylarkwood/internal/coordination/membership"
	"github.com/skylarkwood/skylarkwood/internal/daemon"
	"github.com/skylarkwood/skylarkwood/internal/hlc"
	"github.com/skylarkwood/skylarkwood/internal/model"
	"github.com/skylarkwood/skylarkwood/internal/protocol/owner"
	"github.com/skylarkwood/skylarkwood/internal/protocol/wire"
	"github.com/skylarkwood/skylarkwood/internal/state/events"
	"github.com/skylarkwood/skylarkwood/internal/state/requests"
	"github.com/skylarkwood/skylarkwood/internal/transport/link"
)

// Entry is an incarnation of an entry.
type Entry struct {
	Addr  string
	Owner *owner.Owner
	Store *requests.Store
	// Context is cancelled when the entry exits.
	Context context.Context
	domain  string
	stop    context.CancelFunc
}

func (w *World) startEntry(addr, domain string) *Entry {
	ctx, stop := context.WithCancel(w.ctx)
	e := &Entry{Addr: addr, domain: domain, stop: stop, Context: ctx}
	p := newPeers(ctx, w.Net, addr, true)
	table := membership.New(addr, time.Now)
	clock := hlc.New(time.Now)
	log := events.New(addr, model.RoleEntry, daemon.NewID(), clock, 1000)
	cfg := config.NewStore(w.KV, time.Now, daemon.NewID, func(int64) {})
	for cfg.Refresh(ctx) != nil { // during an outage, the daemon would ask its peers
		time.Sleep(Heartbeat)
	}
	intentLedger := ledger.New(w.KV, time.Now, rate.NewLimiter(50, 5))
	e.Store = requests.NewStore(time.Now, time.Minute)
	e.Owner = owner.New(owner.Deps{
		Instance:         addr,
		Address:          addr,
		Peers:            p,
		Feeder:           p,
		Table:            table,
		Router:           w.router(table),
		Config:           cfg,
		RateLimiter:      limits.NewRateLimiter(func() int { return 1 }),
		RetryBudget:      limits.NewRetryBudget(),
		AdmissionLimiter: admission.NewLimiter(time.Now),
		RecordIntent:     intentLedger.Record,
		Requests:         e.Store,
		Events:           log,
		Now:              time.Now,
		Refresh:          func(context.Context, string) error { return nil },
		Observe:          func(string, model.Outcome, time.Duration) {},
		Timing:           owner.DefaultTiming(),
	})
	w.Net.join(addr, domain, e.handlers())
	w.every(ctx, Heartbeat, func() { w.heartbeats(ctx, e, p, table) })
	w.every(ctx, 5*time.Second, func() { e.Store.Sweep(); intentLedger.Sweep(ctx) })
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
			e.Store.SetOutcomeCopy(c.Key, c.Outcome)
			return struct{}{}, nil
		}),
		wire.MethodHello: link.Handle(func(context.Context, string, wire.Hello) (wire.HelloReply, error) {
			return wire.HelloReply{Instance: instancePointer(e.Addr, e.domain, model.RoleEntry), Incarnation: e.Addr}, nil
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
			call, cancel := context.WithTimeout(ctx, helloTimeout)
			defer cancel()
			start := time.Now()
			var rep wire.HelloReply
			if err := p.Call(call, addr, wire.MethodHello, wire.Hello{}, &rep); err != nil {
				table.RecordFailure(addr)
				return
			}
			table.Observe(*rep.Instance, rep.Incarnation, rep.Backend(), time.Since(start))
		})
	}
	wg.Wait()
}

// Entry returns a running entry.
func (w *World) Entry(i int) *Entry {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.entries[i%len(w.entries)]
}

// KillEntry terminates an entry and starts its replacement at another address, as the
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
