// Package experiment compares ways to place a model's layers on a site's engines,
// without a network: what each plan bears, and how near that is to what any plan
// could.
package experiment

import (
	"math"
	"slices"
	"sort"

	"github.com/skylarkwood/skylarkwood/internal/coordination/placement"
	"github.com/skylarkwood/skylarkwood/internal/model"
)

// Site is what is placed: the model with its cards, and the engines.
type Site struct {
	Spec    *model.EngineSpec
	Engines []placement.Engine
}

// Planner makes a plan of engines that hold nothing.
type Planner struct {
	Name      string
	BuildPlan func(*model.EngineSpec, []placement.Engine) placement.Plan
}

// Result is what one planner's plan bears.
type Result struct {
	Planner string
	// Streams is how many usual requests have room at once, over all domains;
	// StreamShare is that as a share of the bound of memory.
	Streams, StreamShare float64
	// Prompts is how many usual prompts are read a second, over all domains;
	// PromptShare is that as a share of the bound of reading.
	Prompts, PromptShare float64
	// Domains is what each failure domain bears with its own engines.
	Domains []Domain
	// UncoveredLayers counts layers that nobody holds.
	UncoveredLayers int `json:"Bare"`
}

// Domain is what one failure domain bears without the pipes to others.
type Domain struct {
	Name             string
	Streams, Prompts float64
	// TokenMS is the least time a token takes through the domain's engines, in
	// ms, unloaded and without the hops between engines; 0 where layers lack.
	TokenMS float64
	// MinStages is how many engines the domain's shortest chain has; 0 where layers lack.
	// Each is one whose loss interrupts the streams of that chain.
	MinStages int `json:"Parts"`
	// ReplicatedShare is the share of the layers that two engines of the domain hold, or more.
	ReplicatedShare float64 `json:"Twice"`
	// AfterLoss is how many streams at once the domain bears without the one engine
	// whose loss costs most.
	AfterLoss float64
}

// Planners are the project's planner and what it is measured against.
func Planners() []Planner {
	return []Planner{
		{"by size", bySize},
		{"equal free tokens", equalTokens},
		{"fast cards apart", fastApart},
		{"planner", placement.BuildPlan},
	}
}

// Compare plans a site with each planner.
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
	reading := placement.MaxFlow(spec, plan, all, placement.PrefillCapacity(spec))
	r := Result{
		Planner:         name,
		Streams:         memory / usual(spec),
		StreamShare:     share(memory, placement.MemoryBound(spec, all)),
		Prompts:         reading / float64(max(spec.MeanPromptTokens, 1)),
		PromptShare:     share(reading, placement.PrefillBound(spec, all)),
		UncoveredLayers: len(placement.UncoveredLayers(spec, plan, all)),
	}
	for _, group := range domains(all) {
		r.Domains = append(r.Domains, Domain{
			Name:    group[0].Domain,
			Streams: placement.MaxFlow(spec, plan, group, placement.MemoryCapacity(spec)) / usual(spec),
			Prompts: placement.MaxFlow(spec, plan, group, placement.PrefillCapacity(spec)) / float64(max(spec.MeanPromptTokens, 1)),
			TokenMS: tokenMS(spec, plan, group),

			MinStages:       placement.MinStages(spec, plan, group),
			ReplicatedShare: twice(spec, plan, group),
			AfterLoss:       afterLoss(spec, plan, group),
		})
	}
	return r
}

func twice(spec *model.EngineSpec, plan placement.Plan, engines []placement.Engine) float64 {
	n := 0
	for _, held := range placement.Coverage(spec, plan, engines) {
		if held >= 2 {
			n++
		}
	}
	return share(float64(n), float64(spec.Layers))
}

// afterLoss takes the engines out one by one.
func afterLoss(spec *model.EngineSpec, plan placement.Plan, engines []placement.Engine) float64 {
	least := math.Inf(1)
	for i := range engines {
		left := slices.Delete(slices.Clone(engines), i, i+1)
		least = math.Min(least, placement.MaxFlow(spec, plan, left, placement.MemoryCapacity(spec)))
	}
	if math.IsInf(least, 1) {
		return 0
	}
	return least / usual(spec)
}

// usual is what a usual request holds, in tokens.
func usual(spec *model.EngineSpec) float64 {
	return float64(max(spec.MeanPromptTokens+spec.MeanAnswerTokens, 1))
}

func share(of, bound float64) float64 {
	if bound <= 0 {
		return 0
	}
	return of / bound
}

// tokenMS adds up each layer at its fastest holder.
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

// domains groups engines by failure domain, by name.
func domains(all []placement.Engine) [][]placement.Engine {
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
