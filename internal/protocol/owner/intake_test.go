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

// plainWorld returns a world with one entry and one plain service whose calls take a
// second.
func plainWorld(ctx context.Context, t *testing.T) *world.World {
	w, err := world.New(ctx, world.Config{
		Seed:    1,
		Entries: []string{"a"},
		Plains:  []world.PlainSpec{{Domain: "a", CallDuration: time.Second, Slots: 64}},
		Link:    func(string, string) world.Link { return world.Link{Delay: time.Millisecond} },
	})
	assert.NilError(t, err)
	time.Sleep(3 * world.Heartbeat)
	return w
}

func submission(id string) owner.Submission {
	return owner.Submission{Customer: world.Customer, ID: id, Service: world.Notices, Body: []byte("round 4")}
}

// A request that arrives after the drain has completed must be refused. If it were
// accepted, its outcome would be lost when the process exits.
func TestDrainedOwnerRefusesNewRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		w := plainWorld(ctx, t)
		o := w.Entry(0).Owner
		before, err := o.Submit(submission("before"))
		assert.NilError(t, err)
		<-o.Drain()
		assert.Equal(t, before.Outcome().State, model.Ran)
		_, err = o.Submit(submission("after"))
		assert.Check(t, fault.Is(err, fault.Leaving), "accepted after the drain: %v", err)
		again, err := o.Submit(submission("before"))
		assert.Check(t, err, "joining an earlier request after the drain")
		assert.Check(t, again == before)
		stop()
		w.Close()
		time.Sleep(time.Minute)
	})
}

// A drain must complete while callers keep sending, and every accepted request must
// have its outcome by then.
func TestDrainUnderTrafficKeepsAcceptedRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		w := plainWorld(ctx, t)
		o := w.Entry(0).Owner
		var accepted sync.Map
		traffic, stopTraffic := context.WithCancel(ctx)
		var callers sync.WaitGroup
		for c := range 8 {
			callers.Go(func() {
				for n := 0; traffic.Err() == nil; n++ {
					if r, err := o.Submit(submission(strconv.Itoa(c) + "-" + strconv.Itoa(n))); err == nil {
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
			t.Error("drain did not complete while requests arrived")
		}
		accepted.Range(func(r, _ any) bool {
			return assert.Check(t, r.(interface{ Outcome() model.Outcome }).Outcome().Final())
		})
		stopTraffic()
		callers.Wait()
		stop()
		w.Close()
		time.Sleep(time.Minute)
	})
}
