package chains

import (
	"sync"
	"time"

	"github.com/skylarkwood/skylarkwood/internal/model"
)

// slowExpiry is how long a reported slowdown is valid.
const slowExpiry = 3 * time.Second

// readMemory is the averaging time of prompt reading.
const readMemory = time.Second

// untoldFor is over how long a router's new streams stand for those that its peers
// have begun and not yet announced in a heartbeat.
const untoldFor = 400 * time.Millisecond

// Use is what streams take of one engine.
type Use struct {
	// TokenLayers is token memory, in tokens x layers.
	TokenLayers float64
	// Streams is how many run through it, Firsts how many it received as the
	// first engine of their chain.
	Streams float64
	Firsts  float64
	// Reading is the share of its time that goes into reading prompts.
	Reading float64
}

func (u Use) times(n float64) Use {
	return Use{TokenLayers: n * u.TokenLayers, Streams: n * u.Streams, Firsts: n * u.Firsts, Reading: n * u.Reading}
}

func (u *Use) add(o Use, sign float64) {
	u.TokenLayers += sign * o.TokenLayers
	u.Streams += sign * o.Streams
	u.Firsts += sign * o.Firsts
	u.Reading += sign * o.Reading
}

// Memory counts what streams take of engines: this router's own, and what
// other routers last told of theirs. It counts by incarnation: streams that ran at
// an engine which started again take nothing of it, and give nothing back.
type Memory struct {
	now func() time.Time

	mu    sync.Mutex
	own   map[model.Incarnation]*ownUse
	peers map[string]peerCount
	// peerSum adds up what the peers told, by incarnation: each choice of a chain
	// reads every engine, and would else go through every peer for each.
	peerSum map[model.Incarnation]Use
	// peerEnds is when the next peer's count expires.
	peerEnds time.Time
	slow     map[model.Incarnation]slowness
	began    time.Time
	records  map[model.Incarnation]*engineRecord
}

type ownUse struct {
	tokenLayers float64
	streams     int
	firsts      int
	reading     decaying
	// new are the streams that were reserved of late, the memory they take, and
	// how many begin here.
	newStreams, newTokenLayers, newFirsts decaying
	// pending is what moved streams are expected to read there, in seconds.
	pending decaying
}

type peerCount struct {
	until time.Time // believed so long
	use   map[model.Incarnation]Use
}

// slowness is an engine's slowdown as it reported it itself.
type slowness struct {
	at     time.Time
	factor float64
	own    bool // told to this router
}

// NewMemory makes an empty count.
func NewMemory(now func() time.Time) *Memory {
	return &Memory{now: now, own: map[model.Incarnation]*ownUse{}, peers: map[string]peerCount{}, peerSum: map[model.Incarnation]Use{}, slow: map[model.Incarnation]slowness{},
		began: now(), records: map[model.Incarnation]*engineRecord{}}
}

// Used is what is taken of an engine, as far as known here.
func (m *Memory) Used(inc model.Incarnation) Use {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	if len(m.peers) > 0 && !now.Before(m.peerEnds) {
		m.expire(now)
	}
	sum := m.peerSum[inc]
	if o, ok := m.own[inc]; ok {
		sum.add(o.use(now), 1)
	}
	return sum
}

// count adds a peer's use to the sums, or takes it off. The caller holds the
// lock.
func (m *Memory) count(use map[model.Incarnation]Use, sign float64) {
	for inc, u := range use {
		sum := m.peerSum[inc]
		sum.add(u, sign)
		m.peerSum[inc] = sum
	}
}

// expire drops counts whose time is over and finds when the next one ends. The
// caller holds the lock.
func (m *Memory) expire(now time.Time) {
	m.peerEnds = time.Time{}
	for peer, c := range m.peers {
		if !now.Before(c.until) {
			delete(m.peers, peer)
			continue
		}
		m.noteEnd(c.until)
	}
	// Added up anew, so that sums hold no engine and no rounding of the past.
	clear(m.peerSum)
	for _, c := range m.peers {
		m.count(c.use, 1)
	}
}

func (m *Memory) noteEnd(until time.Time) {
	if m.peerEnds.IsZero() || until.Before(m.peerEnds) {
		m.peerEnds = until
	}
}

func (o *ownUse) use(now time.Time) Use {
	return Use{TokenLayers: o.tokenLayers, Streams: float64(o.streams), Firsts: float64(o.firsts), Reading: o.reading.read(now, readMemory)}
}

// Slowdown is how much slower than its card an engine last said to be; 1 is as
// fast.
func (m *Memory) Slowdown(inc model.Incarnation) float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	if s, ok := m.slow[inc]; ok && m.now().Sub(s.at) < slowExpiry {
		return s.factor
	}
	return 1
}

// SetSlowdown takes in an engine's own word; it tells whether that is news.
func (m *Memory) SetSlowdown(inc model.Incarnation, factor float64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	before, known := m.slow[inc]
	if factor <= 1 {
		delete(m.slow, inc)
		return known
	}
	m.slow[inc] = slowness{at: m.now(), factor: factor, own: true}
	return before.factor != factor
}

// PeerSlowdown takes in what an engine told another router. What it told this
// one lately goes first.
func (m *Memory) PeerSlowdown(inc model.Incarnation, factor float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if s := m.slow[inc]; s.own && m.now().Sub(s.at) < slowExpiry {
		return
	}
	m.slow[inc] = slowness{at: m.now(), factor: factor}
}

// Slow lists the engines that told this router that they are slow.
func (m *Memory) Slow() []model.Incarnation {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []model.Incarnation
	for inc, s := range m.slow {
		if s.own {
			out = append(out, inc)
		}
	}
	return out
}

// OwnSlow copies what engines told this router of their slowdowns.
func (m *Memory) OwnSlow() map[model.Incarnation]float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := map[model.Incarnation]float64{}
	for inc, s := range m.slow {
		if s.own {
			out[inc] = s.factor
		}
	}
	return out
}

// Forget drops what is known of an engine that is gone.
func (m *Memory) Forget(inc model.Incarnation) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.slow, inc)
}

// Read counts the reading of a prompt at an engine, in seconds of its time.
func (m *Memory) Read(inc model.Incarnation, seconds float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.owned(inc).reading.add(m.now(), seconds/readMemory.Seconds(), readMemory)
	if a, ok := m.records[inc]; ok {
		a.spent += seconds
	}
}

// begun counts a stream among the new ones.
func (o *ownUse) begun(now time.Time, tokenLayers int, first bool) {
	o.newStreams.add(now, 1, untoldFor)
	o.newTokenLayers.add(now, float64(tokenLayers), untoldFor)
	if first {
		o.newFirsts.add(now, 1, untoldFor)
	}
}

// New is what this router's streams of the last moment take of an engine.
func (m *Memory) New(inc model.Incarnation) Use {
	m.mu.Lock()
	defer m.mu.Unlock()
	o, ok := m.own[inc]
	if !ok {
		return Use{}
	}
	now := m.now()
	return Use{TokenLayers: o.newTokenLayers.read(now, untoldFor), Streams: o.newStreams.read(now, untoldFor), Firsts: o.newFirsts.read(now, untoldFor)}
}

// Expect counts reading that streams which are moved now add to an engine, those
// of other routers included, in seconds of its time. Peers are not told of it.
func (m *Memory) Expect(inc model.Incarnation, seconds float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.owned(inc).pending.add(m.now(), seconds, readMemory)
}

// Pending is what is left of that; it fades as it is worked off.
func (m *Memory) Pending(inc model.Incarnation) float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	if o, ok := m.own[inc]; ok {
		return o.pending.read(m.now(), readMemory)
	}
	return 0
}

func (m *Memory) owned(inc model.Incarnation) *ownUse {
	o, ok := m.own[inc]
	if !ok {
		o = &ownUse{}
		m.own[inc] = o
	}
	return o
}

// Own copies what this router's streams take.
func (m *Memory) Own() map[model.Incarnation]Use {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	out := make(map[model.Incarnation]Use, len(m.own))
	for inc, o := range m.own {
		u := o.use(now)
		if u.Streams > 0 || u.Reading > 0.001 {
			out[inc] = u
		} else {
			delete(m.own, inc)
		}
	}
	return out
}

// SeenPeer takes in what another router's streams take, and how long that is to
// be believed: a few exchanges.
func (m *Memory) SeenPeer(peer string, use map[model.Incarnation]Use, good time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.count(m.peers[peer].use, -1)
	c := peerCount{until: m.now().Add(good), use: use}
	m.peers[peer] = c
	m.count(use, 1)
	m.noteEnd(c.until)
}

// Expire forgets peers that have not told anything lately.
func (m *Memory) Expire() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expire(m.now())
}
