package fleet

import (
	"net/http"
	"testing"

	"github.com/skylarkwood/skylarkwood/platform/standin"
)

// Servers are replaced while the store's watches are silent. Another router's registration is
// a commit, from which all routers must learn of the new servers before the silence ends.
func TestReplacedServersAreFoundWhileWatchesAreSilent(t *testing.T) {
	for name, unanswered := range map[string]bool{"answered": false, "unanswered": true} {
		t.Run(name, func(t *testing.T) {
			s := newSite(t, 4)
			s.store.SetFaults(standin.StoreFaults{SilentWatches: true, UnansweredWatches: unanswered})
			for _, e := range s.plain {
				e.Restart()
			}
			before := s.routers
			s.startRouter("r4", "a")
			for _, r := range before {
				s.eventually("lookup is served", func() bool {
					return s.call(r, requestSpec{path: "/lookup/1", method: http.MethodGet}).status == http.StatusOK
				})
			}
		})
	}
}
