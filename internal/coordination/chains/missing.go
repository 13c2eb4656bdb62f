package chains

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/skylarkwood/skylarkwood/internal/coordination/catalog"
	"github.com/skylarkwood/skylarkwood/internal/model"
)

// maxReasons is the maximum number of engines listed in an explanation.
const maxReasons = 6

// ExplainNoChain describes why Choose returned NoChain or InterconnectExhausted. It names the
// layers that no usable engine holds, and why the engines that hold them are unusable. If usable
// engines hold all layers, the interconnect is at its limit, and the description covers each
// failure domain separately. The result is meant for error messages.
func (c *Chooser) ExplainNoChain(svc *model.Service, req Requirements) string {
	everywhere := make([]bool, svc.Engine.Layers)
	byDomain := map[string][]bool{}
	for _, cand := range c.candidates(c.engines(svc.Name), svc, req) {
		domain := cand.server.FailureDomain
		if byDomain[domain] == nil {
			byDomain[domain] = make([]bool, svc.Engine.Layers)
		}
		markLayers(byDomain[domain], cand.server.Holds)
		markLayers(everywhere, cand.server.Holds)
	}
	if gaps := uncoveredRanges(everywhere); len(gaps) > 0 {
		return c.describeGaps(svc, gaps, "", req)
	}
	out := []string{"interconnect at its limit"}
	for _, domain := range slices.Sorted(maps.Keys(byDomain)) {
		gaps := uncoveredRanges(byDomain[domain])
		if len(gaps) == 0 {
			out = append(out, domain+" holds all layers")
			continue
		}
		out = append(out, domain+" lacks "+c.describeGaps(svc, gaps, domain, req))
	}
	return strings.Join(out, "; ")
}

// describeGaps names layers and why the engines that hold them are unusable. An empty
// domain stands for all domains.
func (c *Chooser) describeGaps(svc *model.Service, gaps []model.LayerRange, domain string, req Requirements) string {
	var b strings.Builder
	for _, g := range gaps {
		fmt.Fprintf(&b, "%s ", g)
	}
	b.WriteString(c.describeHolders(svc, gaps, domain, req))
	return b.String()
}

func markLayers(offered []bool, held model.LayerRange) {
	for l := held.From; l < min(held.To, len(offered)); l++ {
		offered[l] = true
	}
}

// uncoveredRanges returns the ranges of layers that are not offered.
func uncoveredRanges(offered []bool) []model.LayerRange {
	var out []model.LayerRange
	for l, ok := range offered {
		switch {
		case ok:
		case len(out) > 0 && out[len(out)-1].To == l:
			out[len(out)-1].To++
		default:
			out = append(out, model.LayerRange{From: l, To: l + 1})
		}
	}
	return out
}

// describeHolders lists the engines that hold some of the layers and why each is unusable.
func (c *Chooser) describeHolders(svc *model.Service, gaps []model.LayerRange, domain string, req Requirements) string {
	var out []string
	for _, b := range c.Catalog.Load().All(svc.Name) {
		if !overlapsAny(b.Holds, gaps) || domain != "" && b.FailureDomain != domain {
			continue
		}
		reason := "not considered"
		view := c.Health.View(b.Incarnation())
		switch {
		case b.Draining:
			reason = "leaving"
		case req.Avoid[b.Incarnation()]:
			reason = "avoided"
		case view.Evidence == catalog.Weak:
			reason = fmt.Sprintf("suspected on weak evidence for %v", view.EvidenceAge.Round(time.Millisecond))
		case view.Suspected:
			reason = "suspected"
		}
		out = append(out, b.ID+" "+reason)
	}
	if len(out) == 0 {
		return "held by no engine"
	}
	if more := len(out) - maxReasons; more > 0 {
		out = append(out[:maxReasons], fmt.Sprintf("%d more", more))
	}
	return strings.Join(out, ", ")
}

func overlapsAny(held model.LayerRange, ranges []model.LayerRange) bool {
	for _, r := range ranges {
		if held.From < r.To && r.From < held.To {
			return true
		}
	}
	return false
}
