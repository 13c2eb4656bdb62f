package chains

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/skylarkwood/skylarkwood/internal/model"
)

// A caller is refused because layers are missing, and asks why. The refusal names
// the layers, and for each engine that holds them why it did not count.
func TestRefusalNamesTheMissingLayers(t *testing.T) {
	w := newWorld()
	w.add("first", "a", "a100", 0, 40)
	w.add("dead", "a", "l40s", 40, 60)
	w.add("last", "a", "l40s", 60, 80)
	w.health.Suspect(inc("dead"))
	d := Requirements{Domain: "a", Tokens: 10}
	_, v := w.chooser.Choose(w.svc, d)
	assert.Equal(t, v, NoChain)
	assert.Equal(t, w.chooser.ExplainNoChain(w.svc, d), "[40,60) dead suspected")
	w.catalog.Remove("dead", 1, 0)
	assert.Equal(t, w.chooser.ExplainNoChain(w.svc, d), "[40,60) held by nobody")
	d.Avoid = map[model.Incarnation]bool{inc("last"): true}
	assert.Equal(t, w.chooser.ExplainNoChain(w.svc, d), "[40,80) last avoided")
}

// Each of two domains lost other layers, and the pipe between them is used up: all
// layers are held by somebody, and no chain is left. Both domains' losses are named.
func TestRefusalNamesEachDomainsLoss(t *testing.T) {
	w := newWorld()
	w.add("a1", "a", "a100", 0, 40)
	w.add("b2", "b", "a100", 40, 80)
	w.chooser.Interconnect.SetPeerRates("peer", map[DomainPair]float64{{A: "a", B: "b"}: 20000}, 2*time.Second)
	d := Requirements{Domain: "a", Tokens: 1000, MaxEventGap: 200 * time.Millisecond}
	_, v := w.chooser.Choose(w.svc, d)
	assert.Equal(t, v, NoChain)
	said := w.chooser.ExplainNoChain(w.svc, d)
	for _, part := range []string{"pipes used up", "a lacks [40,80) held by nobody", "b lacks [0,40) held by nobody"} {
		assert.Assert(t, strings.Contains(said, part), said)
	}
}

// Hundreds of engines are suspected at once; the line names a few of them.
func TestRefusalIsBounded(t *testing.T) {
	w := newWorld()
	for i := range 200 {
		id := "e" + strings.Repeat("x", i)
		w.add(id, "a", "l4", 0, 10)
		w.health.Suspect(inc(id))
	}
	said := w.chooser.ExplainNoChain(w.svc, Requirements{Domain: "a"})
	assert.Assert(t, strings.Contains(said, "194 more"), said)
}
