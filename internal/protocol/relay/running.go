package relay

import (
	"context"
	"sync"

	"github.com/pkg/errors"

	"github.com/skylarkwood/skylarkwood/internal/model"
)

// run is work in progress at backend servers.
type run interface {
	// leave takes in that an incarnation of a server has ended.
	leave(lost model.Incarnation)
}

// Running holds the work in progress.
type Running struct {
	mu   sync.Mutex
	runs map[run]bool
}

// NewRunning makes an empty set.
func NewRunning() *Running { return &Running{runs: map[run]bool{}} }

func (r *Running) add(w run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[w] = true
}

func (r *Running) remove(w run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.runs, w)
}

// call is one request at one server of a plain service.
type call struct {
	server model.Incarnation
	cancel context.CancelCauseFunc
}

func (c *call) leave(lost model.Incarnation) {
	if c.server == lost {
		c.cancel(engineGone)
	}
}

// track ends a call when the server's process has ended. Where the server fell
// silent its connection would tell only at the caller's deadline, too late for a
// request that may be sent again.
func (r *Running) track(ctx context.Context, server model.Incarnation) (run context.Context, cancel context.CancelCauseFunc, stop func()) {
	run, cancel = context.WithCancelCause(ctx)
	c := &call{server: server, cancel: cancel}
	r.add(c)
	return run, cancel, func() {
		r.remove(c)
		cancel(nil)
	}
}

// EngineGone takes in that an engine's process ended: nothing new goes there, and
// the streams of this router that run through it are moved at once, before they
// notice.
func (r *Relay) EngineGone(inc model.Incarnation) {
	if b := r.Catalog.Load().Find(inc); b != nil {
		r.Suspicions.Unreachable(b, "", errEnded)
	}
	r.Suspicions.Ended(inc)
	r.Running.leave(inc)
}

var errEnded = errors.New("its process ended")

// leave tells all work in progress that an incarnation of a server has ended.
func (r *Running) leave(lost model.Incarnation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for w := range r.runs {
		go w.leave(lost)
	}
}
