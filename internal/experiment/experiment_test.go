package experiment

import (
	"bytes"
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/skylarkwood/skylarkwood/internal/coordination/placement"
)

func example(t *testing.T) Site {
	t.Helper()
	raw, err := os.ReadFile("../../examples/plan-site.toml")
	assert.NilError(t, err)
	site, err := Read(raw)
	assert.NilError(t, err)
	return site
}

// Guards against plans that leave layers uncovered or exceed memory, and against a planner
// that is no better than the baselines.
func TestPlannerBeatsBaselines(t *testing.T) {
	site := example(t)
	byName := map[string]Result{}
	for _, p := range Planners() {
		plan := p.BuildPlan(site.Spec, site.Engines)
		for _, e := range site.Engines {
			assert.Assert(t, plan[e.Address].Len() <= placement.MaxLayers(site.Spec, e.Card), "%s: %s holds %s", p.Name, e.Address, plan[e.Address])
		}
		r := measure(site, p.Name, plan)
		assert.Equal(t, r.UncoveredLayers, 0, p.Name)
		assert.Assert(t, r.StreamShare > 0 && r.StreamShare <= 1, "%s: %v", p.Name, r.StreamShare)
		assert.Assert(t, r.PromptShare > 0 && r.PromptShare <= 1.0001, "%s: %v", p.Name, r.PromptShare)
		byName[p.Name] = r
	}
	ours, bySize, even := byName["planner"], byName["by size"], byName["equal free tokens"]
	for i, d := range ours.Domains {
		assert.Assert(t, d.Streams > bySize.Domains[i].Streams, "%s: %.0f streams, by size %.0f", d.Name, d.Streams, bySize.Domains[i].Streams)
		assert.Assert(t, d.TokenMS < even.Domains[i].TokenMS, "%s: %.1f ms a token, even %.1f", d.Name, d.TokenMS, even.Domains[i].TokenMS)
		assert.Assert(t, d.MinStages < even.Domains[i].MinStages, "%s: %d engines in a chain, even %d", d.Name, d.MinStages, even.Domains[i].MinStages)
		assert.Equal(t, even.Domains[i].AfterLoss, 0.0, "a single chain has no capacity after a loss")
		assert.Assert(t, d.ReplicatedShare == 1 && d.AfterLoss > 0, "%s: %.2f held twice, %.0f streams after a loss", d.Name, d.ReplicatedShare, d.AfterLoss)
	}
}

// An error in a site file must name the wrong entry.
func TestInvalidSiteFileIsRejected(t *testing.T) {
	raw, err := os.ReadFile("../../examples/plan-site.toml")
	assert.NilError(t, err)
	good := string(raw)
	for _, c := range []struct{ from, to, says string }{
		{"layers = 80", "layers = 0", "layers"},
		{"layers = 80", "layrs = 80", "layrs"},
		{`card = "l4"`, `card = "l5"`, "l5"},
		{"count = 13", "count = 0", "count"},
		{"mb = 22000.0", "mb = 0.0", "card[2]"},
	} {
		_, err := Read([]byte(strings.Replace(good, c.from, c.to, 1)))
		assert.ErrorContains(t, err, c.says)
	}
}

// Guards against capacity reported for a domain that lacks layers, and against unescaped names.
func TestReportOfIncompleteDomain(t *testing.T) {
	site := example(t)
	site.Engines = append(site.Engines, placement.Engine{Address: "x", Domain: "<weak>", Card: site.Spec.Cards[2]})
	r := Report{Title: "t", Results: Compare(site, Planners())}
	for _, x := range r.Results {
		assert.Equal(t, x.Domains[0].Name, "<weak>")
		assert.Assert(t, x.Domains[0].Streams < 1 && x.Domains[0].TokenMS == 0, "%s: %+v", x.Planner, x.Domains[0])
	}
	var page, text bytes.Buffer
	assert.NilError(t, r.HTML(&page))
	assert.Assert(t, !strings.Contains(page.String(), "<weak>"))
	assert.Equal(t, strings.Count(page.String(), "<svg"), 2)
	r.Text(&text)
	assert.Equal(t, strings.Count(text.String(), "<weak>"), len(r.Results))
}
