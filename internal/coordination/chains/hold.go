package chains

// Reservation is the memory that one stream reserved. Release gives it back, once.
type Reservation struct {
	memory *UsageTracker
	parts  []Stage // nil once given back
	tokens int
}

// Reserve counts a stream of tokens on a chain.
func (m *UsageTracker) Reserve(parts []Stage, tokens int) *Reservation {
	m.mu.Lock()
	defer m.mu.Unlock()
	h := &Reservation{memory: m, parts: parts, tokens: tokens}
	h.count(1)
	return h
}

// Tokens is how many tokens were reserved.
func (h *Reservation) Tokens() int { return h.tokens }

// Release gives the memory back.
func (h *Reservation) Release() {
	h.memory.mu.Lock()
	defer h.memory.mu.Unlock()
	h.count(-1)
	h.parts = nil
}

// Move takes in that the stream runs through other engines now. After Release
// it does nothing.
func (h *Reservation) Move(parts []Stage) {
	h.memory.mu.Lock()
	defer h.memory.mu.Unlock()
	if h.parts == nil {
		return
	}
	h.count(-1)
	h.parts = parts
	h.count(1)
}

func (h *Reservation) count(sign int) {
	for i, p := range h.parts {
		o := h.memory.owned(p.Server.Incarnation())
		o.tokenLayers += float64(sign * h.tokens * p.Layers.Len())
		o.streams += sign
		if i == 0 {
			o.firsts += sign
		}
		if sign > 0 {
			o.begun(h.memory.now(), h.tokens*p.Layers.Len(), i == 0)
		}
	}
}
