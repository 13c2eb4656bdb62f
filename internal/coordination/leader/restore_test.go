package leader

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/skylarkwood/skylarkwood/internal/model"
	"github.com/skylarkwood/skylarkwood/internal/platform"
	"github.com/skylarkwood/skylarkwood/platform/standin"
)

// cuttable is a store that one router may be cut off from.
type cuttable struct {
	*standin.Store
	cut atomic.Bool
}

func (c *cuttable) KeepAlive(ctx context.Context, id platform.LeaseID) error {
	if c.cut.Load() {
		<-ctx.Done()
		return platform.ErrUnavailable
	}
	return c.Store.KeepAlive(ctx, id)
}

func (c *cuttable) Commit(ctx context.Context, txn platform.Txn) (model.Revision, error) {
	if c.cut.Load() {
		<-ctx.Done()
		return 0, platform.ErrUnavailable
	}
	return c.Store.Commit(ctx, txn)
}

// startOver starts a candidate that follows the store over restores, as a router does.
func startOver(store *cuttable, name string) *candidate {
	c, ctx := run(store, name)
	c.done.Go(func() {
		after := model.Revision(0)
		for ctx.Err() == nil {
			page, err := store.Watch(ctx, Key, after, 200*time.Millisecond)
			if err == nil && !store.cut.Load() {
				for _, it := range page.Items {
					c.e.Observe(it.Value, it.Revision)
				}
				after = page.Revision
				continue
			}
			time.Sleep(50 * time.Millisecond)
			if errors.Is(err, platform.ErrCompacted) && !store.cut.Load() {
				after = c.reread(ctx, store, after)
			}
		}
	})
	return c
}

func (c *candidate) reread(ctx context.Context, store *cuttable, before model.Revision) model.Revision {
	page, err := store.Range(ctx, Key)
	if err != nil {
		return before
	}
	if page.Revision.Era() > before.Era() {
		c.e.HandleStoreRestore()
	}
	c.e.Observe(nil, page.Revision)
	for _, it := range page.Items {
		c.e.Observe(it.Value, it.Revision)
	}
	return page.Revision
}

// trial is three routers and what is seen of their leadership every few milliseconds.
type trial struct {
	t      *testing.T
	store  *standin.Store
	stores []*cuttable
	all    []*candidate
	// highest is the highest token that gave orders, as engines remember it.
	highest model.Revision
}

func newTrial(t *testing.T) *trial {
	tr := &trial{t: t, store: standin.NewStore()}
	for _, name := range []string{"a", "b", "c"} {
		s := &cuttable{Store: tr.store}
		tr.stores = append(tr.stores, s)
		tr.all = append(tr.all, startOver(s, name))
	}
	return tr
}

// leader is the index of who leads; -1 for nobody.
func (tr *trial) leader() int {
	for i, c := range tr.all {
		if c.e.FencingToken() != 0 {
			return i
		}
	}
	return -1
}

// pass lets time pass; never two lead, and no engine that has seen a token sees a lower
// one from who takes itself for the leader.
func (tr *trial) pass(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		assert.Assert(tr.t, leaders(tr.all...) <= 1)
		if i := tr.leader(); i >= 0 {
			token := tr.all[i].e.FencingToken()
			assert.Assert(tr.t, token >= tr.highest, "token %s after %s", token, tr.highest)
			tr.highest = token
		}
	}
}

// led waits until somebody leads with a token of the present era.
func (tr *trial) led(within time.Duration) {
	for end := time.Now().Add(within); time.Now().Before(end); tr.pass(50 * time.Millisecond) {
		if i := tr.leader(); i >= 0 && tr.all[i].e.FencingToken().Era() == tr.store.RevisionInEra(0).Era() {
			return
		}
	}
	tr.t.Fatalf("nobody leads in era %d", tr.store.RevisionInEra(0).Era())
}

func (tr *trial) end() {
	for _, c := range tr.all {
		c.end()
	}
}

// orders is how soon after a restore engines are ordered again: the time in which an old
// leader may believe in its lease, and the race.
const orders = leaderTTL + 2*time.Second

// The store comes back from copies taken before anybody led, under the same leader, and
// under one that has ended since, in series. There are never two leaders, not even where
// the old one is cut off and does not hear of the return; tokens never fall, and somebody
// leads again soon.
func TestLeadershipOverRestores(t *testing.T) {
	for name, play := range map[string]func(tr *trial){
		"from before the claim": func(tr *trial) {
			c := tr.store.Snapshot()
			tr.led(5 * time.Second)
			tr.store.Restore(c)
		},
		"under the same leader": func(tr *trial) {
			tr.led(5 * time.Second)
			c := tr.store.Snapshot()
			tr.pass(2 * time.Second)
			tr.store.Restore(c)
		},
		"under a leader that ended": func(tr *trial) {
			tr.led(5 * time.Second)
			c := tr.store.Snapshot()
			i := tr.leader()
			tr.all[i].end()
			tr.led(5 * time.Second)
			tr.store.Restore(c)
		},
		"the old leader is cut off": func(tr *trial) {
			c := tr.store.Snapshot()
			tr.led(5 * time.Second)
			tr.stores[tr.leader()].cut.Store(true)
			tr.store.Restore(c)
		},
		"three in series": func(tr *trial) {
			tr.led(5 * time.Second)
			c := tr.store.Snapshot()
			for range 3 {
				tr.pass(700 * time.Millisecond)
				tr.store.Restore(c)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				tr := newTrial(t)
				defer tr.end()
				play(tr)
				tr.led(orders)
				tr.pass(10 * time.Second)
				tr.led(time.Second)
				assert.Assert(t, len(tr.store.Keys(MemberPrefix)) >= 2, "routers are registered again")
			})
		})
	}
}

// The numbers of leases are given out again. A router that stops gives back its own, not
// the one that bears its old number now and is the leader's.
func TestNumbersOfLeasesAreGivenOutAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := standin.NewStore()
		c := store.Snapshot()
		s := &cuttable{Store: store}
		a := startOver(s, "a")
		time.Sleep(3 * time.Second)
		store.Restore(c)
		time.Sleep(100 * time.Millisecond)
		for i := range 4 {
			id, _, err := store.Grant(t.Context(), time.Minute)
			assert.NilError(t, err)
			_, err = store.Commit(t.Context(), platform.Txn{Put: []platform.Item{{Key: fmt.Sprint(Prefix, "other", i), Value: []byte("x"), Lease: id}}})
			assert.NilError(t, err)
		}
		a.end()
		assert.Equal(t, len(store.Keys(Prefix+"other")), 4)
	})
}

// A router has not heard that the store came back without the leadership key, and knows of
// no leader as it is behind. Its claim finds the key absent and is carried out, while the
// old leader believes in its lease for two more seconds. It gives the leadership up.
func TestClaimInAnUnknownEraIsGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := standin.NewStore()
		c := store.Snapshot()
		a := start(store, "a")
		time.Sleep(2 * time.Second)
		assert.Equal(t, leaders(a), 1)
		behind, _ := run(store, "behind")
		time.Sleep(100 * time.Millisecond)
		store.Restore(c)
		for range 400 {
			assert.Assert(t, leaders(a, behind) <= 1)
			time.Sleep(5 * time.Millisecond)
		}
		assert.Equal(t, leaders(behind), 0)
		a.end()
		behind.end()
	})
}
