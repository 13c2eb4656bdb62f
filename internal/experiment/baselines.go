package experiment

import (
	"sort"

	"github.com/skylarkwood/skylarkwood/internal/coordination/placement"
	"github.com/skylarkwood/skylarkwood/internal/model"
)

// weightShare is the share of an engine's memory that bySize fills with weights. Requests use the
// rest.
const weightShare = 0.75

// bySize gives each engine, in the given order, the layers after those of the previous engine.
// After the last layer it starts again at the first.
func bySize(spec *model.EngineSpec, engines []placement.Engine) placement.Plan {
	plan := placement.Plan{}
	next := 0
	for _, e := range engines {
		n := min(int(weightShare*e.Card.MB/spec.LayerMB), placement.MaxLayers(spec, e.Card))
		if n <= 0 {
			continue
		}
		to := min(next+n, spec.Layers)
		plan[e.Address] = model.LayerRange{From: max(to-n, 0), To: to}
		next = to % spec.Layers
	}
	return plan
}

// equalTokens plans one chain of all engines of a domain, with about the same token memory in
// each. A domain that cannot hold the model gets no layers.
func equalTokens(spec *model.EngineSpec, engines []placement.Engine) placement.Plan {
	plan := placement.Plan{}
	for _, group := range groupByDomain(engines) {
		if holdsModel(spec, group) {
			placement.PlanChain(spec, group, plan)
		}
	}
	return plan
}

// separateCards plans a chain for each card type of a domain that can hold the whole model, and one
// chain for the other engines.
func separateCards(spec *model.EngineSpec, engines []placement.Engine) placement.Plan {
	plan := placement.Plan{}
	for _, group := range groupByDomain(engines) {
		var rest []placement.Engine
		for _, class := range groupByCard(group) {
			if holdsModel(spec, class) {
				placement.PlanChain(spec, class, plan)
			} else {
				rest = append(rest, class...)
			}
		}
		if holdsModel(spec, rest) {
			placement.PlanChain(spec, rest, plan)
		}
	}
	return plan
}

// groupByCard groups engines by card, fastest card first.
func groupByCard(engines []placement.Engine) [][]placement.Engine {
	sorted := append([]placement.Engine(nil), engines...)
	sort.SliceStable(sorted, func(i, j int) bool { return sorted[i].Card.StepTimeFactor < sorted[j].Card.StepTimeFactor })
	var out [][]placement.Engine
	for i, e := range sorted {
		if i == 0 || sorted[i-1].Card.Name != e.Card.Name {
			out = append(out, nil)
		}
		out[len(out)-1] = append(out[len(out)-1], e)
	}
	return out
}

// holdsModel reports whether the engines together have memory for all layers.
func holdsModel(spec *model.EngineSpec, engines []placement.Engine) bool {
	layers := 0
	for _, e := range engines {
		layers += placement.MaxLayers(spec, e.Card)
	}
	return layers >= spec.Layers
}
