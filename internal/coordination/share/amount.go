package share

import (
	"math"
	"time"
)

// memory is the averaging time of use, and how long unmet demand is remembered.
const memory = time.Second

// rate is an average amount per second that decays exponentially.
type rate struct {
	at    time.Time
	value float64
}

func (r *rate) read(now time.Time) float64 {
	return r.value * math.Exp(-max(now.Sub(r.at), 0).Seconds()/memory.Seconds())
}

func (r *rate) add(now time.Time, amount float64) {
	r.value = r.read(now) + amount/memory.Seconds()
	r.at = now
}

const (
	slots        = 10
	slotDuration = memory / slots
)

// window is a sum of the amounts of the last second.
type window struct {
	// start is the time of slot 0, at a multiple of slotDuration for all windows. Indexes
	// follow from a difference of times, which does not change if the wall clock is set.
	start time.Time
	at    int64 // index of the newest slot
	sum   [slots]float64
}

func (w *window) advance(now time.Time) {
	if w.start.IsZero() {
		w.start = now.Add(-time.Duration(now.UnixNano() % int64(slotDuration)))
	}
	at := int64(now.Sub(w.start) / slotDuration)
	if at-w.at >= slots {
		w.sum = [slots]float64{}
		w.at = at
	}
	for w.at < at {
		w.at++
		w.sum[w.at%slots] = 0
	}
}

func (w *window) add(now time.Time, amount float64) {
	w.advance(now)
	w.sum[w.at%slots] += amount
}

// remove takes away up to amount, the oldest first.
func (w *window) remove(now time.Time, amount float64) {
	w.advance(now)
	for i := w.at + 1; i <= w.at+slots && amount > 0; i++ {
		taken := min(amount, w.sum[i%slots])
		w.sum[i%slots] -= taken
		amount -= taken
	}
}

func (w *window) read(now time.Time) float64 {
	w.advance(now)
	sum := 0.0
	for _, s := range w.sum {
		sum += s
	}
	return sum / memory.Seconds()
}
