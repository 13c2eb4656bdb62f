package relay

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/skylarkwood/skylarkwood/internal/coordination/catalog"
	"github.com/skylarkwood/skylarkwood/internal/coordination/processor"
	"github.com/skylarkwood/skylarkwood/internal/model"
)

const (
	// probeInterval is the interval between probes of a suspected engine.
	probeInterval = 400 * time.Millisecond
	// failedProbePeriod is how long a failed probe extends a suspicion: until after the
	// next probe.
	failedProbePeriod = 1200 * time.Millisecond
	// probeTrustPeriod is how long a successful probe outweighs suspicions from other
	// routers, which may themselves be disconnected from the engine.
	probeTrustPeriod = 3 * time.Second
)

// Prober withholds requests from suspected engines until they respond again. It probes
// them by their report, so that no caller's stream has to find out.
type Prober struct {
	Health  *catalog.Health
	Catalog *catalog.Catalog
	Report  func(ctx context.Context, b *model.BackendServer) (model.EngineReport, error)
	// AnnounceSuspect reports a suspicion to the other routers.
	AnnounceSuspect func(engine model.Incarnation, until time.Time)
	// Healthy reports whether a backend server is healthy and not draining.
	Healthy func(ctx context.Context, b *model.BackendServer) (bool, error)
	// AnnounceRefusal reports to the other routers that an engine refuses requests.
	AnnounceRefusal func(engine model.Incarnation, until time.Time)
	// LastHolder reports whether new requests depend on an engine, so that the evidence
	// against it is checked at once. It may be nil.
	LastHolder func(b *model.BackendServer) bool
	// RouterCount returns the number of routers, over which checks of one engine are spread.
	// It may be nil.
	RouterCount func() int
	Now         func() time.Time
	// Processor keeps the wait for the processor out of timeouts. It may be nil.
	Processor *processor.Monitor

	mu sync.Mutex
	// exited holds the time at which an engine's exit was recorded: its process
	// exited, or its entry was removed while it did not respond to probes. A response
	// to a later request removes it.
	exited      map[model.Incarnation]time.Time
	suspects    map[model.Incarnation]*suspect
	lastSuccess map[model.Incarnation]time.Time // time of the last successful probe
	// checkScheduled holds the engines whose check after a peer's refusal has not begun.
	checkScheduled map[model.Incarnation]bool
}

type suspect struct {
	since       time.Time
	probeFailed bool // the last probe failed
	local       bool // suspected on this router's own evidence
	probing     bool
}

// NewProber returns a prober without suspects. Its exported fields must be set before use.
func NewProber() *Prober {
	return &Prober{exited: map[model.Incarnation]time.Time{}, suspects: map[model.Incarnation]*suspect{}, lastSuccess: map[model.Incarnation]time.Time{}, checkScheduled: map[model.Incarnation]bool{}}
}

// Unreachable implements SuspectTracker. Unless the engine exited, the evidence becomes weak
// when the engine answers a probe. One that new requests depend on is probed at once.
func (p *Prober) Unreachable(b *model.BackendServer, request string, err error) {
	kind := catalog.Unanswered
	if errors.Is(err, errExited) || errors.Is(err, errRestarted) {
		kind = catalog.Strong
	}
	until, isNew := p.Health.SuspectOn(b.Incarnation(), kind)
	if isNew {
		klog.InfoS("engine suspected", "request", request, "server", b.Incarnation(), "address", b.Address, "err", err, "until", until, "evidence", kind)
	}
	p.addSuspect(b.Incarnation(), true)
	p.AnnounceSuspect(b.Incarnation(), until)
	if isNew && kind != catalog.Strong && p.isLastHolder(b) {
		p.probe(b.Incarnation())
	}
}

func (p *Prober) isLastHolder(b *model.BackendServer) bool {
	return p.LastHolder != nil && p.LastHolder(b)
}

// HandlePeerSuspicion applies another router's suspicion. It is weak evidence until the
// engine is probed, and the result of the probe decides.
func (p *Prober) HandlePeerSuspicion(inc model.Incarnation) {
	p.mu.Lock()
	trusted := p.Now().Sub(p.lastSuccess[inc]) < probeTrustPeriod
	_, known := p.suspects[inc]
	p.mu.Unlock()
	if trusted || known || p.Catalog.Load().Find(inc) == nil {
		return
	}
	klog.InfoS("engine suspected by a peer", "server", inc)
	p.Health.SuspectOnUntil(inc, catalog.Weak, p.Now().Add(failedProbePeriod))
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

// Run probes suspected engines until ctx ends.
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

// probe requests a report from an engine without waiting for the result.
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
		ctx, cancel := p.Processor.WithTimeout(context.Background(), reportTimeout)
		defer cancel()
		_, err := p.Report(ctx, b)
		p.handleProbeResult(b, requestedAt, err)
	}()
}

// handleProbeResult applies the result of a probe that was sent at the given time.
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
		// It responds but did not run its stage: the first suspicion lasts its full period.
		p.mu.Unlock()
		p.Health.RecordAnswer(b.Incarnation(), requestedAt)
		return
	}
	if err == nil {
		delete(p.suspects, b.Incarnation())
		p.lastSuccess[b.Incarnation()] = p.Now()
		p.mu.Unlock()
		trusted := p.Health.RecordProbeSuccess(b.Incarnation(), requestedAt)
		klog.InfoS("suspected engine responded to probe", "server", b.Incarnation(), "after", p.Now().Sub(s.since), "trusted", trusted)
		return
	}
	local := s.local
	p.mu.Unlock()
	until := p.Now().Add(failedProbePeriod)
	p.Health.SuspectOnUntil(b.Incarnation(), catalog.Unanswered, until)
	if local {
		p.AnnounceSuspect(b.Incarnation(), until)
	}
}

// lostTimeout is how long an engine must have been suspected, without responding to
// probes, before it counts as lost.
const lostTimeout = 1200 * time.Millisecond

// exitRetention is how long an engine's exit is recorded: longer than the longest
// stream that may have run there.
const exitRetention = time.Minute

// Lost implements SuspectTracker. A removed entry does not count as a loss, as engines that
// drain continue to serve.
func (p *Prober) Lost(inc model.Incarnation) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, ok := p.exited[inc]; ok {
		return true
	}
	s, ok := p.suspects[inc]
	return ok && s.probeFailed && p.Now().Sub(s.since) >= lostTimeout
}

// Exited implements SuspectTracker.
func (p *Prober) Exited(inc model.Incarnation) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.recordExit(inc)
}

// Responded implements SuspectTracker. It revokes the exit of an engine that was recorded
// from a late or expired entry. Otherwise the engine would not count as an attempt, so that
// a request could run at one engine more than its route allows, and plans would not use it. Both times are compared under the lock, so that a response to an
// older request does not revoke a newer exit.
func (p *Prober) Responded(inc model.Incarnation, requestedAt time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	recordedAt, ok := p.exited[inc]
	if !ok || !requestedAt.After(recordedAt) {
		return
	}
	delete(p.exited, inc)
	klog.InfoS("engine recorded as exited responded", "server", inc, "after", p.Now().Sub(recordedAt))
}

// recordExit records an engine's exit. The caller must hold p.mu.
func (p *Prober) recordExit(inc model.Incarnation) {
	now := p.Now()
	for other, at := range p.exited {
		if now.Sub(at) > exitRetention {
			delete(p.exited, other)
		}
	}
	p.exited[inc] = now
}
