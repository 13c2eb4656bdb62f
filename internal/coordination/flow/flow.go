// Package flow computes the most that a mixed set of engines and links can
// carry: the maximum flow of the layered graph whose nodes are groups of like
// engines and whose edges are the links between failure domains. The flow is
// both the bound that throughput is measured against and the plan by which
// chains are chosen (scheduling pipelines by max-flow over mixed accelerators
// follows published work, Mei and others, 2024).
package flow

import (
	"math"
	"sort"

	"github.com/skylarkwood/skylarkwood/internal/model"
)

// Group is engines of one failure domain that hold the same layers.
type Group struct {
	Domain string
	Range  model.LayerRange
	// Rate is how many positions a second the group runs through its layers.
	Rate float64
}

// LinkRate gives how many positions a second go from one failure domain to
// another; infinity for no limit.
type LinkRate func(from, to string) float64

// Edge is a step of a plan from one group to the next; -1 stands for the ends.
type Edge struct{ From, To int }

// Plan is a maximum flow.
type Plan struct {
	// Rate is the bound: positions a second through the whole model.
	Rate float64
	// Flow is the part of it on each edge.
	Flow map[Edge]float64
}

// Source and Sink stand for the ends of the graph in an Edge.
const (
	Source = -1
	Sink   = -2
)

// Solve finds a maximum flow through a model of so many layers. A group takes
// over from another where its range reaches further and leaves no layer out;
// it then runs only what the other has not. Links are shared by all edges
// between the same two domains.
func Solve(groups []Group, layers int, link LinkRate) Plan {
	b := newBuilder(groups, layers, link)
	plan := Plan{Rate: b.net.maxFlow(b.source, b.sink), Flow: map[Edge]float64{}}
	for _, e := range b.ends {
		plan.add(e.Edge, b.net.flowOf(e.arc))
	}
	for _, w := range b.ways {
		w.split(b.net, plan)
	}
	return plan
}

func (p Plan) add(e Edge, f float64) {
	if f > tiny {
		p.Flow[e] += f
	}
}

type plannedEdge struct {
	Edge
	arc int
}

// builder lays the graph out. Each group is two nodes joined by an arc of its
// rate. What goes from one domain to another at one boundary of layers shares a
// way, an arc of the link's rate; a link used at several boundaries is split
// evenly over them.
type builder struct {
	net          *network
	source, sink int
	ends         []plannedEdge
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

// split gives each pair of groups its part of a way's flow: any that enters may
// leave to any, so the parts go by proportion.
func (w *way) split(n *network, p Plan) {
	total := 0.0
	for _, arc := range w.enters {
		total += n.flowOf(arc)
	}
	if total <= tiny {
		return
	}
	for i, a := range w.enters {
		for j, b := range w.leaves {
			p.add(Edge{i, j}, n.flowOf(a)*n.flowOf(b)/total)
		}
	}
}

func newBuilder(groups []Group, layers int, link LinkRate) *builder {
	b := &builder{net: &network{}, ways: map[pair]*way{}}
	b.source = b.net.node()
	b.sink = b.net.node()
	in := make([]int, len(groups))
	out := make([]int, len(groups))
	for i, g := range groups {
		in[i], out[i] = b.net.node(), b.net.node()
		b.net.arc(in[i], out[i], g.Rate)
		if g.Range.From == 0 {
			b.end(Edge{Source, i}, b.source, in[i])
		}
		if g.Range.To == layers {
			b.end(Edge{i, Sink}, out[i], b.sink)
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

func (b *builder) end(e Edge, from, to int) {
	b.ends = append(b.ends, plannedEdge{e, b.net.arc(from, to, math.Inf(1))})
}

// follows tells whether b takes over where a ends. Layers of b that a has run
// already are left out.
func follows(a, b model.LayerRange) bool {
	return b.From <= a.To && a.To < b.To
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

func (b *builder) way(p pair, link LinkRate, shares map[[2]string]int) *way {
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

func (n *network) flowOf(id int) float64 { return n.arcs[id^1].left }

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

// From lists the edges that leave a group, largest flow first.
func (p Plan) From(group int) []Edge {
	var out []Edge
	for e := range p.Flow {
		if e.From == group {
			out = append(out, e)
		}
	}
	sort.Slice(out, func(i, j int) bool {
		if p.Flow[out[i]] != p.Flow[out[j]] {
			return p.Flow[out[i]] > p.Flow[out[j]]
		}
		return out[i].To < out[j].To
	})
	return out
}
