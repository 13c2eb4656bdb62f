// Package limits enforces customers' request rates, retry budgets and the concurrency
// of engines, without counters shared between entries.
package limits

import (
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/skylarkwood/skylarkwood/internal/state/shard"
)

// RateLimiter limits customers to this entry's share of their rate. The balancer
// spreads callers evenly, so each of n entries allows an nth of the rate. A central
// counter would cost a call for every request.
type RateLimiter struct {
	entries  func() int
	limiters *shard.Map[string, *customerLimit]
}

type customerLimit struct {
	mu      sync.Mutex
	rate    float64
	entries int
	limiter *rate.Limiter
}

// NewRateLimiter returns the limiter of one entry; entries returns how many share the
// rate.
func NewRateLimiter(entries func() int) *RateLimiter {
	return &RateLimiter{entries: entries, limiters: shard.New[string, *customerLimit]()}
}

// Allow takes one request from a customer's rate at a service. perSecond is the rate
// over all entries, 0 for no limit. If the request is refused, Allow returns the time
// until the next one would be allowed.
func (r *RateLimiter) Allow(customer, service string, perSecond float64, burst int, now time.Time) (bool, time.Duration) {
	if perSecond <= 0 {
		return true, 0
	}
	c, _ := r.limiters.GetOrPut(customer+"\x00"+service, func() *customerLimit { return &customerLimit{} })
	c.mu.Lock()
	defer c.mu.Unlock()
	n := max(r.entries(), 1)
	if c.limiter == nil || c.rate != perSecond || c.entries != n {
		c.configure(perSecond, burst, n, now)
	}
	res := c.limiter.ReserveN(now, 1)
	wait := res.DelayFrom(now)
	if wait == 0 {
		return true, 0
	}
	res.CancelAt(now)
	return false, wait
}

func (c *customerLimit) configure(perSecond float64, burst, n int, now time.Time) {
	c.rate = perSecond
	c.entries = n
	limit := rate.Limit(perSecond / float64(n))
	size := max(1, (burst+n-1)/n)
	if c.limiter == nil {
		c.limiter = rate.NewLimiter(limit, size)
		return
	}
	c.limiter.SetLimitAt(now, limit)
	c.limiter.SetBurstAt(now, size)
}

const (
	// tokensPerRequest is how many retry tokens each request adds. It bounds the load
	// of retries to a tenth of that of requests.
	tokensPerRequest = 0.1
	// maxTokens is the budget's initial and maximum content. It lets a process retry
	// that has served few requests.
	maxTokens = 10
)

// RetryBudget bounds retries by the number of requests. Otherwise the loss of a failure
// domain would repeat all of its requests at the others at once.
type RetryBudget struct {
	mu     sync.Mutex
	tokens float64
}

// NewRetryBudget returns a full budget.
func NewRetryBudget() *RetryBudget {
	return &RetryBudget{tokens: maxTokens}
}

// RecordRequest adds the tokens of one request.
func (b *RetryBudget) RecordRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+tokensPerRequest, maxTokens)
}

// Take takes one retry token and reports whether there was one.
func (b *RetryBudget) Take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Jitter returns a random duration in [d, 1.5d], so that callers refused together do
// not retry together.
func Jitter(d time.Duration) time.Duration {
	if d <= 0 {
		return d
	}
	return d + time.Duration(rand.Int64N(int64(d)/2+1))
}
