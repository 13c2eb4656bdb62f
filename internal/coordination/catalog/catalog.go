// Package catalog keeps a router's list of backend servers and their health. Direct
// evidence takes precedence over the entries in the store, which change only several
// heartbeats after a crash.
package catalog

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/skylarkwood/skylarkwood/internal/model"
)

// entry is a backend server as registered in the store.
type entry struct {
	server model.BackendServer
	// firstSeen is when the incarnation was first observed.
	firstSeen observation
	// malformed is set if the store's entry names no server.
	malformed bool
	// missing is set if the store has no entry. The server is kept until keepUntil.
	missing   bool
	keepUntil time.Time
}

// Catalog holds the entries and publishes snapshots of them. It is safe for concurrent
// use.
type Catalog struct {
	now func() time.Time

	mu           sync.Mutex
	entries      map[string]*entry // by id
	newestByAddr map[string]string // id of the newest entry, by address
	// services are those that the configuration names; nil if all count.
	services map[string]bool
	history  incarnationHistory
	current  atomic.Pointer[Snapshot]
	// dirty is set if entries changed since the last snapshot. The next Load makes a
	// new one. A snapshot for each change would be expensive while many engines
	// register.
	dirty atomic.Bool
}

// New returns an empty catalog.
func New(now func() time.Time) *Catalog {
	c := &Catalog{now: now, entries: map[string]*entry{}, newestByAddr: map[string]string{}, history: newIncarnationHistory()}
	c.publish()
	return c
}

// Load returns a snapshot of the present state.
func (c *Catalog) Load() *Snapshot {
	if c.dirty.Load() {
		c.mu.Lock()
		if c.dirty.Load() {
			c.publish()
		}
		c.mu.Unlock()
	}
	return c.current.Load()
}

// publish replaces the snapshot. The caller holds c.mu.
func (c *Catalog) publish() {
	c.dirty.Store(false)
	c.current.Store(newSnapshot(c.entries, c.supersedes))
}

// SetServices sets the services that the configuration names. An entry of another service is no
// evidence that the process at its address was replaced: another program may have written it. Before
// the first call all services count.
func (c *Catalog) SetServices(names map[string]bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.services = names
	c.dirty.Store(true)
}

// configured reports whether the configuration names the service of an entry. The caller holds c.mu.
func (c *Catalog) configured(e *entry) bool {
	return c.services == nil || c.services[e.server.Service]
}

// Put adds or updates an entry and returns the conflicts with other incarnations. An
// older revision is ignored: the pages of a range and the watch that follows them
// overlap.
func (c *Catalog) Put(b model.BackendServer) Conflicts {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.put(b, 0)
}

// put adds or updates an entry. read is the number of the read of the whole list that
// returned it, or 0 for a change. The caller holds c.mu.
func (c *Catalog) put(b model.BackendServer, read int64) Conflicts {
	if c.history.leaving[b.Incarnation()] {
		b.Draining = true
	}
	old, ok := c.entries[b.ID]
	if ok && !old.missing && old.server.Revision > b.Revision {
		return Conflicts{}
	}
	if ok && overwrittenSince(&old.server, &b) {
		// The known state is newer than the entry. Later changes have a higher revision
		// than the entry.
		old.server.Revision = b.Revision
		old.missing = false
		return Conflicts{}
	}
	switch c.compare(old, &b) {
	case ignore:
		return Conflicts{}
	case dispute:
		return Conflicts{Disputed: []model.BackendServer{b}}
	case reject:
		c.markMalformed(old, b.Revision)
		return Conflicts{}
	}
	c.dirty.Store(true)
	e := &entry{server: b, firstSeen: c.history.observe(&b, read, c.now())}
	c.entries[b.ID] = e
	conflicts := Conflicts{Exited: c.replacedAtAddress(e)}
	if ok && old.server.Born != b.Born {
		conflicts.Exited = append(conflicts.Exited, old.server)
	}
	return conflicts
}

// overwrittenSince reports whether b, from a store restored from an older copy, is
// older than known: its era is newer, but the same process had already sent more
// heartbeats. With such an entry a draining server would get requests until its next
// heartbeat.
func overwrittenSince(known, b *model.BackendServer) bool {
	return b.Revision.Era() > known.Revision.Era() && b.Born == known.Born && b.HeartbeatCount < known.HeartbeatCount
}

// MarkMalformed records that an entry names no server, and reports whether that is new.
// The server stays known because requests may be running there, but gets no new ones
// until its next heartbeat restores the entry.
func (c *Catalog) MarkMalformed(id string, revision model.Revision) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	e, ok := c.entries[id]
	if !ok || e.malformed || e.server.Revision > revision {
		return false
	}
	c.markMalformed(e, revision)
	return true
}

func (c *Catalog) markMalformed(e *entry, revision model.Revision) {
	e.malformed = true
	e.server.Revision = revision
	c.dirty.Store(true)
}

// Remove records that the store has no entry as of a revision. The server is kept for
// grace, as entries also expire during an outage of the store and are written again
// after it. A removal older than the known entry is ignored, as in Put: the server would
// get no requests until the watch reports the entry.
func (c *Catalog) Remove(id string, revision model.Revision, grace time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e, ok := c.entries[id]; ok && e.server.Revision > revision {
		return
	}
	c.remove(id, grace)
	c.dirty.Store(true)
}

func (c *Catalog) remove(id string, grace time.Duration) {
	e, ok := c.entries[id]
	if !ok || e.missing {
		return
	}
	if grace <= 0 || e.server.Draining || e.malformed {
		delete(c.entries, id)
		return
	}
	e.missing = true
	e.keepUntil = c.now().Add(grace)
}

// Replace replaces the whole list and returns the conflicts between incarnations.
// Entries that all lacks are removed with grace. malformed holds the revisions of
// entries that name no server, by id.
func (c *Catalog) Replace(all []model.BackendServer, malformed map[string]model.Revision, grace time.Duration) Conflicts {
	c.mu.Lock()
	defer c.mu.Unlock()
	var conflicts Conflicts
	listed := make(map[string]bool, len(all))
	c.history.reads++
	for _, b := range all {
		listed[b.ID] = true
		conflicts.add(c.put(b, c.history.reads))
	}
	for id, e := range c.entries {
		if revision, ok := malformed[id]; ok {
			c.markMalformed(e, revision)
			continue
		}
		if !listed[id] {
			c.remove(id, grace)
		}
	}
	c.dirty.Store(true)
	return conflicts
}

// Empty reports whether no backend server is known.
func (c *Catalog) Empty() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.entries) == 0
}

// Entries returns a copy of all well-formed entries, for routers that cannot read the
// store.
func (c *Catalog) Entries() []model.BackendServer {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make([]model.BackendServer, 0, len(c.entries))
	for _, e := range c.entries {
		if !e.malformed {
			out = append(out, e.server)
		}
	}
	return out
}

// Seed adds a peer's entries if there are none yet, and reports whether it added any. A
// router that starts during an outage of the store has no other source. The first read
// of the store replaces them.
func (c *Catalog) Seed(all []model.BackendServer) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.entries) > 0 {
		return false
	}
	c.history.reads++
	for _, b := range all {
		c.put(b, c.history.reads)
	}
	return len(all) > 0
}

// SetHolds sets the layers that an engine itself reported to hold.
func (c *Catalog) SetHolds(inc model.Incarnation, held model.LayerRange) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e, ok := c.entries[inc.ID]
	if ok && e.server.Incarnation() == inc && e.server.Holds != held {
		e.server.Holds = held
		c.dirty.Store(true)
	}
}

// MarkLeaving records that an incarnation said itself that it leaves, and reports whether that
// is new. It gets no new requests until it exits, whatever its entry says.
func (c *Catalog) MarkLeaving(inc model.Incarnation) (isNew bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.history.leaving[inc] {
		return false
	}
	c.history.setLeaving(inc, c.now())
	if e, ok := c.entries[inc.ID]; ok && e.server.Incarnation() == inc {
		e.server.Draining = true
		c.dirty.Store(true)
	}
	return true
}

// Expire removes missing entries whose grace is over and returns their ids.
func (c *Catalog) Expire() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var expired []string
	for id, e := range c.entries {
		if e.missing && !c.now().Before(e.keepUntil) {
			delete(c.entries, id)
			expired = append(expired, id)
		}
	}
	if len(expired) > 0 {
		c.dirty.Store(true)
	}
	return expired
}
