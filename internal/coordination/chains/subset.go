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
	// minEnginesForSubset is the number of engines from which a router considers only a
	// subset.
	minEnginesForSubset = 300
	// maxHolders is the maximum number of engines with the same layers and failure domain
	// that a router considers. More than two are needed for engines that are full or lost.
	maxHolders = 4
)

// subsets caches the considered engines of each service for one catalog snapshot.
type subsets struct {
	mu        sync.Mutex
	snapshot  *catalog.Snapshot
	byService map[string][]*model.BackendServer
}

// routersPerDomain returns the average number of routers per failure domain, this one
// included. The routers of a domain tend to select the same engines.
func (c *Chooser) routersPerDomain(routers int) float64 {
	return math.Max(float64(routers)/float64(max(c.Catalog.Load().Domains(), 1)), 1)
}

// engines returns the engines that a search considers. The cost of a search grows with
// their number. The subsets of different routers differ, so that together they use all
// engines.
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
	subset, ok := c.subsets.byService[service]
	if !ok {
		subset = selectHolders(all, c.Self)
		c.subsets.byService[service] = subset
	}
	return subset
}

// holderGroup identifies engines that can substitute for each other.
type holderGroup struct {
	domain string
	holds  model.LayerRange
}

// selectHolders returns this router's subset of the engines.
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
