package routing

import (
	"math"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/skylarkwood/skylarkwood/internal/coordination/flow"
)

const (
	// linkHeadroom is how much of a link's rate is given out. A link driven to
	// its full rate by arrivals at random builds a queue without end.
	linkHeadroom = 0.95
	// linkBurst is how many seconds' worth may be given out at once.
	linkBurst = 2.0
)

// linkBudget gives out positions on the links that have a limit. A gate knows
// how full its engine is, but nobody stands at a link: without a budget, chains
// over slow links look free while their positions queue up. Each entry has its
// share; none asks another.
type linkBudget struct {
	links Links
	mu    sync.Mutex
	buys  map[[2]string]*rate.Limiter
}

func newLinkBudget(l Links) *linkBudget {
	return &linkBudget{links: l, buys: map[[2]string]*rate.Limiter{}}
}

// limiter gives the share of a link, nil if it has no limit.
func (b *linkBudget) limiter(from, to string, now time.Time) *rate.Limiter {
	limit := b.links.Rate(from, to)
	if math.IsInf(limit, 1) {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	share := limit * linkHeadroom / float64(max(b.links.RouterCount(), 1))
	key := [2]string{from, to}
	l, ok := b.buys[key]
	burst := int(math.Ceil(share*linkBurst)) + 1
	if !ok {
		l = rate.NewLimiter(rate.Limit(share), burst)
		b.buys[key] = l
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

// take uses up the links of a chosen chain.
func (b *linkBudget) take(chain []Stage, positions int, now time.Time) {
	for i := 0; i+1 < len(chain); i++ {
		l := b.limiter(chain[i].Member.Instance.FailureDomain, chain[i+1].Member.Instance.FailureDomain, now)
		if l != nil {
			l.ReserveN(now, min(positions, l.Burst()))
		}
	}
}
