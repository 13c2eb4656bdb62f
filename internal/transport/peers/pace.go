package peers

import (
	"context"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/skylarkwood/skylarkwood/internal/coordination/gossip"
	"github.com/skylarkwood/skylarkwood/internal/protocol/wire"
)

// Run sends heartbeats to the peers until ctx is done.
func (x *Exchange) Run(ctx context.Context) {
	for round := 0; ; round++ {
		select {
		case <-time.After(gossip.RoundInterval):
			x.sendRound(ctx, round)
		case <-ctx.Done():
			return
		}
	}
}

func (x *Exchange) schedule() gossip.Schedule {
	near, far := x.presence.Split(x.peers())
	return gossip.NewSchedule(len(near), len(far))
}

// sendRound sends the heartbeats of one round.
func (x *Exchange) sendRound(ctx context.Context, round int) {
	near, far := x.presence.Split(x.peers())
	slices.Sort(near)
	slices.Sort(far)
	s := gossip.NewSchedule(len(near), len(far))
	heartbeat := x.newHeartbeat()
	x.setRumors(&heartbeat)
	x.sendHeartbeats(ctx, heartbeat, s.Interval(true), gossip.Due(near, round, s.Near))
	x.sendHeartbeats(ctx, heartbeat, s.Interval(false), gossip.Due(far, round, s.Far))
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
