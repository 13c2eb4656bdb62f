package gossip

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/skylarkwood/skylarkwood/internal/coordination/presence"
)

// A far peer of a thousand routers counted as gone before its next heartbeat was due.
func TestPeersAreHeardBeforeTheyCountAsGone(t *testing.T) {
	for _, tc := range []struct{ near, far int }{{93, 376}, {189, 190}, {199, 800}} {
		s := NewSchedule(tc.near, tc.far)
		assert.Assert(t, s.Interval(false) < presence.Timeout, "%+v: %v", tc, s.Interval(false))
	}
}

// Over all rounds of a schedule each peer gets exactly one heartbeat, and each round has an
// equal part of them: heartbeats to all near peers at once come in bursts.
func TestRoundsReachEveryPeer(t *testing.T) {
	s := NewSchedule(93, 376)
	assert.Assert(t, s.Near > 1)
	for peers, rounds := range map[int]int{93: s.Near, 376: s.Far, 82: 7} {
		addrs := make([]string, peers)
		for i := range addrs {
			addrs[i] = fmt.Sprint(i)
		}
		heartbeats := map[string]int{}
		for round := range rounds {
			due := Due(addrs, round, rounds)
			assert.Assert(t, len(due) >= peers/rounds && len(due) <= peers/rounds+1, "%d of %d in round %d", len(due), peers, round)
			for _, addr := range due {
				heartbeats[addr]++
			}
		}
		assert.Equal(t, len(heartbeats), peers)
		for addr, n := range heartbeats {
			assert.Equal(t, n, 1, "peer %s", addr)
		}
	}
}
