// Package forecast estimates when a request that waits for a scarce resource would be served,
// and when a request that is refused should return.
package forecast

import (
	"math"
	"sync"
	"time"
)

const (
	// smoothing is the time constant of the averages. A router grants a few requests a second
	// in a shortage, so a shorter average would follow single grants.
	smoothing = 2 * time.Second
	// validity is the time without grants after which nothing is known about the rate.
	validity = 2 * time.Second
	// minObserved bounds the observed time from below, so that the first grants of a burst do
	// not count as a high rate.
	minObserved = 250 * time.Millisecond
	// maxUrgentShare bounds the share of the rate that more urgent requests are assumed to
	// take, because no kind of request is served less than a quarter as often as all.
	maxUrgentShare = 0.75
	// maxExactGrants is the number of expected grants above which their spread is neglected.
	maxExactGrants = 100
)

// Forecast estimates the rate at which a resource is granted. It is safe for concurrent use.
type Forecast struct {
	now func() time.Time

	mu      sync.Mutex
	updated time.Time
	// lastGrant is when the resource was last granted.
	lastGrant time.Time
	// granted are the decayed grants by priority, and observed the decayed time in seconds in
	// which they happened.
	granted  []priorityGrants
	observed float64
	// busy is set while requests wait. busyGranted and busyTime are the decayed grants and
	// the decayed time while requests waited. Without waiting requests the grants are bounded
	// by the demand, not by the resource.
	busy                  bool
	busyGranted, busyTime float64
}

// priorityGrants is the decayed number of grants to a priority.
type priorityGrants struct {
	priority int
	n        float64
}

// New returns a Forecast without grants.
func New(now func() time.Time) *Forecast { return &Forecast{now: now} }

// Granted records that the resource was granted to n requests of a priority (0 is the most
// urgent).
func (f *Forecast) Granted(priority int, n float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.decay()
	f.lastGrant = f.updated
	if f.busy {
		f.busyGranted += n
	}
	for i := range f.granted {
		if f.granted[i].priority == priority {
			f.granted[i].n += n
			return
		}
	}
	f.granted = append(f.granted, priorityGrants{priority, n})
}

// SetBusy records whether requests wait for the resource.
func (f *Forecast) SetBusy(busy bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.decay()
	f.busy = busy
}

// Wait returns the expected wait of a request of a priority that has a number of requests
// ahead of it. known is false if the resource was not granted recently.
func (f *Forecast) Wait(ahead int, priority int) (wait time.Duration, known bool) {
	interval, known := f.Interval(priority)
	return scale(interval, float64(max(ahead, 0)+1)), known
}

// Chance returns the probability that a request with a number of requests ahead of it is served
// within a time, if grants are independent of each other. Where few grants fit in that time, the
// expected wait alone says little. known is false if the resource was not granted recently.
func (f *Forecast) Chance(ahead, priority int, within time.Duration) (chance float64, known bool) {
	interval, known := f.Interval(priority)
	if !known || within <= 0 {
		return 0, known
	}
	expected := float64(within) / float64(max(interval, 1))
	if expected > maxExactGrants {
		if float64(ahead) < expected {
			return 1, true
		}
		return 0, true
	}
	// One minus the Poisson probability of at most as many grants as requests are ahead.
	term := math.Exp(-expected)
	chance = 1
	for grants := 0; grants <= ahead && chance > 0; grants++ {
		chance -= term
		term *= expected / float64(grants+1)
	}
	return max(chance, 0), true
}

// Interval returns the expected time between two grants that reach a priority: those that more
// urgent requests do not take. known is false if the resource was not granted recently.
func (f *Forecast) Interval(priority int) (interval time.Duration, known bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.decay()
	total, urgent := 0.0, 0.0
	for _, g := range f.granted {
		total += g.n
		if g.priority < priority {
			urgent += g.n
		}
	}
	if f.lastGrant.IsZero() || f.updated.Sub(f.lastGrant) >= validity || total <= 0 {
		return 0, false
	}
	observed := max(f.observed, minObserved.Seconds())
	// The rate of all grants counts as one grant of evidence, next to the grants in the time
	// in which requests waited.
	rate := (f.busyGranted + 1) / (f.busyTime + observed/total)
	rate *= 1 - min(urgent/observed/rate, maxUrgentShare)
	return scale(time.Second, 1/rate), true
}

// Age returns the time since the last grant.
func (f *Forecast) Age() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lastGrant.IsZero() {
		return math.MaxInt64
	}
	return f.now().Sub(f.lastGrant)
}

// decay brings the averages to the present time. The caller holds f.mu.
func (f *Forecast) decay() {
	now := f.now()
	elapsed := now.Sub(f.updated)
	if elapsed <= 0 {
		return
	}
	if f.updated.IsZero() {
		elapsed = 0
	}
	f.updated = now
	kept := math.Exp(-elapsed.Seconds() / smoothing.Seconds())
	added := smoothing.Seconds() * (1 - kept)
	for i := range f.granted {
		f.granted[i].n *= kept
	}
	f.observed = f.observed*kept + added
	f.busyGranted *= kept
	f.busyTime *= kept
	if f.busy {
		f.busyTime += added
	}
}

// scale multiplies a duration and limits the product to the longest duration.
func scale(d time.Duration, by float64) time.Duration {
	product := float64(d) * by
	if product >= math.MaxInt64 {
		return math.MaxInt64
	}
	return time.Duration(product)
}
