package peers

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/skylarkwood/skylarkwood/internal/coordination/chains"
	"github.com/skylarkwood/skylarkwood/internal/coordination/gossip"
	"github.com/skylarkwood/skylarkwood/internal/model"
)

// A refusal went only to the routers that the one that was refused sends heartbeats to, seconds
// later to most of hundreds. Those that heard of it pass it on at once, with the time that is
// left, and each applies it once.
func TestRumorsOnEnginesArePassedOn(t *testing.T) {
	refusing, slow, leaving := model.Incarnation{ID: "i-1"}, model.Incarnation{ID: "i-2"}, model.Incarnation{ID: "i-3"}
	refusals := make([]int, 3)
	departures := make([]int, 3)
	routers := make([]*Exchange, 3)
	for i := range routers {
		x, _ := newFetching(t, 1, 0)
		withLimits(x)
		x.HandlePeerRefusal = func(engine model.Incarnation, until time.Time) {
			assert.Equal(t, engine, refusing)
			assert.Assert(t, time.Until(until) > 3*time.Second)
			refusals[i]++
		}
		x.HandlePeerLeaving = func(engine model.Incarnation) {
			assert.Equal(t, engine, leaving)
			departures[i]++
		}
		x.ObservePeerRevision = func(model.Revision) {}
		routers[i] = x
	}
	sendRound := func(from, to int) {
		b := routers[from].newHeartbeat()
		routers[from].setRumors(&b)
		assert.NilError(t, routers[to].handleHeartbeat(routers[from].Self, b.Pack()))
	}
	routers[0].AnnounceRefusal(refusing, time.Now().Add(4*time.Second))
	routers[0].AnnounceSlowdown(slow, 3)
	routers[0].AnnounceLeaving(leaving)
	sendRound(0, 1)
	sendRound(1, 2)
	sendRound(2, 1)
	assert.Equal(t, refusals[2], 1)
	assert.Equal(t, routers[2].Usage.Slowdown(slow), 3.0)
	routers[2].AnnounceSlowdown(slow, 1)
	sendRound(2, 1)
	assert.Equal(t, routers[1].Usage.Slowdown(slow), 1.0, "its end is passed on as well")
	assert.Assert(t, chains.SlowdownTTL > 4*gossip.RoundInterval, "a rumor is valid for longer than it takes to reach all")
}
