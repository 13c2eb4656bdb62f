package gossip

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/skylarkwood/skylarkwood/internal/hlc"
	"github.com/skylarkwood/skylarkwood/internal/model"
)

var engine = model.Incarnation{ID: "i-1", Born: 1}

const failureDomains = 5

// fleet is many routers in failure domains that send each other heartbeats in simulated time.
type fleet struct {
	*rand.Rand
	now     time.Duration
	routers []*router
	waiting map[time.Duration][]func()
	delay   func(near bool) time.Duration
	loss    float64
	relayed int // rumors sent
}

type router struct {
	*Board
	f         *fleet
	near, far []string // indexes
	phase     time.Duration
	round     int
	informed  time.Duration // when it learned of the refusal; negative before
}

const (
	step  = 5 * time.Millisecond
	epoch = 1700000000
)

func (f *fleet) time() time.Time { return time.Unix(epoch, 0).Add(f.now) }

func newFleet(n int, seed uint64) *fleet {
	f := &fleet{Rand: rand.New(rand.NewPCG(seed, 1)), waiting: map[time.Duration][]func(){}, loss: 0.02}
	f.delay = func(near bool) time.Duration {
		if near {
			return step
		}
		return step * time.Duration(1+f.IntN(9))
	}
	index := make([]string, n)
	for i := range n {
		index[i] = fmt.Sprint(i)
	}
	for i := range n {
		r := &router{Board: NewBoard(f.time), f: f, phase: time.Duration(f.IntN(int(RoundInterval/step))) * step, round: f.IntN(1000), informed: -1}
		for j := range n {
			switch {
			case j == i:
			case j%failureDomains == i%failureDomains:
				r.near = append(r.near, index[j])
			default:
				r.far = append(r.far, index[j])
			}
		}
		f.routers = append(f.routers, r)
	}
	return f
}

// advance runs the fleet for a time.
func (f *fleet) advance(d time.Duration) {
	for end := f.now + d; f.now < end; f.now += step {
		for _, deliver := range f.waiting[f.now] {
			deliver()
		}
		delete(f.waiting, f.now)
		for _, r := range f.routers {
			if (f.now-r.phase)%RoundInterval == 0 {
				r.sendRound()
			}
		}
	}
}

func (r *router) sendRound() {
	r.round++
	rumors := r.NextRound()
	if len(rumors) == 0 {
		return
	}
	s := NewSchedule(len(r.near), len(r.far))
	r.send(rumors, Due(r.near, r.round, s.Near), true)
	r.send(rumors, Due(r.far, r.round, s.Far), false)
}

func (r *router) send(rumors []Rumor, peers []string, near bool) {
	for _, addr := range peers {
		r.f.relayed += len(rumors)
		if r.f.Float64() < r.f.loss {
			continue
		}
		var to int
		fmt.Sscan(addr, &to)
		remaining := make([]time.Duration, len(rumors))
		for i, rumor := range rumors {
			remaining[i] = rumor.Until.Sub(r.f.time())
		}
		at := r.f.now + r.f.delay(near)
		r.f.waiting[at] = append(r.f.waiting[at], func() { r.f.routers[to].receive(rumors, remaining) })
	}
}

func (r *router) receive(rumors []Rumor, remaining []time.Duration) {
	for i, rumor := range rumors {
		rumor.Until = r.f.time().Add(remaining[i])
		if r.Add(rumor) && r.informed < 0 {
			r.informed = r.f.now
		}
	}
}

// findOut makes a router find out by itself that the engine refuses requests.
func (r *router) findOut(period time.Duration) {
	r.Add(Rumor{Engine: engine, Kind: Refusal, At: hlc.Timestamp{Wall: r.f.time().UnixMilli()}, Until: r.f.time().Add(period)})
	if r.informed < 0 {
		r.informed = r.f.now
	}
}

// A rumor went to each peer with the next heartbeat to it, which far peers of hundreds of
// routers got seconds later. It must reach all within the same time at any number of routers.
func TestRumorReachesAllRoutersAtAnySize(t *testing.T) {
	const limit = time.Second
	for _, n := range []int{20, 100, 470, 1000, 2000} {
		f := newFleet(n, uint64(n))
		f.advance(RoundInterval)
		began := f.now
		f.routers[0].findOut(8 * time.Second)
		f.advance(2 * limit)
		var ages []time.Duration
		for i, r := range f.routers {
			assert.Assert(t, r.informed >= 0, "router %d of %d was not informed", i, n)
			ages = append(ages, r.informed-began)
		}
		slices.Sort(ages)
		t.Logf("%d routers: informed after %v (half), %v (99%%), %v (all); %.0f rumors sent by each", n, ages[n/2], ages[n*99/100], ages[n-1], float64(f.relayed)/float64(n))
		assert.Assert(t, ages[n-1] <= limit, "the last of %d routers after %v", n, ages[n-1])
		assert.Assert(t, f.relayed <= n*relayRounds*maxHeartbeats/4)
	}
}

// All routers find out the same thing within a moment. Passing on each finding would multiply
// the heartbeats' size by the number of routers.
func TestSameFindingOfAllRoutersIsPassedOnOnce(t *testing.T) {
	const n = 470
	f := newFleet(n, 7)
	for _, r := range f.routers {
		at := time.Duration(f.IntN(40)) * step
		f.waiting[at] = append(f.waiting[at], func() { r.findOut(8 * time.Second) })
	}
	f.advance(3 * time.Second)
	assert.Assert(t, f.relayed <= 2*n*relayRounds*maxHeartbeats/4, "%d rumors sent by each router", f.relayed/n)
}

// On congested links a rumor grows older than its remaining time says. It must not travel in
// a circle and keep an engine unused for ever.
func TestRumorEndsOnCongestedLinks(t *testing.T) {
	const n, delay, period = 100, time.Second, 2 * time.Second
	f := newFleet(n, 3)
	f.delay = func(bool) time.Duration { return delay }
	f.routers[0].findOut(period)
	f.advance(period + 4*delay)
	for _, r := range f.routers {
		assert.Equal(t, len(r.NextRound()), 0)
	}
	relayed := f.relayed
	f.advance(10 * time.Second)
	assert.Equal(t, f.relayed, relayed)
}

// A copy of an older rumor that arrives late must not make a recovered engine slow again.
func TestOlderRumorDoesNotReplaceANewerOne(t *testing.T) {
	f := newFleet(1, 1)
	b := f.routers[0].Board
	slow := Rumor{Engine: engine, Kind: Slowdown, At: hlc.Timestamp{Wall: 10}, Until: f.time().Add(3 * time.Second), Factor: 4}
	recovered := Rumor{Engine: engine, Kind: Slowdown, At: hlc.Timestamp{Wall: 20}, Until: f.time().Add(3 * time.Second), Factor: 1}
	assert.Assert(t, b.Add(slow))
	assert.Assert(t, b.Add(recovered))
	assert.Assert(t, !b.Add(slow))
	assert.Assert(t, !b.Add(recovered))
	assert.DeepEqual(t, b.NextRound(), []Rumor{recovered})
	f.now += 30 * time.Second
	b.NextRound()
	assert.Assert(t, !b.Add(slow), "remembered for a time after it expired")
	f.now += 2 * retention
	b.NextRound()
	assert.Equal(t, len(b.rumors), 0)
}

// A heartbeat has a bounded size; the newest rumors go first.
func TestRumorsOfARoundAreBounded(t *testing.T) {
	f := newFleet(1, 1)
	b := f.routers[0].Board
	for i := range 3 * maxRelayed {
		b.Add(Rumor{Engine: model.Incarnation{ID: fmt.Sprint(i)}, At: hlc.Timestamp{Wall: int64(i)}, Until: f.time().Add(time.Second)})
	}
	first := b.NextRound()
	assert.Equal(t, len(first), maxRelayed)
	assert.Equal(t, first[0].At.Wall, int64(3*maxRelayed-1))
	sent := map[string]int{}
	for rumors := first; len(rumors) > 0; rumors = b.NextRound() {
		for _, r := range rumors {
			sent[r.Engine.ID]++
		}
	}
	assert.Equal(t, len(sent), 3*maxRelayed)
	for id, n := range sent {
		assert.Equal(t, n, relayRounds, "%s", id)
	}
}

// The clock of a router is a day ahead. What it says must not outdate what others find out.
func TestRumorOfAClockFarAheadIsIgnored(t *testing.T) {
	f := newFleet(1, 1)
	b := f.routers[0].Board
	slow := Rumor{Engine: engine, Kind: Slowdown, At: hlc.Timestamp{Wall: f.time().Add(24 * time.Hour).UnixMilli()}, Until: f.time().Add(3 * time.Second), Factor: 4}
	assert.Assert(t, !b.Add(slow))
	slow.At.Wall = f.time().UnixMilli()
	assert.Assert(t, b.Add(slow))
}
