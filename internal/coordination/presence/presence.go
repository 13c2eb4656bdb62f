// Package presence tracks the other routers: which are registered in the store, and which
// were heard from lately.
package presence

import (
	"sync"
	"time"

	"github.com/skylarkwood/skylarkwood/internal/coordination/leader"
)

// Timeout is how long an unregistered router counts as running after its last heartbeat.
const Timeout = 20 * time.Second

// Table holds what this router knows of the others, by link address. It is safe for
// concurrent use.
type Table struct {
	self, domain string
	seeds        []string
	now          func() time.Time

	mu     sync.Mutex
	others map[string]*router
}

type router struct {
	domain     string // empty until it is registered
	registered bool
	heard      time.Time // last heartbeat; zero if there was none
	known      time.Time // first registration or heartbeat
}

// New returns a table for the router with link address self in a failure domain. While no
// other router is known, the seeds count as running.
func New(self, domain string, seeds []string, now func() time.Time) *Table {
	return &Table{self: self, domain: domain, seeds: seeds, now: now, others: map[string]*router{}}
}

// SetMembers sets the routers that are registered in the store, by store key.
func (t *Table) SetMembers(members map[string]leader.Member) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.others {
		r.registered = false
	}
	for _, m := range members {
		if m.Address != t.self {
			r := t.get(m.Address)
			r.registered, r.domain = true, m.Domain
		}
	}
	t.prune()
}

// Heard records a heartbeat.
func (t *Table) Heard(addr string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.get(addr).heard = t.now()
}

// HasHeard reports whether a router sent a heartbeat to this process. A registration alone does not
// show that the router runs: the entry of one that ended stays for as long as Silence allows.
func (t *Table) HasHeard(addr string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.others[addr]
	return ok && !r.heard.IsZero()
}

// get returns the entry of a router and adds it if it is missing. The caller holds t.mu.
func (t *Table) get(addr string) *router {
	r, ok := t.others[addr]
	if !ok {
		r = &router{known: t.now()}
		t.others[addr] = r
	}
	return r
}

// prune drops the routers that no longer count as running. The caller holds t.mu.
func (t *Table) prune() {
	now := t.now()
	for addr, r := range t.others {
		if !r.registered && now.Sub(r.heard) >= Timeout {
			delete(t.others, addr)
		}
	}
}

// Others returns the link addresses of the other routers. While none is registered and none
// sent a heartbeat, it returns the seeds.
func (t *Table) Others() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.prune()
	out := make([]string, 0, len(t.others)+len(t.seeds))
	for addr := range t.others {
		out = append(out, addr)
	}
	if len(out) > 0 {
		return out
	}
	for _, addr := range t.seeds {
		if addr != t.self {
			out = append(out, addr)
		}
	}
	return out
}

// Count returns the number of routers that share budgets, including this one, but at least
// the number of seeds.
func (t *Table) Count() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.prune()
	return max(len(t.others)+1, len(t.seeds))
}

// Reachable returns the routers of which something was heard lately. validity is how long a
// heartbeat of a router of the own failure domain, or of another one, is valid. A router
// that has just registered counts as reachable until its first heartbeat is due: of hundreds
// that start together, each would otherwise depend on the store for many heartbeats.
func (t *Table) Reachable(validity func(near bool) time.Duration) map[string]bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	near, far := validity(true), validity(false)
	out := make(map[string]bool, len(t.others))
	for addr, r := range t.others {
		valid := far
		if t.isNear(r) {
			valid = near
		}
		if now.Sub(r.lastSign()) < valid {
			out[addr] = true
		}
	}
	return out
}

// Silence returns how long nothing was heard of a router, or how long it has been known if it
// never sent a heartbeat. It is 0 for a router that is not known.
func (t *Table) Silence(addr string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.others[addr]
	if !ok {
		return 0
	}
	return t.now().Sub(r.lastSign())
}

// lastSign returns when something was last heard of the router, registrations included.
func (r *router) lastSign() time.Time {
	if r.heard.IsZero() {
		return r.known
	}
	return r.heard
}

// isNear reports whether a router is in the own failure domain.
func (t *Table) isNear(r *router) bool { return r.registered && r.domain == t.domain }

// Split divides routers into those of the own failure domain and the others. Routers whose
// failure domain is unknown count as others.
func (t *Table) Split(addrs []string) (near, far []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, addr := range addrs {
		if r, ok := t.others[addr]; ok && t.isNear(r) {
			near = append(near, addr)
		} else {
			far = append(far, addr)
		}
	}
	return near, far
}

// Domains returns the failure domains of the registered routers and of this one, by link
// address.
func (t *Table) Domains() map[string]string {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := map[string]string{t.self: t.domain}
	for addr, r := range t.others {
		if r.registered {
			out[addr] = r.domain
		}
	}
	return out
}
