package ratelimit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/skylarkwood/skylarkwood/internal/model"
)

const (
	tick         = 10 * time.Millisecond
	exchangeTick = 50 * time.Millisecond
	responseTime = 30 * time.Millisecond
	// heartbeats is how many a router sends per second at most, each at least 250 ms after
	// the last one to the same peer.
	heartbeats = 96
)

// simulation is a fleet of routers before one server. Responses and heartbeats take time.
type simulation struct {
	rnd     *rand.Rand
	clock   *testClock
	names   []string
	routers []*Tracker
	rate    float64 // that the server advertises
	told    []time.Duration
	pending []response
	sent    []sending
	offered int
}

type response struct {
	router          int
	sentAt, arrives time.Duration
	rate            float64
}

type sending struct {
	router int
	at     time.Duration
}

func newSimulation(routers int, seed uint64) *simulation {
	s := &simulation{rnd: rand.New(rand.NewPCG(seed, 1)), clock: &testClock{now: time.Hour}, rate: Unlimited, told: make([]time.Duration, routers)}
	for i := range routers {
		s.names = append(s.names, fmt.Sprint("r", i))
	}
	for i := range routers {
		s.routers = append(s.routers, s.newRouter(i))
	}
	return s
}

func (s *simulation) newRouter(i int) *Tracker {
	routers := named(s.names)
	return New(s.names[i], func(model.Incarnation) []Router { return routers }, s.clock.read)
}

// run lets all routers together offer so many requests per second to the server.
func (s *simulation) run(d time.Duration, offered float64) {
	for end := s.clock.now + d; s.clock.now < end; s.clock.now += tick {
		s.deliver()
		for offer := offered * tick.Seconds(); offer > 0; offer-- {
			if offer >= 1 || s.rnd.Float64() < offer {
				s.offer(s.rnd.IntN(len(s.routers)))
			}
		}
		if s.clock.now%exchangeTick == 0 {
			s.exchange()
		}
	}
}

func (s *simulation) offer(router int) {
	s.offered++
	if s.routers[router].Take(engine) {
		s.sent = append(s.sent, sending{router, s.clock.now})
		s.pending = append(s.pending, response{router, s.clock.now, s.clock.now + responseTime, s.rate})
	}
}

func (s *simulation) deliver() {
	for len(s.pending) > 0 && s.pending[0].arrives <= s.clock.now {
		r := s.pending[0]
		s.pending = s.pending[1:]
		s.routers[r.router].Observe(engine, r.rate, r.sentAt)
		if r.rate >= 0 && s.told[r.router] == 0 {
			s.told[r.router] = s.clock.now
		}
	}
}

// exchange sends heartbeats from every router to random others.
func (s *simulation) exchange() {
	peers := len(s.routers) - 1
	perTick := min(float64(peers)*4, heartbeats) * exchangeTick.Seconds()
	for i, r := range s.routers {
		snapshot := r.Snapshot()
		if snapshot == nil {
			continue
		}
		for n := perTick; n > 0; n-- {
			if n < 1 && s.rnd.Float64() >= n {
				continue
			}
			to := (i + 1 + s.rnd.IntN(peers)) % len(s.routers)
			for inc, a := range snapshot {
				a.Age += time.Millisecond
				s.routers[to].Merge(s.names[i], inc, a)
			}
		}
	}
}

// mostExcess returns by how much the requests of any window that ends after a time exceed
// the bound. Those of routers count that were told half a second before the window's end,
// also the ones that they sent before they were told.
func (s *simulation) mostExcess(after time.Duration, rate float64) float64 {
	worst := -1e9
	for i, first := range s.sent {
		if first.at+window < after {
			continue
		}
		n := 0.0
		for _, x := range s.sent[i:] {
			if x.at-first.at >= window {
				break
			}
			if told := s.told[x.router]; told > 0 && told+500*time.Millisecond <= first.at+window {
				n++
			}
		}
		worst = max(worst, n-(1.5*rate*window.Seconds()+5))
	}
	return worst
}

func (s *simulation) sentSince(at time.Duration) int {
	n := 0
	for _, x := range s.sent {
		if x.at >= at {
			n++
		}
	}
	return n
}

// loadOf returns a load in requests per second at which every router has some for the server.
func loadOf(routers int, rate float64) float64 { return max(5*rate, 3*float64(routers)) }

// inFleets runs a test for fleets of several sizes beside each other.
func inFleets(t *testing.T, test func(t *testing.T, routers int)) {
	for _, routers := range []int{2, 5, 40, 380} {
		t.Run(fmt.Sprint(routers, " routers"), func(t *testing.T) {
			t.Parallel()
			test(t, routers)
		})
	}
}

// Each router kept to the limit alone, and their sum did not; or each had such a small part
// that most of the limit was not used.
func TestFleetKeepsToTheLimitAndUsesIt(t *testing.T) {
	inFleets(t, func(t *testing.T, routers int) {
		rates := []float64{0.8, 4.7, 60}
		if routers > 100 {
			rates = rates[1:2] // these runs are long
		}
		for _, rate := range rates {
			s := newSimulation(routers, 7)
			s.run(5*time.Second, 4*rate)
			s.rate = rate
			named := s.clock.now
			s.run(6*time.Second, 4*rate)
			s.run(6*time.Second, loadOf(routers, rate))
			assert.Check(t, s.mostExcess(named+3*time.Second, rate) <= 0, "%d routers, %v a second: %v too many", routers, rate, s.mostExcess(named+3*time.Second, rate))
			s.sent = nil
			settled := s.clock.now
			s.run(15*time.Second, loadOf(routers, rate))
			used := float64(s.sentSince(settled)) / (15 * rate)
			assert.Check(t, used > 0.75, "%d routers, %v a second: %v of the limit used", routers, rate, used)
			t.Logf("%d routers, %v a second: %.2f of the limit used", routers, rate, used)
		}
	})
}

// A raised or ended limit is noticed by few routers, and the others have to learn of it.
func TestFleetLearnsOfRaisedAndEndedLimits(t *testing.T) {
	inFleets(t, func(t *testing.T, routers int) {
		s := newSimulation(routers, 11)
		s.rate = 4
		load := loadOf(routers, 8)
		s.run(5*time.Second, load)
		for _, rate := range []float64{12, 3, Unlimited} {
			s.rate = rate
			changed := s.clock.now
			s.run(5*time.Second, load)
			for i, r := range s.routers {
				known, ok := r.Rates()[engine]
				assert.Check(t, ok == (rate >= 0) && (!ok || known == rate), "router %d of %d has %v, %v after %v", i, routers, known, s.clock.now-changed, rate)
			}
		}
		before, offered := len(s.sent), s.offered
		s.run(2*time.Second, load)
		assert.Check(t, len(s.sent)-before == s.offered-offered, "%d routers: %d of %d sent after the end", routers, len(s.sent)-before, s.offered-offered)
	})
}

// Routers restart one after the other and forget the limit, and their peers remember it.
func TestRestartedRoutersLearnTheLimit(t *testing.T) {
	inFleets(t, func(t *testing.T, routers int) {
		s := newSimulation(routers, 13)
		s.rate = 5
		s.run(10*time.Second, 50)
		for i := range min(routers, 20) {
			s.routers[i] = s.newRouter(i)
			s.told[i] = 0
			s.run(500*time.Millisecond, 50)
		}
		s.run(time.Second, 50)
		for i, r := range s.routers {
			assert.Check(t, r.Rates()[engine] == 5, "router %d of %d", i, routers)
		}
		restarted := s.clock.now
		s.run(10*time.Second, 50)
		assert.Check(t, s.mostExcess(restarted, 5) <= 0, "%d routers", routers)
	})
}

// Two servers share no state, and a new incarnation has no limit.
func TestLimitsBelongToAnIncarnation(t *testing.T) {
	tr, c := newTestTracker("a")
	tr.Observe(engine, 0, c.now)
	assert.Assert(t, !tr.Available(engine))
	assert.Assert(t, tr.Available(model.Incarnation{ID: "i-1", Born: 9}))
	c.now += limitTTL + time.Second
	tr.Retain(func(model.Incarnation) bool { return false })
	assert.Equal(t, len(tr.Rates()), 0)
}

// Heartbeats round rates. Two routers took each other's rounding for a new, lower limit and
// paid back what they had sent again and again.
func TestRoundedRatesAreNoChange(t *testing.T) {
	s := newSimulation(5, 17)
	s.rate = 4.73219
	s.run(8*time.Second, 60)
	for i, r := range s.routers {
		rate := r.Rates()[engine]
		s.routers[(i+1)%5].Merge(s.names[i], engine, Advertised{Rate: float64(int64(rate*1000+0.5)) / 1000})
		assert.Equal(t, s.routers[(i+1)%5].Rates()[engine], rate)
	}
}

// A limit is lowered. What was sent under the higher one counts against it.
func TestLoweredLimitIsKept(t *testing.T) {
	inFleets(t, func(t *testing.T, routers int) {
		s := newSimulation(routers, 19)
		load := loadOf(routers, 24)
		s.rate = 24
		s.run(6*time.Second, load)
		s.rate = 6
		lowered := s.clock.now
		s.run(10*time.Second, load)
		assert.Check(t, s.mostExcess(lowered+5*time.Second, 6) <= 0, "%d routers: %v", routers, s.mostExcess(lowered+5*time.Second, 6))
		assert.Check(t, s.sentSince(lowered+6*time.Second) > 12, "%d routers: %d sent in 4 s", routers, s.sentSince(lowered+6*time.Second))
	})
}

// A server with a limit is removed. Routers told each other of its limit again and again, so that
// none ever forgot it.
func TestLimitsOfRemovedServersAreForgotten(t *testing.T) {
	s := newSimulation(10, 23)
	s.rate = 5
	s.run(2*time.Second, 50)
	removed := s.clock.now
	for s.clock.now < removed+2*limitTTL {
		s.clock.now += 250 * time.Millisecond
		s.exchange()
		if r := s.routers[s.rnd.IntN(len(s.routers))]; s.clock.now%time.Second == 0 {
			r.Retain(func(model.Incarnation) bool { return false })
		}
	}
	for i, r := range s.routers {
		r.Retain(func(model.Incarnation) bool { return false })
		s.exchange()
		assert.Check(t, len(r.Snapshot()) == 0, "router %d", i)
	}
}
