// Package catalog is what a router believes of the backend servers: their
// entries in the store, corrected by what is seen of them directly. The store's
// list lags behind a crash by several heartbeats, so direct evidence goes first.
package catalog

import (
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/skylarkwood/skylarkwood/internal/model"
)

// Snapshot is the catalogue at one moment. It is never changed in place.
type Snapshot struct {
	services  map[string][]*model.BackendServer
	byAddress map[string]*model.BackendServer
	byID      map[string]*model.BackendServer
	domains   map[string]bool
}

// Service lists the backend servers of a service that may get new work, ordered
// by id.
func (s *Snapshot) Service(name string) []*model.BackendServer { return s.services[name] }

// All lists every known backend server of a service, leaving ones included.
func (s *Snapshot) All(name string) []*model.BackendServer {
	var out []*model.BackendServer
	for _, b := range s.byID {
		if b.Service == name {
			out = append(out, b)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

// ByAddress finds who has an address; nil if nobody is known to.
func (s *Snapshot) ByAddress(addr string) *model.BackendServer { return s.byAddress[addr] }

// Domains counts the failure domains that have backend servers.
func (s *Snapshot) Domains() int { return len(s.domains) }

// ByID finds a backend server; nil if it is not known.
func (s *Snapshot) ByID(id string) *model.BackendServer { return s.byID[id] }

// entry is a backend server and until when it is kept though its entry is gone.
type entry struct {
	server model.BackendServer
	// missing is set while the entry is gone from the store; keepUntil says how
	// long it is believed in all the same.
	missing   bool
	keepUntil time.Time
}

// Catalog holds the entries and publishes snapshots of them.
type Catalog struct {
	now func() time.Time

	mu      sync.Mutex
	entries map[string]*entry
	current atomic.Pointer[Snapshot]
	// stale says that entries changed since the snapshot was made. It is made
	// anew when somebody asks: engines register in bunches, and a snapshot of
	// thousands for each of them would cost more than the routing.
	stale atomic.Bool
}

// New makes an empty catalogue.
func New(now func() time.Time) *Catalog {
	c := &Catalog{now: now, entries: map[string]*entry{}}
	c.publish()
	return c
}

// Load gives the present snapshot.
func (c *Catalog) Load() *Snapshot {
	if c.stale.Load() {
		c.mu.Lock()
		if c.stale.Load() {
			c.publish()
		}
		c.mu.Unlock()
	}
	return c.current.Load()
}

// Put takes in a new or changed entry. An older revision is passed over: pages
// of a range read and the watch that follows it overlap.
func (c *Catalog) Put(b model.BackendServer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if old, ok := c.entries[b.ID]; ok && !old.missing && old.server.Revision > b.Revision {
		return
	}
	c.entries[b.ID] = &entry{server: b}
	c.stale.Store(true)
}

// Remove takes in that an entry is gone. grace is how long the backend server
// is believed in all the same: entries also lapse while the store is away, and
// are back shortly after it returns.
func (c *Catalog) Remove(id string, grace time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.remove(id, grace)
	c.stale.Store(true)
}

func (c *Catalog) remove(id string, grace time.Duration) {
	e, ok := c.entries[id]
	if !ok || e.missing {
		return
	}
	if grace <= 0 || e.server.Draining {
		delete(c.entries, id)
		return
	}
	e.missing = true
	e.keepUntil = c.now().Add(grace)
}

// Replace takes in the whole list: what it lacks was removed.
func (c *Catalog) Replace(all []model.BackendServer, grace time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	listed := make(map[string]bool, len(all))
	for _, b := range all {
		listed[b.ID] = true
		c.entries[b.ID] = &entry{server: b}
	}
	for id := range c.entries {
		if !listed[id] {
			c.remove(id, grace)
		}
	}
	c.stale.Store(true)
}

// Empty tells whether no backend server is known.
func (c *Catalog) Empty() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.entries) == 0
}

// Entries copies every entry, for a router that cannot read them itself.
func (c *Catalog) Entries() []model.BackendServer {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make([]model.BackendServer, 0, len(c.entries))
	for _, e := range c.entries {
		out = append(out, e.server)
	}
	return out
}

// Seed takes in a peer's entries, if there are none yet: a router that starts
// while the store is away has no other source. The first read of the store
// replaces them.
func (c *Catalog) Seed(all []model.BackendServer) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.entries) > 0 {
		return false
	}
	for _, b := range all {
		c.entries[b.ID] = &entry{server: b}
	}
	c.stale.Store(true)
	return len(all) > 0
}

// SetHolds takes in the layers that an engine reported itself.
func (c *Catalog) SetHolds(id string, held model.LayerRange) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e, ok := c.entries[id]; ok && e.server.Holds != held {
		e.server.Holds = held
		c.stale.Store(true)
	}
}

// Expire drops missing entries whose time is over and names them.
func (c *Catalog) Expire() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var gone []string
	for id, e := range c.entries {
		if e.missing && !c.now().Before(e.keepUntil) {
			delete(c.entries, id)
			gone = append(gone, id)
		}
	}
	if len(gone) > 0 {
		c.stale.Store(true)
	}
	return gone
}

// publish swaps the snapshot. The caller holds the lock.
func (c *Catalog) publish() {
	s := &Snapshot{
		services:  map[string][]*model.BackendServer{},
		byAddress: make(map[string]*model.BackendServer, len(c.entries)),
		byID:      make(map[string]*model.BackendServer, len(c.entries)),
		domains:   map[string]bool{},
	}
	for id, e := range c.entries {
		b := e.server
		s.byID[id] = &b
		s.domains[b.FailureDomain] = true
		if other := s.byAddress[b.Address]; other == nil || other.Revision < b.Revision {
			s.byAddress[b.Address] = &b
		}
		if !b.Draining {
			s.services[b.Service] = append(s.services[b.Service], &b)
		}
	}
	for _, list := range s.services {
		sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	}
	c.current.Store(s)
	c.stale.Store(false)
}
