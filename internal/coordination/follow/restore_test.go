package follow

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	pause "github.com/skylarkwood/skylarkwood/internal/wait"
	"github.com/skylarkwood/skylarkwood/platform/standin"
)

// recoveryTimeout is how soon after a restore all routers must have the store's
// contents.
const recoveryTimeout = 2 * time.Second

// simulateLeader makes the calls of a leader, whose renewals show the store's era every
// second. It returns a function that stops it.
func (f *fleet) simulateLeader(n *node) func() {
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		for pause.For(ctx, time.Second) {
			callCtx, cancel := context.WithTimeout(ctx, 900*time.Millisecond)
			it, err := f.store.Get(callCtx, "servers/0")
			cancel()
			switch fl, _ := n.running(); {
			case fl == nil:
			case err != nil:
				fl.CallFailed()
			default:
				fl.ObserveEra(it.Revision.Era())
			}
		}
	}()
	return func() {
		stop()
		<-done
	}
}

// restore restores the store from a copy after an outage.
func (f *fleet) restore(c standin.Snapshot, outage time.Duration) {
	f.store.SetFaults(standin.StoreFaults{Unresponsive: true})
	time.Sleep(outage)
	f.store.Restore(c)
	f.store.SetFaults(standin.StoreFaults{})
}

// A restored store uses revisions again that routers know. A router that continued from its
// revision would miss changes.
func TestRoutersConvergeAfterRestoreFromOlderCopy(t *testing.T) {
	for _, size := range []struct{ domains, each int }{{1, 3}, {3, 10}, {5, 60}} {
		for _, again := range []int{0, 3, 40} {
			if size.each == 60 && again != 3 {
				continue // large fleets are slow
			}
			t.Run(fmt.Sprintf("%d routers, %d changes after", size.domains*size.each, again), func(t *testing.T) {
				inFleet(t, size.domains, size.each, func(t *testing.T, f *fleet) {
					for i := range 8 {
						f.store.Put(fmt.Sprint("servers/", i), []byte("before"))
					}
					defer f.simulateLeader(f.nodes[0])()
					c := f.store.Snapshot()
					for i := range 8 {
						f.store.Put(fmt.Sprint("servers/new-", i), []byte("since"))
					}
					f.store.Remove("servers/0")
					f.store.Put("servers/1", []byte("since"))
					time.Sleep(time.Second)
					before := f.store.Calls()
					f.restore(c, 400*time.Millisecond)
					for i := range again {
						f.store.Put(fmt.Sprint("servers/again-", i), []byte("again"))
					}
					time.Sleep(recoveryTimeout)
					for _, n := range f.nodes {
						assert.Equal(t, f.differs(n), "")
					}
					calls := f.store.Calls()
					watchers := size.domains * watchersPerDomain
					assert.Assert(t, calls.Reads-before.Reads <= 2*watchers, "%d reads of the whole range", calls.Reads-before.Reads)
					assert.Assert(t, calls.Watches-before.Watches <= 12*watchers, "%d watches", calls.Watches-before.Watches)
				})
			})
		}
	}
}

// Servers write entries that the copy lacks again within two seconds. Until then all
// routers must keep these entries, or no request would have an engine.
func TestEntriesMissingAfterRestoreGetGrace(t *testing.T) {
	inFleet(t, 2, 5, func(t *testing.T, f *fleet) {
		f.store.Put("servers/0", []byte("1"))
		defer f.simulateLeader(f.nodes[0])()
		c := f.store.Snapshot()
		f.store.Put("servers/x", []byte("1"))
		time.Sleep(time.Second)
		f.restore(c, 300*time.Millisecond)
		time.Sleep(recoveryTimeout)
		for _, n := range f.nodes {
			_, sink := n.running()
			g, removed := sink.graceOf("servers/x")
			assert.Assert(t, removed, n.Address)
			assert.Assert(t, g > removalGrace/2 && g <= removalGrace, "%s: %v", n.Address, g)
		}
	})
}

// Random restores and other faults. Once they are over, every router must have the
// store's contents.
func TestRoutersConvergeAfterRandomRestores(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		domains, each := rapid.IntRange(1, 3).Draw(rt, "domains"), rapid.IntRange(1, 4).Draw(rt, "each")
		var steps []func(f *fleet)
		var latestCopy *standin.Snapshot
		for range rapid.IntRange(5, 40).Draw(rt, "steps") {
			step := drawStep(rt, domains*each)
			outage := time.Duration(rapid.IntRange(0, 600).Draw(rt, "away")) * time.Millisecond
			switch rapid.IntRange(0, 5).Draw(rt, "restore") {
			case 0:
				step = func(f *fleet) { c := f.store.Snapshot(); latestCopy = &c }
			case 1:
				step = func(f *fleet) {
					if latestCopy != nil {
						f.restore(*latestCopy, outage)
					}
				}
			}
			steps = append(steps, step)
		}
		synctest.Test(t, func(*testing.T) {
			latestCopy = nil
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
