package follow

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// endedPlays is the number of plays of each case with routers that have ended. Hundreds of routers
// are played once.
const endedPlays = 4

// endWatchers ends the first routers by rank of each failure domain: they refuse connections or,
// without power, don't answer at all. The others still know them as registered.
func (f *fleet) endWatchers(perDomain int, how string) (ended map[*node]bool) {
	byDomain := map[string][]Router{}
	for _, n := range f.nodes {
		byDomain[n.Domain] = append(byDomain[n.Domain], n.Router)
	}
	ended = map[*node]bool{}
	for domain, routers := range byDomain {
		for _, addr := range rank(routers, domain)[:perDomain] {
			n := f.node(addr)
			ended[n] = true
			if how == "refused" {
				n.kill()
			} else {
				n.set(func() { n.frozen = true })
			}
		}
	}
	return ended
}

// restart ends the routers that are not in ended and starts them again within a time.
func (f *fleet) restart(within time.Duration, ended map[*node]bool) {
	for _, n := range f.nodes {
		if !ended[n] {
			n.kill()
		}
	}
	f.startAll(within, len(f.nodes), ended)
}

// runningWithout returns the routers, other than those in ended, that lack a key's value.
func (f *fleet) runningWithout(key, value string, ended map[*node]bool) []string {
	var out []string
	for _, n := range f.nodes {
		if _, sink := n.running(); !ended[n] && !sink.has(key, value) {
			out = append(out, n.Address)
		}
	}
	return out
}

// Routers end and stay registered, as the store serves them no longer, and the others restart.
// Guards against routers that take one of these for their source and miss changes by the time
// that they wait for it.
func TestChangesReachRoutersBesideEndedWatchers(t *testing.T) {
	for _, how := range []string{"refused", "silent"} {
		for _, others := range []string{"restart", "run on"} {
			for _, perDomain := range []int{1, 2} {
				for _, size := range endedSizes {
					if how == "refused" && size[0]*size[1] > smallFleet {
						continue // takes much time, and a refusal is noticed at once
					}
					t.Run(fmt.Sprintf("%s %s %d of %d in %d domains", how, others, perDomain, size[0]*size[1], size[0]), func(t *testing.T) {
						t.Parallel()
						plays := endedPlays
						if size[0]*size[1] > smallFleet {
							plays = 1
						}
						for seed := range plays {
							inFleet(t, size[0], size[1], func(t *testing.T, f *fleet) {
								f.store.Put("first", []byte("1"))
								time.Sleep(time.Second)
								t.Log("seed", seed)
								playEndedWatchers(t, f, rand.New(rand.NewPCG(uint64(seed), 0)), how, others == "restart", perDomain)
							})
						}
					})
				}
			}
		}
	}
}

func playEndedWatchers(t *testing.T, f *fleet, random *rand.Rand, how string, restart bool, perDomain int) {
	before := func(d time.Duration) { time.Sleep(time.Duration(random.Int64N(int64(d)))) }
	ended := f.endWatchers(perDomain, how)
	if restart {
		time.Sleep(2 * time.Second)
		f.restart(400*time.Millisecond, ended)
	}
	before(1500 * time.Millisecond)
	type change struct {
		value string
		due   time.Time
	}
	var changes []change
	for i := range 3 {
		c := change{value: fmt.Sprint(i), due: time.Now().Add(applyBound)}
		f.store.Put("config"+c.value, []byte(c.value))
		changes = append(changes, c)
		before(time.Second)
	}
	for _, c := range changes {
		time.Sleep(time.Until(c.due))
		late := f.runningWithout("config"+c.value, c.value, ended)
		assert.Check(t, len(late) == 0, "change %s has not reached %d routers: %v", c.value, len(late), late[:min(len(late), 5)])
	}
	if !restart {
		return
	}
	// A router that was taken for ended is a source again once it is heard of.
	for n := range ended {
		n.set(func() { n.frozen = false })
		if fl, _ := n.running(); fl == nil {
			n.start()
		}
	}
	time.Sleep(returnTime)
	watchers := 0
	for n := range f.watchers() {
		watchers++
		assert.Check(t, ended[n] || perDomain < watchersPerDomain, "%s watches the store", n.Address)
	}
	domains := map[string]bool{}
	for _, n := range f.nodes {
		domains[n.Domain] = true
	}
	assert.Check(t, watchers <= len(domains)*watchersPerDomain, "%d routers watch the store", watchers)
	assert.Check(t, !slices.ContainsFunc(f.nodes, func(n *node) bool { return f.differs(n) != "" }))
}
