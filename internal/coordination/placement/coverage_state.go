package placement

import (
	"slices"
	"strings"
	"time"

	"k8s.io/klog/v2"

	"github.com/skylarkwood/skylarkwood/internal/model"
)

// idleObservationInterval is the time between two observations of the failure domains by a router
// that does not lead, or before there is traffic. With thousands of engines an observation takes
// milliseconds on each router.
const idleObservationInterval = time.Second

// domainRetention is how long the state of a failure domain without engines is kept.
const domainRetention = 10 * time.Minute

// coverageState is the state of the rules by which failure domains hold all layers. It is part
// of a Controller and guarded by Controller.mu.
type coverageState struct {
	domains        map[domainKey]*domainState
	observedAt     map[string]time.Time            // the last observation of each service that observationDue allowed
	domainOf       map[string]string               // failure domains by address
	suspectedSince map[model.Incarnation]time.Time // since when there has been evidence against engines
	refusals       map[model.Incarnation]refusal   // the last refused order of each engine
	// ordinaryLoads and extraLoads count the loads that were ordered in failure domains that
	// had been complete. extraPlanned holds the planned extra loads by address.
	ordinaryLoads, extraLoads int
	extraPlanned              map[string]model.LayerRange
	// extendedFrom holds, by service, the ranges that extended engines had before.
	extendedFrom map[string]Plan
	// lastWriteFailed is set if the last plan could not be stored and no other process led.
	lastWriteFailed bool
}

func newCoverageState() coverageState {
	return coverageState{
		domains: map[domainKey]*domainState{}, observedAt: map[string]time.Time{}, domainOf: map[string]string{}, suspectedSince: map[model.Incarnation]time.Time{},
		refusals: map[model.Incarnation]refusal{}, extraPlanned: map[string]model.LayerRange{}, extendedFrom: map[string]Plan{},
	}
}

// domainKey identifies a failure domain of a service.
type domainKey struct{ service, domain string }

// domainState is what is known of the layers that a failure domain holds.
type domainState struct {
	// missingSince is, by layer, the time since when no engine of the domain holds it, zero
	// if one does.
	missingSince []time.Time
	// incompleteSince is since when some layer is missing, zero if none is.
	incompleteSince time.Time
	// wasComplete is set once the domain has held all layers. Until then its engines are
	// loading for the first time.
	wasComplete bool
	// logged is set while the log shows that the domain lacks layers.
	logged bool
	// adjustedAt is when the plan of the complete domain was last changed.
	adjustedAt time.Time
}

// update records which layers are held.
func (s *domainState) update(held []bool, now time.Time) {
	if len(s.missingSince) != len(held) {
		s.missingSince = make([]time.Time, len(held))
	}
	for l, ok := range held {
		switch {
		case ok:
			s.missingSince[l] = time.Time{}
		case s.missingSince[l].IsZero():
			s.missingSince[l] = now
		}
	}
	complete := !slices.Contains(held, false)
	switch {
	case complete:
		s.wasComplete = true
		s.incompleteSince = time.Time{}
	case s.incompleteSince.IsZero():
		s.incompleteSince = now
	}
}

// missing returns the layers that are missing.
func (s *domainState) missing() []int {
	var out []int
	for l, since := range s.missingSince {
		if !since.IsZero() {
			out = append(out, l)
		}
	}
	return out
}

// observeDomains updates what is known of the failure domains of a service, and reports
// whether they are planned to serve alone. All routers do so, so that a new leader knows
// since when layers have been missing. Only the leader logs.
func (c *Controller) observeDomains(svc *model.Service, leads bool) (alone bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if svc.Engine.InterconnectMbps <= 0 {
		return false
	}
	now := c.Now()
	all := c.Catalog.Load().All(svc.Name)
	c.observeSuspicions(all, now)
	held := c.heldLayers(svc, all, now)
	for domain, layers := range held {
		key := domainKey{svc.Name, domain}
		if c.domains[key] == nil {
			c.domains[key] = &domainState{}
		}
		c.domains[key].update(layers, now)
	}
	alone = c.servesAlone(svc)
	for key, s := range c.domains {
		if key.service != svc.Name {
			continue
		}
		if _, ok := held[key.domain]; !ok {
			s.update(make([]bool, svc.Engine.Layers), now)
		}
		if alone && c.OnMissingLayers != nil {
			c.OnMissingLayers(svc.Name, key.domain, len(s.missing()))
		}
		if alone && leads {
			c.logDomain(svc, key, s, all, now)
		}
		if _, ok := held[key.domain]; !ok && now.Sub(s.incompleteSince) > domainRetention {
			c.removeDomain(key)
		}
	}
	c.observeAddresses(svc, all)
	return alone
}

// observationDue reports whether a router that does not lead, or has no traffic, observes the
// failure domains of a service now.
func (c *Controller) observationDue(service string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.Now()
	if now.Sub(c.observedAt[service]) < idleObservationInterval {
		return false
	}
	c.observedAt[service] = now
	return true
}

// removeDomain removes the state of a failure domain that has had no engines for a while.
func (c *Controller) removeDomain(key domainKey) {
	delete(c.domains, key)
	if c.OnMissingLayers != nil {
		c.OnMissingLayers(key.service, key.domain, 0)
	}
}

// heldLayers returns, by failure domain, which layers an engine holds that can get new
// streams.
func (c *Controller) heldLayers(svc *model.Service, all []*model.BackendServer, now time.Time) map[string][]bool {
	usable := map[string]bool{}
	for _, b := range c.withoutUnreachable(c.Catalog.Load().Service(svc.Name)) {
		usable[b.Address] = c.suspectedFor(b.Incarnation(), now) < suspicionDelay
	}
	held := map[string][]bool{}
	for _, b := range all {
		if held[b.FailureDomain] == nil {
			held[b.FailureDomain] = make([]bool, svc.Engine.Layers)
		}
		if !usable[b.Address] {
			continue
		}
		for l := b.Holds.From; l < min(b.Holds.To, svc.Engine.Layers); l++ {
			held[b.FailureDomain][l] = true
		}
	}
	return held
}

// logDomain logs once that a failure domain lacks layers, and once that it no longer does.
func (c *Controller) logDomain(svc *model.Service, key domainKey, s *domainState, all []*model.BackendServer, now time.Time) {
	incomplete := !s.incompleteSince.IsZero()
	switch {
	case incomplete && !s.logged && (s.wasComplete || now.Sub(s.incompleteSince) > maxSettleDelay+svc.Engine.LoadTime):
		s.logged = true
		klog.InfoS("failure domain lacks layers", "service", key.service, "domain", key.domain, "layers", formatRuns(s.missing()), "since", s.incompleteSince, "why", c.missingReasons(svc, key.domain, s.missing(), all))
	case !incomplete && s.logged:
		s.logged = false
		klog.InfoS("failure domain holds all layers again", "service", key.service, "domain", key.domain)
	}
}

func formatRuns(layers []int) string {
	var parts []string
	for _, run := range runs(layers) {
		parts = append(parts, run.String())
	}
	return strings.Join(parts, " ")
}

// missingReasons returns why layers are missing in a failure domain. The reason for a layer is
// the first that applies: a holder is suspected, a holder is leaving, an engine is planned to load
// it, or else its holder has exited.
func (c *Controller) missingReasons(svc *model.Service, domain string, layers []int, all []*model.BackendServer) []string {
	usable := map[string]bool{}
	for _, b := range c.Catalog.Load().Service(svc.Name) {
		usable[b.Address] = true
	}
	plan := c.plans[svc.Name].plan
	var reasons []string
	for _, l := range layers {
		reason := "exited"
		for _, b := range all {
			switch {
			case b.FailureDomain != domain:
			case contains(b.Holds, l) && usable[b.Address]:
				reason = "suspected"
			case contains(b.Holds, l) && reason != "suspected":
				reason = "leaving"
			case contains(plan[b.Address], l) && reason == "exited":
				reason = "loading"
			}
		}
		if !slices.Contains(reasons, reason) {
			reasons = append(reasons, reason)
		}
	}
	return reasons
}

// observeAddresses records the failure domains of engines, which are needed after an engine
// has left. Those of addresses without an engine or a planned range are removed.
func (c *Controller) observeAddresses(svc *model.Service, all []*model.BackendServer) {
	listed := map[string]bool{}
	for _, b := range all {
		c.domainOf[b.Address] = b.FailureDomain
		listed[b.Address] = true
	}
	for addr := range c.domainOf {
		if !listed[addr] && !c.isPlanned(addr) {
			delete(c.domainOf, addr)
		}
	}
}

func (c *Controller) isPlanned(addr string) bool {
	for _, p := range c.plans {
		if _, ok := p.plan[addr]; ok {
			return true
		}
	}
	return false
}

func (c *Controller) missingSince(service, domain string) []time.Time {
	if s := c.domains[domainKey{service, domain}]; s != nil {
		return s.missingSince
	}
	return nil
}

func (c *Controller) wasComplete(service, domain string) bool {
	s := c.domains[domainKey{service, domain}]
	return s != nil && s.wasComplete
}
