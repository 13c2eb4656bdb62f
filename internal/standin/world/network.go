package world

import (
	"context"
	"encoding/json"
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/skylarkwood/skylarkwood/internal/fault"
	"github.com/skylarkwood/skylarkwood/internal/protocol/wire"
	"github.com/skylarkwood/skylarkwood/internal/transport/link"
)

// Methods for messages that the daemon sends over data streams.
const (
	methodForward wire.Method = "data.forward"
	methodTokens  wire.Method = "data.tokens"
)

// Link describes the interconnect between two failure domains.
type Link struct {
	// Delay is the one-way latency of a small message.
	Delay time.Duration
	// Rate is the capacity in positions per second. 0 means no limit.
	Rate float64
}

// Network simulates the network. It delays and loses messages, partitions pairs of processes
// and simulates processes that are suspended or exit.
type Network struct {
	mu      sync.Mutex
	rnd     *rand.Rand
	nodes   map[string]*node
	domains map[string]string
	cuts    map[[2]string]bool
	lossIn  int // one message in lossIn is lost; 0 means none
	link    func(from, to string) Link
	free    map[[2]string]time.Time // when the link between two domains becomes free
	sent    int
	carried map[[2]string]int // positions by pair of domains
}

type node struct {
	handlers map[wire.Method]link.Handler
	resumed  chan struct{} // closed while the node is not suspended
}

func newNetwork(seed uint64, between func(from, to string) Link) *Network {
	return &Network{
		rnd:     rand.New(rand.NewPCG(seed, 1)),
		nodes:   map[string]*node{},
		domains: map[string]string{},
		cuts:    map[[2]string]bool{},
		free:    map[[2]string]time.Time{},
		carried: map[[2]string]int{},
		link:    between,
	}
}

// join adds a process or its next incarnation at an address.
func (n *Network) join(addr, domain string, handlers map[wire.Method]link.Handler) {
	running := make(chan struct{})
	close(running)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.nodes[addr] = &node{handlers: handlers, resumed: running}
	n.domains[addr] = domain
}

// leave removes a process that exits.
func (n *Network) leave(addr string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.nodes, addr)
}

// Suspend suspends a process for d. The process does not respond during this time, and
// continues afterwards as if no time had passed.
func (n *Network) Suspend(addr string, d time.Duration) {
	n.mu.Lock()
	nd, ok := n.nodes[addr]
	if ok {
		nd.resumed = make(chan struct{})
	}
	n.mu.Unlock()
	if !ok {
		return
	}
	resumed := nd.resumed
	time.AfterFunc(d, func() { close(resumed) })
}

// SetPartitioned partitions the network between two processes, whose messages are then lost,
// or removes the partition.
func (n *Network) SetPartitioned(a, b string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts[[2]string{a, b}] = cut
	n.cuts[[2]string{b, a}] = cut
}

// SetLoss causes the loss of one in oneIn messages. 0 means no loss.
func (n *Network) SetLoss(oneIn int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lossIn = oneIn
}

// Sent returns the number of messages sent so far.
func (n *Network) Sent() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.sent
}

// PositionsCarried returns the number of positions sent between failure domains, by source
// and destination.
func (n *Network) PositionsCarried() map[[2]string]int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return maps.Clone(n.carried)
}

// delivery describes how a message is delivered.
type delivery struct {
	to           *node
	arrives      time.Time
	lost         bool
	responseLost bool
}

// send determines the delivery of a message with a number of positions.
func (n *Network) send(from, to string, positions int) delivery {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.sent++
	f := delivery{to: n.nodes[to], lost: n.cuts[[2]string{from, to}]}
	if n.lossIn > 0 {
		f.lost = f.lost || n.rnd.IntN(n.lossIn) == 0
		f.responseLost = n.rnd.IntN(n.lossIn) == 0
	}
	f.arrives = n.arrival(n.domains[from], n.domains[to], positions)
	return f
}

func (n *Network) arrival(from, to string, positions int) time.Time {
	l := n.link(from, to)
	leaves := time.Now()
	if l.Rate > 0 && positions > 0 {
		pair := [2]string{from, to}
		if n.free[pair].After(leaves) {
			leaves = n.free[pair]
		}
		leaves = leaves.Add(time.Duration(float64(positions) / l.Rate * float64(time.Second)))
		n.free[pair] = leaves
		n.carried[pair] += positions
	}
	jitter := time.Duration(n.rnd.Int64N(int64(l.Delay) + 1))
	return leaves.Add(l.Delay/2 + jitter)
}

func (n *Network) whenResumed(addr string) <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	if nd, ok := n.nodes[addr]; ok {
		return nd.resumed
	}
	running := make(chan struct{})
	close(running)
	return running
}

// peers connects a process to the network. Messages from one process to another stay in
// order, as on a connection.
type peers struct {
	net  *Network
	self string
	// tokensOnly is set if the process sends tokens instead of activations. Tokens do not
	// count against the capacity of links.
	tokensOnly bool

	mu     sync.Mutex
	queues map[string]chan func()
	ctx    context.Context // cancelled when the process exits
}

func newPeers(ctx context.Context, n *Network, self string, tokensOnly bool) *peers {
	return &peers{net: n, self: self, tokensOnly: tokensOnly, queues: map[string]chan func(){}, ctx: ctx}
}

var errExited = fault.New(fault.NotConnected, "no such process")

// Call implements owner.Peers.
func (p *peers) Call(ctx context.Context, addr string, m wire.Method, req, rep any) error {
	<-p.net.whenResumed(p.self)
	if p.ctx.Err() != nil {
		return errExited
	}
	body, err := json.Marshal(req)
	if err != nil {
		return err
	}
	type response struct {
		raw []byte
		err error
	}
	got := make(chan response, 1)
	f := p.net.send(p.self, addr, 0)
	if f.to == nil {
		return errExited
	}
	go func() {
		time.Sleep(time.Until(f.arrives))
		if f.lost {
			return
		}
		<-f.to.resumed
		if p.net.node(addr) != f.to {
			return // the process exited meanwhile
		}
		v, err := handle(context.WithoutCancel(p.ctx), f.to, p.self, m, body)
		raw, _ := json.Marshal(v)
		back := p.net.send(addr, p.self, 0)
		time.Sleep(time.Until(back.arrives))
		if !f.responseLost && !back.lost {
			got <- response{raw, err}
		}
	}()
	select {
	case a := <-got:
		<-p.net.whenResumed(p.self)
		if a.err != nil {
			f := fault.From(a.err)
			return &fault.Error{Kind: f.Kind, Msg: f.Msg, RetryAfter: f.RetryAfter}
		}
		if rep == nil {
			return nil
		}
		return json.Unmarshal(a.raw, rep)
	case <-ctx.Done():
		return fault.New(fault.Unreachable, "%s to %s: no response before the deadline", m, addr)
	}
}

func (n *Network) domainOf(addr string) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.domains[addr]
}

func (n *Network) node(addr string) *node {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.nodes[addr]
}

func handle(ctx context.Context, nd *node, from string, m wire.Method, body []byte) (any, error) {
	h, ok := nd.handlers[m]
	if !ok {
		return nil, fault.New(fault.NotFound, "no method %q", m)
	}
	return h(ctx, from, body)
}

// Notify implements owner.Peers.
func (p *peers) Notify(_ context.Context, addr string, m wire.Method, msg any) error {
	<-p.net.whenResumed(p.self)
	if p.ctx.Err() != nil {
		return errExited
	}
	body, err := json.Marshal(msg)
	if err != nil {
		return err
	}
	f := p.net.send(p.self, addr, p.positionsIn(msg))
	if f.to == nil {
		return errExited
	}
	if f.lost {
		return nil
	}
	deliver := func() {
		select {
		case <-time.After(time.Until(f.arrives)):
		case <-p.ctx.Done(): // queued messages of an exited process are lost
			return
		}
		<-f.to.resumed
		if p.net.node(addr) == f.to {
			_, _ = handle(context.WithoutCancel(p.ctx), f.to, p.self, m, body)
		}
	}
	select {
	case p.queue(addr) <- deliver:
	case <-p.ctx.Done():
	}
	return nil
}

func (p *peers) positionsIn(msg any) int {
	if m, ok := msg.(wire.Forward); ok && !p.tokensOnly {
		return len(m.Data)
	}
	return 0
}

func (p *peers) queue(addr string) chan func() {
	p.mu.Lock()
	defer p.mu.Unlock()
	q, ok := p.queues[addr]
	if !ok {
		q = make(chan func(), 1024)
		p.queues[addr] = q
		go p.pump(q)
	}
	return q
}

func (p *peers) pump(q chan func()) {
	for {
		select {
		case f := <-q:
			f()
		case <-p.ctx.Done():
			return
		}
	}
}

// Reset implements owner.Peers.
func (p *peers) Reset(string) {}

// Forward implements stage.Sender.
func (p *peers) Forward(ctx context.Context, to wire.Stage, f wire.Forward) error {
	return p.Notify(ctx, to.Address, methodForward, f)
}

// Tokens implements stage.Sender.
func (p *peers) Tokens(ctx context.Context, owner wire.Stage, t wire.Tokens) error {
	return p.Notify(ctx, owner.Address, methodTokens, t)
}

// NoStage implements stage.Sender.
func (p *peers) NoStage(ctx context.Context, addr string, n wire.NoStage) error {
	return p.Notify(ctx, addr, wire.MethodNoStage, n)
}

// StageFailed implements stage.Sender.
func (p *peers) StageFailed(ctx context.Context, addr string, f wire.StageFailed) error {
	return p.Notify(ctx, addr, wire.MethodStageFailed, f)
}
