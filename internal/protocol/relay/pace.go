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
func (m *SlowdownMonitor) Check(stages []chains.Stage, request string, actual, planned time.Duration) {
	for _, stage := range stages {
		if m.pollDue(stage.Server.Incarnation()) {
			go m.poll(stage.Server, request, actual, planned)
		}
	}
}

// Recheck asks the engines that were slow when they were last asked.
func (m *SlowdownMonitor) Recheck() {
	for _, inc := range m.Memory.SlowEngines() {
		b := m.Catalog.Load().Find(inc)
		if b == nil {
			m.Memory.RemoveSlowdown(inc)
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
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	report, err := m.Report(ctx, b)
	if err != nil {
		klog.V(1).InfoS("engine did not tell its pace", "server", b.Incarnation(), "err", err)
		return
	}
	used := m.Memory.Used(b.Incarnation())
	klog.InfoS("engine's report", "request", request, "server", b.Incarnation(), "usedTokenLayers", report.UsedTokenLayers, "totalTokenLayers", report.TotalTokenLayers,
		"countedTokenLayers", used.TokenLayers, "countedStreams", used.Streams, "reading", used.PrefillLoad, "inFlight", report.Active, "queued", report.Queued, "slowdown", report.Slowdown)
	if m.Memory.SetSlowdown(b.Incarnation(), report.Slowdown) {
		klog.InfoS("engine's slowdown", "request", request, "server", b.Incarnation(), "factor", report.Slowdown, "eventGap", actual, "planned", planned)
	}
}
