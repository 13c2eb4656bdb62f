// Package limits keeps customers within their rates and retries within their
// budget, with no counter shared between entries.
package limits

import (
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/skylarkwood/skylarkwood/internal/state/shard"
)

// RateLimiter holds a customer's share of its rate at this entry. The balancer
// spreads callers evenly, so each of n entries grants an nth of the rate; a
// central counter would cost a call for every request.
type RateLimiter struct {
	entries  func() int
	limiters *shard.Map[string, *share]
}

type share struct {
	mu      sync.Mutex
	rate    float64
	entries int
	limiter *rate.Limiter
}

// NewRateLimiter makes the shares of one entry; entries tells how many share.
func NewRateLimiter(entries func() int) *RateLimiter {
	return &RateLimiter{entries: entries, limiters: shard.New[string, *share]()}
}

// Allow takes one request of a customer's rate (requests a second over all
// entries, 0 for none) and burst. Where it is refused, the time after which
// the share has room again is given.
func (r *RateLimiter) Allow(customer, service string, perSecond float64, burst int, now time.Time) (bool, time.Duration) {
	if perSecond <= 0 {
		return true, 0
	}
	s, _ := r.limiters.GetOrPut(customer+"\x00"+service, func() *share { return &share{} })
	s.mu.Lock()
	defer s.mu.Unlock()
	n := max(r.entries(), 1)
	if s.limiter == nil || s.rate != perSecond || s.entries != n {
		s.set(perSecond, burst, n, now)
	}
	res := s.limiter.ReserveN(now, 1)
	wait := res.DelayFrom(now)
	if wait == 0 {
		return true, 0
	}
	res.CancelAt(now)
	return false, wait
}

func (s *share) set(perSecond float64, burst, n int, now time.Time) {
	s.rate = perSecond
	s.entries = n
	limit := rate.Limit(perSecond / float64(n))
	size := max(1, (burst+n-1)/n)
	if s.limiter == nil {
		s.limiter = rate.NewLimiter(limit, size)
		return
	}
	s.limiter.SetLimitAt(now, limit)
	s.limiter.SetBurstAt(now, size)
}

const (
	// retryShare is how many retries each request adds to the budget: at most a
	// tenth more load, however much fails.
	retryShare = 0.1
	// retryReserve lets a process that has served little retry at all.
	retryReserve = 10
)

// RetryBudget bounds retries by the requests served. Without it the loss of a
// failure domain sends each of its requests again at once to the rest.
type RetryBudget struct {
	mu     sync.Mutex
	tokens float64
}

// NewRetryBudget makes a budget with its reserve.
func NewRetryBudget() *RetryBudget {
	return &RetryBudget{tokens: retryReserve}
}

// RecordRequest adds a request's share.
func (b *RetryBudget) RecordRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+retryShare, retryReserve)
}

// Take takes one retry from the budget, if there is one.
func (b *RetryBudget) Take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Jitter spreads a come-back time over [d, 1.5d), so that a burst refused
// together does not come back together.
func Jitter(d time.Duration) time.Duration {
	if d <= 0 {
		return d
	}
	return d + time.Duration(rand.Int64N(int64(d)/2+1))
}
