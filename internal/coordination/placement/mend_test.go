package placement

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/skylarkwood/skylarkwood/internal/model"
)

// newWeakCluster returns a loaded cluster of three weak failure domains with traffic, and
// the engines of one of them.
func newWeakCluster(t *testing.T) (*testCluster, []Engine) {
	s := newTestCluster(t)
	spec := weakSpec()
	spec.LoadTime = 14 * time.Second
	spec.LoadsAtOnce = 9
	s.publishConfig(spec)
	s.add(weakEngines())
	s.run(12 * time.Second)
	s.traffic.Store(true)
	return s, inDomain(weakEngines(), "b")
}

// soleHolder returns an engine whose first and last layer no other engine of the failure
// domain holds.
func soleHolder(plan Plan, all []Engine) Engine {
	counts := Coverage(weakSpec(), plan, all)
	for _, e := range all {
		held := plan[e.Address]
		if held.Len() > 0 && counts[held.From] == 1 && counts[held.To-1] == 1 {
			return e
		}
	}
	return Engine{}
}

// A failure domain loses the only engine that holds some layers. Idle engines are moved to
// them soon, busy ones later.
func TestIdleEnginesCoverMissingLayersAtOnce(t *testing.T) {
	for name, c := range map[string]struct {
		streams float64
		within  time.Duration
		covered bool
	}{
		"idle": {streams: 0, within: 3 * time.Second, covered: true},
		"busy": {streams: 9, within: 3 * time.Second, covered: false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, all := newWeakCluster(t)
				s.c.StreamCount = func(model.Incarnation) float64 { return c.streams }
				plan := s.c.plans["s"].plan
				lost := soleHolder(plan, all)
				assert.Assert(t, lost.Address != "")
				s.remove(lost.Address)
				s.run(c.within)
				assert.Equal(t, s.coversModel(all, lost), c.covered)
				s.run(10 * time.Second)
				assert.Assert(t, s.coversModel(all, lost))
			})
		})
	}
}

// coversModel reports whether engines hold every layer without one of them.
func (s *testCluster) coversModel(all []Engine, without Engine) bool {
	held := make([]bool, weakSpec().Layers)
	for _, e := range all {
		r := s.held(e.Address)
		for l := r.From; l < r.To && e.Address != without.Address; l++ {
			held[l] = true
		}
	}
	for _, ok := range held {
		if !ok {
			return false
		}
	}
	return true
}

// An engine stops answering but stays listed. Its layers are covered without waiting for
// its entry to expire.
func TestSilentEngineIsReplacedWhileStillListed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, all := newWeakCluster(t)
		s.c.StreamCount = func(model.Incarnation) float64 { return 0 }
		lost := soleHolder(s.c.plans["s"].plan, all)
		s.c.Unreachable = func(inc model.Incarnation) bool { return inc.ID == lost.Address }
		s.run(3 * time.Second)
		assert.Assert(t, s.coversModel(all, lost))
	})
}

// The leader itself is disconnected and reaches none of many engines. It must not move
// any.
func TestDisconnectedLeaderMovesNoEngines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, all := newWeakCluster(t)
		s.c.StreamCount = func(model.Incarnation) float64 { return 0 }
		before := s.totalOrders()
		silent := map[string]bool{}
		for _, e := range all[:len(all)/2] {
			silent[e.Address] = true
		}
		s.c.Unreachable = func(inc model.Incarnation) bool { return silent[inc.ID] }
		s.run(10 * time.Second)
		assert.Equal(t, s.totalOrders(), before)
	})
}
