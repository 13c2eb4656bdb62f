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

// choose picks one of the members that hold the next range.
type choose func(members []membership.Member) membership.Member

// baseline builds a chain range by range with one simple rule.
type baseline struct {
	*routing.Router
	pick choose
}

func (b baseline) Chain(ask routing.ChainRequest) ([]routing.Stage, error) {
	var chain []routing.Stage
	all, need := b.Candidates(ask.Service), ask.Layers
	for at := need.From; at < need.To; {
		var fit []membership.Member
		for _, m := range all {
			if m.Backend.Range.From == at && m.Backend.Range.To <= need.To && !ask.Avoid[m.Instance.Address] {
				fit = append(fit, m)
			}
		}
		if len(fit) == 0 {
			return nil, fault.New(fault.NoCapacity, "nobody holds layer %d", at)
		}
		m := b.pick(fit)
		chain = append(chain, routing.Stage{Member: m, Range: m.Backend.Range})
		at = m.Backend.Range.To
	}
	return chain, nil
}

func random(members []membership.Member) membership.Member {
	return members[rand.IntN(len(members))]
}

func roundRobin() choose {
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

// policy is one way of choosing chains; router nil is the product's own.
type policy struct {
	name   string
	router func(*membership.Table, routing.Links) owner.Router
}

func withRule(rule func() choose) func(*membership.Table, routing.Links) owner.Router {
	return func(t *membership.Table, l routing.Links) owner.Router {
		return baseline{routing.New(t, l, time.Now, nil), rule()}
	}
}

func policies() []policy {
	return []policy{
		{"random", withRule(func() choose { return random })},
		{"round-robin", withRule(roundRobin)},
		{"two-choices", withRule(func() choose { return twoChoices })},
		{"present", nil},
	}
}
