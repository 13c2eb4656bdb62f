package relay

import (
	"context"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/skylarkwood/skylarkwood/internal/model"
	"github.com/skylarkwood/skylarkwood/platform"
)

// Guards against ending a run because of the exit of an engine that it no longer uses. The
// exit is reported twice: the first rerouting fails, the second succeeds.
func TestReroutedRunIgnoresExitOfFormerEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		route := model.Route{Kind: streaming, ResumeStreams: true, MaxAttempts: 2}
		var orders atomic.Int64
		s := newTwoStageFixture(route, func(_ context.Context, _ string, r *Request) (*Response, error) {
			if r.Target == platform.OrderPath && orders.Add(1) == 1 {
				return signed(http.StatusConflict, strings.NewReader("")), nil
			}
			return reportResponse(emptyReport), nil
		})
		w, run := s.startTwoStageStream(t, route)
		w.final = true // as on the request's last send
		s.HandleEngineExit(inc("far"))
		time.Sleep(10 * time.Millisecond)
		s.HandleEngineExit(inc("far"))
		synctest.Wait()
		stages, _ := w.state()
		assert.Equal(t, stages[1].Server.ID, "spare")
		w.eventReceived()
		time.Sleep(finalResponseTimeout)
		synctest.Wait()
		assert.NilError(t, run.Err())
	})
}
