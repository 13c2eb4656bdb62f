package chains

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/skylarkwood/skylarkwood/internal/model"
)

// A refusal for missing layers must name the layers and the state of each engine that holds
// them.
func TestExplanationNamesMissingLayers(t *testing.T) {
	f := newFixture()
	f.add("first", "a", "a100", 0, 40)
	f.add("dead", "a", "l40s", 40, 60)
	f.add("last", "a", "l40s", 60, 80)
	f.health.Suspect(inc("dead"))
	d := Requirements{Domain: "a", Tokens: 10}
	_, v := f.chooser.Choose(f.svc, d)
	assert.Equal(t, v, NoChain)
	assert.Equal(t, f.chooser.ExplainNoChain(f.svc, d), "[40,60) dead suspected")
	f.catalog.Remove("dead", 1, 0)
	assert.Equal(t, f.chooser.ExplainNoChain(f.svc, d), "[40,60) held by no engine")
	d.Avoid = map[model.Incarnation]bool{inc("last"): true}
	assert.Equal(t, f.chooser.ExplainNoChain(f.svc, d), "[40,80) last avoided")
}

// All layers are held, but different ones in each domain, and the interconnect is at its
// limit. The explanation must name the missing layers of each domain.
func TestExplanationNamesMissingLayersOfEachDomain(t *testing.T) {
	f := newFixture()
	f.add("a1", "a", "a100", 0, 40)
	f.add("b2", "b", "a100", 40, 80)
	f.chooser.Interconnect.SetPeerRates("peer", map[DomainPair]float64{{A: "a", B: "b"}: 20000}, 2*time.Second)
	d := Requirements{Domain: "a", Tokens: 1000, MaxEventGap: 200 * time.Millisecond}
	_, v := f.chooser.Choose(f.svc, d)
	assert.Equal(t, v, InterconnectExhausted)
	explanation := f.chooser.ExplainNoChain(f.svc, d)
	for _, text := range []string{"interconnect at its limit", "a lacks [40,80) held by no engine", "b lacks [0,40) held by no engine"} {
		assert.Assert(t, strings.Contains(explanation, text), explanation)
	}
}

// The explanation must stay short when hundreds of engines are suspected.
func TestExplanationIsBounded(t *testing.T) {
	f := newFixture()
	for i := range 200 {
		id := "e" + strings.Repeat("x", i)
		f.add(id, "a", "l4", 0, 10)
		f.health.Suspect(inc(id))
	}
	explanation := f.chooser.ExplainNoChain(f.svc, Requirements{Domain: "a"})
	assert.Assert(t, strings.Contains(explanation, "194 more"), explanation)
}
