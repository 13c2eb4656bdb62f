package peers

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/skylarkwood/skylarkwood/internal/coordination/chains"
	"github.com/skylarkwood/skylarkwood/internal/coordination/share"
	"github.com/skylarkwood/skylarkwood/internal/model"
	"github.com/skylarkwood/skylarkwood/internal/protocol/wire"
)

// withDomains returns a router that knows engines in the failure domains a and b.
func withDomains(t *testing.T) *Exchange {
	x, _ := newFetching(t, 1, 0)
	withLimits(x)
	for _, d := range []string{"a", "b"} {
		x.Catalog.Put(model.BackendServer{ID: d, Address: d + ":1", Service: "s", FailureDomain: d})
	}
	return x
}

// The demand at one router must reach the share of another with the heartbeats, and nothing
// may be sent for pairs and priorities without demand.
func TestDemandsTravelInHeartbeats(t *testing.T) {
	x, y := withDomains(t), withDomains(t)
	b := x.newHeartbeat()
	without := len(b.Pack())
	assert.Equal(t, len(b.Demands), 0)
	x.Interconnect.RecordUnmet("b", "a", 2, 5000)
	x.Interconnect.AllowsShare("a", "c", share.Request{Priority: 1, Amount: 10, Limit: 100, Routers: 2})
	b = x.newHeartbeat()
	assert.DeepEqual(t, b.Demands, []wire.ResourceDemand{{A: "a", B: "b", Priority: 2, Unmet: 5000}})
	assert.Assert(t, len(b.Pack()) <= without+20, "%d bytes, %d without demand", len(b.Pack()), without)
	b.IntervalMS = 250
	assert.NilError(t, y.handleHeartbeat("x", b.Pack()))
	request := share.Request{Priority: 2, Amount: 40, Limit: 100, Routers: 2}
	y.Interconnect.RecordUnmet("a", "b", 2, 1000)
	assert.Assert(t, !y.Interconnect.AllowsShare("a", "b", request))
	request.Priority = 0
	assert.Assert(t, y.Interconnect.AllowsShare("a", "b", request))
}

// Invalid demands of a peer must be ignored without losing its valid ones or the rest of its
// heartbeat, and with one log line.
func TestInvalidDemandsAreIgnored(t *testing.T) {
	x := withDomains(t)
	valid := wire.ResourceDemand{A: "b", B: "a", Priority: 1, Used: 7, Unmet: 2}
	rows := []wire.ResourceDemand{
		valid,
		{A: "a", B: "b", Priority: 1, Used: 9},
		{A: "a", B: "a", Used: 1},
		{A: "", B: "b", Used: 1},
		{A: "a", B: "nowhere", Used: 1},
		{A: "a", B: "b", Priority: -1, Used: 1},
		{A: "a", B: "b", Priority: math.MaxInt64, Used: 1},
		{A: "a", B: "b", Used: -1},
		{A: "a", B: "b", Used: math.NaN()},
		{A: "a", B: "b", Unmet: math.Inf(1)},
		{A: "a", B: "b", Unmet: 1e12},
	}
	got := x.validDemands("peer", rows)
	assert.DeepEqual(t, got, []chains.PairDemand{{DomainPair: chains.DomainPair{A: "a", B: "b"}, Demand: share.Demand{Priority: 1, Used: 7, Unmet: 2}}})
	logged := x.demandsLogged
	assert.Assert(t, !logged.IsZero())
	x.validDemands("peer", rows)
	assert.Equal(t, x.demandsLogged, logged, "logged again")

	var many []wire.ResourceDemand
	for i := range maxDemands + 1 {
		many = append(many, wire.ResourceDemand{A: "a", B: "b", Priority: int64(i), Used: 1})
	}
	assert.Equal(t, len(x.validDemands("peer", many)), 0)
	b := wire.RouterHeartbeat{Config: 1, IntervalMS: 250, Demands: append(rows, many...), HasTraffic: true}
	assert.NilError(t, x.handleHeartbeat("peer", b.Pack()))
	assert.Assert(t, x.PeerHasTraffic())
}

// A heartbeat of an older version has no demands. Its traffic must still count.
func TestHeartbeatOfOlderVersionIsApplied(t *testing.T) {
	x := withDomains(t)
	x.Interconnect.RecordUnmet("a", "b", 1, 10)
	b := wire.RouterHeartbeat{Config: 1, IntervalMS: 250, Interconnects: []wire.InterconnectRate{{A: "a", B: "b", Rate: 300}}}
	assert.NilError(t, x.handleHeartbeat("peer", b.Pack()))
	assert.Equal(t, math.Round(x.Interconnect.Rate("a", "b")), 300.0)
}

// Heartbeats with different demands at many peers at once must not race with requests.
func TestDemandsAndRequestsAtOnce(t *testing.T) {
	x := withDomains(t)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for i := range 500 {
			b := wire.RouterHeartbeat{Config: 1, IntervalMS: 250, Demands: []wire.ResourceDemand{{A: "a", B: "b", Priority: int64(i % 4), Used: 9}}}
			assert.Check(t, x.handleHeartbeat(fmt.Sprint("peer", i%20), b.Pack()))
		}
	}()
	for range 500 {
		x.Interconnect.AllowsShare("a", "b", share.Request{Priority: 1, Amount: 10, Limit: 100, Routers: 20})
		x.Interconnect.RecordUnmet("a", "b", 1, 10)
		x.newHeartbeat()
	}
	select {
	case <-done:
	case <-time.After(time.Minute):
		t.Fatal("heartbeats are not applied")
	}
}

// With many failure domains a router has more demands than peers accept in a heartbeat. It must
// send the largest, as peers ignore a longer list as a whole.
func TestLargestDemandsAreSent(t *testing.T) {
	var demands []chains.PairDemand
	for i := range 2 * maxDemands {
		pair := chains.DomainPair{A: fmt.Sprintf("a%d", i), B: "b"}
		demands = append(demands, chains.PairDemand{DomainPair: pair, Demand: share.Demand{Used: float64(i)}})
	}
	sent := encodeDemands(demands)
	assert.Equal(t, len(sent), maxDemands)
	for _, d := range sent {
		assert.Assert(t, d.Used >= maxDemands, "%v", d)
	}
}
