package chains

import (
	"math"

	"github.com/skylarkwood/skylarkwood/internal/coordination/catalog"
	"github.com/skylarkwood/skylarkwood/internal/model"
)

// candidateList collects the candidates of one search.
type candidateList struct {
	*Chooser
	spec    *model.EngineSpec
	req     Requirements
	routers int
	// domainPeers is the number of other routers in an average failure domain.
	domainPeers float64
	domains     map[string]int
	out         []candidate
}

func (c *Chooser) candidates(engines []*model.BackendServer, svc *model.Service, req Requirements) []candidate {
	l := candidateList{Chooser: c, spec: svc.Engine, req: req, domains: map[string]int{}, out: make([]candidate, 0, len(engines))}
	l.routers = c.RouterCount() // evaluated once, because it counts all known routers
	l.domainPeers = c.routersPerDomain(l.routers) - 1
	var weak []weakSuspect
	for _, b := range engines {
		inc := b.Incarnation()
		card, ok := l.spec.Card(b.Card)
		if !ok || b.Holds.Len() <= 0 || b.Holds.To > l.spec.Layers || req.Avoid[inc] {
			continue
		}
		view := c.Health.View(inc)
		switch {
		case !view.Suspected:
			l.add(b, card, view, 0)
		case view.Evidence == catalog.Weak && c.CountsWeakEvidence(l.spec):
			weak = append(weak, weakSuspect{server: b, card: card, view: view})
		}
	}
	if len(weak) > 0 {
		l.addLastHolders(weak)
	}
	return l.out
}

// add adds an engine with the given candidate.entryCost.
func (l *candidateList) add(b *model.BackendServer, card model.Card, view catalog.View, entryCost float64) {
	inc := b.Incarnation()
	id, ok := l.domains[b.FailureDomain]
	if !ok {
		id = len(l.domains)
		l.domains[b.FailureDomain] = id
	}
	capacity := Capacity(l.spec, card, b.Holds)
	used := l.Usage.Used(inc)
	// The usage reported by peers lacks their most recent streams. Routers that receive
	// the same burst would all select the same engine. Peers in the same failure domain
	// are assumed to have started as many streams as this router.
	used.add(l.Usage.Recent(inc).scaled(l.domainPeers), 1)
	secondsPerLayer := layerSeconds(l.spec, card, used, l.Usage.Slowdown(inc))
	fill := math.Min(used.TokenLayers/math.Max(capacity*maxReservedShare, 1), maxCostFill)
	secondsPerLayer *= 1 / (1 - fill)
	firstStageCost := failurePenalty.Seconds() * math.Max(view.FailureRate-toleratedFailureRate, 0)
	if l.req.FirstStageCost != nil {
		firstStageCost += l.req.FirstStageCost(inc, used.FirstStageStreams).Seconds()
	}
	l.out = append(l.out, candidate{
		server:          b,
		domain:          id,
		secondsPerLayer: secondsPerLayer,
		entryCost:       entryCost,
		firstStageCost:  firstStageCost,
		excludedFirst:   l.req.FirstStageIn != nil && !l.req.FirstStageIn[inc] || l.req.ExcludeFirstStage != nil && l.req.ExcludeFirstStage(b),
		deferred:        l.Usage.defers(l.Self, inc, b.Holds, prefillSeconds(l.spec, b, l.req.Tokens, b.Holds.Len()), l.routers),
		limited:         !l.Limits.Available(inc),
		paused:          l.Pauses.Wait(inc) > 0,
		noSlot:          b.Slots > 0 && used.FirstStageStreams+1 > float64(b.Slots)*maxSlotShare,
		full:            used.TokenLayers+float64(l.req.Tokens*b.Holds.Len()) > capacity*maxReservedShare,
	})
}
