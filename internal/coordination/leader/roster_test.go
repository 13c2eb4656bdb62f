package leader

import (
	"context"
	"encoding/json"
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

func addressOf(i int) string { return fmt.Sprintf("10.0.0.1:%d", 1000+i) }

// rosterOf returns a roster with the entries of n routers, which it writes to the store, an hour
// after it observed them. The last of them is its own.
func rosterOf(t *testing.T, store *standin.Store, n int) *Roster {
	for i := range n {
		value, err := json.Marshal(Member{Address: addressOf(i)})
		assert.NilError(t, err)
		store.Put(fmt.Sprint(MemberPrefix, i), value)
	}
	page, err := store.Range(context.Background(), MemberPrefix)
	assert.NilError(t, err)
	now := time.Now()
	r := NewRoster(addressOf(n-1), func() time.Time { return now })
	r.Reset(page.Items)
	now = now.Add(time.Hour)
	r.Reset(page.Items) // the same revisions
	return r
}

// Hundreds of instances were replaced by others. Their entries have no lease, so the leader must
// remove them, with few calls.
func TestEntriesOfReplacedRoutersAreRemoved(t *testing.T) {
	store := standin.NewStore()
	r := rosterOf(t, store, 470)
	before := store.Calls().Writes
	silence := map[string]time.Duration{}
	for i := range 300 {
		silence[addressOf(i)] = time.Minute
	}
	r.RemoveGone(context.Background(), store, func(addr string) time.Duration { return silence[addr] }, time.Minute-1)
	assert.Equal(t, len(store.Keys(MemberPrefix)), 170)
	assert.Assert(t, store.Calls().Writes-before <= 300/maxRemovals+1)
}

// A leader that hears of nobody is cut off itself. It must not remove the entries of all others,
// unless it stays alone.
func TestLeaderThatIsCutOffRemovesNoEntries(t *testing.T) {
	store := standin.NewStore()
	r := rosterOf(t, store, 10)
	remove := func(silent time.Duration) int {
		r.RemoveGone(context.Background(), store, func(string) time.Duration { return silent }, time.Minute)
		return len(store.Keys(MemberPrefix))
	}
	assert.Equal(t, remove(2*time.Minute), 10)
	assert.Equal(t, remove(isolatedFactor*time.Minute+1), 1)
}

// A router restarted and wrote its entry again, which the leader has not heard of yet. The entry
// must stay.
func TestEntryThatWasWrittenAgainStays(t *testing.T) {
	store := standin.NewStore()
	r := rosterOf(t, store, 3)
	entry, err := store.Get(context.Background(), MemberPrefix+"0")
	assert.NilError(t, err)
	written := store.Put(MemberPrefix+"0", entry.Value)
	remove := func() {
		r.RemoveGone(context.Background(), store, func(addr string) time.Duration {
			if addr == addressOf(0) {
				return time.Hour
			}
			return 0
		}, time.Minute)
	}
	remove()
	assert.Equal(t, len(store.Keys(MemberPrefix)), 3, "the leader knows the earlier revision only")
	entry.Revision = written
	r.Apply(entry)
	remove()
	assert.Equal(t, len(store.Keys(MemberPrefix)), 3, "no heartbeat is due yet")
}

// The entry of a running router was removed. Without a new one, no watcher is chosen from it and
// it cannot lead.
func TestRouterWhoseEntryWasRemovedRegistersAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := standin.NewStore()
		a := start(store, "a")
		time.Sleep(time.Second)
		store.Remove(MemberPrefix + "a")
		page, err := store.Range(t.Context(), MemberPrefix)
		assert.NilError(t, err)
		a.e.ObserveRemoval(page.Revision)
		time.Sleep(maxRegisterDelay + 2*checkInterval)
		assert.Equal(t, len(store.Keys(MemberPrefix)), 1)
		written := store.Calls().Writes
		a.e.ObserveRemoval(1) // late news from before
		time.Sleep(maxRegisterDelay + 2*checkInterval)
		assert.Equal(t, store.Calls().Writes, written)
		a.shutDown()
	})
}

// restoringStore is restored from an older copy while the first commit is in progress.
type restoringStore struct {
	*standin.Store
	restore func()
	done    atomic.Bool
}

func (s *restoringStore) Commit(ctx context.Context, txn platform.Txn) (revision model.Revision, err error) {
	if s.done.Swap(true) {
		return s.Store.Commit(ctx, txn)
	}
	revision, err = s.Store.Commit(ctx, txn)
	s.restore()
	return revision, errors.Join(err)
}

// The store is restored from an older copy before the response to a registration arrives. The
// router must register again, although the response says that its entry is there.
func TestRegistrationLostInARestoreIsRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &restoringStore{Store: standin.NewStore()}
		empty := store.Snapshot()
		var a *testElector
		started := make(chan struct{})
		store.restore = func() {
			<-started
			store.Restore(empty)
			a.e.HandleStoreRestore()
		}
		a, _ = run(store, "a")
		close(started)
		time.Sleep(maxRegisterDelay + 2*checkInterval)
		assert.Equal(t, len(store.Keys(MemberPrefix)), 1)
		a.shutDown()
	})
}
