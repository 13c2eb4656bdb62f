package peers

import (
	"time"

	"github.com/skylarkwood/skylarkwood/internal/coordination/chains"
	"github.com/skylarkwood/skylarkwood/internal/coordination/limits"
	"github.com/skylarkwood/skylarkwood/internal/model"
	"github.com/skylarkwood/skylarkwood/internal/protocol/wire"
)

func (x *Exchange) newHeartbeat() wire.RouterHeartbeat {
	var usage []wire.RouterUse
	for inc, u := range x.Usage.OwnUsage() {
		usage = append(usage, wire.RouterUse{Server: inc, TokenLayers: int64(u.TokenLayers), Streams: int64(u.Streams), Firsts: int64(u.FirstStageStreams), Reading: u.PrefillLoad})
	}
	var rates []wire.RouterPipe
	for pair, rate := range x.Interconnect.OwnRates() {
		rates = append(rates, wire.RouterPipe{A: pair.A, B: pair.B, Rate: rate})
	}
	spareTokens := x.RetryBorrower.Budget.SpareTokens() // locks x.mu to count the routers
	now := x.Now()
	x.mu.Lock()
	defer x.mu.Unlock()
	suspects := remainingMS(x.suspects, now)
	refusing := remainingMS(x.refusing, now)
	return wire.RouterHeartbeat{
		Config:      x.Config.Version(),
		ConfigAgeMS: x.Config.Age(x.Clock()).Milliseconds(),
		Revision:    x.Revision(),
		Uses:        usage,
		Pipes:       rates,
		Slow:        x.Usage.OwnSlowdowns(),
		Suspects:    suspects,
		Refusing:    refusing,
		Spares:      spareTokens,
		Traffic:     x.HasTraffic(),
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
	x.mu.Lock()
	x.lastHeartbeat[from] = x.Now()
	x.peerHasTraffic = x.peerHasTraffic || b.Traffic
	x.mu.Unlock()
	usage := make(map[model.Incarnation]chains.Usage, len(b.Uses))
	for _, u := range b.Uses {
		usage[u.Server] = chains.Usage{TokenLayers: float64(u.TokenLayers), Streams: float64(u.Streams), FirstStageStreams: float64(u.Firsts), PrefillLoad: u.Reading}
	}
	validity := validIntervals*time.Duration(b.EveryMS)*time.Millisecond + validSlack
	x.Usage.SetPeerUsage(from, usage, validity)
	rates := make(map[chains.DomainPair]float64, len(b.Pipes))
	for _, p := range b.Pipes {
		rates[chains.DomainPair{A: p.A, B: p.B}] = p.Rate
	}
	x.Interconnect.SetPeerRates(from, rates, validity)
	for inc, factor := range b.Slow {
		x.Usage.SetPeerSlowdown(inc, factor)
	}
	for inc := range b.Suspects {
		x.HandlePeerSuspicion(inc)
	}
	for inc, remaining := range b.Refusing {
		x.HandlePeerRefusal(inc, x.Now().Add(limits.Jitter(time.Duration(remaining)*time.Millisecond)))
	}
	x.RetryBorrower.SetPeerTokens(from, b.Spares, validity)
	x.ObservePeerRevision(b.Revision)
	own := x.Config.Version()
	switch {
	case b.Config == own && own > 0:
		x.confirmConfig(b, arrived)
	case b.Config > own:
		x.startFetch(from, b, arrived)
	}
	return nil
}

// confirmConfig records that the version in force here was still the newest when the peer
// last heard from the store. arrived is the time at which the heartbeat arrived.
func (x *Exchange) confirmConfig(b wire.RouterHeartbeat, arrived time.Duration) {
	age := time.Duration(b.ConfigAgeMS)*time.Millisecond + sendTimeout
	x.Config.Confirm(arrived - age)
}
