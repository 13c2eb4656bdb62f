package chains

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

func (h *Hold) count(sign int) {
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
