package placement

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/skylarkwood/skylarkwood/internal/model"
)

// weakShop has three weak domains loaded and callers before them, and gives the
// engines of one.
func weakShop(t *testing.T) (*shop, []Engine) {
	s := newShop(t)
	spec := weakSpec()
	spec.LoadTime = 14 * time.Second
	spec.ConcurrentLoads = 9
	s.config(spec)
	s.add(weakSite())
	s.run(12 * time.Second)
	s.traffic.Store(true)
	return s, inDomain(weakSite(), "b")
}

// aloneHolder finds an engine whose layers nobody else of the domain holds.
func aloneHolder(plan Plan, all []Engine) Engine {
	counts := Coverage(weakSpec(), plan, all)
	for _, e := range all {
		held := plan[e.Address]
		if held.Len() > 0 && counts[held.From] == 1 && counts[held.To-1] == 1 {
			return e
		}
	}
	return Engine{}
}

// The pattern: an engine that holds layers alone leaves its domain for good. Until
// they are held again the domain's callers are refused, some fifty a second, as pipes
// carry few of them. Engines that stand in for others and run nothing load within
// 1.5 s, so they are moved after a second; busy ones wait for their streams.
func TestIdleEnginesFillAHoleAtOnce(t *testing.T) {
	for name, c := range map[string]struct {
		streams float64
		within  time.Duration
		whole   bool
	}{
		"idle": {streams: 0, within: 3 * time.Second, whole: true},
		"busy": {streams: 9, within: 3 * time.Second, whole: false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, all := weakShop(t)
				s.c.StreamCount = func(model.Incarnation) float64 { return c.streams }
				plan := s.c.plans["s"].plan
				gone := aloneHolder(plan, all)
				assert.Assert(t, gone.Address != "")
				s.remove(gone.Address)
				s.run(c.within)
				assert.Equal(t, s.whole(all, gone), c.whole)
				s.run(10 * time.Second)
				assert.Assert(t, s.whole(all, gone))
			})
		})
	}
}

// whole tells whether engines hold every layer, one of them left out.
func (s *shop) whole(all []Engine, without Engine) bool {
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

// An engine falls silent while its entry stands, as the store is about to be away:
// that it answers nobody is enough to fill its place.
func TestSilentEngineIsReplacedThoughItsEntryStands(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, all := weakShop(t)
		s.c.StreamCount = func(model.Incarnation) float64 { return 0 }
		gone := aloneHolder(s.c.plans["s"].plan, all)
		s.c.Unreachable = func(inc model.Incarnation) bool { return inc.ID == gone.Address }
		s.run(3 * time.Second)
		assert.Assert(t, s.whole(all, gone))
	})
}

// The leader itself is cut off and hears from no engine. It believes the entries, and
// moves nobody.
func TestLeaderThatIsCutOffMovesNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, all := weakShop(t)
		s.c.StreamCount = func(model.Incarnation) float64 { return 0 }
		before := s.ordersGiven()
		silent := map[string]bool{}
		for _, e := range all[:len(all)/2] {
			silent[e.Address] = true
		}
		s.c.Unreachable = func(inc model.Incarnation) bool { return silent[inc.ID] }
		s.run(10 * time.Second)
		assert.Equal(t, s.ordersGiven(), before)
	})
}
