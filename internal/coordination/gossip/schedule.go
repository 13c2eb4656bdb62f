// Package gossip decides which routers get a heartbeat when, and which rumors on engines
// travel on with it. It does no I/O.
package gossip

import (
	"math"
	"time"
)

const (
	// RoundInterval is the time between two rounds of heartbeats, and between two heartbeats
	// to a peer while there are few. Streams may last only a second, so older counts would be
	// inaccurate.
	RoundInterval = 250 * time.Millisecond
	// maxHeartbeats is the maximum number of heartbeats that a router sends per second, and
	// that it receives on average, at any number of routers. Four a second to each peer
	// would be 1,500 at 380 routers.
	maxHeartbeats = 96
	// nearShare is the largest share of maxHeartbeats for routers of the own failure
	// domain. They start streams at the same engines as this router. With outdated counts,
	// too many streams are assigned to an engine and queue there.
	nearShare = 0.5
	// validIntervals and validSlack determine how long the counts of a peer are valid
	// after a heartbeat.
	validIntervals = 4
	validSlack     = time.Second
)

// Schedule determines how often heartbeats are sent, in rounds. Near peers are in the own
// failure domain, far peers are in others.
type Schedule struct {
	// Near and Far are the numbers of rounds in which each peer gets one heartbeat.
	Near, Far int
}

// NewSchedule returns the schedule for a number of near and far peers.
func NewSchedule(near, far int) Schedule {
	perRound := maxHeartbeats * RoundInterval.Seconds()
	nearPerRound := perRound
	if far > 0 {
		nearPerRound = nearShare * perRound
	}
	s := Schedule{Near: rounds(near, nearPerRound)}
	s.Far = rounds(far, perRound-float64(near)/float64(s.Near))
	return s
}

// rounds returns how many rounds it takes to send a heartbeat to each of n peers.
func rounds(n int, perRound float64) int {
	return max(int(math.Ceil(float64(n)/perRound)), 1)
}

// Interval returns the time between two heartbeats to or from a peer.
func (s Schedule) Interval(near bool) time.Duration {
	if near {
		return time.Duration(s.Near) * RoundInterval
	}
	return time.Duration(s.Far) * RoundInterval
}

// Validity returns how long the counts of a peer are valid after a heartbeat.
func (s Schedule) Validity(near bool) time.Duration { return Validity(s.Interval(near)) }

// Validity returns how long the counts in a heartbeat are valid if the next one follows after
// interval.
func Validity(interval time.Duration) time.Duration { return validIntervals*interval + validSlack }

// Due returns the peers that get a heartbeat in a round: each one once in a number of rounds.
func Due(peers []string, round, rounds int) []string {
	var out []string
	for i := (rounds - round%rounds) % rounds; i < len(peers); i += rounds {
		out = append(out, peers[i])
	}
	return out
}
