package forecast

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// clock is a clock that the test advances.
type clock struct{ at time.Time }

func (c *clock) now() time.Time { return c.at }

func newForecast() (*Forecast, *clock) {
	c := &clock{at: time.Unix(1000, 0)}
	return New(c.now), c
}

// grant grants one request each interval, while the clock advances by span.
func (c *clock) grant(f *Forecast, priority int, interval, span time.Duration) {
	for end := c.at.Add(span); c.at.Before(end); {
		c.at = c.at.Add(interval)
		f.Granted(priority, 1)
	}
}

// assertNear asserts that got is within the given factor of want.
func assertNear(t *testing.T, got, want time.Duration, factor float64) {
	t.Helper()
	assert.Assert(t, float64(got) >= float64(want)/factor && float64(got) <= float64(want)*factor, "%v, want %v", got, want)
}

// Load: ten grants a second while requests wait. Guards against a forecast that is off by more
// than the length of the average explains.
func TestWaitFollowsTheRate(t *testing.T) {
	f, c := newForecast()
	f.SetBusy(true)
	c.grant(f, 0, 100*time.Millisecond, 10*time.Second)
	wait, known := f.Wait(4, 0)
	assert.Assert(t, known)
	assertNear(t, wait, 500*time.Millisecond, 1.15)
	c.grant(f, 0, 300*time.Millisecond, 3*smoothing)
	wait, _ = f.Wait(0, 0)
	assertNear(t, wait, 300*time.Millisecond, 1.25)
}

// Load: a steady demand below the capacity, whose few requests wait 20 ms each. Guards against
// taking the rate of the demand for that of the resource.
func TestRateWithoutShortageIsNotTheLimit(t *testing.T) {
	f, c := newForecast()
	for range 20 {
		c.at = c.at.Add(180 * time.Millisecond)
		f.SetBusy(true)
		c.at = c.at.Add(20 * time.Millisecond)
		f.Granted(0, 1)
		f.SetBusy(false)
	}
	wait, known := f.Wait(0, 0)
	assert.Assert(t, known)
	assert.Assert(t, wait < 60*time.Millisecond, "%v", wait)
}

// Failure: the resource is no longer granted, because reports stop or engines are lost. Guards
// against a forecast from old grants, and against a short one meanwhile.
func TestForecastEndsWithoutGrants(t *testing.T) {
	f, c := newForecast()
	_, known := f.Wait(0, 0)
	assert.Assert(t, !known)
	c.grant(f, 0, 100*time.Millisecond, 5*time.Second)
	f.SetBusy(true)
	c.at = c.at.Add(time.Second)
	wait, known := f.Wait(0, 0)
	assert.Assert(t, known && wait > 500*time.Millisecond, "%v, %t", wait, known)
	c.at = c.at.Add(time.Second)
	_, known = f.Wait(0, 0)
	assert.Assert(t, !known)
	f.Granted(0, 1)
	_, known = f.Wait(0, 0)
	assert.Assert(t, known)
}

// Load: the most urgent requests take nearly all grants. Guards against a less urgent forecast
// that ignores them, and against one so long that its kind is never served.
func TestMoreUrgentRequestsAreServedFirst(t *testing.T) {
	f, c := newForecast()
	f.SetBusy(true)
	for range 100 {
		c.grant(f, 0, 100*time.Millisecond, 900*time.Millisecond)
		c.grant(f, 2, 100*time.Millisecond, 100*time.Millisecond)
	}
	first, _ := f.Wait(0, 0)
	last, _ := f.Wait(0, 2)
	assertNear(t, last, time.Duration(float64(first)/(1-maxUrgentShare)), 1.01)
}

// A less urgent request must not be forecast before a more urgent one, whatever was granted.
func TestForecastIsOrderedByPriority(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f, c := newForecast()
		for range rapid.IntRange(1, 30).Draw(rt, "steps") {
			c.at = c.at.Add(time.Duration(rapid.IntRange(0, 500).Draw(rt, "ms")) * time.Millisecond)
			f.SetBusy(rapid.Bool().Draw(rt, "busy"))
			f.Granted(rapid.IntRange(0, 4).Draw(rt, "priority"), 1)
		}
		before := time.Duration(0)
		for p := range 5 {
			wait, known := f.Wait(p, p)
			assert.Assert(rt, known)
			assert.Assert(rt, wait > before, "priority %d: %v after %v", p, wait, before)
			before = wait
		}
	})
}

// Load: more callers are refused than fit. Guards against returns that come at once, too early,
// or after a third of the callers' time.
func TestReturnsFitTheForecast(t *testing.T) {
	c := &clock{at: time.Unix(1000, 0)}
	r := NewReturns(c.now)
	const interval, remaining = 100 * time.Millisecond, 12 * time.Second
	perSecond := map[int]int{}
	for range 38 {
		d := r.Delay(1, 300*time.Millisecond, interval, remaining)
		assert.Assert(t, d >= MinReturn && d <= remaining/3, "%v", d)
		perSecond[int(d/time.Second)]++
	}
	for second, n := range perSecond {
		assert.Assert(t, n <= 10, "%d in second %d", n, second)
	}
	for range 100 { // no grant is left
		d := r.Delay(1, 300*time.Millisecond, interval, remaining)
		assert.Assert(t, d >= MinReturn && d <= remaining/3, "%v", d)
	}
}

// The caller's time precedes the other bounds, also with extreme forecasts.
func TestReturnDelayIsBounded(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		c := &clock{at: time.Unix(1000, 0)}
		r := NewReturns(c.now)
		span := rapid.SampledFrom([]time.Duration{0, 1, time.Millisecond, time.Second, time.Hour, 1 << 62})
		for range 5 {
			remaining := rapid.SampledFrom([]time.Duration{0, 1, 150 * time.Millisecond, time.Second, 20 * time.Second}).Draw(rt, "remaining")
			d := r.Delay(0, span.Draw(rt, "wait"), span.Draw(rt, "interval"), remaining)
			if rapid.Bool().Draw(rt, "unknown") {
				d = r.DelayUnknown(span.Draw(rt, "age"), remaining)
			}
			assert.Assert(rt, d >= 0 && d <= maxReturn, "%v", d)
			if remaining > 0 {
				assert.Assert(rt, d <= remaining/3+1, "%v of %v", d, remaining)
			} else {
				assert.Assert(rt, d >= MinReturn, "%v", d)
			}
		}
	})
}

// Load: one or many grants in the time that a request may wait. Guards against a chance that
// ignores how much so few grants vary.
func TestChanceCountsTheSpreadOfGrants(t *testing.T) {
	f, c := newForecast()
	_, known := f.Chance(0, 0, time.Second)
	assert.Assert(t, !known)
	f.SetBusy(true)
	c.grant(f, 0, 100*time.Millisecond, 10*time.Second)
	chance := func(ahead int, within time.Duration) float64 {
		got, known := f.Chance(ahead, 0, within)
		assert.Assert(t, known)
		return got
	}
	first := chance(0, 100*time.Millisecond)
	assert.Assert(t, first > 0.55 && first < 0.7, "%v", first) // 1 - 1/e
	assert.Assert(t, chance(9, time.Second) > 0.4 && chance(9, time.Second) < 0.65)
	assert.Assert(t, chance(1000, time.Second) < 1e-9)
	assert.Equal(t, chance(50, time.Hour), 1.0)
	assert.Equal(t, chance(0, 0), 0.0)
	before := 1.0
	for ahead := range 40 {
		got := chance(ahead, time.Second)
		assert.Assert(t, got <= before)
		before = got
	}
}
