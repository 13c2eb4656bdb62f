package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/skylarkwood/skylarkwood/internal/model"
)

// What a request costs while nothing is suspected, which is nearly always.
func BenchmarkRequestOnACalmDay(b *testing.B) {
	t := New(func() time.Duration { return 0 })
	of := func() model.Fingerprint { return crashing }
	places := []Location{{server(1), "a"}, {server(2), "a"}, {server(3), "a"}, {server(4), "a"}}
	for b.Loop() {
		if t.HasSuspects() {
			b.Fatal("suspects")
		}
		run := t.Begin(of, false, places...)
		run.AnswerStarted()
		run.End(Completed)
	}
}

// What looking a suspect up costs after a bad ten minutes: as many ends and requests at
// them as are remembered.
func BenchmarkSuspectAfterManyEnds(b *testing.B) {
	now := time.Duration(0)
	t := New(func() time.Duration { return now })
	for n := range maxExits {
		for w := range maxParticipations / maxExits {
			t.Begin(func() model.Fingerprint { return testFingerprint(w) }, false, Location{server(n), fmt.Sprint("d", n%18)})
		}
		now += 500 * time.Millisecond
		t.ServerExited(server(n), fmt.Sprint("d", n%18))
	}
	b.ResetTimer()
	for b.Loop() {
		t.Assess(testFingerprint(1))
	}
}
