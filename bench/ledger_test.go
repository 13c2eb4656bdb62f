package bench

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"golang.org/x/time/rate"
	"gotest.tools/v3/assert"

	"github.com/skylarkwood/skylarkwood/internal/coordination/ledger"
	"github.com/skylarkwood/skylarkwood/internal/daemon"
	"github.com/skylarkwood/skylarkwood/internal/standin"
)

// ledgerCost records notices at a rate, spreads the ledger's shards over four entries,
// and uses a store with a latency of 5 ms. It returns writes and reads per notice, and
// the added latency in microseconds.
func ledgerCost(t *testing.T, requestsPerSecond float64) (swaps, gets float64, latency *hdrhistogram.Histogram) {
	const entries, seconds, budget = 4, 10, 50
	latency = hdrhistogram.New(1, int64(time.Hour/time.Microsecond), 3)
	synctest.Test(t, func(t *testing.T) {
		kv := standin.NewKV()
		kv.SetFaults(standin.KVFaults{Delay: 5 * time.Millisecond})
		var ledgers []*ledger.Ledger
		for i := 0; i < entries; i++ {
			ledgers = append(ledgers, ledger.New(kv, time.Now, rate.NewLimiter(budget, 5)))
		}
		rnd := rand.New(rand.NewPCG(1, 1))
		end := time.Now().Add(seconds * time.Second)
		var all sync.WaitGroup
		var mu sync.Mutex
		n := 0
		for time.Now().Before(end) {
			time.Sleep(time.Duration(rnd.ExpFloat64() / requestsPerSecond * float64(time.Second)))
			n++
			all.Go(func() {
				id := daemon.NewID()
				key := "c/" + id
				began := time.Now()
				_, err := ledgers[ledger.ShardOf(key)%entries].Record(context.Background(), ledger.Intent{Key: key, Grant: id}, id)
				assert.Check(t, err)
				mu.Lock()
				defer mu.Unlock()
				_ = latency.RecordValue(time.Since(began).Microseconds())
			})
		}
		all.Wait()
		swaps = float64(kv.Calls().Swaps) / float64(n)
		gets = float64(kv.Calls().Gets) / float64(n)
	})
	return swaps, gets, latency
}

// TestLedgerCost prints what a non-repeatable request costs in calls to the key-value
// service and in time. The baseline is one write of 5 ms per request.
func TestLedgerCost(t *testing.T) {
	for _, requestsPerSecond := range []float64{10, 100, 800} {
		swaps, gets, latency := ledgerCost(t, requestsPerSecond)
		t.Logf("%4.0f notices/s: %.3f writes and %.3f reads per notice (%.0f writes/s); added latency p50 %.0f p95 %.0f ms",
			requestsPerSecond, swaps, gets, swaps*requestsPerSecond, ms(latency, 50), ms(latency, 95))
		assert.Assert(t, swaps <= 1.01, "more than one write per key")
	}
}
