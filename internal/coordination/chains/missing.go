package chains

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/skylarkwood/skylarkwood/internal/model"
)

// mostReasons bounds what a refusal says of the holders that did not count.
const mostReasons = 6

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
		mark(byDomain[domain], cand.server.Holds)
		mark(everywhere, cand.server.Holds)
	}
	if gaps := gapsOf(everywhere); len(gaps) > 0 {
		return c.explain(svc, gaps, "", d)
	}
	out := []string{"pipes used up"}
	for _, domain := range slices.Sorted(maps.Keys(byDomain)) {
		gaps := gapsOf(byDomain[domain])
		if len(gaps) == 0 {
			out = append(out, domain+" is whole")
			continue
		}
		out = append(out, domain+" lacks "+c.explain(svc, gaps, domain, d))
	}
	return strings.Join(out, "; ")
}

// explain names layers and why their holders in a failure domain, or in any, do not
// count.
func (c *Chooser) explain(svc *model.Service, gaps []model.LayerRange, domain string, d Requirements) string {
	var b strings.Builder
	for _, g := range gaps {
		fmt.Fprintf(&b, "%s ", g)
	}
	b.WriteString(c.holdersOf(svc, gaps, domain, d))
	return b.String()
}

func mark(offered []bool, held model.LayerRange) {
	for l := held.From; l < min(held.To, len(offered)); l++ {
		offered[l] = true
	}
}

// gapsOf lists the runs of layers that are not offered.
func gapsOf(offered []bool) []model.LayerRange {
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

// holdersOf tells why engines that hold some of the layers do not count.
func (c *Chooser) holdersOf(svc *model.Service, gaps []model.LayerRange, domain string, d Requirements) string {
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
	if more := len(out) - mostReasons; more > 0 {
		out = append(out[:mostReasons], fmt.Sprintf("%d more", more))
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
