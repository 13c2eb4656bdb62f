package relay

import "github.com/skylarkwood/skylarkwood/internal/model"

// takeServer returns the least costly backend server whose rate limit and pause grant the
// request, or nil.
func (q *request) takeServer() *model.BackendServer {
	for {
		b := q.leastCostServer()
		if b == nil || q.takePermission(b.Incarnation()) {
			return b
		}
	}
}

// leastCostServer returns the backend server with the lowest expected wait, or nil. Servers
// whose rate limit or pause allows no request now are left out.
// The cost combines this router's load there, latency, failure rate and a small charge
// for another failure domain. Suspected servers are considered only if all others are
// excluded, as a suspicion of every server is probably wrong.
func (q *request) leastCostServer() *model.BackendServer {
	var best *model.BackendServer
	var lowest float64
	q.withheld = false
	for _, allowSuspects := range []bool{false, true} {
		for _, b := range q.Catalog.Load().Service(q.admitted.Service.Name) {
			view := q.Health.View(b.Incarnation())
			if q.avoid[b.Incarnation()] || q.excluded.excludes(b) || view.Suspected && !allowSuspects {
				continue
			}
			if !q.Limits.Available(b.Incarnation()) || q.Pauses.Wait(b.Incarnation()) > 0 {
				q.withheld = true
				continue
			}
			cost := (1 + float64(view.Active)) * (0.01 + view.DecayedLatency.Seconds()) * (1 + 8*view.FailureRate)
			if b.FailureDomain != q.FailureDomain {
				cost += 0.001
			}
			if best == nil || cost < lowest {
				best = b
				lowest = cost
			}
		}
		if best != nil {
			return best
		}
	}
	return nil
}
