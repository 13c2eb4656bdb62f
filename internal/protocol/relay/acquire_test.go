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

// newIncompleteStream returns a stream at a router that knows only engines of the first
// half of the layers, and an engine that holds the others.
func newIncompleteStream() (s *stream, holder model.BackendServer) {
	c := catalog.New(time.Now)
	engine := func(id string, held model.LayerRange) model.BackendServer {
		return model.BackendServer{ID: id, Service: "s", Address: id + ":1", FailureDomain: "a", Card: "fast", Holds: held, Slots: 9}
	}
	c.Put(engine("first", model.LayerRange{To: 6}))
	health := catalog.NewHealth(time.Now)
	usage := chains.NewUsageTracker(time.Now)
	chooser := &chains.Chooser{Catalog: c, Health: health, Usage: usage, Interconnect: chains.NewInterconnect(time.Now), RouterCount: func() int { return 1 }}
	prober := NewProber()
	prober.Now = time.Now
	prober.Health = health
	prober.Catalog = c
	r := &Relay{Detector: detector.New(time.Now), Catalog: c, Health: health, Chooser: chooser, Usage: usage, WaitQueue: admission.NewWaitQueue(), Suspects: prober, FailureDomain: "a", Now: time.Now,
		Quarantine: quarantine.New(func() time.Duration { return 0 }), Observer: &countingObserver{}}
	q := &request{Relay: r, call: &model.Call{Attempt: "1"}, startTime: time.Now(), avoid: map[model.Incarnation]bool{}}
	q.admitted = routes.Admission{
		Route: &model.Route{TargetLatency: 500 * time.Millisecond, MaxAttempts: 2},
		Service: &model.Service{Name: "s", Engine: &model.EngineSpec{
			Layers: 12, LayerMB: 1000, KVTokenBytes: 1e6, StepTime: time.Millisecond, PrefillRate: 1e5,
			Cards: []model.Card{{Name: "fast", MB: 8000, StepTimeFactor: 2, PrefillFactor: 2}},
		}},
	}
	return &stream{request: q, tokens: 100, firstEngines: map[model.Incarnation]bool{}}, engine("second", model.LayerRange{From: 6, To: 12})
}

// Guards against interrupting a stream because its layers are missing while an engine is
// replaced, although its caller still waits.
func TestInterruptedStreamWaitsForMissingLayers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, holder := newIncompleteStream()
		s.events = 5
		s.lastEventTime = time.Now().Add(-300 * time.Millisecond)
		began := time.Now()
		time.AfterFunc(900*time.Millisecond, func() { s.Catalog.Put(holder) })
		stages, reservation, f := s.reserveChain(t.Context())
		assert.Assert(t, f == nil, "%v", f)
		reservation.Release()
		assert.Equal(t, len(stages), 2)
		assert.Assert(t, time.Since(began) <= 900*time.Millisecond+chainPollInterval)
	})
}

// Guards against waiting for missing layers longer than the caller does, and against
// waiting at all for a stream that has not begun.
func TestWaitForMissingLayersIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, _ := newIncompleteStream()
		began := time.Now()
		_, _, f := s.reserveChain(t.Context())
		assert.Equal(t, f.Kind, fault.NoCapacity)
		assert.Equal(t, time.Since(began), time.Duration(0))
		s.events = 5
		s.lastEventTime = time.Now()
		_, _, f = s.reserveChain(t.Context())
		assert.Equal(t, f.Kind, fault.NoCapacity)
		assert.Assert(t, time.Since(began) >= 2*time.Second && time.Since(began) <= callerGapTimeout+chainPollInterval)
	})
}

// Guards against running a request on more first engines than the route allows, because an
// engine whose entry was removed still serves while it drains.
func TestDrainingEngineStillCountsAsAttempt(t *testing.T) {
	s, _ := newIncompleteStream()
	one, two := model.Incarnation{ID: "one"}, model.Incarnation{ID: "two"}
	s.firstEngines[one] = true
	assert.Assert(t, s.allowedFirstEngines() == nil, "one attempt remains")
	s.firstEngines[two] = true
	s.Catalog.Remove("one", 1, 0)
	assert.DeepEqual(t, s.allowedFirstEngines(), map[model.Incarnation]bool{one: true, two: true})
	s.Suspects.Exited(one)
	assert.Assert(t, s.allowedFirstEngines() == nil)
}

// Guards against reserving memory for a stream whose caller has disconnected.
func TestNoChainIsReservedAfterCallerDisconnects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, holder := newIncompleteStream()
		s.Catalog.Put(holder)
		ctx, disconnect := context.WithCancel(t.Context())
		disconnect()
		for _, events := range []int{0, 5} {
			s.events = events
			s.lastEventTime = time.Now()
			_, reservation, f := s.reserveChain(ctx)
			assert.Assert(t, reservation == nil)
			assert.Assert(t, f != nil)
			assert.Equal(t, s.Usage.Used(holder.Incarnation()).Streams, 0.0)
			assert.Equal(t, s.Usage.Recent(holder.Incarnation()).Streams, 0.0)
		}
	})
}
