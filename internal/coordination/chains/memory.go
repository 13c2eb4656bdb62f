package chains

import (
	"sync"
	"time"
)

// peerExpiry is how long another router's count is believed: a few exchanges.
const peerExpiry = 2 * time.Second

// Memory counts the token memory that streams hold at engines, in tokens x
// layers: this router's own streams, and what other routers last told of theirs.
type Memory struct {
	now func() time.Time

	mu    sync.Mutex
	own   map[string]float64
	peers map[string]peerCount
	total map[string]float64 // own and peers, kept up to date
	slow  map[string]float64 // seen slowdown by engine, 1 is none
}

type peerCount struct {
	at   time.Time
	held map[string]float64
}

// NewMemory makes an empty count.
func NewMemory(now func() time.Time) *Memory {
	return &Memory{
		now:   now,
		own:   map[string]float64{},
		peers: map[string]peerCount{},
		total: map[string]float64{},
		slow:  map[string]float64{},
	}
}

// Used is what is held at an engine, as far as known here.
func (m *Memory) Used(id string) float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.total[id]
}

// Slowdown is how much slower an engine was seen to be than its card; 1 is none.
func (m *Memory) Slowdown(id string) float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	if s := m.slow[id]; s > 1 {
		return s
	}
	return 1
}

// SetSlowdown takes in an engine's slowdown.
func (m *Memory) SetSlowdown(id string, factor float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.slow[id] = factor
}

// Hold is the memory that one stream reserved. Release gives it back, once.
type Hold struct {
	memory *Memory
	parts  []Part // nil once given back
	tokens int
}

// Reserve counts a stream of tokens on a chain.
func (m *Memory) Reserve(parts []Part, tokens int) *Hold {
	m.mu.Lock()
	defer m.mu.Unlock()
	h := &Hold{memory: m, parts: parts, tokens: tokens}
	h.count(1)
	return h
}

// Tokens is how many tokens were reserved.
func (h *Hold) Tokens() int { return h.tokens }

// Release gives the memory back.
func (h *Hold) Release() {
	h.memory.mu.Lock()
	defer h.memory.mu.Unlock()
	h.count(-1)
	h.parts = nil
}

// Move takes in that the stream runs through other engines now. After Release
// it does nothing.
func (h *Hold) Move(parts []Part) {
	h.memory.mu.Lock()
	defer h.memory.mu.Unlock()
	if h.parts == nil {
		return
	}
	h.count(-1)
	h.parts = parts
	h.count(1)
}

func (h *Hold) count(sign float64) {
	for _, p := range h.parts {
		h.memory.add(p.Server.ID, sign*float64(h.tokens*p.Layers.Len()))
	}
}

func (m *Memory) add(id string, n float64) {
	m.own[id] += n
	m.total[id] += n
	if m.own[id] <= 0.5 {
		delete(m.own, id)
	}
	if m.total[id] <= 0.5 {
		delete(m.total, id)
	}
}

// Own copies what this router's streams hold.
func (m *Memory) Own() map[string]float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make(map[string]float64, len(m.own))
	for id, n := range m.own {
		out[id] = n
	}
	return out
}

// SeenPeer takes in what another router's streams hold.
func (m *Memory) SeenPeer(peer string, held map[string]float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.peers[peer] = peerCount{at: m.now(), held: held}
	m.sum()
}

// Expire forgets peers that have not told anything lately.
func (m *Memory) Expire() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for peer, c := range m.peers {
		if m.now().Sub(c.at) > peerExpiry {
			delete(m.peers, peer)
		}
	}
	m.sum()
}

func (m *Memory) sum() {
	clear(m.total)
	for id, n := range m.own {
		m.total[id] += n
	}
	for _, c := range m.peers {
		for id, n := range c.held {
			m.total[id] += n
		}
	}
}
