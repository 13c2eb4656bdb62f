package peers

import (
	"cmp"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/skylarkwood/skylarkwood/internal/coordination/chains"
	"github.com/skylarkwood/skylarkwood/internal/coordination/share"
	"github.com/skylarkwood/skylarkwood/internal/protocol/wire"
)

const (
	// maxDemands is the maximum number of demands in a heartbeat: some 16 KB. With more, as 18
	// failure domains have between all of them at six priorities, the largest are sent.
	maxDemands = 512
	// maxDemandMbps is the maximum amount of a demand. No interconnect is that fast.
	maxDemandMbps = 1e6
	// maxDemandPriority is the maximum priority of a demand. Priorities are small numbers.
	maxDemandPriority = 1 << 20
	// invalidLogInterval is the minimum time between two log lines on invalid demands. A peer
	// may repeat them with each heartbeat.
	invalidLogInterval = time.Minute
)

// encodeDemands returns the demands to send: all, or the maxDemands largest.
func encodeDemands(demands []chains.PairDemand) []wire.ResourceDemand {
	if len(demands) > maxDemands {
		slices.SortFunc(demands, func(a, b chains.PairDemand) int { return cmp.Compare(b.Used+b.Unmet, a.Used+a.Unmet) })
		demands = demands[:maxDemands]
	}
	var out []wire.ResourceDemand
	for _, d := range demands {
		out = append(out, wire.ResourceDemand{A: d.A, B: d.B, Priority: int64(d.Priority), Used: d.Used, Unmet: d.Unmet})
	}
	return out
}

// validDemands returns the valid demands of a peer and logs that others were ignored. Of demands
// with the same domains and priority the first is valid.
func (x *Exchange) validDemands(from string, demands []wire.ResourceDemand) []chains.PairDemand {
	if len(demands) == 0 {
		return nil
	}
	if len(demands) > maxDemands {
		x.logInvalidDemands(from, len(demands), wire.ResourceDemand{})
		return nil
	}
	type demandKey struct {
		pair     chains.DomainPair
		priority int64
	}
	servers := x.Catalog.Load()
	seen := map[demandKey]bool{}
	ignored := 0
	var first wire.ResourceDemand
	var out []chains.PairDemand
	for _, d := range demands {
		key := demandKey{chains.DomainPair{A: min(d.A, d.B), B: max(d.A, d.B)}, d.Priority}
		if seen[key] || !validDemand(d) || !servers.HasDomain(d.A) || !servers.HasDomain(d.B) {
			if ignored == 0 {
				first = d
			}
			ignored++
			continue
		}
		seen[key] = true
		out = append(out, chains.PairDemand{DomainPair: key.pair, Demand: share.Demand{Priority: int(d.Priority), Used: d.Used, Unmet: d.Unmet}})
	}
	if ignored > 0 {
		x.logInvalidDemands(from, ignored, first)
	}
	return out
}

// validDemand reports whether the amounts and the priority of a demand are possible. The
// comparisons are false for NaN.
func validDemand(d wire.ResourceDemand) bool {
	valid := func(amount float64) bool { return amount >= 0 && amount <= maxDemandMbps }
	return d.A != d.B && d.Priority >= 0 && d.Priority <= maxDemandPriority && valid(d.Used) && valid(d.Unmet)
}

func (x *Exchange) logInvalidDemands(from string, ignored int, first wire.ResourceDemand) {
	x.mu.Lock()
	now := x.Now()
	logged := now.Sub(x.demandsLogged) < invalidLogInterval
	if !logged {
		x.demandsLogged = now
	}
	x.mu.Unlock()
	if !logged {
		klog.InfoS("invalid interconnect demands of a peer ignored", "peer", from, "ignored", ignored, "first", first)
	}
}
