package leader

import (
	"testing"

	"gotest.tools/v3/assert"
)

// A small model of leadership over restores, searched exhaustively: what three routers can do
// with two restores, in every order, where any of them may be slow, cut off or behind. Time
// goes in steps; a lease lasts leaseSteps of them at the store and not longer in its holder's
// belief.
const (
	routerCount = 3
	maxRestores = 2
	leaseSteps  = 2
	maxClaims   = 3 // claims in all; more show nothing new
	noHolder    = -1
)

// revision is a revision: its era and count.
type revision struct{ era, count int8 }

func (s revision) after(o revision) bool { return s.era > o.era || s.era == o.era && s.count > o.count }

// leaderKey is the leadership leaderKey in the store.
type leaderKey struct {
	holder int8
	age    int8 // steps since its lease was renewed
}

type modelStore struct {
	at     revision
	key    leaderKey
	backup struct { // the copy
		taken  bool
		count  int8
		holder int8
	}
}

type modelRouter struct {
	token          revision // zero: it does not lead
	age            int8     // steps since it renewed
	era            int8     // the newest that it knows
	campaignDelay  int8     // steps before it may stand
	observedHolder int8     // the holder in its picture
}

func (r *modelRouter) leads() bool { return r.token != revision{} && r.age < leaseSteps }

type modelState struct {
	store   modelStore
	routers [routerCount]modelRouter
	highest revision
	claims  int8
}

// guards are the guards that a search may do without.
type guards struct {
	// waitForOldLease is that nobody stands in a new era before an old leader's belief has ended.
	waitForOldLease bool
	// rejectUnknownEra is that a claim which turns out to be won in an era that its router
	// has not seen is given up.
	rejectUnknownEra bool
}

// next lists what may happen in a state. fault tells what must not have.
func (s modelState) next(g guards) (out []modelState, fault string) {
	add := func(f func(n *modelState)) {
		n := s
		f(&n)
		out = append(out, n)
	}
	add((*modelState).step)
	add(func(n *modelState) {
		n.store.backup.taken = true
		n.store.backup.count, n.store.backup.holder = n.store.at.count, n.store.key.holder
	})
	if s.store.backup.taken && s.store.at.era < maxRestores {
		add((*modelState).restore)
	}
	for i := range s.routers {
		add(func(n *modelState) { n.renew(i) })
		add(func(n *modelState) { n.observe(i, g) })
		if r := s.routers[i]; !r.leads() && r.observedHolder == noHolder && r.campaignDelay == 0 && s.store.key.holder == noHolder && s.claims < maxClaims {
			n := s
			if !n.claim(i, g) {
				fault = "a token that is not higher than all before"
			}
			out = append(out, n)
		}
	}
	leading := 0
	for i := range s.routers {
		if s.routers[i].leads() {
			leading++
		}
	}
	if leading > 1 {
		fault = "two leaders"
	}
	return out, fault
}

// step lets time pass.
func (s *modelState) step() {
	if s.store.key.holder != noHolder {
		if s.store.key.age++; s.store.key.age >= leaseSteps {
			s.store.key = leaderKey{holder: noHolder}
			s.store.at.count++
		}
	}
	for i := range s.routers {
		r := &s.routers[i]
		r.campaignDelay = max(r.campaignDelay-1, 0)
		if r.leads() {
			r.age++
		} else {
			r.token, r.age = revision{}, 0
		}
	}
}

// restore brings the store back from its copy; leases of the copy begin anew.
func (s *modelState) restore() {
	s.store.at = revision{era: s.store.at.era + 1, count: s.store.backup.count}
	s.store.key = leaderKey{holder: s.store.backup.holder}
}

// renew is a leader's renewal, which the store answers by what it holds now.
func (s *modelState) renew(i int) {
	r := &s.routers[i]
	switch {
	case !r.leads():
	case s.store.key.holder == int8(i):
		s.store.key.age, r.age = 0, 0
	default:
		r.token = revision{}
	}
}

// observe brings a router's picture up to date.
func (s *modelState) observe(i int, g guards) {
	r := &s.routers[i]
	if r.era < s.store.at.era {
		if !r.leads() && g.waitForOldLease {
			r.campaignDelay = leaseSteps
		}
		r.token = revision{}
		r.era = s.store.at.era
	}
	r.observedHolder = s.store.key.holder
	if r.observedHolder != int8(i) {
		r.token = revision{}
	}
}

// claim claims the key, which is absent. It tells whether the token is higher than all before.
func (s *modelState) claim(i int, g guards) bool {
	r := &s.routers[i]
	s.claims++
	s.store.at.count++
	if g.rejectUnknownEra && r.era < s.store.at.era {
		return true // it gives the lease back, and the key with it
	}
	s.store.key = leaderKey{holder: int8(i)}
	r.token, r.age, r.observedHolder = s.store.at, 0, int8(i)
	higher := s.store.at.after(s.highest)
	s.highest = s.store.at
	return higher
}

// search walks all states; it gives how many there are and the first fault.
func search(g guards) (states int, fault string) {
	var begin modelState
	begin.store.key.holder = noHolder
	begin.store.backup.holder = noHolder
	for i := range begin.routers {
		begin.routers[i].observedHolder = noHolder
	}
	seen := map[modelState]bool{begin: true}
	todo := []modelState{begin}
	for len(todo) > 0 {
		s := todo[len(todo)-1]
		todo = todo[:len(todo)-1]
		following, wrong := s.next(g)
		if wrong != "" {
			return len(seen), wrong
		}
		for _, n := range following {
			if !seen[n] {
				seen[n] = true
				todo = append(todo, n)
			}
		}
	}
	return len(seen), ""
}

// In no order of restores, renewals, claims and late news do two routers lead, or is a token
// given out that is not higher than all before. Without either guard it happens.
func TestNoOrderOfEventsMakesTwoLeaders(t *testing.T) {
	states, fault := search(guards{waitForOldLease: true, rejectUnknownEra: true})
	assert.Equal(t, fault, "")
	t.Logf("%d states", states)
	assert.Assert(t, states > 10_000, "only %d states", states)
	for _, without := range []guards{{rejectUnknownEra: true}, {waitForOldLease: true}} {
		_, fault := search(without)
		assert.Equal(t, fault, "two leaders", "%+v", without)
	}
}
