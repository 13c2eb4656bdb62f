package chains

import (
	"math"
	"time"

	"github.com/skylarkwood/skylarkwood/internal/coordination/catalog"
	"github.com/skylarkwood/skylarkwood/internal/model"
)

const (
	// brokenStreamLoss is the time that a stream loses if an engine of its chain fails: up to
	// 0.9 s until the missing first event is noticed, and the prefill at another chain, which
	// takes about the usual target latency of a first event again.
	brokenStreamLoss = 1500 * time.Millisecond
	// minWeakFailureRate is the least chance of a broken stream at a weakly suspected engine.
	// Its failure rate covers first stages only and is still low after one failure.
	minWeakFailureRate = 0.1
)

// weakSuspect is an engine that is suspected on weak evidence.
type weakSuspect struct {
	server *model.BackendServer
	card   model.Card
	view   catalog.View
}

// CountsWeakEvidence reports whether engines that are suspected on weak evidence may be used.
// That is so with several failure domains and a limited interconnect: if such an engine were
// excluded, another domain would have to take its requests, which the interconnect may not
// allow. Elsewhere they are excluded like all suspects.
func (c *Chooser) CountsWeakEvidence(spec *model.EngineSpec) bool {
	return spec.InterconnectMbps > 0 && c.Catalog.Load().Domains() > 1
}

// weakCost returns the time that a stream is expected to lose at a weakly suspected engine.
func weakCost(view catalog.View) time.Duration {
	return time.Duration(math.Max(view.FailureRate, minWeakFailureRate) * float64(brokenStreamLoss))
}

// addLastHolders adds the weakly suspected engines that hold some layer for which their
// failure domain has no usable engine. Several suspects that hold the layer are all added.
// Candidates that are paused or full are not usable.
func (l *candidateList) addLastHolders(suspects []weakSuspect) {
	held := make(map[string][]bool, len(suspects)) // layers by failure domain of the suspects
	for _, s := range suspects {
		held[s.server.FailureDomain] = nil
	}
	for i := range l.out {
		cand := &l.out[i]
		layers, needed := held[cand.server.FailureDomain]
		if !needed || cand.paused || cand.full {
			continue
		}
		if layers == nil {
			layers = make([]bool, l.spec.Layers)
			held[cand.server.FailureDomain] = layers
		}
		markLayers(layers, cand.server.Holds)
	}
	for _, s := range suspects {
		if !holdsAll(held[s.server.FailureDomain], s.server.Holds) {
			perToken := weakCost(s.view).Seconds() / float64(max(l.spec.MeanAnswerTokens, 1))
			l.add(s.server, s.card, s.view, perToken)
		}
	}
}

// holdsAll reports whether all layers of a range are marked. No marks stand for no layers.
func holdsAll(marked []bool, layers model.LayerRange) bool {
	if marked == nil {
		return false
	}
	for l := layers.From; l < layers.To; l++ {
		if !marked[l] {
			return false
		}
	}
	return true
}

// LastHolder reports whether an engine is the only one that new requests could use for some
// of its layers in its failure domain. It is false where weak evidence does not count.
func (c *Chooser) LastHolder(svc *model.Service, b *model.BackendServer) bool {
	if svc.Engine == nil || b.Holds.Len() <= 0 || b.Holds.To > svc.Engine.Layers || !c.CountsWeakEvidence(svc.Engine) {
		return false
	}
	held := make([]bool, svc.Engine.Layers)
	for _, other := range c.Catalog.Load().Service(svc.Name) {
		inc := other.Incarnation()
		if inc == b.Incarnation() || other.FailureDomain != b.FailureDomain || c.Pauses.Wait(inc) > 0 || c.Health.Suspected(inc) {
			continue
		}
		markLayers(held, other.Holds)
	}
	return !holdsAll(held, b.Holds)
}
