package chains

import (
	"math"
	"time"

	"github.com/skylarkwood/skylarkwood/internal/coordination/share"
	"github.com/skylarkwood/skylarkwood/internal/model"
)

// PairDemand is the demand of a router for an interconnect at a priority, in Mbit/s.
type PairDemand struct {
	DomainPair
	share.Demand
}

// PairShare is a PairDemand with the share of this router. Share is the usable rate while the
// demand of all routers is below it.
type PairShare struct {
	PairDemand
	Share float64
}

// AllowsShare reports whether a request may be added between two domains within this
// router's share at the priority of the request.
func (ic *Interconnect) AllowsShare(a, b string, r share.Request) bool {
	ic.mu.Lock()
	defer ic.mu.Unlock()
	return ic.sharesOf(pairOf(a, b)).Allows(r)
}

// RecordUnmet records that a request of mbit waits or was refused for lack of interconnect
// capacity between two domains.
func (ic *Interconnect) RecordUnmet(a, b string, priority int, mbit float64) {
	ic.mu.Lock()
	defer ic.mu.Unlock()
	ic.sharesOf(pairOf(a, b)).RecordUnmet(priority, mbit)
}

// sharesOf returns the shares of a pair. They exist only where a request of a service with
// prioritized routes asked for the interconnect. The caller holds ic.mu.
func (ic *Interconnect) sharesOf(pair DomainPair) *share.Shares {
	s, ok := ic.shares[pair]
	if ok {
		return s
	}
	s = share.New(ic.now, ic.phase)
	ic.shares[pair] = s
	now := ic.now()
	for name, p := range ic.peers {
		if ttl := p.expires.Sub(now); ttl > 0 {
			s.Report(name, 0, p.demandsFor(pair), p.interval, ttl)
		}
	}
	// AddUse evaluates the reports, which are not evaluated again for an interval. So they come
	// first.
	if d, ok := ic.own[pair]; ok {
		s.AddUse(0, d.read(now, rateDecayTime)*rateDecayTime.Seconds())
	}
	return s
}

// demandsFor returns the demand of a peer for an interconnect. The traffic of a peer without
// prioritized requests, or of an older version, counts at the most urgent priority.
func (p *peerRates) demandsFor(pair DomainPair) []share.Demand {
	if d := p.demands[pair]; len(d) > 0 {
		return d
	}
	if rate := p.rates[pair]; rate > 0 {
		return []share.Demand{{Used: rate}}
	}
	return nil
}

// SetPeerDemands stores what another router reported: the traffic of its streams and its
// demand at each priority. It is valid for ttl; the next report follows after interval.
func (ic *Interconnect) SetPeerDemands(peer string, rates map[DomainPair]float64, demands []PairDemand, interval, ttl time.Duration) {
	ic.mu.Lock()
	defer ic.mu.Unlock()
	p := peerRates{expires: ic.now().Add(ttl), rates: rates, interval: interval, demands: map[DomainPair][]share.Demand{}}
	for _, d := range demands {
		pair := pairOf(d.A, d.B)
		p.demands[pair] = append(p.demands[pair], d.Demand)
	}
	ic.peers[peer] = p
	for pair, s := range ic.shares {
		s.Report(peer, 0, p.demandsFor(pair), interval, ttl)
	}
}

// Demands returns the demand of this router to report to the others.
func (ic *Interconnect) Demands() []PairDemand {
	ic.mu.Lock()
	defer ic.mu.Unlock()
	var out []PairDemand
	for pair, s := range ic.shares {
		for _, d := range s.Demands() {
			out = append(out, PairDemand{DomainPair: pair, Demand: d})
		}
	}
	return out
}

// Shares returns the demand of this router and its share at each priority.
func (ic *Interconnect) Shares() []PairShare {
	ic.mu.Lock()
	defer ic.mu.Unlock()
	var out []PairShare
	for pair, s := range ic.shares {
		for _, d := range s.Demands() {
			out = append(out, PairShare{PairDemand: PairDemand{DomainPair: pair, Demand: d}, Share: s.Share(d.Priority)})
		}
	}
	return out
}

// RecordUnmet records that a request waits or was refused because Choose returned
// InterconnectExhausted. The demand counts at the full interconnects of the chain that it would
// get without their limits. It is called once per request and second. tokens is the length of the
// prompt.
func (c *Chooser) RecordUnmet(svc *model.Service, req Requirements, tokens int) {
	if !req.Prioritized || svc.Engine.InterconnectMbps <= 0 {
		return
	}
	s := c.newSearch(c.engines(svc.Name), svc, req)
	limited := s.crossing
	s.crossing = withoutInterconnectLimits(limited)
	domains := map[string]int{} // domain indexes
	for _, cand := range s.cands {
		domains[cand.server.FailureDomain] = cand.domain
	}
	stages := s.shortest()
	for i := 1; i < len(stages); i++ {
		a, b := stages[i-1].Server.FailureDomain, stages[i].Server.FailureDomain
		if math.IsInf(limited[domains[a]][domains[b]], 1) {
			c.Interconnect.RecordUnmet(a, b, req.Priority, CrossDomainMbit(svc.Engine, tokens))
		}
	}
}
