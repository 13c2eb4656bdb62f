// Package soak drives the decisions of entries and sidecars through long
// randomised schedules of failures, in virtual time and without sockets. The
// programs' own invariants are on; what callers were told is compared with what
// the backends counted.
package soak

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/skylarkwood/skylarkwood/internal/fault"
	"github.com/skylarkwood/skylarkwood/internal/protocol/wire"
	"github.com/skylarkwood/skylarkwood/internal/transport/link"
)

// network stands in for the links: it delays, loses messages and answers, cuts
// pairs of processes off, and lets processes freeze and die.
type network struct {
	mu     sync.Mutex
	rnd    *rand.Rand
	nodes  map[string]*node
	cuts   map[[2]string]bool
	lossIn int // one message in so many is lost; 0 for none
	delay  time.Duration
	sent   int
}

type node struct {
	handlers map[wire.Method]link.Handler
	thawed   chan struct{} // closed while the node runs
}

func newNetwork(seed uint64) *network {
	return &network{
		rnd:   rand.New(rand.NewPCG(seed, 1)),
		nodes: map[string]*node{},
		cuts:  map[[2]string]bool{},
		delay: 2 * time.Millisecond,
	}
}

// join adds a process, or its next incarnation, under an address.
func (n *network) join(addr string, handlers map[wire.Method]link.Handler) {
	running := make(chan struct{})
	close(running)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.nodes[addr] = &node{handlers: handlers, thawed: running}
}

// leave is the death of a process.
func (n *network) leave(addr string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.nodes, addr)
}

// freeze stops a process for a while: nothing it is asked is answered, and it
// carries on afterwards as if no time had passed.
func (n *network) freeze(addr string, d time.Duration) {
	n.mu.Lock()
	nd, ok := n.nodes[addr]
	if ok {
		nd.thawed = make(chan struct{})
	}
	n.mu.Unlock()
	if !ok {
		return
	}
	thawed := nd.thawed
	time.AfterFunc(d, func() { close(thawed) })
}

func (n *network) setCut(a, b string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts[[2]string{a, b}] = cut
	n.cuts[[2]string{b, a}] = cut
}

func (n *network) setLoss(oneIn int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lossIn = oneIn
}

// fate decides on one message.
func (n *network) fate(from, to string) (nd *node, wait time.Duration, lost, answerLost bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.sent++
	if n.lossIn > 0 {
		lost = n.rnd.IntN(n.lossIn) == 0
		answerLost = n.rnd.IntN(n.lossIn) == 0
	}
	wait = time.Duration(n.rnd.Int64N(int64(n.delay)) + 1)
	return n.nodes[to], wait, lost || n.cuts[[2]string{from, to}], answerLost
}

func (n *network) frozen(addr string) <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	if nd, ok := n.nodes[addr]; ok {
		return nd.thawed
	}
	running := make(chan struct{})
	close(running)
	return running
}

// peers is one process's way into the network. Messages from one process to
// another keep their order, as on a connection.
type peers struct {
	net  *network
	self string

	mu     sync.Mutex
	queues map[string]chan func()
	ctx    context.Context // ends with the process
}

func newPeers(ctx context.Context, n *network, self string) *peers {
	return &peers{net: n, self: self, queues: map[string]chan func(){}, ctx: ctx}
}

var errGone = fault.New(fault.Unreachable, "no such process")

// Call implements owner.Peers.
func (p *peers) Call(ctx context.Context, addr string, m wire.Method, req, rep any) error {
	<-p.net.frozen(p.self)
	if p.ctx.Err() != nil {
		return errGone
	}
	body, err := json.Marshal(req)
	if err != nil {
		return err
	}
	type answer struct {
		raw []byte
		err error
	}
	got := make(chan answer, 1)
	nd, wait, lost, answerLost := p.net.fate(p.self, addr)
	if nd == nil {
		return errGone
	}
	go func() {
		time.Sleep(wait)
		if lost {
			return
		}
		<-nd.thawed
		if p.net.node(addr) != nd {
			return // died meanwhile
		}
		v, err := handle(context.WithoutCancel(p.ctx), nd, p.self, m, body)
		raw, _ := json.Marshal(v)
		if !answerLost {
			got <- answer{raw, err}
		}
	}()
	select {
	case a := <-got:
		<-p.net.frozen(p.self)
		if a.err != nil {
			f := fault.From(a.err)
			return &fault.Error{Kind: f.Kind, Msg: f.Msg, RetryAfter: f.RetryAfter}
		}
		if rep == nil {
			return nil
		}
		return json.Unmarshal(a.raw, rep)
	case <-ctx.Done():
		return fault.New(fault.Unreachable, "%s to %s: no answer in time", m, addr)
	}
}

func (n *network) node(addr string) *node {
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
	<-p.net.frozen(p.self)
	if p.ctx.Err() != nil {
		return errGone
	}
	body, err := json.Marshal(msg)
	if err != nil {
		return err
	}
	nd, wait, lost, _ := p.net.fate(p.self, addr)
	if nd == nil {
		return errGone
	}
	if lost {
		return nil
	}
	deliver := func() {
		time.Sleep(wait)
		<-nd.thawed
		if p.net.node(addr) == nd {
			_, _ = handle(context.WithoutCancel(p.ctx), nd, p.self, m, body)
		}
	}
	select {
	case p.queue(addr) <- deliver:
	case <-p.ctx.Done():
	}
	return nil
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

// Forward, Tokens and Failed implement stage.Sender.
func (p *peers) Forward(ctx context.Context, addr string, f wire.Forward) error {
	return p.Notify(ctx, addr, wire.MethodForward, f)
}

// Tokens implements stage.Sender.
func (p *peers) Tokens(ctx context.Context, addr string, t wire.Tokens) error {
	return p.Notify(ctx, addr, wire.MethodTokens, t)
}

// Failed implements stage.Sender.
func (p *peers) Failed(ctx context.Context, addr string, f wire.StageFailed) error {
	return p.Notify(ctx, addr, wire.MethodStageFailed, f)
}
