package relay

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/skylarkwood/skylarkwood/internal/model"
)

// activeRun is a run in progress at one or more backend servers.
type activeRun interface {
	// leaveEngines handles that incarnations of servers have exited (engineExited) or
	// are considered failed (any other reason).
	leaveEngines(lost engineSet, reason endReason)
}

type engineSet map[model.Incarnation]bool

// lossRetention is how long a lost server is recorded for runs that are added afterwards,
// for which it was chosen before the loss was known.
const lossRetention = time.Second

// ActiveRuns holds the runs in progress.
type ActiveRuns struct {
	mu   sync.Mutex
	runs map[activeRun]bool
	// exited holds servers that exited recently, and when that was reported.
	exited map[model.Incarnation]time.Time
	// unresponsive holds servers that recently stopped responding, and when that was
	// reported.
	unresponsive map[model.Incarnation]time.Time
}

// NewActiveRuns returns an empty set.
func NewActiveRuns() *ActiveRuns {
	return &ActiveRuns{runs: map[activeRun]bool{}, exited: map[model.Incarnation]time.Time{}, unresponsive: map[model.Incarnation]time.Time{}}
}

// add adds a run at some servers. It returns a server of them that exited recently, if
// any, because the report of that exit may have preceded the run.
func (r *ActiveRuns) add(w activeRun, servers ...model.Incarnation) (server model.Incarnation, found bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[w] = true
	for _, inc := range servers {
		if at, ok := r.exited[inc]; ok && time.Since(at) < lossRetention {
			return inc, true
		}
	}
	return model.Incarnation{}, false
}

func (r *ActiveRuns) remove(w activeRun) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.runs, w)
}

// finalResponseTimeout is how long a request that must not be retried waits for its response
// after its server has exited. On a busy instance the report of the exit may arrive before
// the response is read from the socket.
const finalResponseTimeout = 250 * time.Millisecond

// plainRun is a request at one server of a plain service.
type plainRun struct {
	server model.Incarnation
	cancel context.CancelCauseFunc
	final  bool // it must not be retried
}

func (c *plainRun) leaveEngines(lost engineSet, reason endReason) {
	switch {
	case !lost[c.server] || reason != engineExited:
	case c.final:
		time.AfterFunc(finalResponseTimeout, func() { c.cancel(engineExited) })
	default:
		c.cancel(engineExited)
	}
}

// track adds a run at a server of a plain service. The run is cancelled when the server's
// process exits, because the connection to an unreachable server would fail only at the
// caller's deadline. The caller must call stop.
func (r *ActiveRuns) track(ctx context.Context, server model.Incarnation, final bool) (run context.Context, cancel context.CancelCauseFunc, stop func()) {
	run, cancel = context.WithCancelCause(ctx)
	c := &plainRun{server: server, cancel: cancel, final: final}
	if _, found := r.add(c, server); found {
		cancel(engineExited)
	}
	return run, cancel, func() {
		r.remove(c)
		cancel(nil)
	}
}

// HandleEngineExit handles the exit of an engine's process: the engine gets no new requests,
// and the streams of this router that use it are rerouted or ended at once.
func (r *Relay) HandleEngineExit(inc model.Incarnation) {
	if b := r.Catalog.Load().Find(inc); b != nil {
		r.recordServerExit(b) // before its streams are rerouted, which the exit may prohibit
		r.Suspects.Unreachable(b, "", errExited)
	}
	r.Suspects.Exited(inc)
	r.ActiveRuns.notifyLoss(engineSet{inc: true}, engineExited)
}

var errExited = errors.New("its process exited")

// notifyLoss notifies all runs that servers exited (engineExited) or are considered failed
// (any other reason).
func (r *ActiveRuns) notifyLoss(lost engineSet, reason endReason) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for inc := range lost {
		if reason == engineExited {
			noteRecent(r.exited, inc)
		} else {
			noteRecent(r.unresponsive, inc)
		}
	}
	for w := range r.runs {
		go w.leaveEngines(lost, reason)
	}
}

// noteRecent records a server with the current time, and removes expired entries.
func noteRecent(records map[model.Incarnation]time.Time, server model.Incarnation) {
	for inc, at := range records {
		if time.Since(at) >= lossRetention {
			delete(records, inc)
		}
	}
	records[server] = time.Now()
}

// recentlyLost returns which of the servers exited or stopped responding recently.
func (r *ActiveRuns) recentlyLost(servers []model.Incarnation) engineSet {
	r.mu.Lock()
	defer r.mu.Unlock()
	found := engineSet{}
	for _, inc := range servers {
		for _, records := range []map[model.Incarnation]time.Time{r.exited, r.unresponsive} {
			if at, ok := records[inc]; ok && time.Since(at) < lossRetention {
				found[inc] = true
			}
		}
	}
	return found
}
