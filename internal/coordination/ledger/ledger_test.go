package ledger

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/oklog/ulid/v2"
	"golang.org/x/time/rate"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/skylarkwood/skylarkwood/internal/fault"
	"github.com/skylarkwood/skylarkwood/internal/standin"
)

// inBubble hides the test's deadline, which is not available in virtual time.
type inBubble struct{ rapid.TB }

func idAt(at time.Time) string {
	return ulid.MustNew(ulid.Timestamp(at), ulid.DefaultEntropy()).String()
}

func unlimited() *rate.Limiter { return rate.NewLimiter(rate.Inf, 1) }

// onePage returns ids whose keys share a page and are stored together.
func onePage(n int) []string {
	var ids []string
	for len(ids) < n {
		id := idAt(time.Now())
		if len(ids) == 0 || ShardOf("c/"+id) == ShardOf("c/"+ids[0]) {
			ids = append(ids, id)
		}
	}
	return ids
}

// Several entries act for the same shard while the store is slow, unavailable or loses
// answers. Each key must have one grant, the same for all requesters.
func TestOneGrantPerKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(inBubble{t}, func(rt *rapid.T) {
			kv := standin.NewKV()
			ledgers := []*Ledger{}
			for i := 0; i < 3; i++ {
				ledgers = append(ledgers, New(kv, time.Now, unlimited()))
			}
			ids := onePage(3)
			var mu sync.Mutex
			var wg sync.WaitGroup
			granted := map[string]string{}
			seen := map[string]string{}
			for n := rapid.IntRange(1, 30).Draw(rt, "asks"); n > 0; n-- {
				kv.SetFaults(standin.KVFaults{
					Outage:      rapid.IntRange(0, 9).Draw(rt, "outage") == 0,
					Delay:       time.Duration(rapid.IntRange(0, 900).Draw(rt, "delay")) * time.Millisecond,
					LoseAnswers: rapid.IntRange(0, 2).Draw(rt, "lost"),
				})
				id := rapid.SampledFrom(ids).Draw(rt, "id")
				l := rapid.SampledFrom(ledgers).Draw(rt, "actor")
				grant := fmt.Sprint("grant-", n)
				wg.Go(func() {
					ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
					defer cancel()
					stored, err := l.Record(ctx, Intent{Key: "c/" + id, Grant: grant}, id)
					if err != nil {
						return
					}
					mu.Lock()
					defer mu.Unlock()
					if stored.Grant == grant {
						assert.Check(rt, granted[id] == "", "granted twice")
						granted[id] = grant
					}
					assert.Check(rt, seen[id] == "" || seen[id] == stored.Grant, "two stored grants: %s and %s", seen[id], stored.Grant)
					seen[id] = stored.Grant
				})
				time.Sleep(time.Duration(rapid.IntRange(0, 500).Draw(rt, "pause")) * time.Millisecond)
			}
			wg.Wait()
			// A requester returns after its own timeout. A group in progress and the one
			// behind it take up to groupTimeout each.
			time.Sleep(2*groupTimeout + time.Second)
		})
	})
}

// Concurrent intents must share writes.
func TestIntentsShareWrites(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := standin.NewKV()
		kv.SetFaults(standin.KVFaults{Delay: 5 * time.Millisecond})
		l := New(kv, time.Now, unlimited())
		var wg sync.WaitGroup
		const intents = 200
		key := "c/k"
		for i := 0; i < intents; i++ {
			id := idAt(time.Now())
			wg.Go(func() {
				_, err := l.Record(context.Background(), Intent{Key: fmt.Sprint(key, i), Grant: fmt.Sprint(i)}, id)
				assert.Check(t, err)
			})
		}
		wg.Wait()
		assert.Assert(t, kv.Calls().Swaps <= 2*ShardCount, "%d writes for %d intents", kv.Calls().Swaps, intents)
	})
}

func TestCheckID(t *testing.T) {
	now := time.Now()
	for _, tc := range []struct {
		name string
		id   string
		want fault.Kind
	}{
		{"not a ULID", "sheet-1", fault.InvalidRequest},
		{"too old", idAt(now.Add(-MaxIDAge - time.Second)), fault.ExpiredID},
		{"from the future", idAt(now.Add(MaxClockAhead + time.Second)), fault.InvalidRequest},
	} {
		t.Run(tc.name, func(t *testing.T) {
			_, err := CheckID(tc.id, now)
			assert.Assert(t, fault.Is(err, tc.want), "%v", err)
		})
	}
	_, err := CheckID(idAt(now), now)
	assert.NilError(t, err)
}

// Pages with expired ids must be deleted from the store.
func TestSweepDeletesOldPages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := standin.NewKV()
		l := New(kv, time.Now, unlimited())
		id := idAt(time.Now())
		_, err := l.Record(context.Background(), Intent{Key: "c/" + id, Grant: "g"}, id)
		assert.NilError(t, err)
		l.Sweep(context.Background())
		assert.Equal(t, len(kv.Keys("ledger/")), 1)
		time.Sleep(MaxIDAge + time.Minute)
		l.Sweep(context.Background())
		assert.Equal(t, len(kv.Keys("ledger/")), 0)
	})
}
