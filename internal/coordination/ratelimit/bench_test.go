package ratelimit

import (
	"fmt"
	"testing"
	"time"

	"github.com/skylarkwood/skylarkwood/internal/model"
)

func benchmarkTracker() (*Tracker, *testClock) {
	var names []string
	for i := range 380 {
		names = append(names, fmt.Sprint("10.1.", i/250, ".", i%250, ":8648"))
	}
	routers := named(names)
	c := &testClock{now: time.Hour}
	return New(names[0], func(model.Incarnation) []Router { return routers }, c.read), c
}

func BenchmarkTakeWithoutLimit(b *testing.B) {
	t, c := benchmarkTracker()
	for b.Loop() {
		c.now += time.Microsecond
		t.Take(engine)
	}
}

func BenchmarkWaitWithLimit(b *testing.B) {
	t, c := benchmarkTracker()
	t.Observe(engine, 5, c.now)
	for b.Loop() {
		c.now += time.Microsecond
		t.Wait(engine)
	}
}

func BenchmarkRanking(b *testing.B) {
	t, _ := benchmarkTracker()
	for b.Loop() {
		t.ranked(engine, 0)
	}
}
