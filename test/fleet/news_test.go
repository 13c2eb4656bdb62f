package fleet

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

func (s *site) watchingCount() int {
	n := 0
	for _, r := range s.routers {
		if r.r.Watching() {
			n++
		}
	}
	return n
}

// replaceKey replaces the customer's key and waits until every router refuses oldKey
// and accepts key.
func (s *site) replaceKey(oldKey, key string, idleRoutes int) {
	s.configure(func(cfg map[string]any) {
		cfg["tenants"] = []any{map[string]any{"name": "school", "api_keys": []any{key}}}
		addIdleRoutes(cfg, idleRoutes)
	})
	for _, r := range s.routers {
		s.eventually("old key refused", func() bool {
			return s.call(r, requestSpec{path: "/lookup/1", key: oldKey}).status == http.StatusUnauthorized
		})
		assert.Equal(s.t, s.call(r, requestSpec{path: "/lookup/1", key: key}).status, http.StatusOK)
	}
}

// Guards against configuration updates that miss routers which do not watch the store,
// also with a configuration too large to forward and after a watcher stops.
func TestUpdatesReachRoutersThatDoNotWatch(t *testing.T) {
	s := newSite(t, 8)
	s.eventually("two routers per failure domain watch", func() bool { return s.watchingCount() == 4 })
	s.replaceKey("key-1", "key-3", 0)
	s.replaceKey("key-3", "key-4", 300)
	for i, r := range s.routers {
		if r.r.Watching() {
			r.stop()
			<-r.done
			s.routers = append(s.routers[:i], s.routers[i+1:]...)
			break
		}
	}
	s.replaceKey("key-4", "key-5", 300)
	s.eventually("another router watches", func() bool { return s.watchingCount() == 4 })
}
