package chains

import (
	"math"
	"slices"
	"sort"
	"strings"
	"sync"

	"github.com/skylarkwood/skylarkwood/internal/coordination/catalog"
	"github.com/skylarkwood/skylarkwood/internal/coordination/spread"
	"github.com/skylarkwood/skylarkwood/internal/model"
)

const (
	// minEnginesForSubset is the number of engines from which on a router considers a subset.
	minEnginesForSubset = 300
	// maxHolders is how many engines with the same layers, in the same failure
	// domain, a router considers. More than two are for engines that are full or lost.
	maxHolders = 4
)

// subsets remembers what a router looks at of each service's engines, as long as
// the engines stay the same.
type subsets struct {
	mu        sync.Mutex
	snapshot  *catalog.Snapshot
	byService map[string][]*model.BackendServer
}

// routersPerDomain is how many of the routers, this one included, a failure domain has on
// average: those that send to the same engines in the same situation.
func (c *Chooser) routersPerDomain(routers int) float64 {
	return math.Max(float64(routers)/float64(max(c.Catalog.Load().Domains(), 1)), 1)
}

// engines lists the engines that a search for a chain considers. The cost of a search
// grows with them. Routers keep different holders of each range, so that together they
// use all engines.
func (c *Chooser) engines(service string) []*model.BackendServer {
	snapshot := c.Catalog.Load()
	all := snapshot.Service(service)
	if len(all) < minEnginesForSubset {
		return all
	}
	c.subsets.mu.Lock()
	defer c.subsets.mu.Unlock()
	if c.subsets.snapshot != snapshot {
		c.subsets.snapshot = snapshot
		c.subsets.byService = map[string][]*model.BackendServer{}
	}
	kept, ok := c.subsets.byService[service]
	if !ok {
		kept = selectHolders(all, c.Self)
		c.subsets.byService[service] = kept
	}
	return kept
}

// holderGroup is what engines have in common that stand in for each other.
type holderGroup struct {
	domain string
	holds  model.LayerRange
}

// selectHolders chooses a router's holders of each range.
func selectHolders(all []*model.BackendServer, self string) []*model.BackendServer {
	groups := map[holderGroup][]*model.BackendServer{}
	for _, b := range all {
		k := holderGroup{domain: b.FailureDomain, holds: b.Holds}
		groups[k] = append(groups[k], b)
	}
	var out []*model.BackendServer
	for _, group := range groups {
		if len(group) > maxHolders {
			rank := map[string]uint64{}
			for _, b := range group {
				rank[b.ID] = spread.Hash(self, b.ID)
			}
			sort.Slice(group, func(i, j int) bool { return rank[group[i].ID] < rank[group[j].ID] })
			group = group[:maxHolders]
		}
		out = append(out, group...)
	}
	slices.SortFunc(out, func(a, b *model.BackendServer) int { return strings.Compare(a.ID, b.ID) })
	return out
}
