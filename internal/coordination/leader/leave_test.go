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

// revokeHook tells of each lease that is given back, before it is.
type revokeHook struct {
	*standin.Store
	onRevoke func()
}

func (w *revokeHook) Revoke(ctx context.Context, id platform.LeaseID) error {
	w.onRevoke()
	return w.Store.Revoke(ctx, id)
}

// The leader is told to stop and gives its lease back, while its controller goes on
// with the drain. Another router wins at once. Where the old one still takes itself
// for the leader, until its lease would have run out, both order engines: twice as
// many load at a time as do without slowing each other down.
func TestALeaderThatStopsNoLongerLeadsWhenItsLeaseIsFree(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var a *testElector
		var mu sync.Mutex
		tokens := []model.Revision{}
		store := &revokeHook{Store: standin.NewStore(), onRevoke: func() {
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
	})
}

// A router is told to stop while it claims the leadership, and the claim's answer is
// lost. The watch shows only after its end that the claim had won. It must not take
// the leadership up then: it will not renew it, and orders nothing any more.
func TestAClaimFoundWonAfterTheStopIsNotTakenUp(t *testing.T) {
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
		assert.ErrorIs(t, err, platform.ErrNotFound, "nobody can lead until the claim's lease has run out")
	})
}
