package chains

import (
	"math"
	"time"

	"github.com/skylarkwood/skylarkwood/internal/coordination/share"
	"github.com/skylarkwood/skylarkwood/internal/model"
)

// layerSeconds returns the time in seconds that a token takes in one layer of an engine.
// Active streams and prefill make it longer. slowdown multiplies it.
func layerSeconds(spec *model.EngineSpec, card model.Card, used Usage, slowdown float64) float64 {
	step := spec.StepTime.Seconds() + spec.StepTimePerRequest.Seconds()*used.Streams
	prefillLoad := math.Min(used.PrefillLoad*slowdown, maxPrefillLoad)
	return step * card.StepTimeFactor * slowdown / float64(spec.Layers) / (1 - prefillLoad)
}

// TokenTime returns the expected time per token of a chain without slowdowns.
func (c *Chooser) TokenTime(spec *model.EngineSpec, stages []Stage) time.Duration {
	sum := 0.0
	for i, s := range stages {
		card, ok := spec.Card(s.Server.Card)
		if !ok {
			continue
		}
		sum += layerSeconds(spec, card, c.Usage.Used(s.Server.Incarnation()), 1) * float64(s.Layers.Len())
		if i > 0 && s.Server.FailureDomain != stages[i-1].Server.FailureDomain {
			sum += crossDomainDelay.Seconds()
			continue
		}
		sum += hopDelay.Seconds()
	}
	return time.Duration(sum * float64(time.Second))
}

// CrossDomainMbit returns the traffic in Mbit that a request with the given number of
// tokens causes between two stages in different failure domains.
func CrossDomainMbit(spec *model.EngineSpec, tokens int) float64 {
	return float64(tokens) * spec.ActivationBytes * 8 / 1e6
}

// crossingCosts returns the cost in seconds of a hop between failure domains, by domain
// index. The cost is infinite if the interconnect is at its limit.
func (c *Chooser) crossingCosts(spec *model.EngineSpec, cands []candidate, req Requirements) [][]float64 {
	names := domainNames(cands)
	routers := c.RouterCount()
	cost := make([][]float64, len(names))
	for i := range names {
		cost[i] = make([]float64, len(names))
		for j := range i + 1 { // the cost is the same in both directions
			cost[i][j] = c.crossingCost(spec, names[i], names[j], req, routers)
			cost[j][i] = cost[i][j]
		}
	}
	return cost
}

func (c *Chooser) crossingCost(spec *model.EngineSpec, a, b string, req Requirements, routers int) float64 {
	if a == b {
		return hopDelay.Seconds()
	}
	if spec.InterconnectMbps <= 0 {
		return crossDomainDelay.Seconds()
	}
	mbit := CrossDomainMbit(spec, req.Tokens)
	transfer := mbit / spec.InterconnectMbps
	limit := maxUtilization(time.Duration(transfer*float64(time.Second)), req.MaxEventGap, spec.StepsPerPass)
	if !c.allowsCrossing(a, b, mbit, limit*spec.InterconnectMbps, req, routers) {
		return math.Inf(1)
	}
	// The transfer of the prompt delays the first event. To compare with times per token,
	// it is spread over the tokens of a usual answer. In addition each token waits for
	// transfers of other requests.
	utilization := math.Min(c.Interconnect.Rate(a, b)/spec.InterconnectMbps, limit)
	queueing := utilization / (2 * (1 - utilization)) * transfer
	return crossDomainDelay.Seconds() + queueing + transfer/float64(max(spec.MeanAnswerTokens, 1))
}

// allowsCrossing reports whether the interconnect has capacity for a request of mbit. limit
// is the rate in Mbit/s that all routers may use.
func (c *Chooser) allowsCrossing(a, b string, mbit, limit float64, req Requirements, routers int) bool {
	if !req.Prioritized {
		return c.Interconnect.Allows(a, b, mbit, limit, routers)
	}
	return c.Interconnect.AllowsShare(a, b, share.Request{Priority: req.Priority, Amount: mbit, Resumed: req.Resumed, Limit: limit, Routers: routers})
}

// RecordStart records a stream that starts on a chain: the attempt at each engine, the
// prefill of the prompt and the traffic between failure domains. tokens is the length of the
// prompt.
func (c *Chooser) RecordStart(spec *model.EngineSpec, stages []Stage, tokens int, req Requirements) {
	for _, s := range stages {
		c.Health.RecordAttempt(s.Server.Incarnation())
	}
	c.addPrefill(spec, stages, tokens)
	c.addTraffic(spec, stages, tokens, req)
}

func (c *Chooser) addPrefill(spec *model.EngineSpec, stages []Stage, tokens int) {
	for _, s := range stages {
		c.Usage.AddPrefill(s.Server.Incarnation(), prefillSeconds(spec, s.Server, tokens, s.Layers.Len()))
	}
}

// addTraffic records the traffic between adjacent stages in different failure domains.
func (c *Chooser) addTraffic(spec *model.EngineSpec, stages []Stage, tokens int, req Requirements) {
	for i := 1; i < len(stages); i++ {
		a, b := stages[i-1].Server.FailureDomain, stages[i].Server.FailureDomain
		switch {
		case a == b:
		case req.Prioritized:
			c.Interconnect.AddSharedTraffic(a, b, req.Priority, CrossDomainMbit(spec, tokens))
		default:
			c.Interconnect.AddTraffic(a, b, CrossDomainMbit(spec, tokens))
		}
	}
}
