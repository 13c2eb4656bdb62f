package limits

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
)

// borrowers is a fleet of routers that share a budget and lend to each other.
type borrowers struct {
	budgets map[string]*SharedRetryBudget
	loans   map[string]*RetryBorrower
	cut     map[string]bool // peers that do not answer
}

func newBorrowers(ratio, slack float64, names ...string) *borrowers {
	f := &borrowers{budgets: map[string]*SharedRetryBudget{}, loans: map[string]*RetryBorrower{}, cut: map[string]bool{}}
	for _, name := range names {
		f.budgets[name] = NewSharedRetryBudget(ratio, slack, 10*time.Second, func() int { return len(names) }, time.Now)
		f.loans[name] = &RetryBorrower{Budget: f.budgets[name], Borrow: f.ask, Now: time.Now}
	}
	return f
}

func (f *borrowers) ask(ctx context.Context, peer, service string, want int) (int, error) {
	if f.cut[peer] {
		<-ctx.Done()
		return 0, errors.New("no answer")
	}
	time.Sleep(2 * time.Millisecond)
	return f.budgets[peer].Lend(service, want), nil
}

// tell spreads what each router could lend.
func (f *borrowers) tell() {
	for from, b := range f.budgets {
		for to, l := range f.loans {
			if to != from {
				l.SetPeerTokens(from, b.SpareTokens(), 2*time.Second)
			}
		}
	}
}

// An engine dies in one failure domain and interrupts 60 streams of one router
// within moments. Its own part of the budget is 10; the other routers have lost
// nothing. The streams go on with what those lend, and the sum over all routers
// stays within the budget.
func TestInterruptedStreamsBorrowFromPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const routers, perRouter, ratio, slack = 6, 60, 0.2, 0
		names := []string{"a", "b", "c", "d", "e", "f"}
		f := newBorrowers(ratio, slack, names...)
		time.Sleep(10 * time.Second)
		for _, b := range f.budgets {
			for range perRouter {
				b.RecordRequest("s")
			}
		}
		f.tell()
		var mu sync.Mutex
		var all sync.WaitGroup
		taken := 0
		for range 60 {
			all.Go(func() {
				if f.loans["a"].Take(context.Background(), "s") {
					mu.Lock()
					defer mu.Unlock()
					taken++
				}
			})
		}
		all.Wait()
		alone := 10 // nine tenths of a fifth of its requests
		assert.Assert(t, taken > 3*alone, "%d of 60 went on; alone %d", taken, alone)
		assert.Assert(t, float64(taken) <= ratio*perRouter*routers)
	})
}

// The peer with the most spares is cut off. Streams wait for its answer a tenth
// of a second, then borrow from the next; nobody waits longer when all are cut.
func TestBorrowingDoesNotHangOnAPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newBorrowers(0.2, 300, "a", "b", "c")
		time.Sleep(10 * time.Second)
		for range 50 {
			f.budgets["b"].RecordRequest("s")
		}
		for range 10 {
			f.budgets["c"].RecordRequest("s")
		}
		for f.budgets["a"].Take("s") {
		}
		f.tell()
		f.cut["b"] = true
		began := time.Now()
		assert.Assert(t, f.loans["a"].Take(context.Background(), "s"))
		assert.Assert(t, time.Since(began) <= loanWait+5*time.Millisecond)
		f.cut["c"] = true
		began = time.Now()
		for range loanSize + 1 {
			f.loans["a"].Take(context.Background(), "s")
		}
		assert.Assert(t, time.Since(began) <= loanTries*loanWait)
		began = time.Now()
		assert.Assert(t, !f.loans["a"].Take(context.Background(), "s"))
		assert.Equal(t, time.Since(began), time.Duration(0), "nobody is asked again at once")
	})
}

// What was borrowed and not used is not kept: its lender counted it when it lent
// it, and has it to spend again a window later.
func TestLoansLapse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newBorrowers(0.2, 300, "a", "b")
		time.Sleep(10 * time.Second)
		for f.budgets["a"].Take("s") {
		}
		f.budgets["b"].RecordRequest("s")
		f.tell()
		assert.Assert(t, f.loans["a"].Take(context.Background(), "s"))
		time.Sleep(loanLasts)
		f.cut["b"] = true
		assert.Assert(t, !f.loans["a"].Take(context.Background(), "s"))
	})
}

// All routers are killed at once and start again. What they spent before is
// forgotten; the slack is not spent a second time in the same window.
func TestSlackIsNotSpentTwiceAfterAStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const slack = 200
		spent := 0
		drain := func(b *SharedRetryBudget) {
			for b.Take("s") {
				spent++
			}
		}
		old := NewSharedRetryBudget(0.2, slack, 10*time.Second, func() int { return 1 }, time.Now)
		time.Sleep(10 * time.Second)
		drain(old)
		restarted := NewSharedRetryBudget(0.2, slack, 10*time.Second, func() int { return 1 }, time.Now)
		drain(restarted)
		assert.Assert(t, spent <= slack, "%d of %d", spent, slack)
	})
}

// The caller has left when its request would be sent again. The send would be for
// nobody, and what it takes of the shared budget is missing where an engine's loss
// interrupts others.
func TestNothingIsTakenForWhoLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newBorrowers(0, 20, "a", "b")
		time.Sleep(10 * time.Second)
		f.budgets["a"].RecordRequest("s")
		before := f.budgets["a"].SpareTokens()
		assert.Assert(t, before["s"] > 0)
		ctx, leave := context.WithCancel(context.Background())
		leave()
		for range 5 {
			assert.Assert(t, !f.loans["a"].Take(ctx, "s"))
		}
		assert.DeepEqual(t, f.budgets["a"].SpareTokens(), before)
		assert.Assert(t, f.loans["a"].Take(context.Background(), "s"))
	})
}

// More repeated sends reach a service in one window than its budget allows. A busy
// lender counts what it lends when it is asked, and its answer is on the way for a
// while; a loan that lasts from the answer on is used when the lender may spend the
// same sends again.
func TestLoanLastsFromTheQuestion(t *testing.T) {
	const answerTime = loanWait - 10*time.Millisecond
	for used, granted := range map[time.Duration]bool{loanLasts - time.Millisecond: true, loanLasts: false} {
		synctest.Test(t, func(t *testing.T) {
			f := newBorrowers(0.2, 300, "a", "b")
			a := f.loans["a"]
			a.Borrow = func(_ context.Context, peer, service string, want int) (int, error) {
				lent := f.budgets[peer].Lend(service, want)
				time.Sleep(answerTime)
				return lent, nil
			}
			time.Sleep(10 * time.Second)
			for f.budgets["a"].Take("s") {
			}
			f.budgets["b"].RecordRequest("s")
			f.tell()
			asked := time.Now()
			assert.Assert(t, a.Take(context.Background(), "s"))
			assert.Equal(t, time.Since(asked), answerTime)
			time.Sleep(used - answerTime)
			a.Borrow = func(context.Context, string, string, int) (int, error) { return 0, nil }
			assert.Equal(t, a.Take(context.Background(), "s"), granted, "%v after the question", used)
		})
	}
}
