package relay

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/skylarkwood/skylarkwood/internal/model"
)

// One stream's path was refused at an engine on which other streams make progress. All of
// them left it, and the other engine had to prefill all their tokens.
func TestRefusedCheckAtWorkingEngineMovesOneStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engines := &fakeEngines{}
		s := newThreeStageFixture(engines.do)
		late, _ := s.startStream(t, movable)
		other, run := s.startStream(t, movable)
		sendEvents([]*chainWatch{late, other}, 20)
		// The other stream shares only the middle engine with the late one.
		other.progress.Reroute([]model.Incarnation{inc("head2"), inc("middle"), inc("tail2")})
		engines.setUnresponsive("middle:1")
		sendEvents([]*chainWatch{other}, 12)
		synctest.Wait()
		assert.DeepEqual(t, serverIDs(late), []string{"head", "middle2", "tail"})
		assert.DeepEqual(t, serverIDs(other), []string{"head", "middle", "tail"})
		assert.NilError(t, run.Err())
		assert.Assert(t, s.Health.Suspected(inc("middle")), "it gets no new requests for now")
		time.Sleep(time.Second)
	})
}
