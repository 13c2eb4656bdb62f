package chains

import (
	"sync"
	"time"

	"github.com/skylarkwood/skylarkwood/internal/model"
)

// SlowdownTTL is how long a reported slowdown is valid.
const SlowdownTTL = 3 * time.Second

// prefillDecayTime is the time constant of the average prefill load.
const prefillDecayTime = time.Second

// recentDecayTime is the time constant after which a new stream is assumed to be contained
// in heartbeats.
const recentDecayTime = 400 * time.Millisecond

// Usage is the load of streams on one engine.
type Usage struct {
	// TokenLayers is the reserved token memory in token-layers.
	TokenLayers float64
	// Streams is the number of streams on the engine. FirstStageStreams is the number of
	// those whose first stage is this engine.
	Streams           float64
	FirstStageStreams float64
	// PrefillLoad is the share of the engine's time spent on prefill.
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

// UsageTracker tracks the usage of engines by this router's streams and the usage that
// other routers report. Usage is kept per incarnation: it does not carry over to an engine
// that restarted.
type UsageTracker struct {
	now func() time.Time

	mu    sync.Mutex
	own   map[model.Incarnation]*ownUsage
	peers map[string]peerUsage
	// peerTotal is the sum of the peers' usage. It is kept up to date because each search
	// reads the usage of every engine.
	peerTotal map[model.Incarnation]Usage
	// nextPeerExpiry is the earliest expiry of a peer's usage.
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
	// The usage of recently started streams.
	recentStreams, recentTokenLayers, recentFirstStageStreams decayingSum
	// pendingPrefill is the expected prefill of moved streams, in seconds.
	pendingPrefill decayingSum
}

type peerUsage struct {
	expires time.Time
	usage   map[model.Incarnation]Usage
}

// slowdownReport is a slowdown that an engine reported.
type slowdownReport struct {
	at     time.Time
	factor float64
	own    bool // reported to this router rather than to a peer
}

// NewUsageTracker returns a tracker without any usage.
func NewUsageTracker(now func() time.Time) *UsageTracker {
	return &UsageTracker{now: now, own: map[model.Incarnation]*ownUsage{}, peers: map[string]peerUsage{}, peerTotal: map[model.Incarnation]Usage{}, slowdowns: map[model.Incarnation]slowdownReport{},
		started: now(), records: map[model.Incarnation]*engineRecord{}}
}

// Used returns the known usage of an engine by the streams of all routers.
func (t *UsageTracker) Used(inc model.Incarnation) Usage {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	if len(t.peers) > 0 && !now.Before(t.nextPeerExpiry) {
		t.recomputePeerTotal(now)
	}
	sum := t.peerTotal[inc]
	if o, ok := t.own[inc]; ok {
		sum.add(o.usage(now), 1)
	}
	return sum
}

// addPeerUsage adds a peer's usage to the totals, multiplied by sign. The caller holds the
// lock.
func (t *UsageTracker) addPeerUsage(usage map[model.Incarnation]Usage, sign float64) {
	for inc, u := range usage {
		sum := t.peerTotal[inc]
		sum.add(u, sign)
		t.peerTotal[inc] = sum
	}
}

// recomputePeerTotal removes expired peer usage and updates the totals and the next expiry.
// The caller holds the lock.
func (t *UsageTracker) recomputePeerTotal(now time.Time) {
	t.nextPeerExpiry = time.Time{}
	for peer, c := range t.peers {
		if !now.Before(c.expires) {
			delete(t.peers, peer)
			continue
		}
		t.updateNextPeerExpiry(c.expires)
	}
	// Recomputing the totals removes engines no longer in use and rounding errors.
	clear(t.peerTotal)
	for _, c := range t.peers {
		t.addPeerUsage(c.usage, 1)
	}
}

func (t *UsageTracker) updateNextPeerExpiry(expires time.Time) {
	if t.nextPeerExpiry.IsZero() || expires.Before(t.nextPeerExpiry) {
		t.nextPeerExpiry = expires
	}
}

func (o *ownUsage) usage(now time.Time) Usage {
	return Usage{TokenLayers: o.tokenLayers, Streams: float64(o.streams), FirstStageStreams: float64(o.firstStageStreams), PrefillLoad: o.prefill.read(now, prefillDecayTime)}
}

// Slowdown returns the factor by which an engine reports to be slower than its accelerator
// type; 1 if it reported none within SlowdownTTL.
func (t *UsageTracker) Slowdown(inc model.Incarnation) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s, ok := t.slowdowns[inc]; ok && t.now().Sub(s.at) < SlowdownTTL {
		return s.factor
	}
	return 1
}

// SetSlowdown stores a slowdown that an engine reported to this router and reports whether
// it differs from the previous one. A factor of 1 or less removes it.
func (t *UsageTracker) SetSlowdown(inc model.Incarnation, factor float64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	before, known := t.slowdowns[inc]
	if factor <= 1 {
		delete(t.slowdowns, inc)
		return known
	}
	t.slowdowns[inc] = slowdownReport{at: t.now(), factor: factor, own: true}
	return before.factor != factor
}

// SetPeerSlowdown stores a slowdown that an engine reported to another router. A valid
// report to this router takes precedence.
func (t *UsageTracker) SetPeerSlowdown(inc model.Incarnation, factor float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.slowdowns[inc]; s.own && t.now().Sub(s.at) < SlowdownTTL {
		return
	}
	t.slowdowns[inc] = slowdownReport{at: t.now(), factor: factor}
}

// SlowEngines returns the engines that reported a slowdown to this router.
func (t *UsageTracker) SlowEngines() []model.Incarnation {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []model.Incarnation
	for inc, s := range t.slowdowns {
		if s.own {
			out = append(out, inc)
		}
	}
	return out
}

// OwnSlowdowns returns a copy of the slowdowns reported to this router.
func (t *UsageTracker) OwnSlowdowns() map[model.Incarnation]float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := map[model.Incarnation]float64{}
	for inc, s := range t.slowdowns {
		if s.own {
			out[inc] = s.factor
		}
	}
	return out
}

// RemoveSlowdown removes the slowdown of an engine that exited.
func (t *UsageTracker) RemoveSlowdown(inc model.Incarnation) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.slowdowns, inc)
}

// AddPrefill records the prefill of a prompt at an engine, in seconds of engine time.
func (t *UsageTracker) AddPrefill(inc model.Incarnation, seconds float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.usageOf(inc).prefill.add(t.now(), seconds/prefillDecayTime.Seconds(), prefillDecayTime)
	if r, ok := t.records[inc]; ok {
		r.prefillSeconds += seconds
	}
}

// addRecent adds a stream to the recent usage.
func (o *ownUsage) addRecent(now time.Time, tokenLayers int, first bool) {
	o.recentStreams.add(now, 1, recentDecayTime)
	o.recentTokenLayers.add(now, float64(tokenLayers), recentDecayTime)
	if first {
		o.recentFirstStageStreams.add(now, 1, recentDecayTime)
	}
}

// Recent returns the usage of an engine by streams that this router started recently.
func (t *UsageTracker) Recent(inc model.Incarnation) Usage {
	t.mu.Lock()
	defer t.mu.Unlock()
	o, ok := t.own[inc]
	if !ok {
		return Usage{}
	}
	now := t.now()
	return Usage{TokenLayers: o.recentTokenLayers.read(now, recentDecayTime), Streams: o.recentStreams.read(now, recentDecayTime), FirstStageStreams: o.recentFirstStageStreams.read(now, recentDecayTime)}
}

// AddPendingPrefill records the expected prefill of moved streams at an engine, in seconds
// of engine time. It includes the estimated share of other routers and is not sent to
// peers.
func (t *UsageTracker) AddPendingPrefill(inc model.Incarnation, seconds float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.usageOf(inc).pendingPrefill.add(t.now(), seconds, prefillDecayTime)
}

// PendingPrefill returns the remaining expected prefill in seconds. It decays over time.
func (t *UsageTracker) PendingPrefill(inc model.Incarnation) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if o, ok := t.own[inc]; ok {
		return o.pendingPrefill.read(t.now(), prefillDecayTime)
	}
	return 0
}

func (t *UsageTracker) usageOf(inc model.Incarnation) *ownUsage {
	o, ok := t.own[inc]
	if !ok {
		o = &ownUsage{}
		t.own[inc] = o
	}
	return o
}

// OwnUsage returns a copy of the usage by this router's streams. It drops engines without
// streams.
func (t *UsageTracker) OwnUsage() map[model.Incarnation]Usage {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	out := make(map[model.Incarnation]Usage, len(t.own))
	for inc, o := range t.own {
		u := o.usage(now)
		if u.Streams > 0 || u.PrefillLoad > 0.001 {
			out[inc] = u
		} else {
			delete(t.own, inc)
		}
	}
	return out
}

// SetPeerUsage stores the usage by another router's streams. It is valid for ttl.
func (t *UsageTracker) SetPeerUsage(peer string, usage map[model.Incarnation]Usage, ttl time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.addPeerUsage(t.peers[peer].usage, -1)
	c := peerUsage{expires: t.now().Add(ttl), usage: usage}
	t.peers[peer] = c
	t.addPeerUsage(usage, 1)
	t.updateNextPeerExpiry(c.expires)
}

// PeersUsing returns the peers that reported streams on an engine.
func (t *UsageTracker) PeersUsing(inc model.Incarnation) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	var out []string
	for peer, c := range t.peers {
		if now.Before(c.expires) && c.usage[inc].Streams > 0 {
			out = append(out, peer)
		}
	}
	return out
}

// ExpirePeers removes the usage of peers whose validity has passed.
func (t *UsageTracker) ExpirePeers() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.recomputePeerTotal(t.now())
}
