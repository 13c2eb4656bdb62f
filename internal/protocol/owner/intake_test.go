package owner_test

import (
	"context"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/skylarkwood/skylarkwood/internal/fault"
	"github.com/skylarkwood/skylarkwood/internal/model"
	"github.com/skylarkwood/skylarkwood/internal/protocol/owner"
	"github.com/skylarkwood/skylarkwood/internal/standin/world"
)

// plainWorld is one entry before one plain service whose calls take a second.
func plainWorld(ctx context.Context, t *testing.T) *world.World {
	w, err := world.New(ctx, world.Config{
		Seed:    1,
		Entries: []string{"a"},
		Plains:  []world.PlainSpec{{Domain: "a", CallDuration: time.Second, Places: 64}},
		Link:    func(string, string) world.Link { return world.Link{Delay: time.Millisecond} },
	})
	assert.NilError(t, err)
	time.Sleep(3 * world.Heartbeat)
	return w
}

func notice(id string) owner.Ask {
	return owner.Ask{Customer: world.Customer, ID: id, Service: world.Notices, Body: []byte("round 4")}
}

// A caller's request reaches an entry in a planned stop just after the entry has
// found that nothing is in progress. Accepted then, it is handed over while the
// process ends: the caller's stream breaks off, nobody has the outcome, and it
// may have run. It must be refused as not accepted, so that it goes elsewhere.
func TestNothingIsAcceptedAfterTheDrain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		w := plainWorld(ctx, t)
		o := w.Entry(0).Owner
		before, err := o.Submit(notice("before"))
		assert.NilError(t, err)
		<-o.Drain()
		assert.Equal(t, before.Outcome().State, model.Ran)
		_, err = o.Submit(notice("after"))
		assert.Check(t, fault.Is(err, fault.Leaving), "accepted after the drain: %v", err)
		again, err := o.Submit(notice("before"))
		assert.Check(t, err, "a caller that comes back for its answer")
		assert.Check(t, again == before)
		stop()
		w.Close()
		time.Sleep(time.Minute)
	})
}

// Callers go on sending over the connections that they have while an entry
// drains. Whatever it accepted has its outcome when the drain is over, and the
// drain ends though requests keep coming.
func TestDrainEndsAndLosesNothingUnderTraffic(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		w := plainWorld(ctx, t)
		o := w.Entry(0).Owner
		var accepted sync.Map
		traffic, hush := context.WithCancel(ctx)
		var callers sync.WaitGroup
		for c := range 8 {
			callers.Go(func() {
				for n := 0; traffic.Err() == nil; n++ {
					if r, err := o.Submit(notice(strconv.Itoa(c) + "-" + strconv.Itoa(n))); err == nil {
						accepted.Store(r, true)
					}
					time.Sleep(100 * time.Millisecond)
				}
			})
		}
		time.Sleep(2 * time.Second)
		select {
		case <-o.Drain():
		case <-time.After(time.Minute):
			t.Error("the drain does not end while requests come")
		}
		accepted.Range(func(r, _ any) bool {
			return assert.Check(t, r.(interface{ Outcome() model.Outcome }).Outcome().Final())
		})
		hush()
		callers.Wait()
		stop()
		w.Close()
		time.Sleep(time.Minute)
	})
}
