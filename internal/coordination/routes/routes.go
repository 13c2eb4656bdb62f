// Package routes decides by the operator's configuration what may become of a
// request: which service runs it, for which customer, at which priority. A
// configuration is compiled into an immutable table that is swapped as a whole.
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

// Table is one configuration, compiled for look-ups.
type Table struct {
	Config    *model.RouteConfig
	hosts     map[string][]*model.Route // longest prefix first
	customers map[string]*model.RouteCustomer
	services  map[string]*model.Service
}

// Compile makes a table of a configuration.
func Compile(cfg *model.RouteConfig) *Table {
	t := &Table{
		Config:    cfg,
		hosts:     map[string][]*model.Route{},
		customers: map[string]*model.RouteCustomer{},
		services:  map[string]*model.Service{},
	}
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

// Service finds a service; nil if the configuration has none of that name.
func (t *Table) Service(name string) *model.Service { return t.services[name] }

// Route finds the route of the longest prefix; nil if there is none.
func (t *Table) Route(host, path string) *model.Route {
	for _, r := range t.hosts[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Admission is what a request was granted by one configuration.
type Admission struct {
	Version  int64
	Route    *model.Route
	Service  *model.Service
	Customer string
	// Priority is the customer's where it has one, else the route's.
	Priority int
	// Deadline is when the request must have been answered; zero for no bound.
	Deadline time.Time
}

// Idempotent tells whether the request may run more than once.
func (a Admission) Idempotent() bool {
	return a.Route.Kind == model.RouteIdempotent || a.Route.Kind == model.RouteStreaming && a.Route.ResumeStreams
}

// Admit decides what a call may do. The error is the final answer.
func (t *Table) Admit(c *model.Call, now time.Time) (Admission, *fault.Error) {
	r := t.Route(c.Host, c.Path)
	if r == nil {
		return Admission{Version: t.Config.Version}, fault.New(fault.NotFound, "no route for host %q and this path", c.Host)
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
	return fault.New(fault.UnknownCustomer, "the credential is not known")
}

// selectService chooses a service of a split by the attempt's id, so that one attempt
// always goes to the same one.
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

// ActiveConfig holds the configuration in force at this process. Versions only grow.
type ActiveConfig struct {
	mu    sync.Mutex // orders Apply
	table atomic.Pointer[Table]
	raw   atomic.Pointer[RawConfig]
	// lastConfirmed is when somebody confirmed that the version is the newest, in the
	// time of the clock given to Confirm.
	lastConfirmed atomic.Int64
	// ready is closed when the ready configuration is in force.
	ready      chan struct{}
	closeReady sync.Once
	makeReady  sync.Once
}

// RawConfig is a configuration as the operator wrote it, for passing it on.
type RawConfig struct {
	Version int64
	Raw     []byte
}

// Load gives the table in force; nil before the first one.
func (c *ActiveConfig) Load() *Table { return c.table.Load() }

// Raw gives the configuration in force as it was written; nil before the
// first one.
func (c *ActiveConfig) Raw() *RawConfig { return c.raw.Load() }

// Version of the configuration in force; 0 before the first one.
func (c *ActiveConfig) Version() int64 {
	if t := c.table.Load(); t != nil {
		return t.Config.Version
	}
	return 0
}

// Apply puts a newer configuration in force; an older one is passed over. It
// tells whether it did.
func (c *ActiveConfig) Apply(cfg *model.RouteConfig, raw []byte) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if cfg.Version <= c.Version() {
		return false
	}
	c.table.Store(Compile(cfg))
	c.raw.Store(&RawConfig{Version: cfg.Version, Raw: raw})
	ready := c.Ready()
	c.closeReady.Do(func() { close(ready) })
	return true
}

// Ready is closed once a configuration is in force.
func (c *ActiveConfig) Ready() chan struct{} {
	c.makeReady.Do(func() { c.ready = make(chan struct{}) })
	return c.ready
}

// Confirm takes in that at a moment the version in force was the newest. Words of the
// store and of peers overtake each other; an older one takes nothing back.
func (c *ActiveConfig) Confirm(at time.Duration) {
	for {
		confirmed := c.lastConfirmed.Load()
		if int64(at) <= confirmed || c.lastConfirmed.CompareAndSwap(confirmed, int64(at)) {
			return
		}
	}
}

// LastConfirmed is when the version in force was last known to be the newest.
func (c *ActiveConfig) LastConfirmed() time.Duration { return time.Duration(c.lastConfirmed.Load()) }

// Age is how long ago the configuration was last confirmed. A refusal that
// rests on it is only true while it is young.
func (c *ActiveConfig) Age(now time.Duration) time.Duration {
	return now - time.Duration(c.lastConfirmed.Load())
}
