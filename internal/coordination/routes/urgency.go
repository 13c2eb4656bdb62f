package routes

import (
	"slices"

	"github.com/skylarkwood/skylarkwood/internal/model"
)

// routePriorities returns the distinct priorities of each service's routes, the most urgent
// first.
func routePriorities(cfg *model.RouteConfig) map[string][]int {
	out := map[string][]int{}
	for _, r := range cfg.Routes {
		for _, share := range r.Split {
			out[share.Service] = append(out[share.Service], r.Priority)
		}
	}
	for service, priorities := range out {
		slices.Sort(priorities)
		out[service] = slices.Compact(priorities)
	}
	return out
}

// setUrgency sets the urgency of an admitted request from the priorities of its customer and
// its route.
func (t *Table) setUrgency(a *Admission) {
	priorities := t.priorities[a.Service.Name]
	a.Urgency = a.Priority
	a.Prioritized = len(priorities) > 1
	if !a.Prioritized {
		return
	}
	a.Urgency = urgency(a.Priority, a.Route.Priority, priorities)
	a.WaitTarget = t.waitTarget(a.Service.Name, a.Urgency)
}

// urgency returns the urgency of a request from its priority and that of its route. priorities
// are the distinct priorities of the service's routes.
func urgency(priority, routePriority int, priorities []int) int {
	level, _ := slices.BinarySearch(priorities, routePriority)
	return priority*len(priorities) + level
}
