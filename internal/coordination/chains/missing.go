package chains

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/skylarkwood/skylarkwood/internal/model"
)

// maxReasons bounds what a refusal says of the holders that did not count.
const maxReasons = 6

// ExplainNoChain explains why Choose found no chain: the layers that no engine offers, and
// why those that hold them do not count; where every layer is offered somewhere,
// the same for each failure domain, as the pipes between them are used up. It is
// asked once a refusal, for the log.
func (c *Chooser) ExplainNoChain(svc *model.Service, d Requirements) string {
	everywhere := make([]bool, svc.Engine.Layers)
	byDomain := map[string][]bool{}
	for _, cand := range c.candidates(svc, d) {
		domain := cand.server.FailureDomain
		if byDomain[domain] == nil {
			byDomain[domain] = make([]bool, svc.Engine.Layers)
		}
		markLayers(byDomain[domain], cand.server.Holds)
		markLayers(everywhere, cand.server.Holds)
	}
	if gaps := uncoveredRanges(everywhere); len(gaps) > 0 {
		return c.describeGaps(svc, gaps, "", d)
	}
	out := []string{"pipes used up"}
	for _, domain := range slices.Sorted(maps.Keys(byDomain)) {
		gaps := uncoveredRanges(byDomain[domain])
		if len(gaps) == 0 {
			out = append(out, domain+" is whole")
			continue
		}
		out = append(out, domain+" lacks "+c.describeGaps(svc, gaps, domain, d))
	}
	return strings.Join(out, "; ")
}

// describeGaps names layers and why their holders in a failure domain, or in any, do not
// count.
func (c *Chooser) describeGaps(svc *model.Service, gaps []model.LayerRange, domain string, d Requirements) string {
	var b strings.Builder
	for _, g := range gaps {
		fmt.Fprintf(&b, "%s ", g)
	}
	b.WriteString(c.describeHolders(svc, gaps, domain, d))
	return b.String()
}

func markLayers(offered []bool, held model.LayerRange) {
	for l := held.From; l < min(held.To, len(offered)); l++ {
		offered[l] = true
	}
}

// uncoveredRanges lists the runs of layers that are not offered.
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

// describeHolders tells why engines that hold some of the layers do not count.
func (c *Chooser) describeHolders(svc *model.Service, gaps []model.LayerRange, domain string, d Requirements) string {
	var out []string
	for _, b := range c.Catalog.Load().All(svc.Name) {
		if !overlapsAny(b.Holds, gaps) || domain != "" && b.FailureDomain != domain {
			continue
		}
		why := "not looked at"
		switch {
		case b.Draining:
			why = "leaving"
		case d.Avoid[b.Incarnation()]:
			why = "avoided"
		case c.Health.View(b.Incarnation()).Suspected:
			why = "suspected"
		}
		out = append(out, b.ID+" "+why)
	}
	if len(out) == 0 {
		return "held by nobody"
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
