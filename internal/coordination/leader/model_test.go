package leader

import (
	"testing"

	"gotest.tools/v3/assert"
)

// A model of leader election across restores of the store, searched exhaustively: three routers
// and two restores, with events in every order and any router slow, disconnected or behind. Time
// passes in steps. A lease lasts leaseSteps at the store and at most as long at its holder.
const (
	routerCount = 3
	maxRestores = 2
	leaseSteps  = 2
	maxClaims   = 3 // claims in total; more reach no new faults
	noHolder    = -1
)

type revision struct{ era, count int8 }

func (s revision) after(o revision) bool { return s.era > o.era || s.era == o.era && s.count > o.count }

// leaderKey is the leadership key in the store.
type leaderKey struct {
	holder int8
	age    int8 // steps since its lease was renewed
}

type modelStore struct {
	at     revision
	key    leaderKey
	backup struct {
		taken  bool
		count  int8
		holder int8
	}
}

type modelRouter struct {
	token          revision // zero while the router does not lead
	age            int8     // steps since the last renewal
	era            int8     // newest observed era
	campaignDelay  int8     // steps before it may campaign
	observedHolder int8     // holder as last observed
}

func (r *modelRouter) leads() bool { return r.token != revision{} && r.age < leaseSteps }

type modelState struct {
	store   modelStore
	routers [routerCount]modelRouter
	highest revision
	claims  int8
}

// guards are the protections that a search can leave out.
type guards struct {
	// waitForOldLease delays campaigns in a new era until an old leader's lease has expired.
	waitForOldLease bool
	// rejectUnknownEra abandons a claim that succeeded in an era that its router has not
	// observed.
	rejectUnknownEra bool
}

// next returns the states that can follow. fault describes a violated invariant.
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
				fault = "token is not higher than all earlier ones"
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

// step advances time by one step.
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

// restore restores the store from its backup and restarts the leases in it.
func (s *modelState) restore() {
	s.store.at = revision{era: s.store.at.era + 1, count: s.store.backup.count}
	s.store.key = leaderKey{holder: s.store.backup.holder}
}

// renew renews a leader's lease if the store still holds its key, and ends its leadership otherwise.
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

// observe updates what a router knows of the store.
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

// claim writes the missing key. It reports whether the token is higher than all earlier ones.
func (s *modelState) claim(i int, g guards) bool {
	r := &s.routers[i]
	s.claims++
	s.store.at.count++
	if g.rejectUnknownEra && r.era < s.store.at.era {
		return true // it revokes the lease, which removes the key
	}
	s.store.key = leaderKey{holder: int8(i)}
	r.token, r.age, r.observedHolder = s.store.at, 0, int8(i)
	higher := s.store.at.after(s.highest)
	s.highest = s.store.at
	return higher
}

// search visits all states and returns their number and the first fault.
func search(g guards) (states int, fault string) {
	var begin modelState
	begin.store.key.holder = noHolder
	begin.store.backup.holder = noHolder
	for i := range begin.routers {
		begin.routers[i].observedHolder = noHolder
	}
	seen := map[modelState]bool{begin: true}
	pending := []modelState{begin}
	for len(pending) > 0 {
		s := pending[len(pending)-1]
		pending = pending[:len(pending)-1]
		following, wrong := s.next(g)
		if wrong != "" {
			return len(seen), wrong
		}
		for _, n := range following {
			if !seen[n] {
				seen[n] = true
				pending = append(pending, n)
			}
		}
	}
	return len(seen), ""
}

// No order of restores, renewals, claims and late observations may lead to two leaders or to a
// token that is not higher than all earlier ones. Without either guard the search finds a fault.
func TestNoEventOrderMakesTwoLeaders(t *testing.T) {
	states, fault := search(guards{waitForOldLease: true, rejectUnknownEra: true})
	assert.Equal(t, fault, "")
	t.Logf("%d states", states)
	assert.Assert(t, states > 10_000, "only %d states", states)
	for _, without := range []guards{{rejectUnknownEra: true}, {waitForOldLease: true}} {
		_, fault := search(without)
		assert.Equal(t, fault, "two leaders", "%+v", without)
	}
}
