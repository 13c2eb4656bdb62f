package relay

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/skylarkwood/skylarkwood/internal/model"
)

// activeRun is work in progress at backend servers.
type activeRun interface {
	// leaveEngines takes in that incarnations of servers have ended (engineGone), or are
	// believed to be at fault.
	leaveEngines(lost engineSet, reason endReason)
}

// engineSet is a set of incarnations.
type engineSet map[model.Incarnation]bool

// rememberGone is for how long work that is added hears of a server's end: its server
// was chosen before. On a busy machine a tenth of a second may lie between.
const lossRetention = time.Second

// ActiveRuns holds the work in progress.
type ActiveRuns struct {
	mu   sync.Mutex
	runs map[activeRun]bool
	// exited holds the servers that ended of late, and when that was told.
	exited map[model.Incarnation]time.Time
	// unresponsive holds the servers that were found unresponsive of late, and when.
	unresponsive map[model.Incarnation]time.Time
}

// NewActiveRuns makes an empty set.
func NewActiveRuns() *ActiveRuns {
	return &ActiveRuns{runs: map[activeRun]bool{}, exited: map[model.Incarnation]time.Time{}, unresponsive: map[model.Incarnation]time.Time{}}
}

// add adds work that was given to some servers. It tells which of them has ended
// meanwhile, if one has: whoever told of the end told only the work that was there.
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

// finalAnswerWait is how long a request that must not be sent again waits for its answer
// after its server has ended. The news may overtake the answer, which then lies in the
// socket until a busy machine reads it, a tenth of a second or two later.
const finalResponseTimeout = 250 * time.Millisecond

// plainRun is one request at one server of a plain service.
type plainRun struct {
	server model.Incarnation
	cancel context.CancelCauseFunc
	final  bool // it must not be sent again
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

// track ends a call when the server's process has ended. Where the server fell
// silent its connection would tell only at the caller's deadline, too late for a
// request that may be sent again.
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

// HandleEngineExit takes in that an engine's process ended: nothing new goes there, and
// the streams of this router that run through it are moved at once, before they
// notice.
func (r *Relay) HandleEngineExit(inc model.Incarnation) {
	if b := r.Catalog.Load().Find(inc); b != nil {
		r.recordServerExit(b) // before its streams are moved: they may not all go anywhere
		r.Suspects.Unreachable(b, "", errExited)
	}
	r.Suspects.Exited(inc)
	r.ActiveRuns.notifyLoss(engineSet{inc: true}, engineExited)
}

var errExited = errors.New("its process ended")

// notifyLoss tells all work in progress that incarnations of servers have ended, or are
// believed to be at fault.
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

// noteRecent remembers that something was told of a server just now, and forgets what
// was told before rememberGone.
func noteRecent(records map[model.Incarnation]time.Time, server model.Incarnation) {
	for inc, at := range records {
		if time.Since(at) >= lossRetention {
			delete(records, inc)
		}
	}
	records[server] = time.Now()
}

// silentAmong lists the servers of a chain that were found silent or ended of late.
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
