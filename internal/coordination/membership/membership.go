// Package membership keeps a process's view of the other processes. The platform's
// instance list lags, so direct evidence takes precedence over it.
package membership

import (
	"sort"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/skylarkwood/skylarkwood/internal/model"
)

const (
	// maxFailures is the number of consecutive failed contacts after which a member is
	// considered down. Contacts after the first use new connections.
	maxFailures = 2
	// retention is how long a member is kept after it left the list.
	retention = 30 * time.Second
)

// Backend is a sidecar's description of its backend server.
type Backend struct {
	Data     string // address for its data streams
	Service  string
	Kind     model.ServiceKind
	Range    model.LayerRange
	Layers   int
	StepTime time.Duration // per layer and position, unloaded
	Rate     float64       // positions per second with full batches
	Active   int
	Queued   int
	Capacity int
	Leaving  bool
}

// Load is the load of a gate.
type Load struct {
	Active, Queued, Capacity int
	Leaving                  bool
}

// Member is one process and the evidence about it.
type Member struct {
	Instance     model.Instance
	Incarnation  string
	Backend      Backend
	Revision     int64         // of the configuration that it applied
	RTT          time.Duration // smoothed round-trip time from this process
	Failures     int           // consecutive failed contacts
	LastContact  time.Time     // last direct contact; zero if never
	Listed       bool          // whether it was in the instance list when last read
	LastListed   time.Time
	BackoffUntil time.Time // no new requests before this time
}

// Down reports whether the member is considered down because of failed contacts.
func (m *Member) Down() bool { return m.Failures >= maxFailures }

// Leaving reports whether the process or the instance list has announced that the
// member is leaving.
func (m *Member) Leaving() bool { return m.Instance.Leaving || m.Backend.Leaving }

// Table holds the members by link address.
type Table struct {
	self string
	now  func() time.Time

	mu      sync.Mutex
	members map[string]*Member
	readAt  time.Time // when the list was last read
	// unconfirmed is the number of members that neither the list nor a response has confirmed.
	unconfirmed int
}

// New returns a table for the process at link address self.
func New(self string, now func() time.Time) *Table {
	return &Table{self: self, now: now, members: map[string]*Member{}}
}

// UpdateList applies the platform's instance list. A member that responds is kept even
// if the list lacks it, because the list may be out of date.
func (t *Table) UpdateList(list []model.Instance) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	t.readAt = now
	for _, m := range t.members {
		m.Listed = false
	}
	for _, in := range list {
		if in.Address == t.self {
			continue
		}
		m := t.member(in.Address)
		leaving := m.Instance.Leaving && m.Instance.ID == in.ID
		m.Instance = in
		m.Instance.Leaving = in.Leaving || leaving
		m.Listed = true
		m.LastListed = now
	}
	t.unconfirmed = 0
	for addr, m := range t.members {
		unresponsive := m.LastContact.IsZero() || m.Down()
		if !m.Listed && unresponsive && now.Sub(m.LastListed) > retention {
			delete(t.members, addr)
		} else if !m.Confirmed() {
			t.unconfirmed++
		}
	}
}

func (t *Table) member(addr string) *Member {
	m, ok := t.members[addr]
	if !ok {
		m = &Member{Instance: model.Instance{Address: addr}, LastListed: t.now()}
		t.members[addr] = m
	}
	return m
}

// Observe records a response of a process and its description of itself.
func (t *Table) Observe(in model.Instance, incarnation string, b Backend, rtt time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	m := t.member(in.Address)
	if m.Incarnation != incarnation {
		m.BackoffUntil = time.Time{}
		m.RTT = rtt
	}
	b.Leaving = b.Leaving || m.Backend.Leaving && m.Incarnation == incarnation
	m.Instance = in
	m.Incarnation = incarnation
	m.Backend = b
	m.RTT += (rtt - m.RTT) / 8
	t.responded(m)
}

// ObserveLoad records the load in a gate's reply. Replies arrive in any order, so one that
// does not say that the gate leaves changes nothing about that.
func (t *Table) ObserveLoad(addr string, l Load) {
	t.mu.Lock()
	defer t.mu.Unlock()
	m, ok := t.members[addr]
	if !ok {
		return
	}
	m.Backend.Active = l.Active
	m.Backend.Queued = l.Queued
	m.Backend.Capacity = l.Capacity
	m.Backend.Leaving = m.Backend.Leaving || l.Leaving
	t.responded(m)
}

// ObserveLeaving records that a gate announced that it is leaving.
func (t *Table) ObserveLeaving(addr string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if m, ok := t.members[addr]; ok {
		m.Backend.Leaving = true
	}
}

// RecordFailure records a failed contact and reports whether the member is now
// considered down. For an unknown member it returns true.
func (t *Table) RecordFailure(addr string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	m, ok := t.members[addr]
	if !ok {
		return true
	}
	m.Failures++
	return m.Down()
}

// SetBackoff records that a gate refused a request and must not be tried for d. It never
// shortens a backoff: the refusals of calls that were made together arrive in any order.
func (t *Table) SetBackoff(addr string, d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	m, ok := t.members[addr]
	if until := t.now().Add(d); ok && until.After(m.BackoffUntil) {
		m.BackoffUntil = until
	}
}

// All returns copies of all members, ordered by address.
func (t *Table) All() []Member {
	return t.filter(func(*Member) bool { return true })
}

// Entries returns copies of the entries that are not down.
func (t *Table) Entries() []Member {
	return t.filter(func(m *Member) bool {
		return m.Instance.Role == model.RoleEntry && !m.Down()
	})
}

// ServiceMembers returns copies of all members that offer a service, in any state.
// complete is false if some sidecar has not yet been contacted, since it may offer the
// service too.
func (t *Table) ServiceMembers(service string) (members []Member, complete bool) {
	complete = true
	members = t.filter(func(m *Member) bool {
		if m.Instance.Role != model.RoleEntry && m.Backend.Service == "" {
			complete = false
		}
		return m.Backend.Service == service
	})
	return members, complete
}

// ListAge returns the time since the instance list was last read.
func (t *Table) ListAge() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.now().Sub(t.readAt)
}

// Get returns a copy of one member.
func (t *Table) Get(addr string) (Member, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	m, ok := t.members[addr]
	if !ok {
		return Member{}, false
	}
	return *m, true
}

// Candidates returns copies of the members that may get requests of a service:
// contacted, not down and not leaving. If more than half of a service seems down, the
// fault is probably local or in the network. The members that seem down are then
// returned as doubtful.
func (t *Table) Candidates(service string) (up, doubtful []Member) {
	all := t.filter(func(m *Member) bool {
		return m.Backend.Service == service && !m.LastContact.IsZero() && !m.Leaving()
	})
	for _, m := range all {
		if m.Down() {
			doubtful = append(doubtful, m)
		} else {
			up = append(up, m)
		}
	}
	if len(doubtful) <= len(up) {
		doubtful = nil
	}
	return up, doubtful
}

func (t *Table) filter(keep func(*Member) bool) []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Member
	for _, m := range t.members {
		if keep(m) {
			out = append(out, *m)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Instance.Address < out[j].Instance.Address })
	return out
}

// Rendezvous orders addresses for a key by highest random weight (Thaler and
// Ravishankar, 1998). Processes with the same addresses get the same order, and a
// change of one address moves only the keys of that address.
func Rendezvous(key string, addrs []string) []string {
	out := append([]string(nil), addrs...)
	weight := func(a string) uint64 { return xxhash.Sum64String(a + "\x00" + key) }
	sort.Slice(out, func(i, j int) bool { return weight(out[i]) > weight(out[j]) })
	return out
}
