package leader

import (
	"context"
	"encoding/json"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/skylarkwood/skylarkwood/internal/model"
	"github.com/skylarkwood/skylarkwood/internal/platform"
	"github.com/skylarkwood/skylarkwood/platform/standin"
)

// leaveHook calls onLeave before each revocation of a lease and each deletion.
type leaveHook struct {
	*standin.Store
	onLeave func()
}

func (w *leaveHook) Revoke(ctx context.Context, id platform.LeaseID) error {
	w.onLeave()
	return w.Store.Revoke(ctx, id)
}

func (w *leaveHook) Commit(ctx context.Context, txn platform.Txn) (model.Revision, error) {
	if len(txn.Delete) > 0 {
		w.onLeave()
	}
	return w.Store.Commit(ctx, txn)
}

// A stopping leader must not lead any more when its lease is revoked. Otherwise it and the next
// leader both send orders to engines.
func TestStoppingLeaderResignsBeforeRevokingItsLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var a *testElector
		var mu sync.Mutex
		tokens := []model.Revision{}
		store := &leaveHook{Store: standin.NewStore(), onLeave: func() {
			mu.Lock()
			defer mu.Unlock()
			tokens = append(tokens, a.e.FencingToken())
		}}
		a, ctx := run(store, "a")
		a.done.Go(func() { a.watch(ctx, store.Store) })
		time.Sleep(2 * time.Second)
		assert.Assert(t, a.e.FencingToken() != 0)
		a.shutDown()
		mu.Lock()
		defer mu.Unlock()
		assert.DeepEqual(t, tokens, []model.Revision{0, 0})
		assert.Equal(t, a.e.FencingToken(), model.Revision(0))
		assert.Equal(t, len(store.Keys(MemberPrefix)), 0)
	})
}

// A router stops while the outcome of its campaign is unknown, and observes the success afterwards.
// It must not lead then, because it no longer renews the lease.
func TestCampaignWonAfterStopIsIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := standin.NewStore()
		lossy := &lossyStore{Store: store, skip: 1, drop: 1}
		a, _ := run(lossy, "a")
		time.Sleep(time.Second)
		assert.Equal(t, lossy.droppedCount(), 1)
		a.shutDown()
		value, err := json.Marshal(leaderRecord{Instance: "a", Incarnation: "a-1"})
		assert.NilError(t, err)
		a.e.Observe(value, 3)
		assert.Equal(t, a.e.FencingToken(), model.Revision(0))
		_, err = store.Get(context.Background(), Key)
		assert.ErrorIs(t, err, platform.ErrNotFound, "no router can lead until the lease expires")
	})
}

// The store turns a router away while it stops. Guards against entries of routers that have ended,
// which those that start take for running.
func TestStoppingRouterTriesAgainToRemoveItsEntry(t *testing.T) {
	for name, fault := range map[string]standin.StoreFaults{"refused": {Refuse: true}, "not answered": {Unresponsive: true}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := standin.NewStore()
				a, _ := run(store, "a")
				time.Sleep(2 * time.Second)
				assert.Equal(t, len(store.Keys(MemberPrefix)), 1)
				store.SetFaults(fault)
				time.AfterFunc(700*time.Millisecond, func() { store.SetFaults(standin.StoreFaults{}) })
				a.shutDown()
				assert.Equal(t, len(store.Keys(MemberPrefix)), 0)
			})
		})
	}
}
