package flow

import "math"

// The maximum flow of the layered graph by Dinic's algorithm (1970): the check
// on Solve where no tokens go back to the first stage.

// maxFlow is the most that engines and links carry.
func maxFlow(groups []Group, layers int, link InterconnectRate) float64 {
	b := newBuilder(groups, layers, link)
	return b.net.maxFlow(b.source, b.sink)
}

// builder lays the graph out. Each group is two nodes joined by an arc of its
// rate. What goes from one domain to another at one boundary of layers shares a
// way, an arc of the link's rate; a link used at several boundaries is split
// evenly over them.
type builder struct {
	net          *network
	source, sink int
	ways         map[pair]*way
}

// pair is the way between two domains at one boundary of layers.
type pair struct {
	from, to string
	boundary int
}

// way is the arcs into and out of a shared link, by group.
type way struct {
	in, out        int
	enters, leaves map[int]int
}

func newBuilder(groups []Group, layers int, link InterconnectRate) *builder {
	b := &builder{net: &network{}, ways: map[pair]*way{}}
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
	shares := boundaries(groups)
	for i, g := range groups {
		for j, h := range groups {
			if follows(g.Range, h.Range) {
				w := b.way(pair{g.Domain, h.Domain, g.Range.To}, link, shares)
				b.join(w.enters, i, out[i], w.in)
				b.join(w.leaves, j, w.out, in[j])
			}
		}
	}
	return b
}

// boundaries counts at how many boundaries each pair of domains is used.
func boundaries(groups []Group) map[[2]string]int {
	used := map[pair]bool{}
	n := map[[2]string]int{}
	for _, g := range groups {
		for _, h := range groups {
			p := pair{g.Domain, h.Domain, g.Range.To}
			if follows(g.Range, h.Range) && !used[p] {
				used[p] = true
				n[[2]string{g.Domain, h.Domain}]++
			}
		}
	}
	return n
}

func (b *builder) way(p pair, link InterconnectRate, shares map[[2]string]int) *way {
	if w, ok := b.ways[p]; ok {
		return w
	}
	w := &way{in: b.net.node(), out: b.net.node(), enters: map[int]int{}, leaves: map[int]int{}}
	b.net.arc(w.in, w.out, link(p.from, p.to)/float64(shares[[2]string{p.from, p.to}]))
	b.ways[p] = w
	return w
}

// join adds the arc of a group to a way once.
func (b *builder) join(arcs map[int]int, group, from, to int) {
	if _, ok := arcs[group]; !ok {
		arcs[group] = b.net.arc(from, to, math.Inf(1))
	}
}

// network is a graph for Dinic's algorithm (1970), with capacities in float64.
type network struct {
	arcs []arc
	out  [][]int // arc numbers by node; arc n and n^1 are each other's reverse
}

type arc struct {
	to   int
	left float64
}

// tiny is what counts as no capacity, against rounding.
const tiny = 1e-6

func (n *network) node() int {
	n.out = append(n.out, nil)
	return len(n.out) - 1
}

func (n *network) arc(from, to int, capacity float64) int {
	id := len(n.arcs)
	n.arcs = append(n.arcs, arc{to, capacity}, arc{from, 0})
	n.out[from] = append(n.out[from], id)
	n.out[to] = append(n.out[to], id+1)
	return id
}

func (n *network) maxFlow(source, sink int) float64 {
	total := 0.0
	for {
		level := n.levels(source)
		if level[sink] < 0 {
			return total
		}
		next := make([]int, len(n.out))
		for {
			f := n.push(source, sink, math.Inf(1), level, next)
			if f <= tiny {
				break
			}
			total += f
		}
	}
}

func (n *network) levels(source int) []int {
	level := make([]int, len(n.out))
	for i := range level {
		level[i] = -1
	}
	level[source] = 0
	queue := []int{source}
	for len(queue) > 0 {
		u := queue[0]
		queue = queue[1:]
		for _, id := range n.out[u] {
			if a := n.arcs[id]; a.left > tiny && level[a.to] < 0 {
				level[a.to] = level[u] + 1
				queue = append(queue, a.to)
			}
		}
	}
	return level
}

func (n *network) push(u, sink int, most float64, level, next []int) float64 {
	if u == sink {
		return most
	}
	for ; next[u] < len(n.out[u]); next[u]++ {
		id := n.out[u][next[u]]
		a := &n.arcs[id]
		if a.left <= tiny || level[a.to] != level[u]+1 {
			continue
		}
		f := n.push(a.to, sink, math.Min(most, a.left), level, next)
		if f > tiny {
			a.left -= f
			n.arcs[id^1].left += f
			return f
		}
	}
	return 0
}
