package limits

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/skylarkwood/skylarkwood/internal/coordination/limits/limitstest"
)

// borrowerFleet is a set of routers that share a budget and lend to each other.
type borrowerFleet struct {
	budgets      map[string]*SharedRetryBudget
	borrowers    map[string]*RetryBorrower
	unresponsive map[string]bool // peers that do not answer
}

func newBorrowerFleet(ratio, slack float64, names ...string) *borrowerFleet {
	f := &borrowerFleet{budgets: map[string]*SharedRetryBudget{}, borrowers: map[string]*RetryBorrower{}, unresponsive: map[string]bool{}}
	for _, name := range names {
		f.budgets[name] = NewSharedRetryBudget(ratio, slack, 10*time.Second, func() int { return len(names) }, limitstest.Clock)
		f.borrowers[name] = &RetryBorrower{Budget: f.budgets[name], Borrow: f.lend, Now: time.Now}
	}
	return f
}

func (f *borrowerFleet) lend(ctx context.Context, peer, service string, want int) (int, error) {
	if f.unresponsive[peer] {
		<-ctx.Done()
		return 0, errors.New("no answer")
	}
	time.Sleep(2 * time.Millisecond)
	return f.budgets[peer].Lend(service, want), nil
}

// advertise passes each router's spare tokens to all others.
func (f *borrowerFleet) advertise() {
	for from, b := range f.budgets {
		for to, borrower := range f.borrowers {
			if to != from {
				borrower.SetPeerTokens(from, b.SpareTokens(), 2*time.Second)
			}
		}
	}
}

// An engine's loss interrupts 60 streams of one router, whose own part of the budget is
// 10. It must borrow from the others, and the sum must stay within the budget.
func TestInterruptedStreamsBorrowFromPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const routers, perRouter, ratio, slack = 6, 60, 0.2, 0
		names := []string{"a", "b", "c", "d", "e", "f"}
		f := newBorrowerFleet(ratio, slack, names...)
		time.Sleep(10 * time.Second)
		for _, b := range f.budgets {
			for range perRouter {
				b.RecordRequest("s")
			}
		}
		f.advertise()
		var mu sync.Mutex
		var wg sync.WaitGroup
		taken := 0
		for range 60 {
			wg.Go(func() {
				if f.borrowers["a"].Take(context.Background(), "s") {
					mu.Lock()
					defer mu.Unlock()
					taken++
				}
			})
		}
		wg.Wait()
		alone := 10 // nine tenths of a fifth of its requests
		assert.Assert(t, taken > 3*alone, "%d of 60 streams continued, %d without borrowing", taken, alone)
		assert.Assert(t, float64(taken) <= ratio*perRouter*routers)
	})
}

// The peer with the most spare tokens does not answer. Streams must borrow from the
// next after borrowTimeout, and must not wait longer if none answers.
func TestBorrowingTimesOutOnUnresponsivePeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newBorrowerFleet(0.2, 300, "a", "b", "c")
		time.Sleep(10 * time.Second)
		for range 50 {
			f.budgets["b"].RecordRequest("s")
		}
		for range 10 {
			f.budgets["c"].RecordRequest("s")
		}
		for f.budgets["a"].Take("s") {
		}
		f.advertise()
		f.unresponsive["b"] = true
		start := time.Now()
		assert.Assert(t, f.borrowers["a"].Take(context.Background(), "s"))
		assert.Assert(t, time.Since(start) <= borrowTimeout+5*time.Millisecond)
		f.unresponsive["c"] = true
		start = time.Now()
		for range borrowBatch + 1 {
			f.borrowers["a"].Take(context.Background(), "s")
		}
		assert.Assert(t, time.Since(start) <= maxBorrowAttempts*borrowTimeout)
		start = time.Now()
		assert.Assert(t, !f.borrowers["a"].Take(context.Background(), "s"))
		assert.Equal(t, time.Since(start), time.Duration(0), "no peer is asked again at once")
	})
}

// Borrowed tokens must expire, as their lender may spend them again in the next window.
func TestBorrowedTokensExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newBorrowerFleet(0.2, 300, "a", "b")
		time.Sleep(10 * time.Second)
		for f.budgets["a"].Take("s") {
		}
		f.budgets["b"].RecordRequest("s")
		f.advertise()
		assert.Assert(t, f.borrowers["a"].Take(context.Background(), "s"))
		time.Sleep(borrowedLifetime)
		f.unresponsive["b"] = true
		assert.Assert(t, !f.borrowers["a"].Take(context.Background(), "s"))
	})
}

// A router that restarts must not spend the slack again in the same window.
func TestSlackIsNotSpentTwiceAfterRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const slack = 200
		spent := 0
		drain := func(b *SharedRetryBudget) {
			for b.Take("s") {
				spent++
			}
		}
		first := NewSharedRetryBudget(0.2, slack, 10*time.Second, func() int { return 1 }, limitstest.Clock)
		time.Sleep(10 * time.Second)
		drain(first)
		restarted := NewSharedRetryBudget(0.2, slack, 10*time.Second, func() int { return 1 }, limitstest.Clock)
		drain(restarted)
		assert.Assert(t, spent <= slack, "%d of %d", spent, slack)
	})
}

// A cancelled request must take no token, as other streams would lack it.
func TestNoTokenIsTakenForCancelledRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newBorrowerFleet(0, 20, "a", "b")
		time.Sleep(10 * time.Second)
		f.budgets["a"].RecordRequest("s")
		before := f.budgets["a"].SpareTokens()
		assert.Assert(t, before["s"] > 0)
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		for range 5 {
			assert.Assert(t, !f.borrowers["a"].Take(ctx, "s"))
		}
		assert.DeepEqual(t, f.budgets["a"].SpareTokens(), before)
		assert.Assert(t, f.borrowers["a"].Take(context.Background(), "s"))
	})
}

// The lifetime of borrowed tokens must start with the request. If it started with a
// slow answer, they could be used when the lender may already spend them again.
func TestBorrowedTokensExpireFromTheRequest(t *testing.T) {
	const answerTime = borrowTimeout - 10*time.Millisecond
	for used, granted := range map[time.Duration]bool{borrowedLifetime - time.Millisecond: true, borrowedLifetime: false} {
		synctest.Test(t, func(t *testing.T) {
			f := newBorrowerFleet(0.2, 300, "a", "b")
			borrower := f.borrowers["a"]
			borrower.Borrow = func(_ context.Context, peer, service string, want int) (int, error) {
				lent := f.budgets[peer].Lend(service, want)
				time.Sleep(answerTime)
				return lent, nil
			}
			time.Sleep(10 * time.Second)
			for f.budgets["a"].Take("s") {
			}
			f.budgets["b"].RecordRequest("s")
			f.advertise()
			start := time.Now()
			assert.Assert(t, borrower.Take(context.Background(), "s"))
			assert.Equal(t, time.Since(start), answerTime)
			time.Sleep(used - answerTime)
			borrower.Borrow = func(context.Context, string, string, int) (int, error) { return 0, nil }
			assert.Equal(t, borrower.Take(context.Background(), "s"), granted, "%v after the request", used)
		})
	}
}
