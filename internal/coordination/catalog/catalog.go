// Package catalog is what a router believes of the backend servers: their
// entries in the store, corrected by what is seen of them directly. The store's
// list lags behind a crash by several heartbeats, so direct evidence goes first.
package catalog

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/skylarkwood/skylarkwood/internal/model"
)

// entry is a backend server and until when it is kept though its entry is gone.
type entry struct {
	server model.BackendServer
	// first is when the incarnation was first heard of.
	first sighting
	// unreadable says that another writer put something in the entry's place.
	unreadable bool
	// missing is set while the entry is gone from the store; keepUntil says how
	// long it is believed in all the same.
	missing   bool
	keepUntil time.Time
}

// Catalog holds the entries and publishes snapshots of them.
type Catalog struct {
	now func() time.Time

	mu        sync.Mutex
	entries   map[string]*entry // by id, as in the store
	newest    map[string]string // id of the newest entry by address
	sightings sightings
	current   atomic.Pointer[Snapshot]
	// stale says that entries changed since the snapshot was made. It is made
	// anew when somebody asks: engines register in bunches, and a snapshot of
	// thousands for each of them would cost more than the routing.
	stale atomic.Bool
}

// New makes an empty catalogue.
func New(now func() time.Time) *Catalog {
	c := &Catalog{now: now, entries: map[string]*entry{}, newest: map[string]string{}, sightings: newSightings()}
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

// publish swaps the snapshot. The caller holds the lock.
func (c *Catalog) publish() {
	c.stale.Store(false)
	c.current.Store(newSnapshot(c.entries))
}

// Put takes in a new or changed entry and tells what follows from it. An older
// revision is passed over: pages of a range read and the watch that follows it
// overlap.
func (c *Catalog) Put(b model.BackendServer) Conflicts {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.put(b, 0)
}

// put takes in an entry; read numbers the read of the whole list that it came
// with, 0 for a change. The caller holds the lock.
func (c *Catalog) put(b model.BackendServer, read int64) Conflicts {
	old, ok := c.entries[b.ID]
	if ok && !old.missing && old.server.Revision > b.Revision {
		return Conflicts{}
	}
	if ok && outdated(&old.server, &b) {
		// Of a later write nothing is taken back; what comes next is newer than both.
		old.server.Revision = b.Revision
		old.missing = false
		return Conflicts{}
	}
	switch c.compare(old, &b) {
	case passOver:
		return Conflicts{}
	case ask:
		return Conflicts{Disputed: []model.BackendServer{b}}
	case nobodys:
		c.spoil(old, b.Revision)
		return Conflicts{}
	}
	c.stale.Store(true)
	e := &entry{server: b, first: c.sightings.note(&b, read, c.now())}
	c.entries[b.ID] = e
	news := Conflicts{Exited: c.displaced(e)}
	if ok && old.server.Born != b.Born {
		news.Exited = append(news.Exited, old.server)
	}
	return news
}

// outdated tells whether an entry of a store that came back from an older copy is one that
// its server has written over since: its revision is of a newer era, and it has fewer
// heartbeats than are known of the same process. Taken at its word a server that drains
// would be ready again, and get requests, until it writes once more.
func outdated(known, b *model.BackendServer) bool {
	return b.Revision.Era() > known.Revision.Era() && b.Born == known.Born && b.Beats < known.Beats
}

// MarkMalformed takes in that an entry holds something that names no server. What was
// believed of its server is kept, as work may be running there, but it gets none
// until its own word stands there again: whoever wrote over it may know that it
// is gone, and a server that lives writes again within a heartbeat. It tells
// whether that is news.
func (c *Catalog) MarkMalformed(id string, revision model.Revision) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	e, ok := c.entries[id]
	if !ok || e.unreadable || e.server.Revision > revision {
		return false
	}
	c.spoil(e, revision)
	return true
}

func (c *Catalog) spoil(e *entry, revision model.Revision) {
	e.unreadable = true
	e.server.Revision = revision
	c.stale.Store(true)
}

// Remove takes in that an entry is gone, as of a revision. grace is how long the
// backend server is believed in all the same: entries also lapse while the store is
// away, and are back shortly after it returns. A removal that is older than the
// entry is passed over, as in Put: the entry came back after it, and its server
// would get no requests until the watch tells of it.
func (c *Catalog) Remove(id string, revision model.Revision, grace time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e, ok := c.entries[id]; ok && e.server.Revision > revision {
		return
	}
	c.remove(id, grace)
	c.stale.Store(true)
}

func (c *Catalog) remove(id string, grace time.Duration) {
	e, ok := c.entries[id]
	if !ok || e.missing {
		return
	}
	if grace <= 0 || e.server.Draining || e.unreadable {
		delete(c.entries, id)
		return
	}
	e.missing = true
	e.keepUntil = c.now().Add(grace)
}

// Replace takes in the whole list: what it lacks was removed. malformed are the ids
// whose entries name no server.
func (c *Catalog) Replace(all []model.BackendServer, malformed map[string]model.Revision, grace time.Duration) Conflicts {
	c.mu.Lock()
	defer c.mu.Unlock()
	var news Conflicts
	listed := make(map[string]bool, len(all))
	c.sightings.reads++
	for _, b := range all {
		listed[b.ID] = true
		news.add(c.put(b, c.sightings.reads))
	}
	for id, e := range c.entries {
		if revision, ok := malformed[id]; ok {
			c.spoil(e, revision)
			continue
		}
		if !listed[id] {
			c.remove(id, grace)
		}
	}
	c.stale.Store(true)
	return news
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
		if !e.unreadable {
			out = append(out, e.server)
		}
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
	c.sightings.reads++
	for _, b := range all {
		c.put(b, c.sightings.reads)
	}
	return len(all) > 0
}

// SetHolds takes in the layers that an engine reported itself.
func (c *Catalog) SetHolds(inc model.Incarnation, held model.LayerRange) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e, ok := c.entries[inc.ID]
	if ok && e.server.Incarnation() == inc && e.server.Holds != held {
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
