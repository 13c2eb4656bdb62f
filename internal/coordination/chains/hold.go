package chains

// Reservation is the token memory reserved by one stream. The owner must call Release.
type Reservation struct {
	tracker *UsageTracker
	stages  []Stage // nil after Release
	tokens  int
}

// Reserve reserves memory for a number of tokens on all stages of a chain.
func (t *UsageTracker) Reserve(stages []Stage, tokens int) *Reservation {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := &Reservation{tracker: t, stages: stages, tokens: tokens}
	r.apply(1)
	return r
}

// Tokens returns the number of reserved tokens.
func (r *Reservation) Tokens() int { return r.tokens }

// Release frees the memory. Further calls have no effect.
func (r *Reservation) Release() {
	r.tracker.mu.Lock()
	defer r.tracker.mu.Unlock()
	r.apply(-1)
	r.stages = nil
}

// Move transfers the reservation to other stages. It has no effect after Release.
func (r *Reservation) Move(stages []Stage) {
	r.tracker.mu.Lock()
	defer r.tracker.mu.Unlock()
	if r.stages == nil {
		return
	}
	r.apply(-1)
	r.stages = stages
	r.apply(1)
}

func (r *Reservation) apply(sign int) {
	for i, s := range r.stages {
		u := r.tracker.usageOf(s.Server.Incarnation())
		u.tokenLayers += float64(sign * r.tokens * s.Layers.Len())
		u.streams += sign
		if i == 0 {
			u.firstStageStreams += sign
		}
		if sign > 0 {
			u.addRecent(r.tracker.now(), r.tokens*s.Layers.Len(), i == 0)
		}
	}
}
