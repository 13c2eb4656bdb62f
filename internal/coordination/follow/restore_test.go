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

// restored is how soon after the store's return every picture is the store's.
const restored = 2 * time.Second

// renew stands for the leader, whose renewals each second show the era to its follower.
func (f *fleet) renew(n *node) func() {
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		for pause.For(ctx, time.Second) {
			asking, cancel := context.WithTimeout(ctx, 900*time.Millisecond)
			it, err := f.store.Get(asking, "servers/0")
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

// restore brings the store back from a copy after a moment away.
func (f *fleet) restore(c standin.Copy, away time.Duration) {
	f.store.SetFaults(standin.StoreFaults{Silent: true})
	time.Sleep(away)
	f.store.Restore(c)
	f.store.SetFaults(standin.StoreFaults{})
}

// The store is away for a moment and comes back as it was some seconds ago: what was
// written since is gone, what was removed since is back, and its revisions are given out
// again, up to and beyond the one that routers know. Whoever went on from there would
// miss changes and never be told. All pictures are the store's within two seconds.
func TestStoreComesBackFromAnOlderCopy(t *testing.T) {
	for _, size := range []struct{ domains, each int }{{1, 3}, {3, 10}, {5, 60}} {
		for _, again := range []int{0, 3, 40} {
			if size.each == 60 && again != 3 {
				continue // a model of three hundred takes a while
			}
			t.Run(fmt.Sprintf("%d routers, %d changes after", size.domains*size.each, again), func(t *testing.T) {
				inFleet(t, size.domains, size.each, func(t *testing.T, f *fleet) {
					for i := range 8 {
						f.store.Put(fmt.Sprint("servers/", i), []byte("before"))
					}
					defer f.renew(f.nodes[0])()
					c := f.store.Copy()
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
					time.Sleep(restored)
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

// Entries that the copy lacks may be written again within two seconds of the return, as
// their servers live. They are believed in that long, at routers that were told by others
// too: no request would have an engine else.
func TestEntriesAreKeptOverARestore(t *testing.T) {
	inFleet(t, 2, 5, func(t *testing.T, f *fleet) {
		f.store.Put("servers/0", []byte("1"))
		defer f.renew(f.nodes[0])()
		c := f.store.Copy()
		f.store.Put("servers/x", []byte("1"))
		time.Sleep(time.Second)
		f.restore(c, 300*time.Millisecond)
		time.Sleep(restored)
		for _, n := range f.nodes {
			_, p := n.running()
			g, gone := p.graceOf("servers/x")
			assert.Assert(t, gone, n.Address)
			assert.Assert(t, g > comeBack/2 && g <= comeBack, "%s: %v", n.Address, g)
		}
	})
}

// Restores in series among everything else that may happen, and changes right after them:
// once it is over, every router's picture is the store's.
func TestPicturesAgreeAfterRestores(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		domains, each := rapid.IntRange(1, 3).Draw(rt, "domains"), rapid.IntRange(1, 4).Draw(rt, "each")
		var steps []func(f *fleet)
		var copied *standin.Copy
		for range rapid.IntRange(5, 40).Draw(rt, "steps") {
			other := drawStep(rt, domains*each)
			away := time.Duration(rapid.IntRange(0, 600).Draw(rt, "away")) * time.Millisecond
			switch rapid.IntRange(0, 5).Draw(rt, "restore") {
			case 0:
				other = func(f *fleet) { c := f.store.Copy(); copied = &c }
			case 1:
				other = func(f *fleet) {
					if copied != nil {
						f.restore(*copied, away)
					}
				}
			}
			steps = append(steps, other)
		}
		synctest.Test(t, func(*testing.T) {
			copied = nil
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
