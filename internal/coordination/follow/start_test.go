package follow

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/skylarkwood/skylarkwood/internal/platform"
)

const wideLinkMbps = 1000

// startAll starts the routers within a time, without those in down. The store says that
// registered routers are there.
func (f *fleet) startAll(within time.Duration, registered int, down map[*node]bool) {
	var starting sync.WaitGroup
	for _, n := range f.nodes {
		n.set(func() { n.knowsRouters, n.registered, n.reads = true, registered, 0 })
		if down[n] {
			continue
		}
		starting.Go(func() {
			time.Sleep(rand.N(within))
			n.start()
		})
	}
	starting.Wait()
}

// widen gives two routers of each failure domain wide links.
func (f *fleet) widen(each int) {
	for i, n := range f.nodes {
		n.LinkMbps = 20
		if i%each < watchersPerDomain {
			n.LinkMbps = wideLinkMbps
		}
	}
}

func (f *fleet) reads() int {
	total := 0
	for _, n := range f.nodes {
		total += n.reads
	}
	return total
}

// assertContents fails the test unless all running routers have the contents of the store.
func (f *fleet) assertContents(t *testing.T) {
	for _, n := range f.nodes {
		if fl, _ := n.running(); fl != nil {
			assert.Equal(t, f.differs(n), "")
		}
	}
}

func (f *fleet) put(t *testing.T, key string) {
	_, err := f.store.Commit(context.Background(), platform.Txn{Put: []platform.Item{{Key: key, Value: []byte("v")}}})
	assert.NilError(t, err)
}

// All routers of a fleet restart together. Each of them read everything from the store, which
// took its link seconds; only the watchers should.
func TestStartOfAllReadsTheStoreAtFewRouters(t *testing.T) {
	for _, each := range []int{10, 24} {
		const domains = 5
		inFleet(t, domains, each, func(t *testing.T, f *fleet) {
			f.stop()
			f.widen(each)
			f.put(t, "k")
			f.startAll(400*time.Millisecond, minRoutersToAsk, nil)
			time.Sleep(startPatience)
			f.assertContents(t)
			assert.Assert(t, f.reads() <= 2*domains*watchersPerDomain, "%d reads by %d routers", f.reads(), len(f.nodes))
		})
	}
}

// The watchers take longer to read the store than other routers wait for an answer. All of
// these then read it as well, which took even longer.
func TestStartWaitsForWatchersThatReadTheStore(t *testing.T) {
	const domains, each = 3, 10
	const readTime = startPatience + startPatience/2
	inFleet(t, domains, each, func(t *testing.T, f *fleet) {
		f.stop()
		f.widen(each)
		f.put(t, "k")
		for _, n := range f.nodes {
			n.readTime = readTime
		}
		f.startAll(400*time.Millisecond, minRoutersToAsk, nil)
		time.Sleep(readTime + startPatience)
		f.assertContents(t)
		assert.Assert(t, f.reads() <= 2*domains*watchersPerDomain, "%d reads by %d routers", f.reads(), len(f.nodes))
	})
}

// A few dozen routers restart together. To ask watchers that start as well took longer than to
// read the store.
func TestFewRoutersReadTheStoreAtOnce(t *testing.T) {
	const domains, each = 3, 9
	inFleet(t, domains, each, func(t *testing.T, f *fleet) {
		f.stop()
		f.widen(each)
		f.put(t, "k")
		f.startAll(time.Millisecond, domains*each, nil)
		time.Sleep(linkDelay)
		f.assertContents(t)
		assert.Equal(t, f.reads(), domains*each)
	})
}

// Watchers that are gone or do not answer delay a start by a bounded time.
func TestStartDoesNotDependOnWatchers(t *testing.T) {
	const domains, each = 3, 10
	for _, frozen := range []bool{false, true} {
		inFleet(t, domains, each, func(t *testing.T, f *fleet) {
			f.stop()
			f.widen(each)
			f.put(t, "k")
			down := map[*node]bool{}
			for _, n := range f.nodes {
				if n.LinkMbps == wideLinkMbps {
					down[n] = !frozen
					n.frozen = frozen
				}
			}
			f.startAll(5*time.Millisecond, minRoutersToAsk, down)
			time.Sleep(startPatience + maxPollMargin/2)
			for _, n := range f.nodes {
				if fl, _ := n.running(); fl != nil && !n.frozen {
					assert.Assert(t, fl.Revision() > 0, "%s has no contents", n.Address)
				}
			}
		})
	}
}

// Watchers with narrow links would take seconds to send the full contents to hundreds.
func TestNarrowWatchersSendNoFirstContents(t *testing.T) {
	var routers []Router
	for i := range 94 {
		routers = append(routers, Router{Address: fmt.Sprint("r", i), Domain: "d", LinkMbps: 20})
	}
	p := &Picker{Self: "self", Domain: "d", LinkMbps: 10, Routers: func() []Router { return routers }, Clock: func() time.Duration { return 0 }}
	assert.Assert(t, !p.Pick().IsStore())
	assert.Assert(t, p.PickForStart().IsStore())
	routers[7].LinkMbps, routers[8].LinkMbps = 1000, 1000
	assert.Assert(t, !p.PickForStart().IsStore())
	routers = routers[:20]
	routers[7].LinkMbps, routers[8].LinkMbps = 20, 20
	assert.Assert(t, !p.PickForStart().IsStore(), "few ask them")
}

// All routers restart while the store answers slowly, and each registers, which the store
// acknowledges. Routers without contents must not poll the watchers, which have none either,
// again and again for that revision.
func TestAcknowledgedRegistrationsCauseNoPollsOfStartingWatchers(t *testing.T) {
	const domains, each = 3, 12
	inFleet(t, domains, each, func(t *testing.T, f *fleet) {
		f.stop()
		f.widen(each)
		for _, n := range f.nodes {
			n.polls, n.readTime = 0, 1900*time.Millisecond
		}
		f.startAll(100*time.Millisecond, 120, nil)
		time.Sleep(100 * time.Millisecond)
		for _, n := range f.nodes {
			f.commit(n, "routers/"+n.Address, "1")
		}
		time.Sleep(10 * time.Second)
		polls := 0
		for _, n := range f.nodes {
			n.set(func() { polls += n.polls })
		}
		assert.Assert(t, polls <= len(f.nodes)*40, "%d polls by %d routers in 10 s", polls, len(f.nodes))
		f.assertContents(t)
	})
}

// The watchers take long to read the store at a start of all. Guards against routers without
// contents that count their sources as outdated and poll them more often than they send
// heartbeats.
func TestStartingWatchersAreNotPolledContinuously(t *testing.T) {
	const domains, each = 3, 12
	inFleet(t, domains, each, func(t *testing.T, f *fleet) {
		f.stop()
		f.widen(each)
		for _, n := range f.nodes {
			n.polls, n.readTime = 0, 1900*time.Millisecond
		}
		f.startAll(100*time.Millisecond, 120, nil)
		const wait = 2500 * time.Millisecond
		time.Sleep(wait)
		for _, n := range f.nodes {
			n.set(func() {
				assert.Check(t, n.polls <= int(wait/testHeartbeatInterval), "%s polled %d times", n.Address, n.polls)
			})
		}
	})
}
