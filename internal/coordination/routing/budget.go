package routing

import (
	"math"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/skylarkwood/skylarkwood/internal/coordination/flow"
)

const (
	// maxLinkUtilization is how much of a link's rate is given out. A link driven to
	// its full rate by arrivals at random builds a queue without end.
	maxLinkUtilization = 0.95
	// linkBurstSeconds is how many seconds' worth may be given out at once.
	linkBurstSeconds = 2.0
)

// linkBudget gives out positions on the links that have a limit. A gate knows
// how full its engine is, but nobody stands at a link: without a budget, chains
// over slow links look free while their positions queue up. Each entry has its
// share; none asks another.
type linkBudget struct {
	links    Links
	mu       sync.Mutex
	limiters map[[2]string]*rate.Limiter
}

func newLinkBudget(l Links) *linkBudget {
	return &linkBudget{links: l, limiters: map[[2]string]*rate.Limiter{}}
}

// limiter gives the share of a link, nil if it has no limit.
func (b *linkBudget) limiter(from, to string, now time.Time) *rate.Limiter {
	limit := b.links.Rate(from, to)
	if math.IsInf(limit, 1) {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	share := limit * maxLinkUtilization / float64(max(b.links.RouterCount(), 1))
	key := [2]string{from, to}
	l, ok := b.limiters[key]
	burst := int(math.Ceil(share*linkBurstSeconds)) + 1
	if !ok {
		l = rate.NewLimiter(rate.Limit(share), burst)
		b.limiters[key] = l
	}
	if l.Limit() != rate.Limit(share) {
		l.SetLimitAt(now, rate.Limit(share))
		l.SetBurstAt(now, burst)
	}
	return l
}

// allows tells whether the links of a planned chain have room. A share smaller
// than one request lets it through when the share is whole.
func (b *linkBudget) allows(pl *plan, c flow.Chain, positions int, now time.Time) bool {
	for i := 0; i+1 < len(c.Groups); i++ {
		l := b.limiter(pl.groups[c.Groups[i]].Domain, pl.groups[c.Groups[i+1]].Domain, now)
		if l != nil && l.TokensAt(now) < math.Min(float64(positions), float64(l.Burst())) {
			return false
		}
	}
	return true
}

// reserve uses up the links of a chosen chain.
func (b *linkBudget) reserve(chain []Stage, positions int, now time.Time) {
	for i := 0; i+1 < len(chain); i++ {
		l := b.limiter(chain[i].Member.Instance.FailureDomain, chain[i+1].Member.Instance.FailureDomain, now)
		if l != nil {
			l.ReserveN(now, min(positions, l.Burst()))
		}
	}
}
