package routes

import (
	"slices"
	"time"

	"github.com/skylarkwood/skylarkwood/internal/model"
)

// waitTarget is the target latency that bounds the wait of requests with an urgency.
type waitTarget struct {
	urgency int
	target  time.Duration
}

// waitTargets returns the least target latency of each service's requests up to each urgency
// that occurs, the most urgent first. The target never increases with the urgency value, so a
// less urgent request does not wait longer than a more urgent one. Routes without a target set
// no bound. priorities are the distinct priorities of each service's routes.
func waitTargets(cfg *model.RouteConfig, priorities map[string][]int) map[string][]waitTarget {
	out := map[string][]waitTarget{}
	for i := range cfg.Routes {
		r := &cfg.Routes[i]
		if r.TargetLatency <= 0 {
			continue
		}
		for _, share := range r.Split {
			for _, p := range requestPriorities(cfg, r) {
				out[share.Service] = append(out[share.Service], waitTarget{urgency(p, r.Priority, priorities[share.Service]), r.TargetLatency})
			}
		}
	}
	for _, targets := range out {
		slices.SortFunc(targets, func(a, b waitTarget) int { return a.urgency - b.urgency })
		for i := 1; i < len(targets); i++ {
			targets[i].target = min(targets[i].target, targets[i-1].target)
		}
	}
	return out
}

// requestPriorities returns the priorities that requests of a route can have: those of the
// customers, and the route's for customers without one.
func requestPriorities(cfg *model.RouteConfig, r *model.Route) []int {
	var out []int
	if len(cfg.Customers) == 0 || r.AllowAnonymous {
		out = append(out, r.Priority)
	}
	for _, c := range cfg.Customers {
		if c.Priority != nil {
			out = append(out, *c.Priority)
		} else {
			out = append(out, r.Priority)
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// waitTarget returns the least target latency of the service's requests that are at least as
// urgent as the given one. If none of them has a target, it returns that of the next less
// urgent ones.
func (t *Table) waitTarget(service string, urgency int) time.Duration {
	targets := t.waitTargets[service]
	if len(targets) == 0 {
		return 0
	}
	after, _ := slices.BinarySearchFunc(targets, urgency+1, func(w waitTarget, u int) int { return w.urgency - u })
	return targets[max(after-1, 0)].target
}
