package relay

import (
	"fmt"
	"math/rand"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/skylarkwood/skylarkwood/internal/coordination/chains"
	"github.com/skylarkwood/skylarkwood/internal/coordination/forecast"
	"github.com/skylarkwood/skylarkwood/internal/model"
)

// skewForecast makes the forecast too long by a factor (too short if it is below 1): the clock of
// the forecast runs faster by it.
func (l *loadTest) skewForecast(factor float64) {
	began := time.Now()
	l.WaitQueue.Line("s").Forecast = forecast.New(func() time.Time {
		return began.Add(time.Duration(factor * float64(time.Since(began))))
	})
}

// Load: 150 requests a second where 100 fit. Failure: the forecast is wrong by a factor of three
// in either direction. Guards against refusing over a third more than capacity requires, and
// against waits past the patience.
func TestForecastThatIsWrongByAFactorOfThree(t *testing.T) {
	for _, factor := range []float64{1, 3, 1.0 / 3} {
		synctest.Test(t, func(t *testing.T) {
			l := newLoadTest(t, 160*time.Millisecond)
			l.skewForecast(factor)
			const requests = 1500
			began := time.Now()
			for i := range requests {
				l.all.Go(func() {
					l.attempt(t.Context(), i%3, fmt.Sprint("key", i%4), time.Now().Add(callerDeadline))
				})
				time.Sleep(time.Second / 150)
			}
			l.assertOrdered()
			capacity := time.Since(began).Seconds() * usableSlots / l.hold.Seconds()
			refused := requests - len(l.inOrder)
			t.Logf("factor %v: %d refused, %v required", factor, refused, requests-capacity)
			assert.Check(t, float64(refused) <= 4.0/3*(requests-capacity), "%d refused, %v required", refused, requests-capacity)
		})
	}
}

// Load: 6 requests a second at random times where 4 fit, so that one or two fit in the patience.
// Failure: the forecast is wrong by a factor of three in either direction. Guards against refusing
// over a third more than capacity requires, which is what is refused if all requests wait.
func TestWrongForecastOfFewGrants(t *testing.T) {
	const allWait = 0.001 // the forecast is so short that no request is refused for it
	refused := map[float64]int{}
	for _, factor := range []float64{allWait, 1, 3, 1.0 / 3} {
		synctest.Test(t, func(t *testing.T) {
			l := newLoadTest(t, 250*time.Millisecond)
			used := map[model.Incarnation]chains.Usage{inc("one"): {FirstStageStreams: 7}, inc("two"): {FirstStageStreams: 9}}
			l.Usage.SetPeerUsage("peer", used, time.Hour) // one slot is left
			l.skewForecast(factor)
			r := rand.New(rand.NewSource(1))
			const requests = 1200
			for i := range requests {
				kind := r.Intn(len(kinds))
				l.all.Go(func() {
					l.attempt(t.Context(), kind, fmt.Sprint("key", i%4), time.Now().Add(callerDeadline))
				})
				time.Sleep(time.Duration(r.ExpFloat64() * float64(time.Second) / 6))
			}
			l.assertOrdered()
			refused[factor] = requests - len(l.inOrder)
		})
	}
	t.Logf("refused by factor: %v", refused)
	for factor, n := range refused {
		assert.Check(t, float64(n) <= 4.0/3*float64(refused[allWait]), "factor %v: %v", factor, refused)
	}
}
