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

// keyReaches replaces the customers' key and waits until every router refuses the one
// before and takes the new one.
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

// Eight routers in two failure domains, of whom four watch the store. A key that is taken
// away is refused by all of them: by those that hear of it from a watcher, also where the
// configuration is too large to be passed on, and after a watcher was stopped.
func TestUpdatesReachRoutersThatDoNotWatch(t *testing.T) {
	s := newSite(t, 8)
	s.eventually("two of each domain watch", func() bool { return s.watchingCount() == 4 })
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
	s.eventually("another one watches", func() bool { return s.watchingCount() == 4 })
}
