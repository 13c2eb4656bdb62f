package leader

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/skylarkwood/skylarkwood/internal/model"
	"github.com/skylarkwood/skylarkwood/platform/standin"
)

// Another router has won, and the watch here has not told yet, as changes gather. This
// one looks at a copy of the store first, and does not stand: each stand that cannot win
// is two calls, of every router that watches.
func TestCandidateLooksBeforeItStands(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := standin.NewStore()
		store.Put(Key, []byte(`{"instance":"b","incarnation":"b-1"}`))
		before := store.Calls()
		c, _ := run(store, "a") // it does not watch
		time.Sleep(5 * time.Second)
		assert.Equal(t, c.e.FencingToken(), model.Revision(0))
		// One lease and one write for its own entry.
		assert.Equal(t, store.Calls().Writes-before.Writes, 2)
		c.shutDown()
	})
}

// The copy of the store is old: it still has the leader of before, whose end the watch has
// told. It does not keep this router from standing, or nobody would lead until it is new.
func TestOldCopyKeepsNobodyFromStanding(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := standin.NewStore()
		revision := store.Put(Key, []byte(`{"instance":"b","incarnation":"b-1"}`))
		e := &Elector{Store: store}
		assert.Assert(t, e.leaderInCopy(t.Context()))
		e.Observe(nil, revision+1)
		assert.Assert(t, !e.leaderInCopy(t.Context()))
	})
}

// A leader ends where ten routers watch. They spread, so that few of them stand.
func TestFewStandForLeadership(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := standin.NewStore()
		var all []*testElector
		for i := range 10 {
			all = append(all, start(store, fmt.Sprint("r", i)))
		}
		time.Sleep(5 * time.Second)
		assert.Equal(t, leaders(all...), 1)
		before := store.Calls()
		for _, c := range all {
			if c.e.FencingToken() != 0 {
				c.shutDown()
			}
		}
		time.Sleep(3 * time.Second)
		assert.Equal(t, leaders(all...), 1)
		// A lease and a claim of the winner, and of one more who crossed it.
		assert.Assert(t, store.Calls().Writes-before.Writes <= 4+2, "%d writes", store.Calls().Writes-before.Writes)
		for _, c := range all {
			c.shutDown()
		}
	})
}
