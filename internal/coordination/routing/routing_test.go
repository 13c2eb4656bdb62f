package routing

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/skylarkwood/skylarkwood/internal/coordination/membership"
	"github.com/skylarkwood/skylarkwood/internal/fault"
	"github.com/skylarkwood/skylarkwood/internal/model"
)

func constantLinkTime(_, _ model.Instance) time.Duration { return time.Millisecond }

func addEngine(tb *membership.Table, name string, r model.LayerRange, active, capacity int, leaving bool) {
	tb.Observe(model.Instance{ID: name, Role: model.RoleSidecar, Address: name}, "inc", membership.Backend{
		Service:  "s",
		Kind:     model.KindPipeline,
		Range:    r,
		Layers:   12,
		StepTime: time.Millisecond,
		Active:   active,
		Capacity: capacity,
		Leaving:  leaving,
	}, time.Millisecond)
}

// A chain must run each layer once and in order, on engines that hold it, have capacity,
// are not leaving and are not to be avoided. It must be found whenever one exists.
func TestChainCoversEachLayerOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		tb := membership.New("self", time.Now)
		avoid := map[string]bool{}
		usable := map[string]bool{}
		covered := make([]bool, 12)
		for i := rapid.IntRange(1, 12).Draw(rt, "engines"); i > 0; i-- {
			from := rapid.IntRange(0, 11).Draw(rt, "from")
			r := model.LayerRange{From: from, To: rapid.IntRange(from+1, 12).Draw(rt, "to")}
			name := fmt.Sprint("e", i)
			leaving := rapid.IntRange(0, 5).Draw(rt, "leaving") == 0
			active := rapid.IntRange(0, 4).Draw(rt, "active")
			avoid[name] = rapid.IntRange(0, 5).Draw(rt, "avoid") == 0
			addEngine(tb, name, r, active, 4, leaving)
			usable[name] = !leaving && !avoid[name] && active < 4
			for l := r.From; usable[name] && l < r.To; l++ {
				covered[l] = true
			}
		}
		need := model.LayerRange{To: 12}
		chain, err := New(tb, Links{Time: constantLinkTime}, time.Now, nil).Chain(ChainRequest{Service: "s", Layers: need, Avoid: avoid})
		possible := true
		for _, c := range covered {
			possible = possible && c
		}
		assert.Equal(rt, err == nil, possible, "%v", err)
		next := 0
		for _, s := range chain {
			assert.Equal(rt, s.Range.From, next)
			assert.Assert(rt, s.Member.Backend.Range.Contains(s.Range))
			assert.Assert(rt, usable[s.Member.Instance.Address])
			next = s.Range.To
		}
		assert.Assert(rt, err != nil || next == 12)
	})
}

// If more than half of a service seems down, the fault is more likely in the local network.
// The members must still be used, after those that respond.
func TestSuspectsAreUsedWhenMostSeemDown(t *testing.T) {
	tb := membership.New("self", time.Now)
	for i := 0; i < 4; i++ {
		name := fmt.Sprint("e", i)
		addEngine(tb, name, model.LayerRange{To: 12}, 0, 4, false)
		if i > 0 {
			tb.RecordFailure(name)
			tb.RecordFailure(name)
		}
	}
	r := New(tb, Links{Time: constantLinkTime}, time.Now, func(int) int { return 0 })
	chain, err := r.Chain(ChainRequest{Service: "s", Layers: model.LayerRange{To: 12}})
	assert.NilError(t, err)
	assert.Equal(t, chain[0].Member.Instance.Address, "e0")
	_, err = r.Chain(ChainRequest{Service: "s", Layers: model.LayerRange{To: 12}, Avoid: map[string]bool{"e0": true}})
	assert.NilError(t, err)
}

func TestNoMembersYieldNoCapacity(t *testing.T) {
	r := New(membership.New("self", time.Now), Links{Time: constantLinkTime}, time.Now, nil)
	_, err := r.Chain(ChainRequest{Service: "s", Layers: model.LayerRange{To: 12}})
	assert.Assert(t, fault.Is(err, fault.NoCapacity))
	_, err = r.PlainServer("s", nil)
	assert.Assert(t, fault.Is(err, fault.NoCapacity))
}

// All gates of a service refused and said for how long. The caller was told to return sooner
// than the first of them accepts requests, or much later.
func TestRefusalTellsWhenTheFirstGateIsFree(t *testing.T) {
	now := time.Now()
	clock := func() time.Time { return now }
	tb := membership.New("self", clock)
	for _, name := range []string{"a", "b"} {
		tb.Observe(model.Instance{ID: name, Role: model.RoleSidecar, Address: name}, "inc", membership.Backend{Service: "s", Kind: model.KindPlain, Capacity: 4}, time.Millisecond)
	}
	r := New(tb, Links{Time: constantLinkTime}, clock, nil)
	for _, first := range []time.Duration{300 * time.Millisecond, 7 * time.Second} {
		tb.SetBackoff("a", first)
		tb.SetBackoff("b", first+time.Second)
		_, err := r.PlainServer("s", nil)
		f := fault.From(err)
		assert.Equal(t, f.Kind, fault.NoCapacity)
		assert.Equal(t, f.RetryDelay(), first)
		now = now.Add(time.Minute)
	}
}
