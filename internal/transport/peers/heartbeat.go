package peers

import (
	"time"

	"github.com/skylarkwood/skylarkwood/internal/coordination/chains"
	"github.com/skylarkwood/skylarkwood/internal/coordination/limits"
	"github.com/skylarkwood/skylarkwood/internal/model"
	"github.com/skylarkwood/skylarkwood/internal/protocol/wire"
)

func (x *Exchange) compose() wire.RouterHeartbeat {
	var uses []wire.EngineUsage
	for inc, u := range x.Usage.OwnUsage() {
		uses = append(uses, wire.EngineUsage{Server: inc, TokenLayers: int64(u.TokenLayers), Streams: int64(u.Streams), FirstStageStreams: int64(u.FirstStageStreams), PrefillLoad: u.PrefillLoad})
	}
	var pipes []wire.InterconnectRate
	for pair, rate := range x.Interconnect.OwnRates() {
		pipes = append(pipes, wire.InterconnectRate{A: pair.A, B: pair.B, Rate: rate})
	}
	spares := x.RetryBorrower.Budget.SpareTokens() // it counts the routers, so before the lock
	now := x.Now()
	x.mu.Lock()
	defer x.mu.Unlock()
	suspects := remaining(x.suspects, now)
	refusing := remaining(x.refusing, now)
	return wire.RouterHeartbeat{
		Config:        x.Config.Version(),
		ConfigAgeMS:   x.Config.Age(x.Clock()).Milliseconds(),
		Revision:      x.Revision(),
		Usage:         uses,
		Interconnects: pipes,
		Slow:          x.Usage.OwnSlowdowns(),
		Suspects:      suspects,
		Refusing:      refusing,
		SpareTokens:   spares,
		HasTraffic:    x.HasTraffic(),
	}
}

// remaining gives the milliseconds left of each time and drops those that are
// over.
func remaining(until map[model.Incarnation]time.Time, now time.Time) map[model.Incarnation]int64 {
	out := map[model.Incarnation]int64{}
	for inc, t := range until {
		if left := t.Sub(now); left > 0 {
			out[inc] = left.Milliseconds()
		} else {
			delete(until, inc)
		}
	}
	return out
}

// heartbeat takes in a peer's message.
func (x *Exchange) heartbeat(from string, body []byte) error {
	arrived := x.Clock()
	b, err := wire.UnpackRouterHeartbeat(body)
	if err != nil {
		return err
	}
	x.mu.Lock()
	x.seen[from] = x.Now()
	x.traffic = x.traffic || b.HasTraffic
	x.mu.Unlock()
	uses := make(map[model.Incarnation]chains.Usage, len(b.Usage))
	for _, u := range b.Usage {
		uses[u.Server] = chains.Usage{TokenLayers: float64(u.TokenLayers), Streams: float64(u.Streams), FirstStageStreams: float64(u.FirstStageStreams), PrefillLoad: u.PrefillLoad}
	}
	good := trustedHeartbeats*time.Duration(b.IntervalMS)*time.Millisecond + trustSlack
	x.Usage.SetPeerUsage(from, uses, good)
	pipes := make(map[chains.DomainPair]float64, len(b.Interconnects))
	for _, p := range b.Interconnects {
		pipes[chains.DomainPair{A: p.A, B: p.B}] = p.Rate
	}
	x.Interconnect.SetPeerRates(from, pipes, good)
	for inc, factor := range b.Slow {
		x.Usage.SetPeerSlowdown(inc, factor)
	}
	for inc := range b.Suspects {
		x.HandlePeerSuspicion(inc)
	}
	for inc, left := range b.Refusing {
		x.HandlePeerRefusal(inc, x.Now().Add(limits.Jitter(time.Duration(left)*time.Millisecond)))
	}
	x.RetryBorrower.SetPeerTokens(from, b.SpareTokens, good)
	x.ObservePeerRevision(b.Revision)
	mine := x.Config.Version()
	switch {
	case b.Config == mine && mine > 0:
		x.confirm(b, arrived)
	case b.Config > mine:
		x.startFetch(from, b, arrived)
	}
	return nil
}

// confirm takes in a peer's word, as of when its message arrived, that the version in
// force here was not older than the newest.
func (x *Exchange) confirm(b wire.RouterHeartbeat, arrived time.Duration) {
	age := time.Duration(b.ConfigAgeMS)*time.Millisecond + sendTimeout
	x.Config.Confirm(arrived - age)
}
