package chains

import (
	"math"
	"time"

	"github.com/skylarkwood/skylarkwood/internal/model"
)

// busyCrossingCost is the extra pause of a moved or resumed stream that is accepted for one
// crossing less of a fully used interconnect. Streams that lose an engine mostly have other
// chains, while some new requests have none without a crossing. Two crossings are a third
// of the shortest pause that callers notice (250 ms).
const busyCrossingCost = 40 * time.Millisecond

// crossingPauses computes the pause that a hop between failure domains adds to a stream
// whose tokens are sent over it again.
type crossingPauses struct {
	*Chooser
	spec   *model.EngineSpec
	tokens int
	cached map[DomainPair]float64
}

func (c *Chooser) newCrossingPauses(spec *model.EngineSpec, tokens int) crossingPauses {
	return crossingPauses{Chooser: c, spec: spec, tokens: tokens, cached: map[DomainPair]float64{}}
}

// between returns the whole pause of a hop in seconds.
func (p crossingPauses) between(a, b string) float64 {
	return crossDomainDelay.Seconds()*float64(max(p.spec.StepsPerPass, 1)) + p.transfer(a, b)
}

// transfer returns the time in seconds in which the tokens are sent, and the cost of using a
// busy interconnect.
func (p crossingPauses) transfer(a, b string) float64 {
	if p.spec.InterconnectMbps <= 0 {
		return 0
	}
	pair := pairOf(a, b)
	seconds, ok := p.cached[pair]
	if !ok {
		utilization := math.Min(p.Interconnect.Rate(a, b)/p.spec.InterconnectMbps, 1)
		seconds = CrossDomainMbit(p.spec, p.tokens)/p.spec.InterconnectMbps + utilization*busyCrossingCost.Seconds()
		p.cached[pair] = seconds
	}
	return seconds
}

// domainNames returns the failure domains of the candidates by domain index.
func domainNames(cands []candidate) []string {
	var names []string
	for i := range cands {
		if cands[i].domain == len(names) {
			names = append(names, cands[i].server.FailureDomain)
		}
	}
	return names
}

// resumePrefillSeconds returns the time in seconds that an engine with active streams needs
// for the prefill of tokens in a number of layers. Each chunk of the prefill shares a pass
// with the active streams.
func (c *Chooser) resumePrefillSeconds(spec *model.EngineSpec, b *model.BackendServer, tokens, layers int) float64 {
	prefill := prefillSeconds(spec, b, tokens, layers)
	card, ok := spec.Card(b.Card)
	if !ok || spec.PrefillChunk <= 0 {
		return prefill
	}
	inc := b.Incarnation()
	step := layerSeconds(spec, card, Usage{Streams: c.Usage.Used(inc).Streams}, c.Usage.Slowdown(inc)) * float64(layers)
	passes := float64(tokens) / float64(spec.PrefillChunk)
	return prefill*c.Usage.Slowdown(inc) + passes*step*float64(max(spec.StepsPerPass, 1))
}

// useResumeCosts replaces the costs of a search, in seconds per token, by the pause of a
// resumed stream. The pause consists of pending prefill, prefill of all tokens and the
// tokens of one event.
func (c *Chooser) useResumeCosts(s *search, tokens int) {
	spec := s.spec
	stride := float64(max(spec.StepsPerPass, 1))
	for i := range s.cands {
		b := s.cands[i].server
		s.cands[i].secondsPerLayer *= stride
		s.cands[i].entryCost *= float64(max(spec.MeanAnswerTokens, 1))
		s.cands[i].secondsPerLayer += c.Usage.PendingPrefill(b.Incarnation())/float64(b.Holds.Len()) + c.resumePrefillSeconds(spec, b, tokens, 1)
	}
	crossing := c.newCrossingPauses(spec, tokens)
	names := domainNames(s.cands)
	for i, row := range s.crossing {
		for j := range row {
			row[j] *= stride
			if i != j {
				row[j] += crossing.transfer(names[i], names[j])
			}
		}
	}
}

// RecordResume records the prefill of a stream that is resumed on a chain. Other routers
// resume streams at the same time, so the prefill is multiplied by the number of routers
// per failure domain.
func (c *Chooser) RecordResume(spec *model.EngineSpec, stages []Stage, tokens int) {
	routers := c.routersPerDomain(c.RouterCount())
	for _, s := range stages {
		c.Usage.AddPendingPrefill(s.Server.Incarnation(), routers*c.resumePrefillSeconds(spec, s.Server, tokens, s.Layers.Len()))
	}
}
