package routing

import (
	"math"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/skylarkwood/skylarkwood/internal/coordination/flow"
)

const (
	// maxLinkUtilization is the share of a link's rate that may be used. With random
	// arrivals the queue of a fully used link grows without bound.
	maxLinkUtilization = 0.95
	// linkBurstSeconds is the burst size in seconds of the link's rate.
	linkBurstSeconds = 2.0
)

// linkBudget limits the positions that new requests send over rate-limited links. Engines
// report their load, but links do not: without a budget, chains over slow links look idle
// while positions queue there. Each entry uses an equal share of a link's rate.
type linkBudget struct {
	links    Links
	mu       sync.Mutex
	limiters map[[2]string]*rate.Limiter
}

func newLinkBudget(l Links) *linkBudget {
	return &linkBudget{links: l, limiters: map[[2]string]*rate.Limiter{}}
}

// limiter returns the limiter for this process's share of a link, or nil if the link has no
// limit.
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

// allows reports whether the links of a planned chain have capacity. A request larger than
// the burst is allowed when the burst is fully available.
func (b *linkBudget) allows(pl *plan, c flow.Chain, positions int, now time.Time) bool {
	for i := 0; i+1 < len(c.Groups); i++ {
		l := b.limiter(pl.groups[c.Groups[i]].Domain, pl.groups[c.Groups[i+1]].Domain, now)
		if l != nil && l.TokensAt(now) < math.Min(float64(positions), float64(l.Burst())) {
			return false
		}
	}
	return true
}

// reserve consumes the budget of the links of a chosen chain.
func (b *linkBudget) reserve(chain []Stage, positions int, now time.Time) {
	for i := 0; i+1 < len(chain); i++ {
		l := b.limiter(chain[i].Member.Instance.FailureDomain, chain[i+1].Member.Instance.FailureDomain, now)
		if l != nil {
			l.ReserveN(now, min(positions, l.Burst()))
		}
	}
}
