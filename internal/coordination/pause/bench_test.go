package pause

import (
	"testing"
	"time"

	"github.com/skylarkwood/skylarkwood/internal/model"
)

func BenchmarkTakeWithoutPauses(b *testing.B) {
	tr, _ := newTestTracker()
	for b.Loop() {
		tr.Take(server)
	}
}

func BenchmarkWaitBesidePauses(b *testing.B) {
	tr, _ := newTestTracker()
	for i := range 2600 {
		tr.Request(model.Incarnation{ID: server.ID, Born: int64(i + 2)}, time.Second)
	}
	for b.Loop() {
		tr.Wait(server)
	}
}
