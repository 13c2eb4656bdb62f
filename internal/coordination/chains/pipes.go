package chains

import (
	"math"
	"sync"
	"time"

	"github.com/skylarkwood/skylarkwood/internal/coordination/share"
)

const (
	// rateDecayTime is the time constant of the average traffic rate.
	rateDecayTime = time.Second
	// maxQueueingShare is the share of the maximum event gap that queueing at the
	// interconnect may take on average.
	maxQueueingShare = 0.1
	// defaultMaxEventGap is the maximum event gap of routes that set none.
	defaultMaxEventGap = 200 * time.Millisecond
)

// sharesPerRouter is how many equal shares of the usable rate one router may use for services
// whose routes do not differ in priority. Package share divides the rate for the others. It
// exceeds 1 because mostly the routers of one failure domain use the interconnect after a loss.
const sharesPerRouter = 4

// DomainPair is two failure domains in alphabetical order.
type DomainPair struct{ A, B string }

func pairOf(a, b string) DomainPair {
	if a > b {
		a, b = b, a
	}
	return DomainPair{A: a, B: b}
}

// Interconnect tracks the traffic of chains between failure domains in Mbit/s, by this
// router's streams and as reported by other routers.
type Interconnect struct {
	now func() time.Time

	mu    sync.Mutex
	own   map[DomainPair]*decayingSum
	peers map[string]peerRates
	// shares holds this router's shares of the interconnects that services with prioritized
	// routes use.
	shares map[DomainPair]*share.Shares
	// phase is passed to share.New. Only tests set it.
	phase func() float64
}

type peerRates struct {
	expires time.Time
	rates   map[DomainPair]float64

	interval time.Duration // until the next report
	demands  map[DomainPair][]share.Demand
}

// decayingSum is a sum whose terms decay exponentially.
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

// NewInterconnect returns an Interconnect without traffic.
func NewInterconnect(now func() time.Time) *Interconnect {
	return &Interconnect{now: now, own: map[DomainPair]*decayingSum{}, peers: map[string]peerRates{}, shares: map[DomainPair]*share.Shares{}}
}

// AddTraffic records the traffic in Mbit that a chain will cause between two domains, at the
// most urgent priority and outside of this router's share.
func (ic *Interconnect) AddTraffic(a, b string, mbit float64) {
	ic.addTraffic(a, b, mbit, func(s *share.Shares) { s.AddUse(0, mbit) })
}

// AddSharedTraffic records the traffic in Mbit of a request that AllowsShare allowed.
func (ic *Interconnect) AddSharedTraffic(a, b string, priority int, mbit float64) {
	ic.addTraffic(a, b, mbit, func(s *share.Shares) { s.Use(priority, mbit) })
}

func (ic *Interconnect) addTraffic(a, b string, mbit float64, record func(*share.Shares)) {
	ic.mu.Lock()
	defer ic.mu.Unlock()
	pair := pairOf(a, b)
	d, ok := ic.own[pair]
	if !ok {
		d = &decayingSum{}
		ic.own[pair] = d
	}
	d.add(ic.now(), mbit/rateDecayTime.Seconds(), rateDecayTime)
	if s, ok := ic.shares[pair]; ok {
		record(s)
	}
}

// maxUtilization returns the share of the interconnect's rate that may be used. It models
// an M/D/1 queue: a token waits load/(2(1-load)) of a prompt's transfer time on average,
// once per token of an event.
func maxUtilization(transfer, maxEventGap time.Duration, stride int) float64 {
	if maxEventGap <= 0 {
		maxEventGap = defaultMaxEventGap
	}
	wait := maxQueueingShare * maxEventGap.Seconds() / float64(max(stride, 1))
	return 2 * wait / (transfer.Seconds() + 2*wait)
}

// Allows reports whether a request of mbit may be added between two domains. limit is the
// total rate in Mbit/s that all routers may use.
func (ic *Interconnect) Allows(a, b string, mbit, limit float64, routers int) bool {
	// An idle interconnect accepts one request of any size.
	if rate := ic.Rate(a, b); rate >= 1 && rate+mbit > limit {
		return false
	}
	share := limit * sharesPerRouter / float64(max(routers, sharesPerRouter))
	own := ic.ownRate(a, b)
	return own+mbit <= share || own < 1
}

func (ic *Interconnect) ownRate(a, b string) float64 {
	ic.mu.Lock()
	defer ic.mu.Unlock()
	if d, ok := ic.own[pairOf(a, b)]; ok {
		return d.read(ic.now(), rateDecayTime)
	}
	return 0
}

// Rate returns the known traffic of all routers between two domains, in Mbit/s.
func (ic *Interconnect) Rate(a, b string) float64 {
	ic.mu.Lock()
	defer ic.mu.Unlock()
	pair := pairOf(a, b)
	now := ic.now()
	sum := 0.0
	if d, ok := ic.own[pair]; ok {
		sum = d.read(now, rateDecayTime)
	}
	for peer, p := range ic.peers {
		if !now.Before(p.expires) {
			delete(ic.peers, peer)
			continue
		}
		sum += p.rates[pair]
	}
	return sum
}

// OwnRates returns the traffic of this router's streams in Mbit/s.
func (ic *Interconnect) OwnRates() map[DomainPair]float64 {
	ic.mu.Lock()
	defer ic.mu.Unlock()
	out := map[DomainPair]float64{}
	for pair, d := range ic.own {
		if rate := d.read(ic.now(), rateDecayTime); rate >= 1 {
			out[pair] = rate
		}
	}
	return out
}

// SetPeerRates stores the traffic of another router's streams in Mbit/s. It is valid for ttl.
func (ic *Interconnect) SetPeerRates(peer string, rate map[DomainPair]float64, ttl time.Duration) {
	ic.SetPeerDemands(peer, rate, nil, ttl, ttl)
}
