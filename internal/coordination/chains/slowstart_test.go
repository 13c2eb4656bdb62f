package chains

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/skylarkwood/skylarkwood/internal/model"
)

// An engine that has just loaded looks idle to all routers. Its prefill backlog must not delay
// first events beyond half of their target.
func TestNewEngineBacklogIsBounded(t *testing.T) {
	const (
		domains, each             = 5, 20
		startInterval             = 110 * time.Millisecond // interval between streams of one router
		streamDuration            = 700 * time.Millisecond
		nearInterval, farInterval = 420 * time.Millisecond, 2100 * time.Millisecond
		tick                      = 10 * time.Millisecond
		maxBacklog                = 250 * time.Millisecond
	)
	now := time.Unix(1000, 0)
	startedAt := now
	var all []*fixture
	put := func(f *fixture, id, domain, card string, held model.LayerRange) {
		f.catalog.Put(model.BackendServer{ID: id, Service: "s", Address: id + ":1", FailureDomain: domain, Card: card, Slots: 192, Holds: held, Revision: 1})
	}
	for r := range domains * each {
		f := newFixture()
		f.chooser.Self = fmt.Sprint(r)
		f.svc.Engine.KVTokenBytes, f.svc.Engine.PrefillRate = 459000, 210000
		clock := func() time.Time { return now }
		f.chooser.Usage = NewUsageTracker(clock)
		f.chooser.Interconnect = NewInterconnect(clock)
		f.chooser.RouterCount = func() int { return domains * each }
		for d := range domains {
			domain := fmt.Sprint("d", d)
			for i := range 8 {
				from := i / 2 * 20
				put(f, fmt.Sprintf("%s-%d", domain, i), domain, "l40s", model.LayerRange{From: from, To: from + 20})
			}
		}
		all = append(all, f)
	}
	var backlog, highest time.Duration
	startStream := func(r int) {
		f := all[r]
		stages, v := f.chooser.Choose(f.svc, Requirements{Domain: fmt.Sprint("d", r%domains), Tokens: 900})
		assert.Equal(t, v, Found)
		first := stages[0].Server
		f.chooser.RecordStart(f.svc.Engine, stages, 774, Requirements{})
		reservation := f.chooser.Usage.Reserve(stages, 900)
		f.releases = append(f.releases, release{at: now.Add(streamDuration), reservation: reservation})
		if first.ID == "new" {
			backlog += time.Duration(prefillSeconds(f.svc.Engine, first, 774, stages[0].Layers.Len()) * float64(time.Second))
		}
	}
	for ; now.Sub(startedAt) < 6*time.Second; now = now.Add(tick) {
		if now.Sub(startedAt) == 4*time.Second {
			for _, f := range all {
				put(f, "new", "d0", "a100", model.LayerRange{To: 28})
			}
		}
		for r, f := range all {
			f.release(now)
			phase := time.Duration(r*37%21) * tick
			if (now.Sub(startedAt)+phase)%startInterval == 0 {
				startStream(r)
			}
			f.reportUsage(all, r, domains, now.Sub(startedAt)+phase, nearInterval, farInterval)
		}
		backlog = max(backlog-tick, 0)
		highest = max(highest, backlog)
	}
	assert.Assert(t, highest <= maxBacklog, "prompts wait %v at the new engine", highest)
}

// An engine in slow start must be used if no other engine holds its layers.
func TestEngineInSlowStartServesWithoutAlternative(t *testing.T) {
	f := twoDomains()
	f.chooser.RouterCount = func() int { return 100 }
	f.now = f.now.Add(time.Minute)
	f.catalog.Remove("b2", 1, 0)
	f.catalog.Remove("a2", 1, 0)
	f.add("loaded", "a", "a100", 40, 60)
	for range 20 {
		stages, v := f.chooser.Choose(f.svc, Requirements{Domain: "a", Tokens: 10})
		assert.Equal(t, v, Found)
		f.chooser.RecordStart(f.svc.Engine, stages, 10, Requirements{})
		assert.Equal(t, stages[1].Server.ID, "loaded")
	}
}

// The prefill of all routers at an engine in slow start must grow from zero with its age.
func TestSlowStartIsSharedByRouters(t *testing.T) {
	const routers, prompt = 100, 0.005 // seconds of prefill
	now := time.Unix(1000, 0)
	var all []*UsageTracker
	for range routers {
		all = append(all, NewUsageTracker(func() time.Time { return now }))
	}
	now = now.Add(time.Minute)
	startedAt, prefill := now, 0.0
	for ; now.Sub(startedAt) < slowStartPeriod; now = now.Add(10 * time.Millisecond) {
		for r, m := range all {
			if !m.defers(fmt.Sprint(r), inc("loaded"), model.LayerRange{To: 28}, prompt, routers) {
				m.AddPrefill(inc("loaded"), prompt)
				prefill += prompt
			}
		}
		age := now.Sub(startedAt).Seconds()
		assert.Assert(t, prefill <= maxSlowStartLoad*age+routers*prompt/2+0.01, "%.3f s of prefill at the age of %.2f s", prefill, age)
	}
	assert.Assert(t, prefill >= maxSlowStartLoad*slowStartPeriod.Seconds()/2, "%.3f s of prefill", prefill)
	assert.Assert(t, !all[0].defers("0", inc("loaded"), model.LayerRange{To: 28}, prompt, routers), "slow start is over")
	assert.Assert(t, all[0].defers("0", inc("loaded"), model.LayerRange{From: 28, To: 56}, prompt, routers), "a change of layers starts slow start again")
}

// Engines that are first observed during startup of this process must skip slow start.
func TestEnginesSeenAtStartupSkipSlowStart(t *testing.T) {
	now := time.Unix(1000, 0)
	m := NewUsageTracker(func() time.Time { return now })
	now = now.Add(startupPeriod / 2)
	assert.Assert(t, !m.defers("0", inc("old"), model.LayerRange{To: 28}, 1, 100))
	now = now.Add(startupPeriod)
	assert.Assert(t, m.defers("0", inc("loaded"), model.LayerRange{To: 28}, 1, 100))
	m.Retain(func(i model.Incarnation) bool { return i == inc("old") })
	assert.Equal(t, len(m.records), 1)
}

// release is the time at which a stream's reservation is released.
type release struct {
	at          time.Time
	reservation *Reservation
}

func (f *fixture) release(now time.Time) {
	for len(f.releases) > 0 && !now.Before(f.releases[0].at) {
		f.releases[0].reservation.Release()
		f.releases = f.releases[1:]
	}
}

// reportUsage sends the usage of one router to peers in its domain at the near interval and
// to all others at the far interval.
func (f *fixture) reportUsage(all []*fixture, self, domains int, elapsed, nearInterval, farInterval time.Duration) {
	nearDue, farDue := elapsed%nearInterval == 0, elapsed%farInterval == 0
	if !nearDue && !farDue {
		return
	}
	own := f.chooser.Usage.OwnUsage()
	for r, other := range all {
		sameDomain := r%domains == self%domains
		if r != self && (sameDomain && nearDue || !sameDomain && farDue) {
			other.chooser.Usage.SetPeerUsage(fmt.Sprint(self), own, 10*time.Second)
		}
	}
}
