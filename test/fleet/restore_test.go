package fleet

import (
	"encoding/json"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/skylarkwood/skylarkwood/internal/coordination/leader"
	"github.com/skylarkwood/skylarkwood/platform"
	"github.com/skylarkwood/skylarkwood/platform/standin"
)

// Guards against accepting a revoked key or refusing sheets after the store is restored from an
// older snapshot.
func TestStoreRestoredFromSnapshot(t *testing.T) {
	s := newSite(t, 3)
	snapshot := s.store.Snapshot()
	s.configure(func(cfg map[string]any) { cfg["tenants"] = cfg["tenants"].([]any)[:1] })
	for _, r := range s.routers {
		s.eventually("the key is revoked", func() bool {
			return s.call(r, requestSpec{path: "/sheet/1", key: "key-2"}).status == http.StatusUnauthorized
		})
	}
	restarted := s.engines[1]
	held := restarted.Holds()
	restarted.Restart()
	s.eventually("engine is loaded again", func() bool { return restarted.Holds() == held })

	stop := make(chan struct{})
	var callers sync.WaitGroup
	var failed, acceptedRevoked atomic.Int64
	for _, r := range s.routers {
		callers.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				if rep := s.call(r, requestSpec{path: "/sheet/1", body: "draft"}); rep.status != http.StatusOK || rep.err != nil {
					t.Logf("sheet request to router %s failed: status %d, body %q, error %v", r.settings.Instance, rep.status, rep.body, rep.err)
					failed.Add(1)
				}
				if s.call(r, requestSpec{path: "/sheet/1", key: "key-2"}).status == http.StatusOK {
					acceptedRevoked.Add(1)
				}
			}
		})
	}
	for range 2 {
		s.restore(snapshot)
	}
	s.eventually("routers have registered again", func() bool { return len(s.store.Keys(leader.MemberPrefix)) == 3 })
	close(stop)
	callers.Wait()
	assert.Equal(t, failed.Load(), int64(0))
	assert.Equal(t, acceptedRevoked.Load(), int64(0))
	held = restarted.Holds()
	restarted.Restart()
	s.eventually("engine is loaded again after the restore", func() bool { return restarted.Holds() == held })
}

// restore makes the store unresponsive, restores it from a snapshot, and publishes the
// configuration and the server entries again a second later.
func (s *site) restore(c standin.Snapshot) {
	s.store.SetFaults(standin.StoreFaults{Unresponsive: true})
	time.Sleep(300 * time.Millisecond)
	s.store.Restore(c)
	s.store.SetFaults(standin.StoreFaults{})
	time.Sleep(time.Second)
	raw, err := json.Marshal(s.config)
	assert.NilError(s.t, err)
	s.store.Put(platform.ConfigKey, raw)
	s.registerServers()
	time.Sleep(time.Second)
}

// registerServers writes the entries of all servers again.
func (s *site) registerServers() {
	for _, e := range append(append([]*standin.Engine(nil), s.engines...), s.plain...) {
		e.Register()
	}
}

// Guards against a router that starts while the store holds an older configuration and
// accepts a revoked key. It must use its peers' newer configuration.
func TestRouterStartsWithRestoredStore(t *testing.T) {
	s := newSite(t, 3)
	snapshot := s.store.Snapshot()
	s.configure(func(cfg map[string]any) { cfg["tenants"] = cfg["tenants"].([]any)[:1] })
	for _, r := range s.routers {
		s.eventually("the key is revoked", func() bool {
			return s.call(r, requestSpec{path: "/sheet/1", key: "key-2"}).status == http.StatusUnauthorized
		})
	}
	s.store.Restore(snapshot)
	s.registerServers()
	starting := s.routers[2]
	starting.stop()
	<-starting.done
	s.run(starting)
	served := 0
	s.eventually("the restarted router serves and refuses the revoked key", func() bool {
		if s.call(starting, requestSpec{path: "/sheet/1", key: "key-2"}).status == http.StatusOK {
			served++
		}
		return s.call(starting, requestSpec{path: "/sheet/1"}).status == http.StatusOK &&
			s.call(starting, requestSpec{path: "/sheet/1", key: "key-2"}).status == http.StatusUnauthorized
	})
	assert.Equal(t, served, 0)
}
