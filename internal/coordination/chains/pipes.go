package chains

import (
	"math"
	"sync"
	"time"
)

const (
	// rateDecayTime is the averaging time of a pipe's traffic.
	rateDecayTime = time.Second
	// maxQueueingShare is the share of the longest pause between events that waiting at a
	// pipe may take on average.
	maxQueueingShare = 0.1
	// defaultMaxEventGap is that pause for routes that name none.
	defaultMaxEventGap = 200 * time.Millisecond
)

// sharesPerRouter is how many equal shares of what a pipe gives out one router may
// take. When a domain loses an engine all routers turn to the pipes within the
// quarter of a second before they hear of each other; four shares are for the
// few routers of that domain.
const sharesPerRouter = 4

// DomainPair names two failure domains in alphabetical order.
type DomainPair struct{ A, B string }

func pairOf(a, b string) DomainPair {
	if a > b {
		a, b = b, a
	}
	return DomainPair{A: a, B: b}
}

// Interconnect counts what chains move between failure domains, in Mbit/s: this
// router's own streams, and what others last told of theirs.
type Interconnect struct {
	now func() time.Time

	mu    sync.Mutex
	own   map[DomainPair]*decayingSum
	peers map[string]peerRates
}

type peerRates struct {
	expires time.Time // believed so long
	rates   map[DomainPair]float64
}

// decayingSum is a sum whose parts fade over some time.
type decayingSum struct {
	at    time.Time
	value float64
}

func (d *decayingSum) add(now time.Time, n float64, over time.Duration) {
	d.value = d.read(now, over) + n
	d.at = now
}

func (d *decayingSum) read(now time.Time, over time.Duration) float64 {
	return d.value * math.Exp(-now.Sub(d.at).Seconds()/over.Seconds())
}

// NewInterconnect makes an empty count.
func NewInterconnect(now func() time.Time) *Interconnect {
	return &Interconnect{now: now, own: map[DomainPair]*decayingSum{}, peers: map[string]peerRates{}}
}

// AddTraffic counts the megabits that a chain will move between two domains.
func (p *Interconnect) AddTraffic(a, b string, mbit float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	pair := pairOf(a, b)
	d, ok := p.own[pair]
	if !ok {
		d = &decayingSum{}
		p.own[pair] = d
	}
	d.add(p.now(), mbit/rateDecayTime.Seconds(), rateDecayTime)
}

// maxUtilization is the share of a pipe's rate that is given out. Transfers go one
// after another: a token waits on average load/(2(1-load)) of a prompt's
// transfer time (a queue with steady service), once for each token of an event.
func maxUtilization(transfer, gap time.Duration, stride int) float64 {
	if gap <= 0 {
		gap = defaultMaxEventGap
	}
	wait := maxQueueingShare * gap.Seconds() / float64(max(stride, 1))
	return 2 * wait / (transfer.Seconds() + 2*wait)
}

// Allows tells whether there is room for so many megabits more between two
// domains, where so many Mbit/s are given out to some routers.
func (p *Interconnect) Allows(a, b string, mbit, given float64, routers int) bool {
	// One request passes an idle pipe even where it is more than is given.
	if rate := p.Rate(a, b); rate >= 1 && rate+mbit > given {
		return false
	}
	share := given * sharesPerRouter / float64(max(routers, sharesPerRouter))
	own := p.ownRate(a, b)
	return own+mbit <= share || own < 1
}

func (p *Interconnect) ownRate(a, b string) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	if d, ok := p.own[pairOf(a, b)]; ok {
		return d.read(p.now(), rateDecayTime)
	}
	return 0
}

// Rate is what passes between two domains, in Mbit/s, as far as known here.
func (p *Interconnect) Rate(a, b string) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	pair := pairOf(a, b)
	now := p.now()
	sum := 0.0
	if d, ok := p.own[pair]; ok {
		sum = d.read(now, rateDecayTime)
	}
	for _, c := range p.peers {
		if now.Before(c.expires) {
			sum += c.rates[pair]
		}
	}
	return sum
}

// OwnRates copies what this router's streams move.
func (p *Interconnect) OwnRates() map[DomainPair]float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := map[DomainPair]float64{}
	for pair, d := range p.own {
		if rate := d.read(p.now(), rateDecayTime); rate >= 1 {
			out[pair] = rate
		}
	}
	return out
}

// SetPeerRates takes in what another router's streams move, and how long that is to
// be believed.
func (p *Interconnect) SetPeerRates(peer string, rate map[DomainPair]float64, good time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.peers[peer] = peerRates{expires: p.now().Add(good), rates: rate}
}
