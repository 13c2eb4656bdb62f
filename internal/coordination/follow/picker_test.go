package follow

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// crowd is a site of routers that all know each other.
type crowd struct {
	routers []Router
	now     time.Duration
}

func newCrowd(domains, each int) *crowd {
	c := &crowd{now: time.Hour}
	for d := range domains {
		for i := range each {
			c.routers = append(c.routers, Router{Address: fmt.Sprintf("r%d.%d", d, i), Domain: fmt.Sprint("d", d)})
		}
	}
	return c
}

func (c *crowd) picker(r Router) *Picker {
	return &Picker{Self: r.Address, Domain: r.Domain, Routers: func() []Router { return c.routers }, Clock: func() time.Duration { return c.now }}
}

// A site of a hundred routers, and the largest: each change of the store is a call of
// two routers a failure domain, who divide the others among themselves. On a small site
// everybody watches, as nobody would be spared a call.
func TestTwoOfADomainWatch(t *testing.T) {
	for _, tc := range []struct{ domains, each, watchers int }{{3, 1, 3}, {3, 2, 6}, {5, 20, 10}, {18, 21, 36}} {
		c := newCrowd(tc.domains, tc.each)
		store := 0
		askers := map[string]int{}
		for _, r := range c.routers {
			p := c.picker(r)
			assert.Equal(t, p.WatcherCount(), tc.watchers)
			s := p.Pick()
			if s.IsStore() {
				store++
				continue
			}
			askers[s.Address]++
			assert.Equal(t, s.Address[:len("r0")], r.Address[:len("r0")], "another domain is asked")
		}
		assert.Equal(t, store, tc.watchers)
		for addr, n := range askers {
			assert.Assert(t, n <= tc.each*3/4, "%d of %d ask %s", n, tc.each, addr)
		}
	}
}

// The watchers of a domain die at one moment. Whoever asked them goes on with those of
// another domain, and not all with the same; only who finds nobody asks the store.
func TestWhoIsAskedWhenWatchersDie(t *testing.T) {
	c := newCrowd(5, 20)
	foreign := map[string]bool{}
	for _, r := range c.routers[:20] {
		p := c.picker(r)
		if p.Pick().IsStore() {
			continue
		}
		for range watchersPerDomain {
			s := p.Pick()
			assert.Equal(t, s.Reason, "watches for this failure domain")
			p.MarkFailed(s)
		}
		s := p.Pick()
		assert.Equal(t, s.Reason, "watches for another failure domain")
		foreign[s.Address] = true
		for range foreignTries {
			p.MarkFailed(p.Pick())
		}
		assert.Equal(t, p.Pick().Reason, "no watcher answers")
		c.now += 2 * avoidTime
		assert.Equal(t, p.Pick().Reason, "watches for this failure domain", "it goes back to its own domain")
		c.now -= 2 * avoidTime
	}
	assert.Assert(t, len(foreign) > 3, "asked: %v", foreign)
}

// Once they are no longer heard of, the next two of the domain take over, and nobody
// else's choice changes.
func TestTheNextTakeOver(t *testing.T) {
	c := newCrowd(5, 20)
	before := map[string]Source{}
	dead := map[string]bool{}
	for _, r := range c.routers {
		before[r.Address] = c.picker(r).Pick()
		if r.Domain == "d0" && before[r.Address].IsStore() {
			dead[r.Address] = true
		}
	}
	all := c.routers
	c.routers = nil
	for _, r := range all {
		if !dead[r.Address] {
			c.routers = append(c.routers, r)
		}
	}
	store := 0
	for _, r := range c.routers {
		s := c.picker(r).Pick()
		if r.Domain != "d0" {
			assert.Equal(t, s, before[r.Address])
		} else if s.IsStore() {
			store++
		}
	}
	assert.Equal(t, store, watchersPerDomain)
}

// The store turns a watcher away and serves the others. It asks a watcher that the store
// serves, and tries the store again after a while.
func TestWatcherThatTheStoreTurnsAway(t *testing.T) {
	c := newCrowd(3, 2)
	p := c.picker(c.routers[0])
	s := p.Pick()
	assert.Assert(t, s.IsStore())
	p.MarkFailed(s)
	assert.Equal(t, p.Pick().Address, c.routers[1].Address)
	c.now += 2 * avoidTime
	assert.Assert(t, p.Pick().IsStore())
}

// A router that nobody else is known to watches for itself.
func TestAloneItWatches(t *testing.T) {
	p := newCrowd(0, 0).picker(Router{Address: "r", Domain: "d"})
	assert.Assert(t, p.Pick().IsStore())
	p.MarkFailed(Source{})
	assert.Assert(t, p.Pick().IsStore())
	assert.Equal(t, p.WatcherCount(), 1)
}
