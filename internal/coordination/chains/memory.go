package chains

import (
	"sync"
	"time"

	"github.com/skylarkwood/skylarkwood/internal/model"
)

// slowdownTTL is how long a reported slowdown is valid.
const slowdownTTL = 3 * time.Second

// prefillDecayTime is the averaging time of prompt reading.
const prefillDecayTime = time.Second

// recentDecayTime is over how long a router's new streams stand for those that its peers
// have begun and not yet announced in a heartbeat.
const recentDecayTime = 400 * time.Millisecond

// Usage is what streams take of one engine.
type Usage struct {
	// TokenLayers is token memory, in tokens x layers.
	TokenLayers float64
	// Streams is how many run through it, Firsts how many it received as the
	// first engine of their chain.
	Streams           float64
	FirstStageStreams float64
	// PrefillLoad is the share of its time that goes into reading prompts.
	PrefillLoad float64
}

func (u Usage) scaled(n float64) Usage {
	return Usage{TokenLayers: n * u.TokenLayers, Streams: n * u.Streams, FirstStageStreams: n * u.FirstStageStreams, PrefillLoad: n * u.PrefillLoad}
}

func (u *Usage) add(o Usage, sign float64) {
	u.TokenLayers += sign * o.TokenLayers
	u.Streams += sign * o.Streams
	u.FirstStageStreams += sign * o.FirstStageStreams
	u.PrefillLoad += sign * o.PrefillLoad
}

// UsageTracker counts what streams take of engines: this router's own, and what
// other routers last told of theirs. It counts by incarnation: streams that ran at
// an engine which started again take nothing of it, and give nothing back.
type UsageTracker struct {
	now func() time.Time

	mu    sync.Mutex
	own   map[model.Incarnation]*ownUsage
	peers map[string]peerUsage
	// peerTotal adds up what the peers told, by incarnation: each choice of a chain
	// reads every engine, and would else go through every peer for each.
	peerTotal map[model.Incarnation]Usage
	// nextPeerExpiry is when the next peer's count expires.
	nextPeerExpiry time.Time
	slowdowns      map[model.Incarnation]slowdownReport
	started        time.Time
	records        map[model.Incarnation]*engineRecord
}

type ownUsage struct {
	tokenLayers       float64
	streams           int
	firstStageStreams int
	prefill           decayingSum
	// new are the streams that were reserved of late, the memory they take, and
	// how many begin here.
	recentStreams, recentTokenLayers, recentFirstStageStreams decayingSum
	// pendingPrefill is what moved streams are expected to read there, in seconds.
	pendingPrefill decayingSum
}

type peerUsage struct {
	expires time.Time // believed so long
	usage   map[model.Incarnation]Usage
}

// slowdownReport is an engine's slowdown as it reported it itself.
type slowdownReport struct {
	at     time.Time
	factor float64
	own    bool // told to this router
}

// NewUsageTracker makes an empty count.
func NewUsageTracker(now func() time.Time) *UsageTracker {
	return &UsageTracker{now: now, own: map[model.Incarnation]*ownUsage{}, peers: map[string]peerUsage{}, peerTotal: map[model.Incarnation]Usage{}, slowdowns: map[model.Incarnation]slowdownReport{},
		started: now(), records: map[model.Incarnation]*engineRecord{}}
}

// Used is what is taken of an engine, as far as known here.
func (m *UsageTracker) Used(inc model.Incarnation) Usage {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	if len(m.peers) > 0 && !now.Before(m.nextPeerExpiry) {
		m.recomputePeerTotal(now)
	}
	sum := m.peerTotal[inc]
	if o, ok := m.own[inc]; ok {
		sum.add(o.usage(now), 1)
	}
	return sum
}

// addPeerUsage adds a peer's use to the sums, or takes it off. The caller holds the
// lock.
func (m *UsageTracker) addPeerUsage(use map[model.Incarnation]Usage, sign float64) {
	for inc, u := range use {
		sum := m.peerTotal[inc]
		sum.add(u, sign)
		m.peerTotal[inc] = sum
	}
}

// recomputePeerTotal drops counts whose time is over and finds when the next one ends. The
// caller holds the lock.
func (m *UsageTracker) recomputePeerTotal(now time.Time) {
	m.nextPeerExpiry = time.Time{}
	for peer, c := range m.peers {
		if !now.Before(c.expires) {
			delete(m.peers, peer)
			continue
		}
		m.updateNextPeerExpiry(c.expires)
	}
	// Added up anew, so that sums hold no engine and no rounding of the past.
	clear(m.peerTotal)
	for _, c := range m.peers {
		m.addPeerUsage(c.usage, 1)
	}
}

func (m *UsageTracker) updateNextPeerExpiry(until time.Time) {
	if m.nextPeerExpiry.IsZero() || until.Before(m.nextPeerExpiry) {
		m.nextPeerExpiry = until
	}
}

func (o *ownUsage) usage(now time.Time) Usage {
	return Usage{TokenLayers: o.tokenLayers, Streams: float64(o.streams), FirstStageStreams: float64(o.firstStageStreams), PrefillLoad: o.prefill.read(now, prefillDecayTime)}
}

// Slowdown is how much slower than its card an engine last said to be; 1 is as
// fast.
func (m *UsageTracker) Slowdown(inc model.Incarnation) float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	if s, ok := m.slowdowns[inc]; ok && m.now().Sub(s.at) < slowdownTTL {
		return s.factor
	}
	return 1
}

// SetSlowdown takes in an engine's own word; it tells whether that is news.
func (m *UsageTracker) SetSlowdown(inc model.Incarnation, factor float64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	before, known := m.slowdowns[inc]
	if factor <= 1 {
		delete(m.slowdowns, inc)
		return known
	}
	m.slowdowns[inc] = slowdownReport{at: m.now(), factor: factor, own: true}
	return before.factor != factor
}

// SetPeerSlowdown takes in what an engine told another router. What it told this
// one lately goes first.
func (m *UsageTracker) SetPeerSlowdown(inc model.Incarnation, factor float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if s := m.slowdowns[inc]; s.own && m.now().Sub(s.at) < slowdownTTL {
		return
	}
	m.slowdowns[inc] = slowdownReport{at: m.now(), factor: factor}
}

// SlowEngines lists the engines that told this router that they are slow.
func (m *UsageTracker) SlowEngines() []model.Incarnation {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []model.Incarnation
	for inc, s := range m.slowdowns {
		if s.own {
			out = append(out, inc)
		}
	}
	return out
}

// OwnSlowdowns copies what engines told this router of their slowdowns.
func (m *UsageTracker) OwnSlowdowns() map[model.Incarnation]float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := map[model.Incarnation]float64{}
	for inc, s := range m.slowdowns {
		if s.own {
			out[inc] = s.factor
		}
	}
	return out
}

// RemoveSlowdown drops what is known of an engine that is gone.
func (m *UsageTracker) RemoveSlowdown(inc model.Incarnation) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.slowdowns, inc)
}

// AddPrefill counts the reading of a prompt at an engine, in seconds of its time.
func (m *UsageTracker) AddPrefill(inc model.Incarnation, seconds float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.usageOf(inc).prefill.add(m.now(), seconds/prefillDecayTime.Seconds(), prefillDecayTime)
	if a, ok := m.records[inc]; ok {
		a.prefillSeconds += seconds
	}
}

// addRecent counts a stream among the new ones.
func (o *ownUsage) addRecent(now time.Time, tokenLayers int, first bool) {
	o.recentStreams.add(now, 1, recentDecayTime)
	o.recentTokenLayers.add(now, float64(tokenLayers), recentDecayTime)
	if first {
		o.recentFirstStageStreams.add(now, 1, recentDecayTime)
	}
}

// Recent is what this router's streams of the last moment take of an engine.
func (m *UsageTracker) Recent(inc model.Incarnation) Usage {
	m.mu.Lock()
	defer m.mu.Unlock()
	o, ok := m.own[inc]
	if !ok {
		return Usage{}
	}
	now := m.now()
	return Usage{TokenLayers: o.recentTokenLayers.read(now, recentDecayTime), Streams: o.recentStreams.read(now, recentDecayTime), FirstStageStreams: o.recentFirstStageStreams.read(now, recentDecayTime)}
}

// AddPendingPrefill counts reading that streams which are moved now add to an engine, those
// of other routers included, in seconds of its time. Peers are not told of it.
func (m *UsageTracker) AddPendingPrefill(inc model.Incarnation, seconds float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.usageOf(inc).pendingPrefill.add(m.now(), seconds, prefillDecayTime)
}

// PendingPrefill is what is left of that; it fades as it is worked off.
func (m *UsageTracker) PendingPrefill(inc model.Incarnation) float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	if o, ok := m.own[inc]; ok {
		return o.pendingPrefill.read(m.now(), prefillDecayTime)
	}
	return 0
}

func (m *UsageTracker) usageOf(inc model.Incarnation) *ownUsage {
	o, ok := m.own[inc]
	if !ok {
		o = &ownUsage{}
		m.own[inc] = o
	}
	return o
}

// OwnUsage copies what this router's streams take.
func (m *UsageTracker) OwnUsage() map[model.Incarnation]Usage {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	out := make(map[model.Incarnation]Usage, len(m.own))
	for inc, o := range m.own {
		u := o.usage(now)
		if u.Streams > 0 || u.PrefillLoad > 0.001 {
			out[inc] = u
		} else {
			delete(m.own, inc)
		}
	}
	return out
}

// SetPeerUsage takes in what another router's streams take, and how long that is to
// be believed: a few exchanges.
func (m *UsageTracker) SetPeerUsage(peer string, use map[model.Incarnation]Usage, good time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.addPeerUsage(m.peers[peer].usage, -1)
	c := peerUsage{expires: m.now().Add(good), usage: use}
	m.peers[peer] = c
	m.addPeerUsage(use, 1)
	m.updateNextPeerExpiry(c.expires)
}

// ExpirePeers forgets peers that have not told anything lately.
func (m *UsageTracker) ExpirePeers() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.recomputePeerTotal(m.now())
}
