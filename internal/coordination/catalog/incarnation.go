package catalog

import (
	"time"

	"github.com/skylarkwood/skylarkwood/internal/model"
)

// One id, and one address, belongs to one process at a time. Entries of processes
// that ended come all the same: the last write of one that was cut off is carried
// out seconds after its successor registered. Which of two incarnations is the
// older one is told by which was heard of first; the start that they name is the
// word of clocks that jump.

// Conflicts is what follows from an entry beside the entry itself.
type Conflicts struct {
	// Exited are incarnations whose process has surely ended, as another one has
	// their id or address.
	Exited []model.BackendServer
	// Disputed are incarnations that claim the id of one that is believed in, and
	// may be older; the server at their address can tell.
	Disputed []model.BackendServer
}

func (n *Conflicts) add(o Conflicts) {
	n.Exited = append(n.Exited, o.Exited...)
	n.Disputed = append(n.Disputed, o.Disputed...)
}

// verdict is what is done with an entry under an id that is known.
type verdict int

const (
	accept verdict = iota
	// passOver is late news of an older incarnation: it changes nothing.
	passOver
	// ask means that only the server itself can tell.
	ask
	// nobodys is an entry that lacks what its server always tells.
	nobodys
)

// compare decides between the incarnation that is believed in, nil for none, and
// the one that an entry names.
func (c *Catalog) compare(old *entry, b *model.BackendServer) verdict {
	if c.sightings.succeeded(b.Incarnation()) {
		return passOver
	}
	switch {
	case old == nil || old.server.Born == b.Born:
		return accept
	case b.Born == 0:
		return nobodys
	case b.Born < old.server.Born:
		// Never heard of, and by its clock the older one: a late write of a
		// process that ended before this router started, or a new process whose
		// clock was set back. Taken at its word the first would put the living
		// one out of use for good, as that was heard of before.
		return ask
	}
	return accept
}

// ResolveIncarnation takes in which incarnation answers at a server's address, as it said
// itself. holds are the layers that it has. A word that was asked for while
// another incarnation was believed in is too old to tell.
func (c *Catalog) ResolveIncarnation(asked model.Incarnation, born int64, holds model.LayerRange) Conflicts {
	c.mu.Lock()
	defer c.mu.Unlock()
	e, ok := c.entries[asked.ID]
	if !ok || born == 0 || e.server.Born != asked.Born || e.server.Born == born {
		return Conflicts{}
	}
	b := e.server
	b.Born = born
	b.Holds = holds
	next := *e
	next.server = b
	next.first = c.sightings.renew(b.Incarnation(), c.now())
	c.entries[b.ID] = &next
	c.stale.Store(true)
	return Conflicts{Exited: []model.BackendServer{e.server}}
}

// displaced tells which older incarnation had a new entry's address.
func (c *Catalog) displaced(e *entry) []model.BackendServer {
	id, addr := e.server.ID, e.server.Address
	before := c.newest[addr]
	other, ok := c.entries[before]
	if !ok || before == id || other.server.Address != addr {
		c.newest[addr] = id
		return nil
	}
	if !e.after(other) {
		return nil
	}
	c.newest[addr] = id
	return []model.BackendServer{other.server}
}

// holders finds who has each address.
func holders(entries map[string]*entry) map[string]*entry {
	out := make(map[string]*entry, len(entries))
	for _, e := range entries {
		if other := out[e.server.Address]; other == nil || e.after(other) {
			out[e.server.Address] = e
		}
	}
	return out
}

// after tells whether an incarnation began after another one at its address.
// Those that came with one read of the whole list are told apart by their starts,
// and by their heartbeats where they name no start: who has written fewer lives
// for a shorter time.
func (e *entry) after(o *entry) bool {
	a, b := &e.server, &o.server
	together := e.first.read != 0 && e.first.read == o.first.read
	switch {
	case !together && e.first.revision != o.first.revision:
		return e.first.revision > o.first.revision
	case a.Born != b.Born:
		return a.Born > b.Born
	case a.Beats != b.Beats:
		return a.Beats < b.Beats
	case a.Revision != b.Revision:
		return a.Revision > b.Revision
	}
	return a.ID < b.ID
}

// sighting is when an incarnation was first heard of.
type sighting struct {
	// revision is the store's of the first entry that named it.
	revision model.Revision
	// read numbers the read of the whole list that brought it; 0 where it was a
	// change. What one read brings may be older or newer than its revision says.
	read int64
}

// sightings remembers incarnations beyond their end, so that late news of them is
// known for what it is.
type sightings struct {
	first map[model.Incarnation]sighting
	last  map[model.Incarnation]time.Time
	reads int64
	// newest is the incarnation of each id that was heard of last.
	newest map[string]model.Incarnation
	// latest is the highest revision that was seen.
	latest model.Revision
}

func newSightings() sightings {
	return sightings{
		first:  map[model.Incarnation]sighting{},
		last:   map[model.Incarnation]time.Time{},
		newest: map[string]model.Incarnation{},
	}
}

// succeeded tells whether another incarnation came under the id after this one.
func (s *sightings) succeeded(inc model.Incarnation) bool {
	mine, known := s.first[inc]
	newest := s.newest[inc.ID]
	return known && newest != inc && mine.revision < s.first[newest].revision
}

// rememberFor is how long an incarnation is remembered after it was last heard
// of. Late writes come within some twelve seconds; a minute costs 100 bytes an
// engine that went.
const rememberFor = time.Minute

// note takes in an entry that names an incarnation; read is as in sighting. It
// gives when the incarnation was first heard of.
func (s *sightings) note(b *model.BackendServer, read int64, now time.Time) sighting {
	inc := b.Incarnation()
	seen, ok := s.first[inc]
	if !ok {
		seen = sighting{revision: b.Revision, read: read}
		s.first[inc] = seen
		s.newest[inc.ID] = inc
	}
	s.last[inc] = now
	s.latest = max(s.latest, b.Revision)
	return seen
}

// renew takes in that an incarnation is the newest after all.
func (s *sightings) renew(inc model.Incarnation, now time.Time) sighting {
	seen := sighting{revision: s.latest + 1}
	s.first[inc] = seen
	s.last[inc] = now
	s.newest[inc.ID] = inc
	return seen
}

// PruneExited drops what is remembered of incarnations that ended long ago.
func (c *Catalog) PruneExited() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	for addr, id := range c.newest {
		if c.entries[id] == nil {
			delete(c.newest, addr)
		}
	}
	for inc, at := range c.sightings.last {
		e := c.entries[inc.ID]
		present := e != nil && e.server.Born == inc.Born
		if !present && now.Sub(at) > rememberFor {
			delete(c.sightings.first, inc)
			delete(c.sightings.last, inc)
			if c.sightings.newest[inc.ID] == inc {
				delete(c.sightings.newest, inc.ID)
			}
		}
	}
}
