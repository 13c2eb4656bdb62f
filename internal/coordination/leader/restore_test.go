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

// disconnectableStore is a router's connection to the store that can be cut.
type disconnectableStore struct {
	*standin.Store
	disconnected atomic.Bool
}

func (c *disconnectableStore) KeepAlive(ctx context.Context, id platform.LeaseID) error {
	if c.disconnected.Load() {
		<-ctx.Done()
		return platform.ErrUnavailable
	}
	return c.Store.KeepAlive(ctx, id)
}

func (c *disconnectableStore) Commit(ctx context.Context, txn platform.Txn) (model.Revision, error) {
	if c.disconnected.Load() {
		<-ctx.Done()
		return 0, platform.ErrUnavailable
	}
	return c.Store.Commit(ctx, txn)
}

// startFollowing starts an elector that follows the store across restores, as a router does.
func startFollowing(store *disconnectableStore, name string) *testElector {
	c, ctx := run(store, name)
	c.done.Go(func() {
		after := model.Revision(0)
		for ctx.Err() == nil {
			page, err := store.Watch(ctx, Key, after, 200*time.Millisecond)
			if err == nil && !store.disconnected.Load() {
				for _, it := range page.Items {
					c.e.Observe(it.Value, it.Revision)
				}
				after = page.Revision
				continue
			}
			time.Sleep(50 * time.Millisecond)
			if errors.Is(err, platform.ErrCompacted) && !store.disconnected.Load() {
				after = c.reread(ctx, store, after)
			}
		}
	})
	return c
}

func (c *testElector) reread(ctx context.Context, store *disconnectableStore, before model.Revision) model.Revision {
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

// cluster is three electors that share a store.
type cluster struct {
	t        *testing.T
	store    *standin.Store
	stores   []*disconnectableStore
	electors []*testElector
	// highestToken is the highest token of a leader so far.
	highestToken model.Revision
}

func newCluster(t *testing.T) *cluster {
	cl := &cluster{t: t, store: standin.NewStore()}
	for _, name := range []string{"a", "b", "c"} {
		s := &disconnectableStore{Store: cl.store}
		cl.stores = append(cl.stores, s)
		cl.electors = append(cl.electors, startFollowing(s, name))
	}
	return cl
}

// leader returns the index of the leader, or -1.
func (cl *cluster) leader() int {
	for i, c := range cl.electors {
		if c.e.FencingToken() != 0 {
			return i
		}
	}
	return -1
}

// checkFor checks for a duration that at most one elector leads and that tokens do not decrease.
func (cl *cluster) checkFor(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		assert.Assert(cl.t, leaders(cl.electors...) <= 1)
		if i := cl.leader(); i >= 0 {
			token := cl.electors[i].e.FencingToken()
			assert.Assert(cl.t, token >= cl.highestToken, "token %s after %s", token, cl.highestToken)
			cl.highestToken = token
		}
	}
}

// awaitLeader waits for a leader with a token of the current era.
func (cl *cluster) awaitLeader(within time.Duration) {
	for end := time.Now().Add(within); time.Now().Before(end); cl.checkFor(50 * time.Millisecond) {
		if i := cl.leader(); i >= 0 && cl.electors[i].e.FencingToken().Era() == cl.store.RevisionInEra(0).Era() {
			return
		}
	}
	cl.t.Fatalf("no leader in era %d", cl.store.RevisionInEra(0).Era())
}

func (cl *cluster) shutDown() {
	for _, c := range cl.electors {
		c.shutDown()
	}
}

// recoveryTimeout is how soon after a restore there must be a leader: after the old leader's lease
// has expired and one campaign.
const recoveryTimeout = leaderTTL + 2*time.Second

// The store is restored from older copies. Guards against two leaders, decreasing tokens and a
// missing leader, also if the old leader is disconnected and does not learn of the restore.
func TestOneLeaderAcrossRestores(t *testing.T) {
	for name, play := range map[string]func(cl *cluster){
		"copy without a leader": func(cl *cluster) {
			c := cl.store.Snapshot()
			cl.awaitLeader(5 * time.Second)
			cl.store.Restore(c)
		},
		"copy with the same leader": func(cl *cluster) {
			cl.awaitLeader(5 * time.Second)
			c := cl.store.Snapshot()
			cl.checkFor(2 * time.Second)
			cl.store.Restore(c)
		},
		"copy with a stopped leader": func(cl *cluster) {
			cl.awaitLeader(5 * time.Second)
			c := cl.store.Snapshot()
			i := cl.leader()
			cl.electors[i].shutDown()
			cl.awaitLeader(5 * time.Second)
			cl.store.Restore(c)
		},
		"old leader is disconnected": func(cl *cluster) {
			c := cl.store.Snapshot()
			cl.awaitLeader(5 * time.Second)
			cl.stores[cl.leader()].disconnected.Store(true)
			cl.store.Restore(c)
		},
		"three restores in a row": func(cl *cluster) {
			cl.awaitLeader(5 * time.Second)
			c := cl.store.Snapshot()
			for range 3 {
				cl.checkFor(700 * time.Millisecond)
				cl.store.Restore(c)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cl := newCluster(t)
				defer cl.shutDown()
				play(cl)
				cl.awaitLeader(recoveryTimeout)
				cl.checkFor(10 * time.Second)
				cl.awaitLeader(time.Second)
				assert.Assert(t, len(cl.store.Keys(MemberPrefix)) >= 2, "routers must register again")
			})
		})
	}
}

// After a restore the store assigns lease IDs again. Guards against a stopping router that revokes
// another's lease with the ID of its own old one.
func TestReassignedLeaseIsNotRevoked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := standin.NewStore()
		c := store.Snapshot()
		s := &disconnectableStore{Store: store}
		a := startFollowing(s, "a")
		time.Sleep(3 * time.Second)
		store.Restore(c)
		time.Sleep(100 * time.Millisecond)
		for i := range 4 {
			id, _, err := store.Grant(t.Context(), time.Minute)
			assert.NilError(t, err)
			_, err = store.Commit(t.Context(), platform.Txn{Put: []platform.Item{{Key: fmt.Sprint(Prefix, "other", i), Value: []byte("x"), Lease: id}}})
			assert.NilError(t, err)
		}
		a.shutDown()
		assert.Equal(t, len(store.Keys(Prefix+"other")), 4)
	})
}

// A router that has not observed a restore finds the leadership key missing and writes it, while
// the old leader still relies on its lease. It must abandon the leadership.
func TestCampaignInUnknownEraIsAbandoned(t *testing.T) {
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
		a.shutDown()
		behind.shutDown()
	})
}
