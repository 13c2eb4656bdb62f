package relay

import (
	"context"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/skylarkwood/skylarkwood/internal/coordination/catalog"
	"github.com/skylarkwood/skylarkwood/internal/model"
)

const (
	// probeEvery is between two reports asked of a suspected engine.
	probeInterval = 400 * time.Millisecond
	// probeHold is how long a failed probe keeps an engine suspected: until
	// after the next one.
	failedProbePeriod = 1200 * time.Millisecond
	// trustProbe is for how long a probe's success outweighs the suspicions of
	// other routers, which may be cut off from the engine themselves.
	probeTrustPeriod = 3 * time.Second
	// fullShare is the share of its token memory beyond which an engine that
	// refuses is short of it, and not leaving.
	fullMemoryShare = 0.8
	// fullPause is how long an engine that is full gets nothing new: a stream
	// ends there every few milliseconds.
	fullEnginePeriod = 300 * time.Millisecond
	// leavingPause is how long an engine that refuses work and calls itself ill
	// gets none: it drains, and its entry may say so only when the store is back.
	drainingEnginePeriod = 8 * time.Second
)

// Prober keeps suspected engines from getting work until they answer again. A
// report is cheap and harms nobody; without it each try to use a dead engine
// again would cost a caller's stream a wait.
type Prober struct {
	Health  *catalog.Health
	Catalog *catalog.Catalog
	Report  func(ctx context.Context, b *model.BackendServer) (model.EngineReport, error)
	// AnnounceSuspect passes a suspicion on to the other routers.
	AnnounceSuspect func(engine model.Incarnation, until time.Time)
	// Healthy asks a backend server whether it is well and not leaving.
	Healthy func(ctx context.Context, b *model.BackendServer) (bool, error)
	// AnnounceRefusal tells the other routers that an engine refuses work.
	AnnounceRefusal func(engine model.Incarnation, until time.Time)
	Now             func() time.Time

	mu sync.Mutex
	// exited holds engines whose process surely exited, or that were gone from the
	// store while they answered nobody here, and when that was noted. An answer
	// that was asked for later takes it back.
	exited      map[model.Incarnation]time.Time
	suspects    map[model.Incarnation]*suspect
	lastSuccess map[model.Incarnation]time.Time // when a probe last succeeded
}

type suspect struct {
	since       time.Time
	probeFailed bool // it did not answer the last probe
	local       bool // this router's own evidence
	probing     bool
}

// NewProber makes a prober without suspects.
func NewProber() *Prober {
	return &Prober{exited: map[model.Incarnation]time.Time{}, suspects: map[model.Incarnation]*suspect{}, lastSuccess: map[model.Incarnation]time.Time{}}
}

// Unreachable implements Suspicions.
func (p *Prober) Unreachable(b *model.BackendServer, request string, err error) {
	until, isNew := p.Health.Suspect(b.Incarnation())
	if isNew {
		klog.InfoS("engine suspected", "request", request, "server", b.Incarnation(), "address", b.Address, "err", err, "until", until)
	}
	p.addSuspect(b.Incarnation(), true)
	p.AnnounceSuspect(b.Incarnation(), until)
}

// Refused implements Suspicions. An engine refuses while it is full, for a
// moment, or because it drains or gives its part up, for good; its entry may say
// so only seconds later, or not at all while the store is away. Its report and
// its health tell which. Probing would clear it at once, as it answers; so the
// suspicion runs its time, and the peers keep to it too.
func (p *Prober) Refused(b *model.BackendServer, request string, status int) {
	if p.Health.Suspected(b.Incarnation()) {
		return
	}
	p.Health.SuspectUntil(b.Incarnation(), p.Now().Add(fullEnginePeriod))
	go p.classifyRefusal(b, request, status)
}

func (p *Prober) classifyRefusal(b *model.BackendServer, request string, status int) {
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	report, err := p.Report(ctx, b)
	if err != nil {
		p.Unreachable(b, request, err)
		return
	}
	full := report.Queued > 0 || report.UsedTokenLayers > fullMemoryShare*report.TotalTokenLayers
	healthy := true
	if !full {
		healthy, err = p.Healthy(ctx, b)
	}
	period := fullEnginePeriod
	switch {
	case !healthy:
		period = drainingEnginePeriod
	case !full:
		period = p.Health.NextSuspicionPeriod(b.Incarnation())
	}
	until := p.Now().Add(period)
	p.Health.RecordRefusal(b.Incarnation(), until, !full)
	p.AnnounceRefusal(b.Incarnation(), until)
	klog.InfoS("engine refuses", "request", request, "server", b.Incarnation(), "address", b.Address, "status", status, "full", full, "well", healthy, "err", err,
		"usedTokenLayers", report.UsedTokenLayers, "totalTokenLayers", report.TotalTokenLayers, "queued", report.Queued, "until", until)
}

// HandlePeerSuspicion takes in another router's suspicion: the engine is asked before it gets
// more work from here, and what it answers here decides.
func (p *Prober) HandlePeerSuspicion(inc model.Incarnation) {
	p.mu.Lock()
	trusted := p.Now().Sub(p.lastSuccess[inc]) < probeTrustPeriod
	_, known := p.suspects[inc]
	p.mu.Unlock()
	if trusted || known || p.Catalog.Load().Find(inc) == nil {
		return
	}
	klog.InfoS("engine suspected by a peer", "server", inc)
	p.Health.SuspectUntil(inc, p.Now().Add(failedProbePeriod))
	p.addSuspect(inc, false)
	p.probe(inc)
}

func (p *Prober) addSuspect(inc model.Incarnation, local bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s, ok := p.suspects[inc]
	if !ok {
		s = &suspect{since: p.Now()}
		p.suspects[inc] = s
	}
	s.local = s.local || local
}

// Run probes until ctx ends.
func (p *Prober) Run(ctx context.Context) {
	tick := time.NewTicker(probeInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			for _, inc := range p.dueProbes() {
				p.probe(inc)
			}
		case <-ctx.Done():
			return
		}
	}
}

func (p *Prober) dueProbes() []model.Incarnation {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []model.Incarnation
	for inc, s := range p.suspects {
		if !s.probing {
			out = append(out, inc)
		}
	}
	return out
}

// probe asks one engine without waiting for it.
func (p *Prober) probe(inc model.Incarnation) {
	b := p.Catalog.Load().Find(inc)
	p.mu.Lock()
	s := p.suspects[inc]
	if s == nil || b == nil {
		if s != nil && s.probeFailed {
			p.recordExit(inc)
		}
		delete(p.suspects, inc)
		delete(p.lastSuccess, inc)
		p.mu.Unlock()
		return
	}
	s.probing = true
	p.mu.Unlock()
	requestedAt := p.Now()
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
		defer cancel()
		_, err := p.Report(ctx, b)
		p.handleProbeResult(b, requestedAt, err)
	}()
}

// handleProbeResult takes in how an engine answered what it was asked at some time.
func (p *Prober) handleProbeResult(b *model.BackendServer, requestedAt time.Time, err error) {
	p.mu.Lock()
	s := p.suspects[b.Incarnation()]
	if s == nil {
		p.mu.Unlock()
		return
	}
	s.probing = false
	s.probeFailed = err != nil
	if err == nil && s.local && p.Health.Suspected(b.Incarnation()) {
		// It answers, but did not do its work: the first suspicion runs out.
		p.mu.Unlock()
		return
	}
	if err == nil {
		delete(p.suspects, b.Incarnation())
		p.lastSuccess[b.Incarnation()] = p.Now()
		p.mu.Unlock()
		trusted := p.Health.RecordProbeSuccess(b.Incarnation(), requestedAt)
		klog.InfoS("suspected engine answers", "server", b.Incarnation(), "after", p.Now().Sub(s.since), "trusted", trusted)
		return
	}
	local := s.local
	p.mu.Unlock()
	until := p.Now().Add(failedProbePeriod)
	p.Health.SuspectUntil(b.Incarnation(), until)
	if local {
		p.AnnounceSuspect(b.Incarnation(), until)
	}
}

// lostAfter is how long an engine must have been suspected, and not answer, to be
// taken for lost: three probes.
const lostTimeout = 1200 * time.Millisecond

// rememberEnded is how long an engine's end is remembered: beyond the longest stream
// that may have run there.
const exitRetention = time.Minute

// Lost tells whether an engine's process has ended, or has not answered here for a
// while. An entry that is gone tells neither: engines that leave serve on.
func (p *Prober) Lost(inc model.Incarnation) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, ok := p.exited[inc]; ok {
		return true
	}
	s, ok := p.suspects[inc]
	return ok && s.probeFailed && p.Now().Sub(s.since) >= lostTimeout
}

// Exited implements Suspicions.
func (p *Prober) Exited(inc model.Incarnation) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.recordExit(inc)
}

// Responded implements Suspicions. The end of an engine is told by entries that may be
// late or odd, and by an entry that lapsed while the engine was cut off. Taken for
// ended still, an engine that answers counts as no attempt, so that a request runs at
// one engine more than its route allows, and plans do without it. Both times are
// compared under the lock, so that no answer from before takes back newer news.
func (p *Prober) Responded(inc model.Incarnation, requestedAt time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	recordedAt, ok := p.exited[inc]
	if !ok || !requestedAt.After(recordedAt) {
		return
	}
	delete(p.exited, inc)
	klog.InfoS("engine taken for ended answers", "server", inc, "after", p.Now().Sub(recordedAt))
}

// recordExit remembers an engine's end. The caller holds the lock.
func (p *Prober) recordExit(inc model.Incarnation) {
	now := p.Now()
	for other, at := range p.exited {
		if now.Sub(at) > exitRetention {
			delete(p.exited, other)
		}
	}
	p.exited[inc] = now
}
