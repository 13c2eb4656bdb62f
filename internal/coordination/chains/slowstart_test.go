package chains

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/skylarkwood/skylarkwood/internal/model"
)

// An engine with a fast card has just loaded the first layers, while twice the usual
// streams come, as after a loss: 900 a second at a hundred routers of five domains. It
// looks idle to all of them at one moment; each sends it what comes next. They hear of
// each other only after 0.42 s in their own domain and 2.1 s elsewhere, and meanwhile the
// prompts queue there. Half of the first event's target, 500 ms, is left for that: the
// rest of the chain takes the other half.
func TestNewEngineIsNotOverrun(t *testing.T) {
	const (
		domains, each = 5, 20
		between       = 110 * time.Millisecond // two streams of one router
		lasts         = 700 * time.Millisecond
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
	for r := range domains * each {
		w := newWorld()
		w.chooser.Self = fmt.Sprint(r)
		w.svc.Engine.KVTokenBytes, w.svc.Engine.ReadRate = 459000, 210000
		clock := func() time.Time { return now }
		w.chooser.Usage = NewUsageTracker(clock)
		w.chooser.Interconnect = NewInterconnect(clock)
		w.chooser.RouterCount = func() int { return domains * each }
		for d := range domains {
			domain := fmt.Sprint("d", d)
			for i := range 8 {
				from := i / 2 * 20
				put(w, fmt.Sprintf("%s-%d", domain, i), domain, "l40s", model.LayerRange{From: from, To: from + 20})
			}
		}
		all = append(all, w)
	}
	var backlog, most time.Duration
	begin := func(r int) {
		w := all[r]
		parts, v := w.chooser.Choose(w.svc, Requirements{Domain: fmt.Sprint("d", r%domains), Tokens: 900})
		assert.Equal(t, v, Found)
		first := parts[0].Server
		w.chooser.RecordStart(w.svc.Engine, parts, 774)
		hold := w.chooser.Usage.Reserve(parts, 900)
		w.releases = append(w.releases, release{at: now.Add(lasts), hold: hold})
		if first.ID == "new" {
			backlog += time.Duration(prefillSeconds(w.svc.Engine, first, 774, parts[0].Layers.Len()) * float64(time.Second))
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

// An engine in slow start is the only one that holds some layers. It is left out only as long as
// others serve: nobody is refused for it.
func TestYoungEngineServesWhereNobodyElseDoes(t *testing.T) {
	w := twoDomains()
	w.chooser.RouterCount = func() int { return 100 }
	w.now = w.now.Add(time.Minute)
	w.catalog.Remove("b2", 1, 0)
	w.catalog.Remove("a2", 1, 0)
	w.add("loaded", "a", "a100", 40, 60)
	for range 20 {
		parts, v := w.chooser.Choose(w.svc, Requirements{Domain: "a", Tokens: 10})
		assert.Equal(t, v, Found)
		w.chooser.RecordStart(w.svc.Engine, parts, 10)
		assert.Equal(t, parts[1].Server.ID, "loaded")
	}
}

// What an engine in slow start reads for all routers together grows with its age, from nothing:
// however many there are, they do not begin at one moment, and each takes its share.
func TestYoungEngineIsShared(t *testing.T) {
	const routers, prompt = 100, 0.005 // seconds
	now := time.Unix(1000, 0)
	var all []*UsageTracker
	for range routers {
		all = append(all, NewUsageTracker(func() time.Time { return now }))
	}
	now = now.Add(time.Minute)
	began, read := now, 0.0
	for ; now.Sub(began) < slowStartPeriod; now = now.Add(10 * time.Millisecond) {
		for r, m := range all {
			if !m.defers(fmt.Sprint(r), inc("loaded"), model.LayerRange{To: 28}, prompt, routers) {
				m.AddPrefill(inc("loaded"), prompt)
				read += prompt
			}
		}
		age := now.Sub(began).Seconds()
		assert.Assert(t, read <= maxSlowStartLoad*age+routers*prompt/2+0.01, "%.3f s read at the age of %.2f s", read, age)
	}
	assert.Assert(t, read >= maxSlowStartLoad*slowStartPeriod.Seconds()/2, "%.3f s read", read)
	assert.Assert(t, !all[0].defers("0", inc("loaded"), model.LayerRange{To: 28}, prompt, routers), "it is young no longer")
	assert.Assert(t, all[0].defers("0", inc("loaded"), model.LayerRange{From: 28, To: 56}, prompt, routers), "with other layers it is")
}

// A process that has just started sees all engines at once; none is in slow start.
func TestEnginesOfAStartAreNotYoung(t *testing.T) {
	now := time.Unix(1000, 0)
	m := NewUsageTracker(func() time.Time { return now })
	now = now.Add(startupPeriod / 2)
	assert.Assert(t, !m.defers("0", inc("old"), model.LayerRange{To: 28}, 1, 100))
	now = now.Add(startupPeriod)
	assert.Assert(t, m.defers("0", inc("loaded"), model.LayerRange{To: 28}, 1, 100))
	m.Retain(func(i model.Incarnation) bool { return i == inc("old") })
	assert.Equal(t, len(m.records), 1)
}

// release is when a stream ends and gives its memory back.
type release struct {
	at   time.Time
	hold *Reservation
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
	own := w.chooser.Usage.OwnUsage()
	for r, other := range all {
		same := r%domains == self%domains
		if r != self && (same && toNear || !same && toFar) {
			other.chooser.Usage.SetPeerUsage(fmt.Sprint(self), own, 10*time.Second)
		}
	}
}
