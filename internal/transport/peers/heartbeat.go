package peers

import (
	"time"

	"k8s.io/klog/v2"

	"github.com/skylarkwood/skylarkwood/internal/coordination/chains"
	"github.com/skylarkwood/skylarkwood/internal/coordination/gossip"
	"github.com/skylarkwood/skylarkwood/internal/coordination/limits"
	"github.com/skylarkwood/skylarkwood/internal/coordination/ratelimit"
	"github.com/skylarkwood/skylarkwood/internal/model"
	"github.com/skylarkwood/skylarkwood/internal/protocol/wire"
)

func (x *Exchange) newHeartbeat() wire.RouterHeartbeat {
	var usage []wire.EngineUsage
	for inc, u := range x.Usage.OwnUsage() {
		usage = append(usage, wire.EngineUsage{Server: inc, TokenLayers: int64(u.TokenLayers), Streams: int64(u.Streams), FirstStageStreams: int64(u.FirstStageStreams), PrefillLoad: u.PrefillLoad})
	}
	var rates []wire.InterconnectRate
	for pair, rate := range x.Interconnect.OwnRates() {
		rates = append(rates, wire.InterconnectRate{A: pair.A, B: pair.B, Rate: rate})
	}
	demands := encodeDemands(x.Interconnect.Demands())
	spareTokens := x.RetryBorrower.Budget.SpareTokens()
	rateLimits := encodeLimits(x.Limits.Snapshot())
	now := x.Now()
	x.mu.Lock()
	defer x.mu.Unlock()
	suspects := remainingMS(x.suspects, now)
	refusing := remainingMS(x.refusing, now)
	return wire.RouterHeartbeat{
		Config:        x.Config.Version(),
		ConfigAgeMS:   x.Config.Age(x.Clock()).Milliseconds(),
		Revision:      x.Revision(),
		Usage:         usage,
		Interconnects: rates,
		Slow:          x.Usage.OwnSlowdowns(),
		Suspects:      suspects,
		Refusing:      refusing,
		SpareTokens:   spareTokens,
		HasTraffic:    x.HasTraffic(),
		Limits:        rateLimits,
		Demands:       demands,
	}
}

// setRumors sets the rumors on engines that a heartbeat of the next round passes on.
func (x *Exchange) setRumors(b *wire.RouterHeartbeat) {
	now := x.Now()
	for _, r := range x.rumors.NextRound() {
		n := wire.Rumor{Server: r.Engine, At: r.At, RemainingMS: r.Until.Sub(now).Milliseconds(), Slowdown: r.Factor}
		if r.Kind == gossip.Leaving {
			b.Leaving = append(b.Leaving, n)
		} else {
			b.Rumors = append(b.Rumors, n)
		}
	}
}

// handleRumors applies the rumors on engines that a peer passes on.
func (x *Exchange) handleRumors(from string, b wire.RouterHeartbeat) {
	for _, n := range b.Rumors {
		kind := gossip.Refusal
		if n.Slowdown > 0 {
			kind = gossip.Slowdown
		}
		x.handleRumor(from, kind, n)
	}
	for _, n := range b.Leaving {
		x.handleRumor(from, gossip.Leaving, n)
	}
}

func (x *Exchange) handleRumor(from string, kind gossip.Kind, n wire.Rumor) {
	remaining := milliseconds(n.RemainingMS)
	r := gossip.Rumor{Engine: n.Server, Kind: kind, At: n.At, Until: x.Now().Add(remaining), Factor: n.Slowdown}
	x.Pool.Observe(r.At)
	if !x.rumors.Add(r) {
		return
	}
	klog.V(1).InfoS("rumor on engine received", "server", r.Engine, "peer", from, "kind", kind, "slowdown", r.Factor, "remaining", remaining)
	switch kind {
	case gossip.Refusal:
		x.HandlePeerRefusal(r.Engine, x.Now().Add(limits.Jitter(remaining)))
	case gossip.Slowdown:
		x.Usage.SetPeerSlowdown(r.Engine, r.Factor)
	case gossip.Leaving:
		x.HandlePeerLeaving(r.Engine)
	}
}

func encodeLimits(limits map[model.Incarnation]ratelimit.Advertised) map[model.Incarnation]wire.RateLimit {
	out := make(map[model.Incarnation]wire.RateLimit, len(limits))
	for inc, a := range limits {
		out[inc] = wire.RateLimit{Ended: a.Rate < 0, Rate: max(a.Rate, 0), AgeMS: a.Age.Milliseconds()}
	}
	return out
}

// mergeLimits records the limits that a peer knows.
func (x *Exchange) mergeLimits(from string, limits map[model.Incarnation]wire.RateLimit) {
	for inc, l := range limits {
		rate := l.Rate
		if l.Ended {
			rate = ratelimit.Unlimited
		}
		x.Limits.Merge(from, inc, ratelimit.Advertised{Rate: rate, Age: milliseconds(l.AgeMS)})
	}
}

// remainingMS returns the remaining milliseconds of each deadline and deletes the expired
// ones.
func remainingMS(deadlines map[model.Incarnation]time.Time, now time.Time) map[model.Incarnation]int64 {
	out := map[model.Incarnation]int64{}
	for inc, t := range deadlines {
		if remaining := t.Sub(now); remaining > 0 {
			out[inc] = remaining.Milliseconds()
		} else {
			delete(deadlines, inc)
		}
	}
	return out
}

// handleHeartbeat applies a heartbeat of a peer.
func (x *Exchange) handleHeartbeat(from string, body []byte) error {
	arrived := x.Clock()
	b, err := wire.UnpackRouterHeartbeat(body)
	if err != nil {
		return err
	}
	x.presence.Heard(from)
	x.mu.Lock()
	x.peerHasTraffic = x.peerHasTraffic || b.HasTraffic
	x.mu.Unlock()
	usage := make(map[model.Incarnation]chains.Usage, len(b.Usage))
	for _, u := range b.Usage {
		usage[u.Server] = chains.Usage{TokenLayers: float64(u.TokenLayers), Streams: float64(u.Streams), FirstStageStreams: float64(u.FirstStageStreams), PrefillLoad: u.PrefillLoad}
	}
	validity := gossip.Validity(milliseconds(b.IntervalMS))
	x.Usage.SetPeerUsage(from, usage, validity)
	rates := make(map[chains.DomainPair]float64, len(b.Interconnects))
	for _, p := range b.Interconnects {
		rates[chains.DomainPair{A: p.A, B: p.B}] = p.Rate
	}
	x.Interconnect.SetPeerDemands(from, rates, x.validDemands(from, b.Demands), milliseconds(b.IntervalMS), validity)
	for inc, factor := range b.Slow {
		x.Usage.SetPeerSlowdown(inc, factor)
	}
	for inc := range b.Suspects {
		x.HandlePeerSuspicion(inc)
	}
	for inc, remaining := range b.Refusing {
		x.HandlePeerRefusal(inc, x.Now().Add(limits.Jitter(milliseconds(remaining))))
	}
	x.handleRumors(from, b)
	x.RetryBorrower.SetPeerTokens(from, b.SpareTokens, validity)
	x.mergeLimits(from, b.Limits)
	x.ObservePeerRevision(b.Revision)
	if x.ObservePeerContact != nil {
		x.ObservePeerContact(b.Revision, arrived-milliseconds(b.ConfigAgeMS))
	}
	own := x.Config.Version()
	switch {
	case b.Config == own && own > 0:
		x.confirmConfig(b, arrived)
	case b.Config > own:
		x.startFetch(from, b, arrived)
	}
	return nil
}

// confirmConfig records that the version in force here was still the newest at the peer's
// last contact with the store. arrived is the time at which the heartbeat arrived.
func (x *Exchange) confirmConfig(b wire.RouterHeartbeat, arrived time.Duration) {
	age := time.Duration(b.ConfigAgeMS)*time.Millisecond + sendTimeout
	x.Config.Confirm(arrived - age)
}
