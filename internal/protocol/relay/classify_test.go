package relay

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/skylarkwood/skylarkwood/internal/coordination/catalog"
	"github.com/skylarkwood/skylarkwood/internal/model"
)

// Each caller that raises a suspicion must give it the kind of its evidence: weak evidence
// taken for strong excludes the last engine of a domain, and the reverse sends requests to
// one that is gone.
func TestKindsOfEvidence(t *testing.T) {
	roomy, full := model.EngineReport{TotalTokenLayers: 100}, model.EngineReport{UsedTokenLayers: 99, TotalTokenLayers: 100}
	unreachable := func(p *Prober, a *fakeEngine) { p.Unreachable(a.server, "r", nil) }
	refused := func(p *Prober, a *fakeEngine) { p.Refused(a.server, "r", 503, 0) }
	refusedPeer := func(p *Prober, a *fakeEngine) { p.HandlePeerRefusal(inc("e"), time.Now().Add(time.Second)) }
	for name, c := range map[string]struct {
		raise                               func(p *Prober, a *fakeEngine)
		load                                model.EngineReport
		unresponsive, unhealthy, lastHolder bool
		healthErr                           error
		after                               time.Duration
		want                                catalog.Evidence
	}{
		"failed request, not probed yet":            {raise: unreachable, after: probeInterval / 2, want: catalog.Unanswered},
		"failed request, answers a probe":           {raise: unreachable, after: 2 * probeInterval, want: catalog.Weak},
		"failed request at a last holder":           {raise: unreachable, lastHolder: true, after: probeInterval / 2, want: catalog.Weak},
		"failed request, silent":                    {raise: unreachable, lastHolder: true, unresponsive: true, after: time.Minute, want: catalog.Unanswered},
		"exit":                                      {raise: func(p *Prober, a *fakeEngine) { p.Unreachable(a.server, "", errExited) }, lastHolder: true, after: 2 * probeInterval, want: catalog.Strong},
		"refusal without cause":                     {raise: refused, load: roomy, after: 10 * time.Millisecond, want: catalog.Weak},
		"refusal of a full engine":                  {raise: refused, load: full, after: 10 * time.Millisecond, want: catalog.Strong},
		"refusal of a leaving engine":               {raise: refused, load: roomy, unhealthy: true, after: 10 * time.Millisecond, want: catalog.Strong},
		"refusal, silent":                           {raise: refused, unresponsive: true, after: 10 * time.Millisecond, want: catalog.Unanswered},
		"peer's refusal":                            {raise: refusedPeer, load: roomy, after: 10 * time.Millisecond, want: catalog.Strong},
		"peer's refusal by a last holder":           {raise: refusedPeer, load: roomy, lastHolder: true, after: 10 * time.Millisecond, want: catalog.Weak},
		"peer's refusal by a full last holder":      {raise: refusedPeer, load: full, lastHolder: true, after: 10 * time.Millisecond, want: catalog.Strong},
		"peer's refusal by a leaving last holder":   {raise: refusedPeer, load: roomy, unhealthy: true, lastHolder: true, after: 10 * time.Millisecond, want: catalog.Strong},
		"peer's refusal by a silent last holder":    {raise: refusedPeer, unresponsive: true, lastHolder: true, after: 10 * time.Millisecond, want: catalog.Strong},
		"refusal, health check not answered":        {raise: refused, load: roomy, healthErr: errors.New("timeout"), after: 10 * time.Millisecond, want: catalog.Strong},
		"peer's refusal, health check not answered": {raise: refusedPeer, load: roomy, lastHolder: true, healthErr: errors.New("timeout"), after: 10 * time.Millisecond, want: catalog.Strong},
		"peer's suspicion, silent":                  {raise: func(p *Prober, _ *fakeEngine) { p.HandlePeerSuspicion(inc("e")) }, unresponsive: true, after: 10 * time.Millisecond, want: catalog.Unanswered},
	} {
		t.Run(name, func(t *testing.T) {
			runProber(t, func(p *Prober, a *fakeEngine) {
				a.load, a.unhealthy, a.unresponsive, a.healthErr = c.load, c.unhealthy, c.unresponsive, c.healthErr
				p.LastHolder = func(*model.BackendServer) bool { return c.lastHolder }
				time.Sleep(time.Millisecond)
				c.raise(p, a)
				time.Sleep(c.after)
				assert.Equal(t, p.Health.View(inc("e")).Evidence, c.want)
			})
		})
	}
}

// A peer's suspicion must not exclude a last holder before this router's own probe.
func TestUnconfirmedPeerSuspicionIsWeak(t *testing.T) {
	runProber(t, func(p *Prober, a *fakeEngine) {
		p.Report = func(ctx context.Context, b *model.BackendServer) (model.EngineReport, error) {
			time.Sleep(100 * time.Millisecond)
			return a.report(ctx, b)
		}
		p.HandlePeerSuspicion(inc("e"))
		time.Sleep(50 * time.Millisecond)
		assert.Equal(t, p.Health.View(inc("e")).Evidence, catalog.Weak)
		time.Sleep(100 * time.Millisecond)
		assert.Equal(t, p.Health.View(inc("e")).Evidence, catalog.None)
	})
}

// A last holder gets requests during a suspicion. Its refusals of those were ignored as if they
// had been sent before it.
func TestRefusalUnderWeakSuspicionBecomesStrong(t *testing.T) {
	runProber(t, func(p *Prober, a *fakeEngine) {
		a.load = model.EngineReport{TotalTokenLayers: 100}
		p.Refused(a.server, "r", 503, 0)
		time.Sleep(20 * time.Millisecond)
		p.Refused(a.server, "sent before", 503, 0)
		time.Sleep(10 * time.Millisecond)
		assert.Equal(t, p.Health.View(inc("e")).Evidence, catalog.Weak)
		p.Health.RecordAttempt(inc("e"))
		p.Refused(a.server, "sent after", 503, 0)
		time.Sleep(10 * time.Millisecond)
		assert.Equal(t, p.Health.View(inc("e")).Evidence, catalog.Strong)
	})
}

// An engine that fails every request is the last holder of its domain. Another domain must
// serve the requests, without endless retries at the engine.
func TestFailingLastHolderIsLeftForAnotherDomain(t *testing.T) {
	for name, fail := range map[string]func() (*Response, error){
		"refuses":        func() (*Response, error) { return refusal(""), nil },
		"not connecting": func() (*Response, error) { return nil, errors.Wrap(ErrNotSent, "connection refused") },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, _ := newRefusingFixture(true, func() *Response { return nil })
				arrivals := 0
				s.BackendClient = fakeBackend(func(_ context.Context, addr string, r *Request) (*Response, error) {
					if r.Method == http.MethodGet {
						return signed(http.StatusOK, strings.NewReader(`{"kv_total":100}`)), nil
					}
					if addr == "one:1" {
						arrivals++
						return fail()
					}
					return signed(http.StatusOK, strings.NewReader("id: 1\ndata: a\n\n")), nil
				})
				spec := s.Config.Load().Service("s").Engine
				spec.InterconnectMbps, spec.MeanAnswerTokens = 1000, 1000
				two := *s.Catalog.Load().ByID("two")
				two.FailureDomain, two.Card = "b", "slow"
				two.Revision++
				s.Catalog.Put(two)
				spec.Cards = append(spec.Cards, model.Card{Name: "slow", MB: 80000, StepTimeFactor: 16, PrefillFactor: 16})
				s.prober.LastHolder = func(b *model.BackendServer) bool { return s.Chooser.LastHolder(s.Config.Load().Service("s"), b) }
				run, stop := context.WithCancel(t.Context())
				go s.prober.Run(run)
				s.serveSteadily(t, 20*time.Second)
				stop()
				assert.Check(t, arrivals >= 3 && arrivals <= 8, "%d requests of 1000 at an engine that fails all", arrivals)
			})
		})
	}
}

// Load: 400 routers learn of one refusal by a last holder in the same moment. Guards against as
// many checks of the engine at once, while it may be full.
func TestChecksAfterAPeersRefusalAreSpread(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const routers, window = 400, 50 * time.Millisecond
		server := model.BackendServer{ID: "e", Service: "s", Address: "1:1", Revision: 1}
		began := time.Now()
		var mu sync.Mutex
		checks := map[time.Duration]int{}
		for range routers {
			p := NewProber()
			p.Now = time.Now
			p.Health = catalog.NewHealth(time.Now)
			p.Catalog = catalog.New(time.Now)
			p.Catalog.Put(server)
			p.LastHolder = func(*model.BackendServer) bool { return true }
			p.RouterCount = func() int { return routers }
			p.Report = func(context.Context, *model.BackendServer) (model.EngineReport, error) {
				mu.Lock()
				defer mu.Unlock()
				checks[time.Since(began)/window]++
				return model.EngineReport{UsedTokenLayers: 99, TotalTokenLayers: 100}, nil
			}
			p.HandlePeerRefusal(inc("e"), time.Now().Add(time.Second))
		}
		time.Sleep(3 * time.Second)
		mu.Lock()
		defer mu.Unlock()
		total := 0
		for at, n := range checks {
			assert.Check(t, n <= 40, "%d checks within %v after %v", n, window, at*window)
			assert.Check(t, at*window <= time.Second, "checked after the refusal had expired")
			total += n
		}
		assert.Assert(t, total > routers/8 && total < routers, "%d checks", total)
	})
}
