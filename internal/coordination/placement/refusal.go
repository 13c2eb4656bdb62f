package placement

import (
	"time"

	"k8s.io/klog/v2"

	"github.com/skylarkwood/skylarkwood/internal/model"
)

// refusalRetryDelay is after which time an order that an engine refused is sent again even
// if nothing is known to have changed. An engine may refuse for a reason that its report
// does not contain.
const refusalRetryDelay = 10 * time.Second

// refusal is an order that an engine refused, with what was known of the engine.
type refusal struct {
	want   model.LayerRange
	report model.EngineReport
	// revision is the store's revision of the engine's entry.
	revision model.Revision
	// misdirected is set if another process responded.
	misdirected bool
	at          time.Time
}

// recordRefusal records that an engine refused an order, for services whose failure domains
// serve alone.
func (c *Controller) recordRefusal(svc *model.Service, b *model.BackendServer, want model.LayerRange, report model.EngineReport, misdirected bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.servesAlone(svc) {
		return
	}
	c.refusals[b.Incarnation()] = refusal{want: want, report: report, revision: b.Revision, misdirected: misdirected, at: c.Now()}
}

// misdirected reports whether another process responded to an order to an engine, and the
// engine's entry has not been written since. The caller holds c.mu.
func (c *Controller) misdirected(b *model.BackendServer) bool {
	r, ok := c.refusals[b.Incarnation()]
	return ok && r.misdirected && r.revision == b.Revision
}

// refusedUnchanged reports whether an engine refused an order for a range and is not known
// to have changed since. The caller holds c.mu.
func (c *Controller) refusedUnchanged(b *model.BackendServer, want model.LayerRange) bool {
	r, ok := c.refusals[b.Incarnation()]
	return ok && !r.misdirected && r.want == want && c.Now().Sub(r.at) < refusalRetryDelay
}

// mayRepeat reports whether an order may be sent to an engine with the given report. An
// order that was refused is sent again only after the engine's state has changed.
func (c *Controller) mayRepeat(b *model.BackendServer, want model.LayerRange, report model.EngineReport) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	r, ok := c.refusals[b.Incarnation()]
	if !ok || !c.refusedUnchanged(b, want) {
		return true
	}
	changed := r.report.OrderCount != report.OrderCount || r.report.Holds != report.Holds || r.report.Busy != report.Busy
	if changed {
		klog.V(1).InfoS("refused order is sent again: the engine changed", "server", b.Incarnation(), "to", want.String())
	}
	return changed
}

// leavesUsedMemory reports whether an engine that keeps its layers and loads more has memory for
// the tokens that it reports. What the routers know of them may be seconds old, and a router that
// has just started knows nothing. The order waits until there is memory.
func (c *Controller) leavesUsedMemory(svc *model.Service, b *model.BackendServer, want model.LayerRange, report model.EngineReport) bool {
	c.mu.Lock()
	alone := c.servesAlone(svc)
	c.mu.Unlock()
	if !alone || b.Holds.Len() <= 0 || !extends(want, b.Holds) {
		return true
	}
	card, _ := svc.Engine.Card(b.Card)
	total := tokenCapacity(svc.Engine, card, want.Len()) * float64(want.Len())
	if usedHeadroom*report.UsedTokenLayers <= total {
		return true
	}
	klog.InfoS("order withheld: streams use the memory for further layers", "server", b.Incarnation(), "to", want.String(), "usedTokenLayers", report.UsedTokenLayers, "totalTokenLayers", total)
	return false
}
