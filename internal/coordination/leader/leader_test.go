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

// candidate is an elector with a watch of the leadership key, and a clock that
// can be stopped and thawed like that of a suspended instance.
type candidate struct {
	e    *Elector
	stop context.CancelFunc
	done sync.WaitGroup
}

func start(store *standin.Store, name string) *candidate {
	c, ctx := run(store, name)
	c.done.Go(func() { c.watch(ctx, store) })
	return c
}

// run starts a candidate that does not watch yet; its context ends with end.
func run(store platform.Store, name string) (*candidate, context.Context) {
	ctx, cancel := context.WithCancel(context.Background())
	began := time.Now()
	c := &candidate{stop: cancel}
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

func (c *candidate) watch(ctx context.Context, store *standin.Store) {
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

func (c *candidate) end() {
	c.stop()
	c.done.Wait()
}

func leaders(cs ...*candidate) int {
	n := 0
	for _, c := range cs {
		if c.e.FencingToken() != 0 {
			n++
		}
	}
	return n
}

func TestOneLeads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := standin.NewStore()
		a, b, c := start(store, "a"), start(store, "b"), start(store, "c")
		time.Sleep(5 * time.Second)
		assert.Equal(t, leaders(a, b, c), 1)
		assert.Equal(t, len(store.Keys(MemberPrefix)), 3)
		a.end()
		b.end()
		c.end()
	})
}

// A planned stop gives the lease back: another leads within a second or two,
// under a higher token.
func TestLeadershipIsHandedOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := standin.NewStore()
		a := start(store, "a")
		time.Sleep(2 * time.Second)
		first := a.e.FencingToken()
		assert.Assert(t, first != 0)
		b := start(store, "b")
		time.Sleep(2 * time.Second)
		a.end()
		time.Sleep(2 * time.Second)
		assert.Assert(t, b.e.FencingToken() > first)
		b.end()
	})
}

// The leader is cut from the store. It stops leading when its own lease must
// have run out, before another can have won, and stays out of it afterwards.
func TestCutOffLeaderStepsDownFirst(t *testing.T) {
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
		assert.Equal(t, leaders(a), 1, "it stands again")
		a.end()
	})
}

// The answer to the winning claim is lost. The watch shows the claim, so that
// the winner knows; a leader that does not know of itself would block everybody.
func TestLostAnswerToTheClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := standin.NewStore()
		// The first write is the registration, the second the claim.
		lossy := &losing{Store: store, skip: 1, lose: 1}
		a := start(store, "a")
		a.end()
		b, ctx := run(lossy, "b")
		b.done.Go(func() { b.watch(ctx, store) })
		time.Sleep(3 * time.Second)
		assert.Equal(t, lossy.losses(), 1)
		assert.Equal(t, leaders(b), 1)
		b.end()
	})
}

// An engine has seen a higher token. The leader resigns instead of calling on
// with the old one, and does not take the same token up again.
func TestRefusedTokenIsGivenUp(t *testing.T) {
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
		a.end()
	})
}

// losing loses the answers of some commits that took effect.
type losing struct {
	*standin.Store
	mu               sync.Mutex
	skip, lose, lost int
}

func (l *losing) losses() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lost
}

func (l *losing) Commit(ctx context.Context, txn platform.Txn) (model.Revision, error) {
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
	if l.lose > 0 {
		l.lose--
		l.lost++
		return 0, platform.ErrUnknown
	}
	return revision, nil
}

// The answer to the winning claim is lost and the watch shows the claim only two
// seconds later. The winner must not claim again meanwhile: it would then renew
// the second claim's lease, and lead on after its key ended with the first one.
func TestLeaderHoldsTheLeaseOfItsKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := standin.NewStore()
		lossy := &losing{Store: store, skip: 1, lose: 1}
		c, ctx := run(lossy, "c")
		time.Sleep(2 * time.Second)
		assert.Equal(t, lossy.losses(), 1)
		c.done.Go(func() { c.watch(ctx, store) })
		led := 0
		for range 200 {
			time.Sleep(50 * time.Millisecond)
			if token := c.e.FencingToken(); token != 0 {
				led++
				it, err := store.Get(ctx, Key)
				assert.NilError(t, err, "it believes to lead without the key")
				assert.Equal(t, it.Revision, token)
			}
		}
		assert.Assert(t, led > 190, "led at %d of 200 looks", led)
		c.end()
	})
}

// The load: two dozen routers, of which one leads, for a minute without trouble;
// each call of the store is priced. An entry is renewed every three seconds and
// the leadership every second; before each router renewed for a leader's time,
// three times as often.
func TestRegistrationsAreFewCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const routers, seconds = 24, 60
		store := standin.NewStore()
		var all []*candidate
		for i := range routers {
			all = append(all, start(store, fmt.Sprint("r", i)))
		}
		time.Sleep(seconds * time.Second)
		calls := store.Calls()
		assert.Equal(t, leaders(all...), 1)
		assert.Equal(t, len(store.Keys(MemberPrefix)), routers)
		mostRenewals := routers*seconds/3 + seconds
		mostWrites := routers * 4 // a lease and an entry, a lease and a claim
		assert.Assert(t, calls.KeepAlives <= mostRenewals, "%d renewals", calls.KeepAlives)
		assert.Assert(t, calls.Writes <= mostWrites, "%d writes", calls.Writes)
		for _, c := range all {
			c.end()
		}
	})
}
