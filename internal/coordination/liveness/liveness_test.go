package liveness

import (
	"context"
	"fmt"
	"net"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/skylarkwood/skylarkwood/internal/model"
)

// fakeEngine accepts connections while its process lives.
type fakeEngine struct {
	mu        sync.Mutex
	open      []net.Conn
	dialCount int
	dialErr   error // what a new connection meets
}

func (e *fakeEngine) dial(context.Context, string) (net.Conn, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.dialCount++
	if e.dialErr != nil {
		return nil, e.dialErr
	}
	near, far := net.Pipe()
	e.open = append(e.open, far)
	return near, nil
}

// close ends all connections; new ones meet err.
func (e *fakeEngine) close(err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.dialErr = err
	for _, c := range e.open {
		c.Close()
	}
	e.open = nil
}

func (e *fakeEngine) dials() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.dialCount
}

var errRefused = errors.Wrap(syscall.ECONNREFUSED, "dial")

// runWatcher runs a watcher over one engine in virtual time.
func runWatcher(t *testing.T, f func(e *fakeEngine, gone *[]string)) {
	synctest.Test(t, func(t *testing.T) {
		e := &fakeEngine{}
		var gone []string
		s := &Watcher{
			Self:    "a",
			Routers: func() []string { return []string{"a"} },
			Engines: func() []*model.BackendServer { return []*model.BackendServer{{ID: "e", Address: "e:1"}} },
			Dial:    e.dial,
			OnExit:  func(b *model.BackendServer) { gone = append(gone, b.ID) },
		}
		ctx, stop := context.WithCancel(context.Background())
		var done sync.WaitGroup
		done.Go(func() { s.Run(ctx) })
		time.Sleep(2 * time.Second)
		f(e, &gone)
		stop()
		done.Wait()
		synctest.Wait()
	})
}

// An engine's process dies in the middle of its streams. Its connections close,
// its port refuses new ones: that is known at once, and told once.
func TestEndOfAProcessIsSeenAtOnce(t *testing.T) {
	runWatcher(t, func(e *fakeEngine, gone *[]string) {
		e.close(errRefused)
		synctest.Wait()
		assert.DeepEqual(t, *gone, []string{"e"})
		time.Sleep(10 * time.Second)
		assert.Equal(t, len(*gone), 1)
	})
}

// Engines close connections that rest. The next one is accepted: no evidence, and
// that one is watched.
func TestClosedIdleConnectionIsNoEvidence(t *testing.T) {
	runWatcher(t, func(e *fakeEngine, gone *[]string) {
		for range 3 {
			time.Sleep(10 * time.Second)
			e.close(nil)
			synctest.Wait()
		}
		assert.Equal(t, len(*gone), 0)
		assert.Equal(t, e.dials(), 4)
		e.close(errRefused)
		synctest.Wait()
		assert.Equal(t, len(*gone), 1)
	})
}

// This router is cut off from an engine, or the engine goes dark: connections
// time out. Others may reach it, so that is no proof of its end.
func TestCutOffEngineIsNotGone(t *testing.T) {
	runWatcher(t, func(e *fakeEngine, gone *[]string) {
		e.close(errors.New("i/o timeout"))
		time.Sleep(5 * time.Second)
		assert.Equal(t, len(*gone), 0)
	})
}

// An engine that has too many connections resets each new one. It is asked about
// once a second, not in a loop.
func TestFullEngineIsNotDialedInALoop(t *testing.T) {
	runWatcher(t, func(e *fakeEngine, _ *[]string) {
		before := e.dials()
		for range 50 {
			time.Sleep(100 * time.Millisecond)
			e.close(nil)
		}
		assert.Assert(t, e.dials()-before <= 7, "%d dials in 5 s", e.dials()-before)
	})
}

// Two dozen routers share the watch over fifty engines: each engine has its few
// watchers, and when a router goes away another takes its place, while the rest
// of the assignment stays as it was.
func TestEnginesAreSharedOut(t *testing.T) {
	var routers []string
	for i := range 24 {
		routers = append(routers, fmt.Sprintf("10.0.0.%d:1", i))
	}
	moved := 0
	all, fewer := newRing(routers), newRing(routers[1:])
	for i := range 50 {
		id := fmt.Sprintf("i-%d", i)
		before, after := 0, 0
		for _, r := range routers {
			had := all.assigned(r, id)
			if had {
				before++
			}
			if r == routers[0] {
				continue
			}
			has := fewer.assigned(r, id)
			if has {
				after++
			}
			if has != had {
				moved++
			}
		}
		assert.Equal(t, before, watchersPerEngine)
		assert.Equal(t, after, watchersPerEngine)
	}
	assert.Assert(t, moved <= 16, "%d of 100 watches moved for one router of 24", moved)
}
