package relay

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/skylarkwood/skylarkwood/internal/coordination/admission"
	"github.com/skylarkwood/skylarkwood/internal/coordination/catalog"
	"github.com/skylarkwood/skylarkwood/internal/coordination/chains"
	"github.com/skylarkwood/skylarkwood/internal/coordination/detector"
	"github.com/skylarkwood/skylarkwood/internal/coordination/quarantine"
	"github.com/skylarkwood/skylarkwood/internal/coordination/routes"
	"github.com/skylarkwood/skylarkwood/internal/fault"
	"github.com/skylarkwood/skylarkwood/internal/model"
)

// half is a stream at a router that knows only engines of the first six layers
// of twelve; holder is the engine of the others.
func half() (s *stream, holder model.BackendServer) {
	c := catalog.New(time.Now)
	engine := func(id string, held model.LayerRange) model.BackendServer {
		return model.BackendServer{ID: id, Service: "s", Address: id + ":1", FailureDomain: "a", Card: "fast", Holds: held, Slots: 9}
	}
	c.Put(engine("first", model.LayerRange{To: 6}))
	health := catalog.NewHealth(time.Now)
	memory := chains.NewUsageTracker(time.Now)
	chooser := &chains.Chooser{Catalog: c, Health: health, Usage: memory, Interconnect: chains.NewInterconnect(time.Now), RouterCount: func() int { return 1 }}
	prober := NewProber()
	prober.Now = time.Now
	prober.Health = health
	prober.Catalog = c
	r := &Relay{Detector: detector.New(time.Now), Catalog: c, Health: health, Chooser: chooser, Memory: memory, WaitQueue: admission.NewWaitQueue(), Suspects: prober, FailureDomain: "a", Now: time.Now,
		Quarantine: quarantine.New(func() time.Duration { return 0 })}
	q := &request{Relay: r, call: &model.Call{Attempt: "1"}, since: time.Now(), avoid: map[model.Incarnation]bool{}}
	q.ticket = routes.Admission{
		Route: &model.Route{TargetLatency: 500 * time.Millisecond, MaxAttempts: 2},
		Service: &model.Service{Name: "s", Engine: &model.EngineSpec{
			Layers: 12, LayerMB: 1000, KVTokenBytes: 1e6, StepTime: time.Millisecond, PrefillRate: 1e5,
			Cards: []model.Card{{Name: "fast", MB: 8000, StepTimeFactor: 2, PrefillFactor: 2}},
		}},
	}
	return &stream{request: q, tokens: 100, ranOn: map[model.Incarnation]bool{}}, engine("second", model.LayerRange{From: 6, To: 12})
}

// Engines are replaced one after the other, and for a moment nobody holds some
// layers. A stream that had its last event 0.3 s ago is not broken off: the
// replacement is loaded in 0.9 s, and its caller waits two seconds for an event.
func TestInterruptedStreamWaitsForLayers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, holder := half()
		s.events = 5
		s.lastEvent = time.Now().Add(-300 * time.Millisecond)
		began := time.Now()
		time.AfterFunc(900*time.Millisecond, func() { s.Catalog.Put(holder) })
		parts, hold, f := s.acquire(t.Context())
		assert.Assert(t, f == nil, "%v", f)
		hold.Release()
		assert.Equal(t, len(parts), 2)
		assert.Assert(t, time.Since(began) <= 900*time.Millisecond+chainPoll)
	})
}

// Nobody comes. The stream is given up when its caller has left, not later; a
// request that has not begun is refused at once.
func TestMissingLayersEndTheWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, _ := half()
		began := time.Now()
		_, _, f := s.acquire(t.Context())
		assert.Equal(t, f.Kind, fault.NoCapacity)
		assert.Equal(t, time.Since(began), time.Duration(0))
		s.events = 5
		s.lastEvent = time.Now()
		_, _, f = s.acquire(t.Context())
		assert.Equal(t, f.Kind, fault.NoCapacity)
		assert.Assert(t, time.Since(began) >= 2*time.Second && time.Since(began) <= callersPatience+chainPoll)
	})
}

// A stream ran at two engines, as often as its route allows; a later part of its chain
// was lost each time. Then the first of them leaves: its entry is removed, and it
// serves on. A third engine would be one too many, so the stream goes on only where
// it ran before; once the process has ended, another may take its place.
func TestLeavingEngineIsStillAnAttempt(t *testing.T) {
	s, _ := half()
	one, two := model.Incarnation{ID: "one"}, model.Incarnation{ID: "two"}
	s.ranOn[one] = true
	assert.Assert(t, s.firstAmong() == nil, "one attempt is left")
	s.ranOn[two] = true
	s.Catalog.Remove("one", 1, 0)
	assert.DeepEqual(t, s.firstAmong(), map[model.Incarnation]bool{one: true, two: true})
	s.Suspects.Exited(one)
	assert.Assert(t, s.firstAmong() == nil)
}

// The caller has left when its stream's turn comes. No chain is chosen for it and no
// memory is reserved: others would wait for room that nobody uses.
func TestNoChainForWhoLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, holder := half()
		s.Catalog.Put(holder)
		ctx, leave := context.WithCancel(t.Context())
		leave()
		for _, events := range []int{0, 5} {
			s.events = events
			s.lastEvent = time.Now()
			_, hold, f := s.acquire(ctx)
			assert.Assert(t, hold == nil)
			assert.Assert(t, f != nil)
			assert.Equal(t, s.Memory.Used(holder.Incarnation()).Streams, 0.0)
			assert.Equal(t, s.Memory.Recent(holder.Incarnation()).Streams, 0.0)
		}
	})
}
