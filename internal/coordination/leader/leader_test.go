package leader

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/skylarkwood/skylarkwood/internal/model"
	"github.com/skylarkwood/skylarkwood/internal/platform"
	"github.com/skylarkwood/skylarkwood/platform/standin"
)

// testElector is a running elector that may watch the leadership key.
type testElector struct {
	e    *Elector
	stop context.CancelFunc
	done sync.WaitGroup
}

func start(store *standin.Store, name string) *testElector {
	c, ctx := run(store, name)
	c.done.Go(func() { c.watch(ctx, store) })
	return c
}

// run starts an elector that does not watch the key. The context ends with shutDown.
func run(store platform.Store, name string) (*testElector, context.Context) {
	ctx, cancel := context.WithCancel(context.Background())
	began := time.Now()
	c := &testElector{stop: cancel}
	c.e = &Elector{
		Store:       store,
		Self:        Member{Instance: name, Address: name + ":1"},
		Incarnation: name + "-1",
		Clock:       func() time.Duration { return time.Since(began) + time.Hour },
		Eligible:    func() bool { return true },
	}
	c.done.Go(func() { c.e.Run(ctx) })
	return c, ctx
}

func (c *testElector) watch(ctx context.Context, store *standin.Store) {
	after := model.Revision(0)
	for ctx.Err() == nil {
		bounded, cancel := context.WithTimeout(ctx, 2*time.Second)
		page, err := store.Watch(bounded, Key, after, time.Second)
		cancel()
		if err != nil {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		for _, it := range page.Items {
			c.e.Observe(it.Value, it.Revision)
		}
		after = page.Revision
	}
}

func (c *testElector) shutDown() {
	c.stop()
	c.done.Wait()
}

func leaders(cs ...*testElector) int {
	n := 0
	for _, c := range cs {
		if c.e.FencingToken() != 0 {
			n++
		}
	}
	return n
}

func TestExactlyOneRouterLeads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := standin.NewStore()
		a, b, c := start(store, "a"), start(store, "b"), start(store, "c")
		time.Sleep(5 * time.Second)
		assert.Equal(t, leaders(a, b, c), 1)
		assert.Equal(t, len(store.Keys(MemberPrefix)), 3)
		a.shutDown()
		b.shutDown()
		c.shutDown()
	})
}

// After a planned stop, which revokes the lease, another router leads within two seconds under a
// higher token.
func TestStopHandsOverLeadership(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := standin.NewStore()
		a := start(store, "a")
		time.Sleep(2 * time.Second)
		first := a.e.FencingToken()
		assert.Assert(t, first != 0)
		b := start(store, "b")
		time.Sleep(2 * time.Second)
		a.shutDown()
		time.Sleep(2 * time.Second)
		assert.Assert(t, b.e.FencingToken() > first)
		b.shutDown()
	})
}

// Guards against a leader that loses the store and leads on after its lease has expired.
func TestDisconnectedLeaderStepsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		mem := standin.NewStore()
		a := start(mem, "a")
		time.Sleep(2 * time.Second)
		assert.Equal(t, leaders(a), 1)
		mem.SetFaults(standin.StoreFaults{Unresponsive: true})
		time.Sleep(leaderTTL + callTimeout)
		assert.Equal(t, leaders(a), 0)
		mem.SetFaults(standin.StoreFaults{})
		time.Sleep(5 * time.Second)
		assert.Equal(t, leaders(a), 1, "it campaigns again")
		a.shutDown()
	})
}

// The response to a successful campaign is lost. Guards against a leader that does not know that
// it leads, which would block all others.
func TestLostCampaignResponseIsObserved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := standin.NewStore()
		// The first write is the registration, the second the campaign.
		lossy := &lossyStore{Store: store, skip: 1, drop: 1}
		a := start(store, "a")
		a.shutDown()
		b, ctx := run(lossy, "b")
		b.done.Go(func() { b.watch(ctx, store) })
		time.Sleep(3 * time.Second)
		assert.Equal(t, lossy.droppedCount(), 1)
		assert.Equal(t, leaders(b), 1)
		b.shutDown()
	})
}

// A leader whose token an engine rejected must resign and must not use that token again.
func TestRejectedTokenEndsLeadership(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := standin.NewStore()
		a := start(store, "a")
		time.Sleep(2 * time.Second)
		token := a.e.FencingToken()
		a.e.TokenRejected(token)
		assert.Equal(t, a.e.FencingToken(), model.Revision(0))
		it, err := store.Get(context.Background(), Key)
		assert.NilError(t, err)
		a.e.Observe(it.Value, it.Revision)
		assert.Equal(t, a.e.FencingToken(), model.Revision(0))
		a.shutDown()
	})
}

// lossyStore drops the responses to some successful commits.
type lossyStore struct {
	*standin.Store
	mu                  sync.Mutex
	skip, drop, dropped int
}

func (l *lossyStore) droppedCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.dropped
}

func (l *lossyStore) Commit(ctx context.Context, txn platform.Txn) (model.Revision, error) {
	revision, err := l.Store.Commit(ctx, txn)
	if err != nil {
		return revision, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.skip > 0 {
		l.skip--
		return revision, nil
	}
	if l.drop > 0 {
		l.drop--
		l.dropped++
		return 0, platform.ErrUnknown
	}
	return revision, nil
}

// The response to a successful campaign is lost and the key is observed two seconds later. Guards
// against a second campaign meanwhile, whose lease would be renewed instead of the key's.
func TestLeaderRenewsTheLeaseOfItsKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := standin.NewStore()
		lossy := &lossyStore{Store: store, skip: 1, drop: 1}
		c, ctx := run(lossy, "c")
		time.Sleep(2 * time.Second)
		assert.Equal(t, lossy.droppedCount(), 1)
		c.done.Go(func() { c.watch(ctx, store) })
		led := 0
		for range 200 {
			time.Sleep(50 * time.Millisecond)
			if token := c.e.FencingToken(); token != 0 {
				led++
				it, err := store.Get(ctx, Key)
				assert.NilError(t, err, "the router leads without the key")
				assert.Equal(t, it.Revision, token)
			}
		}
		assert.Assert(t, led > 190, "led at %d of 200 checks", led)
		c.shutDown()
	})
}

// Bounds the calls to the store of 24 routers in a minute without faults, since each is billed.
func TestLeasesNeedFewStoreCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const routers, seconds = 24, 60
		store := standin.NewStore()
		var all []*testElector
		for i := range routers {
			all = append(all, start(store, fmt.Sprint("r", i)))
		}
		time.Sleep(seconds * time.Second)
		calls := store.Calls()
		assert.Equal(t, leaders(all...), 1)
		assert.Equal(t, len(store.Keys(MemberPrefix)), routers)
		maxRenewals := seconds + 5 // of the leader
		maxWrites := routers * 3   // an entry, a lease and a campaign
		assert.Assert(t, calls.KeepAlives <= maxRenewals, "%d renewals", calls.KeepAlives)
		assert.Assert(t, calls.Writes <= maxWrites, "%d writes", calls.Writes)
		for _, c := range all {
			c.shutDown()
		}
	})
}
