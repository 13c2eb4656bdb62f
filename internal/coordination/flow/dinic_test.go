package flow

import "math"

// This file computes the maximum flow of the layered graph by Dinic's algorithm (1970), as
// a reference for Solve.

// maxFlow returns the greatest rate that groups and interconnects allow.
func maxFlow(groups []Group, layers int, rate InterconnectRate) float64 {
	b := newGraphBuilder(groups, layers, rate)
	return b.net.maxFlow(b.source, b.sink)
}

// graphBuilder builds the flow graph. Each group is two nodes joined by an arc of its
// rate. The flow from one failure domain to another at one layer boundary shares a
// crossing, an arc of the rate of the interconnect. The rate is split evenly over the
// boundaries at which the interconnect is used.
type graphBuilder struct {
	net          *network
	source, sink int
	crossings    map[crossingKey]*crossing
}

// crossingKey identifies the crossing between two failure domains at one layer boundary.
type crossingKey struct {
	from, to string
	boundary int
}

// crossing holds the nodes of a shared interconnect, and the arcs into and out of it by
// group.
type crossing struct {
	in, out        int
	enters, leaves map[int]int
}

func newGraphBuilder(groups []Group, layers int, rate InterconnectRate) *graphBuilder {
	b := &graphBuilder{net: &network{}, crossings: map[crossingKey]*crossing{}}
	b.source = b.net.node()
	b.sink = b.net.node()
	in := make([]int, len(groups))
	out := make([]int, len(groups))
	for i, g := range groups {
		in[i], out[i] = b.net.node(), b.net.node()
		b.net.arc(in[i], out[i], g.Rate)
		if g.Range.From == 0 {
			b.net.arc(b.source, in[i], math.Inf(1))
		}
		if g.Range.To == layers {
			b.net.arc(out[i], b.sink, math.Inf(1))
		}
	}
	shares := countBoundaries(groups)
	for i, g := range groups {
		for j, h := range groups {
			if follows(g.Range, h.Range) {
				c := b.crossing(crossingKey{g.Domain, h.Domain, g.Range.To}, rate, shares)
				b.connect(c.enters, i, out[i], c.in)
				b.connect(c.leaves, j, c.out, in[j])
			}
		}
	}
	return b
}

// countBoundaries returns the number of layer boundaries at which each pair of failure
// domains is used.
func countBoundaries(groups []Group) map[[2]string]int {
	used := map[crossingKey]bool{}
	counts := map[[2]string]int{}
	for _, g := range groups {
		for _, h := range groups {
			key := crossingKey{g.Domain, h.Domain, g.Range.To}
			if follows(g.Range, h.Range) && !used[key] {
				used[key] = true
				counts[[2]string{g.Domain, h.Domain}]++
			}
		}
	}
	return counts
}

func (b *graphBuilder) crossing(key crossingKey, rate InterconnectRate, shares map[[2]string]int) *crossing {
	if c, ok := b.crossings[key]; ok {
		return c
	}
	c := &crossing{in: b.net.node(), out: b.net.node(), enters: map[int]int{}, leaves: map[int]int{}}
	b.net.arc(c.in, c.out, rate(key.from, key.to)/float64(shares[[2]string{key.from, key.to}]))
	b.crossings[key] = c
	return c
}

// connect adds the arc of a group to a crossing unless it exists.
func (b *graphBuilder) connect(arcs map[int]int, group, from, to int) {
	if _, ok := arcs[group]; !ok {
		arcs[group] = b.net.arc(from, to, math.Inf(1))
	}
}

// network is a flow graph with float64 capacities.
type network struct {
	arcs     []arc
	outgoing [][]int // arc numbers by node, arcs n and n^1 are reverse to each other
}

type arc struct {
	to       int
	residual float64
}

// minCapacity is the capacity below which an arc counts as full, because of rounding.
const minCapacity = 1e-6

func (n *network) node() int {
	n.outgoing = append(n.outgoing, nil)
	return len(n.outgoing) - 1
}

func (n *network) arc(from, to int, capacity float64) int {
	id := len(n.arcs)
	n.arcs = append(n.arcs, arc{to, capacity}, arc{from, 0})
	n.outgoing[from] = append(n.outgoing[from], id)
	n.outgoing[to] = append(n.outgoing[to], id+1)
	return id
}

func (n *network) maxFlow(source, sink int) float64 {
	total := 0.0
	for {
		level := n.levels(source)
		if level[sink] < 0 {
			return total
		}
		next := make([]int, len(n.outgoing))
		for {
			f := n.augment(source, sink, math.Inf(1), level, next)
			if f <= minCapacity {
				break
			}
			total += f
		}
	}
}

func (n *network) levels(source int) []int {
	level := make([]int, len(n.outgoing))
	for i := range level {
		level[i] = -1
	}
	level[source] = 0
	queue := []int{source}
	for len(queue) > 0 {
		u := queue[0]
		queue = queue[1:]
		for _, id := range n.outgoing[u] {
			if a := n.arcs[id]; a.residual > minCapacity && level[a.to] < 0 {
				level[a.to] = level[u] + 1
				queue = append(queue, a.to)
			}
		}
	}
	return level
}

func (n *network) augment(u, sink int, limit float64, level, next []int) float64 {
	if u == sink {
		return limit
	}
	for ; next[u] < len(n.outgoing[u]); next[u]++ {
		id := n.outgoing[u][next[u]]
		a := &n.arcs[id]
		if a.residual <= minCapacity || level[a.to] != level[u]+1 {
			continue
		}
		f := n.augment(a.to, sink, math.Min(limit, a.residual), level, next)
		if f > minCapacity {
			a.residual -= f
			n.arcs[id^1].residual += f
			return f
		}
	}
	return 0
}
