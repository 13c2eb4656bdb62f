package share

import (
	"math"
	"slices"
	"sort"
)

// floorShare is the part of the average served fraction that each priority gets at least.
// Callers need a quarter; the rest is a margin, because requests are served whole and those
// that wait too long leave.
const floorShare = 0.35

// column holds the demand of the other routers at one priority in ascending order.
type column struct {
	demands []float64
	sums    []float64 // sums[i] is the sum of the first i demands
}

func (c *column) reset() { c.demands, c.sums = c.demands[:0], c.sums[:0] }

func (c *column) sort() {
	slices.Sort(c.demands)
	c.sums = append(c.sums[:0], 0)
	for i, d := range c.demands {
		c.sums = append(c.sums, c.sums[i]+d)
	}
}

func (c *column) total() float64 {
	if len(c.sums) == 0 {
		return 0
	}
	return c.sums[len(c.demands)]
}

// level returns the largest amount that no router exceeds if budget is divided max-min
// fairly among the routers of the column and one with demand own. It is infinite if all
// demand is met.
func (c *column) level(own, budget float64) float64 {
	n := len(c.demands)
	if c.total()+own <= budget {
		return math.Inf(1)
	}
	// full is the number of routers of the column whose demand is met.
	full := sort.Search(n, func(i int) bool {
		d := c.demands[i]
		return c.sums[i]+d*float64(n-i)+min(own, d) > budget
	})
	rest := budget - c.sums[full]
	if alone := rest / float64(n-full+1); alone <= own {
		return max(alone, 0)
	}
	return max((rest-own)/float64(n-full), 0)
}

// budgets divides limit among priorities with the given demand. Each gets its floor, and the
// rest goes to the most urgent first.
func budgets(demand *[Priorities]float64, limit float64) [Priorities]float64 {
	total := 0.0
	for _, d := range demand {
		total += d
	}
	if total <= limit {
		return *demand
	}
	out := [Priorities]float64{}
	rest := limit * (1 - floorShare)
	for p, d := range demand {
		floor := floorShare * d * limit / total
		out[p] = min(d, floor+rest)
		rest -= out[p] - floor
	}
	return out
}
