package flow

import "math"

// The maximum flow of the layered graph by Dinic's algorithm (1970): the check
// on Solve where no tokens go back to the first stage.

// maxFlow is the most that engines and links carry.
func maxFlow(groups []Group, layers int, link InterconnectRate) float64 {
	b := newGraphBuilder(groups, layers, link)
	return b.net.maxFlow(b.source, b.sink)
}

// graphBuilder lays the graph out. Each group is two nodes joined by an arc of its
// rate. What goes from one domain to another at one boundary of layers shares a
// way, an arc of the link's rate; a link used at several boundaries is split
// evenly over them.
type graphBuilder struct {
	net          *network
	source, sink int
	crossings    map[crossingKey]*crossing
}

// crossingKey is the way between two domains at one boundary of layers.
type crossingKey struct {
	from, to string
	boundary int
}

// crossing is the arcs into and out of a shared link, by group.
type crossing struct {
	in, out        int
	enters, leaves map[int]int
}

func newGraphBuilder(groups []Group, layers int, link InterconnectRate) *graphBuilder {
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
				w := b.crossing(crossingKey{g.Domain, h.Domain, g.Range.To}, link, shares)
				b.connect(w.enters, i, out[i], w.in)
				b.connect(w.leaves, j, w.out, in[j])
			}
		}
	}
	return b
}

// countBoundaries counts at how many countBoundaries each pair of domains is used.
func countBoundaries(groups []Group) map[[2]string]int {
	used := map[crossingKey]bool{}
	n := map[[2]string]int{}
	for _, g := range groups {
		for _, h := range groups {
			p := crossingKey{g.Domain, h.Domain, g.Range.To}
			if follows(g.Range, h.Range) && !used[p] {
				used[p] = true
				n[[2]string{g.Domain, h.Domain}]++
			}
		}
	}
	return n
}

func (b *graphBuilder) crossing(p crossingKey, link InterconnectRate, shares map[[2]string]int) *crossing {
	if w, ok := b.crossings[p]; ok {
		return w
	}
	w := &crossing{in: b.net.node(), out: b.net.node(), enters: map[int]int{}, leaves: map[int]int{}}
	b.net.arc(w.in, w.out, link(p.from, p.to)/float64(shares[[2]string{p.from, p.to}]))
	b.crossings[p] = w
	return w
}

// connect adds the arc of a group to a way once.
func (b *graphBuilder) connect(arcs map[int]int, group, from, to int) {
	if _, ok := arcs[group]; !ok {
		arcs[group] = b.net.arc(from, to, math.Inf(1))
	}
}

// network is a graph for Dinic's algorithm (1970), with capacities in float64.
type network struct {
	arcs     []arc
	outgoing [][]int // arc numbers by node; arc n and n^1 are each other's reverse
}

type arc struct {
	to       int
	residual float64
}

// minCapacity is what counts as no capacity, against rounding.
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

func (n *network) augment(u, sink int, most float64, level, next []int) float64 {
	if u == sink {
		return most
	}
	for ; next[u] < len(n.outgoing[u]); next[u]++ {
		id := n.outgoing[u][next[u]]
		a := &n.arcs[id]
		if a.residual <= minCapacity || level[a.to] != level[u]+1 {
			continue
		}
		f := n.augment(a.to, sink, math.Min(most, a.residual), level, next)
		if f > minCapacity {
			a.residual -= f
			n.arcs[id^1].residual += f
			return f
		}
	}
	return 0
}
