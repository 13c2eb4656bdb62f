package chains

// Reservation is the memory that one stream reserved. Release gives it back, once.
type Reservation struct {
	tracker *UsageTracker
	parts   []Stage // nil once given back
	tokens  int
}

// Reserve counts a stream of tokens on a chain.
func (m *UsageTracker) Reserve(parts []Stage, tokens int) *Reservation {
	m.mu.Lock()
	defer m.mu.Unlock()
	h := &Reservation{tracker: m, parts: parts, tokens: tokens}
	h.apply(1)
	return h
}

// Tokens is how many tokens were reserved.
func (h *Reservation) Tokens() int { return h.tokens }

// Release gives the memory back.
func (h *Reservation) Release() {
	h.tracker.mu.Lock()
	defer h.tracker.mu.Unlock()
	h.apply(-1)
	h.parts = nil
}

// Move takes in that the stream runs through other engines now. After Release
// it does nothing.
func (h *Reservation) Move(parts []Stage) {
	h.tracker.mu.Lock()
	defer h.tracker.mu.Unlock()
	if h.parts == nil {
		return
	}
	h.apply(-1)
	h.parts = parts
	h.apply(1)
}

func (h *Reservation) apply(sign int) {
	for i, p := range h.parts {
		o := h.tracker.usageOf(p.Server.Incarnation())
		o.tokenLayers += float64(sign * h.tokens * p.Layers.Len())
		o.streams += sign
		if i == 0 {
			o.firstStageStreams += sign
		}
		if sign > 0 {
			o.addRecent(h.tracker.now(), h.tokens*p.Layers.Len(), i == 0)
		}
	}
}
