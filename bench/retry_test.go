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

	"github.com/skylarkwood/skylarkwood/internal/daemon"
	"github.com/skylarkwood/skylarkwood/internal/model"
	"github.com/skylarkwood/skylarkwood/internal/protocol/owner"
	"github.com/skylarkwood/skylarkwood/internal/standin/world"
)

// measureDomainLoss sends calls to a plain service in three failure domains while one
// of them does not respond. It returns how many calls were sent and executed, and
// their outcomes.
func measureDomainLoss(t *testing.T) (sent, executed int, outcomes map[string]int) {
	const requestsPerSecond, seconds, failAtSecond = 200, 20, 5
	outcomes = map[string]int{}
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(context.Background())
		cfg := world.Config{Seed: 1, Layers: 1, Entries: failureDomains[:2], Link: linkBetween}
		for i := 0; i < 6; i++ {
			cfg.Plains = append(cfg.Plains, world.PlainSpec{Domain: failureDomains[i%3], CallDuration: 20 * time.Millisecond, Slots: 16})
		}
		w, err := world.New(ctx, cfg)
		assert.NilError(t, err)
		time.Sleep(settleTime)
		rnd := rand.New(rand.NewPCG(1, 1))
		began := time.Now()
		time.AfterFunc(failAtSecond*time.Second, func() {
			for _, u := range w.Sidecars {
				if u.Domain == failureDomains[0] {
					w.Net.Suspend(u.Addr, time.Minute)
				}
			}
		})
		var all sync.WaitGroup
		var mu sync.Mutex
		for time.Since(began) < seconds*time.Second {
			time.Sleep(time.Duration(rnd.ExpFloat64() / requestsPerSecond * float64(time.Second)))
			sent++
			n := sent
			all.Go(func() {
				e := w.Entry(n)
				req, err := e.Owner.Submit(owner.Submission{Customer: world.Customer, ID: daemon.NewID(), Service: world.Notices, Body: fmt.Append(nil, n), Timeout: 5 * time.Second})
				assert.NilError(t, err)
				var o model.Outcome
				for pos := int64(0); !o.Final(); {
					var parts [][]byte
					parts, o, err = req.Next(context.Background(), pos)
					assert.NilError(t, err)
					pos += int64(len(parts))
				}
				mu.Lock()
				defer mu.Unlock()
				outcomes[string(o.State)]++
			})
		}
		all.Wait()
		for _, u := range w.Sidecars {
			for _, n := range u.Plain.Counts() {
				executed += n
			}
		}
		stop()
		w.Close()
		time.Sleep(2 * time.Minute)
	})
	return sent, executed, outcomes
}

// TestDomainLoss checks that a plain service executes at most 1.1 times the calls that
// callers sent when one of three failure domains stops responding.
func TestDomainLoss(t *testing.T) {
	sent, executed, outcomes := measureDomainLoss(t)
	t.Logf("sent %d, executed %d (%.3f); %v", sent, executed, float64(executed)/float64(sent), outcomes)
	assert.Assert(t, float64(executed) <= 1.1*float64(sent))
}
