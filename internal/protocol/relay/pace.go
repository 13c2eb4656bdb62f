package relay

import (
	"context"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/skylarkwood/skylarkwood/internal/coordination/catalog"
	"github.com/skylarkwood/skylarkwood/internal/coordination/chains"
	"github.com/skylarkwood/skylarkwood/internal/coordination/processor"
	"github.com/skylarkwood/skylarkwood/internal/model"
)

const (
	// speedSampleEvents is the number of events over which a chain's speed is determined.
	speedSampleEvents = 10
	// slowChainFactor is how much slower than planned a chain must be before its engines
	// are polled. Under load a chain is slower than the sum of its steps, as tokens wait
	// for passes in progress.
	slowChainFactor = 2.5
	// slowdownPollInterval is the minimum interval between polls of one engine.
	slowdownPollInterval = time.Second
)

// SlowdownMonitor finds engines that are slower than their type of accelerator should
// be. An engine reports its own slowdown. It is polled when a chain through it is slow,
// and as long as it stays slow.
type SlowdownMonitor struct {
	Usage   *chains.UsageTracker
	Catalog *catalog.Catalog
	Report  func(ctx context.Context, b *model.BackendServer) (model.EngineReport, error)
	Now     func() time.Time
	// Announce reports a slowdown, or its end, to the other routers. It may be nil.
	Announce func(engine model.Incarnation, factor float64)
	// Processor keeps the wait for the processor out of timeouts. It may be nil.
	Processor *processor.Monitor

	mu         sync.Mutex
	lastPolled map[model.Incarnation]time.Time
}

// NewSlowdownMonitor returns a monitor whose exported fields must be set before use.
func NewSlowdownMonitor() *SlowdownMonitor {
	return &SlowdownMonitor{lastPolled: map[model.Incarnation]time.Time{}}
}

// Check polls the engines of a slow chain. actual and planned are the intervals between
// events, for the log.
func (m *SlowdownMonitor) Check(stages []chains.Stage, request string, actual, planned time.Duration) {
	for _, stage := range stages {
		if m.pollDue(stage.Server.Incarnation()) {
			go m.poll(stage.Server, request, actual, planned)
		}
	}
}

// Recheck polls the engines that reported a slowdown when last polled.
func (m *SlowdownMonitor) Recheck() {
	for _, inc := range m.Usage.SlowEngines() {
		b := m.Catalog.Load().Find(inc)
		if b == nil {
			m.Usage.RemoveSlowdown(inc)
			continue
		}
		if m.pollDue(inc) {
			go m.poll(b, "", 0, 0)
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for inc, at := range m.lastPolled {
		if m.Now().Sub(at) > slowdownPollInterval {
			delete(m.lastPolled, inc)
		}
	}
}

func (m *SlowdownMonitor) pollDue(inc model.Incarnation) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if at, ok := m.lastPolled[inc]; ok && m.Now().Sub(at) < slowdownPollInterval {
		return false
	}
	m.lastPolled[inc] = m.Now()
	return true
}

func (m *SlowdownMonitor) poll(b *model.BackendServer, request string, actual, planned time.Duration) {
	ctx, cancel := m.Processor.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	report, err := m.Report(ctx, b)
	if err != nil {
		klog.V(1).InfoS("engine slowdown not available", "server", b.Incarnation(), "err", err)
		return
	}
	used := m.Usage.Used(b.Incarnation())
	klog.InfoS("engine report", "request", request, "server", b.Incarnation(), "usedTokenLayers", report.UsedTokenLayers, "totalTokenLayers", report.TotalTokenLayers,
		"countedTokenLayers", used.TokenLayers, "countedStreams", used.Streams, "reading", used.PrefillLoad, "inFlight", report.Active, "queued", report.Queued, "slowdown", report.Slowdown)
	changed := m.Usage.SetSlowdown(b.Incarnation(), report.Slowdown)
	if m.Announce != nil && (changed || report.Slowdown > 1) {
		m.Announce(b.Incarnation(), report.Slowdown)
	}
	if changed {
		klog.InfoS("engine slowdown changed", "request", request, "server", b.Incarnation(), "factor", report.Slowdown, "eventGap", actual, "planned", planned)
	}
}
