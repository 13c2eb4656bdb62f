package chains

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/skylarkwood/skylarkwood/internal/model"
)

// An engine with a fast card has just loaded the first layers, and looks idle to all
// hundred routers of five domains at one moment; each sends it what comes next. They hear
// of each other only after 0.42 s in their own domain and 2.1 s elsewhere, so for half a
// second nearly all streams begin there, and wait for the prompts before them to be read.
// Half of the first event's target, 500 ms, is left for that: the rest of the chain takes
// the other half.
func TestNewEngineIsNotOverrun(t *testing.T) {
	const (
		domains, each = 5, 20
		between       = 210 * time.Millisecond // two streams of one router
		near, far     = 420 * time.Millisecond, 2100 * time.Millisecond
		tick          = 10 * time.Millisecond
		longest       = 250 * time.Millisecond
	)
	now := time.Unix(1000, 0)
	began := now
	var all []*world
	put := func(w *world, id, domain, card string, held model.LayerRange) {
		w.catalog.Put(model.BackendServer{ID: id, Service: "s", Address: id + ":1", FailureDomain: domain, Card: card, Slots: 192, Holds: held, Revision: 1})
	}
	for range domains * each {
		w := newWorld()
		clock := func() time.Time { return now }
		w.chooser.Memory = NewMemory(clock)
		w.chooser.Pipes = NewPipes(clock)
		w.chooser.Routers = func() int { return domains * each }
		for d := range domains {
			domain := fmt.Sprint("d", d)
			for i := range 2 {
				put(w, fmt.Sprintf("%s-%d", domain, i), domain, "l40s", model.LayerRange{To: 28})
			}
			for i, held := range []model.LayerRange{{From: 28, To: 56}, {From: 56, To: 80}} {
				put(w, fmt.Sprintf("%s-rest%d", domain, i), domain, "a100", held)
			}
		}
		all = append(all, w)
	}
	var backlog, most time.Duration
	begin := func(r int) {
		w := all[r]
		parts, v := w.chooser.Choose(w.svc, Demand{Domain: fmt.Sprint("d", r%domains), Tokens: 900})
		if v != Found {
			return
		}
		first := parts[0].Server
		w.chooser.Begin(w.svc.Engine, parts, 774)
		hold := w.chooser.Memory.Reserve(parts, 900)
		w.releases = append(w.releases, release{at: now.Add(2 * time.Second), hold: hold})
		if first.ID == "new" {
			backlog += time.Duration(readTime(w.svc.Engine, first, 774, parts[0].Layers.Len()) * float64(time.Second))
		}
	}
	for ; now.Sub(began) < 6*time.Second; now = now.Add(tick) {
		if now.Sub(began) == 4*time.Second {
			for _, w := range all {
				put(w, "new", "d0", "a100", model.LayerRange{To: 28})
			}
		}
		for r, w := range all {
			w.release(now)
			phase := time.Duration(r*37%21) * tick
			if (now.Sub(began)+phase)%between == 0 {
				begin(r)
			}
			w.tell(all, r, domains, now.Sub(began)+phase, near, far)
		}
		backlog = max(backlog-tick, 0)
		most = max(most, backlog)
	}
	assert.Assert(t, most <= longest, "prompts wait %v at the new engine", most)
}

// release is when a stream ends and gives its memory back.
type release struct {
	at   time.Time
	hold *Hold
}

func (w *world) release(now time.Time) {
	for len(w.releases) > 0 && !now.Before(w.releases[0].at) {
		w.releases[0].hold.Release()
		w.releases = w.releases[1:]
	}
}

// tell tells the routers of the own domain each near, the others each far.
func (w *world) tell(all []*world, self, domains int, at, near, far time.Duration) {
	toNear, toFar := at%near == 0, at%far == 0
	if !toNear && !toFar {
		return
	}
	own := w.chooser.Memory.Own()
	for r, other := range all {
		same := r%domains == self%domains
		if r != self && (same && toNear || !same && toFar) {
			other.chooser.Memory.SeenPeer(fmt.Sprint(self), own, 10*time.Second)
		}
	}
}
