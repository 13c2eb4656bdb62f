package placement

import (
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/skylarkwood/skylarkwood/internal/model"
)

const (
	// domainGapDelay is how long layers may be missing in one failure domain before engines
	// of it are moved there: other domains serve them meanwhile, so engines that
	// restart are waited for.
	domainGapDelay = 4 * time.Second
	// idleDomainGapDelay is that time where engines that no streams run through can be
	// moved: they load at once, and a load costs less than the callers of a second.
	idleDomainGapDelay = time.Second
	// maxUnreachableShare is the share of a service's engines beyond which this router does not
	// believe that they are lost: it is itself cut off then.
	maxUnreachableShare = 0.15
	// domainGapInterval is between two looks for such layers: one takes 5 ms at 3,000
	// engines.
	domainGapInterval = time.Second
)

// repairDomains makes failure domains whole that have lacked layers for a while.
func (c *Controller) repairDomains(svc *model.Service, plan Plan, engines []Engine, now time.Time) Plan {
	if now.Sub(c.domainGapCheckedAt[svc.Name]) < domainGapInterval {
		return plan
	}
	c.domainGapCheckedAt[svc.Name] = now
	sure, idle := c.trustedAndIdle(svc)
	wait := idleDomainGapDelay
	mended, changed := RepairDomains(svc.Engine, plan, engines, idle)
	if !changed {
		wait = domainGapDelay
		mended, changed = RepairDomains(svc.Engine, plan, engines, sure)
	}
	if !changed {
		delete(c.domainGapSince, svc.Name)
		return plan
	}
	stands := elapsedSince(c.domainGapSince, svc.Name, now)
	if stands < wait {
		return plan
	}
	klog.InfoS("plan mended: a failure domain lacked layers that others held", "service", svc.Name, "for", stands)
	delete(c.domainGapSince, svc.Name)
	return mended
}

// resetDomainGap has holes wait anew: a process that did not lead, or could not hear from
// the store, may know engines that are gone.
func (c *Controller) resetDomainGap(service string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.domainGapSince, service)
}

// trustedAndIdle tells which engines, by address, nobody suspects; idle, which of these no
// streams run through.
func (c *Controller) trustedAndIdle(svc *model.Service) (sure, idle func(address string) bool) {
	suspected := map[string]bool{}
	busy := map[string]bool{}
	for _, b := range c.Catalog.Load().Service(svc.Name) {
		suspected[b.Address] = c.Suspected != nil && c.Suspected(b.Incarnation())
		busy[b.Address] = c.StreamCount == nil || c.StreamCount(b.Incarnation()) >= 1
	}
	sure = func(address string) bool { return !suspected[address] }
	idle = func(address string) bool { return !suspected[address] && !busy[address] }
	return sure, idle
}

// withoutUnreachable leaves out engines that answer nobody here though their entries stand:
// of one that fell silent the entry lapses after several heartbeats, and while the
// store is away not at all.
func (c *Controller) withoutUnreachable(servers []*model.BackendServer) []*model.BackendServer {
	if c.Unreachable == nil {
		return servers
	}
	kept := slices.DeleteFunc(slices.Clone(servers), func(b *model.BackendServer) bool { return c.Unreachable(b.Incarnation()) })
	if lost := len(servers) - len(kept); float64(lost) > max(maxUnreachableShare*float64(len(servers)), 1) {
		return servers
	}
	return kept
}

// gapPersists tells whether some layer has been held by nobody for a while.
func (c *Controller) gapPersists(svc *model.Service, plan Plan, engines []Engine, now time.Time) bool {
	if len(UncoveredLayers(svc.Engine, plan, engines)) == 0 {
		delete(c.gapSince, svc.Name)
		return false
	}
	return elapsedSince(c.gapSince, svc.Name, now) >= gapDelay
}

// elapsedSince is how long a service's trouble has stood; it begins now if it is new.
func elapsedSince(since map[string]time.Time, service string, now time.Time) time.Duration {
	began, ok := since[service]
	if !ok {
		since[service] = now
		return 0
	}
	return now.Sub(began)
}
