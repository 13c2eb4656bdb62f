package relay

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/skylarkwood/skylarkwood/internal/coordination/catalog"
	"github.com/skylarkwood/skylarkwood/internal/coordination/chains"
	"github.com/skylarkwood/skylarkwood/internal/model"
)

// fakeEngine answers report requests unless it is unresponsive.
type fakeEngine struct {
	mu           sync.Mutex
	unresponsive bool
	slow         float64
	requests     int
	announced    int // announcements to peers
	load         model.EngineReport
	unhealthy    bool
	healthErr    error
	server       *model.BackendServer
}

func (a *fakeEngine) report(context.Context, *model.BackendServer) (model.EngineReport, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.requests++
	if a.unresponsive {
		return model.EngineReport{}, errors.New("no response")
	}
	out := a.load
	out.Slowdown = a.slow
	return out, nil
}

func (a *fakeEngine) healthy(context.Context, *model.BackendServer) (bool, error) {
	return !a.unhealthy, a.healthErr
}

func (a *fakeEngine) announce(model.Incarnation, time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.announced++
}

func (a *fakeEngine) announcementCount() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.announced
}

func (a *fakeEngine) reportRequests() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.requests
}

func (a *fakeEngine) setUnresponsive(unresponsive bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.unresponsive = unresponsive
}

func inc(id string) model.Incarnation { return model.Incarnation{ID: id} }

// runProber runs a prober with one engine in virtual time.
func runProber(t *testing.T, f func(p *Prober, a *fakeEngine)) {
	synctest.Test(t, func(t *testing.T) {
		a := &fakeEngine{server: &model.BackendServer{ID: "e", Service: "s", Address: "1:1", Revision: 1}}
		p := NewProber()
		p.Now = time.Now
		p.Health = catalog.NewHealth(time.Now)
		p.Catalog = catalog.New(time.Now)
		p.Catalog.Put(*a.server)
		p.Report = a.report
		p.AnnounceSuspect = a.announce
		p.AnnounceRefusal = a.announce
		p.Healthy = a.healthy
		ctx, stop := context.WithCancel(context.Background())
		var done sync.WaitGroup
		done.Go(func() { p.Run(ctx) })
		f(p, a)
		stop()
		done.Wait()
	})
}

// Guards against sending requests to an engine that does not respond, and against
// withholding them after it has recovered.
func TestDeadEngineStaysSuspectedUntilItResponds(t *testing.T) {
	runProber(t, func(p *Prober, a *fakeEngine) {
		a.setUnresponsive(true)
		p.Unreachable(a.server, "r", nil)
		for range 40 {
			time.Sleep(250 * time.Millisecond)
			assert.Assert(t, p.Health.Suspected(inc("e")))
		}
		assert.Assert(t, a.announcementCount() > 2, "peers are notified while the suspicion lasts")
		a.setUnresponsive(false)
		time.Sleep(2 * time.Second)
		assert.Assert(t, !p.Health.Suspected(inc("e")))
	})
}

// Guards against clearing a suspicion at once because the engine answers reports, although
// it did not run its stage.
func TestRespondingEngineStaysSuspectedForFirstPeriod(t *testing.T) {
	runProber(t, func(p *Prober, a *fakeEngine) {
		p.Unreachable(a.server, "r", nil)
		time.Sleep(800 * time.Millisecond)
		assert.Assert(t, p.Health.Suspected(inc("e")))
		time.Sleep(time.Second)
		assert.Assert(t, !p.Health.Suspected(inc("e")))
	})
}

// Guards against treating an engine as lost that responds, and as present if it has not
// responded for three probes.
func TestUnresponsiveEngineIsLostAfterTimeout(t *testing.T) {
	runProber(t, func(p *Prober, a *fakeEngine) {
		p.Unreachable(a.server, "r", nil)
		time.Sleep(2 * time.Second)
		assert.Assert(t, !p.Lost(inc("e")), "it responds")
		a.setUnresponsive(true)
		p.Unreachable(a.server, "r", nil)
		time.Sleep(700 * time.Millisecond)
		assert.Assert(t, !p.Lost(inc("e")))
		time.Sleep(time.Second)
		assert.Assert(t, p.Lost(inc("e")))
		a.setUnresponsive(false)
		time.Sleep(time.Second)
		assert.Assert(t, !p.Lost(inc("e")))
	})
}

// Guards against adopting the suspicion of a peer that is itself disconnected from the
// engine, and against probing the engine for each of that peer's messages.
func TestPeerSuspicionIsProbed(t *testing.T) {
	runProber(t, func(p *Prober, a *fakeEngine) {
		p.HandlePeerSuspicion(inc("e"))
		time.Sleep(50 * time.Millisecond)
		assert.Assert(t, !p.Health.Suspected(inc("e")))
		for range 8 {
			p.HandlePeerSuspicion(inc("e"))
			time.Sleep(250 * time.Millisecond)
		}
		assert.Equal(t, a.reportRequests(), 1)
		assert.Equal(t, a.announcementCount(), 0, "a peer's suspicion is not announced again")
		p.HandlePeerSuspicion(inc("unknown"))
	})
}

func TestRemovedEngineIsNotProbed(t *testing.T) {
	runProber(t, func(p *Prober, a *fakeEngine) {
		a.setUnresponsive(true)
		p.Unreachable(a.server, "r", nil)
		time.Sleep(time.Second)
		p.Catalog.Remove("e", 2, 0)
		time.Sleep(time.Second)
		before := a.reportRequests()
		time.Sleep(5 * time.Second)
		assert.Equal(t, a.reportRequests(), before)
	})
}

// Guards against outdated slowdowns: a slow engine is polled once per interval until it is
// no longer slow.
func TestSlowEngineIsPolledUntilItRecovers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := &fakeEngine{slow: 3, server: &model.BackendServer{ID: "e", Service: "s", Address: "1:1", Revision: 1}}
		c := catalog.New(time.Now)
		c.Put(*a.server)
		p := NewSlowdownMonitor()
		p.Usage = chains.NewUsageTracker(time.Now)
		p.Catalog = c
		p.Report = a.report
		p.Now = time.Now
		stages := []chains.Stage{{Server: a.server}}
		p.Check(stages, "r", time.Second, time.Millisecond)
		p.Check(stages, "r", time.Second, time.Millisecond)
		synctest.Wait()
		assert.Equal(t, a.reportRequests(), 1, "several streams on one engine poll it once")
		assert.Equal(t, p.Usage.Slowdown(inc("e")), 3.0)
		a.mu.Lock()
		a.slow = 1
		a.mu.Unlock()
		time.Sleep(slowdownPollInterval)
		p.Recheck()
		synctest.Wait()
		assert.Equal(t, p.Usage.Slowdown(inc("e")), 1.0)
		time.Sleep(slowdownPollInterval)
		p.Recheck()
		synctest.Wait()
		assert.Equal(t, a.reportRequests(), 2)
	})
}

// Guards against sending requests to a draining engine because it answers probes. Peers
// are notified once.
func TestDrainingEngineGetsNoRequests(t *testing.T) {
	runProber(t, func(p *Prober, a *fakeEngine) {
		a.unhealthy = true
		a.load = model.EngineReport{UsedTokenLayers: 10, TotalTokenLayers: 100}
		for range 20 {
			p.Refused(a.server, "r", 503, 0)
		}
		time.Sleep(7 * time.Second)
		assert.Assert(t, p.Health.Suspected(inc("e")))
		assert.Equal(t, a.reportRequests(), 1, "only one of the refusals is investigated")
		assert.Equal(t, a.announcementCount(), 1)
		time.Sleep(time.Second)
		assert.Assert(t, !p.Health.Suspected(inc("e")))
	})
}

// Guards against suspecting a full engine for long, as its memory is soon released.
func TestFullEngineIsSuspectedBriefly(t *testing.T) {
	runProber(t, func(p *Prober, a *fakeEngine) {
		a.load = model.EngineReport{UsedTokenLayers: 99, TotalTokenLayers: 100}
		for range 5 {
			p.Refused(a.server, "r", 503, 0)
			time.Sleep(fullEnginePeriod / 2)
			assert.Assert(t, p.Health.Suspected(inc("e")))
			time.Sleep(fullEnginePeriod)
			assert.Assert(t, !p.Health.Suspected(inc("e")))
		}
	})
}

// Guards against retrying too often at an engine that is healthy, has capacity and refuses
// requests.
func TestRepeatedRefusalsDoubleSuspicionPeriod(t *testing.T) {
	runProber(t, func(p *Prober, a *fakeEngine) {
		a.load = model.EngineReport{TotalTokenLayers: 100}
		for _, period := range []time.Duration{time.Second, 2 * time.Second, 4 * time.Second} {
			p.Refused(a.server, "r", 503, 0)
			time.Sleep(period - 10*time.Millisecond)
			assert.Assert(t, p.Health.Suspected(inc("e")))
			time.Sleep(20 * time.Millisecond)
			assert.Assert(t, !p.Health.Suspected(inc("e")))
		}
	})
}

// Guards against clearing a refusal when a probe succeeds, as draining engines answer
// reports.
func TestProbeDoesNotClearRefusal(t *testing.T) {
	for _, handleRerouteRefusal := range []time.Duration{-time.Second, 50 * time.Millisecond} {
		runProber(t, func(p *Prober, a *fakeEngine) {
			p.Report = func(ctx context.Context, b *model.BackendServer) (model.EngineReport, error) {
				time.Sleep(100 * time.Millisecond)
				return a.report(ctx, b)
			}
			hintAt := time.Now().Add(time.Second)
			time.AfterFunc(time.Second+handleRerouteRefusal, func() {
				p.Health.RecordRefusal(inc("e"), hintAt.Add(drainingEnginePeriod), true)
			})
			time.Sleep(time.Second)
			p.HandlePeerSuspicion(inc("e"))
			time.Sleep(200 * time.Millisecond)
			assert.Check(t, a.reportRequests() == 1)
			assert.Check(t, p.Health.Suspected(inc("e")), "refused %v after the peer's suspicion", handleRerouteRefusal)
		})
	}
}

// Guards against clearing a suspicion by the response to a probe that was sent before the
// suspicion was raised.
func TestProbeDoesNotClearNewerSuspicion(t *testing.T) {
	const responseTime = 100 * time.Millisecond
	for name, newSuspicion := range map[string]func(h *catalog.Health){
		"suspected locally":  func(h *catalog.Health) { h.Suspect(inc("e")) },
		"suspicion extended": func(h *catalog.Health) { h.SuspectUntil(inc("e"), time.Now().Add(2*failedProbePeriod)) },
	} {
		t.Run(name, func(t *testing.T) {
			runProber(t, func(p *Prober, a *fakeEngine) {
				p.Report = func(ctx context.Context, b *model.BackendServer) (model.EngineReport, error) {
					time.Sleep(responseTime)
					return a.report(ctx, b)
				}
				time.Sleep(probeInterval / 4)
				p.HandlePeerSuspicion(inc("e"))
				time.Sleep(responseTime / 2)
				newSuspicion(p.Health)
				time.Sleep(responseTime)
				assert.Check(t, a.reportRequests() == 1)
				assert.Check(t, p.Health.Suspected(inc("e")))
				time.Sleep(2 * failedProbePeriod)
				assert.Check(t, !p.Health.Suspected(inc("e")))
			})
		})
	}
}
