package chains

import (
	"math"
	"sync"
	"time"
)

const (
	// pipeMemory is over how long the traffic of a pipe is averaged: prompts
	// arrive at random, some tens a second.
	pipeMemory = time.Second
	// pipeLimit is the share of a pipe's rate that is given out. Transfers go
	// one after another, so that the wait grows without bound towards 1; each
	// router sees the others' share with a delay.
	pipeLimit = 0.5
)

// ownShares is how many equal shares of what a pipe gives out one router may
// take. When a domain loses an engine all routers turn to the pipes within the
// quarter of a second before they hear of each other; four shares are for the
// few routers of that domain.
const ownShares = 4

// Pair names two failure domains in alphabetical order.
type Pair struct{ A, B string }

func pairOf(a, b string) Pair {
	if a > b {
		a, b = b, a
	}
	return Pair{A: a, B: b}
}

// Pipes counts what chains move between failure domains, in Mbit/s: this
// router's own streams, and what others last told of theirs.
type Pipes struct {
	now func() time.Time

	mu    sync.Mutex
	own   map[Pair]*decaying
	peers map[string]pipeCount
}

type pipeCount struct {
	at   time.Time
	rate map[Pair]float64
}

// decaying is a sum whose parts fade.
type decaying struct {
	at    time.Time
	value float64
}

func (d *decaying) add(now time.Time, n float64) {
	d.value = d.read(now) + n
	d.at = now
}

func (d *decaying) read(now time.Time) float64 {
	return d.value * math.Exp(-now.Sub(d.at).Seconds()/pipeMemory.Seconds())
}

// NewPipes makes an empty count.
func NewPipes(now func() time.Time) *Pipes {
	return &Pipes{now: now, own: map[Pair]*decaying{}, peers: map[string]pipeCount{}}
}

// Use counts the megabits that a chain will move between two domains.
func (p *Pipes) Use(a, b string, mbit float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	pair := pairOf(a, b)
	d, ok := p.own[pair]
	if !ok {
		d = &decaying{}
		p.own[pair] = d
	}
	d.add(p.now(), mbit/pipeMemory.Seconds())
}

// Allows tells whether there is room for so many megabits more between two
// domains, on a pipe of so many Mbit/s that some routers share.
func (p *Pipes) Allows(a, b string, mbit, pipe float64, routers int) bool {
	if p.Rate(a, b)+mbit > pipe*pipeLimit {
		return false
	}
	share := pipe * pipeLimit * ownShares / float64(max(routers, ownShares))
	own := p.ownRate(a, b)
	// One request passes even where it is larger than the share.
	return own+mbit <= share || own < 1
}

func (p *Pipes) ownRate(a, b string) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	if d, ok := p.own[pairOf(a, b)]; ok {
		return d.read(p.now())
	}
	return 0
}

// Rate is what passes between two domains, in Mbit/s, as far as known here.
func (p *Pipes) Rate(a, b string) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	pair := pairOf(a, b)
	now := p.now()
	sum := 0.0
	if d, ok := p.own[pair]; ok {
		sum = d.read(now)
	}
	for _, c := range p.peers {
		if now.Sub(c.at) < peerExpiry {
			sum += c.rate[pair]
		}
	}
	return sum
}

// Own copies what this router's streams move.
func (p *Pipes) Own() map[Pair]float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := map[Pair]float64{}
	for pair, d := range p.own {
		if rate := d.read(p.now()); rate >= 1 {
			out[pair] = rate
		}
	}
	return out
}

// SeenPeer takes in what another router's streams move.
func (p *Pipes) SeenPeer(peer string, rate map[Pair]float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.peers[peer] = pipeCount{at: p.now(), rate: rate}
}
