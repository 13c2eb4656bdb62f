package follow

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/skylarkwood/skylarkwood/platform/standin"
)

// A hundred routers in five domains while an entry changes every 400 ms. Ten watches
// per change reach all routers within the batch delay.
func TestChangesReachAHundredRouters(t *testing.T) {
	inFleet(t, 5, 20, func(t *testing.T, f *fleet) {
		const changes = 50
		before := f.store.Calls()
		for i := range changes {
			value := fmt.Sprint(i)
			f.store.Put("servers/x", []byte(value))
			time.Sleep(maxBatchDelay + 20*time.Millisecond)
			assert.Equal(t, len(f.without("servers/x", value)), 0, "change %d: %v", i, f.without("servers/x", value))
			time.Sleep(80 * time.Millisecond)
		}
		calls := f.store.Calls()
		assert.Assert(t, calls.Watches-before.Watches <= 10*(changes+5), "%d watches", calls.Watches-before.Watches)
		assert.Equal(t, calls.Reads, before.Reads)
	})
}

// The history of the store is compacted while entries change, again and again. Each watcher
// reads the range, and the others must get only what changed: the full contents for all of them
// at once keep the links of the watchers busy for seconds.
func TestCompactionsReachAHundredRoutersAsDifferences(t *testing.T) {
	inFleet(t, 5, 20, func(t *testing.T, f *fleet) {
		for i := range 300 {
			f.store.Put(fmt.Sprint("servers/", i), []byte("ready"))
		}
		time.Sleep(2 * time.Second)
		full := func() (n int) {
			for _, node := range f.nodes {
				node.set(func() { n += node.fullUpdates })
			}
			return n
		}
		before, calls := full(), f.store.Calls()
		const compactions = 5
		for i := range compactions {
			f.store.Put("servers/0", []byte(fmt.Sprint("draining", i)))
			time.Sleep(10 * time.Millisecond)
			// The watchers wait for further changes now.
			f.store.Put("servers/0", []byte(fmt.Sprint("ready", i)))
			f.store.Remove(fmt.Sprint("servers/", i+1))
			f.store.Compact()
			time.Sleep(time.Second)
			for _, n := range f.nodes {
				assert.Equal(t, f.differs(n), "", "compaction %d", i)
			}
		}
		assert.Equal(t, full()-before, 0)
		assert.Equal(t, f.store.Calls().Reads-calls.Reads, compactions*5*watchersPerDomain, "only watchers read the range")
	})
}

// Entries change all the time, so that at any moment some watcher is ahead of the others. Routers
// must stay with their watcher as long as it keeps up, or they all turn to other domains and to
// the store.
func TestContinuousChangesMoveNoRouterFromItsWatcher(t *testing.T) {
	for _, idle := range []bool{false, true} {
		inFleet(t, 5, 8, func(t *testing.T, f *fleet) {
			for _, n := range f.nodes {
				n.set(func() { n.idle = idle; n.cancelledPolls = 0 })
			}
			before := f.store.Calls().Watches
			const duration, interval = 8 * time.Second, 50 * time.Millisecond
			for i := range int(duration / interval) {
				f.store.Put(fmt.Sprint("servers/", i%100), []byte(fmt.Sprint(i)))
				time.Sleep(interval)
			}
			watches, cancelled := f.store.Calls().Watches-before, 0
			for _, n := range f.nodes {
				n.set(func() { cancelled += n.cancelledPolls })
			}
			assert.Equal(t, cancelled, 0, "idle: %t", idle)
			delay := maxBatchDelay - 50*time.Millisecond
			if idle {
				delay = idleBatchDelay
			}
			watchers := 5 * watchersPerDomain
			assert.Assert(t, watches <= watchers*(int(duration/delay)+5), "%d watches by %d watchers, idle: %t", watches, watchers, idle)
		})
	}
}

// Guards against calls to an idle store beyond the watchers' timeouts.
func TestIdleStoreIsPolledOnlyByWatchers(t *testing.T) {
	inFleet(t, 5, 20, func(t *testing.T, f *fleet) {
		before := f.store.Calls().Watches
		time.Sleep(30 * time.Second)
		calls := f.store.Calls().Watches - before
		assert.Assert(t, calls <= 10*30*2/3+30, "%d watches", calls)
	})
}

// Both watchers of a domain freeze as an engine begins to drain. All other routers must
// know of it well before the engine exits, without all of the domain calling the store.
func TestChangesReachRoutersWhenWatchersOfADomainFreeze(t *testing.T) {
	inFleet(t, 5, 20, func(t *testing.T, f *fleet) {
		var frozen []string
		for _, n := range f.nodes {
			fl, _ := n.running()
			if n.Domain == "d0" && fl.Watching() {
				n.set(func() { n.frozen = true })
				frozen = append(frozen, n.Address)
			}
		}
		assert.Equal(t, len(frozen), watchersPerDomain)
		before := f.store.Calls()
		f.store.Put("servers/x", []byte("draining"))
		time.Sleep(2 * time.Second)
		assert.DeepEqual(t, f.without("servers/x", "draining"), frozen)
		assert.Assert(t, f.store.Calls().Watches-before.Watches < 60, "%d watches", f.store.Calls().Watches-before.Watches)
		time.Sleep(3 * time.Second)
		watching := 0
		for _, n := range f.nodes {
			fl, _ := n.running()
			if n.Domain == "d0" && !n.isFrozen() && fl.Watching() {
				watching++
			}
		}
		assert.Equal(t, watching, watchersPerDomain, "others took over")
	})
}

// The store rejects the calls of some routers, watchers among them. These routers must
// still learn of changes, or they would send requests to engines that exited.
func TestChangesReachRoutersThatTheStoreRefuses(t *testing.T) {
	inFleet(t, 3, 7, func(t *testing.T, f *fleet) {
		for i, n := range f.nodes {
			fl, _ := n.running()
			n.set(func() { n.refused = i%3 == 0 || n.Domain == "d0" && fl.Watching() })
		}
		time.Sleep(2 * time.Second)
		for i := range 10 {
			value := fmt.Sprint(i)
			f.store.Put("servers/x", []byte(value))
			time.Sleep(2 * time.Second)
			assert.Equal(t, len(f.without("servers/x", value)), 0, "change %d: %v", i, f.without("servers/x", value))
		}
	})
}

// During an outage for all, only watchers stay with the store; the others call it at growing intervals.
func TestOnlyWatchersRetryDuringAnOutage(t *testing.T) {
	inFleet(t, 5, 20, func(t *testing.T, f *fleet) {
		f.store.SetFaults(standin.StoreFaults{Refuse: true})
		time.Sleep(10 * time.Second)
		watching := 0
		for _, n := range f.nodes {
			fl, _ := n.running()
			if fl.Watching() {
				watching++
			}
		}
		assert.Equal(t, watching, 10)
		f.store.Put("servers/x", []byte("back"))
		f.store.SetFaults(standin.StoreFaults{})
		time.Sleep(maxRetryDelay + maxBatchDelay + 100*time.Millisecond)
		assert.Equal(t, len(f.without("servers/x", "back")), 0, "%v", f.without("servers/x", "back"))
	})
}

// A router that polls a watcher must give a removed entry the same grace after an
// outage.
func TestRemovalGraceReachesPolledRouters(t *testing.T) {
	inFleet(t, 2, 5, func(t *testing.T, f *fleet) {
		f.store.Put("servers/x", []byte("1"))
		time.Sleep(time.Second)
		f.store.SetFaults(standin.StoreFaults{Unresponsive: true})
		time.Sleep(4 * time.Second)
		f.store.Remove("servers/x")
		f.store.SetFaults(standin.StoreFaults{})
		time.Sleep(3 * time.Second)
		for _, n := range f.nodes {
			_, sink := n.running()
			g, removed := sink.graceOf("servers/x")
			assert.Assert(t, removed, n.Address)
			assert.Assert(t, g > 0 && g <= removalGrace, "%s: %v", n.Address, g)
		}
	})
}

// Values too large for a link are read from the store, with a Peek first and a Get if
// that copy is old.
func TestLargeValuesAreReadFromTheStore(t *testing.T) {
	for _, stale := range []bool{false, true} {
		inFleet(t, 3, 7, func(t *testing.T, f *fleet) {
			f.store.SetFaults(standin.StoreFaults{StalePeeks: stale})
			before := f.store.Calls()
			large := string(make([]byte, 64<<10))
			f.store.Put("op/config", []byte(large))
			time.Sleep(time.Second)
			assert.Equal(t, len(f.without("op/config", large)), 0, "%v", f.without("op/config", large))
			calls := f.store.Calls()
			assert.Equal(t, calls.Peeks-before.Peeks, 21-6)
			assert.Equal(t, calls.Reads-before.Reads, map[bool]int{false: 0, true: 21 - 6}[stale])
		})
	}
}

// While a router cannot read a large value, it applies other changes but does not
// report its contents as complete.
func TestUpdatesWithAnUnreadValueDoNotReportSynced(t *testing.T) {
	inFleet(t, 1, 5, func(t *testing.T, f *fleet) {
		i := slices.IndexFunc(f.nodes, func(n *node) bool { fl, _ := n.running(); return !fl.Watching() })
		n := f.nodes[i]
		_, sink := n.running()
		n.set(func() { n.readsFail = true })
		f.store.Put("op/config", make([]byte, 64<<10))
		time.Sleep(time.Second)
		sink.mu.Lock()
		before := sink.synced
		sink.mu.Unlock()
		f.store.Put("servers/x", []byte("1"))
		time.Sleep(3 * time.Second)
		assert.Assert(t, sink.has("servers/x", "1"))
		sink.mu.Lock()
		defer sink.mu.Unlock()
		assert.Equal(t, sink.synced, before)
	})
}

// After random faults of routers, links and the store, every router must have the contents of
// the store within seconds.
func TestRoutersConvergeAfterRandomFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		domains, each := rapid.IntRange(1, 3).Draw(rt, "domains"), rapid.IntRange(1, 4).Draw(rt, "each")
		var steps []func(f *fleet)
		for range rapid.IntRange(5, 40).Draw(rt, "steps") {
			steps = append(steps, drawStep(rt, domains*each))
		}
		synctest.Test(t, func(*testing.T) {
			f := newFleet(domains, each)
			defer f.stop()
			for _, step := range steps {
				step(f)
			}
			f.heal()
			f.store.Put("last", []byte("1"))
			time.Sleep(8 * time.Second)
			for _, n := range f.nodes {
				if d := f.differs(n); d != "" {
					t.Error(d)
					rt.Error(d)
				}
			}
		})
	})
}

// heal ends all faults.
func (f *fleet) heal() {
	f.store.SetFaults(standin.StoreFaults{})
	f.mu.Lock()
	clear(f.cut)
	f.mu.Unlock()
	for _, n := range f.nodes {
		n.set(func() { n.refused, n.frozen = false, false })
		if fl, _ := n.running(); fl == nil {
			n.start()
		}
	}
}

func drawStep(rt *rapid.T, nodes int) func(f *fleet) {
	key := fmt.Sprint("k", rapid.IntRange(0, 5).Draw(rt, "key"))
	a, b := rapid.IntRange(0, nodes-1).Draw(rt, "a"), rapid.IntRange(0, nodes-1).Draw(rt, "b")
	on := rapid.Bool().Draw(rt, "on")
	pause := time.Duration(rapid.IntRange(0, 1500).Draw(rt, "ms")) * time.Millisecond
	size := rapid.SampledFrom([]int{1, 1, 1, 20 << 10}).Draw(rt, "size")
	what := rapid.IntRange(0, 9).Draw(rt, "what")
	return func(f *fleet) {
		n := f.nodes[a]
		switch what {
		case 0, 1, 2:
			f.store.Put(key, append([]byte(fmt.Sprint(pause)), make([]byte, size)...))
		case 3:
			f.store.Remove(key)
		case 4:
			n.kill()
			time.Sleep(pause / 2)
			n.start()
		case 5:
			f.setCut(n.Address, f.nodes[b].Address, on)
		case 6:
			n.set(func() { n.frozen = on })
		case 7:
			n.set(func() { n.refused = on })
		case 8:
			f.store.Compact()
		case 9:
			f.store.SetFaults(standin.StoreFaults{Refuse: on && a%2 == 0, Unresponsive: on && a%2 == 1, StalePeeks: b%2 == 0})
		}
		time.Sleep(pause)
	}
}
