package experiment

import (
	"sort"

	"github.com/skylarkwood/skylarkwood/internal/coordination/placement"
	"github.com/skylarkwood/skylarkwood/internal/model"
)

// fullShare is how much of its memory an engine fills with weights where nothing
// else decides; the rest holds requests.
const fullShare = 0.75

// bySize fills each engine, in the order given, with the layers after those of the
// one before, and begins anew after the last layer.
func bySize(spec *model.EngineSpec, engines []placement.Engine) placement.Plan {
	plan := placement.Plan{}
	next := 0
	for _, e := range engines {
		n := min(int(fullShare*e.Card.MB/spec.LayerMB), placement.MaxLayers(spec, e.Card))
		if n <= 0 {
			continue
		}
		to := min(next+n, spec.Layers)
		plan[e.Address] = model.LayerRange{From: max(to-n, 0), To: to}
		next = to % spec.Layers
	}
	return plan
}

// equalTokens makes one chain of all engines of a domain, with the same room for
// tokens at each as far as layers divide; a domain that does not hold the model
// stays empty.
func equalTokens(spec *model.EngineSpec, engines []placement.Engine) placement.Plan {
	plan := placement.Plan{}
	for _, group := range domains(engines) {
		if holdsModel(spec, group) {
			placement.PlanChain(spec, group, plan)
		}
	}
	return plan
}

// fastApart makes a chain of each card of a domain that holds the whole model, and
// one of the rest.
func fastApart(spec *model.EngineSpec, engines []placement.Engine) placement.Plan {
	plan := placement.Plan{}
	for _, group := range domains(engines) {
		var rest []placement.Engine
		for _, class := range cardsOf(group) {
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

// cardsOf groups engines by card, the fastest first.
func cardsOf(engines []placement.Engine) [][]placement.Engine {
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

// holdsModel tells whether engines hold all layers together, each within its own
// memory.
func holdsModel(spec *model.EngineSpec, engines []placement.Engine) bool {
	layers := 0
	for _, e := range engines {
		layers += placement.MaxLayers(spec, e.Card)
	}
	return layers >= spec.Layers
}
