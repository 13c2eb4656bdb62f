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
	// subsetFrom is the number of engines from which on a router considers a subset.
	subsetFrom = 300
	// holdersKept is how many engines with the same layers, in the same failure
	// domain, a router considers. More than two are for engines that are full or lost.
	holdersKept = 4
)

// subsets remembers what a router looks at of each service's engines, as long as
// the engines stay the same.
type subsets struct {
	mu   sync.Mutex
	of   *catalog.Snapshot
	kept map[string][]*model.BackendServer
}

// together is how many of the routers, this one included, a failure domain has on
// average: those that send to the same engines in the same situation.
func (c *Chooser) together(routers int) float64 {
	return math.Max(float64(routers)/float64(max(c.Catalog.Load().Domains(), 1)), 1)
}

// engines lists the engines that a search for a chain considers. The cost of a search
// grows with them. Routers keep different holders of each range, so that together they
// use all engines.
func (c *Chooser) engines(service string) []*model.BackendServer {
	snapshot := c.Catalog.Load()
	all := snapshot.Service(service)
	if len(all) < subsetFrom {
		return all
	}
	c.subsets.mu.Lock()
	defer c.subsets.mu.Unlock()
	if c.subsets.of != snapshot {
		c.subsets.of = snapshot
		c.subsets.kept = map[string][]*model.BackendServer{}
	}
	kept, ok := c.subsets.kept[service]
	if !ok {
		kept = keep(all, c.Self)
		c.subsets.kept[service] = kept
	}
	return kept
}

// twins is what engines have in common that stand in for each other.
type twins struct {
	domain string
	holds  model.LayerRange
}

// keep chooses a router's holders of each range.
func keep(all []*model.BackendServer, self string) []*model.BackendServer {
	groups := map[twins][]*model.BackendServer{}
	for _, b := range all {
		k := twins{domain: b.FailureDomain, holds: b.Holds}
		groups[k] = append(groups[k], b)
	}
	var out []*model.BackendServer
	for _, group := range groups {
		if len(group) > holdersKept {
			rank := map[string]uint64{}
			for _, b := range group {
				rank[b.ID] = spread.Hash(self, b.ID)
			}
			sort.Slice(group, func(i, j int) bool { return rank[group[i].ID] < rank[group[j].ID] })
			group = group[:holdersKept]
		}
		out = append(out, group...)
	}
	slices.SortFunc(out, func(a, b *model.BackendServer) int { return strings.Compare(a.ID, b.ID) })
	return out
}
