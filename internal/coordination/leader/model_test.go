package leader

import (
	"testing"

	"gotest.tools/v3/assert"
)

// A small model of leadership over restores, searched exhaustively: what three routers can do
// with two restores, in every order, where any of them may be slow, cut off or behind. Time
// goes in steps; a lease lasts modelTTL of them at the store and not longer in its holder's
// belief.
const (
	modelRouters  = 3
	modelRestores = 2
	modelTTL      = 2
	modelWins     = 3 // claims in all; more show nothing new
	nobody        = -1
)

// stamp is a revision: its era and count.
type stamp struct{ era, count int8 }

func (s stamp) after(o stamp) bool { return s.era > o.era || s.era == o.era && s.count > o.count }

// key is the leadership key in the store.
type key struct {
	holder int8
	age    int8 // steps since its lease was renewed
}

type modelStore struct {
	at    stamp
	key   key
	saved struct { // the copy
		there  bool
		count  int8
		holder int8
	}
}

type modelRouter struct {
	token stamp // zero: it does not lead
	age   int8  // steps since it renewed
	era   int8  // the newest that it knows
	wait  int8  // steps before it may stand
	sees  int8  // the holder in its picture
}

func (r *modelRouter) leads() bool { return r.token != stamp{} && r.age < modelTTL }

type modelState struct {
	store   modelStore
	routers [modelRouters]modelRouter
	highest stamp
	wins    int8
}

// rules are the guards that a search may do without.
type rules struct {
	// waits is that nobody stands in a new era before an old leader's belief has ended.
	waits bool
	// refusesUnknown is that a claim which turns out to be won in an era that its router
	// has not seen is given up.
	refusesUnknown bool
}

// next lists what may happen in a state. fault tells what must not have.
func (s modelState) next(g rules) (out []modelState, fault string) {
	add := func(f func(n *modelState)) {
		n := s
		f(&n)
		out = append(out, n)
	}
	add((*modelState).step)
	add(func(n *modelState) {
		n.store.saved.there = true
		n.store.saved.count, n.store.saved.holder = n.store.at.count, n.store.key.holder
	})
	if s.store.saved.there && s.store.at.era < modelRestores {
		add((*modelState).restore)
	}
	for i := range s.routers {
		add(func(n *modelState) { n.renew(i) })
		add(func(n *modelState) { n.learn(i, g) })
		if r := s.routers[i]; !r.leads() && r.sees == nobody && r.wait == 0 && s.store.key.holder == nobody && s.wins < modelWins {
			n := s
			if !n.win(i, g) {
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
	if s.store.key.holder != nobody {
		if s.store.key.age++; s.store.key.age >= modelTTL {
			s.store.key = key{holder: nobody}
			s.store.at.count++
		}
	}
	for i := range s.routers {
		r := &s.routers[i]
		r.wait = max(r.wait-1, 0)
		if r.leads() {
			r.age++
		} else {
			r.token, r.age = stamp{}, 0
		}
	}
}

// restore brings the store back from its copy; leases of the copy begin anew.
func (s *modelState) restore() {
	s.store.at = stamp{era: s.store.at.era + 1, count: s.store.saved.count}
	s.store.key = key{holder: s.store.saved.holder}
}

// renew is a leader's renewal, which the store answers by what it holds now.
func (s *modelState) renew(i int) {
	r := &s.routers[i]
	switch {
	case !r.leads():
	case s.store.key.holder == int8(i):
		s.store.key.age, r.age = 0, 0
	default:
		r.token = stamp{}
	}
}

// learn brings a router's picture up to date.
func (s *modelState) learn(i int, g rules) {
	r := &s.routers[i]
	if r.era < s.store.at.era {
		if !r.leads() && g.waits {
			r.wait = modelTTL
		}
		r.token = stamp{}
		r.era = s.store.at.era
	}
	r.sees = s.store.key.holder
	if r.sees != int8(i) {
		r.token = stamp{}
	}
}

// win claims the key, which is absent. It tells whether the token is higher than all before.
func (s *modelState) win(i int, g rules) bool {
	r := &s.routers[i]
	s.wins++
	s.store.at.count++
	if g.refusesUnknown && r.era < s.store.at.era {
		return true // it gives the lease back, and the key with it
	}
	s.store.key = key{holder: int8(i)}
	r.token, r.age, r.sees = s.store.at, 0, int8(i)
	higher := s.store.at.after(s.highest)
	s.highest = s.store.at
	return higher
}

// search walks all states; it gives how many there are and the first fault.
func search(g rules) (states int, fault string) {
	var begin modelState
	begin.store.key.holder = nobody
	begin.store.saved.holder = nobody
	for i := range begin.routers {
		begin.routers[i].sees = nobody
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
	states, fault := search(rules{waits: true, refusesUnknown: true})
	assert.Equal(t, fault, "")
	t.Logf("%d states", states)
	assert.Assert(t, states > 10_000, "only %d states", states)
	for _, without := range []rules{{refusesUnknown: true}, {waits: true}} {
		_, fault := search(without)
		assert.Equal(t, fault, "two leaders", "%+v", without)
	}
}
