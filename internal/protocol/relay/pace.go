package relay

import (
	"context"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/skylarkwood/skylarkwood/internal/coordination/catalog"
	"github.com/skylarkwood/skylarkwood/internal/coordination/chains"
	"github.com/skylarkwood/skylarkwood/internal/model"
)

const (
	// paceEvents is over how many events a chain's speed is judged.
	speedSampleEvents = 10
	// slowFactor is how much slower than planned a chain must be for its engines to
	// be asked. A busy chain is slower than the sum of its steps, as tokens wait for
	// passes in progress.
	slowChainFactor = 2.5
	// slowdownPollInterval is how long an engine's word about its pace is good for.
	slowdownPollInterval = time.Second
)

// SlowdownMonitor finds engines that are slower than their cards. An engine knows its own
// slowdown and says it when asked; it is asked when a chain through it is slow,
// and while it stays slow.
type SlowdownMonitor struct {
	Memory  *chains.UsageTracker
	Catalog *catalog.Catalog
	Report  func(ctx context.Context, b *model.BackendServer) (model.EngineReport, error)
	Now     func() time.Time

	mu         sync.Mutex
	lastPolled map[model.Incarnation]time.Time
}

// NewSlowdownMonitor makes a pacer.
func NewSlowdownMonitor() *SlowdownMonitor {
	return &SlowdownMonitor{lastPolled: map[model.Incarnation]time.Time{}}
}

// Check asks the engines of a chain that is slow.
func (p *SlowdownMonitor) Check(stages []chains.Stage, request string, actual, planned time.Duration) {
	for _, stage := range stages {
		if p.pollDue(stage.Server.Incarnation()) {
			go p.poll(stage.Server, request, actual, planned)
		}
	}
}

// Recheck asks the engines that were slow when they were last asked.
func (p *SlowdownMonitor) Recheck() {
	for _, inc := range p.Memory.SlowEngines() {
		b := p.Catalog.Load().Find(inc)
		if b == nil {
			p.Memory.RemoveSlowdown(inc)
			continue
		}
		if p.pollDue(inc) {
			go p.poll(b, "", 0, 0)
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for inc, at := range p.lastPolled {
		if p.Now().Sub(at) > slowdownPollInterval {
			delete(p.lastPolled, inc)
		}
	}
}

func (p *SlowdownMonitor) pollDue(inc model.Incarnation) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if at, ok := p.lastPolled[inc]; ok && p.Now().Sub(at) < slowdownPollInterval {
		return false
	}
	p.lastPolled[inc] = p.Now()
	return true
}

func (p *SlowdownMonitor) poll(b *model.BackendServer, request string, actual, planned time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	report, err := p.Report(ctx, b)
	if err != nil {
		klog.V(1).InfoS("engine did not tell its pace", "server", b.Incarnation(), "err", err)
		return
	}
	used := p.Memory.Used(b.Incarnation())
	klog.InfoS("engine's report", "request", request, "server", b.Incarnation(), "usedTokenLayers", report.UsedTokenLayers, "totalTokenLayers", report.TotalTokenLayers,
		"countedTokenLayers", used.TokenLayers, "countedStreams", used.Streams, "reading", used.PrefillLoad, "inFlight", report.Active, "queued", report.Queued, "slowdown", report.Slowdown)
	if p.Memory.SetSlowdown(b.Incarnation(), report.Slowdown) {
		klog.InfoS("engine's slowdown", "request", request, "server", b.Incarnation(), "factor", report.Slowdown, "eventGap", actual, "planned", planned)
	}
}
