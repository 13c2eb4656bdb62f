package chains

import (
	"math"
	"time"

	"github.com/skylarkwood/skylarkwood/internal/model"
)

// layerSeconds is the time that a token takes in one layer of an engine, in
// seconds: a step of its card, longer for each stream that writes, and longer
// while prompts are read in between. A slow engine takes longer for all of it.
func layerSeconds(spec *model.EngineSpec, card model.Card, used Usage, slowdown float64) float64 {
	step := spec.StepTime.Seconds() + spec.PerRequest.Seconds()*used.Streams
	prefillLoad := math.Min(used.PrefillLoad*slowdown, maxPrefillLoad)
	return step * card.Pace * slowdown / float64(spec.Layers) / (1 - prefillLoad)
}

// TokenTime is how long a token should take through a chain whose engines are
// as fast as their cards.
func (c *Chooser) TokenTime(spec *model.EngineSpec, parts []Stage) time.Duration {
	sum := 0.0
	for i, p := range parts {
		card, ok := spec.Card(p.Server.Card)
		if !ok {
			continue
		}
		sum += layerSeconds(spec, card, c.Usage.Used(p.Server.Incarnation()), 1) * float64(p.Layers.Len())
		if i > 0 && p.Server.FailureDomain != parts[i-1].Server.FailureDomain {
			sum += crossDomainDelay.Seconds()
			continue
		}
		sum += hopDelay.Seconds()
	}
	return time.Duration(sum * float64(time.Second))
}

// CrossDomainMbit is what a request of so many tokens moves over a pipe, in Mbit.
func CrossDomainMbit(spec *model.EngineSpec, tokens int) float64 {
	return float64(tokens) * spec.ActivationBytes * 8 / 1e6
}

// crossingCosts gives the cost of going from one domain to another, by the domains'
// indices, infinite where the pipe between them is used up.
func (c *Chooser) crossingCosts(spec *model.EngineSpec, cands []candidate, tokens int, gap time.Duration) [][]float64 {
	names := []string{}
	for _, cand := range cands {
		if cand.domain == len(names) {
			names = append(names, cand.server.FailureDomain)
		}
	}
	routers := c.RouterCount()
	cost := make([][]float64, len(names))
	for i := range names {
		cost[i] = make([]float64, len(names))
		for j := range names {
			cost[i][j] = c.crossingCost(spec, names[i], names[j], tokens, gap, routers)
		}
	}
	return cost
}

func (c *Chooser) crossingCost(spec *model.EngineSpec, a, b string, tokens int, gap time.Duration, routers int) float64 {
	if a == b {
		return hopDelay.Seconds()
	}
	if spec.PipeMbps <= 0 {
		return crossDomainDelay.Seconds()
	}
	mbit := CrossDomainMbit(spec, tokens)
	transfer := mbit / spec.PipeMbps
	limit := maxUtilization(time.Duration(transfer*float64(time.Second)), gap, spec.Stride)
	if !c.Interconnect.Allows(a, b, mbit, limit*spec.PipeMbps, routers) {
		return math.Inf(1)
	}
	// The prompt's transfer delays the first event; spread over the tokens of
	// a usual answer it compares with times a token. A token itself waits for
	// the transfers of others.
	utilization := math.Min(c.Interconnect.Rate(a, b)/spec.PipeMbps, limit)
	queueing := utilization / (2 * (1 - utilization)) * transfer
	return crossDomainDelay.Seconds() + queueing + transfer/float64(max(spec.UsualAnswer, 1))
}

// RecordStart takes in that a prompt goes through a chosen chain.
func (c *Chooser) RecordStart(spec *model.EngineSpec, parts []Stage, tokens int) {
	for _, p := range parts {
		c.Health.RecordAttempt(p.Server.Incarnation())
	}
	c.addPrefill(spec, parts, tokens)
	c.addTraffic(spec, parts, tokens)
}

// addPrefill takes in the reading of so many tokens by each part.
func (c *Chooser) addPrefill(spec *model.EngineSpec, parts []Stage, tokens int) {
	for _, p := range parts {
		c.Usage.AddPrefill(p.Server.Incarnation(), prefillSeconds(spec, p.Server, tokens, p.Layers.Len()))
	}
}

// addTraffic takes in what neighbouring parts will move between failure domains.
func (c *Chooser) addTraffic(spec *model.EngineSpec, parts []Stage, tokens int) {
	for i := 1; i < len(parts); i++ {
		a, b := parts[i-1].Server.FailureDomain, parts[i].Server.FailureDomain
		if a != b {
			c.Interconnect.AddTraffic(a, b, CrossDomainMbit(spec, tokens))
		}
	}
}
