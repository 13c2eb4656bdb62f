package relay

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/skylarkwood/skylarkwood/internal/coordination/caller"
	"github.com/skylarkwood/skylarkwood/internal/coordination/chains"
	"github.com/skylarkwood/skylarkwood/internal/model"
)

// maxRerouteOrders bounds the orders sent for one rerouting. Each refusal names one more
// engine that does not run its stage.
const maxRerouteOrders = 4

// leaveEngines reroutes or ends the run because engines of its chain are lost. Several
// streams may report the same engine. A run that no longer uses it is left unchanged.
//
// A run that may be restarted is ended rather than rerouted: the engines of a new chain
// share the prefill of its tokens, and the streams of the lost engine spread over all
// chains. Rerouted, they would all wait for prefill at its replacement.
func (w *chainWatch) leaveEngines(lost engineSet, reason endReason) {
	defer w.recoverPanic()
	w.mu.Lock()
	failedEngine, found := firstEngineIn(w.stages, lost)
	if w.stopped || w.rerouting || !found {
		w.mu.Unlock()
		return
	}
	w.rerouting = true
	w.timer.Stop()
	stages := w.stages
	w.mu.Unlock()
	var newStages []chains.Stage
	if !w.restartable || !w.takeRetryToken() {
		newStages = w.routeAround(stages, lost)
	}
	switch generation, rerouted := w.finishReroute(newStages); {
	case rerouted:
	case reason == engineExited && w.final:
		time.AfterFunc(finalResponseTimeout, func() { w.endIfUses(failedEngine) })
	case reason == engineExited:
		w.endIfUses(failedEngine)
	default:
		w.endIfUnchanged(generation, runFailure{failedEngine: failedEngine, reason: reason})
	}
}

// finishReroute ends a rerouting. newStages is the new chain, or nil if the rerouting
// failed. It returns the generation afterwards, and whether the run continues on the new
// chain.
func (w *chainWatch) finishReroute(newStages []chains.Stage) (generation int, rerouted bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.rerouting = false
	if w.stopped {
		return w.generation, false
	}
	w.pathCheckDue = false
	w.arm(reroutedEventTimeout)
	if newStages == nil {
		return w.generation, false
	}
	w.stages = newStages
	w.progress.Reroute(engines(newStages))
	w.generation++
	return w.generation, true
}

// routeAround orders the first engine to route the stream around lost engines. It returns
// the new chain, or nil if that is not possible.
func (w *chainWatch) routeAround(stages []chains.Stage, lost engineSet) []chains.Stage {
	q := w.q
	if !q.admitted.Idempotent() || !q.mayReroute() || w.hasUnconfirmedOrder() {
		return nil
	}
	avoid := q.ActiveRuns.recentlyLost(engines(stages))
	maps.Copy(avoid, lost)
	for range maxRerouteOrders {
		if caller.Check(w.run, caller.Waiting) != nil {
			return nil
		}
		next := q.Chooser.Replace(q.admitted.Service, stages, avoid, w.reservation.Tokens(), q.admitted.Route.TargetGap)
		if next == nil {
			return nil
		}
		err := w.sendReroute(next, avoid)
		if err == nil {
			w.reservation.Move(next)
			w.record.Move(locations(next))
			q.Observer.Retry(q.admitted.Service.Name, "repath")
			return next
		}
		var conflict pathConflict
		if !errors.As(err, &conflict) {
			w.markUnconfirmed(err)
			return nil
		}
		server := engineAt(next, conflict.address)
		if server == nil {
			return nil
		}
		avoid[server.Incarnation()] = true
		w.handleRerouteRefusal(server, stages, err)
	}
	return nil
}

// sendReroute orders the first engine to route the stream over another path.
func (w *chainWatch) sendReroute(next []chains.Stage, avoid engineSet) error {
	ctx, cancel := w.q.Processor.WithTimeout(context.Background(), rerouteTimeout)
	defer cancel()
	began := w.q.Now()
	err := w.q.Reroute(ctx, next[0].Server, w.q.call.Attempt, hops(next))
	klog.InfoS("stream reroute finished", "request", w.q.call.Attempt, "lost", slices.Collect(maps.Keys(avoid)), "chain", chainString(next), "ms", w.q.Now().Sub(began).Milliseconds(), "err", err)
	return err
}

func (w *chainWatch) hasUnconfirmedOrder() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.unconfirmed
}

func uses(stages []chains.Stage, engine model.Incarnation) bool {
	_, ok := firstEngineIn(stages, engineSet{engine: true})
	return ok
}

// firstEngineIn returns the first engine of a chain that is in a set.
func firstEngineIn(stages []chains.Stage, set engineSet) (engine model.Incarnation, ok bool) {
	for _, stage := range stages {
		if inc := stage.Server.Incarnation(); set[inc] {
			return inc, true
		}
	}
	return model.Incarnation{}, false
}
