package relay

import (
	"context"
	"math/rand/v2"
	"time"

	"k8s.io/klog/v2"

	"github.com/skylarkwood/skylarkwood/internal/coordination/catalog"
	"github.com/skylarkwood/skylarkwood/internal/model"
)

const (
	// fullMemoryShare is the share of used token memory above which a refusing engine
	// counts as full rather than leaving.
	fullMemoryShare = 0.8
	// fullEnginePeriod is how long a full engine gets no new requests. Streams end every
	// few milliseconds, so it is short.
	fullEnginePeriod = 300 * time.Millisecond
	// drainingEnginePeriod is how long an engine that refuses requests and fails its
	// health check gets none. Its entry may report the draining late, if the store is
	// unavailable.
	drainingEnginePeriod = 8 * time.Second
	// peerCheckInterval is the mean time between two checks of an engine by different
	// routers after one refusal. All routers learn of it at the same moment. At 27 routers
	// the checks take at most a seventh of the shortest suspicion.
	peerCheckInterval = 5 * time.Millisecond
)

// Refused implements SuspectTracker. An engine refuses requests while it is full, drains
// or unloads its layers. Its entry may show the cause only seconds later, or not at all
// while the store is unavailable. Its report and its health check distinguish the cases. A
// probe would succeed at once, so the suspicion lasts its full period and peers adopt it.
//
// An engine that asks for a pause has said how long it refuses requests of this router. Peers
// get a shorter period, as it did not ask them.
func (p *Prober) Refused(b *model.BackendServer, request string, status int, pause time.Duration) {
	if pause > 0 {
		p.AnnounceRefusal(b.Incarnation(), p.Now().Add(min(pause, p.Health.NextSuspicionPeriod(b.Incarnation()))))
		return
	}
	if p.Health.SuspicionLasts(b.Incarnation()) && !p.Health.RetriedUnderSuspicion(b.Incarnation()) {
		return // the refusals of requests that were sent together count once
	}
	p.Health.SuspectOnUntil(b.Incarnation(), catalog.Unanswered, p.Now().Add(fullEnginePeriod))
	go p.classifyRefusal(b, request, status)
}

// engineState is what an engine's report and health check say about its ability to run
// new requests.
type engineState struct {
	report    model.EngineReport
	full      bool
	healthy   bool // not checked if it is full
	healthErr error
}

// unexplained reports whether the state shows no cause of a refusal. A health check that the
// engine does not answer may be one.
func (s engineState) unexplained() bool { return !s.full && s.healthy && s.healthErr == nil }

// checkState asks an engine for its state. It returns an error if there is no report.
func (p *Prober) checkState(b *model.BackendServer) (engineState, error) {
	ctx, cancel := p.Processor.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	report, err := p.Report(ctx, b)
	if err != nil {
		return engineState{}, err
	}
	s := engineState{report: report, healthy: true}
	s.full = report.Queued > 0 || report.UsedTokenLayers > fullMemoryShare*report.TotalTokenLayers
	if !s.full {
		s.healthy, s.healthErr = p.Healthy(ctx, b)
	}
	return s, nil
}

// classifyRefusal determines the cause of a refusal. A refusal without a visible cause is weak
// evidence.
func (p *Prober) classifyRefusal(b *model.BackendServer, request string, status int) {
	s, err := p.checkState(b)
	if err != nil {
		p.Unreachable(b, request, err)
		return
	}
	period := fullEnginePeriod
	switch {
	case !s.healthy:
		period = drainingEnginePeriod
	case !s.full:
		period = p.Health.NextSuspicionPeriod(b.Incarnation())
	}
	until := p.Now().Add(period)
	if s.unexplained() {
		p.Health.RecordUnexplainedRefusal(b.Incarnation(), until)
	} else {
		p.Health.RecordRefusal(b.Incarnation(), until, !s.full)
	}
	p.AnnounceRefusal(b.Incarnation(), until)
	klog.InfoS("engine refused request", "request", request, "server", b.Incarnation(), "address", b.Address, "status", status, "full", s.full, "well", s.healthy, "err", s.healthErr,
		"usedTokenLayers", s.report.UsedTokenLayers, "totalTokenLayers", s.report.TotalTokenLayers, "queued", s.report.Queued, "until", until)
}

// HandlePeerRefusal applies a refusal that another router reports. It does not say why the
// engine refused. If new requests of this router depend on the engine, this router checks
// its state, and the refusal becomes weak evidence if no cause is visible.
func (p *Prober) HandlePeerRefusal(inc model.Incarnation, until time.Time) {
	if !p.Health.SuspectFromPeer(inc, until) {
		return
	}
	b := p.Catalog.Load().Find(inc)
	if b == nil || !p.isLastHolder(b) || !p.scheduleCheck(inc) {
		return
	}
	routers := 1
	if p.RouterCount != nil {
		routers = max(p.RouterCount(), 1)
	}
	time.AfterFunc(rand.N(time.Duration(routers)*peerCheckInterval), func() { p.checkPeerRefusal(b) })
}

// scheduleCheck records that an engine is to be checked. It returns false if that was recorded
// before and the check has not begun.
func (p *Prober) scheduleCheck(inc model.Incarnation) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.checkScheduled[inc] {
		return false
	}
	p.checkScheduled[inc] = true
	return true
}

// checkPeerRefusal makes a scheduled check, unless it is no longer needed.
func (p *Prober) checkPeerRefusal(b *model.BackendServer) {
	p.mu.Lock()
	delete(p.checkScheduled, b.Incarnation())
	p.mu.Unlock()
	if !p.Health.SuspicionLasts(b.Incarnation()) || !p.isLastHolder(b) {
		return
	}
	checkedAt := p.Now()
	s, err := p.checkState(b)
	weak := err == nil && s.unexplained()
	if weak {
		p.Health.RecordOwnCheck(b.Incarnation(), checkedAt)
	}
	klog.InfoS("last holder that refused a request of a peer was checked", "server", b.Incarnation(), "address", b.Address, "full", s.full, "well", s.healthy, "err", err, "weak", weak)
}
