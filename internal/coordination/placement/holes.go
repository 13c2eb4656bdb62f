package placement

import (
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/skylarkwood/skylarkwood/internal/model"
)

const (
	// domainGapDelay is how long layers may be missing in one failure domain before its
	// engines are moved. Other failure domains serve these layers meanwhile, so there is
	// time for an engine to restart.
	domainGapDelay = 4 * time.Second
	// idleDomainGapDelay applies instead if engines without streams can be moved, since
	// these load at once.
	idleDomainGapDelay = time.Second
	// maxUnreachableShare is the share of a service's engines above which this router
	// assumes that it is itself disconnected.
	maxUnreachableShare = 0.15
	// domainGapInterval is the time between two checks of failure domains for missing
	// layers.
	domainGapInterval = time.Second
)

// repairDomains returns a plan that covers the layers that failure domains have lacked for
// a while.
func (c *Controller) repairDomains(svc *model.Service, plan Plan, engines []Engine, now time.Time) Plan {
	interval, delay := domainGapInterval, idleDomainGapDelay
	if c.servesAlone(svc) {
		interval, delay = 0, missingMoveDelay
	}
	if now.Sub(c.domainGapCheckedAt[svc.Name]) < interval {
		return plan
	}
	c.domainGapCheckedAt[svc.Name] = now
	trusted, idle := c.trustedAndIdle(svc)
	repaired, changed := RepairDomains(svc.Engine, plan, engines, idle)
	if !changed {
		delay = domainGapDelay
		repaired, changed = RepairDomains(svc.Engine, plan, engines, trusted)
	}
	if !changed {
		delete(c.domainGapSince, svc.Name)
		return plan
	}
	elapsed := elapsedSince(c.domainGapSince, svc.Name, now)
	if elapsed < delay {
		return plan
	}
	klog.InfoS("plan repaired: a failure domain lacked layers", "service", svc.Name, "for", elapsed)
	delete(c.domainGapSince, svc.Name)
	return repaired
}

// resetDomainGap restarts the delay before a domain repair. A process that was not the
// leader or could not read the store may know engines that have exited.
func (c *Controller) resetDomainGap(service string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.domainGapSince, service)
}

// trustedAndIdle returns two predicates on engine addresses: whether an engine is not
// suspected, and whether it also runs no streams.
func (c *Controller) trustedAndIdle(svc *model.Service) (trusted, idle func(address string) bool) {
	suspected := map[string]bool{}
	busy := map[string]bool{}
	for _, b := range c.Catalog.Load().Service(svc.Name) {
		suspected[b.Address] = c.Suspected != nil && c.Suspected(b.Incarnation())
		busy[b.Address] = c.StreamCount == nil || c.StreamCount(b.Incarnation()) >= 1
	}
	trusted = func(address string) bool { return !suspected[address] }
	idle = func(address string) bool { return !suspected[address] && !busy[address] }
	return trusted, idle
}

// withoutUnreachable removes engines that do not answer this router. The entry of a silent
// engine expires only after several heartbeats, and not at all while the store is
// unavailable.
func (c *Controller) withoutUnreachable(servers []*model.BackendServer) []*model.BackendServer {
	if c.Unreachable == nil {
		return servers
	}
	reachable := slices.DeleteFunc(slices.Clone(servers), func(b *model.BackendServer) bool { return c.Unreachable(b.Incarnation()) })
	if unreachable := len(servers) - len(reachable); float64(unreachable) > max(maxUnreachableShare*float64(len(servers)), 1) {
		return servers
	}
	return reachable
}

// gapPersists reports whether some layer has been held by no engine for at least gapDelay.
func (c *Controller) gapPersists(svc *model.Service, plan Plan, engines []Engine, now time.Time) bool {
	if len(UncoveredLayers(svc.Engine, plan, engines)) == 0 {
		delete(c.gapSince, svc.Name)
		return false
	}
	return elapsedSince(c.gapSince, svc.Name, now) >= gapDelay
}

// elapsedSince returns how long a condition has lasted for a service, and records now as
// its start if it is new.
func elapsedSince(since map[string]time.Time, service string, now time.Time) time.Duration {
	start, ok := since[service]
	if !ok {
		since[service] = now
		return 0
	}
	return now.Sub(start)
}
