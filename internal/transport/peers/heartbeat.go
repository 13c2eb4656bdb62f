package peers

import (
	"time"

	"github.com/skylarkwood/skylarkwood/internal/coordination/chains"
	"github.com/skylarkwood/skylarkwood/internal/coordination/limits"
	"github.com/skylarkwood/skylarkwood/internal/model"
	"github.com/skylarkwood/skylarkwood/internal/protocol/wire"
)

func (x *Exchange) compose() wire.RouterHeartbeat {
	var uses []wire.RouterUse
	for inc, u := range x.Usage.OwnUsage() {
		uses = append(uses, wire.RouterUse{Server: inc, TokenLayers: int64(u.TokenLayers), Streams: int64(u.Streams), Firsts: int64(u.FirstStageStreams), Reading: u.PrefillLoad})
	}
	var pipes []wire.RouterPipe
	for pair, rate := range x.Interconnect.OwnRates() {
		pipes = append(pipes, wire.RouterPipe{A: pair.A, B: pair.B, Rate: rate})
	}
	spares := x.RetryBorrower.Budget.SpareTokens() // it counts the routers, so before the lock
	now := x.Now()
	x.mu.Lock()
	defer x.mu.Unlock()
	suspects := remaining(x.suspects, now)
	refusing := remaining(x.refusing, now)
	return wire.RouterHeartbeat{
		Config:      x.Config.Version(),
		ConfigAgeMS: x.Config.Age(x.Clock()).Milliseconds(),
		Revision:    x.Revision(),
		Uses:        uses,
		Pipes:       pipes,
		Slow:        x.Usage.OwnSlowdowns(),
		Suspects:    suspects,
		Refusing:    refusing,
		Spares:      spares,
		Traffic:     x.HasTraffic(),
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
	x.traffic = x.traffic || b.Traffic
	x.mu.Unlock()
	uses := make(map[model.Incarnation]chains.Usage, len(b.Uses))
	for _, u := range b.Uses {
		uses[u.Server] = chains.Usage{TokenLayers: float64(u.TokenLayers), Streams: float64(u.Streams), FirstStageStreams: float64(u.Firsts), PrefillLoad: u.Reading}
	}
	good := trustedHeartbeats*time.Duration(b.EveryMS)*time.Millisecond + trustSlack
	x.Usage.SetPeerUsage(from, uses, good)
	pipes := make(map[chains.DomainPair]float64, len(b.Pipes))
	for _, p := range b.Pipes {
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
	x.RetryBorrower.SetPeerTokens(from, b.Spares, good)
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
