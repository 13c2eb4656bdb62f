package placement

import (
	"maps"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/skylarkwood/skylarkwood/internal/model"
)

const (
	// suspicionDelay is how long there must have been evidence against an engine before it
	// no longer counts as a holder. Shorter suspicions end with the next response.
	suspicionDelay = 500 * time.Millisecond
	// missingMoveDelay replaces idleDomainGapDelay where failure domains must serve alone.
	// In this time the entry of a restarted engine may arrive.
	missingMoveDelay = 500 * time.Millisecond
	// extraLoadShare is the share of the ordinary loads by which extensions that are not
	// strictly required may increase the number of loads.
	extraLoadShare = 0.25
	// initialExtraLoads is how many of these loads are possible before any ordinary one: an
	// extension takes up to two engines, one on each side.
	initialExtraLoads = 2
)

// servesAlone reports whether each failure domain of a service is planned to hold all
// layers: the link between them is limited, and there are or recently were several. Before
// there is traffic, thousands of engines load at once, and the first plan covers all layers
// anyway. The caller holds c.mu.
func (c *Controller) servesAlone(svc *model.Service) bool {
	n := 0
	for key := range c.domains {
		if key.service == svc.Name {
			n++
		}
	}
	return svc.Engine.InterconnectMbps > 0 && n > 1 && c.HasTraffic()
}

// livingEngines returns the planner's view of the engines that answer: those that the plan
// contains, however new they are, and the others, in the order in which they appeared.
func (c *Controller) livingEngines(svc *model.Service, servers []*model.BackendServer, plan Plan, now time.Time) (planned, others []Engine) {
	servers = c.withoutUnreachable(servers)
	servers = slices.SortedStableFunc(slices.Values(servers), func(a, b *model.BackendServer) int {
		return c.appearedAt[a.Incarnation()].Compare(c.appearedAt[b.Incarnation()])
	})
	for _, e := range c.plannerEngines(svc, servers, now, 0) {
		if _, ok := plan[e.Address]; ok {
			planned = append(planned, e)
		}
	}
	for _, e := range c.plannerEngines(svc, servers, now, earlyEngineDelay) {
		if _, ok := plan[e.Address]; !ok {
			others = append(others, e)
		}
	}
	return planned, others
}

// coverDomains applies the rules by which each failure domain holds all layers. It returns
// the changed plan and the engines that the other rules of the planner may use.
func (c *Controller) coverDomains(svc *model.Service, servers []*model.BackendServer, plan Plan, now time.Time) (next Plan, usable []Engine) {
	planned, others := c.livingEngines(svc, servers, plan, now)
	next, _ = assignNewEngines(svc.Engine, plan, planned, others, c.domainOf)
	planned, others = c.livingEngines(svc, servers, next, now)
	usable = slices.Clone(planned)
	settled := indexByAddress(c.plannerEngines(svc, servers, now, newEngineDelay))
	for _, e := range others {
		if _, ok := settled[e.Address]; ok {
			usable = append(usable, e)
		}
	}
	byAddress := map[string]*model.BackendServer{}
	for _, b := range servers {
		byAddress[b.Address] = b
	}
	for _, group := range groupByDomain(planned) {
		d := domainCoverage{spec: svc.Engine, now: now, missingSince: c.missingSince(svc.Name, group[0].Domain)}
		for _, e := range group {
			d.engines = append(d.engines, c.domainEngine(svc, byAddress[e.Address], e, next[e.Address], now))
		}
		next = c.coverDomain(svc.Name, d, next)
	}
	return next, usable
}

// coverDomain applies the rules to one failure domain. At most one of the changes that are
// not strictly required is made at once.
func (c *Controller) coverDomain(service string, d domainCoverage, plan Plan) Plan {
	state := c.domains[domainKey{service, d.engines[0].Domain}]
	if state == nil || !state.wasComplete && d.now.Sub(state.incompleteSince) < settleDelay {
		return plan // its engines are loading for the first time
	}
	next, covered := d.coverLost(plan)
	if !state.wasComplete && len(UncoveredLayers(d.spec, next, d.plannerEngines())) > 0 {
		return plan // it has too few engines to serve alone
	}
	if covered || !state.wasComplete {
		return next
	}
	if extended, changed := d.coverDelayed(next); changed {
		if c.admitExtra(next, extended, initialExtraLoads) {
			return extended
		}
		return next
	}
	if !state.incompleteSince.IsZero() || d.now.Sub(state.adjustedAt) < adjustInterval {
		return next
	}
	if reduced, changed := d.undoExtension(next, c.extendedFrom[service]); changed {
		state.adjustedAt = d.now
		return reduced
	}
	if extended, changed := d.addSecondHolder(next); changed && c.admitExtra(next, extended, 0) {
		state.adjustedAt = d.now
		return extended
	}
	return next
}

// domainEngine returns the coverage rules' view of an engine.
func (c *Controller) domainEngine(svc *model.Service, b *model.BackendServer, e Engine, planned model.LayerRange, now time.Time) domainEngine {
	inc := b.Incarnation()
	d := domainEngine{Engine: e, held: b.Holds, suspected: c.suspectedFor(inc, now) >= suspicionDelay}
	if c.UsedTokenLayers != nil {
		d.usedTokenLayers = c.UsedTokenLayers(inc)
	}
	o, pending := c.pending[inc]
	withheld := c.withheld(b, planned)
	d.loading = planned != b.Holds || pending || withheld
	if planned == b.Holds || withheld || c.refusedUnchanged(b, planned) {
		return d
	}
	switch {
	case pending && o.want == planned && !o.readyAt.IsZero():
		d.readyAt = o.readyAt
	case !pending && extends(planned, b.Holds):
		d.readyAt = now.Add(loadTime(svc.Engine, addedLayers(planned, b.Holds)))
	}
	return d
}

// withheld reports whether no order to hold a range may be sent to an engine at present.
func (c *Controller) withheld(b *model.BackendServer, want model.LayerRange) bool {
	return !c.mayLoad(b.Address, want) || c.Paused != nil && c.Paused(b.Incarnation()) || c.misdirected(b)
}

// observeSuspicions records since when there has been evidence against engines. If it
// exists against many, this router is probably disconnected, and none is recorded. The
// caller holds c.mu.
func (c *Controller) observeSuspicions(servers []*model.BackendServer, now time.Time) {
	suspected := map[model.Incarnation]bool{}
	for _, b := range servers {
		inc := b.Incarnation()
		if c.Suspected != nil && c.Suspected(inc) && !(c.Paused != nil && c.Paused(inc)) {
			suspected[inc] = true
		}
	}
	if float64(len(suspected)) > max(maxUnreachableShare*float64(len(servers)), 1) {
		clear(suspected)
	}
	for _, b := range servers {
		if !suspected[b.Incarnation()] {
			delete(c.suspectedSince, b.Incarnation())
		}
	}
	listed := c.Catalog.Load()
	maps.DeleteFunc(c.suspectedSince, func(inc model.Incarnation, _ time.Time) bool { return listed.Find(inc) == nil })
	for inc := range suspected {
		if _, ok := c.suspectedSince[inc]; !ok {
			c.suspectedSince[inc] = now
		}
	}
}

// suspectedFor returns for how long there has been evidence against an engine, or a negative
// duration if there is none.
func (c *Controller) suspectedFor(inc model.Incarnation, now time.Time) time.Duration {
	since, ok := c.suspectedSince[inc]
	if !ok {
		return -1
	}
	return now.Sub(since)
}

// admitExtra reports whether the extra loads, with those of a changed plan, are no more than
// extraLoadShare of the ordinary loads plus an allowance. If so, it records those of the plan.
func (c *Controller) admitExtra(before, after Plan, allowance int) bool {
	added := map[string]model.LayerRange{}
	for addr, held := range after {
		if before[addr] != held && c.extraPlanned[addr] != held {
			added[addr] = held
		}
	}
	total := c.extraLoads + len(c.extraPlanned) + len(added)
	if float64(total) > extraLoadShare*float64(c.ordinaryLoads)+float64(allowance) {
		return false
	}
	maps.Copy(c.extraPlanned, added)
	return true
}

// countLoad counts an order that an engine may carry out. Loads in failure domains that have
// not been complete belong to the start of the deployment and do not count.
func (c *Controller) countLoad(service string, b *model.BackendServer, want model.LayerRange) {
	switch {
	case c.extraPlanned[b.Address] == want && want.Len() > 0:
		c.extraLoads++
		delete(c.extraPlanned, b.Address)
	case c.wasComplete(service, b.FailureDomain):
		c.ordinaryLoads++
	}
}

// restoringEngines returns the engines, by address, whose planned range contains layers
// that their failure domain lacks.
func (c *Controller) restoringEngines(svc *model.Service, servers []*model.BackendServer, plan Plan) map[string]bool {
	restoring := map[string]bool{}
	for _, b := range servers {
		if !c.wasComplete(svc.Name, b.FailureDomain) {
			continue
		}
		for l, since := range c.missingSince(svc.Name, b.FailureDomain) {
			if !since.IsZero() && contains(plan[b.Address], l) {
				restoring[b.Address] = true
			}
		}
	}
	return restoring
}

// logChanges logs the ranges in which a stored plan differs from the previous one. Planned
// extra loads that are not in it, or in the plan of another service, are dropped.
func (c *Controller) logChanges(service string, before, after Plan) {
	c.mu.Lock()
	defer c.mu.Unlock()
	maps.DeleteFunc(c.extraPlanned, func(addr string, held model.LayerRange) bool {
		planned, ok := after[addr]
		return ok && planned != held || !ok && !c.isPlanned(addr)
	})
	for _, addr := range slices.Sorted(maps.Keys(after)) {
		old, ok := before[addr]
		held := after[addr]
		switch {
		case !ok:
			klog.InfoS("engine planned", "service", service, "address", addr, "domain", c.domainOf[addr], "to", held.String())
		case old != held:
			klog.InfoS("planned range changed", "service", service, "address", addr, "domain", c.domainOf[addr], "from", old.String(), "to", held.String())
		}
	}
}
