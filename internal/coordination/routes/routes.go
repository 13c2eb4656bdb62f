// Package routes applies the operator's configuration to requests. It selects the service,
// customer and priority of a request. A configuration is compiled into an immutable table
// that is replaced as a whole.
package routes

import (
	"sort"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/skylarkwood/skylarkwood/internal/fault"
	"github.com/skylarkwood/skylarkwood/internal/model"
)

// Table is a configuration compiled for lookups.
type Table struct {
	Config *model.RouteConfig
	// Origin is from where this process received the configuration, for the log.
	Origin    string
	hosts     map[string][]*model.Route // longest prefix first
	customers map[string]*model.RouteCustomer
	services  map[string]*model.Service
	// priorities are the distinct priorities of each service's routes.
	priorities map[string][]int
	// waitTargets bound the waits for capacity by service and urgency.
	waitTargets map[string][]waitTarget
}

// Compile returns the table of a configuration.
func Compile(cfg *model.RouteConfig) *Table {
	t := &Table{
		Config:     cfg,
		hosts:      map[string][]*model.Route{},
		customers:  map[string]*model.RouteCustomer{},
		services:   map[string]*model.Service{},
		priorities: routePriorities(cfg),
	}
	t.waitTargets = waitTargets(cfg, t.priorities)
	for i := range cfg.Routes {
		r := &cfg.Routes[i]
		t.hosts[r.Host] = append(t.hosts[r.Host], r)
	}
	for _, rs := range t.hosts {
		sort.SliceStable(rs, func(i, j int) bool { return len(rs[i].Prefix) > len(rs[j].Prefix) })
	}
	for i := range cfg.Customers {
		for _, key := range cfg.Customers[i].APIKeys {
			t.customers[key] = &cfg.Customers[i]
		}
	}
	for i := range cfg.Services {
		t.services[cfg.Services[i].Name] = &cfg.Services[i]
	}
	return t
}

// Service returns the service with a name, or nil.
func (t *Table) Service(name string) *model.Service { return t.services[name] }

// Route returns the route with the longest matching prefix, or nil.
func (t *Table) Route(host, path string) *model.Route {
	for _, r := range t.hosts[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Admission is the result of admitting a request under one version of the configuration.
type Admission struct {
	Version  int64
	Route    *model.Route
	Service  *model.Service
	Customer string
	// Priority is the customer's priority if it has one, otherwise the route's.
	Priority int
	// Urgency orders the requests of one service; 0 is the most urgent. It equals Priority
	// unless the service is prioritized. In that case requests with the same Priority are
	// ordered by that of their routes.
	Urgency int
	// Prioritized is set if the routes of the service have different priorities.
	Prioritized bool
	// WaitTarget is the least target latency of the service's requests that are at least as
	// urgent. It bounds the wait for capacity. It is 0 unless the service is prioritized.
	WaitTarget time.Duration
	// Deadline is when the request must be complete; zero means no deadline.
	Deadline time.Time
}

// Idempotent reports whether the request may run more than once.
func (a Admission) Idempotent() bool {
	return a.Route.Kind == model.RouteIdempotent || a.Route.Kind == model.RouteStreaming && a.Route.ResumeStreams
}

// Admit returns the route, service, customer, priority and deadline of a call. An error is
// final and is returned to the caller.
func (t *Table) Admit(c *model.Call, now time.Time) (Admission, *fault.Error) {
	r := t.Route(c.Host, c.Path)
	if r == nil {
		return Admission{Version: t.Config.Version}, fault.New(fault.NotFound, "no route for host %q and the requested path", c.Host)
	}
	a := Admission{Version: t.Config.Version, Route: r, Priority: r.Priority}
	if len(t.Config.Customers) > 0 {
		if err := t.identify(c, &a); err != nil {
			return a, err
		}
	}
	name := selectService(r.Split, c.Attempt)
	a.Service = t.services[name]
	if a.Service == nil {
		return a, fault.New(fault.NoCapacity, "service %q of route %s is not configured", name, r.Name)
	}
	t.setUrgency(&a)
	a.Deadline = c.Deadline
	if r.Timeout > 0 {
		if deadline := now.Add(r.Timeout); a.Deadline.IsZero() || deadline.Before(a.Deadline) {
			a.Deadline = deadline
		}
	}
	return a, nil
}

func (t *Table) identify(c *model.Call, a *Admission) *fault.Error {
	if customer := t.customers[c.APIKey]; customer != nil && c.APIKey != "" {
		a.Customer = customer.Name
		if customer.Priority != nil {
			a.Priority = *customer.Priority
		}
		return nil
	}
	if a.Route.AllowAnonymous {
		return nil
	}
	return fault.New(fault.UnknownCustomer, "unknown credential")
}

// selectService selects a service of a split by a hash of the attempt id, so that one
// attempt always gets the same service.
func selectService(split []model.ServiceShare, attempt string) string {
	total := 0
	for _, s := range split {
		total += max(s.Weight, 0)
	}
	if total == 0 {
		if len(split) == 0 {
			return ""
		}
		return split[0].Service
	}
	at := int(xxhash.Sum64String(attempt) % uint64(total))
	for _, s := range split {
		at -= max(s.Weight, 0)
		if at < 0 {
			return s.Service
		}
	}
	return split[len(split)-1].Service
}

// ActiveConfig holds the configuration in force in this process. Its version never
// decreases.
type ActiveConfig struct {
	mu    sync.Mutex // serializes Apply
	table atomic.Pointer[Table]
	raw   atomic.Pointer[RawConfig]
	// lastConfirmed is when the version was last confirmed to be the newest, by the clock
	// of Confirm's caller.
	lastConfirmed atomic.Int64
	// ready is closed when the first configuration is in force.
	ready      chan struct{}
	closeReady sync.Once
	makeReady  sync.Once
}

// RawConfig is a configuration in its original encoding.
type RawConfig struct {
	Version int64
	Raw     []byte
}

// Load returns the table in force, or nil before the first configuration.
func (c *ActiveConfig) Load() *Table { return c.table.Load() }

// Raw returns the configuration in force in its original encoding, or nil before the first
// configuration.
func (c *ActiveConfig) Raw() *RawConfig { return c.raw.Load() }

// Version returns the version of the configuration in force, or 0 before the first
// configuration.
func (c *ActiveConfig) Version() int64 {
	if t := c.table.Load(); t != nil {
		return t.Config.Version
	}
	return 0
}

// Apply puts a newer configuration, which was received from origin, in force and returns true.
// It ignores versions that are not newer and returns false.
func (c *ActiveConfig) Apply(cfg *model.RouteConfig, raw []byte, origin string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if cfg.Version <= c.Version() {
		return false
	}
	t := Compile(cfg)
	t.Origin = origin
	c.table.Store(t)
	c.raw.Store(&RawConfig{Version: cfg.Version, Raw: raw})
	ready := c.Ready()
	c.closeReady.Do(func() { close(ready) })
	return true
}

// Ready returns a channel that is closed once a configuration is in force.
func (c *ActiveConfig) Ready() chan struct{} {
	c.makeReady.Do(func() { c.ready = make(chan struct{}) })
	return c.ready
}

// Confirm records that the version in force was the newest at the given time. Confirmations
// from the store and from peers may arrive out of order. Earlier times are ignored.
func (c *ActiveConfig) Confirm(at time.Duration) {
	for {
		confirmed := c.lastConfirmed.Load()
		if int64(at) <= confirmed || c.lastConfirmed.CompareAndSwap(confirmed, int64(at)) {
			return
		}
	}
}

// LastConfirmed returns when the version in force was last known to be the newest.
func (c *ActiveConfig) LastConfirmed() time.Duration { return time.Duration(c.lastConfirmed.Load()) }

// Age returns the time since the last confirmation. A refusal that depends on the
// configuration is only valid while the age is small.
func (c *ActiveConfig) Age(now time.Duration) time.Duration {
	return now - time.Duration(c.lastConfirmed.Load())
}
