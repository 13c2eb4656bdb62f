// Package world runs a small system in one process for randomised tests and experiments in
// virtual time. Entries and sidecars are real. Engines, the key-value service and the network
// are simulated without sockets.
package world

import (
	"context"
	"fmt"
	"math"
	"strings"
	"sync"
	"time"

	"github.com/skylarkwood/skylarkwood/internal/coordination/config"
	"github.com/skylarkwood/skylarkwood/internal/coordination/membership"
	"github.com/skylarkwood/skylarkwood/internal/coordination/routing"
	"github.com/skylarkwood/skylarkwood/internal/daemon"
	"github.com/skylarkwood/skylarkwood/internal/model"
	"github.com/skylarkwood/skylarkwood/internal/protocol/owner"
	"github.com/skylarkwood/skylarkwood/internal/standin"
)

// The default customer of a world and its services.
const (
	Customer = "skola-manus"
	Sheets   = "planer-rundi"
	Notices  = "dispecer"
)

const (
	// Heartbeat is the interval at which entries request the state of all processes.
	Heartbeat    = 500 * time.Millisecond
	helloTimeout = 700 * time.Millisecond
	queueSize    = 32
	timeout      = 20 * time.Second
)

// EngineSpec describes an engine with its sidecar.
type EngineSpec struct {
	Domain       string
	Range        model.LayerRange
	StepTime     time.Duration
	PositionTime time.Duration
	MaxBatch     int
	Sessions     int // capacity of the gate
}

// PlainSpec describes a plain service with its sidecar.
type PlainSpec struct {
	Domain       string
	CallDuration time.Duration
	Slots        int
}

// Config describes a World.
type Config struct {
	Seed    uint64
	Layers  int
	Entries []string // failure domain of each
	Engines []EngineSpec
	Plains  []PlainSpec
	Link    func(from, to string) Link
	// Customers get the same template as Customer.
	Customers []string
	// Router returns the router of an entry. If it is nil, routing.New is used.
	Router func(*membership.Table, routing.Links) owner.Router
}

// World is a running system.
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

// New starts a world. The caller must call Close. Cancelling ctx also stops the entries and
// sidecars.
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
			slots:  spec.Sessions,
			spec:   spec,
			Engine: standin.NewEngine(standin.EngineConfig{
				Range:        spec.Range,
				Layers:       cfg.Layers,
				StepTime:     spec.StepTime,
				PositionTime: spec.PositionTime,
				MaxBatch:     spec.MaxBatch,
				Capacity:     spec.Sessions,
			}),
		})
	}
	for _, spec := range cfg.Plains {
		w.addSidecar(&Sidecar{Domain: spec.Domain, slots: spec.Slots, Plain: standin.NewPlain(spec.CallDuration)})
	}
	for i, domain := range cfg.Entries {
		e := w.startEntry(fmt.Sprintf("entry-%d", i), domain)
		w.mu.Lock()
		w.entries = append(w.entries, e)
		w.mu.Unlock()
	}
	return w, nil
}

func instance(addr, domain string, role model.Role) model.Instance {
	return model.Instance{ID: addr, Role: role, Address: addr, FailureDomain: domain}
}

func instancePointer(addr, domain string, role model.Role) *model.Instance {
	in := instance(addr, domain, role)
	return &in
}

// LinkTime returns the latency between two instances for routers.
func (w *World) LinkTime(a, b model.Instance) time.Duration {
	return w.cfg.Link(a.FailureDomain, b.FailureDomain).Delay
}

// LinkRate returns the capacity between two failure domains for plans, in positions per
// second.
func (w *World) LinkRate(from, to string) float64 {
	if r := w.cfg.Link(from, to).Rate; r > 0 {
		return r
	}
	return math.Inf(1)
}

func (w *World) router(table *membership.Table) owner.Router {
	links := routing.Links{
		Time:        w.LinkTime,
		Rate:        w.LinkRate,
		RouterCount: func() int { return len(w.cfg.Entries) },
	}
	if w.cfg.Router != nil {
		return w.cfg.Router(table, links)
	}
	return routing.New(table, links, time.Now, nil)
}

// list returns the platform's instance list.
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

// Addresses returns the addresses of the running processes.
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

// Close stops all processes and waits for their periodic tasks.
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
