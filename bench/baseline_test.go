package bench

import (
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/skylarkwood/skylarkwood/internal/coordination/membership"
	"github.com/skylarkwood/skylarkwood/internal/coordination/routing"
	"github.com/skylarkwood/skylarkwood/internal/fault"
	"github.com/skylarkwood/skylarkwood/internal/protocol/owner"
)

// pickFunc returns one of the members that hold the next layer range.
type pickFunc func(members []membership.Member) membership.Member

// baseline builds a chain range by range, with one pickFunc for every stage.
type baseline struct {
	*routing.Router
	pick pickFunc
}

func (b baseline) Chain(request routing.ChainRequest) ([]routing.Stage, error) {
	var chain []routing.Stage
	all, layerRange := b.Candidates(request.Service), request.Layers
	for fromLayer := layerRange.From; fromLayer < layerRange.To; {
		var matching []membership.Member
		for _, m := range all {
			if m.Backend.Range.From == fromLayer && m.Backend.Range.To <= layerRange.To && !request.Avoid[m.Instance.Address] {
				matching = append(matching, m)
			}
		}
		if len(matching) == 0 {
			return nil, fault.New(fault.NoCapacity, "no engine holds a range that starts at layer %d", fromLayer)
		}
		m := b.pick(matching)
		chain = append(chain, routing.Stage{Member: m, Range: m.Backend.Range})
		fromLayer = m.Backend.Range.To
	}
	return chain, nil
}

func random(members []membership.Member) membership.Member {
	return members[rand.IntN(len(members))]
}

func roundRobin() pickFunc {
	var n atomic.Int64
	return func(members []membership.Member) membership.Member {
		return members[int(n.Add(1))%len(members)]
	}
}

func twoChoices(members []membership.Member) membership.Member {
	a, b := random(members), random(members)
	if b.Backend.Active < a.Backend.Active {
		return b
	}
	return a
}

// policy is a way to choose chains. A nil router selects the production router.
type policy struct {
	name   string
	router func(*membership.Table, routing.Links) owner.Router
}

func withPicker(newPicker func() pickFunc) func(*membership.Table, routing.Links) owner.Router {
	return func(t *membership.Table, l routing.Links) owner.Router {
		return baseline{routing.New(t, l, time.Now, nil), newPicker()}
	}
}

func policies() []policy {
	return []policy{
		{"random", withPicker(func() pickFunc { return random })},
		{"round-robin", withPicker(roundRobin)},
		{"two-choices", withPicker(func() pickFunc { return twoChoices })},
		{"present", nil},
	}
}
