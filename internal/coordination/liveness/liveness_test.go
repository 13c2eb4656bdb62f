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

// fakeEngine accepts connections until dialErr is set.
type fakeEngine struct {
	mu        sync.Mutex
	open      []net.Conn
	dialCount int
	dialErr   error // returned to new connections
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

// close closes all connections. New ones fail with err, or succeed if it is nil.
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

// runWatcher runs a watcher of one engine in virtual time.
func runWatcher(t *testing.T, f func(e *fakeEngine, exited *[]string)) {
	synctest.Test(t, func(t *testing.T) {
		e := &fakeEngine{}
		var exited []string
		s := &Watcher{
			Self:    "a",
			Routers: func() []string { return []string{"a"} },
			Engines: func() []*model.BackendServer { return []*model.BackendServer{{ID: "e", Address: "e:1"}} },
			Dial:    e.dial,
			OnExit:  func(b *model.BackendServer) { exited = append(exited, b.ID) },
		}
		ctx, stop := context.WithCancel(context.Background())
		var done sync.WaitGroup
		done.Go(func() { s.Run(ctx) })
		time.Sleep(2 * time.Second)
		f(e, &exited)
		stop()
		done.Wait()
		synctest.Wait()
	})
}

// An engine process exits while streams run. Its connections close and its port refuses
// new ones, so the exit is reported at once and only once.
func TestProcessExitIsReportedAtOnce(t *testing.T) {
	runWatcher(t, func(e *fakeEngine, exited *[]string) {
		e.close(errRefused)
		synctest.Wait()
		assert.DeepEqual(t, *exited, []string{"e"})
		time.Sleep(10 * time.Second)
		assert.Equal(t, len(*exited), 1)
	})
}

// Engines close idle connections and accept new ones. That is no exit, and the new
// connection is watched.
func TestClosedIdleConnectionIsNotAnExit(t *testing.T) {
	runWatcher(t, func(e *fakeEngine, exited *[]string) {
		for range 3 {
			time.Sleep(10 * time.Second)
			e.close(nil)
			synctest.Wait()
		}
		assert.Equal(t, len(*exited), 0)
		assert.Equal(t, e.dials(), 4)
		e.close(errRefused)
		synctest.Wait()
		assert.Equal(t, len(*exited), 1)
	})
}

// Connections to an engine time out. Others may still reach it, so this is no exit.
func TestUnreachableEngineIsNotAnExit(t *testing.T) {
	runWatcher(t, func(e *fakeEngine, exited *[]string) {
		e.close(errors.New("i/o timeout"))
		time.Sleep(5 * time.Second)
		assert.Equal(t, len(*exited), 0)
	})
}

// An engine with too many connections resets each new one. It is dialed about once per
// second.
func TestEngineThatResetsConnectionsIsRedialedWithDelay(t *testing.T) {
	runWatcher(t, func(e *fakeEngine, _ *[]string) {
		before := e.dials()
		for range 50 {
			time.Sleep(100 * time.Millisecond)
			e.close(nil)
		}
		assert.Assert(t, e.dials()-before <= 7, "%d dials in 5 s", e.dials()-before)
	})
}

// Each engine has the required number of watchers. When a router leaves, few assignments
// change.
func TestEnginesAreDistributedOverRouters(t *testing.T) {
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
			wasAssigned := all.assigned(r, id)
			if wasAssigned {
				before++
			}
			if r == routers[0] {
				continue
			}
			isAssigned := fewer.assigned(r, id)
			if isAssigned {
				after++
			}
			if isAssigned != wasAssigned {
				moved++
			}
		}
		assert.Equal(t, before, watchersPerEngine)
		assert.Equal(t, after, watchersPerEngine)
	}
	assert.Assert(t, moved <= 16, "%d of 100 watches moved for one router of 24", moved)
}
