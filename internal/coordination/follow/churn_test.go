package follow

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var (
	churnSeed  = flag.Uint64("churnseed", 1, "first seed of the plays of overlapping faults")
	churnPlays = flag.Int("churnplays", 4, "plays of overlapping faults for each size of a fleet")
)

const (
	// contactTime is how long a router must have been without a fault of its own before a change, so
	// that the bound on its time in force holds there. A router that has started needs none.
	contactTime = 3 * time.Second
	churnStep   = 50 * time.Millisecond
	churnTime   = 40 * time.Second
)

// churn applies overlapping faults to the routers of a fleet.
type churn struct {
	*fleet
	random  *rand.Rand
	faults  []*churnFault
	calmAt  map[*node]time.Time // the end of the last fault and of the time to recover from it
	ended   map[*node]bool      // for good; they stay registered
	changes []churnChange
}

type churnFault struct {
	n       *node
	kind    string
	until   time.Time
	end     func()
	recover time.Duration
}

type churnChange struct {
	value string
	at    time.Time
}

func (c *churn) between(from, to time.Duration) time.Duration {
	return from + time.Duration(c.random.Int64N(int64(to-from)))
}

func (c *churn) isFaulty(n *node) bool {
	return c.ended[n] || slices.ContainsFunc(c.faults, func(f *churnFault) bool { return f.n == n })
}

// begin applies a random fault to a router.
func (c *churn) begin(n *node) {
	f := &churnFault{n: n}
	f.kind = []string{"killed", "no power", "frozen", "turned away", "cut off", "ended"}[c.random.IntN(6)]
	d := c.between(200*time.Millisecond, 5*time.Second)
	thaw := func() { n.set(func() { n.frozen = false }) }
	switch f.kind {
	case "killed":
		n.kill()
		f.end = n.start
	case "no power":
		n.set(func() { n.frozen = true })
		f.end = func() { n.kill(); thaw(); n.start() }
	case "frozen":
		n.set(func() { n.frozen = true })
		f.end, f.recover = thaw, contactTime
	case "turned away":
		n.turnAway(turnedAwayHow[c.random.IntN(len(turnedAwayHow))])
		f.end, f.recover = func() { n.turnAway("") }, contactTime
	case "cut off":
		for _, other := range c.nodes {
			c.setCut(n.Address, other.Address, true)
			c.setCut(other.Address, n.Address, true)
		}
		f.end, f.recover = func() {
			for _, other := range c.nodes {
				c.setCut(n.Address, other.Address, false)
				c.setCut(other.Address, n.Address, false)
			}
		}, contactTime
	case "ended":
		if len(c.ended) > len(c.nodes)/4 {
			return
		}
		c.ended[n] = true
		if c.random.IntN(2) == 0 {
			n.kill()
		} else {
			n.set(func() { n.frozen = true })
		}
		return
	}
	f.until = time.Now().Add(d)
	c.faults = append(c.faults, f)
}

// endFaults ends the faults whose time is over.
func (c *churn) endFaults() {
	c.faults = slices.DeleteFunc(c.faults, func(f *churnFault) bool {
		if time.Now().Before(f.until) {
			return false
		}
		f.end()
		c.calmAt[f.n] = time.Now().Add(f.recover)
		return true
	})
}

// restartAll kills all routers without a fault and starts them within a moment.
func (c *churn) restartAll() {
	out := map[*node]bool{}
	for _, n := range c.nodes {
		out[n] = c.isFaulty(n)
	}
	c.restart(400*time.Millisecond, out)
	for n, faulty := range out {
		if !faulty {
			c.calmAt[n] = time.Now()
		}
	}
}

// checkChanges checks the changes that must be in force everywhere by now.
func (c *churn) checkChanges(t *testing.T) {
	c.changes = slices.DeleteFunc(c.changes, func(change churnChange) bool {
		if time.Since(change.at) < applyBound {
			return false
		}
		for _, n := range c.nodes {
			if c.isFaulty(n) || c.calmAt[n].After(change.at) {
				continue
			}
			_, sink := n.running()
			assert.Check(t, sink.has("config"+change.value, change.value), "change %s has not reached %s after %s", change.value, n.Address, time.Since(change.at))
		}
		return true
	})
}

func (c *churn) play(t *testing.T) {
	for _, n := range c.nodes {
		n.set(func() { n.knowsRouters, n.registered = true, len(c.nodes) })
	}
	for begun := time.Now(); time.Since(begun) < churnTime; time.Sleep(churnStep) {
		c.endFaults()
		c.checkChanges(t)
		if c.random.IntN(8) == 0 {
			if n := c.nodes[c.random.IntN(len(c.nodes))]; !c.isFaulty(n) {
				c.begin(n)
			}
		}
		if c.random.IntN(200) == 0 {
			c.restartAll()
		}
		if c.random.IntN(10) == 0 {
			value := fmt.Sprint(time.Since(begun).Milliseconds())
			c.store.Put("config"+value, []byte(value))
			c.changes = append(c.changes, churnChange{value, time.Now()})
		}
	}
}

// Routers are killed, lose power, freeze, are turned away by the store, are cut off from the others
// or end for good while they stay registered, and now and then all others restart, in every
// overlap. Guards against changes that reach an undisturbed router too late.
func TestChangesReachUndisturbedRoutersBesideOverlappingFaults(t *testing.T) {
	for _, size := range [][2]int{{1, 6}, {2, 4}, {3, 7}, {3, 14}} {
		for i := range *churnPlays {
			seed := *churnSeed + uint64(i)
			t.Run(fmt.Sprintf("%d in %d domains, seed %d", size[0]*size[1], size[0], seed), func(t *testing.T) {
				t.Parallel()
				inFleet(t, size[0], size[1], func(t *testing.T, f *fleet) {
					c := &churn{fleet: f, random: rand.New(rand.NewPCG(seed, 0)), calmAt: map[*node]time.Time{}, ended: map[*node]bool{}}
					c.play(t)
				})
			})
		}
	}
}
