package bench

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/skylarkwood/skylarkwood/internal/standin/world"
)

const (
	otherCustomers     = 9
	otherCustomersLoad = 0.4 // as a fraction of the bound, for all together
	floodLoad          = 2.6
	// floodWarmUp is how long the flood's first requests, which were admitted while
	// the engines were idle, still run.
	floodWarmUp = 5 * time.Second
)

// measureFlood returns what the other customers get while one customer sends flood
// times the bound.
func measureFlood(t *testing.T, flood float64) (otherCustomers *measurements) {
	specs := engines()
	limit := bound(specs) / positions
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(context.Background())
		names := customers()
		w, err := world.New(ctx, world.Config{
			Seed:      1,
			Layers:    layers,
			Entries:   failureDomains,
			Engines:   specs,
			Link:      linkBetween,
			Customers: names,
		})
		assert.NilError(t, err)
		time.Sleep(settleTime)
		from := time.Now().Add(floodWarmUp)
		otherCustomers = newMeasurements(from, from.Add(*measureFlag))
		floodMeasurements := newMeasurements(from, otherCustomers.end)
		var all sync.WaitGroup
		for i, name := range names {
			all.Go(func() {
				rnd := rand.New(rand.NewPCG(uint64(i), 1))
				arrivals(w, name, otherCustomersLoad*limit/float64(len(names)), rnd, otherCustomers.end, otherCustomers)
			})
		}
		if flood > 0 {
			all.Go(func() {
				arrivals(w, world.Customer, flood*limit, rand.New(rand.NewPCG(99, 1)), otherCustomers.end, floodMeasurements)
			})
		}
		all.Wait()
		stop()
		w.Close()
		time.Sleep(time.Minute)
	})
	return otherCustomers
}

func customers() []string {
	var out []string
	for i := 0; i < otherCustomers; i++ {
		out = append(out, fmt.Sprint("small-", i))
	}
	return out
}

// TestFlood checks that a customer who sends 2.6 times the bound costs the other
// customers, who send 0.4 times the bound together, less than a tenth of their goodput
// once the warm-up is over.
func TestFlood(t *testing.T) {
	var quiet, flood *measurements
	t.Run("runs", func(t *testing.T) {
		t.Run("quiet", func(t *testing.T) { t.Parallel(); quiet = measureFlood(t, 0) })
		t.Run("flood", func(t *testing.T) { t.Parallel(); flood = measureFlood(t, floodLoad) })
	})
	for name, got := range map[string]*measurements{"quiet": quiet, "flood": flood} {
		t.Logf("%s: other customers got %d tokens; first token p95 %.0f ms; between tokens p95 %.0f ms; %v",
			name, got.tokens, ms(got.first, 95), ms(got.interTokenDelay, 95), got.outcomes)
	}
	goodputRatio := float64(flood.outcomes["ran"]) / float64(quiet.outcomes["ran"])
	t.Logf("other customers kept %.3f of their goodput", goodputRatio)
	assert.Assert(t, goodputRatio > 0.9)
}
