// Package experiment compares placements of a model's layers on engines, without a network. It
// computes the capacity of each plan and its share of the upper bound of any plan.
package experiment

import (
	"math"
	"slices"
	"sort"

	"github.com/skylarkwood/skylarkwood/internal/coordination/placement"
	"github.com/skylarkwood/skylarkwood/internal/model"
)

// Site is a model with its cards, and the engines to place it on.
type Site struct {
	Spec    *model.EngineSpec
	Engines []placement.Engine
}

// Planner computes a plan for engines that hold no layers yet.
type Planner struct {
	Name      string
	BuildPlan func(*model.EngineSpec, []placement.Engine) placement.Plan
}

// Result is the capacity of one planner's plan.
type Result struct {
	Planner string
	// Streams is the number of mean requests that fit in memory at the same time, over all
	// domains. StreamShare is its share of the memory bound.
	Streams, StreamShare float64
	// Prompts is the number of mean prompts that all domains prefill per second. PromptShare
	// is its share of the prefill bound.
	Prompts, PromptShare float64
	// Domains is the capacity of each failure domain with its own engines only.
	Domains []Domain
	// UncoveredLayers is the number of layers that no engine holds.
	UncoveredLayers int `json:"Bare"`
}

// Domain is the capacity of one failure domain with its own engines only.
type Domain struct {
	Name             string
	Streams, Prompts float64
	// TokenMS is the minimum time of a token through the domain's engines in ms, without load
	// and network. It is 0 if the domain lacks layers.
	TokenMS float64
	// MinStages is the number of engines of the domain's shortest chain, or 0 if the domain
	// lacks layers. The loss of any of them interrupts the streams of that chain.
	MinStages int `json:"Parts"`
	// ReplicatedShare is the share of the layers that two or more engines of the domain hold.
	ReplicatedShare float64 `json:"Twice"`
	// AfterLoss is the value of Streams for the domain after the loss of the engine that
	// reduces it most.
	AfterLoss float64
}

// Planners returns the project's planner and the baselines that it is compared with.
func Planners() []Planner {
	return []Planner{
		{"by size", bySize},
		{"equal free tokens", equalTokens},
		{"fast cards apart", separateCards},
		{"planner", placement.BuildPlan},
	}
}

// Compare returns the capacity of each planner's plan for a site.
func Compare(site Site, planners []Planner) []Result {
	var out []Result
	for _, p := range planners {
		out = append(out, measure(site, p.Name, p.BuildPlan(site.Spec, site.Engines)))
	}
	return out
}

func measure(site Site, name string, plan placement.Plan) Result {
	spec, all := site.Spec, site.Engines
	memory := placement.MaxFlow(spec, plan, all, placement.MemoryCapacity(spec))
	prefill := placement.MaxFlow(spec, plan, all, placement.PrefillCapacity(spec))
	r := Result{
		Planner:         name,
		Streams:         memory / meanRequestTokens(spec),
		StreamShare:     ratio(memory, placement.MemoryBound(spec, all)),
		Prompts:         prefill / float64(max(spec.MeanPromptTokens, 1)),
		PromptShare:     ratio(prefill, placement.PrefillBound(spec, all)),
		UncoveredLayers: len(placement.UncoveredLayers(spec, plan, all)),
	}
	for _, group := range groupByDomain(all) {
		r.Domains = append(r.Domains, Domain{
			Name:    group[0].Domain,
			Streams: placement.MaxFlow(spec, plan, group, placement.MemoryCapacity(spec)) / meanRequestTokens(spec),
			Prompts: placement.MaxFlow(spec, plan, group, placement.PrefillCapacity(spec)) / float64(max(spec.MeanPromptTokens, 1)),
			TokenMS: tokenMS(spec, plan, group),

			MinStages:       placement.MinStages(spec, plan, group),
			ReplicatedShare: replicatedShare(spec, plan, group),
			AfterLoss:       afterLoss(spec, plan, group),
		})
	}
	return r
}

func replicatedShare(spec *model.EngineSpec, plan placement.Plan, engines []placement.Engine) float64 {
	n := 0
	for _, held := range placement.Coverage(spec, plan, engines) {
		if held >= 2 {
			n++
		}
	}
	return ratio(float64(n), float64(spec.Layers))
}

// afterLoss returns the minimum capacity in streams over the losses of one engine.
func afterLoss(spec *model.EngineSpec, plan placement.Plan, engines []placement.Engine) float64 {
	minimum := math.Inf(1)
	for i := range engines {
		left := slices.Delete(slices.Clone(engines), i, i+1)
		minimum = math.Min(minimum, placement.MaxFlow(spec, plan, left, placement.MemoryCapacity(spec)))
	}
	if math.IsInf(minimum, 1) {
		return 0
	}
	return minimum / meanRequestTokens(spec)
}

// meanRequestTokens returns the number of tokens of a mean request.
func meanRequestTokens(spec *model.EngineSpec) float64 {
	return float64(max(spec.MeanPromptTokens+spec.MeanAnswerTokens, 1))
}

func ratio(of, bound float64) float64 {
	if bound <= 0 {
		return 0
	}
	return of / bound
}

// tokenMS returns the sum of each layer's step time at its fastest engine, in ms.
func tokenMS(spec *model.EngineSpec, plan placement.Plan, engines []placement.Engine) float64 {
	layer := spec.StepTime.Seconds() * 1000 / float64(max(spec.Layers, 1))
	sum := 0.0
	for l := range spec.Layers {
		pace := 0.0
		for _, e := range engines {
			held := plan[e.Address]
			if held.From <= l && l < held.To && (pace == 0 || e.Card.StepTimeFactor < pace) {
				pace = e.Card.StepTimeFactor
			}
		}
		if pace == 0 {
			return 0
		}
		sum += pace * layer
	}
	return sum
}

// groupByDomain groups engines by failure domain, sorted by name.
func groupByDomain(all []placement.Engine) [][]placement.Engine {
	sorted := append([]placement.Engine(nil), all...)
	sort.SliceStable(sorted, func(i, j int) bool { return sorted[i].Domain < sorted[j].Domain })
	var out [][]placement.Engine
	for i, e := range sorted {
		if i == 0 || sorted[i-1].Domain != e.Domain {
			out = append(out, nil)
		}
		out[len(out)-1] = append(out[len(out)-1], e)
	}
	return out
}
