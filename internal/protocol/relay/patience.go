package relay

import (
	"context"
	"fmt"
	"time"

	"github.com/skylarkwood/skylarkwood/internal/coordination/chains"
)

const (
	// unknownWaitShare is the share of the target latency that a new request may wait for
	// capacity if it is not expected to get it in time.
	unknownWaitShare = 1.0 / 8
	// minServedChance is the forecast chance to be served in time below which a new request is
	// refused at once. Few grants fit in the patience at one router, so a higher bound leaves
	// capacity unused between two arrivals, most of all if the forecast is too long.
	minServedChance = 0.25
)

// waitForecast is what was forecast for a request when it met a shortage.
type waitForecast struct {
	wait  time.Duration
	known bool
	ahead int           // requests that went first
	age   time.Duration // time since the last grant
}

func (f waitForecast) String() string {
	if !f.known {
		return fmt.Sprintf("unknown, %d ahead", f.ahead)
	}
	return fmt.Sprintf("%v, %d ahead, last grant %v ago", f.wait.Round(time.Millisecond), f.ahead, f.age.Round(time.Millisecond))
}

// waitInLine waits in the line of a prioritized service. A new request that is not expected to
// be served in time does not wait.
func (c *chainSearch) waitInLine(ctx context.Context) {
	reserve := func() bool { return c.reserve(ctx) }
	if c.line.TryNow(ctx, c.waiter, reserve) {
		c.admittedOnce = true
		return
	}
	if ctx.Err() != nil {
		return
	}
	if c.result == chains.Found { // nothing was tried, because others go first
		c.choose()
		if c.result == chains.NoChain || c.result == chains.Withheld && c.withheldTooLong(c.requirements, c.maxWait) {
			return
		}
	}
	c.makeForecast()
	if c.waitLimit = c.maxWait; c.isNew() {
		var wait bool
		if c.waitLimit, wait = c.newRequestLimit(); !wait {
			return
		}
	}
	began := c.Now()
	c.admittedOnce = c.line.Wait(ctx, c.waiter, c.waitLimit, reserve)
	c.waitTime = c.Now().Sub(began)
	c.waited += c.waitTime
	if c.reservation != nil && c.forecast.known {
		c.Observer.ForecastError(c.admitted.Service.Name, c.waitTime-c.forecast.wait)
	}
}

// makeForecast forecasts the request's wait, once for each search: before it waits in a line or
// is refused.
func (c *chainSearch) makeForecast() {
	if c.forecastMade || c.line == nil {
		return
	}
	c.forecastMade = true
	ahead := c.line.Ahead(c.waiter)
	expected, known := c.line.Forecast.Wait(ahead, c.admitted.Urgency)
	c.forecast = waitForecast{wait: expected, known: known, ahead: ahead, age: c.line.Forecast.Age()}
}

// newRequestLimit returns how long a new request may wait, or false if it is refused at once
// because it would not be served within its patience and its deadline.
//
// The first request in the line waits for a short time in any case. Otherwise a forecast that
// is too long would not be corrected, as no request would wait for a grant.
func (c *chainSearch) newRequestLimit() (limit time.Duration, wait bool) {
	limit = c.maxWait
	if left := c.remaining(); left > 0 {
		limit = min(limit, left)
	}
	if c.result == chains.Withheld { // a rate limit or pause that ends within maxWait
		return limit, limit > 0
	}
	chance, known := c.line.Forecast.Chance(c.forecast.ahead, c.admitted.Urgency, limit)
	late := known && chance < minServedChance
	if late && c.forecast.ahead > 0 {
		return limit, false
	}
	if late || !known {
		limit = min(limit, time.Duration(unknownWaitShare*float64(c.admitted.WaitTarget))-c.waited)
	}
	return limit, limit > 0
}

// returnDelay returns when the caller of a refused request should return: when capacity for its
// urgency is forecast that no other caller was told to return for. since is when the shortage
// began.
func (c *chainSearch) returnDelay(since time.Time) time.Duration {
	urgency := c.admitted.Urgency
	interval, known := c.line.Forecast.Interval(urgency)
	if !known {
		// Without requests nothing is granted either, so the last grant may be older than
		// the shortage.
		age := min(c.line.Forecast.Age(), c.Now().Sub(since))
		return c.line.Returns.DelayUnknown(age, c.remaining())
	}
	expected, _ := c.line.Forecast.Wait(c.line.Ahead(c.waiter), urgency)
	// If nothing is granted any more, the shortage may last as long again as it has so far.
	expected = max(expected, c.line.Forecast.Age())
	return c.line.Returns.Delay(urgency, expected, interval, c.remaining())
}
