package catalog

import (
	"time"

	"github.com/skylarkwood/skylarkwood/internal/model"
)

// An id and an address belong to one process at a time, but the last write of a process
// that was cut off may arrive after its successor registered. The order in which
// incarnations were first observed decides which is newer. Their start times come from
// clocks that may jump.

// Conflicts are the other incarnations that an entry conflicts with.
type Conflicts struct {
	// Exited are incarnations whose process has exited, as another one has their id or
	// address.
	Exited []model.BackendServer
	// Disputed are incarnations that claim the id of a known one and may be older. The
	// server at their address must be asked.
	Disputed []model.BackendServer
}

func (c *Conflicts) add(other Conflicts) {
	c.Exited = append(c.Exited, other.Exited...)
	c.Disputed = append(c.Disputed, other.Disputed...)
}

// decision is what to do with an entry whose id is known.
type decision int

const (
	accept decision = iota
	// ignore is for a late entry of an older incarnation.
	ignore
	// dispute is for an entry whose age must be queried from the server itself.
	dispute
	// reject is for an entry that lacks the start time and so was not written by its
	// server.
	reject
)

// compare decides between the known incarnation, nil if there is none, and that of an
// entry.
func (c *Catalog) compare(old *entry, b *model.BackendServer) decision {
	if c.history.superseded(b.Incarnation()) {
		return ignore
	}
	switch {
	case old == nil || old.server.Born == b.Born:
		return accept
	case b.Born == 0:
		return reject
	case b.Born < old.server.Born:
		// Not observed before, and older by its clock. It is either a late write of a
		// process that exited before this router started, or a new process whose clock
		// was set back. Accepting the first would put the running process out of use
		// for good.
		return dispute
	}
	return accept
}

// ResolveIncarnation records which incarnation answered at a server's address, with the
// layers that it holds, and returns the one that exited. The answer is ignored if the
// known incarnation changed since it was requested.
func (c *Catalog) ResolveIncarnation(expected model.Incarnation, born int64, holds model.LayerRange) Conflicts {
	c.mu.Lock()
	defer c.mu.Unlock()
	e, ok := c.entries[expected.ID]
	if !ok || born == 0 || e.server.Born != expected.Born || e.server.Born == born {
		return Conflicts{}
	}
	b := e.server
	b.Born = born
	b.Holds = holds
	next := *e
	next.server = b
	next.firstSeen = c.history.setNewest(b.Incarnation(), c.now())
	c.entries[b.ID] = &next
	c.dirty.Store(true)
	return Conflicts{Exited: []model.BackendServer{e.server}}
}

// replacedAtAddress returns the older incarnation at a new entry's address, if any.
func (c *Catalog) replacedAtAddress(e *entry) []model.BackendServer {
	if !c.configured(e) {
		return nil
	}
	id, addr := e.server.ID, e.server.Address
	before := c.newestByAddr[addr]
	other, ok := c.entries[before]
	if !ok || before == id || other.server.Address != addr || !c.configured(other) {
		c.newestByAddr[addr] = id
		return nil
	}
	if !e.startedAfter(other) {
		return nil
	}
	c.newestByAddr[addr] = id
	return []model.BackendServer{other.server}
}

// newestAtAddresses returns for each address the entry that supersedes the others.
func newestAtAddresses(entries map[string]*entry, supersedes func(e, other *entry) bool) map[string]*entry {
	out := make(map[string]*entry, len(entries))
	for _, e := range entries {
		if other := out[e.server.Address]; other == nil || supersedes(e, other) {
			out[e.server.Address] = e
		}
	}
	return out
}

// supersedes reports whether an entry takes precedence over another one with the same address: if only
// its service is configured, or if its process started later. The caller holds c.mu.
func (c *Catalog) supersedes(e, other *entry) bool {
	if c.configured(e) != c.configured(other) {
		return c.configured(e)
	}
	return e.startedAfter(other)
}

// startedAfter reports whether an incarnation started after another one at the same
// address. Entries from the same read of the whole list are compared by start time, and so are those of
// different eras of the store: a copy that is restored may have earlier processes.
// Without start times, the one with fewer heartbeats started later.
func (e *entry) startedAfter(other *entry) bool {
	a, b := &e.server, &other.server
	sameRead := e.firstSeen.read != 0 && e.firstSeen.read == other.firstSeen.read
	sameEra := e.firstSeen.revision.Era() == other.firstSeen.revision.Era()
	switch {
	case !sameRead && sameEra && e.firstSeen.revision != other.firstSeen.revision:
		return e.firstSeen.revision > other.firstSeen.revision
	case a.Born != b.Born:
		return a.Born > b.Born
	case a.HeartbeatCount != b.HeartbeatCount:
		return a.HeartbeatCount < b.HeartbeatCount
	case a.Revision != b.Revision:
		return a.Revision > b.Revision
	}
	return a.ID < b.ID
}

// observation is when an incarnation was first observed.
type observation struct {
	// revision is that of the first entry which named the incarnation.
	revision model.Revision
	// read is the number of the read of the whole list that returned the entry, 0 if it
	// was a change. The revisions of entries from one read do not show which process
	// started first.
	read int64
}

// incarnationHistory keeps incarnations after their exit, so that their late
// entries are recognized.
type incarnationHistory struct {
	firstSeen map[model.Incarnation]observation
	lastSeen  map[model.Incarnation]time.Time
	reads     int64
	// newest is the newest incarnation of each id.
	newest map[string]model.Incarnation
	// leaving are the incarnations that said themselves that they leave.
	leaving map[model.Incarnation]bool
	// maxRevision is the highest revision observed.
	maxRevision model.Revision
}

func newIncarnationHistory() incarnationHistory {
	return incarnationHistory{
		firstSeen: map[model.Incarnation]observation{},
		lastSeen:  map[model.Incarnation]time.Time{},
		newest:    map[string]model.Incarnation{},
		leaving:   map[model.Incarnation]bool{},
	}
}

// superseded reports whether a newer incarnation with the same id was observed.
func (h *incarnationHistory) superseded(inc model.Incarnation) bool {
	own, known := h.firstSeen[inc]
	newest := h.newest[inc.ID]
	return known && newest != inc && own.revision < h.firstSeen[newest].revision
}

// historyRetention is how long an incarnation is kept after its last entry. Late
// writes arrive within some twelve seconds.
const historyRetention = time.Minute

// observe records an entry and returns when its incarnation was first observed.
func (h *incarnationHistory) observe(b *model.BackendServer, read int64, now time.Time) observation {
	inc := b.Incarnation()
	seen, ok := h.firstSeen[inc]
	if !ok {
		seen = observation{revision: b.Revision, read: read}
		h.firstSeen[inc] = seen
		h.newest[inc.ID] = inc
	}
	h.lastSeen[inc] = now
	h.maxRevision = max(h.maxRevision, b.Revision)
	return seen
}

// setLeaving records that an incarnation said that it leaves.
func (h *incarnationHistory) setLeaving(inc model.Incarnation, now time.Time) {
	h.leaving[inc] = true
	h.lastSeen[inc] = now
}

// setNewest records that an incarnation is the newest of its id.
func (h *incarnationHistory) setNewest(inc model.Incarnation, now time.Time) observation {
	seen := observation{revision: h.maxRevision + 1}
	h.firstSeen[inc] = seen
	h.lastSeen[inc] = now
	h.newest[inc.ID] = inc
	return seen
}

// PruneExited removes exited incarnations whose last entry is older than
// historyRetention.
func (c *Catalog) PruneExited() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	for addr, id := range c.newestByAddr {
		if c.entries[id] == nil {
			delete(c.newestByAddr, addr)
		}
	}
	for inc, at := range c.history.lastSeen {
		e := c.entries[inc.ID]
		present := e != nil && e.server.Born == inc.Born
		if !present && now.Sub(at) > historyRetention {
			delete(c.history.firstSeen, inc)
			delete(c.history.lastSeen, inc)
			delete(c.history.leaving, inc)
			if c.history.newest[inc.ID] == inc {
				delete(c.history.newest, inc.ID)
			}
		}
	}
}
