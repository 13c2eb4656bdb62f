package peers

import (
	"context"
	"math"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/skylarkwood/skylarkwood/internal/protocol/wire"
)

// Run tells the peers until ctx ends.
func (x *Exchange) Run(ctx context.Context) {
	for round := 0; ; round++ {
		p := x.pace()
		select {
		case <-time.After(p.near):
			x.tell(ctx, p, round)
		case <-ctx.Done():
			return
		}
	}
}

// pace is how often peers are told.
type pace struct {
	// near is between two messages to a router of the own failure domain. Each other
	// one is told every rounds-th time.
	near   time.Duration
	rounds int
}

func (p pace) far() time.Duration { return time.Duration(p.rounds) * p.near }

// of is the time between two messages to or from a peer.
func (p pace) of(near bool) time.Duration {
	if near {
		return p.near
	}
	return p.far()
}

func (x *Exchange) pace() pace {
	near, far := x.split(x.peers())
	return paceOf(len(near), len(far))
}

func paceOf(near, far int) pace {
	p := pace{near: heartbeatInterval, rounds: 1}
	if share := maxHeartbeats * nearShare; float64(near) > share*heartbeatInterval.Seconds() && far > 0 {
		p.near = time.Duration(float64(near) / share * float64(time.Second))
	} else if far == 0 {
		p.near = max(heartbeatInterval, time.Duration(near)*time.Second/maxHeartbeats)
	}
	left := maxHeartbeats*p.near.Seconds() - float64(near) // messages to others, a round
	p.rounds = max(int(math.Ceil(float64(far)/left)), 1)
	return p
}

// split divides peers into those of the own failure domain and the others. Whose is
// not known counts as another's.
func (x *Exchange) split(peers []string) (near, far []string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, addr := range peers {
		if x.near[addr] {
			near = append(near, addr)
		} else {
			far = append(far, addr)
		}
	}
	return near, far
}

// tell sends this round's messages.
func (x *Exchange) tell(ctx context.Context, p pace, round int) {
	near, far := x.split(x.peers())
	slices.Sort(far)
	var turn []string
	for i, addr := range far {
		if (i+round)%p.rounds == 0 {
			turn = append(turn, addr)
		}
	}
	heartbeat := x.compose()
	x.send(ctx, heartbeat, p.near, near)
	x.send(ctx, heartbeat, p.far(), turn)
}

// send sends a message to peers that are told every so often.
func (x *Exchange) send(ctx context.Context, b wire.RouterHeartbeat, every time.Duration, peers []string) {
	b.IntervalMS = every.Milliseconds()
	notice := x.Pool.NewNotification(wire.MethodRouterHeartbeat, b.Pack())
	for _, addr := range x.idle(peers) {
		go func() {
			defer x.free(addr)
			ctx, cancel := context.WithTimeout(ctx, sendTimeout)
			defer cancel()
			if err := x.Pool.Send(ctx, addr, notice); err != nil {
				klog.V(1).InfoS("peer not told", "peer", addr, "err", err)
				x.Pool.Reset(addr)
			}
		}()
	}
}

// idle marks peers as being told and lists them, those left out to whom a message is
// still under way.
func (x *Exchange) idle(peers []string) []string {
	x.mu.Lock()
	defer x.mu.Unlock()
	var out []string
	for _, addr := range peers {
		if !x.busy[addr] {
			x.busy[addr] = true
			out = append(out, addr)
		}
	}
	return out
}

func (x *Exchange) free(addr string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	delete(x.busy, addr)
}
