package share

import (
	"strconv"
	"testing"
	"time"
	"unsafe"

	"gotest.tools/v3/assert"
)

// A large fleet shares a slow resource, so the share of a router is below the amount that is
// worth a report. Its small requests must still be served at that rate, at every priority. A
// failure starves services with small requests.
func TestSmallRequestsOfLargeFleetsAreServed(t *testing.T) {
	for p := range demandParts {
		now := time.Unix(1000, 0)
		s := New(func() time.Time { return now }, func() float64 { return 1 })
		others := []Demand{{0, 0.1, 0.4}, {1, 0.1, 0.4}, {2, 0.1, 0.4}}
		r := Request{Priority: p, Amount: 0.5, Limit: 100, Routers: 400}
		served := 0
		for i := range 1200 {
			if i%10 == 0 {
				for peer := range r.Routers - 1 {
					s.Report(strconv.Itoa(peer), int64(i), others, time.Second, 5*time.Second)
				}
				s.RecordUnmet(p, r.Amount)
			}
			if s.Allows(r) {
				s.Use(p, r.Amount)
				served++
			}
			now = now.Add(100 * time.Millisecond)
		}
		assert.Check(t, served >= 3, "priority %d: %d served in two minutes", p, served)
	}
}

// The wall clock is set back while the process is frozen. Unmet demand must still end after a
// second; otherwise it holds back the less urgent requests of all routers until the clock
// has caught up.
func TestUnmetDemandEndsAlthoughTheClockIsSetBack(t *testing.T) {
	now := time.Now()
	s := New(func() time.Time { return now }, nil)
	s.RecordUnmet(0, 100)
	now = setBack(now.Add(2*maxSteps*maxStep), time.Hour)
	assert.Equal(t, len(s.Demands()), 0)
}

// setBack returns t with its wall clock set back by whole seconds and its monotonic clock
// unchanged. No other way exists to make such a time.
func setBack(t time.Time, by time.Duration) time.Time {
	const secondsShift = 30 // the wall seconds follow the nanoseconds
	back := t
	*(*uint64)(unsafe.Pointer(&back)) -= uint64(by/time.Second) << secondsShift
	return back
}

// A peer reports with an impossible validity and stops. Its demand must not count for hours.
func TestValidityOfAReportIsBounded(t *testing.T) {
	now := time.Unix(1000, 0)
	s := New(func() time.Time { return now }, nil)
	s.Report("peer", 1, []Demand{{Used: 1000}}, time.Hour, 4*time.Hour)
	now = now.Add(2 * time.Minute)
	s.Demands()
	assert.Equal(t, s.known, 1)
}
