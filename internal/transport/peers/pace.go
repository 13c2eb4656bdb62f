package peers

import (
	"context"
	"math"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/skylarkwood/skylarkwood/internal/protocol/wire"
)

// Run sends heartbeats to the peers until ctx is done.
func (x *Exchange) Run(ctx context.Context) {
	for round := 0; ; round++ {
		s := x.schedule()
		select {
		case <-time.After(s.nearInterval):
			x.sendRound(ctx, s, round)
		case <-ctx.Done():
			return
		}
	}
}

// schedule determines how often heartbeats are sent. Near peers are in the own failure
// domain, far peers are in others.
type schedule struct {
	// nearInterval is the interval between two heartbeats to a near peer and the duration
	// of a round. Each far peer gets a heartbeat in every rounds-th round.
	nearInterval time.Duration
	rounds       int
}

func (s schedule) farInterval() time.Duration { return time.Duration(s.rounds) * s.nearInterval }

// interval returns the interval between two heartbeats to or from a peer.
func (s schedule) interval(near bool) time.Duration {
	if near {
		return s.nearInterval
	}
	return s.farInterval()
}

// validity returns how long the counts of a peer are valid after a heartbeat.
func (s schedule) validity(near bool) time.Duration {
	return validIntervals*s.interval(near) + validSlack
}

func (x *Exchange) schedule() schedule {
	near, far := x.presence.Split(x.peers())
	return newSchedule(len(near), len(far))
}

func newSchedule(near, far int) schedule {
	s := schedule{nearInterval: heartbeatInterval, rounds: 1}
	if nearRate := maxHeartbeats * nearShare; float64(near) > nearRate*heartbeatInterval.Seconds() && far > 0 {
		s.nearInterval = time.Duration(float64(near) / nearRate * float64(time.Second))
	} else if far == 0 {
		s.nearInterval = max(heartbeatInterval, time.Duration(near)*time.Second/maxHeartbeats)
	}
	farPerRound := maxHeartbeats*s.nearInterval.Seconds() - float64(near)
	s.rounds = max(int(math.Ceil(float64(far)/farPerRound)), 1)
	return s
}

// sendRound sends the heartbeats of one round.
func (x *Exchange) sendRound(ctx context.Context, s schedule, round int) {
	near, far := x.presence.Split(x.peers())
	slices.Sort(far)
	var due []string
	for i, addr := range far {
		if (i+round)%s.rounds == 0 {
			due = append(due, addr)
		}
	}
	heartbeat := x.newHeartbeat()
	x.sendHeartbeats(ctx, heartbeat, s.nearInterval, near)
	x.sendHeartbeats(ctx, heartbeat, s.farInterval(), due)
}

// sendHeartbeats sends a heartbeat to peers without waiting for them. interval is the time
// between two heartbeats to each of them.
func (x *Exchange) sendHeartbeats(ctx context.Context, heartbeat wire.RouterHeartbeat, interval time.Duration, peers []string) {
	heartbeat.IntervalMS = interval.Milliseconds()
	notification := x.Pool.NewNotification(wire.MethodRouterHeartbeat, heartbeat.Pack())
	for _, addr := range x.startSends(peers) {
		go func() {
			defer x.endSend(addr)
			ctx, cancel := context.WithTimeout(ctx, sendTimeout)
			defer cancel()
			if err := x.Pool.Send(ctx, addr, notification); err != nil {
				klog.V(1).InfoS("heartbeat not sent", "peer", addr, "err", err)
				x.Pool.Reset(addr)
			}
		}()
	}
}

// startSends returns the peers to which no message is in flight and marks them as having
// one.
func (x *Exchange) startSends(peers []string) []string {
	x.mu.Lock()
	defer x.mu.Unlock()
	var out []string
	for _, addr := range peers {
		if !x.sending[addr] {
			x.sending[addr] = true
			out = append(out, addr)
		}
	}
	return out
}

func (x *Exchange) endSend(addr string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	delete(x.sending, addr)
}
