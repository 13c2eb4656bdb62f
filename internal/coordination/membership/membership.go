// Package membership is what a process believes of the others: the platform's
// instance list, which lags, corrected by direct evidence, which goes first.
package membership

import (
	"sort"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/skylarkwood/skylarkwood/internal/model"
)

const (
	// missesToDown is how many contacts must fail in a row, the later ones
	// over new connections, before a member is taken to be down.
	missesToDown = 2
	// forgetAfter is how long a member that left the list is remembered.
	forgetAfter = 30 * time.Second
)

// Backend is what a sidecar tells of the backend server beside it.
type Backend struct {
	Data     string // where its data streams end
	Service  string
	Kind     model.ServiceKind
	Range    model.LayerRange
	Layers   int
	StepTime time.Duration // per layer and position, unloaded
	Rate     float64       // positions a second with full batches
	Active   int
	Queued   int
	Capacity int
	Leaving  bool
}

// Load is what a gate says of itself.
type Load struct {
	Active, Queued, Capacity int
	Leaving                  bool
}

// Member is one process and the evidence about it.
type Member struct {
	Instance     model.Instance
	Incarnation  string
	Backend      Backend
	Revision     int64         // of the configuration it applied
	RTT          time.Duration // smoothed round trip from here
	Failures     int           // contacts failed in a row
	LastContact  time.Time     // last direct contact; zero if never
	Listed       bool          // in the instance list when it was last read
	LastListed   time.Time
	BackoffUntil time.Time // the gate asked not to be tried before
}

// Down tells whether direct evidence says that the member does not answer.
func (m *Member) Down() bool { return m.Failures >= missesToDown }

// Leaving goes by the process's own word or the list, whichever comes first.
func (m *Member) Leaving() bool { return m.Instance.Leaving || m.Backend.Leaving }

// Table holds the members by link address.
type Table struct {
	self string
	now  func() time.Time

	mu      sync.Mutex
	members map[string]*Member
	readAt  time.Time // when the list was last read
}

// New makes a table for the process at link address self.
func New(self string, now func() time.Time) *Table {
	return &Table{self: self, now: now, members: map[string]*Member{}}
}

// UpdateList takes in the platform's list. A member that answers is kept though
// the list lacks it: the list lags both ways.
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
	for addr, m := range t.members {
		silent := m.LastContact.IsZero() || m.Down()
		if !m.Listed && silent && now.Sub(m.LastListed) > forgetAfter {
			delete(t.members, addr)
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

// Observe takes in a process's own word about itself.
func (t *Table) Observe(in model.Instance, incarnation string, b Backend, rtt time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	m := t.member(in.Address)
	if m.Incarnation != incarnation {
		m.BackoffUntil = time.Time{}
		m.RTT = rtt
	}
	m.Instance = in
	m.Incarnation = incarnation
	m.Backend = b
	m.RTT += (rtt - m.RTT) / 8
	m.Failures = 0
	m.LastContact = t.now()
}

// ObserveLoad takes in the load that came with a gate's reply.
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
	m.Backend.Leaving = l.Leaving
	m.Failures = 0
	m.LastContact = t.now()
}

// ObserveRevision takes in the configuration revision that rode on a message. The
// sender may not be in the list yet, which lags.
func (t *Table) ObserveRevision(addr string, revision int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if addr == "" || addr == t.self {
		return
	}
	m := t.member(addr)
	m.Revision = max(m.Revision, revision)
}

// ObserveLeaving takes in a gate's word that it leaves.
func (t *Table) ObserveLeaving(addr string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if m, ok := t.members[addr]; ok {
		m.Backend.Leaving = true
	}
}

// RecordFailure records a contact that failed; it tells whether the member is now
// taken to be down.
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

// SetBackoff records that a gate refused and when it may be tried again.
func (t *Table) SetBackoff(addr string, d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if m, ok := t.members[addr]; ok {
		m.BackoffUntil = t.now().Add(d)
	}
}

// All copies every member, ordered by address.
func (t *Table) All() []Member {
	return t.filter(func(*Member) bool { return true })
}

// Entries copies the entries that are not known to be down.
func (t *Table) Entries() []Member {
	return t.filter(func(m *Member) bool {
		return m.Instance.Role == model.RoleEntry && !m.Down()
	})
}

// ServiceMembers copies every member known to offer a service, whatever its state.
// It is complete only if each sidecar of the list was met: one that was not may
// offer the service too.
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

// ListAge is how long ago the instance list was last read.
func (t *Table) ListAge() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.now().Sub(t.readAt)
}

// Get copies one member.
func (t *Table) Get(addr string) (Member, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	m, ok := t.members[addr]
	if !ok {
		return Member{}, false
	}
	return *m, true
}

// Candidates copies the members that may be given work of a service: met, not
// down, not leaving. Ejecting is bounded: when more than half of a service
// seems down, the fault is likelier here or in the network between, and the
// members that seem down are offered too, after the others.
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
// Ravishankar, 1998): all processes that know the same addresses agree, and a
// change of one address moves only what that one held.
func Rendezvous(key string, addrs []string) []string {
	out := append([]string(nil), addrs...)
	weight := func(a string) uint64 { return xxhash.Sum64String(a + "\x00" + key) }
	sort.Slice(out, func(i, j int) bool { return weight(out[i]) > weight(out[j]) })
	return out
}
