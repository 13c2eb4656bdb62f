package ratelimit

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/skylarkwood/skylarkwood/internal/coordination/spread"
	"github.com/skylarkwood/skylarkwood/internal/model"
)

const (
	// shareTTL is how long a share is used before the routers are ranked again.
	shareTTL = 500 * time.Millisecond
	// minShare is the smallest share in requests per second into which a limit is divided.
	minShare = 2
)

// share is this router's part of a limit.
type share struct {
	rate    float64 // requests per second
	holders int     // number of routers that have one
	expires time.Duration
}

// shareOf returns this router's share of a limit. With equal shares a low limit would allow
// each of hundreds of routers one request a minute, most of them at moments when they have
// none. So the limit is divided into shares of minShare or more. All routers rank each other alike for a server, by rendezvous hashing, and agree on these
// without messages. The caller holds t.mu.
func (t *Tracker) shareOf(inc model.Incarnation, l *limit) share {
	now := t.clock()
	if now < l.share.expires {
		return l.share
	}
	before := l.share
	names := t.ranked(inc, int((now-l.at)/silenceTimeout))
	rate := max(l.rate, minRate)
	holders := min(max(int(rate/minShare), 1), len(names))
	l.share = share{holders: holders, expires: now + shareTTL}
	if slices.Contains(names[:holders], t.self) {
		l.share.rate = rate / float64(holders)
	}
	if before.rate == 0 && l.share.rate > 0 {
		// The router whose share this was may just have used it.
		l.tokens, l.filledAt = 0, now
	}
	return l.share
}

// ranked returns all routers in the order in which they get shares of a server's limit: first
// those of its failure domain, which have most requests for it. Each later round has another
// order, regardless of domains.
func (t *Tracker) ranked(inc model.Incarnation, round int) []string {
	type rankedRouter struct {
		Router
		rank uint64
	}
	var routers []rankedRouter
	for _, r := range t.routers(inc) {
		routers = append(routers, rankedRouter{Router: r})
	}
	if !slices.ContainsFunc(routers, func(r rankedRouter) bool { return r.Name == t.self }) {
		routers = append(routers, rankedRouter{Router: Router{Name: t.self}})
	}
	seed := strconv.Itoa(round)
	for i := range routers {
		routers[i].rank = spread.Hash(inc.ID, seed, routers[i].Name)
	}
	slices.SortFunc(routers, func(a, b rankedRouter) int {
		if round == 0 && a.Near != b.Near {
			if a.Near {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.Name, b.Name))
	})
	names := make([]string, len(routers))
	for i, r := range routers {
		names[i] = r.Name
	}
	return names
}
