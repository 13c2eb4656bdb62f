package relay

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/skylarkwood/skylarkwood/internal/model"
)

// One stream's path was refused at an engine on which other streams make progress. All of
// them left it, and the other engine had to prefill all their tokens. Services without a limited
// interconnect between failure domains are served as before: all streams leave.
func TestRefusedCheckAtWorkingEngineMovesOneStream(t *testing.T) {
	for _, limited := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			engines := &fakeEngines{}
			s := newThreeStageFixture(engines.do)
			if limited {
				s.Config.Load().Service("s").Engine.InterconnectMbps = 1e6
				s.Catalog.Put(model.BackendServer{ID: "remote", Service: "s", Address: "remote:1", FailureDomain: "remote", Revision: 1})
			}
			late, _ := s.startStream(t, movable)
			other, run := s.startStream(t, movable)
			sendEvents([]*chainWatch{late, other}, 20)
			// The other stream shares only the middle engine with the late one.
			other.progress.Reroute([]model.Incarnation{inc("head2"), inc("middle"), inc("tail2")})
			engines.setUnresponsive("middle:1")
			sendEvents([]*chainWatch{other}, 12)
			synctest.Wait()
			assert.DeepEqual(t, serverIDs(late), []string{"head", "middle2", "tail"})
			if limited {
				assert.DeepEqual(t, serverIDs(other), []string{"head", "middle", "tail"})
			} else {
				assert.DeepEqual(t, serverIDs(other), []string{"head", "middle2", "tail"})
			}
			assert.NilError(t, run.Err())
			assert.Assert(t, s.Health.Suspected(inc("middle")), "it gets no new requests for now")
			time.Sleep(time.Second)
		})
	}
}
